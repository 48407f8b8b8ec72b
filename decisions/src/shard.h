#ifndef GOOSEBERRY_SHARD_H
#define GOOSEBERRY_SHARD_H

// Decisions of the owner of one shard: what starts where, what must stop, what
// is recorded. Free of I/O, threads and clocks. Each call is an event with the
// time; effects are taken by NextEntry() and NextSync().

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "interference.h"
#include "ledger.h"
#include "placement.h"
#include "tunables.h"

namespace gooseberry {

// Kinds of events that are counted, each a metric.
enum class ShardEvent
{
  Start,
  Finish,
  Failure,
  Refusal,
  LostAttempt,
  LostForGood,
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

using ShardCounts =
  std::array<std::uint64_t,
             static_cast<std::size_t>(ShardEvent::ShardEvent_NB)>;

// What the owner may do at this moment.
struct Authority
{
  Time now;
  std::shared_ptr<const Document> document;
  // When the read that confirmed the document as the newest was sent.
  Time documentConfirmed{};
  // The owner's own lease is provably good until then: starts may be given.
  Time leaseEnd{};
  // Worker leases may be renewed until then, also while the store is down.
  Time grantEnd{};

  auto MayStart() const -> bool;
  auto MayGrant() const -> bool;
};

// How a shard came to its owner.
struct Takeover
{
  ShardNumber shard = 0;
  ShardNumber shardCount = 1;
  InstanceId owner;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  Time now{};
  // The longest that a worker may still obey the previous owner.
  Millis workersLapseAfter{ 0 };
  std::map<TaskId, Task> tasks;
  PlacementPolicy policy = PlacementPolicy::BestFit;
};

class Shard
{
public:
  explicit Shard(Takeover aTakeover);

  // Events.
  auto OnWorkers(const std::vector<WorkerInfo>& aOwn,
                 const FleetShape& aFleet,
                 const ShardCapacity& aCapacity) -> void;
  auto OnSubmit(Time aNow, const Task& aTask) -> void;
  auto OnCancel(Time aNow, const TaskId& aTask) -> void;
  // An operator wants a parked or lost task to be tried again.
  auto OnRetry(Time aNow, const TaskId& aTask) -> void;
  auto OnReport(const Authority& aAuthority,
                const WorkerId& aWorker,
                const WorkerReport& aReport) -> void;
  // Decides everything that depends on time or on the document.
  auto OnTick(const Authority& aAuthority) -> void;

  // Effects.
  auto NextEntry(Time aNow) -> std::optional<JournalEntry>;
  auto OnRecorded(Time aNow) -> void;
  auto OnFenced() -> void;
  auto NextSync(const Authority& aAuthority, const WorkerId& aWorker)
    -> std::optional<SyncRequest>;

  // Views.
  auto Records() const -> const Ledger&;
  auto Workers() const -> const std::map<WorkerId, WorkerView>&;
  auto Counts() const -> const ShardCounts&;
  auto Number() const -> ShardNumber;
  auto Explain(const TaskId& aTask) const -> std::string;

private:
  auto Count(ShardEvent aEvent) -> void;
  auto Stage(Time aNow, Task aTask, Haste aHaste) -> void;
  auto Requeue(Time aNow, Task aTask, const std::string& aReason) -> void;
  // The attempt ended without a word from its worker.
  auto Lose(Time aNow, Task aTask, const std::string& aReason) -> void;
  auto SetReason(const Task& aTask, const std::string& aReason) -> void;

  auto OnAttempt(const Authority& aAuthority,
                 WorkerView& aView,
                 const AttemptReport& aAttempt) -> void;
  auto OnEnded(const Authority& aAuthority,
               WorkerView& aView,
               const Task& aTask,
               const AttemptReport& aAttempt) -> void;
  auto OnLateFinish(const Authority& aAuthority, const AttemptReport& aAttempt)
    -> bool;
  auto OnFailure(Time aNow, WorkerView& aView, Task aTask) -> void;
  auto OnUnlisted(Time aNow,
                  const WorkerId& aWorker,
                  const WorkerReport& aReport) -> void;
  auto LearnInterference(Time aNow,
                         WorkerView& aView,
                         const WorkerReport& aReport) -> void;

  auto RetryCancels(Time aNow) -> void;
  auto KeepReplicas(const Authority& aAuthority) -> void;
  auto FollowDomains(const Authority& aAuthority) -> void;
  auto DropLapsedWorkers(const Authority& aAuthority) -> void;
  auto EvictFromClosedDomains(const Authority& aAuthority) -> void;
  auto PlaceWaiting(const Authority& aAuthority) -> void;
  auto PlaceOne(const Authority& aAuthority,
                const PlacementContext& aContext,
                const std::vector<const WorkerView*>& aViews,
                Task aTask) -> std::optional<NoPlace>;
  auto PreemptFor(const Authority& aAuthority, const Task& aTask) -> bool;
  auto TransferIfStuck(Time aNow,
                       const Document& aDocument,
                       const Task& aTask,
                       NoPlace aReason) -> void;
  auto DropOldRecords(Time aNow) -> void;
  auto Evict(Time aNow, Task aTask, const std::string& aReason) -> void;
  auto WaitingInOrder(const Document& aDocument) const -> std::vector<Task>;
  auto Spread() const -> std::map<std::pair<ClassId, DomainId>, int>;

  ShardNumber number;
  ShardNumber shardCount;
  Time takenAt;
  Millis workersLapseAfter;
  PlacementPolicy policy;
  Ledger ledger;
  std::map<WorkerId, WorkerView> workers;
  FleetShape fleet;
  ShardCapacity capacity;
  Interference interference;
  ShardCounts counts{};
  // Volatile facts of waiting tasks.
  std::map<TaskId, Time> notBefore;
  std::map<TaskId, Time> stuckSince;
  std::map<TaskId, std::string> reasons;
  // Since when this owner has known of unconfirmed tasks.
  std::map<TaskId, Time> unconfirmedSince;
  std::map<TaskId, Time> finishedAt;
  // Starts that were recorded by this owner and not sent yet. Any other start
  // may have been accepted by its worker.
  std::set<TaskId> unsent;
  // Attempts that are to stop at once and those that workers may forget.
  std::map<WorkerId, std::vector<AttemptRef>> orphans;
  std::map<WorkerId, std::vector<AttemptRef>> acknowledged;
  // Cancellations of tasks whose last change is not recorded yet.
  std::set<TaskId> pendingCancels;
  std::map<DomainId, Time> openedAt;
  std::map<DomainId, bool> openBefore;
  // Grows with each exchange with any worker.
  std::uint64_t syncSequence = 0;
  std::uint64_t replicasFor = 0;
  bool replicasKnown = false;
};

} // namespace gooseberry

#endif
