#include "interference.h"

#include <algorithm>

namespace gooseberry {

namespace {

// Factor on an estimate's weight before each new observation; older reports are
// forgotten after about fifty.
constexpr double kRetainedWeight = 0.98;
// Weight of the observations at which an estimate counts in full; below it, the
// estimate is mixed with the default.
constexpr double kFullConfidenceWeight = 10.0;
// Extra slowdown assumed for a pair without observations.
constexpr double kDefaultSlowdown = 0.1;
// Reports in a row before each step of the mitigation: too slow before a
// throttle or an eviction, good before full speed is restored.
constexpr int kReportsBeforeThrottle = 3;
constexpr int kReportsBeforeEviction = 12;
constexpr int kReportsBeforeRestore = 20;
// Least time between two evictions on a worker.
constexpr Millis kMinEvictionInterval{ 10000 };
// A report counts as good only well below kSlowdownLimit.
constexpr double kCalmSlowdownLimit = 1.2;

} // namespace

// Least mean squares: the part of the slowdown that the estimates do not
// explain is divided among the batch tasks by their shares.
auto
InterferenceModel::Observe(const ClassId& aService,
                           const std::vector<ColocatedTask>& aBatchTasks,
                           double aSlowdown) -> void
{
  auto explained = 0.0;
  auto squares = 0.0;
  for (const auto& batchTask : aBatchTasks) {
    explained += batchTask.speedShare *
                 this->ExpectedSlowdown(aService, batchTask.classId);
    squares += batchTask.speedShare * batchTask.speedShare;
  }
  if (squares <= 0.0) {
    return;
  }
  const auto residual = std::max(0.0, aSlowdown - 1.0) - explained;
  for (const auto& batchTask : aBatchTasks) {
    auto& estimate = this->pairs[{ aService, batchTask.classId }];
    const auto sample =
      std::max(0.0, estimate.mean + residual * batchTask.speedShare / squares);
    estimate.weight = estimate.weight * kRetainedWeight + 1.0;
    estimate.mean += (sample - estimate.mean) / estimate.weight;
  }
}

auto
InterferenceModel::ExpectedSlowdown(const ClassId& aService,
                                    const ClassId& aBatch) const -> double
{
  const auto found = this->pairs.find({ aService, aBatch });
  if (found == this->pairs.end()) {
    return kDefaultSlowdown;
  }
  const auto confidence =
    std::min(1.0, found->second.weight / kFullConfidenceWeight);
  return kDefaultSlowdown * (1.0 - confidence) +
         found->second.mean * confidence;
}

auto
InterferenceMitigation::NextStep(Time aNow, double aWorstSlowdown)
  -> MitigationStep
{
  this->slowReports =
    aWorstSlowdown > kSlowdownLimit ? this->slowReports + 1 : 0;
  this->calmReports =
    aWorstSlowdown < kCalmSlowdownLimit ? this->calmReports + 1 : 0;
  const auto due = this->slowReports > 0 &&
                   this->slowReports % kReportsBeforeThrottle == 0 &&
                   this->slowReports < kReportsBeforeEviction;
  if (due) {
    this->throttled = true;
    return MitigationStep::Throttle;
  }
  const auto paused = this->lastEvictionAt != Time{} &&
                      aNow - this->lastEvictionAt < kMinEvictionInterval;
  if (this->slowReports >= kReportsBeforeEviction && !paused) {
    this->slowReports = 0;
    this->lastEvictionAt = aNow;
    return MitigationStep::Evict;
  }
  if (this->throttled && this->calmReports >= kReportsBeforeRestore) {
    this->throttled = false;
    return MitigationStep::Restore;
  }
  return MitigationStep::None;
}

} // namespace gooseberry
