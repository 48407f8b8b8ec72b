#include "headroom.h"

#include <algorithm>

#include "interferencemodel.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

auto
HeadroomOf(const std::vector<CriticalTaskState>& aTasks) -> InterferenceByImage
{
  auto headroom = InterferenceByImage{};
  for (const auto& task : aTasks) {
    const auto tolerated =
      MaxInterference(kTailHighFraction * task.target, task.load);
    const auto [item, added] = headroom.try_emplace(task.image, tolerated);
    item->second = std::min(item->second, tolerated);
  }
  return headroom;
}

auto
PaceWithin(const InterferenceByImage& aInterference,
           const InterferenceByImage& aHeadroom) -> double
{
  auto pace = 1.0;
  for (const auto& [image, interference] : aInterference) {
    const auto left = aHeadroom.find(image);
    if (interference > 0.0 && left != aHeadroom.end()) {
      pace = std::min(pace, std::max(0.0, left->second) / interference);
    }
  }
  return pace;
}

auto
RemainingHeadroom(const InterferenceByImage& aInterference,
                  double aPace,
                  InterferenceByImage aHeadroom) -> InterferenceByImage
{
  for (auto& [image, left] : aHeadroom) {
    const auto interference = aInterference.find(image);
    if (interference != aInterference.end()) {
      left -= interference->second * aPace;
    }
  }
  return aHeadroom;
}

auto
PlacementPenalty(double aInterference, double aHeadroom) -> double
{
  const auto left = aHeadroom - aInterference;
  return std::max(
    { 0.0, 1.0 - left / kAmpleHeadroom, -left * kHeadroomExcessPenalty });
}

} // namespace gooseberry::cells
