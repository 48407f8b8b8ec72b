#ifndef GOOSEBERRY_ROUTING_H
#define GOOSEBERRY_ROUTING_H

// Selects the backend server of a request. The routing table is immutable and
// replaced by read-copy-update; only the counters of the backend servers
// change.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "document.h"
#include "types.h"

namespace gooseberry {

// One backend server with its load and health; shared by successive routing
// tables. Thread-safe.
class Backend
{
public:
  Backend(std::string aId,
          std::string aAddress,
          DomainId aDomain,
          Time aFirstSeenAt);

  const std::string id;
  const std::string address;
  const DomainId domain;

  auto InFlight() const -> int;
  auto LatencyMicros() const -> std::int64_t;
  auto IsLeaving(Time aNow) const -> bool;
  auto IsEjected(Time aNow) const -> bool;
  // Slow start: share of its full load that a new backend server may take.
  // Grows from a minimum to 1.
  auto SlowStartFactor(Time aNow) const -> double;

  // Counts one more request in flight; false if aMaxInFlight are in flight.
  auto TryAcquireSlot(Time aNow, int aMaxInFlight) -> bool;
  // Whether it got no request for so long that its latency is out of date.
  auto ProbeDue(Time aNow) const -> bool;
  // A request that TryAcquireSlot() counted has ended.
  auto ReleaseSlot() -> void;
  // A response arrived. Updates the moving average of the latency, or replaces
  // one that is out of date, and clears the failure counters.
  auto OnResponse(Time aNow, std::int64_t aLatencyMicros) -> void;
  // A request failed. Ejects the server after several failures in a row. Not
  // called for a failure on a connection that answered before, because a single
  // dead connection says nothing about its server.
  auto OnFailure(Time aNow) -> void;
  // The server announced in a response that it is about to stop.
  auto OnLeavingNotice(Time aNow) -> void;
  // Whether the platform's list says that the server is about to stop.
  auto SetListedLeaving(bool aLeaving) -> void;

private:
  const Time firstSeenAt;
  std::atomic<int> inFlight = 0;
  std::atomic<std::int64_t> latencyMicros = 0;
  std::atomic<std::int64_t> lastRequestMs = 0;
  std::atomic<std::int64_t> lastResponseMs = 0;
  std::atomic<int> failureStreak = 0;
  std::atomic<int> consecutiveEjections = 0;
  std::atomic<std::int64_t> ejectedUntilMs = 0;
  std::atomic<std::int64_t> leavingUntilMs = 0;
  std::atomic<bool> listedLeaving = false;
};

struct Route
{
  ServiceSpec spec;
  // Those in failure domains that are in service and allowed for the service.
  std::vector<std::shared_ptr<Backend>> backends;
  // Requests that this instance may have in flight at one backend server.
  int maxInFlightPerBackend = 1;
};

struct RouteTable
{
  std::uint64_t documentNumber = 0;
  std::map<ServiceId, std::shared_ptr<const Route>> routes;
};

// Limits of one backend server, which the instances share evenly.
struct BackendLimits
{
  // Requests that it serves at a time.
  int slots = 8;
  // Connections that it accepts.
  int connections = 60;
  // Number of instances that send requests.
  int instances = 1;
};

// Requests that one instance may have in flight at one backend server; at least
// 1. Connections for one more instance than there are stay free, so that a new
// instance does not exceed the limit.
auto
MaxInFlightPerBackend(const BackendLimits& aLimits) -> int;

enum class RoutingPolicy
{
  LeastCost,
  TwoChoices,
  RoundRobin,
  Random,
  RoutingPolicy_NB
};

auto
ToText(RoutingPolicy aPolicy) -> const char*;

struct RoutingContext
{
  Time now;
  DomainId ownDomain;
  // Added one-way latency to a server in another failure domain.
  std::int64_t crossDomainMicros = 1000;
  std::mt19937_64* random = nullptr;
  std::atomic<std::uint64_t>* roundRobinCounter = nullptr;
};

// Whether the backend server may get a request that was already sent to those
// in aTried: it is not among them and is not about to stop.
auto
MayServe(const Backend& aBackend,
         Time aNow,
         const std::vector<const Backend*>& aTried) -> bool;

// Selects the backend server for the next attempt and counts the request as in
// flight there; null if every eligible server is at its limit. Skips those in
// aTried.
auto
PickBackend(const Route& aRoute,
            RoutingPolicy aPolicy,
            const RoutingContext& aContext,
            const std::vector<const Backend*>& aTried)
  -> std::shared_ptr<Backend>;

} // namespace gooseberry

#endif
