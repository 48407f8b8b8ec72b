#include "gate.h"

#include <algorithm>

namespace gooseberry {

namespace {

// The first request in the queue polls for a slot at this interval, because
// routes may change without a notification.
constexpr Millis kQueuePollInterval{ 20 };
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kNoBackendRetryAfter{ 1000 };
// Assumed while no backend server has a measured latency.
constexpr std::int64_t kDefaultLatencyMicros = 1000;

// Mean latency of the backend servers whose latency is known.
auto
MeanLatency(const Route& aRoute) -> Micros
{
  auto sum = std::int64_t{ 0 };
  auto count = std::int64_t{ 0 };
  for (const auto& backend : aRoute.backends) {
    const auto latency = backend->LatencyMicros();
    sum += latency;
    count += latency > 0 ? 1 : 0;
  }
  return Micros{ count > 0 ? sum / count : kDefaultLatencyMicros };
}

} // namespace

AdmissionController::AdmissionController(const Clock& aClock,
                                         RoutingPolicy aPolicy,
                                         DomainId aOwnDomain,
                                         Millis aCrossDomainLatency,
                                         ServiceMetrics aMetrics)
  : clock(aClock)
  , policy(aPolicy)
  , ownDomain(std::move(aOwnDomain))
  , crossDomainMicros(Micros{ aCrossDomainLatency }.count())
  , metrics(aMetrics)
{
}

auto
AdmissionController::Acquire(const SlotRequest& aRequest) -> AdmissionResult
{
  const auto now = this->clock.Now();
  if (aRequest.deadline <= now) {
    return { nullptr, Refusal::DeadlinePassed, kMinRetryAfter };
  }
  const auto anyBackend =
    std::any_of(aRequest.route->backends.begin(),
                aRequest.route->backends.end(),
                [&](const std::shared_ptr<Backend>& aBackend) {
                  return MayServe(*aBackend, now, aRequest.triedBackends);
                });
  if (!anyBackend) {
    return { nullptr, Refusal::NoBackend, kNoBackendRetryAfter };
  }
  if (this->queueLength == 0) {
    if (auto backend = this->TryPickBackend(aRequest)) {
      return { std::move(backend), Refusal::NoBackend, Millis{ 0 } };
    }
  }
  return this->WaitInQueue(aRequest);
}

auto
AdmissionController::OnSlotReleased() -> void
{
  if (this->queueLength == 0) {
    return;
  }
  const auto lock = std::lock_guard{ this->mutex };
  this->AssignFreeSlots();
}

auto
AdmissionController::OnLatency(Micros aLatency) -> void
{
  this->latencyEstimate.Observe(aLatency);
}

auto
AdmissionController::GetRetryBudget() -> RetryBudget&
{
  return this->retryBudget;
}

auto
AdmissionController::Counters() const -> const ServiceMetrics&
{
  return this->metrics;
}

auto
AdmissionController::TryPickBackend(const SlotRequest& aRequest)
  -> std::shared_ptr<Backend>
{
  thread_local auto random = std::mt19937_64{ std::random_device{}() };
  const auto context = RoutingContext{ this->clock.Now(),
                                       this->ownDomain,
                                       this->crossDomainMicros,
                                       &random,
                                       &this->roundRobinCounter };
  return PickBackend(
    *aRequest.route, this->policy, context, aRequest.triedBackends);
}

// Queues the request until it gets a slot. A request whose expected wait leaves
// too little time for a response is refused immediately, with the expected wait
// (at least kMinRetryAfter) as its retry time.
auto
AdmissionController::WaitInQueue(const SlotRequest& aRequest) -> AdmissionResult
{
  auto lock = std::unique_lock{ this->mutex };
  const auto now = this->clock.Now();
  const auto expectedWait =
    ExpectedWait(*aRequest.route, this->queue.Size() + 1);
  const auto retryAfter = std::max(kMinRetryAfter, ToMillis(expectedWait));
  const auto latestStart =
    LatestSendTime(now, aRequest.deadline, this->latencyEstimate);
  this->queue.SetCapacity(
    static_cast<std::size_t>(aRequest.route->spec.maxQueue));
  const auto ticket = this->nextTicket++;
  auto displaced = std::optional<std::uint64_t>{};
  const auto waiter =
    QueuedRequest{ ticket, aRequest.rank, aRequest.callerId, latestStart };
  const auto tooLate = now + expectedWait > latestStart;
  if (tooLate || !this->queue.Enqueue(waiter, displaced)) {
    const auto reason = tooLate ? Refusal::DeadlinePassed : Refusal::QueueFull;
    return { nullptr, reason, retryAfter };
  }
  if (displaced) {
    auto& displacedRequest = this->queuedByTicket.at(*displaced);
    displacedRequest.displaced = true;
    displacedRequest.changed.notify_one();
  }
  auto& entry = this->queuedByTicket[ticket];
  entry.request = &aRequest;
  this->queueLength = this->queue.Size();
  this->metrics.waitingRequests->Increment();
  this->AssignFreeSlots();
  this->WaitForSlot(lock, ticket, entry, latestStart);
  auto result = AdmissionResult{ entry.grantedBackend,
                                 Refusal::DeadlinePassed,
                                 retryAfter };
  if (entry.displaced) {
    result.refusal = Refusal::QueueFull;
  }
  this->queue.Remove(ticket);
  this->queuedByTicket.erase(ticket);
  this->queueLength = this->queue.Size();
  this->metrics.waitingRequests->Decrement();
  this->NotifyFirst();
  return result;
}

// Returns when the request has a slot, was displaced from the queue, or can no
// longer be answered before its deadline.
auto
AdmissionController::WaitForSlot(std::unique_lock<std::mutex>& aLock,
                                 std::uint64_t aTicket,
                                 SlotWait& aEntry,
                                 Time aLatestStart) -> void
{
  for (;;) {
    const auto now = this->clock.Now();
    if (aEntry.grantedBackend || aEntry.displaced || now >= aLatestStart) {
      return;
    }
    const auto isFirst = this->queue.Next(now) == aTicket;
    const auto until =
      isFirst ? std::min(aLatestStart, now + kQueuePollInterval) : aLatestStart;
    aEntry.changed.wait_until(aLock, until);
    if (isFirst) {
      this->AssignFreeSlots();
    }
  }
}

// Assigns free slots to requests in queue order. The caller holds the mutex.
auto
AdmissionController::AssignFreeSlots() -> void
{
  auto assigned = false;
  while (const auto ticket = this->queue.Next(this->clock.Now())) {
    auto& entry = this->queuedByTicket.at(*ticket);
    entry.grantedBackend = this->TryPickBackend(*entry.request);
    if (!entry.grantedBackend) {
      break;
    }
    this->queue.Dequeue(*ticket);
    entry.changed.notify_one();
    assigned = true;
  }
  if (assigned) {
    this->queueLength = this->queue.Size();
    this->NotifyFirst();
  }
}

auto
AdmissionController::NotifyFirst() -> void
{
  if (const auto firstTicket = this->queue.Next(this->clock.Now())) {
    this->queuedByTicket.at(*firstTicket).changed.notify_one();
  }
}

auto
AdmissionController::ExpectedWait(const Route& aRoute, std::size_t aAhead)
  -> Micros
{
  const auto slots = std::max<std::size_t>(
    1,
    aRoute.backends.size() *
      static_cast<std::size_t>(aRoute.maxInFlightPerBackend));
  return MeanLatency(aRoute) * static_cast<std::int64_t>(aAhead) /
         static_cast<std::int64_t>(slots);
}

} // namespace gooseberry
