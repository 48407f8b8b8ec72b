#ifndef GOOSEBERRY_PLACEMENT_H
#define GOOSEBERRY_PLACEMENT_H

// Chooses the worker of a task among those of one shard.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "document.h"
#include "interference.h"
#include "task.h"
#include "workerlink.h"

namespace gooseberry {

// What the shard's owner knows of one worker.
struct WorkerView
{
  WorkerInfo info;
  // Whether the platform's list still names it.
  bool listed = false;
  // Whether it answered under this owner's epoch.
  bool reconciled = false;
  std::optional<WorkerStamp> stamp;
  Time lastReport{};
  // Nothing runs there after this time unless a newer lease was sent.
  Time leaseEnd{};
  // Declared sizes of all tasks that occupy it.
  Resources reserved;
  // Use that it reported.
  Resources used;
  int failureStreak = 0;
  std::set<ClassId> failedClasses;
  Time quarantinedUntil{};
  Time lastProbe{};
  std::vector<ClassId> services;
  std::vector<ClassId> batches;
  ReliefLadder relief;
  std::map<TaskId, int> throttles;

  // What is left for new tasks, by declared or by reported use.
  auto Room() const -> Resources;
  auto Quarantined(Time aNow) const -> bool;
};

// Distinct capacities of the whole fleet's workers, by failure domain.
using FleetShape = std::map<DomainId, std::vector<Resources>>;

// Sum of the workers' capacities of each shard, by failure domain.
using ShardCapacity = std::map<ShardNumber, std::map<DomainId, Resources>>;

// The shard that should try a task next: drawn by the task's name in
// proportion to the processors of each shard in failure domains that are
// allowed and in service. Nothing if no other shard has any.
auto
PickShard(const Task& aTask,
          const Document& aDocument,
          const ShardCapacity& aCapacity,
          ShardNumber aOwn) -> std::optional<ShardNumber>;

enum class PlacementPolicy
{
  BestFit,  // by cost: interference, spread, packing
  FirstFit, // the first worker with room, by name
  Random,   // any worker with room
  PlacementPolicy_NB
};

auto
ToText(PlacementPolicy aPolicy) -> const char*;

struct PlacementContext
{
  Time now;
  PlacementPolicy policy = PlacementPolicy::BestFit;
  const Document* document = nullptr;
  const Interference* interference = nullptr;
  // Failure domains that were opened lately, and the share that may be used.
  const std::map<DomainId, double>* refill = nullptr;
  // Workers of one class by failure domain, for spreading.
  const std::map<std::pair<ClassId, DomainId>, int>* spread = nullptr;
};

enum class NoPlace
{
  NoWorker,
  DomainClosed,
  NoRoom,
  Quarantined,
  Refilling,
  WouldHurt, // a service there would miss its promise
  NoPlace_NB
};

auto
ToText(NoPlace aReason) -> const char*;

// Index into aWorkers of the best place, or the reason that came closest to
// having one.
auto
PickWorker(const std::vector<const WorkerView*>& aWorkers,
           const Task& aTask,
           const PlacementContext& aContext,
           NoPlace& aReason) -> std::optional<std::size_t>;

// Why no worker of the fleet could ever hold the task; nullopt if one could.
auto
WhyNever(const Task& aTask, const FleetShape& aFleet)
  -> std::optional<std::string>;

} // namespace gooseberry

#endif
