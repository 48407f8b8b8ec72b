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

auto
Interference::Observe(const ClassId& aService,
                      const std::vector<ClassId>& aNeighbours,
                      double aSlowdown) -> void
{
  if (aNeighbours.empty()) {
    return;
  }
  auto explained = 0.0;
  for (const auto& batch : aNeighbours) {
    explained += this->Harm(aService, batch);
  }
  const auto extra = std::max(0.0, aSlowdown - 1.0);
  const auto share =
    (extra - explained) / static_cast<double>(aNeighbours.size());
  for (const auto& batch : aNeighbours) {
    auto& estimate = this->pairs[{ aService, batch }];
    const auto sample = std::max(0.0, estimate.mean + share);
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
  if (this->suffering >= kReportsBeforeThrottle && !this->throttled) {
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
