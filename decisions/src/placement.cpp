#include "placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables.h"

namespace gooseberry {

namespace {

constexpr double kHarmWeight = 4.0;
constexpr double kSpreadWeight = 2.0;
// Outweighs everything else: only where no other place is left.
constexpr double kBrokenPromise = 100.0;
// Batch work that so many shards refused for the sake of their services is
// placed all the same, so that it finishes.
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

// Largest used share over the three dimensions.
auto
Fullness(const Resources& aUsed, const Resources& aCapacity) -> double
{
  return std::max({ Share(aUsed.cpuMillis, aCapacity.cpuMillis),
                    Share(aUsed.memoryMb, aCapacity.memoryMb),
                    Share(aUsed.accelerators, aCapacity.accelerators) });
}

// Extra slowdown of the services there, if the task joined: the worst service
// counts. The slowdown of the pairs adds up.
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
    auto harm = 0.0;
    for (const auto& batch : batches) {
      harm += aInterference.Harm(service, batch);
    }
    worst = std::max(worst, harm);
  }
  return worst;
}

// The first rule that keeps the task off this worker.
auto
Obstacle(const WorkerView& aWorker,
         const Task& aTask,
         const PlacementContext& aContext) -> std::optional<NoPlace>
{
  const auto allowed = aTask.Allows(aWorker.info.domain);
  const auto answers = aWorker.listed && !aWorker.info.leaving &&
                       aWorker.reconciled &&
                       aContext.now - aWorker.lastReport < kWorkerLease / 2;
  if (!allowed || !answers) {
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
  const auto mayHurt = aContext.policy != PlacementPolicy::BestFit ||
                       aTask.kind != TaskKind::Batch || aTask.urgent ||
                       aTask.moves >= kMovesBeforeHurt;
  if (!mayHurt && PredictedHarm(aWorker, aTask, *aContext.interference) >
                    kSlowdownLimit - 1.0) {
    return NoPlace::WouldHurt;
  }
  return std::nullopt;
}

// Lower is better. Batch packs tightly, to keep whole workers free for large
// tasks; services and watchers spread over failure domains first.
auto
BestCost(const WorkerView& aWorker,
         const Task& aTask,
         const PlacementContext& aContext) -> double
{
  auto after = aWorker.reserved;
  after += aTask.size;
  const auto fullness = Fullness(after, aWorker.info.capacity);
  const auto harm = PredictedHarm(aWorker, aTask, *aContext.interference);
  auto cost = kHarmWeight * harm;
  if (harm > kSlowdownLimit - 1.0) {
    cost += kBrokenPromise;
  }
  if (aTask.kind == TaskKind::Batch) {
    return cost + 1.0 - fullness;
  }
  const auto others =
    aContext.spread->find({ aTask.classId, aWorker.info.domain });
  if (others != aContext.spread->end()) {
    cost += kSpreadWeight * others->second;
  }
  return cost + fullness;
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
  const auto draw = aWorker.info.id.text + aTask.id.text;
  return static_cast<double>(
    StableHash(draw, static_cast<std::uint64_t>(MillisOf(aContext.now))));
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
  auto room = this->info.capacity;
  room -= Larger(this->reserved, this->used);
  return room;
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
    const auto obstacle = Obstacle(worker, aTask, aContext);
    if (obstacle) {
      aReason = std::max(aReason, *obstacle);
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
          ShardNumber aOwn) -> std::optional<ShardNumber>
{
  auto best = std::optional<ShardNumber>{};
  auto bestWeight = 0.0;
  const auto draw = aTask.id.text + "#" + std::to_string(aTask.moves);
  for (const auto& [shard, domains] : aCapacity) {
    auto processors = 0.0;
    for (const auto& [domain, capacity] : domains) {
      if (aTask.Allows(domain) && aDocument.IsOpen(domain)) {
        processors += static_cast<double>(capacity.cpuMillis);
      }
    }
    if (shard == aOwn || processors <= 0.0) {
      continue;
    }
    // Weighted rendezvous: the largest of u^(1/w) has odds proportional to w.
    constexpr double kRange = 18446744073709551616.0;
    const auto uniform =
      (static_cast<double>(StableHash(draw, shard)) + 1.0) / kRange;
    const auto weight = std::log(uniform) / processors;
    if (!best || weight > bestWeight) {
      best = shard;
      bestWeight = weight;
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
