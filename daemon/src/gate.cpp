#include "gate.h"

#include <algorithm>

namespace gooseberry {

namespace {

// A waiter looks again by itself this often, for routes that changed.
constexpr Millis kLookAgain{ 20 };
constexpr Millis kLeastRetryAfter{ 100 };
constexpr Millis kNoBackendRetryAfter{ 1000 };
constexpr std::int64_t kUnknownLatencyMicros = 1000;

// Mean latency of the backend servers that have one.
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
           Millis aHop,
           ServiceMetrics aMetrics)
  : clock(aClock)
  , policy(aPolicy)
  , ownDomain(std::move(aOwnDomain))
  , hopMicros(Micros{ aHop }.count())
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
  const auto usable =
    std::any_of(aRequest.route->backends.begin(),
                aRequest.route->backends.end(),
                [&](const std::shared_ptr<Backend>& aBackend) {
                  return !aBackend->Leaving(now) &&
                         std::find(aRequest.tried.begin(),
                                   aRequest.tried.end(),
                                   aBackend.get()) == aRequest.tried.end();
                });
  if (!usable) {
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

// A request that would wait past its deadline is refused at once, with the time
// after which the line is expected to be shorter.
auto
Gate::Wait(const PlaceRequest& aRequest) -> Place
{
  auto lock = std::unique_lock{ this->mutex };
  const auto expected = ExpectedWait(*aRequest.route, this->line.Size() + 1);
  const auto retryAfter = std::max(kLeastRetryAfter, ToMillis(expected));
  this->line.SetMost(static_cast<std::size_t>(aRequest.route->spec.maxQueue));
  const auto ticket = this->nextTicket++;
  auto displaced = std::optional<std::uint64_t>{};
  const auto waiter =
    Waiter{ ticket, aRequest.rank, aRequest.caller, aRequest.deadline };
  const auto tooLate = this->clock.Now() + expected > aRequest.deadline;
  if (tooLate || !this->line.Join(waiter, displaced)) {
    const auto reason = tooLate ? Refusal::DeadlinePassed : Refusal::QueueFull;
    return { nullptr, reason, retryAfter };
  }
  if (displaced) {
    this->waiting[*displaced].displaced = true;
    this->changed.notify_all();
  }
  auto& entry = this->waiting[ticket];
  entry.request = &aRequest;
  this->lineLength = this->line.Size();
  this->metrics.waiting->Increment();
  this->ServeLine();
  while (!entry.granted && !entry.displaced &&
         this->clock.Now() < aRequest.deadline) {
    this->changed.wait_for(lock, kLookAgain);
    this->ServeLine();
  }
  auto place = Place{ entry.granted, Refusal::DeadlinePassed, retryAfter };
  if (entry.displaced) {
    place.refusal = Refusal::QueueFull;
  }
  this->line.Leave(ticket);
  this->waiting.erase(ticket);
  this->lineLength = this->line.Size();
  this->metrics.waiting->Decrement();
  return place;
}

// Hands free places to the first in line; the mutex is held.
auto
Gate::ServeLine() -> void
{
  auto served = false;
  while (const auto ticket = this->line.First(this->clock.Now())) {
    auto& entry = this->waiting.at(*ticket);
    entry.granted = this->Pick(*entry.request);
    if (!entry.granted) {
      break;
    }
    this->line.Serve(*ticket);
    served = true;
  }
  if (served) {
    this->lineLength = this->line.Size();
    this->changed.notify_all();
  }
}

auto
Gate::ExpectedWait(const Route& aRoute, std::size_t aAhead) -> Micros
{
  const auto places = std::max<std::size_t>(
    1,
    aRoute.backends.size() * static_cast<std::size_t>(aRoute.placesPerBackend));
  return MeanLatency(aRoute) * static_cast<std::int64_t>(aAhead) /
         static_cast<std::int64_t>(places);
}

} // namespace gooseberry
