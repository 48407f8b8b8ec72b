// One of eight workers goes down and up by turns; a job of tasks that last is
// shown as failed, and its tasks on the sound workers are stopped.

#include "smallfleet.h"

namespace {

using gooseberry::Millis;
namespace cells = gooseberry::cells;
namespace fakes = gooseberry::fakes;
namespace review = gooseberry::review;

constexpr const char* kJob = "00000000000000c3";
constexpr int kWorkers = 8;
constexpr int kFlapping = 3;
// As in the site files: the period, and for how long.
constexpr Millis kPeriod{ 1400 };
constexpr Millis kFlaps{ 6500 };

auto
LastingJob() -> std::string
{
  return R"({"spec":"watch","steps":[{"count":)" + std::to_string(kWorkers) +
         R"(,"cpu":1000,"memMb":1000,"estimateMs":500,"longRunning":true,)" +
         R"("antiAffinity":1,"mayMiss":1}]})";
}

auto
Play(const std::string& aRecord) -> int
{
  constexpr int kCannotRun = 2;
  constexpr int kOk = 200;
  auto options = review::SmallFleetOptions{};
  options.workers = kWorkers;
  auto fleet = review::SmallFleet{ options, aRecord };
  fleet.SetPlan([](const cells::TaskName& /*aTask*/, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    plan.lasting = true;
    plan.size = { 1000, 1000, 0 };
    return plan;
  });
  if (!fleet.WaitUntilReady()) {
    return kCannotRun;
  }
  const auto entry = fleet.Owner() == 0 ? 1 : 0;
  if (fleet.Ask(entry, "POST", kJob, LastingJob()).status != kOk) {
    return kCannotRun;
  }
  const auto job = *cells::JobId::Parse(kJob);
  const auto atWork = [&] {
    auto count = 0;
    for (auto index = std::uint32_t{ 0 }; index < kWorkers; ++index) {
      count += fleet.WorkerOf({ job, 0, 0, index }) >= 0 ? 1 : 0;
    }
    return count;
  };
  if (!fleet.RunUntil(Millis{ 10000 }, [&] { return atWork() == kWorkers; })) {
    return kCannotRun;
  }
  fleet.RunFor(Millis{ 4000 });
  if (!review::IsWithoutTrouble()) {
    for (auto since = Millis{ 0 }; since + kPeriod <= kFlaps;
         since += kPeriod) {
      fleet.CrashWorker(kFlapping, kPeriod / 2);
      fleet.RunFor(kPeriod);
    }
  }
  // 6 s after its last run a task must be started within 3 s; finish_s is 14.
  fleet.RunFor(Millis{ 20000 });
  const auto state = fleet.StateAt(entry, kJob);
  auto failedEnds = 0;
  for (const auto& event : fleet.Events()) {
    failedEnds += event.kind == fakes::JobEventKind::End &&
                      event.how == cells::RunOutcome::Failed
                    ? 1
                    : 0;
  }
  return review::Conclude(fleet,
                          state == "failed" || atWork() < kWorkers,
                          "the job is shown as " + state +
                            "; ends 'failed': " + std::to_string(failedEnds) +
                            "; tasks at work: " + std::to_string(atWork()) +
                            " of " + std::to_string(kWorkers));
}

} // namespace

auto
main(int /*aCount*/, char** aArguments) -> int
{
  return review::RunScript([aArguments] { return Play(aArguments[1]); });
}
