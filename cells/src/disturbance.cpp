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

// A Kalman filter with one state for each pair; what is observed is the sum of
// the pairs' pressures.
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
  auto expected = 0.0;
  auto variance = aError;
  for (const auto& [image, share] : shares) {
    const auto known = this->Between(aNow, aServing, image);
    expected += known.mean * share;
    variance += known.variance * share * share;
  }
  const auto surprise = aPressure - expected;
  // A pair that has changed shows in a report that its variance does not allow.
  const auto changed = surprise * surprise > kChangeFactor * variance;
  for (const auto& [image, share] : shares) {
    auto known = this->Between(aNow, aServing, image);
    if (changed) {
      variance += (kPairVariance - known.variance) * share * share;
      known.variance = kPairVariance;
    }
    const auto gain = known.variance * share / variance;
    known.mean =
      std::clamp(known.mean + gain * surprise, 0.0, kMostPairPressure);
    known.variance =
      std::max(kLeastPairVariance, known.variance * (1.0 - gain * share));
    known.at = aNow;
    this->estimates[{ aServing, image }] = known;
  }
}

auto
Disturbance::Between(Time aNow, ImageId aServing, ImageId aFilling) const
  -> Estimate
{
  const auto found = this->estimates.find({ aServing, aFilling });
  if (found == this->estimates.end()) {
    return { kPairPressure, kPairVariance, aNow };
  }
  const auto age = std::chrono::duration<double>(aNow - found->second.at) /
                   std::chrono::duration<double>(kPairHalfLife);
  const auto kept = std::exp2(-std::max(0.0, age));
  return { kPairPressure + (found->second.mean - kPairPressure) * kept,
           kPairVariance + (found->second.variance - kPairVariance) * kept,
           aNow };
}

auto
Disturbance::Sum(Time aNow,
                 ImageId aServing,
                 const std::vector<Beside>& aBeside) const -> Estimate
{
  auto sum = Estimate{ 0.0, 0.0, aNow };
  for (const auto& beside : aBeside) {
    const auto known = this->Between(aNow, aServing, beside.image);
    sum.mean += known.mean * beside.share;
    sum.variance += known.variance * beside.share * beside.share;
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
Disturbance::Estimates() const -> const Table&
{
  return this->estimates;
}

auto
Disturbance::Restore(Table aEstimates) -> void
{
  this->estimates = std::move(aEstimates);
}

} // namespace gooseberry::cells
