#ifndef GOOSEBERRY_HEADROOM_H
#define GOOSEBERRY_HEADROOM_H

// How much interference the latency-critical tasks of a worker tolerate before
// one of them reaches its target at the load that it has now, and what
// best-effort tasks take of that. Unlike the pressure that is tolerated for
// known pairs, it counts pairs that are believed to be harmless too: at a high
// load, a few percent of interference are enough to exceed a target. Pure
// decisions, no I/O.

#include <map>
#include <vector>

#include "imageregistry.h"

namespace gooseberry::cells {

// Interference or headroom by the image of the latency-critical tasks; a
// fraction, 0.1 slows them down by a tenth.
using InterferenceByImage = std::map<ImageId, double>;

struct CriticalTaskState
{
  ImageId image = 0;
  // Target for the tail latency, as a multiple of the unloaded tail.
  double target = 0.0;
  double load = 0.0;

  auto operator==(const CriticalTaskState&) const -> bool = default;
};

// The least that is tolerated by the tasks of each image.
auto
HeadroomOf(const std::vector<CriticalTaskState>& aTasks) -> InterferenceByImage;

// Highest pace, from 0 to 1, at which a best-effort task that causes the
// interference at full pace stays within the headroom.
auto
PaceWithin(const InterferenceByImage& aInterference,
           const InterferenceByImage& aHeadroom) -> double;

// What is left beside a task that runs at aPace, from 0 to 1, and causes the
// interference at full pace.
auto
RemainingHeadroom(const InterferenceByImage& aInterference,
                  double aPace,
                  InterferenceByImage aHeadroom) -> InterferenceByImage;

// How much worse a worker is for a best-effort task, in the unit of the
// worker's score: grows as the headroom left gets small, and fast beyond it.
auto
PlacementPenalty(double aInterference, double aHeadroom) -> double;

} // namespace gooseberry::cells

#endif
