#include "latencyestimate.h"

#include <algorithm>
#include <cstdlib>

namespace gooseberry {

namespace {

// A new sample changes a moving average by 1 / divisor of the difference.
constexpr std::int64_t kMeanAverageDivisor = 8;
constexpr std::int64_t kDeviationAverageDivisor = 4;
// The upper bound is the mean plus this many mean deviations.
constexpr std::int64_t kUpperBoundDeviations = 4;

} // namespace

// Concurrent calls may lose an observation; the loss of single observations
// does not distort the averages.
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
  this->meanMicros = mean + error / kMeanAverageDivisor;
  this->deviationMicros =
    deviation + (std::abs(error) - deviation) / kDeviationAverageDivisor;
}

auto
LatencyEstimate::UpperBound() const -> Micros
{
  return Micros{ this->meanMicros.load(std::memory_order_relaxed) +
                 kUpperBoundDeviations *
                   this->deviationMicros.load(std::memory_order_relaxed) };
}

auto
LatestSendTime(Time aNow, Time aDeadline, const LatencyEstimate& aEstimate)
  -> Time
{
  const auto half = (aDeadline - aNow) / 2;
  return aDeadline - std::min<Micros>(aEstimate.UpperBound(), half);
}

} // namespace gooseberry
