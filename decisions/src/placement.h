#ifndef GOOSEBERRY_PLACEMENT_H
#define GOOSEBERRY_PLACEMENT_H

// Selects the worker of a task among the workers of one shard, or the shard to
// which a task without a worker is transferred.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "document.h"
#include "interference.h"
#include "task.h"
#include "workerprotocol.h"

namespace gooseberry {

// What the shard's owner knows about one worker.
struct WorkerView
{
  WorkerInfo info;
  // Whether the platform's list of workers contains it.
  bool listed = false;
  // Whether it accepted this owner's epoch and reported its attempts; reset
  // when its lease lapses.
  bool reconciled = false;
  std::optional<WorkerStamp> stamp;
  Time lastReportAt{};
  // End of the newest lease that was sent to it, by this process's clock with a
  // margin for drift. The worker has stopped all tasks by then.
  Time leaseEnd{};
  // Sum of the declared sizes of the tasks that occupy it.
  Resources reserved;
  // Sum of the resources that its attempts use, as it reported them.
  Resources used;
  // Failed attempts in a row, and their classes.
  int failureStreak = 0;
  std::set<ClassId> failedClasses;
  Time quarantinedUntil{};
  Time lastProbeAt{};
  // Classes of the tasks that occupy it, one element per task: services, and
  // batch tasks with watchers.
  std::vector<ClassId> serviceClasses;
  std::vector<ClassId> batchClasses;
  InterferenceMitigation mitigation;
  // Percentage of its processors that a throttled task may use.
  std::map<TaskId, int> throttlePercents;

  // Resources for new tasks: the capacity less the declared or the reported
  // use, whichever is larger.
  auto FreeResources() const -> Resources;
  auto IsQuarantined(Time aNow) const -> bool;
};

// Distinct worker capacities in the whole fleet, by failure domain.
using FleetCapacities = std::map<DomainId, std::vector<Resources>>;

// Sum of the capacities of each shard's workers, by failure domain.
using ShardCapacity = std::map<ShardNumber, std::map<DomainId, Resources>>;

// Selects the shard to which a task is transferred. The choice depends on a
// hash of the task's name and transfer count; a shard's odds are proportional
// to its processors in failure domains that are in service and allowed for the
// task. Nothing if no other shard has any.
auto
PickTransferTarget(const Task& aTask,
                   const Document& aDocument,
                   const ShardCapacity& aCapacity,
                   ShardNumber aOwnShard) -> std::optional<ShardNumber>;

enum class PlacementPolicy
{
  BestFit,  // least cost of interference, spreading and packing
  FirstFit, // the first worker with enough free resources, by name
  Random,   // any worker with enough free resources
  PlacementPolicy_NB
};

auto
ToText(PlacementPolicy aPolicy) -> const char*;

struct PlacementContext
{
  Time now;
  PlacementPolicy policy = PlacementPolicy::BestFit;
  const Document* document = nullptr;
  const InterferenceModel* interference = nullptr;
  // Share of each worker's capacity that may be used, 0 to 1, for failure
  // domains that came back into service recently.
  const std::map<DomainId, double>* refillLimits = nullptr;
  // Number of tasks that occupy a worker, by class of watcher or service and
  // failure domain. Replicas are spread by it.
  const std::map<std::pair<ClassId, DomainId>, int>* replicaCounts = nullptr;
};

// Why a task cannot be placed on a worker. Ordered: a later reason came closer
// to a placement.
enum class PlacementFailure
{
  NoReadyWorker,
  DomainOutOfService,
  InsufficientResources,
  WorkerQuarantined,
  DomainRefilling,
  WouldSlowServices, // a service on the worker would become too slow
  PlacementFailure_NB
};

auto
ToText(PlacementFailure aReason) -> const char*;

// Index into aWorkers of the worker with the least cost. If there is none,
// returns nothing and sets aReason to the reason that came closest to a
// placement.
auto
PickWorker(const std::vector<const WorkerView*>& aWorkers,
           const Task& aTask,
           const PlacementContext& aContext,
           PlacementFailure& aReason) -> std::optional<std::size_t>;

// Why no worker of the fleet is large enough for the task; nullopt if one is,
// or if no worker is known in its failure domains.
auto
ExplainInfeasible(const Task& aTask, const FleetCapacities& aFleet)
  -> std::optional<std::string>;

} // namespace gooseberry

#endif
