#include "placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables.h"

namespace gooseberry {

namespace {

constexpr double kHarmWeight = 4.0;
constexpr double kSpreadWeight = 2.0;
// Cost of a placement that slows a service beyond the limit. Exceeds all other
// costs, so that such a worker is chosen only if there is no other.
constexpr double kBrokenPromise = 100.0;
// A batch task that was transferred this many times is placed even if it slows
// a service beyond the limit, so that it finishes at last.
constexpr int kMovesBeforeHurt = 4;

constexpr std::array<const char*, static_cast<int>(NoPlace::NoPlace_NB)>
  kNoPlaceTexts{ "no worker of this shard answers in an allowed failure domain",
                 "the allowed failure domains are out of service",
                 "no worker has room",
                 "the workers with room fail what they start",
                 "the failure domain is being refilled",
                 "it would slow the services on the workers with room" };

auto
Share(std::int64_t aPart, std::int64_t aWhole) -> double
{
  if (aWhole <= 0) {
    return 0.0;
  }
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

// Largest used fraction among the three resources, 0 to 1.
auto
Fullness(const Resources& aUsed, const Resources& aCapacity) -> double
{
  return std::max({ Share(aUsed.cpuMillis, aCapacity.cpuMillis),
                    Share(aUsed.memoryMb, aCapacity.memoryMb),
                    Share(aUsed.accelerators, aCapacity.accelerators) });
}

// Extra slowdown of the worker's services if the task were placed there, as a
// fraction of the time alone: that of the service that is slowed most. The
// slowdowns that several batch tasks cause to one service add up.
auto
PredictedHarm(const WorkerView& aWorker,
              const Task& aTask,
              const Interference& aInterference) -> double
{
  auto services = aWorker.services;
  auto batches = aWorker.batches;
  (aTask.kind == TaskKind::Service ? services : batches)
    .push_back(aTask.classId);
  auto worst = 0.0;
  for (const auto& service : services) {
    auto slowdown = 0.0;
    for (const auto& batch : batches) {
      slowdown += aInterference.Harm(service, batch);
    }
    worst = std::max(worst, slowdown);
  }
  return worst;
}

// The first reason why the task cannot be placed on this worker; nothing if it
// can.
auto
Obstacle(const WorkerView& aWorker,
         const Task& aTask,
         const PlacementContext& aContext) -> std::optional<NoPlace>
{
  const auto allowed = aTask.Allows(aWorker.info.domain);
  const auto ready = aWorker.listed && !aWorker.info.leaving &&
                     aWorker.reconciled &&
                     aContext.now - aWorker.lastReport < kWorkerLease / 2;
  if (!allowed || !ready) {
    return NoPlace::NoWorker;
  }
  if (!aContext.document->IsOpen(aWorker.info.domain)) {
    return NoPlace::DomainClosed;
  }
  if (aWorker.Quarantined(aContext.now)) {
    return NoPlace::Quarantined;
  }
  if (!aTask.size.FitsIn(aWorker.Room())) {
    return NoPlace::NoRoom;
  }
  const auto limit = aContext.refill->find(aWorker.info.domain);
  if (limit != aContext.refill->end() &&
      Fullness(aWorker.reserved, aWorker.info.capacity) > limit->second) {
    return NoPlace::Refilling;
  }
  const auto maySlowServices = aContext.policy != PlacementPolicy::BestFit ||
                               aTask.kind != TaskKind::Batch || aTask.urgent ||
                               aTask.moves >= kMovesBeforeHurt;
  if (!maySlowServices &&
      PredictedHarm(aWorker, aTask, *aContext.interference) >
        kSlowdownLimit - 1.0) {
    return NoPlace::WouldHurt;
  }
  return std::nullopt;
}

// Cost of a placement; lower is better. Batch tasks prefer full workers, which
// keeps whole workers free for large tasks. Services and watchers prefer
// failure domains with few tasks of their class, then workers that are little
// used.
auto
BestCost(const WorkerView& aWorker,
         const Task& aTask,
         const PlacementContext& aContext) -> double
{
  auto after = aWorker.reserved;
  after += aTask.size;
  const auto utilization = Fullness(after, aWorker.info.capacity);
  const auto slowdown = PredictedHarm(aWorker, aTask, *aContext.interference);
  auto cost = kHarmWeight * slowdown;
  if (slowdown > kSlowdownLimit - 1.0) {
    cost += kBrokenPromise;
  }
  if (aTask.kind == TaskKind::Batch) {
    return cost + 1.0 - utilization;
  }
  const auto replicas =
    aContext.spread->find({ aTask.classId, aWorker.info.domain });
  if (replicas != aContext.spread->end()) {
    cost += kSpreadWeight * replicas->second;
  }
  return cost + utilization;
}

auto
FirstCost(const WorkerView& /*aWorker*/,
          const Task& /*aTask*/,
          const PlacementContext& /*aContext*/) -> double
{
  return 0.0;
}

auto
RandomCost(const WorkerView& aWorker,
           const Task& aTask,
           const PlacementContext& aContext) -> double
{
  const auto key = aWorker.info.id.text + aTask.id.text;
  return static_cast<double>(
    StableHash(key, static_cast<std::uint64_t>(MillisOf(aContext.now))));
}

struct PolicyEntry
{
  const char* name;
  double (*cost)(const WorkerView&, const Task&, const PlacementContext&);
};

constexpr std::array<PolicyEntry,
                     static_cast<int>(PlacementPolicy::PlacementPolicy_NB)>
  kPolicies{ { { "best_fit", BestCost },
               { "first_fit", FirstCost },
               { "random", RandomCost } } };

} // namespace

auto
ToText(PlacementPolicy aPolicy) -> const char*
{
  return kPolicies[static_cast<std::size_t>(aPolicy)].name;
}

auto
WorkerView::Room() const -> Resources
{
  auto available = this->info.capacity;
  available -= Larger(this->reserved, this->used);
  return available;
}

auto
WorkerView::Quarantined(Time aNow) const -> bool
{
  return aNow < this->quarantinedUntil;
}

auto
ToText(NoPlace aReason) -> const char*
{
  return kNoPlaceTexts[static_cast<std::size_t>(aReason)];
}

auto
PickWorker(const std::vector<const WorkerView*>& aWorkers,
           const Task& aTask,
           const PlacementContext& aContext,
           NoPlace& aReason) -> std::optional<std::size_t>
{
  auto best = std::optional<std::size_t>{};
  auto bestCost = 0.0;
  aReason = NoPlace::NoWorker;
  for (auto index = std::size_t{ 0 }; index < aWorkers.size(); ++index) {
    const auto& worker = *aWorkers[index];
    const auto failure = Obstacle(worker, aTask, aContext);
    if (failure) {
      aReason = std::max(aReason, *failure);
      continue;
    }
    const auto& policy = kPolicies[static_cast<std::size_t>(aContext.policy)];
    const auto cost = policy.cost(worker, aTask, aContext);
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

auto
PickShard(const Task& aTask,
          const Document& aDocument,
          const ShardCapacity& aCapacity,
          ShardNumber aOwnShard) -> std::optional<ShardNumber>
{
  auto best = std::optional<ShardNumber>{};
  auto bestScore = 0.0;
  const auto key = aTask.id.text + "#" + std::to_string(aTask.moves);
  for (const auto& [shard, domains] : aCapacity) {
    auto processors = 0.0;
    for (const auto& [domain, capacity] : domains) {
      if (aTask.Allows(domain) && aDocument.IsOpen(domain)) {
        processors += static_cast<double>(capacity.cpuMillis);
      }
    }
    if (shard == aOwnShard || processors <= 0.0) {
      continue;
    }
    // Weighted rendezvous hashing: with u uniform in (0, 1], the shard with the
    // largest u^(1/w) is chosen with odds proportional to w. Compares
    // logarithms.
    constexpr double kHashRange = 18446744073709551616.0; // 2^64
    const auto uniform =
      (static_cast<double>(StableHash(key, shard)) + 1.0) / kHashRange;
    const auto score = std::log(uniform) / processors;
    if (!best || score > bestScore) {
      best = shard;
      bestScore = score;
    }
  }
  return best;
}

auto
WhyNever(const Task& aTask, const FleetShape& aFleet)
  -> std::optional<std::string>
{
  auto largest = Resources{};
  for (const auto& [domain, capacities] : aFleet) {
    if (!aTask.Allows(domain)) {
      continue;
    }
    for (const auto& capacity : capacities) {
      if (aTask.size.FitsIn(capacity)) {
        return std::nullopt;
      }
      largest = Larger(largest, capacity);
    }
  }
  if (largest == Resources{}) {
    return std::nullopt;
  }
  const auto text = [](const Resources& aSize) {
    return "cpu_millis " + std::to_string(aSize.cpuMillis) + ", memory_mb " +
           std::to_string(aSize.memoryMb) + ", accelerators " +
           std::to_string(aSize.accelerators);
  };
  return "needs " + text(aTask.size) +
         "; no worker in its failure domains is that large (largest of each: " +
         text(largest) + ")";
}

} // namespace gooseberry
