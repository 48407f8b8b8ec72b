#include "shard.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

namespace {

constexpr std::array<const char*,
                     static_cast<std::size_t>(ShardEvent::ShardEvent_NB)>
  kEventNames{ "start",
               "finish",
               "failure",
               "refusal",
               "lost_attempt",
               "lost_for_good",
               "domain_eviction",
               "interference_eviction",
               "priority_eviction",
               "throttle",
               "quarantine",
               "park",
               "cancellation",
               "transfer",
               "stale_report",
               "orphan_stop" };

} // namespace

auto
ToText(ShardEvent aEvent) -> const char*
{
  return kEventNames[static_cast<std::size_t>(aEvent)];
}

auto
OwnerAuthority::MayStart() const -> bool
{
  return this->document != nullptr && this->now < this->leaseEnd &&
         this->now - this->documentConfirmedAt <= kMaxDocumentAge;
}

auto
OwnerAuthority::MayRenewWorkerLeases() const -> bool
{
  return this->now < this->workerRenewalEnd;
}

Shard::Shard(ShardTakeover aTakeover)
  : number(aTakeover.shard)
  , shardCount(aTakeover.shardCount)
  , takenOverAt(aTakeover.now)
  , maxWorkerLeaseLeft(aTakeover.maxWorkerLeaseLeft)
  , policy(aTakeover.policy)
  , journal(aTakeover.owner.text,
            aTakeover.epoch,
            aTakeover.sequence,
            std::move(aTakeover.tasks))
{
  for (const auto& [id, task] : this->journal.Tasks()) {
    if (!OccupiesWorker(task.phase)) {
      continue;
    }
    auto& view = this->workers[task.worker];
    view.info.id = task.worker;
    view.reserved += task.size;
  }
  for (auto& [id, view] : this->workers) {
    view.leaseEnd =
      this->takenOverAt + AddDriftMargin(this->maxWorkerLeaseLeft);
  }
}

auto
Shard::OnWorkerList(const std::vector<WorkerInfo>& aOwn,
                    const FleetCapacities& aFleet,
                    const ShardCapacity& aCapacity) -> void
{
  this->fleet = aFleet;
  this->capacity = aCapacity;
  for (auto& [id, view] : this->workers) {
    view.listed = false;
  }
  for (const auto& info : aOwn) {
    const auto fresh = !this->workers.contains(info.id);
    auto& view = this->workers[info.id];
    view.info = info;
    view.listed = true;
    if (fresh) {
      view.leaseEnd =
        this->takenOverAt + AddDriftMargin(this->maxWorkerLeaseLeft);
    }
  }
  std::erase_if(this->workers, [](const auto& aItem) {
    const auto& view = aItem.second;
    return !view.listed && view.reserved == Resources{};
  });
}

auto
Shard::OnSubmit(Time aNow, const Task& aTask) -> void
{
  const auto* known = this->journal.Find(aTask.id);
  const auto transferredBack = known != nullptr &&
                               known->phase == TaskPhase::Moved &&
                               aTask.moves > known->moves;
  if (this->journal.HasPendingChange(aTask.id) ||
      (known != nullptr && !transferredBack)) {
    return;
  }
  this->StageChange(aNow, aTask, CommitUrgency::Immediate);
}

auto
Shard::OnCancel(Time aNow, const TaskId& aTask) -> void
{
  const auto* known = this->journal.Find(aTask);
  if (known == nullptr || IsFinal(known->phase) || known->cancelRequested) {
    return;
  }
  if (known->phase == TaskPhase::Moved) {
    return;
  }
  if (this->journal.HasPendingChange(aTask)) {
    this->pendingCancels.insert(aTask);
    return;
  }
  auto task = *known;
  this->CountEvent(ShardEvent::Cancellation);
  task.cancelRequested = true;
  if (OccupiesWorker(task.phase)) {
    task.phase = TaskPhase::Evicting;
    task.reason = "cancelled; waiting for the worker to stop it";
  } else {
    task.phase = TaskPhase::Cancelled;
    task.reason = "cancelled before it started";
  }
  this->StageChange(aNow, task, CommitUrgency::Immediate);
}

auto
Shard::OnRetry(Time aNow, const TaskId& aTask) -> void
{
  const auto* known = this->journal.Find(aTask);
  const auto retryable =
    known != nullptr && !this->journal.HasPendingChange(aTask) &&
    (known->phase == TaskPhase::Lost || known->phase == TaskPhase::Parked);
  if (!retryable) {
    return;
  }
  auto task = *known;
  task.failures = 0;
  this->Requeue(aNow, task, "an operator asked for another try");
}

auto
Shard::OnTick(const OwnerAuthority& aAuthority) -> void
{
  if (this->journal.Fenced()) {
    return;
  }
  this->ApplyPendingCancels(aAuthority.now);
  this->HandleLapsedWorkers(aAuthority);
  if (aAuthority.document == nullptr) {
    return;
  }
  this->TrackDomainStates(aAuthority);
  this->ReconcileReplicas(aAuthority);
  this->EvictFromLeavingWorkers(aAuthority);
  this->RemoveExpiredRecords(aAuthority.now);
  if (aAuthority.MayStart()) {
    this->PlaceWaiting(aAuthority);
  }
}

auto
Shard::NextEntry(Time aNow) -> std::optional<JournalEntry>
{
  return this->journal.NextEntry(aNow);
}

// Resources of a worker are released only here, once the end of the attempt is
// recorded.
auto
Shard::OnEntryRecorded(Time aNow) -> void
{
  const auto entry = this->journal.InFlight();
  if (!entry) {
    return;
  }
  for (const auto& before : this->journal.MarkCommitted()) {
    const auto* after = this->journal.Find(before.id);
    const auto released = OccupiesWorker(before.phase) &&
                          (after == nullptr || !OccupiesWorker(after->phase));
    const auto view = this->workers.find(before.worker);
    if (released && view != this->workers.end()) {
      view->second.reserved -= before.size;
    }
  }
  for (const auto& task : entry->changed) {
    if (task.phase == TaskPhase::Starting) {
      this->unsentStarts.insert(task.id);
    } else {
      this->unsentStarts.erase(task.id);
    }
    if (IsFinal(task.phase)) {
      this->finishedAt[task.id] = aNow;
      this->waitReasons.erase(task.id);
      this->unplacedSince.erase(task.id);
      this->unconfirmedSince.erase(task.id);
    }
  }
}

auto
Shard::OnFenced() -> void
{
  this->journal.Fence();
}

auto
Shard::NextSyncRequest(const OwnerAuthority& aAuthority,
                       const WorkerId& aWorker) -> std::optional<SyncRequest>
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end() || this->journal.Fenced() ||
      !aAuthority.MayRenewWorkerLeases()) {
    return std::nullopt;
  }
  auto& view = found->second;
  auto request = SyncRequest{};
  request.shard = this->number;
  request.epoch = this->journal.Epoch();
  request.sequence = ++this->syncSequence;
  request.startWindowMillis = kStartWindow.count();
  for (const auto& [id, task] : this->journal.Tasks()) {
    if (task.worker != aWorker || !OccupiesWorker(task.phase)) {
      continue;
    }
    const auto ref = AttemptRef{ task.id, task.attempt };
    if (task.phase == TaskPhase::Evicting) {
      request.stops.push_back(ref);
    } else if (task.phase == TaskPhase::Starting && view.reconciled &&
               !this->journal.HasPendingChange(task.id) &&
               aAuthority.MayStart() &&
               aAuthority.document->IsInService(view.info.domain)) {
      request.starts.push_back({ task.id,
                                 task.attempt,
                                 task.classId,
                                 task.size,
                                 task.runTime.count(),
                                 task.checkpoint,
                                 task.kind != TaskKind::Batch });
      this->unsentStarts.erase(task.id);
    }
    const auto throttle = view.throttlePercents.find(id);
    if (throttle != view.throttlePercents.end()) {
      request.throttles.push_back({ id, task.attempt, throttle->second });
    }
  }
  const auto& orphaned = this->orphans[aWorker];
  request.stops.insert(request.stops.end(), orphaned.begin(), orphaned.end());
  request.acknowledged = this->acknowledged[aWorker];
  if (view.stamp) {
    request.stamp = view.stamp;
    request.leaseMillis = kWorkerLease.count();
    view.leaseEnd =
      std::max(view.leaseEnd, aAuthority.now + AddDriftMargin(kWorkerLease));
  }
  return request;
}

auto
Shard::Journal() const -> const TaskJournal&
{
  return this->journal;
}

auto
Shard::Workers() const -> const std::map<WorkerId, WorkerView>&
{
  return this->workers;
}

auto
Shard::EventCounts() const -> const ShardEventCounts&
{
  return this->counts;
}

auto
Shard::Number() const -> ShardNumber
{
  return this->number;
}

auto
Shard::Explain(const TaskId& aTask) const -> std::string
{
  const auto volatileReason = this->waitReasons.find(aTask);
  if (volatileReason != this->waitReasons.end()) {
    return volatileReason->second;
  }
  const auto* task = this->journal.Find(aTask);
  return task == nullptr ? std::string{} : task->reason;
}

auto
Shard::CountEvent(ShardEvent aEvent) -> void
{
  ++this->counts[static_cast<std::size_t>(aEvent)];
}

auto
Shard::StageChange(Time aNow, Task aTask, CommitUrgency aHaste) -> void
{
  this->journal.Stage(aNow, std::move(aTask), aHaste);
}

auto
Shard::Requeue(Time aNow, Task aTask, const std::string& aReason) -> void
{
  aTask.phase =
    aTask.cancelRequested ? TaskPhase::Cancelled : TaskPhase::Waiting;
  aTask.worker = {};
  aTask.reason = aReason;
  this->StageChange(aNow, std::move(aTask), CommitUrgency::Immediate);
}

// The resources of the worker become free either way. A task that must not run
// twice keeps its worker and attempt, so that a late report can still say how
// the attempt ended.
auto
Shard::HandleLostAttempt(Time aNow, Task aTask, const std::string& aReason)
  -> void
{
  this->CountEvent(ShardEvent::LostAttempt);
  aTask.unconfirmed = true;
  if (!aTask.atMostOnce || aTask.cancelRequested) {
    this->Requeue(aNow, std::move(aTask), aReason);
    return;
  }
  this->CountEvent(ShardEvent::LostTask);
  aTask.phase = TaskPhase::Lost;
  aTask.reason = aReason + "; it may have finished. 'retry' starts it again";
  this->StageChange(aNow, std::move(aTask), CommitUrgency::Immediate);
}

auto
Shard::SetWaitReason(const Task& aTask, const std::string& aReason) -> void
{
  this->waitReasons[aTask.id] = aReason;
}

auto
Shard::ApplyPendingCancels(Time aNow) -> void
{
  for (const auto& id : std::exchange(this->pendingCancels, {})) {
    this->OnCancel(aNow, id);
  }
}

// Creates and cancels tasks of watchers and services until each class has the
// declared number of replicas. The hash of a task's name determines the shard
// that creates it, so that each is created once. Tasks whose last change is not
// recorded yet are left to the next call.
auto
Shard::ReconcileReplicas(const OwnerAuthority& aAuthority) -> void
{
  const auto& document = *aAuthority.document;
  if (this->replicasReconciled &&
      this->replicasDocumentNumber == document.number) {
    return;
  }
  this->replicasReconciled = true;
  this->replicasDocumentNumber = document.number;
  for (const auto& spec : document.taskClasses) {
    for (auto index = 0; index < spec.replicas; ++index) {
      const auto id = TaskId{ spec.id.text + "." + std::to_string(index) };
      if (ShardOf(id.text, this->shardCount) != this->number) {
        continue;
      }
      const auto* known = this->journal.Find(id);
      const auto ended = known != nullptr && IsFinal(known->phase);
      if (this->journal.HasPendingChange(id)) {
        this->replicasReconciled = false;
        continue;
      }
      if (known != nullptr && !ended) {
        continue;
      }
      auto task = NewTask(id, spec);
      task.attempt = ended ? known->attempt : 0;
      this->StageChange(aAuthority.now, task, CommitUrgency::Immediate);
    }
  }
  for (const auto& [id, task] : this->journal.Tasks()) {
    if (task.kind == TaskKind::Batch || IsFinal(task.phase)) {
      continue;
    }
    const auto* spec = document.FindClass(task.classId);
    const auto index = std::stoi(id.text.substr(id.text.rfind('.') + 1));
    if (spec == nullptr || index >= spec->replicas) {
      this->OnCancel(aAuthority.now, id);
    }
  }
}

auto
Shard::TrackDomainStates(const OwnerAuthority& aAuthority) -> void
{
  for (const auto& domain : aAuthority.document->domains) {
    const auto open = !domain.outOfService;
    const auto before = this->wasInService.find(domain.id);
    if (before != this->wasInService.end() && !before->second && open) {
      this->backInServiceAt[domain.id] = aAuthority.now;
    }
    this->wasInService[domain.id] = open;
  }
}

// Gives up the attempts of workers whose leases have ended: a worker stops all
// its tasks at the end of its lease.
auto
Shard::HandleLapsedWorkers(const OwnerAuthority& aAuthority) -> void
{
  for (auto& [id, view] : this->workers) {
    // A worker that reported after the end of its lease has no new lease yet,
    // but its report says how its attempts ended.
    const auto reported = view.reconciled &&
                          view.lastReportAt > view.leaseEnd &&
                          aAuthority.now - view.lastReportAt < kWorkerLease;
    if (aAuthority.now <= view.leaseEnd || reported) {
      continue;
    }
    view.reconciled = false;
    view.stamp.reset();
    if (view.reserved == Resources{}) {
      continue;
    }
    for (const auto& [taskId, task] : this->journal.Tasks()) {
      if (task.worker == id && OccupiesWorker(task.phase) &&
          !this->journal.HasPendingChange(taskId)) {
        this->HandleLostAttempt(
          aAuthority.now, task, "worker " + id.text + " lost its lease");
      }
    }
  }
}

auto
Shard::RemoveExpiredRecords(Time aNow) -> void
{
  for (auto item = this->finishedAt.begin(); item != this->finishedAt.end();) {
    if (aNow - item->second < kFinishedRetention ||
        this->journal.HasPendingChange(item->first)) {
      ++item;
      continue;
    }
    this->journal.StageRemoval(aNow, item->first);
    item = this->finishedAt.erase(item);
  }
}

auto
Shard::Evict(Time aNow, Task aTask, const std::string& aReason) -> void
{
  aTask.phase = TaskPhase::Evicting;
  aTask.reason = aReason;
  this->StageChange(aNow, std::move(aTask), CommitUrgency::Immediate);
}

} // namespace gooseberry
