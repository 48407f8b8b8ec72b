#ifndef GOOSEBERRY_ROUTING_H
#define GOOSEBERRY_ROUTING_H

// Chooses the backend server of a request. The table is immutable and is
// published by read-copy-update; only the counters of a backend server change.

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

// One backend server, shared by the tables that name it.
class Backend
{
public:
  Backend(std::string aId, std::string aAddress, DomainId aDomain, Time aSeen);

  const std::string id;
  const std::string address;
  const DomainId domain;

  auto InFlight() const -> int;
  auto LatencyMicros() const -> std::int64_t;
  auto Leaving(Time aNow) const -> bool;
  auto Ejected(Time aNow) const -> bool;
  // Share of its full load that a new backend server may take, 0 to 1.
  auto Warmth(Time aNow) const -> double;

  // Takes one of at most aMost places.
  auto Enter(Time aNow, int aMost) -> bool;
  // Whether it got no request for so long that its latency is out of date.
  auto ProbeDue(Time aNow) const -> bool;
  auto Leave() -> void;
  // An estimate that is out of date is replaced.
  auto OnAnswer(Time aNow, std::int64_t aLatencyMicros) -> void;
  // A failure on a connection that had proved itself does not count.
  auto OnFailure(Time aNow) -> void;
  auto OnLeavingNotice(Time aNow) -> void;
  // The platform's list says whether it leaves.
  auto SetListedLeaving(bool aLeaving) -> void;

private:
  const Time seen;
  std::atomic<int> inFlight = 0;
  std::atomic<std::int64_t> latencyMicros = 0;
  std::atomic<std::int64_t> lastEnteredMs = 0;
  std::atomic<std::int64_t> lastAnswerMs = 0;
  std::atomic<int> failureStreak = 0;
  std::atomic<int> ejections = 0;
  std::atomic<std::int64_t> ejectedUntilMs = 0;
  std::atomic<std::int64_t> leavingUntilMs = 0;
  std::atomic<bool> listedLeaving = false;
};

struct Route
{
  ServiceSpec spec;
  // Only those in failure domains that are in service and allowed.
  std::vector<std::shared_ptr<Backend>> backends;
  // Requests that this entry instance may have at one backend server.
  int placesPerBackend = 1;
};

struct RouteTable
{
  std::uint64_t documentNumber = 0;
  std::map<ServiceId, std::shared_ptr<const Route>> routes;
};

// How the parts of the limits are divided over the entry instances.
struct PlaceShare
{
  int slots = 8;
  int connections = 60;
  int entries = 1;
};

// Requests that one entry may have at one backend server. The connections of
// one more entry than there are stay free, for one that arrives.
auto
PlacesPerBackend(const PlaceShare& aShare) -> int;

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
  // Added cost of a hop to another failure domain.
  std::int64_t hopMicros = 1000;
  std::mt19937_64* random = nullptr;
  std::atomic<std::uint64_t>* turn = nullptr;
};

// Whether the backend server may get a request that was tried at those in
// aTried: it is another one and is not leaving.
auto
MayServe(const Backend& aBackend,
         Time aNow,
         const std::vector<const Backend*>& aTried) -> bool;

// The backend server for the next attempt, with a place taken in it; null if
// none has a place. Those in aTried are passed over.
auto
PickBackend(const Route& aRoute,
            RoutingPolicy aPolicy,
            const RoutingContext& aContext,
            const std::vector<const Backend*>& aTried)
  -> std::shared_ptr<Backend>;

} // namespace gooseberry

#endif
