#ifndef GOOSEBERRY_SHARD_H
#define GOOSEBERRY_SHARD_H

// Decisions of the owner of one shard: which tasks start on which workers,
// which attempts stop, and what is recorded. Contains no I/O, threads or
// clocks: each event is a call with the current time, and the caller fetches
// the resulting actions with NextEntry() and NextSyncRequest().

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "interference.h"
#include "placement.h"
#include "taskjournal.h"
#include "tunables.h"

namespace gooseberry {

// Events that are counted per shard and exported as metrics.
enum class ShardEvent
{
  Start,
  Finish,
  Failure,
  Refusal,
  LostAttempt,
  LostTask,
  DomainEviction,
  InterferenceEviction,
  PriorityEviction,
  Throttle,
  Quarantine,
  Park,
  Cancellation,
  Transfer,
  StaleReport,
  OrphanStop,
  ShardEvent_NB
};

auto
ToText(ShardEvent aEvent) -> const char*;

using ShardEventCounts =
  std::array<std::uint64_t,
             static_cast<std::size_t>(ShardEvent::ShardEvent_NB)>;

// What the owner is allowed to do at a point in time.
struct OwnerAuthority
{
  Time now;
  std::shared_ptr<const Document> document;
  // When the read was sent that confirmed the document as the newest one.
  Time documentConfirmedAt{};
  // End of the instance's own lease. Tasks may be started until then, because
  // no other instance can own the shard.
  Time leaseEnd{};
  // Worker leases may be renewed until then. May be later than leaseEnd, so
  // that workers keep running while the store is down.
  Time workerRenewalEnd{};

  // Whether tasks may be started: needs the lease and a recent document.
  auto MayStart() const -> bool;
  auto MayRenewWorkerLeases() const -> bool;
};

// State of a shard when an owner takes it over.
struct ShardTakeover
{
  ShardNumber shard = 0;
  ShardNumber shardCount = 1;
  InstanceId owner;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  Time now{};
  // The longest time that a worker may still hold a lease of the previous
  // owner.
  Millis maxWorkerLeaseLeft{ 0 };
  std::map<TaskId, Task> tasks;
  PlacementPolicy policy = PlacementPolicy::BestFit;
};

class Shard
{
public:
  explicit Shard(ShardTakeover aTakeover);

  // Events.
  // A new list of workers from the platform. aOwn: those of this shard.
  auto OnWorkerList(const std::vector<WorkerInfo>& aOwn,
                    const FleetCapacities& aFleet,
                    const ShardCapacity& aCapacity) -> void;
  // A submitted or transferred task. Ignored if the task is already known,
  // unless it was transferred away and comes back.
  auto OnSubmit(Time aNow, const Task& aTask) -> void;
  auto OnCancel(Time aNow, const TaskId& aTask) -> void;
  // An operator's request to run a parked or lost task again.
  auto OnRetry(Time aNow, const TaskId& aTask) -> void;
  auto OnWorkerReport(const OwnerAuthority& aAuthority,
                      const WorkerId& aWorker,
                      const WorkerReport& aReport) -> void;
  // Called periodically; makes the decisions that depend on time or on the
  // document.
  auto OnTick(const OwnerAuthority& aAuthority) -> void;

  // Actions.
  // The journal entry to append now, if any; see TaskJournal::NextEntry().
  auto NextEntry(Time aNow) -> std::optional<JournalEntry>;
  // The entry under way was appended.
  auto OnEntryRecorded(Time aNow) -> void;
  // Another owner has the shard; nothing more is recorded or sent.
  auto OnFenced() -> void;
  // The request to send to the worker now. Nothing if the worker is unknown,
  // the shard is fenced or worker leases may not be renewed.
  auto NextSyncRequest(const OwnerAuthority& aAuthority,
                       const WorkerId& aWorker) -> std::optional<SyncRequest>;

  // Queries.
  auto Journal() const -> const TaskJournal&;
  auto Workers() const -> const std::map<WorkerId, WorkerView>&;
  auto EventCounts() const -> const ShardEventCounts&;
  auto Number() const -> ShardNumber;
  // Why the task is in its present state; empty if it is unknown.
  auto Explain(const TaskId& aTask) const -> std::string;

private:
  auto CountEvent(ShardEvent aEvent) -> void;
  auto StageChange(Time aNow, Task aTask, CommitUrgency aHaste) -> void;
  // Makes the task wait again, or cancels it if that was requested.
  auto Requeue(Time aNow, Task aTask, const std::string& aReason) -> void;
  // The attempt was given up without a report of how it ended.
  auto HandleLostAttempt(Time aNow, Task aTask, const std::string& aReason)
    -> void;
  // Sets why a waiting task has no worker; not recorded in the journal.
  auto SetWaitReason(const Task& aTask, const std::string& aReason) -> void;

  auto OnAttemptReport(const OwnerAuthority& aAuthority,
                       WorkerView& aView,
                       const AttemptReport& aAttempt) -> void;
  auto OnAttemptEnded(const OwnerAuthority& aAuthority,
                      WorkerView& aView,
                      const Task& aTask,
                      const AttemptReport& aAttempt) -> void;
  auto OnLateFinish(const OwnerAuthority& aAuthority,
                    const AttemptReport& aAttempt) -> bool;
  auto OnAttemptFailed(Time aNow, WorkerView& aView, Task aTask) -> void;
  auto HandleUnlistedAttempts(Time aNow,
                              const WorkerId& aWorker,
                              const WorkerReport& aReport) -> void;
  auto UpdateInterference(Time aNow,
                          WorkerView& aView,
                          const WorkerReport& aReport) -> void;

  auto ApplyPendingCancels(Time aNow) -> void;
  auto ReconcileReplicas(const OwnerAuthority& aAuthority) -> void;
  auto TrackDomainStates(const OwnerAuthority& aAuthority) -> void;
  auto HandleLapsedWorkers(const OwnerAuthority& aAuthority) -> void;
  auto EvictFromLeavingWorkers(const OwnerAuthority& aAuthority) -> void;
  auto PlaceWaiting(const OwnerAuthority& aAuthority) -> void;
  auto PlaceTask(const OwnerAuthority& aAuthority,
                 const PlacementContext& aContext,
                 const std::vector<const WorkerView*>& aViews,
                 Task aTask) -> std::optional<PlacementFailure>;
  auto PreemptFor(const OwnerAuthority& aAuthority, const Task& aTask) -> bool;
  auto TransferIfUnplaced(Time aNow,
                          const Document& aDocument,
                          const Task& aTask,
                          PlacementFailure aReason) -> void;
  auto RemoveExpiredRecords(Time aNow) -> void;
  auto Evict(Time aNow, Task aTask, const std::string& aReason) -> void;
  auto WaitingInOrder(const Document& aDocument) const -> std::vector<Task>;
  auto CountReplicas() const -> std::map<std::pair<ClassId, DomainId>, int>;

  ShardNumber number;
  ShardNumber shardCount;
  Time takenOverAt;
  Millis maxWorkerLeaseLeft;
  PlacementPolicy policy;
  TaskJournal journal;
  std::map<WorkerId, WorkerView> workers;
  FleetCapacities fleet;
  ShardCapacity capacity;
  InterferenceModel interference;
  ShardEventCounts counts{};
  // State of waiting tasks that is not recorded: end of the back-off, when no
  // worker was found for the first time, and why there is none.
  std::map<TaskId, Time> earliestStart;
  std::map<TaskId, Time> unplacedSince;
  std::map<TaskId, std::string> waitReasons;
  // When this owner first wanted to transfer the task; delays the transfer of
  // unconfirmed tasks.
  std::map<TaskId, Time> unconfirmedSince;
  std::map<TaskId, Time> finishedAt;
  // Starts that this owner recorded and has not sent yet. A worker may have
  // accepted any other start.
  std::set<TaskId> unsentStarts;
  // Attempts that workers have to stop because no record calls for them, and
  // ended attempts that workers may forget.
  std::map<WorkerId, std::vector<AttemptRef>> orphans;
  std::map<WorkerId, std::vector<AttemptRef>> acknowledged;
  // Tasks to cancel once their pending change is recorded.
  std::set<TaskId> pendingCancels;
  // When a failure domain came back into service, and whether each was in
  // service at the last tick.
  std::map<DomainId, Time> backInServiceAt;
  std::map<DomainId, bool> wasInService;
  // Sequence of the last sync request to any worker.
  std::uint64_t syncSequence = 0;
  // Number of the document whose replicas were created or cancelled last, and
  // whether that was completed.
  std::uint64_t replicasDocumentNumber = 0;
  bool replicasReconciled = false;
};

} // namespace gooseberry

#endif
