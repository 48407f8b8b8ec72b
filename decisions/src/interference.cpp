#include "interference.h"

#include <algorithm>

namespace gooseberry {

namespace {

// Weight that an estimate keeps with each new observation; forgets in about
// fifty reports.
constexpr double kKeep = 0.98;
// Observations before an estimate counts in full.
constexpr double kFullWeight = 10.0;
// What a pair is expected to do before it was seen together.
constexpr double kUnknownHarm = 0.1;
constexpr int kReportsBeforeThrottle = 3;
constexpr int kReportsBeforeEviction = 12;
constexpr int kReportsBeforeRestore = 20;
constexpr Millis kEvictionPause{ 10000 };
// A worker counts as calm only well below the limit.
constexpr double kCalmLimit = 1.2;

} // namespace

// Least mean squares: the part of the slowdown that the estimates do not
// explain is divided among the neighbours by their shares.
auto
Interference::Observe(const ClassId& aService,
                      const std::vector<Neighbour>& aNeighbours,
                      double aSlowdown) -> void
{
  auto explained = 0.0;
  auto squares = 0.0;
  for (const auto& neighbour : aNeighbours) {
    explained += neighbour.share * this->Harm(aService, neighbour.classId);
    squares += neighbour.share * neighbour.share;
  }
  if (squares <= 0.0) {
    return;
  }
  const auto rest = std::max(0.0, aSlowdown - 1.0) - explained;
  for (const auto& neighbour : aNeighbours) {
    auto& estimate = this->pairs[{ aService, neighbour.classId }];
    const auto sample =
      std::max(0.0, estimate.mean + rest * neighbour.share / squares);
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
