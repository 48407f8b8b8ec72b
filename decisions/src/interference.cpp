#include "interference.h"

#include <algorithm>

namespace gooseberry {

namespace {

// Factor on an estimate's weight before each new observation; older reports are
// forgotten after about fifty.
constexpr double kKeep = 0.98;
// Weight of the observations at which an estimate counts in full; below it, the
// estimate is mixed with the default.
constexpr double kFullWeight = 10.0;
// Extra slowdown assumed for a pair without observations.
constexpr double kUnknownHarm = 0.1;
// Reports in a row before each step of the mitigation: too slow before a
// throttle or an eviction, good before full speed is restored.
constexpr int kReportsBeforeThrottle = 3;
constexpr int kReportsBeforeEviction = 12;
constexpr int kReportsBeforeRestore = 20;
// Least time between two evictions on a worker.
constexpr Millis kEvictionPause{ 10000 };
// A report counts as good only well below kSlowdownLimit.
constexpr double kCalmLimit = 1.2;

} // namespace

// Least mean squares: the part of the slowdown that the estimates do not
// explain is divided among the batch tasks by their shares.
auto
Interference::Observe(const ClassId& aService,
                      const std::vector<Neighbour>& aBatchTasks,
                      double aSlowdown) -> void
{
  auto explained = 0.0;
  auto squares = 0.0;
  for (const auto& batchTask : aBatchTasks) {
    explained += batchTask.share * this->Harm(aService, batchTask.classId);
    squares += batchTask.share * batchTask.share;
  }
  if (squares <= 0.0) {
    return;
  }
  const auto residual = std::max(0.0, aSlowdown - 1.0) - explained;
  for (const auto& batchTask : aBatchTasks) {
    auto& estimate = this->pairs[{ aService, batchTask.classId }];
    const auto sample =
      std::max(0.0, estimate.mean + residual * batchTask.share / squares);
    estimate.weight = estimate.weight * kKeep + 1.0;
    estimate.mean += (sample - estimate.mean) / estimate.weight;
  }
}

auto
Interference::Harm(const ClassId& aService, const ClassId& aBatch) const
  -> double
{
  const auto found = this->pairs.find({ aService, aBatch });
  if (found == this->pairs.end()) {
    return kUnknownHarm;
  }
  const auto confidence = std::min(1.0, found->second.weight / kFullWeight);
  return kUnknownHarm * (1.0 - confidence) + found->second.mean * confidence;
}

auto
ReliefLadder::Next(Time aNow, double aWorstSlowdown) -> Relief
{
  this->suffering = aWorstSlowdown > kSlowdownLimit ? this->suffering + 1 : 0;
  this->calm = aWorstSlowdown < kCalmLimit ? this->calm + 1 : 0;
  const auto due = this->suffering > 0 &&
                   this->suffering % kReportsBeforeThrottle == 0 &&
                   this->suffering < kReportsBeforeEviction;
  if (due) {
    this->throttled = true;
    return Relief::Throttle;
  }
  const auto paused =
    this->lastEviction != Time{} && aNow - this->lastEviction < kEvictionPause;
  if (this->suffering >= kReportsBeforeEviction && !paused) {
    this->suffering = 0;
    this->lastEviction = aNow;
    return Relief::Evict;
  }
  if (this->throttled && this->calm >= kReportsBeforeRestore) {
    this->throttled = false;
    return Relief::Restore;
  }
  return Relief::None;
}

} // namespace gooseberry
