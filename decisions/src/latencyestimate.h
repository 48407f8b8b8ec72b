#ifndef GOOSEBERRY_LATENCYESTIMATE_H
#define GOOSEBERRY_LATENCYESTIMATE_H

// Estimates the latency of one service's requests at its backend servers, and
// from it how late a queued request may still be sent.

#include <atomic>

#include "types.h"

namespace gooseberry {

// Moving averages of the latency and of its mean deviation.
class LatencyEstimate
{
public:
  // Thread-safe. A request that timed out counts with its timeout.
  auto Observe(Micros aLatency) -> void;
  // Time within which nearly all responses arrive; zero without observations.
  auto UpperBound() const -> Micros;

private:
  std::atomic<std::int64_t> meanMicros = 0;
  std::atomic<std::int64_t> deviationMicros = 0;
};

// The latest time at which a request that arrives now may be sent, so that the
// response probably arrives before the deadline. At most half of the time until
// the deadline is reserved for the response.
auto
LatestSendTime(Time aNow, Time aDeadline, const LatencyEstimate& aEstimate)
  -> Time;

} // namespace gooseberry

#endif
