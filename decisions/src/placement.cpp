#include "placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables.h"

namespace gooseberry {

namespace {

constexpr double kSlowdownWeight = 4.0;
constexpr double kReplicaWeight = 2.0;
// Cost of a placement that slows a service beyond the limit. Exceeds all other
// costs, so that such a worker is chosen only if there is no other.
constexpr double kObjectiveMissCost = 100.0;
// A batch task that was transferred this many times is placed even if it slows
// a service beyond the limit, so that it finishes at last.
constexpr int kMovesBeforeSlowdownAllowed = 4;

constexpr std::array<const char*,
                     static_cast<int>(PlacementFailure::PlacementFailure_NB)>
  kPlacementFailureTexts{
    "no worker of this shard answers in an allowed failure domain",
    "the allowed failure domains are out of service",
    "no worker has room",
    "the workers with room fail what they start",
    "the failure domain is being refilled",
    "it would slow the services on the workers with room"
  };

auto
Fraction(std::int64_t aPart, std::int64_t aWhole) -> double
{
  if (aWhole <= 0) {
    return 0.0;
  }
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

// Largest used fraction among the three resources, 0 to 1.
auto
MaxUtilization(const Resources& aUsed, const Resources& aCapacity) -> double
{
  return std::max({ Fraction(aUsed.cpuMillis, aCapacity.cpuMillis),
                    Fraction(aUsed.memoryMb, aCapacity.memoryMb),
                    Fraction(aUsed.accelerators, aCapacity.accelerators) });
}

// Extra slowdown of the worker's services if the task were placed there, as a
// fraction of the time alone: that of the service that is slowed most. The
// slowdowns that several batch tasks cause to one service add up.
auto
PredictedSlowdown(const WorkerView& aWorker,
                  const Task& aTask,
                  const InterferenceModel& aInterference) -> double
{
  auto services = aWorker.serviceClasses;
  auto batches = aWorker.batchClasses;
  (aTask.kind == TaskKind::Service ? services : batches)
    .push_back(aTask.classId);
  auto worst = 0.0;
  for (const auto& service : services) {
    auto slowdown = 0.0;
    for (const auto& batch : batches) {
      slowdown += aInterference.ExpectedSlowdown(service, batch);
    }
    worst = std::max(worst, slowdown);
  }
  return worst;
}

// The first reason why the task cannot be placed on this worker; nothing if it
// can.
auto
FindPlacementFailure(const WorkerView& aWorker,
                     const Task& aTask,
                     const PlacementContext& aContext)
  -> std::optional<PlacementFailure>
{
  const auto allowed = aTask.AllowsDomain(aWorker.info.domain);
  const auto ready = aWorker.listed && !aWorker.info.leaving &&
                     aWorker.reconciled &&
                     aContext.now - aWorker.lastReportAt < kWorkerLease / 2;
  if (!allowed || !ready) {
    return PlacementFailure::NoReadyWorker;
  }
  if (!aContext.document->IsInService(aWorker.info.domain)) {
    return PlacementFailure::DomainOutOfService;
  }
  if (aWorker.IsQuarantined(aContext.now)) {
    return PlacementFailure::WorkerQuarantined;
  }
  if (!aTask.size.FitsIn(aWorker.FreeResources())) {
    return PlacementFailure::InsufficientResources;
  }
  const auto limit = aContext.refillLimits->find(aWorker.info.domain);
  if (limit != aContext.refillLimits->end() &&
      MaxUtilization(aWorker.reserved, aWorker.info.capacity) > limit->second) {
    return PlacementFailure::DomainRefilling;
  }
  const auto maySlowServices = aContext.policy != PlacementPolicy::BestFit ||
                               aTask.kind != TaskKind::Batch || aTask.urgent ||
                               aTask.moves >= kMovesBeforeSlowdownAllowed;
  if (!maySlowServices &&
      PredictedSlowdown(aWorker, aTask, *aContext.interference) >
        kSlowdownLimit - 1.0) {
    return PlacementFailure::WouldSlowServices;
  }
  return std::nullopt;
}

// Cost of a placement; lower is better. Batch tasks prefer full workers, which
// keeps whole workers free for large tasks. Services and watchers prefer
// failure domains with few tasks of their class, then workers that are little
// used.
auto
BestFitCost(const WorkerView& aWorker,
            const Task& aTask,
            const PlacementContext& aContext) -> double
{
  auto after = aWorker.reserved;
  after += aTask.size;
  const auto utilization = MaxUtilization(after, aWorker.info.capacity);
  const auto slowdown =
    PredictedSlowdown(aWorker, aTask, *aContext.interference);
  auto cost = kSlowdownWeight * slowdown;
  if (slowdown > kSlowdownLimit - 1.0) {
    cost += kObjectiveMissCost;
  }
  if (aTask.kind == TaskKind::Batch) {
    return cost + 1.0 - utilization;
  }
  const auto replicas =
    aContext.replicaCounts->find({ aTask.classId, aWorker.info.domain });
  if (replicas != aContext.replicaCounts->end()) {
    cost += kReplicaWeight * replicas->second;
  }
  return cost + utilization;
}

auto
FirstFitCost(const WorkerView& /*aWorker*/,
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
    StableHash(key, static_cast<std::uint64_t>(SteadyMillis(aContext.now))));
}

struct PolicyEntry
{
  const char* name;
  double (*cost)(const WorkerView&, const Task&, const PlacementContext&);
};

constexpr std::array<PolicyEntry,
                     static_cast<int>(PlacementPolicy::PlacementPolicy_NB)>
  kPolicies{ { { "best_fit", BestFitCost },
               { "first_fit", FirstFitCost },
               { "random", RandomCost } } };

} // namespace

auto
ToText(PlacementPolicy aPolicy) -> const char*
{
  return kPolicies[static_cast<std::size_t>(aPolicy)].name;
}

auto
WorkerView::FreeResources() const -> Resources
{
  auto available = this->info.capacity;
  available -= ElementwiseMax(this->reserved, this->used);
  return available;
}

auto
WorkerView::IsQuarantined(Time aNow) const -> bool
{
  return aNow < this->quarantinedUntil;
}

auto
ToText(PlacementFailure aReason) -> const char*
{
  return kPlacementFailureTexts[static_cast<std::size_t>(aReason)];
}

auto
PickWorker(const std::vector<const WorkerView*>& aWorkers,
           const Task& aTask,
           const PlacementContext& aContext,
           PlacementFailure& aReason) -> std::optional<std::size_t>
{
  auto best = std::optional<std::size_t>{};
  auto bestCost = 0.0;
  aReason = PlacementFailure::NoReadyWorker;
  for (auto index = std::size_t{ 0 }; index < aWorkers.size(); ++index) {
    const auto& worker = *aWorkers[index];
    const auto failure = FindPlacementFailure(worker, aTask, aContext);
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
PickTransferTarget(const Task& aTask,
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
      if (aTask.AllowsDomain(domain) && aDocument.IsInService(domain)) {
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
ExplainInfeasible(const Task& aTask, const FleetCapacities& aFleet)
  -> std::optional<std::string>
{
  auto largest = Resources{};
  for (const auto& [domain, capacities] : aFleet) {
    if (!aTask.AllowsDomain(domain)) {
      continue;
    }
    for (const auto& capacity : capacities) {
      if (aTask.size.FitsIn(capacity)) {
        return std::nullopt;
      }
      largest = ElementwiseMax(largest, capacity);
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
