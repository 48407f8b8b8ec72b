#include "gate.h"

#include <algorithm>

namespace gooseberry {

namespace {

// The first request in the queue polls for a slot at this interval, because
// routes may change without a notification.
constexpr Millis kLookAgain{ 20 };
constexpr Millis kLeastRetryAfter{ 100 };
constexpr Millis kNoBackendRetryAfter{ 1000 };
// Assumed while no backend server has a measured latency.
constexpr std::int64_t kUnknownLatencyMicros = 1000;

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
  return Micros{ count > 0 ? sum / count : kUnknownLatencyMicros };
}

} // namespace

Gate::Gate(const Clock& aClock,
           RoutingPolicy aPolicy,
           DomainId aOwnDomain,
           Millis aCrossDomainLatency,
           ServiceMetrics aMetrics)
  : clock(aClock)
  , policy(aPolicy)
  , ownDomain(std::move(aOwnDomain))
  , hopMicros(Micros{ aCrossDomainLatency }.count())
  , metrics(aMetrics)
{
}

auto
Gate::Acquire(const PlaceRequest& aRequest) -> Place
{
  const auto now = this->clock.Now();
  if (aRequest.deadline <= now) {
    return { nullptr, Refusal::DeadlinePassed, kLeastRetryAfter };
  }
  const auto anyBackend =
    std::any_of(aRequest.route->backends.begin(),
                aRequest.route->backends.end(),
                [&](const std::shared_ptr<Backend>& aBackend) {
                  return MayServe(*aBackend, now, aRequest.tried);
                });
  if (!anyBackend) {
    return { nullptr, Refusal::NoBackend, kNoBackendRetryAfter };
  }
  if (this->lineLength == 0) {
    if (auto backend = this->Pick(aRequest)) {
      return { std::move(backend), Refusal::NoBackend, Millis{ 0 } };
    }
  }
  return this->Wait(aRequest);
}

auto
Gate::OnFreed() -> void
{
  if (this->lineLength == 0) {
    return;
  }
  const auto lock = std::lock_guard{ this->mutex };
  this->ServeLine();
}

auto
Gate::OnLatency(Micros aLatency) -> void
{
  this->estimate.Observe(aLatency);
}

auto
Gate::Retries() -> RetryBudget&
{
  return this->retries;
}

auto
Gate::Counters() const -> const ServiceMetrics&
{
  return this->metrics;
}

auto
Gate::Pick(const PlaceRequest& aRequest) -> std::shared_ptr<Backend>
{
  thread_local auto random = std::mt19937_64{ std::random_device{}() };
  const auto context = RoutingContext{
    this->clock.Now(), this->ownDomain, this->hopMicros, &random, &this->turn
  };
  return PickBackend(*aRequest.route, this->policy, context, aRequest.tried);
}

// Queues the request until it gets a slot. A request whose expected wait leaves
// too little time for a response is refused immediately, with the expected wait
// (at least kMinRetryAfter) as its retry time.
auto
Gate::Wait(const PlaceRequest& aRequest) -> Place
{
  auto lock = std::unique_lock{ this->mutex };
  const auto now = this->clock.Now();
  const auto expectedWait =
    ExpectedWait(*aRequest.route, this->line.Size() + 1);
  const auto retryAfter = std::max(kLeastRetryAfter, ToMillis(expectedWait));
  const auto latestStart = LatestStart(now, aRequest.deadline, this->estimate);
  this->line.SetMost(static_cast<std::size_t>(aRequest.route->spec.maxQueue));
  const auto ticket = this->nextTicket++;
  auto displaced = std::optional<std::uint64_t>{};
  const auto waiter =
    Waiter{ ticket, aRequest.rank, aRequest.caller, latestStart };
  const auto tooLate = now + expectedWait > latestStart;
  if (tooLate || !this->line.Join(waiter, displaced)) {
    const auto reason = tooLate ? Refusal::DeadlinePassed : Refusal::QueueFull;
    return { nullptr, reason, retryAfter };
  }
  if (displaced) {
    auto& displacedRequest = this->waiting.at(*displaced);
    displacedRequest.displaced = true;
    displacedRequest.news.notify_one();
  }
  auto& entry = this->waiting[ticket];
  entry.request = &aRequest;
  this->lineLength = this->line.Size();
  this->metrics.waiting->Increment();
  this->ServeLine();
  this->AwaitNews(lock, ticket, entry, latestStart);
  auto result = Place{ entry.granted, Refusal::DeadlinePassed, retryAfter };
  if (entry.displaced) {
    result.refusal = Refusal::QueueFull;
  }
  this->line.Leave(ticket);
  this->waiting.erase(ticket);
  this->lineLength = this->line.Size();
  this->metrics.waiting->Decrement();
  this->WakeFirst();
  return result;
}

// Returns when the request has a slot, was displaced from the queue, or can no
// longer be answered before its deadline.
auto
Gate::AwaitNews(std::unique_lock<std::mutex>& aLock,
                std::uint64_t aTicket,
                Waiting& aEntry,
                Time aLatestStart) -> void
{
  for (;;) {
    const auto now = this->clock.Now();
    if (aEntry.granted || aEntry.displaced || now >= aLatestStart) {
      return;
    }
    const auto isFirst = this->line.First(now) == aTicket;
    const auto until =
      isFirst ? std::min(aLatestStart, now + kLookAgain) : aLatestStart;
    aEntry.news.wait_until(aLock, until);
    if (isFirst) {
      this->ServeLine();
    }
  }
}

// Assigns free slots to requests in queue order. The caller holds the mutex.
auto
Gate::ServeLine() -> void
{
  auto assigned = false;
  while (const auto ticket = this->line.First(this->clock.Now())) {
    auto& entry = this->waiting.at(*ticket);
    entry.granted = this->Pick(*entry.request);
    if (!entry.granted) {
      break;
    }
    this->line.Serve(*ticket);
    entry.news.notify_one();
    assigned = true;
  }
  if (assigned) {
    this->lineLength = this->line.Size();
    this->WakeFirst();
  }
}

auto
Gate::WakeFirst() -> void
{
  if (const auto firstTicket = this->line.First(this->clock.Now())) {
    this->waiting.at(*firstTicket).news.notify_one();
  }
}

auto
Gate::ExpectedWait(const Route& aRoute, std::size_t aAhead) -> Micros
{
  const auto slots = std::max<std::size_t>(
    1,
    aRoute.backends.size() * static_cast<std::size_t>(aRoute.placesPerBackend));
  return MeanLatency(aRoute) * static_cast<std::int64_t>(aAhead) /
         static_cast<std::int64_t>(slots);
}

} // namespace gooseberry
