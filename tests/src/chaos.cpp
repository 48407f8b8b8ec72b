// Drawn pairs of faults against real processes, judged from the stand-ins'
// record; or many planned stops under load. The seed decides what is drawn.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <getopt.h>

#include "fleet.h"
#include "load.h"
#include "observer.h"

namespace {

using namespace gooseberry::test;

constexpr int kInstances = 3;
constexpr int kWorkers = 6;
constexpr int kBackends = 4;
constexpr int kFaultsPerRound = 2;
constexpr int kTasksPerRound = 6;
constexpr std::int64_t kClosedAfterMs = 5000;
constexpr std::int64_t kLeftAfterMs = 3000;
constexpr std::chrono::seconds kRest{ 4 };
constexpr std::chrono::seconds kFinishAtMost{ 150 };
constexpr std::chrono::milliseconds kBalancerLag{ 1000 };

const std::array<std::string, 3> kDomains{ "north", "centre", "south" };

constexpr const char* kSite = R"(outage_allowance: 30s
domains: [{name: north}, {name: centre}, {name: south}]
)";

constexpr const char* kTeam = R"(services:
  - {name: kiosk, deadline: 4s, not_repeatable: [/charge]}
batch:
  - {name: billing, cpu_millis: 1000, memory_mb: 500, run_time: 1s, checkpoints: true, at_most_once: true}
  - {name: long, cpu_millis: 1000, memory_mb: 500, run_time: 6s, checkpoints: true}
  - {name: wave, cpu_millis: 500, memory_mb: 200, run_time: 500ms}
watchers:
  - {name: locker, cpu_millis: 200, memory_mb: 100, replicas: 4}
)";

// A time in which something was forbidden at one place.
struct Ban
{
  std::string place;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

struct Storm
{
  explicit Storm(std::uint64_t aSeed)
    : random(aSeed)
    , seed(aSeed)
  {
  }

  auto Draw(int aCount) -> int
  {
    return static_cast<int>(this->random() %
                            static_cast<std::uint64_t>(aCount));
  }

  Fleet fleet;
  std::mt19937_64 random;
  std::uint64_t seed;
  int round = 0;
  std::vector<Ban> closedDomains;
  std::vector<Ban> leftBackends;
  std::map<std::string, int> drawn;
};

// Ends a fault that began.
using End = std::function<void()>;

auto
DomainOf(int aIndex) -> const std::string&
{
  return kDomains[static_cast<std::size_t>(aIndex) % kDomains.size()];
}

auto
InstanceName(int aIndex) -> std::string
{
  return "entry-" + std::to_string(aIndex);
}

auto
StartInstance(Storm& aStorm, int aIndex) -> void
{
  const auto name = InstanceName(aIndex);
  const auto found = aStorm.fleet.instances.find(name);
  if (found == aStorm.fleet.instances.end() ||
      !found->second.process->Running()) {
    aStorm.fleet.AddInstance({ name, DomainOf(aIndex), true });
  }
}

auto
DrawInstance(Storm& aStorm) -> int
{
  return aStorm.Draw(kInstances);
}

auto
DrawWorker(Storm& aStorm) -> Node&
{
  return aStorm.fleet.workers.at("worker-" +
                                 std::to_string(aStorm.Draw(kWorkers)));
}

auto
DrawBackend(Storm& aStorm) -> Node&
{
  return aStorm.fleet.backends.at("backend-" +
                                  std::to_string(aStorm.Draw(kBackends)));
}

auto
PlatformFault(Storm& aStorm,
              const nlohmann::json& aOn,
              const nlohmann::json& aOff) -> End
{
  aStorm.fleet.PlatformFault(aOn);
  return [&aStorm, aOff] { aStorm.fleet.PlatformFault(aOff); };
}

auto
ProxyFault(Node& aNode, const nlohmann::json& aOn, const nlohmann::json& aOff)
  -> End
{
  aNode.Fault(aOn);
  return [&aNode, aOff] { aNode.Fault(aOff); };
}

auto
StoreDown(Storm& aStorm) -> End
{
  return PlatformFault(aStorm, { { "down", true } }, { { "down", false } });
}

auto
StoreSlow(Storm& aStorm) -> End
{
  return PlatformFault(aStorm, { { "slow_ms", 900 } }, { { "slow_ms", 0 } });
}

auto
RepliesLost(Storm& aStorm) -> End
{
  return PlatformFault(
    aStorm, { { "lose_reply_every", 3 } }, { { "lose_reply_every", 0 } });
}

auto
InstanceKilled(Storm& aStorm) -> End
{
  const auto index = DrawInstance(aStorm);
  auto& node = aStorm.fleet.instances.at(InstanceName(index));
  node.process->Signal(SIGKILL);
  node.process->Wait();
  return [&aStorm, index] { StartInstance(aStorm, index); };
}

auto
InstanceStopped(Storm& aStorm) -> End
{
  const auto index = DrawInstance(aStorm);
  auto& node = aStorm.fleet.instances.at(InstanceName(index));
  node.Resume();
  node.process->Signal(SIGTERM);
  return [&aStorm, &node, index] {
    node.process->Wait();
    StartInstance(aStorm, index);
  };
}

auto
InstancePaused(Storm& aStorm) -> End
{
  auto& node = aStorm.fleet.instances.at(InstanceName(DrawInstance(aStorm)));
  node.Pause();
  return [&node] { node.Resume(); };
}

auto
InstanceCutFromStore(Storm& aStorm) -> End
{
  auto& node = aStorm.fleet.instances.at(InstanceName(DrawInstance(aStorm)));
  return ProxyFault(node,
                    { { "refuse", true }, { "reset_open", true } },
                    { { "refuse", false } });
}

auto
WorkerPaused(Storm& aStorm) -> End
{
  auto& node = DrawWorker(aStorm);
  node.Pause();
  return [&node] { node.Resume(); };
}

auto
WorkerCutOff(Storm& aStorm) -> End
{
  auto& node = DrawWorker(aStorm);
  return ProxyFault(
    node, { { "drop_down", true } }, { { "drop_down", false } });
}

auto
WorkerFailsAll(Storm& aStorm) -> End
{
  const auto port = DrawWorker(aStorm).port;
  Call("POST", port, "/mode", R"({"fail_all": true})");
  return [port] { Call("POST", port, "/mode", R"({"fail_all": false})"); };
}

auto
ConnectionsSilent(Storm& aStorm) -> End
{
  DrawBackend(aStorm).Fault({ { "silence_open", true } });
  return [] {};
}

auto
ConnectionsReset(Storm& aStorm) -> End
{
  auto& node = DrawBackend(aStorm);
  node.Fault({ { "reset_open", true } });
  return [&node] { node.Fault({ { "reset_open", true } }); };
}

auto
AnswersCut(Storm& aStorm) -> End
{
  return ProxyFault(
    DrawBackend(aStorm), { { "cut_after", 150 } }, { { "cut_after", 0 } });
}

auto
AnswersLate(Storm& aStorm) -> End
{
  return ProxyFault(
    DrawBackend(aStorm), { { "delay_ms", 120 } }, { { "delay_ms", 0 } });
}

auto
BackendLeaves(Storm& aStorm) -> End
{
  const auto name = "backend-" + std::to_string(aStorm.Draw(kBackends));
  const auto port = aStorm.fleet.backends.at(name).port;
  Call("POST", port, "/mode", R"({"leaving": true})");
  const auto at = NowMillis();
  return [&aStorm, name, port, at] {
    aStorm.leftBackends.push_back({ name, at + kLeftAfterMs, NowMillis() });
    Call("POST", port, "/mode", R"({"leaving": false})");
  };
}

auto
DomainOut(Storm& aStorm) -> End
{
  const auto& domain = DomainOf(aStorm.Draw(3));
  if (aStorm.fleet.SetDomain(domain, "out").status != 200) {
    return [&aStorm, domain] { aStorm.fleet.SetDomain(domain, "in"); };
  }
  const auto at = NowMillis();
  return [&aStorm, domain, at] {
    aStorm.closedDomains.push_back(
      { domain, at + kClosedAfterMs, NowMillis() });
    Eventually(std::chrono::seconds{ 60 }, [&] {
      return aStorm.fleet.SetDomain(domain, "in").status == 200;
    });
  };
}

// Two operators edit the same section at once: at most one is accepted.
auto
EditsRace(Storm& aStorm) -> End
{
  auto editors = std::vector<std::jthread>{};
  for (auto index = 0; index < 2; ++index) {
    editors.emplace_back([&aStorm, index] {
      const auto text = std::string{ kTeam } + "# " +
                        std::to_string(aStorm.round) + "/" +
                        std::to_string(index) + "\n";
      aStorm.fleet.PutSection("team", text);
    });
  }
  return [] {};
}

auto
Cancellations(Storm& aStorm) -> End
{
  const auto wave = "cancel" + std::to_string(aStorm.round);
  aStorm.fleet.Submit("wave", 20, wave);
  for (auto index = 0; index < 20; ++index) {
    Call("DELETE",
         aStorm.fleet.AnyInstance().adminPort,
         "/v1/tasks/wave." + wave + "." + std::to_string(index));
  }
  return [] {};
}

auto
NoisyWave(Storm& aStorm) -> End
{
  aStorm.fleet.Submit("wave", 60, "noise" + std::to_string(aStorm.round));
  return [] {};
}

auto
LoadShift(Storm& aStorm) -> End
{
  auto ports = std::vector<int>{};
  for (const auto& [id, node] : aStorm.fleet.instances) {
    ports.push_back(node.port);
  }
  const auto seed =
    aStorm.seed * 1000 + static_cast<std::uint64_t>(aStorm.round) + 500;
  auto burst = std::make_shared<Load>(LoadOptions{ ports, 16, 0, 20, 0, seed });
  return [burst] { burst->Finish(); };
}

struct Fault
{
  const char* name;
  End (*begin)(Storm&);
};

constexpr std::array<Fault, 18> kFaults{ {
  { "store down", StoreDown },
  { "store slow", StoreSlow },
  { "store replies lost", RepliesLost },
  { "instance killed", InstanceKilled },
  { "instance stopped", InstanceStopped },
  { "instance paused", InstancePaused },
  { "instance cut from store", InstanceCutFromStore },
  { "worker paused", WorkerPaused },
  { "worker cut off", WorkerCutOff },
  { "worker fails all", WorkerFailsAll },
  { "connections silent", ConnectionsSilent },
  { "connections reset", ConnectionsReset },
  { "answers cut", AnswersCut },
  { "answers late", AnswersLate },
  { "backend server leaves", BackendLeaves },
  { "domain out and back", DomainOut },
  { "edits race", EditsRace },
  { "cancellations", Cancellations },
} };

constexpr std::array<Fault, 2> kLoads{ { { "noisy wave", NoisyWave },
                                         { "load shift", LoadShift } } };

// Looks at the document's number in force on every instance; it must not go
// back while a process lives.
class NumberWatch
{
public:
  explicit NumberWatch(std::map<std::string, Node>& aInstances)
  {
    for (const auto& [id, node] : aInstances) {
      this->ports.push_back(node.adminPort);
    }
    this->thread = std::jthread([this](const std::stop_token& aStop) {
      while (!aStop.stop_requested()) {
        for (const auto port : this->ports) {
          this->Look(port);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
      }
    });
  }

  auto Finish() -> int
  {
    this->thread.request_stop();
    this->thread.join();
    return this->reversals;
  }

private:
  auto Look(int aPort) -> void
  {
    const auto reply = Call("GET", aPort, "/v1/document");
    if (reply.status != 200) {
      // Perhaps a new process, which begins with what it reads.
      this->last.erase(aPort);
      return;
    }
    const auto number = reply.Json().value("number", std::int64_t{ 0 });
    auto& known = this->last[aPort];
    this->reversals += number < known && number != 0 ? 1 : 0;
    known = number;
  }

  std::vector<int> ports;
  std::map<int, std::int64_t> last;
  int reversals = 0;
  std::jthread thread;
};

auto
StartFleet(Storm& aStorm) -> void
{
  auto& fleet = aStorm.fleet;
  fleet.StartPlatform();
  const auto optionsFor = [](auto aOptions, const char* aKind, int aIndex) {
    aOptions.id = aKind + std::to_string(aIndex);
    aOptions.domain = DomainOf(aIndex);
    aOptions.behindProxy = true;
    return aOptions;
  };
  for (auto index = 0; index < kWorkers; ++index) {
    fleet.AddWorker(optionsFor(WorkerOptions{}, "worker-", index));
  }
  for (auto index = 0; index < kBackends; ++index) {
    fleet.AddBackend(optionsFor(BackendOptions{}, "backend-", index));
  }
  for (auto index = 0; index < kInstances; ++index) {
    StartInstance(aStorm, index);
  }
  fleet.PutSection("site", kSite);
  fleet.PutSection("team", kTeam);
  Eventually(std::chrono::seconds{ 20 }, [&] {
    return std::all_of(
      fleet.instances.begin(), fleet.instances.end(), [](const auto& aItem) {
        return Call("GET", aItem.second.adminPort, "/v1/services")
                 .body.find("backend-3") != std::string::npos;
      });
  });
}

auto
CallersOf(Storm& aStorm) -> LoadOptions
{
  auto options = LoadOptions{};
  for (const auto& [id, node] : aStorm.fleet.instances) {
    options.entries.push_back(node.port);
  }
  options.callers = 9;
  options.seed = aStorm.seed;
  return options;
}

// One round: new work, faults drawn at random times, their ends, a rest.
auto
RunRound(Storm& aStorm) -> void
{
  ++aStorm.round;
  const auto name = "round" + std::to_string(aStorm.round);
  aStorm.fleet.Submit("long", kTasksPerRound, name);
  aStorm.fleet.Submit("billing", kTasksPerRound, name);
  auto ends = std::vector<End>{};
  std::printf("round %3d:", aStorm.round);
  const auto begin = [&](const Fault& aFault) {
    std::printf(" %s;", aFault.name);
    std::fflush(stdout);
    ++aStorm.drawn[aFault.name];
    ends.push_back(aFault.begin(aStorm));
    std::this_thread::sleep_for(std::chrono::milliseconds{ aStorm.Draw(2500) });
  };
  begin(kLoads[static_cast<std::size_t>(aStorm.Draw(kLoads.size()))]);
  for (auto index = 0; index < kFaultsPerRound; ++index) {
    begin(kFaults[static_cast<std::size_t>(aStorm.Draw(kFaults.size()))]);
  }
  std::this_thread::sleep_for(
    std::chrono::milliseconds{ 2000 + aStorm.Draw(8000) });
  for (auto end = ends.rbegin(); end != ends.rend(); ++end) {
    (*end)();
  }
  std::printf("\n");
  std::this_thread::sleep_for(kRest);
}

auto
WorkersOf(const std::string& aDomain) -> std::set<std::string>
{
  auto workers = std::set<std::string>{};
  for (auto index = 0; index < kWorkers; ++index) {
    if (DomainOf(index) == aDomain) {
      workers.insert("worker-" + std::to_string(index));
    }
  }
  return workers;
}

auto
Print(const char* aPromise, const Violations& aViolations) -> bool
{
  for (const auto& violation : aViolations) {
    std::printf("  %s\n", violation.c_str());
  }
  std::printf("%-52s %4zu %s\n",
              aPromise,
              aViolations.size(),
              aViolations.empty() ? "kept" : "BROKEN");
  return aViolations.empty();
}

// What is not done although nothing fails any more.
auto
Unfinished(Fleet& aFleet) -> Violations
{
  auto unfinished = Violations{};
  const auto finished = Eventually(kFinishAtMost, [&] {
    unfinished.clear();
    for (const auto& task : aFleet.Tasks()) {
      const auto id = task.at("id").get<std::string>();
      const auto phase = task.at("phase").get<std::string>();
      const auto done = phase == "finished" || phase == "cancelled" ||
                        phase == "moved" ||
                        (phase == "lost" && id.starts_with("billing.")) ||
                        (phase == "parked" && id.starts_with("wave."));
      if (!done && !id.starts_with("locker.")) {
        unfinished.push_back(std::string{ id }.append(" is ").append(phase));
      }
    }
    return unfinished.empty();
  });
  return finished ? Violations{} : unfinished;
}

auto
RunStorm(std::uint64_t aSeed, int aMinutes) -> int
{
  auto storm = Storm{ aSeed };
  StartFleet(storm);
  auto load = Load{ CallersOf(storm) };
  auto watch = NumberWatch{ storm.fleet.instances };
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::minutes{ aMinutes };
  while (std::chrono::steady_clock::now() < end) {
    RunRound(storm);
  }
  const auto unfinished = Unfinished(storm.fleet);
  const auto views = load.Finish();
  const auto record = storm.fleet.Record();
  std::printf("\nseed %llu, %d rounds, %zu requests, %d task starts\n",
              static_cast<unsigned long long>(aSeed),
              storm.round,
              views.size(),
              CountEvents(record, "start"));
  auto verdicts = std::map<std::string, int>{};
  for (const auto& view : views) {
    ++verdicts[view.whole ? "answered" : view.verdict];
  }
  for (const auto& [verdict, count] : verdicts) {
    std::printf("  %-16s %d\n", verdict.c_str(), count);
  }
  auto closed = Violations{};
  for (const auto& ban : storm.closedDomains) {
    const auto found =
      JudgeNoStarts(record, WorkersOf(ban.place), ban.from, ban.to);
    closed.insert(closed.end(), found.begin(), found.end());
  }
  auto left = Violations{};
  for (const auto& ban : storm.leftBackends) {
    const auto found = JudgeNoRequests(record, ban.place, ban.from, ban.to);
    left.insert(left.end(), found.begin(), found.end());
  }
  const auto reversals = watch.Finish();
  auto kept = Print("whole answers, marked once, \"not run\" true",
                    JudgeRequests(record, views));
  kept = Print("never two at once, resumed and finished once, room",
               JudgeTasks(record, { "billing." })) &&
         kept;
  kept =
    Print("no start in a domain 5 s after it was taken out", closed) && kept;
  kept = Print("nothing sent to a server 3 s after it left", left) && kept;
  kept = Print("the document never goes back",
               Violations(static_cast<std::size_t>(reversals), "a reversal")) &&
         kept;
  kept = Print("all batch work ends once the faults do", unfinished) && kept;
  std::printf("%s\n", kept ? "all promises kept" : "A PROMISE BROKE");
  return kept ? 0 : 1;
}

// Planned stops under load. The balancer learns of each with its lag.
auto
RunStops(std::uint64_t aSeed, int aStops) -> int
{
  auto storm = Storm{ aSeed };
  StartFleet(storm);
  auto options = CallersOf(storm);
  options.callers = 24;
  options.pauseMs = 0;
  auto load = Load{ options };
  auto failures = 0;
  for (auto stop = 0; stop < aStops; ++stop) {
    const auto index = stop % kInstances;
    auto& node = storm.fleet.instances.at(InstanceName(index));
    node.process->Signal(SIGTERM);
    std::this_thread::sleep_for(kBalancerLag);
    load.TakeOut(index);
    failures += node.process->Wait() == 0 ? 0 : 1;
    StartInstance(storm, index);
    Eventually(std::chrono::seconds{ 20 }, [&] {
      return Call("GET", node.adminPort, "/readyz").status == 200;
    });
    load.PutBack(index);
  }
  const auto views = load.Finish();
  const auto cut =
    std::count_if(views.begin(), views.end(), [](const CallerView& aView) {
      return !aView.whole;
    });
  std::printf("%d planned stops, %d failed, %zu requests, %td without their "
              "answer\n",
              aStops,
              failures,
              views.size(),
              cut);
  const auto kept = Print("whole answers, marked once, \"not run\" true",
                          JudgeRequests(storm.fleet.Record(), views));
  return kept && cut == 0 && failures == 0 ? 0 : 1;
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  std::signal(SIGPIPE, SIG_IGN);
  constexpr std::array<option, 4> kOptions{
    { { "seed", required_argument, nullptr, 's' },
      { "minutes", required_argument, nullptr, 'm' },
      { "stops", required_argument, nullptr, 'p' },
      { nullptr, 0, nullptr, 0 } }
  };
  auto seed = std::uint64_t{ 1 };
  auto minutes = 2;
  auto stops = 0;
  for (;;) {
    const auto letter =
      ::getopt_long(aCount, aArguments, "", kOptions.data(), nullptr);
    if (letter == -1) {
      break;
    }
    switch (letter) {
      case 's':
        seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'm':
        minutes = std::atoi(optarg);
        break;
      case 'p':
        stops = std::atoi(optarg);
        break;
      default:
        std::fputs("usage: chaos [--seed N] [--minutes M | --stops N]\n",
                   stderr);
        return 2;
    }
  }
  return stops > 0 ? RunStops(seed, stops) : RunStorm(seed, minutes);
}
