// The owner is killed while the store holds the jobs of the last two minutes;
// instances whose link has 10 Mbit/s can't take its cell over any more.

#include "modelsite.h"
#include "smallfleet.h"

namespace {

using gooseberry::Millis;
namespace cells = gooseberry::cells;
namespace fakes = gooseberry::fakes;
namespace review = gooseberry::review;

constexpr const char* kLasting = "00000000000fffff";
constexpr const char* kWatch =
  R"({"spec":"watch","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":500,)"
  R"("longRunning":true}]})";
constexpr int kTasks = 4;
constexpr int kOk = 200;
// As in the site file: the link of most machines. 27 jobs a second, which stay
// known for status_s, are 3,240.
constexpr double kMegabits = 10.0;
constexpr int kJobs = 3240;
constexpr std::size_t kSpecBytes = 1124;
// So many are handed in at once, and how long after the ones before.
constexpr int kAtOnce = 3;
constexpr Millis kBetween{ 50 };

auto
ShortJob() -> std::string
{
  return R"({"spec":")" + std::string(kSpecBytes, 'x') +
         R"(","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]})";
}

auto
Play(const std::string& aRecord) -> int
{
  constexpr int kCannotRun = 2;
  auto options = review::SmallFleetOptions{};
  options.linkMegabits = kMegabits;
  auto fleet = review::SmallFleet{ options, aRecord };
  const auto lasting = *cells::JobId::Parse(kLasting);
  fleet.SetPlan([&](const cells::TaskName& aTask, std::uint32_t /*aRun*/) {
    auto plan = fakes::WorkPlan{};
    plan.lasting = aTask.job == lasting;
    plan.duration = Millis{ 100 };
    plan.size = { plan.lasting ? 500 : 100, plan.lasting ? 100 : 10, 0 };
    return plan;
  });
  if (!fleet.WaitUntilReady()) {
    return kCannotRun;
  }
  const auto owner = fleet.Owner();
  const auto entry = (owner + 1) % options.instances;
  if (fleet.Ask(entry, "POST", kLasting, kWatch).status != kOk) {
    return kCannotRun;
  }
  fleet.RecordRequests(false);
  fleet.RecordEventsOf(lasting);
  const auto body = ShortJob();
  auto accepted = 0;
  for (auto number = 0; number < kJobs; ++number) {
    fleet.Send(number % options.instances,
               "POST",
               fakes::NumberedJob(static_cast<std::uint64_t>(number)).Text(),
               body,
               [&accepted](const review::ClientAnswer& aAnswer) {
                 accepted += aAnswer.status == kOk ? 1 : 0;
               });
    if (number % kAtOnce == kAtOnce - 1) {
      fleet.RunFor(kBetween);
    }
  }
  fleet.RunFor(Millis{ 2000 });
  fleet.RecordRequests(true);
  fleet.Record("accepted: " + std::to_string(accepted) + " jobs of " +
               std::to_string(kSpecBytes) + " bytes of spec");
  if (!review::IsWithoutTrouble()) {
    fleet.Kill(fleet.Owner());
    constexpr Millis kDown{ 3500 };
    fleet.RunFor(kDown);
    for (auto instance = 0; instance < options.instances; ++instance) {
      fleet.Start(instance);
    }
  }
  // A job that comes now, and what lasts.
  const auto last = fakes::NumberedJob(kJobs);
  const auto status = fleet.Ask(entry, "POST", last.Text(), body).status;
  constexpr Millis kWait{ 25000 };
  fleet.RunFor(kWait);
  auto starts = 0;
  for (const auto& event : fleet.Events()) {
    starts += event.kind == fakes::JobEventKind::Start && event.task.job == last
                ? 1
                : 0;
  }
  auto atWork = 0;
  for (auto index = std::uint32_t{ 0 }; index < kTasks; ++index) {
    atWork += fleet.WorkerOf({ lasting, 0, 0, index }) >= 0 ? 1 : 0;
  }
  return review::Conclude(
    fleet,
    (status == kOk && starts == 0) || atWork < kTasks,
    "25 s later: tasks at work that last: " + std::to_string(atWork) + " of " +
      std::to_string(kTasks) + "; a job that was answered with " +
      std::to_string(status) + " has started " + std::to_string(starts) +
      " tasks");
}

} // namespace

auto
main(int /*aCount*/, char** aArguments) -> int
{
  return review::RunScript([aArguments] { return Play(aArguments[1]); });
}
