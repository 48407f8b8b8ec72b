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

#include "admissionqueue.h"
#include "latencyestimate.h"
#include "metrics.h"
#include "retrybudget.h"
#include "routing.h"
#include "verdict.h"

namespace gooseberry {

// A request for a slot at a backend server.
struct SlotRequest
{
  std::shared_ptr<const Route> route;
  // Lower ranks are served first.
  int rank = 0;
  std::string callerId;
  Time deadline;
  // Backend servers that earlier attempts used; they are not chosen again.
  std::vector<const Backend*> triedBackends;
};

struct AdmissionResult
{
  // A slot is taken at this backend server; null if refused.
  std::shared_ptr<Backend> backend;
  Refusal refusal = Refusal::NoBackend;
  // Time after which the caller should retry.
  Millis retryAfter{ 0 };
};

class AdmissionController
{
public:
  AdmissionController(const Clock& aClock,
                      RoutingPolicy aPolicy,
                      DomainId aOwnDomain,
                      Millis aCrossDomainLatency,
                      ServiceMetrics aMetrics);

  // Blocks while the request is queued.
  auto Acquire(const SlotRequest& aRequest) -> AdmissionResult;
  // To be called when a slot was released.
  auto OnSlotReleased() -> void;
  // Records the time from the start of an attempt to its response, or until it
  // was abandoned.
  auto OnLatency(Micros aLatency) -> void;
  auto GetRetryBudget() -> RetryBudget&;
  auto Counters() const -> const ServiceMetrics&;

private:
  struct SlotWait
  {
    const SlotRequest* request = nullptr;
    std::shared_ptr<Backend> grantedBackend;
    bool displaced = false;
    std::condition_variable changed;
  };

  auto TryPickBackend(const SlotRequest& aRequest) -> std::shared_ptr<Backend>;
  auto WaitInQueue(const SlotRequest& aRequest) -> AdmissionResult;
  auto WaitForSlot(std::unique_lock<std::mutex>& aLock,
                   std::uint64_t aTicket,
                   SlotWait& aEntry,
                   Time aLatestStart) -> void;
  auto AssignFreeSlots() -> void;
  // Wakes the first request in the queue, which then polls for free slots.
  auto NotifyFirst() -> void;
  // Expected time until aAhead requests have been assigned slots.
  static auto ExpectedWait(const Route& aRoute, std::size_t aAhead) -> Micros;

  const Clock& clock;
  const RoutingPolicy policy;
  const DomainId ownDomain;
  const std::int64_t crossDomainMicros;
  const ServiceMetrics metrics;
  RetryBudget retryBudget;
  LatencyEstimate latencyEstimate;
  std::atomic<std::uint64_t> roundRobinCounter = 0;

  std::atomic<std::size_t> queueLength = 0;
  std::mutex mutex;
  AdmissionQueue queue{ 0 };
  std::map<std::uint64_t, SlotWait> queuedByTicket;
  std::uint64_t nextTicket = 1;
};

} // namespace gooseberry

#endif
