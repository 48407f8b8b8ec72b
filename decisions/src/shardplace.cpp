// Part of Shard that places waiting tasks, transfers those that find no worker,
// and evicts tasks from failure domains that are out of service.

#include <algorithm>

#include "shard.h"

namespace gooseberry {

namespace {

// Order of evictions, lowest first: services, watchers, batch tasks that can
// resume from a checkpoint, other batch tasks.
auto
EvictionRank(const Task& aTask) -> int
{
  if (aTask.kind == TaskKind::Service) {
    return 0;
  }
  if (aTask.kind == TaskKind::Watcher) {
    return 1;
  }
  return aTask.supportsCheckpoints ? 2 : 3;
}

// Order of placements, lowest first: services, watchers and urgent tasks, other
// batch tasks.
auto
PlacementRank(const Task& aTask) -> int
{
  if (aTask.kind == TaskKind::Service) {
    return 0;
  }
  return aTask.kind == TaskKind::Watcher || aTask.urgent ? 1 : 2;
}

// Whether the team's tasks in this shard use more than the shard's even share
// of the team's quota.
auto
ExceedsQuotaShare(const Document& aDocument,
                  const std::map<TeamId, Resources>& aUsed,
                  const TeamId& aTeam,
                  ShardNumber aShardCount) -> bool
{
  const auto* team = aDocument.FindTeam(aTeam);
  const auto used = aUsed.find(aTeam);
  if (team == nullptr || !team->quota || used == aUsed.end()) {
    return false;
  }
  const auto exceeds = [&](std::int64_t aUsedAmount, std::int64_t aQuota) {
    return aUsedAmount * static_cast<std::int64_t>(aShardCount) > aQuota;
  };
  return exceeds(used->second.cpuMillis, team->quota->cpuMillis) ||
         exceeds(used->second.memoryMb, team->quota->memoryMb) ||
         exceeds(used->second.accelerators, team->quota->accelerators);
}

} // namespace

auto
Shard::EvictFromLeavingWorkers(const OwnerAuthority& aAuthority) -> void
{
  auto toEvict = std::vector<Task>{};
  auto evicting = std::size_t{ 0 };
  for (const auto& [id, task] : this->journal.Tasks()) {
    const auto view = this->workers.find(task.worker);
    if (!OccupiesWorker(task.phase) || view == this->workers.end()) {
      continue;
    }
    const auto& domain = view->second.info.domain;
    const auto outOfService =
      !domain.Empty() && !aAuthority.document->IsInService(domain);
    if (!outOfService && !view->second.info.leaving) {
      continue;
    }
    if (task.phase == TaskPhase::Evicting) {
      ++evicting;
    } else if (!this->journal.HasPendingChange(id)) {
      toEvict.push_back(task);
    }
  }
  std::stable_sort(
    toEvict.begin(), toEvict.end(), [](const Task& aLeft, const Task& aRight) {
      return EvictionRank(aLeft) < EvictionRank(aRight);
    });
  for (const auto& task : toEvict) {
    if (evicting >= kMaxConcurrentEvictions) {
      break;
    }
    ++evicting;
    this->CountEvent(ShardEvent::DomainEviction);
    this->Evict(aAuthority.now, task, "its failure domain or worker leaves");
  }
}

// Tasks to place, in order of rank, then teams within their quota before teams
// above it, then priority (highest first), then submission.
auto
Shard::WaitingInOrder(const Document& aDocument) const -> std::vector<Task>
{
  auto used = std::map<TeamId, Resources>{};
  auto waiting = std::vector<Task>{};
  for (const auto& [id, task] : this->journal.Tasks()) {
    if (OccupiesWorker(task.phase)) {
      used[task.team] += task.size;
    }
    const auto placeable =
      task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Parked;
    if (placeable && !this->journal.HasPendingChange(id)) {
      waiting.push_back(task);
    }
  }
  auto overQuota = std::map<TeamId, bool>{};
  for (const auto& task : waiting) {
    overQuota[task.team] =
      ExceedsQuotaShare(aDocument, used, task.team, this->shardCount);
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [&](const Task& aLeft, const Task& aRight) {
      const auto key = [&](const Task& aTask) {
        return std::make_tuple(PlacementRank(aTask),
                               overQuota.at(aTask.team),
                               -aTask.priority,
                               aTask.submissionOrder);
      };
      return key(aLeft) < key(aRight);
    });
  return waiting;
}

// Tasks of watchers and services that occupy a worker, by class and failure
// domain.
auto
Shard::CountReplicas() const -> std::map<std::pair<ClassId, DomainId>, int>
{
  auto counts = std::map<std::pair<ClassId, DomainId>, int>{};
  for (const auto& [id, task] : this->journal.Tasks()) {
    const auto view = this->workers.find(task.worker);
    if (task.kind != TaskKind::Batch && OccupiesWorker(task.phase) &&
        view != this->workers.end()) {
      ++counts[{ task.classId, view->second.info.domain }];
    }
  }
  return counts;
}

auto
Shard::PlaceWaiting(const OwnerAuthority& aAuthority) -> void
{
  const auto waiting = this->WaitingInOrder(*aAuthority.document);
  if (waiting.empty()) {
    return;
  }
  auto views = std::vector<const WorkerView*>{};
  for (const auto& [id, view] : this->workers) {
    views.push_back(&view);
  }
  auto refillLimits = std::map<DomainId, double>{};
  for (const auto& [domain, since] : this->backInServiceAt) {
    const auto elapsed = aAuthority.now - since;
    if (elapsed < kDomainRefillPeriod) {
      refillLimits[domain] = static_cast<double>(ToMillis(elapsed).count()) /
                             static_cast<double>(kDomainRefillPeriod.count());
    }
  }
  auto replicaCounts = this->CountReplicas();
  auto context = PlacementContext{
    aAuthority.now,      this->policy,  aAuthority.document.get(),
    &this->interference, &refillLimits, &replicaCounts
  };
  // One task for each class that could not be placed, with the reason. Further
  // tasks of such a class are not tried in this pass, since resources only
  // shrink during it.
  auto unplaceable = std::vector<std::pair<Task, PlacementFailure>>{};
  for (const auto& task : waiting) {
    const auto sameClass =
      [&](const std::pair<Task, PlacementFailure>& aOther) {
        return aOther.first.classId == task.classId;
      };
    const auto found =
      std::find_if(unplaceable.begin(), unplaceable.end(), sameClass);
    if (found != unplaceable.end()) {
      const auto reason = found->second;
      this->SetWaitReason(task, ToText(reason));
      this->TransferIfUnplaced(
        aAuthority.now, *aAuthority.document, task, reason);
      continue;
    }
    if (const auto reason = this->PlaceTask(aAuthority, context, views, task)) {
      unplaceable.emplace_back(task, *reason);
    }
  }
}

// Returns the reason if no task of the class can be placed now; nothing if the
// task was placed or waits for a reason of its own, such as a back-off.
auto
Shard::PlaceTask(const OwnerAuthority& aAuthority,
                 const PlacementContext& aContext,
                 const std::vector<const WorkerView*>& aViews,
                 Task aTask) -> std::optional<PlacementFailure>
{
  const auto now = aAuthority.now;
  const auto backoff = this->earliestStart.find(aTask.id);
  if (backoff != this->earliestStart.end() && now < backoff->second) {
    return std::nullopt;
  }
  const auto* spec = aAuthority.document->FindClass(aTask.classId);
  if (spec == nullptr) {
    this->SetWaitReason(aTask, "its class is no longer in the document");
    return std::nullopt;
  }
  aTask.size = spec->size;
  aTask.domains = spec->domains;
  const auto infeasible = ExplainInfeasible(aTask, this->fleet);
  const auto failed =
    aTask.kind == TaskKind::Batch && aTask.failures >= kMaxTaskFailures;
  if (aTask.phase == TaskPhase::Parked && (infeasible || failed)) {
    return std::nullopt;
  }
  if (infeasible) {
    this->CountEvent(ShardEvent::Park);
    aTask.phase = TaskPhase::Parked;
    aTask.reason = *infeasible;
    this->StageChange(now, aTask, CommitUrgency::Grouped);
    return std::nullopt;
  }
  aTask.phase = TaskPhase::Waiting;
  auto reason = PlacementFailure::NoReadyWorker;
  const auto picked = PickWorker(aViews, aTask, aContext, reason);
  if (!picked) {
    this->SetWaitReason(aTask, ToText(reason));
    if (reason == PlacementFailure::InsufficientResources &&
        PlacementRank(aTask) < 2 && this->PreemptFor(aAuthority, aTask)) {
      return std::nullopt;
    }
    this->TransferIfUnplaced(now, *aAuthority.document, aTask, reason);
    return reason;
  }
  auto& view = this->workers.at(aViews[*picked]->info.id);
  view.reserved += aTask.size;
  (aTask.kind == TaskKind::Service ? view.serviceClasses : view.batchClasses)
    .push_back(aTask.classId);
  aTask.phase = TaskPhase::Starting;
  aTask.worker = view.info.id;
  aTask.incarnation = view.stamp ? view.stamp->incarnation : std::string{};
  aTask.attempt += 1;
  aTask.unconfirmed = false;
  aTask.reason.clear();
  this->CountEvent(ShardEvent::Start);
  this->waitReasons.erase(aTask.id);
  this->unplacedSince.erase(aTask.id);
  this->earliestStart.erase(aTask.id);
  const auto urgency = aTask.urgent || aTask.kind != TaskKind::Batch
                         ? CommitUrgency::Immediate
                         : CommitUrgency::Grouped;
  this->StageChange(now, aTask, urgency);
  return std::nullopt;
}

// Preempts batch tasks for an urgent task, watcher or service, on the worker
// where the fewest have to stop. Counts tasks that are already being evicted as
// victims. Prefers victims that support checkpoints and have a low priority;
// only tasks of the lowest placement rank are preempted. False if no worker
// would have enough resources even then.
auto
Shard::PreemptFor(const OwnerAuthority& aAuthority, const Task& aTask) -> bool
{
  auto bestVictims = std::vector<Task>{};
  for (const auto& [id, view] : this->workers) {
    if (!aTask.AllowsDomain(view.info.domain) || !view.reconciled ||
        !aAuthority.document->IsInService(view.info.domain)) {
      continue;
    }
    auto victims = std::vector<Task>{};
    for (const auto& [taskId, task] : this->journal.Tasks()) {
      const auto evictable = task.worker == id &&
                             (task.phase == TaskPhase::Running ||
                              task.phase == TaskPhase::Evicting) &&
                             PlacementRank(task) == 2;
      if (evictable && !this->journal.HasPendingChange(taskId)) {
        victims.push_back(task);
      }
    }
    std::stable_sort(
      victims.begin(),
      victims.end(),
      [](const Task& aLeft, const Task& aRight) {
        return std::make_pair(!aLeft.supportsCheckpoints, aLeft.priority) <
               std::make_pair(!aRight.supportsCheckpoints, aRight.priority);
      });
    auto available = view.FreeResources();
    auto count = std::size_t{ 0 };
    while (!aTask.size.FitsIn(available) && count < victims.size()) {
      available += victims[count].size;
      ++count;
    }
    if (!aTask.size.FitsIn(available)) {
      continue;
    }
    victims.resize(count);
    if (bestVictims.empty() || victims.size() < bestVictims.size()) {
      bestVictims = std::move(victims);
    }
  }
  for (const auto& victim : bestVictims) {
    if (victim.phase == TaskPhase::Running) {
      this->CountEvent(ShardEvent::PriorityEviction);
      this->Evict(aAuthority.now, victim, "it made room for " + aTask.id.text);
    }
  }
  return !bestVictims.empty();
}

// Transfers a task that could not be placed for some time. The delay is shorter
// if the shard has no worker for the task than if its workers are full, and
// doubles with each transfer, so that the shards of a full fleet do not pass
// tasks around.
auto
Shard::TransferIfUnplaced(Time aNow,
                          const Document& aDocument,
                          const Task& aTask,
                          PlacementFailure aReason) -> void
{
  const auto [since, firstTime] =
    this->unplacedSince.try_emplace(aTask.id, aNow);
  const auto firstDelay = aReason == PlacementFailure::InsufficientResources ||
                              aReason == PlacementFailure::DomainRefilling
                            ? kTransferDelayNoResources
                            : kTransferDelayNoWorker;
  const auto delay = std::min<Millis>(
    firstDelay * (1 << std::min(aTask.moves, 8)), kTransferDelayMax);
  const auto target =
    PickTransferTarget(aTask, aDocument, this->capacity, this->number);
  if (!target || aNow - since->second < delay) {
    return;
  }
  const auto [wanted, fresh] =
    this->unconfirmedSince.try_emplace(aTask.id, aNow);
  if (aTask.unconfirmed && aNow - wanted->second < kUnconfirmedTransferDelay) {
    return;
  }
  this->unconfirmedSince.erase(aTask.id);
  this->unplacedSince.erase(aTask.id);
  this->waitReasons.erase(aTask.id);
  this->CountEvent(ShardEvent::Transfer);
  this->journal.StageTransfer(aNow, aTask, *target);
}

} // namespace gooseberry
