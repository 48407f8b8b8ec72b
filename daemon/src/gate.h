#ifndef GOOSEBERRY_GATE_H
#define GOOSEBERRY_GATE_H

// Admission of one service at this entry: a place at a backend server at once,
// or a wait in line, or a refusal that says when to come back.

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>

#include "admission.h"
#include "estimate.h"
#include "metrics.h"
#include "retry.h"
#include "routing.h"
#include "verdict.h"

namespace gooseberry {

// One request that asks for a place.
struct PlaceRequest
{
  std::shared_ptr<const Route> route;
  int rank = 0;
  std::string caller;
  Time deadline;
  std::vector<const Backend*> tried;
};

struct Place
{
  // With a place taken in it; null if refused.
  std::shared_ptr<Backend> backend;
  Refusal refusal = Refusal::NoBackend;
  // When the caller should come back.
  Millis retryAfter{ 0 };
};

class Gate
{
public:
  Gate(const Clock& aClock,
       RoutingPolicy aPolicy,
       DomainId aOwnDomain,
       Millis aHop,
       ServiceMetrics aMetrics);

  auto Acquire(const PlaceRequest& aRequest) -> Place;
  // A place became free somewhere.
  auto OnFreed() -> void;
  // An attempt took so long until its answer, or until it was given up.
  auto OnLatency(Micros aLatency) -> void;
  auto Retries() -> RetryBudget&;
  auto Counters() const -> const ServiceMetrics&;

private:
  struct Waiting
  {
    const PlaceRequest* request = nullptr;
    std::shared_ptr<Backend> granted;
    bool displaced = false;
    std::condition_variable news;
  };

  auto Pick(const PlaceRequest& aRequest) -> std::shared_ptr<Backend>;
  auto Wait(const PlaceRequest& aRequest) -> Place;
  auto AwaitNews(std::unique_lock<std::mutex>& aLock,
                 std::uint64_t aTicket,
                 Waiting& aEntry,
                 Time aLatest) -> void;
  auto ServeLine() -> void;
  // The first in line looks for places by itself.
  auto WakeFirst() -> void;
  static auto ExpectedWait(const Route& aRoute, std::size_t aAhead) -> Micros;

  const Clock& clock;
  const RoutingPolicy policy;
  const DomainId ownDomain;
  const std::int64_t hopMicros;
  const ServiceMetrics metrics;
  RetryBudget retries;
  LatencyEstimate estimate;
  std::atomic<std::uint64_t> turn = 0;

  std::atomic<std::size_t> lineLength = 0;
  std::mutex mutex;
  WaitingLine line{ 0 };
  std::map<std::uint64_t, Waiting> waiting;
  std::uint64_t nextTicket = 1;
};

} // namespace gooseberry

#endif
