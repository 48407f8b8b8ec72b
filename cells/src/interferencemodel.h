#ifndef GOOSEBERRY_INTERFERENCEMODEL_H
#define GOOSEBERRY_INTERFERENCEMODEL_H

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
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "imageregistry.h"
#include "learnedstate.h"
#include "tunables_cells.h"
#include "types.h"

namespace gooseberry::cells {

// Tail latency under load and interference, as a multiple of the unloaded tail.
auto
NormalizedTail(double aLoad, double aInterference) -> double;
// The interference at which a task with this load has this tail, a multiple of
// the unloaded one.
auto
InterferenceFromTail(double aTail, double aLoad) -> double;
// The load at which a task under this interference has this tail, a multiple of
// the unloaded one.
auto
LoadFromTail(double aTail, double aInterference) -> double;
// The highest interference at which the tail stays within a limit, a multiple
// of the unloaded tail.
auto
MaxInterference(double aLimit, double aLoad) -> double;

// Load of the tasks of a long-running job, which all serve the same users. The
// load changes within seconds, so the variance of the estimate grows with its
// age.
struct LoadEstimate
{
  double mean = kDefaultLoad;
  double variance = kDefaultLoadVariance;
  Time updatedAt{};

  auto operator==(const LoadEstimate&) const -> bool = default;

  auto AgedTo(Time aNow) const -> LoadEstimate;
  // The estimate updated with one observation; aVariance is its variance.
  auto WithObservation(Time aNow, double aLoad, double aVariance) const
    -> LoadEstimate;
};

// A neighbour of a latency-critical task: its image and the share of the
// worker's processors that it uses.
struct NeighbourUsage
{
  ImageId image = 0;
  double share = 0.0;
};

class InterferenceModel
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
               const std::vector<NeighbourUsage>& aNeighbours,
               double aInterference,
               double aVariance) -> void;
  // The estimate for a pair. It decays to the prior with the time since the
  // last observation, because pairs change.
  auto PairEstimate(Time aNow,
                    ImageId aCriticalImage,
                    ImageId aBestEffortImage) const -> Estimate;
  // Interference of all neighbours together, and its variance.
  auto TotalInterference(Time aNow,
                         ImageId aCriticalImage,
                         const std::vector<NeighbourUsage>& aNeighbours) const
    -> Estimate;

  // Expected coefficient of a pair; 0 if it is low enough to count as harmless.
  auto ExpectedCoefficient(Time aNow,
                           ImageId aCriticalImage,
                           ImageId aBestEffortImage) const -> double;

  // Exports the pairs for the next owner, most recently observed first, and
  // imports a pair that an earlier owner exported aAge ago.
  auto ExportPairs(Time aNow, const ImageRegistry& aImages) const
    -> std::vector<LearnedState::InterferencePair>;
  auto ImportPair(Time aNow,
                  Millis aAge,
                  const LearnedState::InterferencePair& aPair,
                  ImageRegistry& aImages) -> void;

  // Exports the pairs for the owners of other cells: those that were observed
  // within aMaxAge, and of which the coefficient is known.
  auto ExportKnownPairs(Time aNow,
                        Millis aMaxAge,
                        const ImageRegistry& aImages) const
    -> std::vector<LearnedState::InterferencePair>;
  // Takes over a pair that the owner of another cell exported aAge ago, if it
  // was observed there more recently than here. Returns whether it was.
  auto MergePair(Time aNow,
                 Millis aAge,
                 const LearnedState::InterferencePair& aPair,
                 ImageRegistry& aImages) -> bool;

private:
  static constexpr std::size_t kLevelCount = 6;
  // Probability of each interference level.
  using Weights = std::array<double, kLevelCount>;

  struct PairBelief
  {
    Weights weights{};
    Time updatedAt{};
  };

  static const Weights kLevelCoefficients;
  static const Weights kPriorWeights;

  auto AgedWeights(Time aNow,
                   ImageId aCriticalImage,
                   ImageId aBestEffortImage) const -> Weights;
  auto ExportPairsIf(Time aNow,
                     const ImageRegistry& aImages,
                     const std::function<bool(const PairBelief&)>& aIsExported)
    const -> std::vector<LearnedState::InterferencePair>;
  static auto MeanAndVariance(const Weights& aWeights) -> Estimate;

  std::map<std::pair<ImageId, ImageId>, PairBelief> pairBeliefs;
};

} // namespace gooseberry::cells

#endif
