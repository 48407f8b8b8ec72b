#ifndef GOOSEBERRY_DISTURBANCE_H
#define GOOSEBERRY_DISTURBANCE_H

// Model of how best-effort tasks slow down the long-running, latency-critical
// tasks on the same worker. It is learnt from reported tail latencies.
//
// A latency-critical task under load r has the tail latency
//
//   T * x / (1 - r * x)
//
// T is the tail without load. x - 1, the interference, is the sum over the
// neighbours of the share of the worker's processors that each uses, times a
// coefficient that depends on the pair of images. The coefficient is near zero
// for most pairs and high for the others, and some pairs change within seconds.
// Hence each pair has a probability distribution over a fixed set of levels.

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "images.h"
#include "learnt.h"
#include "tunables_cells.h"
#include "types.h"

namespace gooseberry::cells {

// Tail latency under load and interference, as a multiple of the unloaded tail.
auto
TailUnder(double aLoad, double aInterference) -> double;
// The interference at which a task with this load has this tail, a multiple of
// the unloaded one.
auto
PressureFrom(double aTail, double aLoad) -> double;
// The load at which a task under this interference has this tail, a multiple of
// the unloaded one.
auto
LoadFrom(double aTail, double aInterference) -> double;
// The highest interference at which the tail stays within a limit, a multiple
// of the unloaded tail.
auto
MostPressure(double aLimit, double aLoad) -> double;

// Load of the tasks of a long-running job, which all serve the same users. The
// load changes within seconds, so the variance of the estimate grows with its
// age.
struct LoadEstimate
{
  double mean = kUnknownLoad;
  double variance = kUnknownLoadVariance;
  Time at{};

  auto operator==(const LoadEstimate&) const -> bool = default;

  auto At(Time aNow) const -> LoadEstimate;
  // The estimate updated with one observation; aVariance is its variance.
  auto Observed(Time aNow, double aLoad, double aVariance) const
    -> LoadEstimate;
};

// A neighbour of a latency-critical task: its image and the share of the
// worker's processors that it uses.
struct Beside
{
  ImageId image = 0;
  double share = 0.0;
};

class Disturbance
{
public:
  // Coefficient of a pair, the interference if the neighbour used all of the
  // worker's processors, or a sum of interferences: mean and variance.
  struct Estimate
  {
    double mean = 0.0;
    double variance = 0.0;

    auto operator==(const Estimate&) const -> bool = default;
  };

  // Updates the pairs with one report: the interference that a task of the
  // image was under, and aVariance, the variance of that observation.
  auto Observe(Time aNow,
               ImageId aCriticalImage,
               const std::vector<Beside>& aNeighbours,
               double aInterference,
               double aVariance) -> void;
  // The estimate for a pair. It decays to the prior with the time since the
  // last observation, because pairs change.
  auto Between(Time aNow,
               ImageId aCriticalImage,
               ImageId aBestEffortImage) const -> Estimate;
  // Interference of all neighbours together, and its variance.
  auto Sum(Time aNow,
           ImageId aCriticalImage,
           const std::vector<Beside>& aNeighbours) const -> Estimate;

  // Expected coefficient of a pair; 0 if it is low enough to count as harmless.
  auto Pressure(Time aNow,
                ImageId aCriticalImage,
                ImageId aBestEffortImage) const -> double;

  // Exports the pairs for the next owner, most recently observed first, and
  // imports a pair that an earlier owner exported aAge ago.
  auto Tell(Time aNow, const Images& aImages) const
    -> std::vector<Learnt::Pair>;
  auto Hear(Time aNow, Millis aAge, const Learnt::Pair& aPair, Images& aImages)
    -> void;

private:
  static constexpr std::size_t kLevels = 6;
  // Probability of each interference level.
  using Weights = std::array<double, kLevels>;

  struct Belief
  {
    Weights weights{};
    Time at{};
  };

  static const Weights kPressures;
  static const Weights kGuess;

  auto Weigh(Time aNow, ImageId aCriticalImage, ImageId aBestEffortImage) const
    -> Weights;
  static auto Summary(const Weights& aWeights) -> Estimate;

  std::map<std::pair<ImageId, ImageId>, Belief> beliefs;
};

} // namespace gooseberry::cells

#endif
