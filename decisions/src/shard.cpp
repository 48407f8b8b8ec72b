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
Authority::MayStart() const -> bool
{
  return this->document != nullptr && this->now < this->leaseEnd &&
         this->now - this->documentConfirmed <= kDocumentFreshness;
}

auto
Authority::MayGrant() const -> bool
{
  return this->now < this->grantEnd;
}

Shard::Shard(Takeover aTakeover)
  : number(aTakeover.shard)
  , shardCount(aTakeover.shardCount)
  , takenAt(aTakeover.now)
  , workersLapseAfter(aTakeover.workersLapseAfter)
  , policy(aTakeover.policy)
  , ledger(aTakeover.owner.text,
           aTakeover.epoch,
           aTakeover.sequence,
           std::move(aTakeover.tasks))
{
  for (const auto& [id, task] : this->ledger.Tasks()) {
    if (!HoldsRoom(task.phase)) {
      continue;
    }
    auto& view = this->workers[task.worker];
    view.info.id = task.worker;
    view.reserved += task.size;
  }
  for (auto& [id, view] : this->workers) {
    view.leaseEnd = this->takenAt + WithDrift(this->workersLapseAfter);
  }
}

auto
Shard::OnWorkers(const std::vector<WorkerInfo>& aOwn,
                 const FleetShape& aFleet,
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
      view.leaseEnd = this->takenAt + WithDrift(this->workersLapseAfter);
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
  const auto* known = this->ledger.Find(aTask.id);
  const auto transferredBack = known != nullptr &&
                               known->phase == TaskPhase::Moved &&
                               aTask.moves > known->moves;
  if (this->ledger.Busy(aTask.id) || (known != nullptr && !transferredBack)) {
    return;
  }
  this->Stage(aNow, aTask, Haste::Now);
}

auto
Shard::OnCancel(Time aNow, const TaskId& aTask) -> void
{
  const auto* known = this->ledger.Find(aTask);
  if (known == nullptr || IsFinal(known->phase) || known->cancelAsked) {
    return;
  }
  if (known->phase == TaskPhase::Moved) {
    return;
  }
  if (this->ledger.Busy(aTask)) {
    this->pendingCancels.insert(aTask);
    return;
  }
  auto task = *known;
  this->Count(ShardEvent::Cancellation);
  task.cancelAsked = true;
  if (HoldsRoom(task.phase)) {
    task.phase = TaskPhase::Evicting;
    task.reason = "cancelled; waiting for the worker to stop it";
  } else {
    task.phase = TaskPhase::Cancelled;
    task.reason = "cancelled before it started";
  }
  this->Stage(aNow, task, Haste::Now);
}

auto
Shard::OnRetry(Time aNow, const TaskId& aTask) -> void
{
  const auto* known = this->ledger.Find(aTask);
  const auto retryable =
    known != nullptr && !this->ledger.Busy(aTask) &&
    (known->phase == TaskPhase::Lost || known->phase == TaskPhase::Parked);
  if (!retryable) {
    return;
  }
  auto task = *known;
  task.failures = 0;
  this->Requeue(aNow, task, "an operator asked for another try");
}

auto
Shard::OnTick(const Authority& aAuthority) -> void
{
  if (this->ledger.Fenced()) {
    return;
  }
  this->RetryCancels(aAuthority.now);
  this->DropLapsedWorkers(aAuthority);
  if (aAuthority.document == nullptr) {
    return;
  }
  this->FollowDomains(aAuthority);
  this->KeepReplicas(aAuthority);
  this->EvictFromClosedDomains(aAuthority);
  this->DropOldRecords(aAuthority.now);
  if (aAuthority.MayStart()) {
    this->PlaceWaiting(aAuthority);
  }
}

auto
Shard::NextEntry(Time aNow) -> std::optional<JournalEntry>
{
  return this->ledger.NextEntry(aNow);
}

// Resources of a worker are released only here, once the end of the attempt is
// recorded.
auto
Shard::OnRecorded(Time aNow) -> void
{
  const auto entry = this->ledger.InFlight();
  if (!entry) {
    return;
  }
  for (const auto& before : this->ledger.Committed()) {
    const auto* after = this->ledger.Find(before.id);
    const auto released =
      HoldsRoom(before.phase) && (after == nullptr || !HoldsRoom(after->phase));
    const auto view = this->workers.find(before.worker);
    if (released && view != this->workers.end()) {
      view->second.reserved -= before.size;
    }
  }
  for (const auto& task : entry->changed) {
    if (task.phase == TaskPhase::Starting) {
      this->unsent.insert(task.id);
    } else {
      this->unsent.erase(task.id);
    }
    if (IsFinal(task.phase)) {
      this->finishedAt[task.id] = aNow;
      this->reasons.erase(task.id);
      this->stuckSince.erase(task.id);
      this->unconfirmedSince.erase(task.id);
    }
  }
}

auto
Shard::OnFenced() -> void
{
  this->ledger.Fence();
}

auto
Shard::NextSync(const Authority& aAuthority, const WorkerId& aWorker)
  -> std::optional<SyncRequest>
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end() || this->ledger.Fenced() ||
      !aAuthority.MayGrant()) {
    return std::nullopt;
  }
  auto& view = found->second;
  auto request = SyncRequest{};
  request.shard = this->number;
  request.epoch = this->ledger.Epoch();
  request.sequence = ++this->syncSequence;
  request.startWindowMillis = kStartWindow.count();
  for (const auto& [id, task] : this->ledger.Tasks()) {
    if (task.worker != aWorker || !HoldsRoom(task.phase)) {
      continue;
    }
    const auto ref = AttemptRef{ task.id, task.attempt };
    if (task.phase == TaskPhase::Evicting) {
      request.stops.push_back(ref);
    } else if (task.phase == TaskPhase::Starting && view.reconciled &&
               !this->ledger.Busy(task.id) && aAuthority.MayStart() &&
               aAuthority.document->IsOpen(view.info.domain)) {
      request.starts.push_back({ task.id,
                                 task.attempt,
                                 task.classId,
                                 task.size,
                                 task.runTime.count(),
                                 task.checkpoint,
                                 task.kind != TaskKind::Batch });
      this->unsent.erase(task.id);
    }
    const auto throttle = view.throttles.find(id);
    if (throttle != view.throttles.end()) {
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
      std::max(view.leaseEnd, aAuthority.now + WithDrift(kWorkerLease));
  }
  return request;
}

auto
Shard::Records() const -> const Ledger&
{
  return this->ledger;
}

auto
Shard::Workers() const -> const std::map<WorkerId, WorkerView>&
{
  return this->workers;
}

auto
Shard::Counts() const -> const ShardCounts&
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
  const auto volatileReason = this->reasons.find(aTask);
  if (volatileReason != this->reasons.end()) {
    return volatileReason->second;
  }
  const auto* task = this->ledger.Find(aTask);
  return task == nullptr ? std::string{} : task->reason;
}

auto
Shard::Count(ShardEvent aEvent) -> void
{
  ++this->counts[static_cast<std::size_t>(aEvent)];
}

auto
Shard::Stage(Time aNow, Task aTask, Haste aHaste) -> void
{
  this->ledger.Stage(aNow, std::move(aTask), aHaste);
}

auto
Shard::Requeue(Time aNow, Task aTask, const std::string& aReason) -> void
{
  aTask.phase = aTask.cancelAsked ? TaskPhase::Cancelled : TaskPhase::Waiting;
  aTask.worker = {};
  aTask.reason = aReason;
  this->Stage(aNow, std::move(aTask), Haste::Now);
}

// The resources of the worker become free either way. A task that must not run
// twice keeps its worker and attempt, so that a late report can still say how
// the attempt ended.
auto
Shard::Lose(Time aNow, Task aTask, const std::string& aReason) -> void
{
  this->Count(ShardEvent::LostAttempt);
  aTask.unconfirmed = true;
  if (!aTask.atMostOnce || aTask.cancelAsked) {
    this->Requeue(aNow, std::move(aTask), aReason);
    return;
  }
  this->Count(ShardEvent::LostForGood);
  aTask.phase = TaskPhase::Lost;
  aTask.reason = aReason + "; it may have finished. 'retry' starts it again";
  this->Stage(aNow, std::move(aTask), Haste::Now);
}

auto
Shard::SetReason(const Task& aTask, const std::string& aReason) -> void
{
  this->reasons[aTask.id] = aReason;
}

auto
Shard::RetryCancels(Time aNow) -> void
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
Shard::KeepReplicas(const Authority& aAuthority) -> void
{
  const auto& document = *aAuthority.document;
  if (this->replicasKnown && this->replicasFor == document.number) {
    return;
  }
  this->replicasKnown = true;
  this->replicasFor = document.number;
  for (const auto& spec : document.classes) {
    for (auto index = 0; index < spec.replicas; ++index) {
      const auto id = TaskId{ spec.id.text + "." + std::to_string(index) };
      if (ShardOf(id.text, this->shardCount) != this->number) {
        continue;
      }
      const auto* known = this->ledger.Find(id);
      const auto ended = known != nullptr && IsFinal(known->phase);
      if (this->ledger.Busy(id)) {
        this->replicasKnown = false;
        continue;
      }
      if (known != nullptr && !ended) {
        continue;
      }
      auto task = NewTask(id, spec);
      task.attempt = ended ? known->attempt : 0;
      this->Stage(aAuthority.now, task, Haste::Now);
    }
  }
  for (const auto& [id, task] : this->ledger.Tasks()) {
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
Shard::FollowDomains(const Authority& aAuthority) -> void
{
  for (const auto& domain : aAuthority.document->domains) {
    const auto open = !domain.out;
    const auto before = this->openBefore.find(domain.id);
    if (before != this->openBefore.end() && !before->second && open) {
      this->openedAt[domain.id] = aAuthority.now;
    }
    this->openBefore[domain.id] = open;
  }
}

// Gives up the attempts of workers whose leases have ended: a worker stops all
// its tasks at the end of its lease.
auto
Shard::DropLapsedWorkers(const Authority& aAuthority) -> void
{
  for (auto& [id, view] : this->workers) {
    // A worker that reported after the end of its lease has no new lease yet,
    // but its report says how its attempts ended.
    const auto reported = view.reconciled && view.lastReport > view.leaseEnd &&
                          aAuthority.now - view.lastReport < kWorkerLease;
    if (aAuthority.now <= view.leaseEnd || reported) {
      continue;
    }
    view.reconciled = false;
    view.stamp.reset();
    if (view.reserved == Resources{}) {
      continue;
    }
    for (const auto& [taskId, task] : this->ledger.Tasks()) {
      if (task.worker == id && HoldsRoom(task.phase) &&
          !this->ledger.Busy(taskId)) {
        this->Lose(
          aAuthority.now, task, "worker " + id.text + " lost its lease");
      }
    }
  }
}

auto
Shard::DropOldRecords(Time aNow) -> void
{
  for (auto item = this->finishedAt.begin(); item != this->finishedAt.end();) {
    if (aNow - item->second < kFinishedRetention ||
        this->ledger.Busy(item->first)) {
      ++item;
      continue;
    }
    this->ledger.StageRemoval(aNow, item->first);
    item = this->finishedAt.erase(item);
  }
}

auto
Shard::Evict(Time aNow, Task aTask, const std::string& aReason) -> void
{
  aTask.phase = TaskPhase::Evicting;
  aTask.reason = aReason;
  this->Stage(aNow, std::move(aTask), Haste::Now);
}

} // namespace gooseberry
