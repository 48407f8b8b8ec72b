#include "routing.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberry {

namespace {

// Outlier ejection: failures in a row before a server is ejected, and the time
// of the first ejection, which doubles with each further one.
constexpr int kFailuresToEject = 5;
constexpr std::int64_t kEjectionMs = 2000;
constexpr int kMaxEjectionDoublings = 5;
// How long a server's announcement that it stops keeps requests away from it.
constexpr std::int64_t kLeavingNoticeMs = 10000;
constexpr std::int64_t kSlowStartMs = 5000;
constexpr double kMinSlowStartFactor = 0.1;
// Ejections are ignored when fewer than this share of the servers is healthy.
constexpr double kMinHealthyShare = 0.5;
// Factor on an instance's even share of the slots. The surplus requests queue
// at the backend server, so that it has the next one as soon as a slot is free.
constexpr double kSlotOvercommit = 1.25;
// A new sample changes the moving average by 1 / kLatencyAverageDivisor of the
// difference.
constexpr std::int64_t kLatencyAverageDivisor = 8;
// A server this many times slower than the median gets probes only, because
// waiting in the queue for another server takes less time.
constexpr std::int64_t kSlowFactor = 3;
constexpr std::int64_t kProbeIntervalMs = 5000;

using Candidates = std::vector<std::shared_ptr<Backend>>;

// Expected latency of one more request at the backend server, in microseconds.
// Counts the extra latency to another failure domain for both directions.
auto
RequestCost(const Backend& aBackend, const RoutingContext& aContext) -> double
{
  const auto latency =
    static_cast<double>(std::max<std::int64_t>(aBackend.LatencyMicros(), 100));
  const auto load =
    (aBackend.InFlight() + 1) / aBackend.SlowStartFactor(aContext.now);
  const auto extraMicros =
    aBackend.domain == aContext.ownDomain ? 0 : aContext.crossDomainMicros;
  return latency * load + 2.0 * static_cast<double>(extraMicros);
}

// Sorts the candidates in the order in which they are to be tried.
using OrderFunction = void (*)(Candidates&, const RoutingContext&);

auto
OrderByCost(Candidates& aCandidates, const RoutingContext& aContext) -> void
{
  std::shuffle(aCandidates.begin(), aCandidates.end(), *aContext.random);
  auto costs = std::vector<std::pair<double, std::shared_ptr<Backend>>>{};
  costs.reserve(aCandidates.size());
  for (auto& backend : aCandidates) {
    const auto cost = RequestCost(*backend, aContext);
    costs.emplace_back(cost, std::move(backend));
  }
  std::stable_sort(
    costs.begin(), costs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  for (auto index = std::size_t{ 0 }; index < costs.size(); ++index) {
    aCandidates[index] = std::move(costs[index].second);
  }
}

auto
OrderByTwoChoices(Candidates& aCandidates, const RoutingContext& aContext)
  -> void
{
  std::shuffle(aCandidates.begin(), aCandidates.end(), *aContext.random);
  if (aCandidates.size() > 1 && RequestCost(*aCandidates[1], aContext) <
                                  RequestCost(*aCandidates[0], aContext)) {
    std::swap(aCandidates[0], aCandidates[1]);
  }
}

auto
OrderByRoundRobin(Candidates& aCandidates, const RoutingContext& aContext)
  -> void
{
  const auto first =
    aContext.roundRobinCounter->fetch_add(1) % aCandidates.size();
  std::rotate(aCandidates.begin(),
              aCandidates.begin() + static_cast<std::ptrdiff_t>(first),
              aCandidates.end());
}

auto
OrderAtRandom(Candidates& aCandidates, const RoutingContext& aContext) -> void
{
  std::shuffle(aCandidates.begin(), aCandidates.end(), *aContext.random);
}

struct PolicyEntry
{
  const char* name;
  OrderFunction order;
  // Whether servers that are much slower than the others are skipped.
  bool avoidsSlow;
};

constexpr std::array<PolicyEntry,
                     static_cast<int>(RoutingPolicy::RoutingPolicy_NB)>
  kPolicies{ { { "least_cost", OrderByCost, true },
               { "two_choices", OrderByTwoChoices, false },
               { "round_robin", OrderByRoundRobin, false },
               { "random", OrderAtRandom, false } } };

// Backend servers that may serve the request, without ejected ones unless too
// few would be left.
auto
EligibleBackends(const Route& aRoute,
                 Time aNow,
                 const std::vector<const Backend*>& aTried) -> Candidates
{
  auto available = Candidates{};
  auto healthy = Candidates{};
  for (const auto& backend : aRoute.backends) {
    if (!MayServe(*backend, aNow, aTried)) {
      continue;
    }
    available.push_back(backend);
    if (!backend->IsEjected(aNow)) {
      healthy.push_back(backend);
    }
  }
  const auto minHealthy =
    kMinHealthyShare * static_cast<double>(available.size());
  return static_cast<double>(healthy.size()) >= minHealthy ? healthy
                                                           : available;
}

// Median of the known latencies in microseconds; zero if none is known.
auto
MedianLatency(const Candidates& aCandidates) -> std::int64_t
{
  auto latencies = std::vector<std::int64_t>{};
  latencies.reserve(aCandidates.size());
  for (const auto& backend : aCandidates) {
    if (const auto latency = backend->LatencyMicros(); latency > 0) {
      latencies.push_back(latency);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  const auto middle =
    latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

// Removes servers that are much slower than the others from the candidates.
// Returns one of them that is due for a probe, which tells whether it still is
// slow; null if none is.
auto
RemoveSlowBackends(Candidates& aCandidates, Time aNow)
  -> std::shared_ptr<Backend>
{
  auto probe = std::shared_ptr<Backend>{};
  const auto limit = kSlowFactor * MedianLatency(aCandidates);
  if (limit == 0) {
    return probe;
  }
  std::erase_if(aCandidates, [&](const auto& aBackend) {
    const auto slow = aBackend->LatencyMicros() > limit;
    if (slow && aBackend->ProbeDue(aNow)) {
      probe = aBackend;
    }
    return slow;
  });
  return probe;
}

} // namespace

Backend::Backend(std::string aId,
                 std::string aAddress,
                 DomainId aDomain,
                 Time aFirstSeenAt)
  : id(std::move(aId))
  , address(std::move(aAddress))
  , domain(std::move(aDomain))
  , firstSeenAt(aFirstSeenAt)
{
}

auto
Backend::InFlight() const -> int
{
  return this->inFlight.load(std::memory_order_relaxed);
}

auto
Backend::LatencyMicros() const -> std::int64_t
{
  return this->latencyMicros.load(std::memory_order_relaxed);
}

auto
Backend::IsLeaving(Time aNow) const -> bool
{
  return this->listedLeaving || SteadyMillis(aNow) < this->leavingUntilMs;
}

auto
Backend::IsEjected(Time aNow) const -> bool
{
  return SteadyMillis(aNow) < this->ejectedUntilMs;
}

auto
Backend::SlowStartFactor(Time aNow) const -> double
{
  const auto age =
    static_cast<double>(ToMillis(aNow - this->firstSeenAt).count());
  return std::clamp(age / kSlowStartMs, kMinSlowStartFactor, 1.0);
}

auto
Backend::TryAcquireSlot(Time aNow, int aMaxInFlight) -> bool
{
  auto current = this->inFlight.load();
  while (current < aMaxInFlight) {
    if (this->inFlight.compare_exchange_weak(current, current + 1)) {
      this->lastRequestMs = SteadyMillis(aNow);
      return true;
    }
  }
  return false;
}

auto
Backend::ProbeDue(Time aNow) const -> bool
{
  return SteadyMillis(aNow) - this->lastRequestMs >= kProbeIntervalMs;
}

auto
Backend::ReleaseSlot() -> void
{
  --this->inFlight;
}

auto
Backend::OnResponse(Time aNow, std::int64_t aLatencyMicros) -> void
{
  this->failureStreak = 0;
  this->consecutiveEjections = 0;
  const auto last = this->lastResponseMs.exchange(SteadyMillis(aNow));
  const auto stale = SteadyMillis(aNow) - last >= kProbeIntervalMs;
  const auto oldMean = stale ? 0 : this->latencyMicros.load();
  const auto newMean = oldMean == 0 ? aLatencyMicros
                                    : oldMean + (aLatencyMicros - oldMean) /
                                                  kLatencyAverageDivisor;
  this->latencyMicros = newMean;
}

auto
Backend::OnFailure(Time aNow) -> void
{
  if (++this->failureStreak < kFailuresToEject) {
    return;
  }
  this->failureStreak = 0;
  const auto doublings =
    std::min(this->consecutiveEjections.fetch_add(1), kMaxEjectionDoublings);
  this->ejectedUntilMs = SteadyMillis(aNow) + (kEjectionMs << doublings);
}

auto
Backend::OnLeavingNotice(Time aNow) -> void
{
  this->leavingUntilMs = SteadyMillis(aNow) + kLeavingNoticeMs;
}

auto
Backend::SetListedLeaving(bool aLeaving) -> void
{
  this->listedLeaving = aLeaving;
}

auto
MaxInFlightPerBackend(const BackendLimits& aLimits) -> int
{
  const auto instances = std::max(1, aLimits.instances);
  const auto maxConnections =
    std::max(1, aLimits.connections / (instances + 1));
  const auto slotShare = std::ceil(kSlotOvercommit * aLimits.slots / instances);
  return std::clamp(static_cast<int>(slotShare), 1, maxConnections);
}

auto
ToText(RoutingPolicy aPolicy) -> const char*
{
  return kPolicies[static_cast<std::size_t>(aPolicy)].name;
}

auto
MayServe(const Backend& aBackend,
         Time aNow,
         const std::vector<const Backend*>& aTried) -> bool
{
  return !aBackend.IsLeaving(aNow) &&
         std::find(aTried.begin(), aTried.end(), &aBackend) == aTried.end();
}

auto
PickBackend(const Route& aRoute,
            RoutingPolicy aPolicy,
            const RoutingContext& aContext,
            const std::vector<const Backend*>& aTried)
  -> std::shared_ptr<Backend>
{
  auto candidates = EligibleBackends(aRoute, aContext.now, aTried);
  if (candidates.empty()) {
    return nullptr;
  }
  const auto& policy = kPolicies[static_cast<std::size_t>(aPolicy)];
  if (policy.avoidsSlow) {
    auto probe = RemoveSlowBackends(candidates, aContext.now);
    if (probe && probe->TryAcquireSlot(aContext.now, 1)) {
      return probe;
    }
  }
  policy.order(candidates, aContext);
  for (const auto& backend : candidates) {
    if (backend->TryAcquireSlot(aContext.now, aRoute.maxInFlightPerBackend)) {
      return backend;
    }
  }
  return nullptr;
}

} // namespace gooseberry
