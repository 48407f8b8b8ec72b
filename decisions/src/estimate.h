#ifndef GOOSEBERRY_ESTIMATE_H
#define GOOSEBERRY_ESTIMATE_H

// How long the requests of one service take at its backend servers, and how
// late a waiting request may still be sent.

#include <atomic>

#include "types.h"

namespace gooseberry {

class LatencyEstimate
{
public:
  // Any thread. A request that timed out counts with the time it was given.
  auto Observe(Micros aLatency) -> void;
  // Time in which nearly all requests are answered; zero while unknown.
  auto Generous() const -> Micros;

private:
  std::atomic<std::int64_t> meanMicros = 0;
  std::atomic<std::int64_t> deviationMicros = 0;
};

// The latest time at which a request that arrives now is worth sending: enough
// is left for an answer, but at most half of its time is kept back.
auto
LatestStart(Time aNow, Time aDeadline, const LatencyEstimate& aEstimate)
  -> Time;

} // namespace gooseberry

#endif
