#include "estimate.h"

#include <algorithm>
#include <cstdlib>

namespace gooseberry {

namespace {

constexpr std::int64_t kMeanWeight = 8;
constexpr std::int64_t kDeviationWeight = 4;
constexpr std::int64_t kGenerousDeviations = 4;

} // namespace

// Racing writers may lose an observation, which does no harm to a mean.
auto
LatencyEstimate::Observe(Micros aLatency) -> void
{
  const auto mean = this->meanMicros.load(std::memory_order_relaxed);
  if (mean == 0) {
    this->meanMicros = aLatency.count();
    this->deviationMicros = aLatency.count() / 2;
    return;
  }
  const auto error = aLatency.count() - mean;
  const auto deviation = this->deviationMicros.load(std::memory_order_relaxed);
  this->meanMicros = mean + error / kMeanWeight;
  this->deviationMicros =
    deviation + (std::abs(error) - deviation) / kDeviationWeight;
}

auto
LatencyEstimate::Generous() const -> Micros
{
  return Micros{ this->meanMicros.load(std::memory_order_relaxed) +
                 kGenerousDeviations *
                   this->deviationMicros.load(std::memory_order_relaxed) };
}

auto
LatestStart(Time aNow, Time aDeadline, const LatencyEstimate& aEstimate) -> Time
{
  const auto half = (aDeadline - aNow) / 2;
  return aDeadline - std::min<Micros>(aEstimate.Generous(), half);
}

} // namespace gooseberry
