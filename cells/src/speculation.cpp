#include "speculation.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::cells {

namespace {

// Tasks of one step differ by about 0.3 of their mean, so a run is late if it
// takes this many times as long as the longest of those that are done.
constexpr double kLateFactor = 1.5;
// Part of a step that must be done before its runs are compared with each
// other.
constexpr double kMinDoneFraction = 0.5;
// Without runs to compare with: late beyond this many deviations of the
// expected time. One step in a hundred takes longer without a fault.
constexpr double kLateDeviations = 2.3;
// Time for an end to be reported and for an order to arrive. A copy saves less
// than that otherwise.
constexpr Millis kReportDelay{ 250 };
// Part of the idle processors that second runs may use.
constexpr std::int64_t kBudgetDivisor = 4;

auto
Times(Millis aTime, double aFactor) -> Millis
{
  return Millis{ std::llround(static_cast<double>(aTime.count()) * aFactor) };
}

} // namespace

auto
LateAfter(const RunLateness& aRun) -> std::optional<Millis>
{
  if (aRun.longestDone.count() > 0 && aRun.doneFraction >= kMinDoneFraction) {
    return Times(aRun.longestDone, kLateFactor * aRun.relativeRunTime) +
           kReportDelay;
  }
  if (aRun.expected) {
    return Times(aRun.expected->median,
                 std::exp(kLateDeviations * aRun.expected->logDeviation) *
                   aRun.relativeRunTime) +
           kReportDelay;
  }
  return std::nullopt;
}

auto
IsLate(const RunLateness& aRun) -> bool
{
  const auto lateAfter = LateAfter(aRun);
  return lateAfter && aRun.elapsed > *lateAfter;
}

auto
AttemptsAllowSecondRun(std::uint32_t aFailures, std::uint32_t aMaxAttempts)
  -> bool
{
  return aFailures + 2 <= aMaxAttempts;
}

auto
DisplacedCpu(std::int64_t aNeeded, std::int64_t aIdle, std::int64_t aBestEffort)
  -> std::int64_t
{
  const auto lacking = aNeeded - std::max<std::int64_t>(0, aIdle);
  return std::clamp<std::int64_t>(
    lacking, 0, std::max<std::int64_t>(0, aBestEffort));
}

auto
CopyBudget(std::int64_t aIdleCpuMillis) -> std::int64_t
{
  return std::max<std::int64_t>(0, aIdleCpuMillis) / kBudgetDivisor;
}

} // namespace gooseberry::cells
