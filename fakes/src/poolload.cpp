#include "poolload.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::fakes {

namespace {

// Lasting jobs arrive within this time.
constexpr Millis kLastingArrive{ 1500 };
// Sizes of jobs as they are common on large sites.
constexpr std::uint32_t kLastingTasks = 24;
constexpr Resources kLastingTask{ 13000, 26000, 0 };
constexpr Millis kLastingTime{ 15000 };
constexpr Resources kShortTask{ 12000, 24000, 0 };
constexpr Millis kShortTime{ 800 };
constexpr double kShortWidth = 13.0;
constexpr double kMostShortWidth = 80.0;
constexpr Resources kBestEffortTask{ 7000, 13000, 0 };
constexpr Millis kBestEffortTime{ 2200 };
constexpr double kBestEffortWidth = 40.0;
constexpr double kMostBestEffortWidth = 160.0;
// Best-effort tasks do not raise the tails of lasting ones, which stay far
// below their target.
constexpr int kServingImages = 16;
constexpr int kFillingImages = 30;
constexpr Millis kTailTarget{ 150 };
constexpr double kTailMs = 30.0;
// Lasting tasks use half of what they reserve.
constexpr double kIdleOfLasting = 0.5;

auto
CoreSeconds(const Resources& aTask, Millis aTime) -> double
{
  constexpr double kMillion = 1'000'000.0;
  return static_cast<double>(aTask.cpuMillis) *
         static_cast<double>(aTime.count()) / kMillion;
}

auto
DrawWidth(FaultyFleet& aFleet, double aMean, double aMost) -> std::uint32_t
{
  constexpr double kSpread = 0.7;
  auto draw = std::lognormal_distribution{ -kSpread * kSpread / 2, kSpread };
  return static_cast<std::uint32_t>(
    std::clamp(std::round(aMean * draw(aFleet.Random())), 1.0, aMost));
}

auto
DrawImage(FaultyFleet& aFleet, const char* aPrefix, int aImages) -> std::string
{
  auto draw = std::uniform_int_distribution{ 1, aImages };
  return aPrefix + std::to_string(draw(aFleet.Random()));
}

auto
Step(std::uint32_t aTasks, Resources aSize, Millis aTime) -> cells::StepSpec
{
  auto step = cells::StepSpec{ aTasks, aSize, aTime };
  step.image = "image";
  return step;
}

auto
SubmitLasting(FaultyFleet& aFleet) -> void
{
  auto step = Step(kLastingTasks, kLastingTask, kLastingTime);
  step.longRunning = true;
  step.image = DrawImage(aFleet, "serving-", kServingImages);
  step.tailLatencyTarget = kTailTarget;
  auto plan = WorkPlan{ kLastingTime };
  plan.tailMs = kTailMs;
  aFleet.Submit({ "lasting", { step } }, plan);
}

auto
SubmitShort(FaultyFleet& aFleet) -> void
{
  auto spec = cells::JobSpec{ "short" };
  spec.steps.push_back(Step(
    DrawWidth(aFleet, kShortWidth, kMostShortWidth), kShortTask, kShortTime));
  aFleet.Submit(spec, { kShortTime });
}

auto
SubmitBestEffort(FaultyFleet& aFleet) -> void
{
  auto spec = cells::JobSpec{ "best effort" };
  const auto image = DrawImage(aFleet, "filling-", kFillingImages);
  for (auto number = std::uint32_t{ 0 }; number < 2; ++number) {
    auto step = Step(DrawWidth(aFleet, kBestEffortWidth, kMostBestEffortWidth),
                     kBestEffortTask,
                     kBestEffortTime);
    step.bestEffort = true;
    step.savesCheckpoints = true;
    step.image = image;
    if (number > 0) {
      step.dependencies = { 0 };
    }
    spec.steps.push_back(step);
  }
  aFleet.Submit(spec, { kBestEffortTime });
}

// Submits jobs at exponential intervals until aUntil.
auto
KeepSubmitting(FaultyFleet& aFleet,
               double aPerSecond,
               Time aUntil,
               void (*aSubmit)(FaultyFleet&)) -> void
{
  if (aPerSecond <= 0.0) {
    return;
  }
  auto gap = std::exponential_distribution{ aPerSecond };
  const auto wait = std::chrono::duration_cast<Millis>(
    std::chrono::duration<double>(gap(aFleet.Random())));
  if (aFleet.Now() + wait >= aUntil) {
    return;
  }
  aFleet.After(wait, [&aFleet, aPerSecond, aUntil, aSubmit] {
    aSubmit(aFleet);
    KeepSubmitting(aFleet, aPerSecond, aUntil, aSubmit);
  });
}

} // namespace

auto
SubmitPoolLoad(FaultyFleet& aFleet, const PoolLoad& aLoad) -> void
{
  constexpr double kMillisPerCore = 1000.0;
  const auto lastingCores = aLoad.cores * aLoad.lasting;
  const auto jobs = static_cast<int>(
    lastingCores /
    (kLastingTasks * static_cast<double>(kLastingTask.cpuMillis) /
     kMillisPerCore));
  for (auto job = 0; job < jobs; ++job) {
    aFleet.After(kLastingArrive * job / std::max(jobs, 1),
                 [&aFleet] { SubmitLasting(aFleet); });
  }
  const auto until = aFleet.Now() + kPoolOthersBegin + aLoad.time;
  const auto shortWork = kShortWidth * CoreSeconds(kShortTask, kShortTime);
  const auto bestEffortWork =
    2 * kBestEffortWidth * CoreSeconds(kBestEffortTask, kBestEffortTime);
  const auto shortRate = (aLoad.cores - lastingCores) * aLoad.load / shortWork;
  const auto bestEffortRate =
    (aLoad.cores - lastingCores * (1.0 - kIdleOfLasting)) * aLoad.bestEffort /
    bestEffortWork;
  aFleet.After(kPoolOthersBegin, [&aFleet, shortRate, bestEffortRate, until] {
    KeepSubmitting(aFleet, shortRate, until, SubmitShort);
    KeepSubmitting(aFleet, bestEffortRate, until, SubmitBestEffort);
  });
}

} // namespace gooseberry::fakes
