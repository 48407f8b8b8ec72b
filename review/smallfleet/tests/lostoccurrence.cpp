// A timed job loses one of its times when the owner of its cell is killed.

#include "smallfleet.h"

namespace {

using gooseberry::Millis;
namespace cells = gooseberry::cells;
namespace fakes = gooseberry::fakes;
namespace review = gooseberry::review;

constexpr const char* kLarge = "00000000000000a1";
constexpr const char* kTimed = "00000000000000b2";
constexpr int kTimes = 3;
constexpr int kOk = 200;
constexpr int kLastSeconds = 40;

// Takes all workers for some seconds.
auto
LargeJob(int aWorkers) -> std::string
{
  return R"({"spec":"large","steps":[{"count":)" + std::to_string(aWorkers) +
         R"(,"cpu":4000,"memMb":1000,"estimateMs":5000}]})";
}

auto
TimedJob(std::int64_t aFirst) -> std::string
{
  return R"({"spec":"timed","repeatCount":)" + std::to_string(kTimes) +
         R"(,"startAtMs":)" + std::to_string(aFirst) +
         R"(,"intervalMs":2000,"steps":[{"count":2,"cpu":4000,"memMb":1000,)" +
         R"("estimateMs":500}]})";
}

auto
Play(const std::string& aRecord) -> int
{
  constexpr int kCannotRun = 2;
  auto options = review::SmallFleetOptions{};
  options.workers = 4;
  auto fleet = review::SmallFleet{ options, aRecord };
  const auto large = *cells::JobId::Parse(kLarge);
  fleet.SetPlan([large](const cells::TaskName& aTask, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    plan.duration = aTask.job == large ? Millis{ 5000 } : Millis{ 2500 };
    plan.size = { 4000, 1000, 0 };
    return plan;
  });
  if (!fleet.WaitUntilReady()) {
    return kCannotRun;
  }
  const auto entry = fleet.Owner() == 0 ? 1 : 0;
  if (fleet.Ask(entry, "POST", kLarge, LargeJob(options.workers)).status !=
        kOk ||
      fleet.Ask(entry, "POST", kTimed, TimedJob(fleet.UnixMillis() + 200))
          .status != kOk) {
    return kCannotRun;
  }
  // Whether a run of this time of the timed job has started.
  const auto timed = *cells::JobId::Parse(kTimed);
  const auto starts = [&](std::uint32_t aTime) {
    auto count = 0;
    for (const auto& event : fleet.Events()) {
      count += event.kind == fakes::JobEventKind::Start &&
                   event.task.job == timed && event.task.occurrence == aTime
                 ? 1
                 : 0;
    }
    return count;
  };
  fleet.RunUntil(Millis{ 15000 },
                 [&] { return starts(0) + starts(1) + starts(2) > 0; });
  fleet.RunFor(Millis{ 1000 });
  if (!review::IsWithoutTrouble()) {
    const auto owner = fleet.Owner();
    fleet.Kill(owner);
    fleet.RunFor(Millis{ 3500 });
    fleet.Start(owner);
  }
  // All times need 3 s together on four workers; finish_s is 14.
  auto state = std::string{};
  for (auto second = 0; second < kLastSeconds && state != "completed";
       ++second) {
    fleet.RunFor(Millis{ 1000 });
    state = fleet.StateAt(entry, kTimed);
  }
  auto text = "the timed job is shown as " + state + "; runs by time:";
  for (auto time = 0; time < kTimes; ++time) {
    text += " " + std::to_string(starts(static_cast<std::uint32_t>(time)));
  }
  return review::Conclude(fleet, state != "completed", text);
}

} // namespace

auto
main(int /*aCount*/, char** aArguments) -> int
{
  return review::RunScript([aArguments] { return Play(aArguments[1]); });
}
