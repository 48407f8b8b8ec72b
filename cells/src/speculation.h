#ifndef GOOSEBERRY_SPECULATION_H
#define GOOSEBERRY_SPECULATION_H

// Decides when a task that may run twice gets a second run: its first one is
// late for what is known of its step, and a new one would be done sooner. Pure
// decisions, no I/O.

#include <optional>

#include "durations.h"

namespace gooseberry::cells {

// What a run is judged by.
struct RunLateness
{
  // Time since the start was sent.
  Micros elapsed{ 0 };
  // The longest run that completed a task of the step, as it would have been on
  // a worker of average speed, and the part of the step's tasks that are done.
  Millis longestDone{ 0 };
  double doneFraction = 0.0;
  // What was expected of the step before it began.
  std::optional<ExpectedDuration> expected;
  // Time that work takes on the run's worker, as a multiple of the average.
  double relativeRunTime = 1.0;

  auto operator==(const RunLateness&) const -> bool = default;
};

// When the run counts as late, counted from its start; nothing as long as
// nothing is known to compare it with.
auto
LateAfter(const RunLateness& aRun) -> std::optional<Millis>;

auto
IsLate(const RunLateness& aRun) -> bool;

// Whether one more run of a task leaves the first one its attempt: if both
// fail, no more attempts are used than the queue allows.
auto
AttemptsAllowSecondRun(std::uint32_t aFailures, std::uint32_t aMaxAttempts)
  -> bool;

// Processors that best-effort tasks lose to a run that reserves aNeeded, where
// they use aBestEffort and aIdle are idle; all in thousandths of a core.
auto
DisplacedCpu(std::int64_t aNeeded, std::int64_t aIdle, std::int64_t aBestEffort)
  -> std::int64_t;

// Most processors that all second runs together may use, in thousandths of a
// core, of those that no other run reserves.
auto
CopyBudget(std::int64_t aIdleCpuMillis) -> std::int64_t;

} // namespace gooseberry::cells

#endif
