#include "interferencemodel.h"

#include <algorithm>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
NormalizedTail(double aLoad, double aInterference) -> double
{
  const auto slowdown = 1.0 + aInterference;
  const auto idleFraction = std::max(kMinIdleFraction, 1.0 - aLoad * slowdown);
  return slowdown / idleFraction;
}

auto
InterferenceFromTail(double aTail, double aLoad) -> double
{
  return std::max(0.0, aTail / (1.0 + aLoad * aTail) - 1.0);
}

auto
LoadFromTail(double aTail, double aInterference) -> double
{
  const auto slowdown = 1.0 + aInterference;
  return std::clamp((1.0 - slowdown / std::max(aTail, slowdown)) / slowdown,
                    0.0,
                    1.0 - kMinIdleFraction);
}

auto
MaxInterference(double aLimit, double aLoad) -> double
{
  return InterferenceFromTail(aLimit, aLoad);
}

auto
LoadEstimate::AgedTo(Time aNow) const -> LoadEstimate
{
  const auto age =
    std::chrono::duration<double>(aNow - this->updatedAt).count();
  const auto agedVariance =
    this->variance + kLoadVariancePerSecond * std::max(0.0, age);
  if (agedVariance < kDefaultLoadVariance) {
    return { this->mean, agedVariance, aNow };
  }
  return { kDefaultLoad, kDefaultLoadVariance, aNow };
}

auto
LoadEstimate::WithObservation(Time aNow, double aLoad, double aVariance) const
  -> LoadEstimate
{
  const auto prior = this->AgedTo(aNow);
  const auto gain = prior.variance / (prior.variance + aVariance);
  return { prior.mean + gain * (aLoad - prior.mean),
           prior.variance * (1.0 - gain),
           aNow };
}

// Coefficients are 3.5 to 4.6 for pairs that interfere and 0 to 0.3 for all
// others.
const InterferenceModel::Weights InterferenceModel::kLevelCoefficients{
  0.1, 1.2, 2.4, 3.6, 4.8, 6.5
};
const InterferenceModel::Weights InterferenceModel::kPriorWeights{ 0.45, 0.08,
                                                                   0.12, 0.17,
                                                                   0.12, 0.06 };

// Each pair is updated with the observed sum less the expected part of the
// others.
auto
InterferenceModel::Observe(Time aNow,
                           ImageId aCriticalImage,
                           const std::vector<NeighbourUsage>& aNeighbours,
                           double aInterference,
                           double aVariance) -> void
{
  auto shares = std::map<ImageId, double>{};
  for (const auto& neighbour : aNeighbours) {
    shares[neighbour.image] += neighbour.share;
  }
  const auto expectedSum =
    this->TotalInterference(aNow, aCriticalImage, aNeighbours);
  auto updated = std::map<ImageId, Weights>{};
  for (const auto& [image, share] : shares) {
    auto weights = this->AgedWeights(aNow, aCriticalImage, image);
    const auto ownEstimate = MeanAndVariance(weights);
    const auto ownInterference =
      aInterference - (expectedSum.mean - ownEstimate.mean * share);
    const auto variance =
      aVariance +
      std::max(0.0,
               expectedSum.variance - ownEstimate.variance * share * share);
    auto total = 0.0;
    for (auto level = std::size_t{ 0 }; level < kLevelCount; ++level) {
      const auto deviation =
        ownInterference - kLevelCoefficients[level] * share;
      weights[level] *= std::exp(-deviation * deviation / (2.0 * variance));
      weights[level] = std::max(weights[level], kMinLevelWeight);
      total += weights[level];
    }
    for (auto& weight : weights) {
      weight /= total;
    }
    updated.emplace(image, weights);
  }
  for (const auto& [image, weights] : updated) {
    this->pairBeliefs[{ aCriticalImage, image }] = { weights, aNow };
  }
}

auto
InterferenceModel::AgedWeights(Time aNow,
                               ImageId aCriticalImage,
                               ImageId aBestEffortImage) const -> Weights
{
  const auto found =
    this->pairBeliefs.find({ aCriticalImage, aBestEffortImage });
  if (found == this->pairBeliefs.end()) {
    return kPriorWeights;
  }
  const auto age =
    std::chrono::duration<double>(aNow - found->second.updatedAt) /
    std::chrono::duration<double>(kPairHalfLife);
  const auto retained = std::exp2(-std::max(0.0, age));
  auto weights = found->second.weights;
  for (auto level = std::size_t{ 0 }; level < kLevelCount; ++level) {
    weights[level] =
      kPriorWeights[level] + (weights[level] - kPriorWeights[level]) * retained;
  }
  return weights;
}

auto
InterferenceModel::MeanAndVariance(const Weights& aWeights) -> Estimate
{
  auto estimate = Estimate{};
  auto meanSquare = 0.0;
  for (auto level = std::size_t{ 0 }; level < kLevelCount; ++level) {
    estimate.mean += aWeights[level] * kLevelCoefficients[level];
    meanSquare +=
      aWeights[level] * kLevelCoefficients[level] * kLevelCoefficients[level];
  }
  estimate.variance = std::max(0.0, meanSquare - estimate.mean * estimate.mean);
  return estimate;
}

auto
InterferenceModel::PairEstimate(Time aNow,
                                ImageId aCriticalImage,
                                ImageId aBestEffortImage) const -> Estimate
{
  return MeanAndVariance(
    this->AgedWeights(aNow, aCriticalImage, aBestEffortImage));
}

auto
InterferenceModel::TotalInterference(
  Time aNow,
  ImageId aCriticalImage,
  const std::vector<NeighbourUsage>& aNeighbours) const -> Estimate
{
  auto shares = std::map<ImageId, double>{};
  for (const auto& neighbour : aNeighbours) {
    shares[neighbour.image] += neighbour.share;
  }
  auto sum = Estimate{};
  for (const auto& [image, share] : shares) {
    const auto estimate = this->PairEstimate(aNow, aCriticalImage, image);
    sum.mean += estimate.mean * share;
    sum.variance += estimate.variance * share * share;
  }
  return sum;
}

auto
InterferenceModel::ExpectedCoefficient(Time aNow,
                                       ImageId aCriticalImage,
                                       ImageId aBestEffortImage) const -> double
{
  const auto estimate =
    this->PairEstimate(aNow, aCriticalImage, aBestEffortImage);
  return estimate.mean < kNegligibleInterference ? 0.0 : estimate.mean;
}

auto
InterferenceModel::ExportPairs(Time aNow, const ImageRegistry& aImages) const
  -> std::vector<LearnedState::InterferencePair>
{
  return this->ExportPairsIf(aNow, aImages, [&](const PairBelief& aBelief) {
    return aNow - aBelief.updatedAt < kPairMaxAge;
  });
}

auto
InterferenceModel::ExportKnownPairs(Time aNow,
                                    Millis aMaxAge,
                                    const ImageRegistry& aImages) const
  -> std::vector<LearnedState::InterferencePair>
{
  return this->ExportPairsIf(aNow, aImages, [&](const PairBelief& aBelief) {
    return aNow - aBelief.updatedAt < aMaxAge &&
           MeanAndVariance(aBelief.weights).variance <= kUnknownPairVariance;
  });
}

auto
InterferenceModel::ExportPairsIf(
  Time aNow,
  const ImageRegistry& aImages,
  const std::function<bool(const PairBelief&)>& aIsExported) const
  -> std::vector<LearnedState::InterferencePair>
{
  auto exported = std::vector<LearnedState::InterferencePair>{};
  for (const auto& [pair, belief] : this->pairBeliefs) {
    if (aIsExported(belief)) {
      exported.push_back({ aImages.NameOf(pair.first),
                           aImages.NameOf(pair.second),
                           { belief.weights.begin(), belief.weights.end() },
                           ToMillis(aNow - belief.updatedAt) });
    }
  }
  std::sort(exported.begin(),
            exported.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.age < aRight.age;
            });
  if (exported.size() > kMaxExportedPairs) {
    exported.resize(kMaxExportedPairs);
  }
  return exported;
}

auto
InterferenceModel::ImportPair(Time aNow,
                              Millis aAge,
                              const LearnedState::InterferencePair& aPair,
                              ImageRegistry& aImages) -> void
{
  if (aPair.levelWeights.size() != kLevelCount) {
    // Written by a version with a different number of levels.
    return;
  }
  auto belief = PairBelief{ {}, aNow - aAge - aPair.age };
  std::copy(aPair.levelWeights.begin(),
            aPair.levelWeights.end(),
            belief.weights.begin());
  this->pairBeliefs[{ aImages.IdOf(aPair.criticalImage),
                      aImages.IdOf(aPair.bestEffortImage) }] = belief;
}

// Two beliefs are not combined: the other owner may have taken its own from
// here. What was observed last tells most, as pairs change.
auto
InterferenceModel::MergePair(Time aNow,
                             Millis aAge,
                             const LearnedState::InterferencePair& aPair,
                             ImageRegistry& aImages) -> bool
{
  const auto own = this->pairBeliefs.find(
    { aImages.IdOf(aPair.criticalImage), aImages.IdOf(aPair.bestEffortImage) });
  if (own != this->pairBeliefs.end() &&
      own->second.updatedAt >= aNow - aAge - aPair.age) {
    return false;
  }
  this->ImportPair(aNow, aAge, aPair, aImages);
  return true;
}

} // namespace gooseberry::cells
