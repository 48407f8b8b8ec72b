#ifndef GOOSEBERRY_GATE_H
#define GOOSEBERRY_GATE_H

// Admission control of one service at this instance. A request gets a slot at a
// backend server immediately, waits in a queue for one, or is refused with a
// time after which to retry.

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

// A request for a slot at a backend server.
struct PlaceRequest
{
  std::shared_ptr<const Route> route;
  // Lower ranks are served first.
  int rank = 0;
  std::string caller;
  Time deadline;
  // Backend servers that earlier attempts used; they are not chosen again.
  std::vector<const Backend*> tried;
};

struct Place
{
  // A slot is taken at this backend server; null if refused.
  std::shared_ptr<Backend> backend;
  Refusal refusal = Refusal::NoBackend;
  // Time after which the caller should retry.
  Millis retryAfter{ 0 };
};

class Gate
{
public:
  Gate(const Clock& aClock,
       RoutingPolicy aPolicy,
       DomainId aOwnDomain,
       Millis aCrossDomainLatency,
       ServiceMetrics aMetrics);

  // Blocks while the request is queued.
  auto Acquire(const PlaceRequest& aRequest) -> Place;
  // To be called when a slot was released.
  auto OnFreed() -> void;
  // Records the time from the start of an attempt to its response, or until it
  // was abandoned.
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
                 Time aLatestStart) -> void;
  auto ServeLine() -> void;
  // Wakes the first request in the queue, which then polls for free slots.
  auto WakeFirst() -> void;
  // Expected time until aAhead requests have been assigned slots.
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
