#include "disturbance.h"

#include <algorithm>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
TailUnder(double aLoad, double aInterference) -> double
{
  const auto slowdown = 1.0 + aInterference;
  const auto idleFraction = std::max(kLeastIdle, 1.0 - aLoad * slowdown);
  return slowdown / idleFraction;
}

auto
PressureFrom(double aTail, double aLoad) -> double
{
  return std::max(0.0, aTail / (1.0 + aLoad * aTail) - 1.0);
}

auto
LoadFrom(double aTail, double aInterference) -> double
{
  const auto slowdown = 1.0 + aInterference;
  return std::clamp((1.0 - slowdown / std::max(aTail, slowdown)) / slowdown,
                    0.0,
                    1.0 - kLeastIdle);
}

auto
MostPressure(double aLimit, double aLoad) -> double
{
  return PressureFrom(aLimit, aLoad);
}

auto
LoadEstimate::At(Time aNow) const -> LoadEstimate
{
  const auto age = std::chrono::duration<double>(aNow - this->at).count();
  const auto agedVariance = this->variance + kLoadDrift * std::max(0.0, age);
  if (agedVariance < kUnknownLoadVariance) {
    return { this->mean, agedVariance, aNow };
  }
  return { kUnknownLoad, kUnknownLoadVariance, aNow };
}

auto
LoadEstimate::Observed(Time aNow, double aLoad, double aVariance) const
  -> LoadEstimate
{
  const auto prior = this->At(aNow);
  const auto gain = prior.variance / (prior.variance + aVariance);
  return { prior.mean + gain * (aLoad - prior.mean),
           prior.variance * (1.0 - gain),
           aNow };
}

// Coefficients are 3.5 to 4.6 for pairs that interfere and 0 to 0.3 for all
// others.
const Disturbance::Weights Disturbance::kPressures{
  0.1, 1.2, 2.4, 3.6, 4.8, 6.5
};
const Disturbance::Weights Disturbance::kGuess{ 0.45, 0.08, 0.12,
                                                0.17, 0.12, 0.06 };

// Each pair is updated with the observed sum less the expected part of the
// others.
auto
Disturbance::Observe(Time aNow,
                     ImageId aCriticalImage,
                     const std::vector<Beside>& aNeighbours,
                     double aInterference,
                     double aVariance) -> void
{
  auto shares = std::map<ImageId, double>{};
  for (const auto& neighbour : aNeighbours) {
    shares[neighbour.image] += neighbour.share;
  }
  const auto expectedSum = this->Sum(aNow, aCriticalImage, aNeighbours);
  auto updated = std::map<ImageId, Weights>{};
  for (const auto& [image, share] : shares) {
    auto weights = this->Weigh(aNow, aCriticalImage, image);
    const auto ownEstimate = Summary(weights);
    const auto ownInterference =
      aInterference - (expectedSum.mean - ownEstimate.mean * share);
    const auto variance =
      aVariance +
      std::max(0.0,
               expectedSum.variance - ownEstimate.variance * share * share);
    auto total = 0.0;
    for (auto level = std::size_t{ 0 }; level < kLevels; ++level) {
      const auto deviation = ownInterference - kPressures[level] * share;
      weights[level] *= std::exp(-deviation * deviation / (2.0 * variance));
      weights[level] = std::max(weights[level], kLeastLikely);
      total += weights[level];
    }
    for (auto& weight : weights) {
      weight /= total;
    }
    updated.emplace(image, weights);
  }
  for (const auto& [image, weights] : updated) {
    this->beliefs[{ aCriticalImage, image }] = { weights, aNow };
  }
}

auto
Disturbance::Weigh(Time aNow,
                   ImageId aCriticalImage,
                   ImageId aBestEffortImage) const -> Weights
{
  const auto found = this->beliefs.find({ aCriticalImage, aBestEffortImage });
  if (found == this->beliefs.end()) {
    return kGuess;
  }
  const auto age = std::chrono::duration<double>(aNow - found->second.at) /
                   std::chrono::duration<double>(kPairHalfLife);
  const auto retained = std::exp2(-std::max(0.0, age));
  auto weights = found->second.weights;
  for (auto level = std::size_t{ 0 }; level < kLevels; ++level) {
    weights[level] =
      kGuess[level] + (weights[level] - kGuess[level]) * retained;
  }
  return weights;
}

auto
Disturbance::Summary(const Weights& aWeights) -> Estimate
{
  auto estimate = Estimate{};
  auto meanSquare = 0.0;
  for (auto level = std::size_t{ 0 }; level < kLevels; ++level) {
    estimate.mean += aWeights[level] * kPressures[level];
    meanSquare += aWeights[level] * kPressures[level] * kPressures[level];
  }
  estimate.variance = std::max(0.0, meanSquare - estimate.mean * estimate.mean);
  return estimate;
}

auto
Disturbance::Between(Time aNow,
                     ImageId aCriticalImage,
                     ImageId aBestEffortImage) const -> Estimate
{
  return Summary(this->Weigh(aNow, aCriticalImage, aBestEffortImage));
}

auto
Disturbance::Sum(Time aNow,
                 ImageId aCriticalImage,
                 const std::vector<Beside>& aNeighbours) const -> Estimate
{
  auto shares = std::map<ImageId, double>{};
  for (const auto& neighbour : aNeighbours) {
    shares[neighbour.image] += neighbour.share;
  }
  auto sum = Estimate{};
  for (const auto& [image, share] : shares) {
    const auto estimate = this->Between(aNow, aCriticalImage, image);
    sum.mean += estimate.mean * share;
    sum.variance += estimate.variance * share * share;
  }
  return sum;
}

auto
Disturbance::Pressure(Time aNow,
                      ImageId aCriticalImage,
                      ImageId aBestEffortImage) const -> double
{
  const auto estimate = this->Between(aNow, aCriticalImage, aBestEffortImage);
  return estimate.mean < kHarmlessPressure ? 0.0 : estimate.mean;
}

auto
Disturbance::Tell(Time aNow, const Images& aImages) const
  -> std::vector<Learnt::Pair>
{
  auto exported = std::vector<Learnt::Pair>{};
  for (const auto& [pair, belief] : this->beliefs) {
    const auto age = ToMillis(aNow - belief.at);
    if (age < kPairTold) {
      exported.push_back({ aImages.Name(pair.first),
                           aImages.Name(pair.second),
                           { belief.weights.begin(), belief.weights.end() },
                           age });
    }
  }
  std::sort(exported.begin(),
            exported.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.age < aRight.age;
            });
  if (exported.size() > kMaxPairsTold) {
    exported.resize(kMaxPairsTold);
  }
  return exported;
}

auto
Disturbance::Hear(Time aNow,
                  Millis aAge,
                  const Learnt::Pair& aPair,
                  Images& aImages) -> void
{
  if (aPair.weights.size() != kLevels) {
    // Written by a version with a different number of levels.
    return;
  }
  auto belief = Belief{ {}, aNow - aAge - aPair.age };
  std::copy(aPair.weights.begin(), aPair.weights.end(), belief.weights.begin());
  this->beliefs[{ aImages.Number(aPair.serving),
                  aImages.Number(aPair.filling) }] = belief;
}

} // namespace gooseberry::cells
