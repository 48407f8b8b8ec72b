// The demo: three instances, twelve workers, six backend servers and the
// stand-in platform, with a failure domain taken out and back, one instance
// stopped gracefully and one killed. Ends with 1 if a promise broke.

#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <thread>

#include "fleet.h"
#include "load.h"
#include "observer.h"

namespace {

using namespace gooseberry::test;

constexpr int kRequests = 10000;
constexpr int kTasks = 200;
constexpr int kWatchers = 6;
// From the operators' word until no task may start in the failure domain.
constexpr std::int64_t kDomainOutMs = 5000;

const std::vector<std::string> kDomains{ "north", "centre", "south" };

constexpr const char* kSite = R"(# Owned by the site operators.
outage_allowance: 10s
domains:
  - name: north
  - name: centre
  - name: south
)";

constexpr const char* kKiosk = R"(# Owned by the kiosk team.
quota: {cpu_millis: 60000, memory_mb: 120000}
services:
  - name: kiosk
    deadline: 5s
    not_repeatable: [/charge]
    callers:
      - {name: busker, rank: 0}
      - {name: bulk, rank: 5}
    promise: {answer_within: 200ms, quantile: 0.99}
batch:
  - name: billing
    cpu_millis: 1000
    memory_mb: 1000
    run_time: 1s
    checkpoints: true
    at_most_once: true
watchers:
  - name: locker
    cpu_millis: 200
    memory_mb: 100
    replicas: 6
)";

auto
Print(const char* aPromise, const std::string& aSeen, bool aKept) -> bool
{
  std::printf(
    "%-52s %-34s %s\n", aPromise, aSeen.c_str(), aKept ? "kept" : "BROKEN");
  return aKept;
}

auto
Show(const Violations& aViolations) -> std::string
{
  for (const auto& violation : aViolations) {
    std::cerr << "  " << violation << '\n';
  }
  return std::to_string(aViolations.size()) + " violations";
}

auto
StartFleet(Fleet& aFleet) -> void
{
  aFleet.StartPlatform();
  for (auto index = 0; index < 12; ++index) {
    auto options = WorkerOptions{};
    options.id = "worker-" + std::to_string(index);
    options.domain = kDomains[static_cast<std::size_t>(index) % 3];
    options.rack = "rack-" + std::to_string(index / 3);
    aFleet.AddWorker(options);
  }
  for (auto index = 0; index < 6; ++index) {
    auto options = BackendOptions{};
    options.id = "backend-" + std::to_string(index);
    options.domain = kDomains[static_cast<std::size_t>(index) % 3];
    aFleet.AddBackend(options);
  }
  for (auto index = std::size_t{ 0 }; index < 3; ++index) {
    aFleet.AddInstance({ "entry-" + std::to_string(index), kDomains[index] });
  }
}

auto
WorkersOf(const std::string& aDomain) -> std::set<std::string>
{
  auto workers = std::set<std::string>{};
  for (auto index = 0; index < 12; ++index) {
    if (kDomains[static_cast<std::size_t>(index) % 3] == aDomain) {
      workers.insert("worker-" + std::to_string(index));
    }
  }
  return workers;
}

auto
RunDemo() -> int
{
  auto fleet = Fleet{};
  std::cout << "starting 3 instances, 12 workers, 6 backend servers\n";
  StartFleet(fleet);
  fleet.PutSection("site", kSite);
  fleet.PutSection("kiosk", kKiosk);
  auto good = Eventually(std::chrono::seconds{ 10 }, [&] {
    const auto reply =
      Call("GET", fleet.instances.at("entry-2").adminPort, "/v1/services");
    return reply.body.find("backend-5") != std::string::npos;
  });
  auto load = Load{ { { fleet.instances.at("entry-0").port,
                        fleet.instances.at("entry-1").port,
                        fleet.instances.at("entry-2").port },
                      24,
                      30,
                      20,
                      2,
                      7 } };
  fleet.Submit("billing", kTasks, "demo");
  std::this_thread::sleep_for(std::chrono::seconds{ 3 });

  std::cout << "taking failure domain south out\n";
  const auto outAt = NowMillis();
  const auto taken = fleet.SetDomain("south", "out");
  std::this_thread::sleep_for(std::chrono::seconds{ 3 });

  std::cout << "stopping entry-2 gracefully\n";
  load.TakeOut(2);
  const auto stopStatus = fleet.StopInstance("entry-2");
  std::this_thread::sleep_for(std::chrono::seconds{ 5 });

  std::cout << "taking south back, killing entry-1\n";
  const auto backAt = NowMillis();
  fleet.SetDomain("south", "in");
  fleet.instances.at("entry-1").process->Signal(SIGKILL);
  fleet.instances.at("entry-1").process->Wait();
  load.TakeOut(1);

  const auto finished = Eventually(std::chrono::seconds{ 60 }, [&] {
    return fleet.CountPhase("billing.", "finished") == kTasks &&
           load.Sent() >= kRequests;
  });
  const auto watchers = Eventually(std::chrono::seconds{ 60 }, [&] {
    return fleet.CountPhase("locker.", "starting") +
             fleet.CountPhase("locker.", "running") ==
           kWatchers;
  });
  const auto views = load.Finish();
  const auto record = fleet.Record();

  auto byVerdict = std::map<std::string, int>{};
  for (const auto& view : views) {
    ++byVerdict[view.whole ? "answered" : view.verdict];
  }
  std::cout << "\nrequests by outcome:\n";
  for (const auto& [verdict, count] : byVerdict) {
    std::printf("  %-16s %d\n", verdict.c_str(), count);
  }
  std::printf("task events: %d starts, %d finishes, %d stops\n\n",
              CountEvents(record, "start"),
              CountEvents(record, "finished"),
              CountEvents(record, "stopped"));
  std::printf("%-52s %-34s\n", "promise", "seen");
  const auto requests = JudgeRequests(record, views);
  const auto tasks = JudgeTasks(record, { "billing." });
  const auto closed =
    JudgeNoStarts(record, WorkersOf("south"), outAt + kDomainOutMs, backAt);
  good = Print("the document is accepted",
               "status " + std::to_string(taken.status),
               good && taken.status == 200) &&
         good;
  good = Print("whole answers, marked once, \"not run\" true",
               Show(requests) + " in " + std::to_string(views.size()),
               requests.empty() && load.Sent() >= kRequests) &&
         good;
  good = Print("no task twice at once, none over its worker's room",
               Show(tasks),
               tasks.empty()) &&
         good;
  good = Print("all batch work finishes",
               std::to_string(fleet.CountPhase("billing.", "finished")) +
                 " of " + std::to_string(kTasks),
               finished) &&
         good;
  good = Print("watchers run again after the failures",
               watchers ? "6 of 6" : "some missing",
               watchers) &&
         good;
  good = Print("no start in a domain 5 s after it was taken out",
               Show(closed),
               closed.empty()) &&
         good;
  good = Print("a planned stop is graceful",
               "exit status " + std::to_string(stopStatus),
               stopStatus == 0) &&
         good;
  std::cout << (good ? "\nall promises kept\n" : "\nA PROMISE BROKE\n");
  return good ? 0 : 1;
}

} // namespace

auto
main() -> int
{
  std::signal(SIGPIPE, SIG_IGN);
  return RunDemo();
}
