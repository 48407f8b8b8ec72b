// The cases of the second review that are scripts: cases2 CASE DIRECTORY.
// Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.

#include <algorithm>
#include <iostream>

#include "site2.h"

namespace {

using namespace gooseberry;
using namespace gooseberry::review;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr const char* kJob = "00000000000000a1";

auto
UnixMillis() -> std::int64_t
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

auto
Eventually(std::int64_t aMillis, const std::function<bool()>& aHolds) -> bool
{
  constexpr std::int64_t kStepMs = 20;
  const auto until = std::chrono::steady_clock::now() + Millis{ aMillis };
  while (!aHolds()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    Sleep(kStepMs);
  }
  return true;
}

auto
StartsOf(Site& aSite, const std::string& aJob, std::uint32_t aOccurrence)
  -> std::size_t
{
  const auto events = aSite.Events();
  return static_cast<std::size_t>(
    std::count_if(events.begin(), events.end(), [&](const RunEvent& aEvent) {
      return aEvent.event.kind == fakes::JobEventKind::Start &&
             aEvent.event.task.job.Text() == aJob &&
             aEvent.event.task.occurrence == aOccurrence;
    }));
}

auto
Verdict(Site& aSite, int aVerdict, const std::string& aText) -> int
{
  aSite.Note((aVerdict == kBroken ? "BROKEN: "
              : aVerdict == kHeld ? "held: "
                                  : "could not run: ") +
             aText);
  std::cout << aText << '\n';
  return aVerdict;
}

// A job with three due times on a full service. The room that becomes free
// first goes to the occurrence that can still be in time, the third; then the
// owner is killed, while the first two have never started.
auto
TimedJob(const std::string& aDirectory) -> int
{
  auto options = SiteOptions{};
  options.workers = 3;
  const auto longJobs =
    std::vector<std::string>{ "00000000000000b1", "00000000000000b2" };
  const std::string shortJob = "00000000000000b3";
  options.plan = [&](const cells::TaskName& aTask, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    const auto job = aTask.job.Text();
    const auto isLong =
      std::find(longJobs.begin(), longJobs.end(), job) != longJobs.end();
    plan.duration = Millis{ isLong            ? 26000
                            : job == shortJob ? 13500
                            : job == kJob     ? 3000
                                              : 100 };
    plan.size = { job == "00000000000000ff" ? 100 : 16000, 1000, 0 };
    return plan;
  };
  auto site = Site{ std::move(options), aDirectory };
  if (!site.AwaitService()) {
    return Verdict(site, kCouldNotRun, "the site does not serve");
  }
  const auto oneTask = [](int aEstimateMs) {
    return R"("steps":[{"count":1,"cpu":16000,"memMb":1000,"estimateMs":)" +
           std::to_string(aEstimateMs) + "}]";
  };
  for (const auto& job : longJobs) {
    site.Submit(job, R"({"spec":"long",)" + oneTask(26000) + "}");
  }
  site.Submit(shortJob, R"({"spec":"short",)" + oneTask(13500) + "}");
  if (!Eventually(3000, [&] { return site.Running() == 3; })) {
    return Verdict(site, kCouldNotRun, "the service is not full");
  }
  constexpr int kIntervalMs = 5000;
  constexpr std::uint32_t kOccurrences = 3;
  site.Submit(kJob,
              R"({"spec":"settlement",)" + oneTask(3000) +
                R"(,"repeatCount":3,"startAtMs":)" +
                std::to_string(UnixMillis() + 500) + R"(,"intervalMs":)" +
                std::to_string(kIntervalMs) + "}");
  if (!Eventually(20000, [&] {
        return StartsOf(site, kJob, 0) + StartsOf(site, kJob, 1) +
                 StartsOf(site, kJob, 2) >
               0;
      })) {
    return Verdict(site, kCouldNotRun, "no occurrence started");
  }
  Sleep(1000);
  if (WithTrouble()) {
    const auto owner = site.Owner();
    if (owner < 0) {
      return Verdict(site, kCouldNotRun, "no instance owns the cell");
    }
    site.KillInstance(owner);
    Sleep(3500);
    site.StartInstance(owner);
  }
  // All other work has ended 26 s after it began.
  if (!Eventually(50000, [&] {
        const auto ended = site.StateOf(longJobs[0]) == "completed" &&
                           site.StateOf(longJobs[1]) == "completed";
        return ended && site.Running() == 0;
      })) {
    return Verdict(site, kCouldNotRun, "the other jobs did not end");
  }
  // Three seconds with nothing running and all room free, and the rest of
  // `finish_s` besides.
  constexpr std::int64_t kFinishMs = 14000;
  if (Eventually(kFinishMs,
                 [&] { return site.StateOf(kJob) == "completed"; })) {
    return Verdict(site, kHeld, "the job completed");
  }
  for (auto number = std::uint32_t{ 0 }; number < kOccurrences; ++number) {
    if (StartsOf(site, kJob, number) == 0) {
      return Verdict(site,
                     kBroken,
                     "occurrence " + std::to_string(number) +
                       " never started, with all workers idle for 14 s; the "
                       "job is shown as " +
                       site.StateOf(kJob));
    }
  }
  return Verdict(site, kBroken, "the job is not completed");
}

// A job of one task. The worker that runs it crashes, and once more the next
// one. Nothing has failed by itself.
auto
CrashingWorkers(const std::string& aDirectory) -> int
{
  auto options = SiteOptions{};
  options.plan = [](const cells::TaskName& aTask, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    plan.duration = Millis{ aTask.job.Text() == kJob ? 2500 : 100 };
    plan.size = { 4000, 1000, 0 };
    return plan;
  };
  auto site = Site{ std::move(options), aDirectory };
  if (!site.AwaitService()) {
    return Verdict(site, kCouldNotRun, "the site does not serve");
  }
  site.Submit(
    kJob,
    R"({"spec":"batch","steps":[{"count":1,"cpu":4000,"memMb":1000,"estimateMs":2500}]})");
  for (auto crash = 0; crash < 2 && WithTrouble(); ++crash) {
    auto worker = -1;
    if (!Eventually(15000, [&] {
          worker = site.WorkerOf(kJob);
          return worker >= 0;
        })) {
      return Verdict(site, kCouldNotRun, "the task does not run");
    }
    Sleep(1200);
    site.CrashWorker(worker);
    Sleep(1000);
    site.ReplaceWorker(worker, worker);
  }
  auto state = std::string{};
  Eventually(25000, [&] {
    state = site.StateOf(kJob);
    return state == "completed" || state == "failed" || state == "cancelled";
  });
  const auto events = site.Events();
  const auto failures =
    std::count_if(events.begin(), events.end(), [](const RunEvent& aEvent) {
      return aEvent.event.kind == fakes::JobEventKind::End &&
             aEvent.event.how == cells::RunOutcome::Failed;
    });
  if (state == "failed" && failures == 0) {
    return Verdict(site,
                   kBroken,
                   "the job is shown as failed, and no run has ended `failed`");
  }
  return state == "completed"
           ? Verdict(site, kHeld, "the job completed")
           : Verdict(site, kBroken, "the job is shown as " + state);
}

// The worker that runs a job's only task is lost for good, and a worker of
// another machine starts at its address.
auto
ReusedAddress(const std::string& aDirectory) -> int
{
  auto options = SiteOptions{};
  options.plan = [](const cells::TaskName& aTask, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    plan.duration = Millis{ aTask.job.Text() == kJob ? 4000 : 100 };
    plan.size = { 4000, 1000, 0 };
    return plan;
  };
  const auto workers = options.workers;
  auto site = Site{ std::move(options), aDirectory };
  if (!site.AwaitService()) {
    return Verdict(site, kCouldNotRun, "the site does not serve");
  }
  // So long that the clock of a later process is behind.
  Sleep(5000);
  site.Submit(
    kJob,
    R"({"spec":"batch","steps":[{"count":1,"cpu":4000,"memMb":1000,"estimateMs":4000}]})");
  auto worker = -1;
  if (!Eventually(5000, [&] {
        worker = site.WorkerOf(kJob);
        return worker >= 0;
      })) {
    return Verdict(site, kCouldNotRun, "the task does not run");
  }
  if (WithTrouble()) {
    Sleep(1000);
    site.CrashWorker(worker);
    constexpr std::int64_t kReusedAfterMs = 2500;
    Sleep(kReusedAfterMs);
    site.ReplaceWorker(worker, workers);
  }
  constexpr std::int64_t kWatchedMs = 40000;
  if (Eventually(kWatchedMs,
                 [&] { return site.StateOf(kJob) == "completed"; })) {
    return Verdict(site, kHeld, "the job completed");
  }
  return Verdict(site,
                 kBroken,
                 "the task was started " +
                   std::to_string(StartsOf(site, kJob, 0)) +
                   " times and never again in 40 s beside idle workers; the "
                   "job is shown as " +
                   site.StateOf(kJob));
}

// Only one worker has the label that a job needs. It crashes and starts again
// under its id as another kind, and writes its entry 1.2 s later.
auto
AnotherKind(const std::string& aDirectory) -> int
{
  auto options = SiteOptions{};
  options.kindOf = [](int aWorker) { return aWorker == 0 ? "scan" : "a"; };
  options.plan = [](const cells::TaskName& aTask, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    plan.duration = Millis{ aTask.job.Text() == kJob ? 400 : 100 };
    plan.size = { 4000, 1000, 0 };
    return plan;
  };
  auto site = Site{ std::move(options), aDirectory };
  if (!site.AwaitService()) {
    return Verdict(site, kCouldNotRun, "the site does not serve");
  }
  const auto body = std::string{
    R"({"spec":"scan","steps":[{"count":24,"cpu":4000,"memMb":1000,"estimateMs":400,"requires":"scan"}]})"
  };
  site.Submit(kJob, body);
  if (!Eventually(5000, [&] { return StartsOf(site, kJob, 0) >= 8; })) {
    return Verdict(site, kCouldNotRun, "the job does not run");
  }
  if (WithTrouble()) {
    site.CrashWorker(0);
    Sleep(300);
    site.RestartWorker(0, "a", Millis{ 1200 });
  }
  Sleep(6000);
  const auto events = site.Events();
  for (const auto& [event, labels] : events) {
    if (event.kind == fakes::JobEventKind::Start &&
        event.task.job.Text() == kJob && labels[0] != "scan") {
      return Verdict(site,
                     kBroken,
                     "a worker of kind " + labels[0] +
                       " was told to start a task that requires `scan`");
    }
  }
  return Verdict(site, kHeld, "all starts went to a worker with the label");
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  const auto cases =
    std::map<std::string, std::function<int(const std::string&)>>{
      { "timed-job", TimedJob },
      { "crashing-workers", CrashingWorkers },
      { "reused-address", ReusedAddress },
      { "another-kind", AnotherKind },
    };
  const auto found = aCount == 3 ? cases.find(aArguments[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: cases2 CASE DIRECTORY\n";
    return kCouldNotRun;
  }
  try {
    return found->second(aArguments[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCouldNotRun;
  }
}
