#include "disturbance.h"

#include <algorithm>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
TailUnder(double aLoad, double aPressure) -> double
{
  const auto slowed = 1.0 + aPressure;
  const auto idle = std::max(kLeastIdle, 1.0 - aLoad * slowed);
  return slowed / idle;
}

auto
PressureFrom(double aTail, double aLoad) -> double
{
  return std::max(0.0, aTail / (1.0 + aLoad * aTail) - 1.0);
}

auto
LoadFrom(double aTail, double aPressure) -> double
{
  const auto slowed = 1.0 + aPressure;
  return std::clamp(
    (1.0 - slowed / std::max(aTail, slowed)) / slowed, 0.0, 1.0 - kLeastIdle);
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
  const auto grown = this->variance + kLoadDrift * std::max(0.0, age);
  if (grown < kUnknownLoadVariance) {
    return { this->mean, grown, aNow };
  }
  return { kUnknownLoad, kUnknownLoadVariance, aNow };
}

auto
LoadEstimate::Observed(Time aNow, double aLoad, double aError) const
  -> LoadEstimate
{
  const auto before = this->At(aNow);
  const auto gain = before.variance / (before.variance + aError);
  return { before.mean + gain * (aLoad - before.mean),
           before.variance * (1.0 - gain),
           aNow };
}

// Measured at 3.5 to 4.6 for pairs that disturb, at 0 to 0.3 for all others.
const Disturbance::Weights Disturbance::kPressures{
  0.1, 1.2, 2.4, 3.6, 4.8, 6.5
};
const Disturbance::Weights Disturbance::kGuess{ 0.45, 0.08, 0.12,
                                                0.17, 0.12, 0.06 };

// Each pair is judged by what the others leave of the observed sum.
auto
Disturbance::Observe(Time aNow,
                     ImageId aServing,
                     const std::vector<Beside>& aBeside,
                     double aPressure,
                     double aError) -> void
{
  auto shares = std::map<ImageId, double>{};
  for (const auto& beside : aBeside) {
    shares[beside.image] += beside.share;
  }
  const auto all = this->Sum(aNow, aServing, aBeside);
  auto next = std::map<ImageId, Weights>{};
  for (const auto& [image, share] : shares) {
    auto weights = this->Weigh(aNow, aServing, image);
    const auto own = Summary(weights);
    const auto rest = aPressure - (all.mean - own.mean * share);
    const auto variance =
      aError + std::max(0.0, all.variance - own.variance * share * share);
    auto total = 0.0;
    for (auto level = std::size_t{ 0 }; level < kLevels; ++level) {
      const auto off = rest - kPressures[level] * share;
      weights[level] *= std::exp(-off * off / (2.0 * variance));
      weights[level] = std::max(weights[level], kLeastLikely);
      total += weights[level];
    }
    for (auto& weight : weights) {
      weight /= total;
    }
    next.emplace(image, weights);
  }
  for (const auto& [image, weights] : next) {
    this->beliefs[{ aServing, image }] = { weights, aNow };
  }
}

auto
Disturbance::Weigh(Time aNow, ImageId aServing, ImageId aFilling) const
  -> Weights
{
  const auto found = this->beliefs.find({ aServing, aFilling });
  if (found == this->beliefs.end()) {
    return kGuess;
  }
  const auto age = std::chrono::duration<double>(aNow - found->second.at) /
                   std::chrono::duration<double>(kPairHalfLife);
  const auto kept = std::exp2(-std::max(0.0, age));
  auto weights = found->second.weights;
  for (auto level = std::size_t{ 0 }; level < kLevels; ++level) {
    weights[level] = kGuess[level] + (weights[level] - kGuess[level]) * kept;
  }
  return weights;
}

auto
Disturbance::Summary(const Weights& aWeights) -> Estimate
{
  auto estimate = Estimate{};
  auto square = 0.0;
  for (auto level = std::size_t{ 0 }; level < kLevels; ++level) {
    estimate.mean += aWeights[level] * kPressures[level];
    square += aWeights[level] * kPressures[level] * kPressures[level];
  }
  estimate.variance = std::max(0.0, square - estimate.mean * estimate.mean);
  return estimate;
}

auto
Disturbance::Between(Time aNow, ImageId aServing, ImageId aFilling) const
  -> Estimate
{
  return Summary(this->Weigh(aNow, aServing, aFilling));
}

auto
Disturbance::Sum(Time aNow,
                 ImageId aServing,
                 const std::vector<Beside>& aBeside) const -> Estimate
{
  auto shares = std::map<ImageId, double>{};
  for (const auto& beside : aBeside) {
    shares[beside.image] += beside.share;
  }
  auto sum = Estimate{};
  for (const auto& [image, share] : shares) {
    const auto known = this->Between(aNow, aServing, image);
    sum.mean += known.mean * share;
    sum.variance += known.variance * share * share;
  }
  return sum;
}

auto
Disturbance::Pressure(Time aNow, ImageId aServing, ImageId aFilling) const
  -> double
{
  const auto known = this->Between(aNow, aServing, aFilling);
  return known.mean < kHarmlessPressure ? 0.0 : known.mean;
}

auto
Disturbance::Tell(Time aNow, const Images& aImages) const
  -> std::vector<Learnt::Pair>
{
  auto told = std::vector<Learnt::Pair>{};
  for (const auto& [pair, belief] : this->beliefs) {
    const auto age = ToMillis(aNow - belief.at);
    if (age < kPairTold) {
      told.push_back({ aImages.Name(pair.first),
                       aImages.Name(pair.second),
                       { belief.weights.begin(), belief.weights.end() },
                       age });
    }
  }
  std::sort(
    told.begin(), told.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.age < aRight.age;
    });
  if (told.size() > kMaxPairsTold) {
    told.resize(kMaxPairsTold);
  }
  return told;
}

auto
Disturbance::Hear(Time aNow,
                  Millis aAge,
                  const Learnt::Pair& aPair,
                  Images& aImages) -> void
{
  if (aPair.weights.size() != kLevels) {
    // Written by a version with other levels.
    return;
  }
  auto belief = Belief{ {}, aNow - aAge - aPair.age };
  std::copy(aPair.weights.begin(), aPair.weights.end(), belief.weights.begin());
  this->beliefs[{ aImages.Number(aPair.serving),
                  aImages.Number(aPair.filling) }] = belief;
}

} // namespace gooseberry::cells
