#include "disturbance.h"

#include <algorithm>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
Faded(const Disturbance::Estimate& aEstimate, Time aNow) -> double
{
  const auto age = std::chrono::duration<double>(aNow - aEstimate.at) /
                   std::chrono::duration<double>(kReportHalfLife);
  return aEstimate.weight * std::exp2(-std::max(0.0, age));
}

} // namespace

// What the estimates do not explain is divided among the neighbours by their
// shares, and more of it goes to those of which less is known.
auto
Disturbance::Observe(Time aNow,
                     const std::string& aServing,
                     const std::vector<Beside>& aBeside,
                     double aExcess) -> void
{
  auto shares = std::map<std::string, double>{};
  for (const auto& beside : aBeside) {
    shares[beside.image] += beside.share;
  }
  auto explained = 0.0;
  auto total = 0.0;
  for (const auto& [image, share] : shares) {
    explained += share * this->Between(aNow, aServing, image);
    total += share * share / (1.0 + this->Weight(aNow, aServing, image));
  }
  const auto rest = aExcess - explained;
  for (const auto& [image, share] : shares) {
    if (share < kLeastShare) {
      continue;
    }
    const auto known = this->Between(aNow, aServing, image);
    const auto weight = this->Weight(aNow, aServing, image);
    const auto sample = std::clamp(
      known + rest * share / (1.0 + weight) / total, 0.0, kMostDisturbance);
    auto& estimate = this->estimates[{ aServing, image }];
    // A pair disturbs only while the task's load is high, so what was seen
    // counts more than what was not.
    const auto counts = std::min(share, 1.0);
    const auto rate = sample > known
                        ? std::max(kRiseRate, 1.0 / (1.0 + weight))
                        : 1.0 / (kUnknownWeight + weight + 1.0);
    estimate.mean = known + (sample - known) * rate * counts;
    estimate.weight = std::min(weight + counts, kMostReportWeight);
    estimate.at = aNow;
  }
}

auto
Disturbance::Between(Time aNow,
                     const std::string& aServing,
                     const std::string& aFilling) const -> double
{
  const auto found = this->estimates.find({ aServing, aFilling });
  if (found == this->estimates.end()) {
    return kUnknownDisturbance;
  }
  // The fresh estimate counts in full; it fades into the guess.
  const auto trust = found->second.weight <= 0.0
                       ? 0.0
                       : Faded(found->second, aNow) / found->second.weight;
  return kUnknownDisturbance * (1.0 - trust) + found->second.mean * trust;
}

auto
Disturbance::Weight(Time aNow,
                    const std::string& aServing,
                    const std::string& aFilling) const -> double
{
  const auto found = this->estimates.find({ aServing, aFilling });
  return found == this->estimates.end() ? 0.0 : Faded(found->second, aNow);
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
