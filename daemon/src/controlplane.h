#ifndef GOOSEBERRY_CONTROLPLANE_H
#define GOOSEBERRY_CONTROLPLANE_H

// The control plane of one instance. It renews the membership lease, follows
// the operators' document and the platform's list of workers and backend
// servers, owns shards and drives their workers, and publishes the routes that
// requests follow. Only the executor's loop thread touches its state, except
// the members that are marked "Any thread".

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "documentstore.h"
#include "executor.h"
#include "membership.h"
#include "metrics.h"
#include "peerlink.h"
#include "rcuvalue.h"
#include "routing.h"
#include "settings.h"
#include "shard.h"
#include "shardstore.h"

namespace gooseberry {

struct PlatformServices
{
  TableService& table;
  ObjectStore& objects;
  InstanceList& instances;
  WorkerClient& workers;
};

// One worker of an owned shard, as the administration API shows it.
struct WorkerStatus
{
  WorkerId id;
  DomainId domain;
  ShardNumber shard = 0;
  // The worker reported to this owner and its lease has not ended.
  bool answers = false;
  bool quarantined = false;
  Resources capacity;
  Resources reserved;

  auto operator==(const WorkerStatus&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerStatus,
                                   id,
                                   domain,
                                   shard,
                                   answers,
                                   quarantined,
                                   capacity,
                                   reserved)

// Why a task waits.
struct TaskExplanation
{
  // False if no shard that this instance owns holds the task.
  bool found = false;
  std::string text;
};

class ControlPlane
{
public:
  ControlPlane(
    const Settings& aSettings,
    const Clock& aClock,
    PlatformServices aPlatform,
    Metrics& aMetrics,
    Executor& aExecutor,
    std::uint64_t aSeed,
    // Null: no hints are sent, and changes are found by polling alone.
    HintSender* aPeers = nullptr);

  auto Start() -> void;
  // Releases all shards, then removes the own member row. Waits at most
  // aTimeout for the shards and for a renewal under way; the removal is tried
  // in any case.
  auto ReleaseShardsAndLeave(Millis aTimeout) -> void;
  auto Stop() -> void;

  // Any thread. LiveMembers(), WorkerStatuses() and ExplainTask() wait for the
  // loop thread and must not be called from it.
  auto CurrentRoutes() const -> std::shared_ptr<const RouteTable>;
  auto CurrentDocument() const -> std::shared_ptr<const LoadedDocument>;
  auto IsReady() const -> bool;
  auto OwnId() const -> InstanceId;
  auto ShardCount() const -> ShardNumber;
  auto LiveMembers() -> std::vector<MemberRow>;
  auto WorkerStatuses() -> std::vector<WorkerStatus>;
  // Events of all shards that this instance owns or has owned. Not synchronized
  // with the loop thread.
  auto TotalEventCounts() const -> const ShardEventCounts&;
  auto ExplainTask(const TaskId& aTask) -> TaskExplanation;
  // The document has reached this number: if it is newer than the one in force,
  // reads the store at the next tick.
  auto OnDocumentHint(std::uint64_t aNumber) -> void;
  // A hint from another instance: a document number, and shards whose inboxes
  // have new rows.
  auto OnPeerHint(const Hint& aHint) -> void;
  // Rows were added to the inboxes of these shards: sends their owners hints to
  // read them at once. Without a hint sender it does nothing.
  auto NotifyInboxOwners(const std::set<ShardNumber>& aShards) -> void;

private:
  // A shard that this instance owns, is releasing, or has just lost to another.
  struct OwnedShard
  {
    std::unique_ptr<Shard> shard;
    ShardClaim claim;
    std::uint64_t snapshotSequence = 0;
    std::uint64_t snapshotGeneration = 0;
    // An append or the release of the shard is under way.
    bool appendOrReleaseInFlight = false;
    bool inboxReadInFlight = false;
    bool snapshotInFlight = false;
    bool releasing = false;
    // Ownership has ended and no write is under way: Tick() removes the entry.
    bool removable = false;
    Time nextInboxRead{};
    Time nextAppend{};
    Time nextOwnershipCheck{};
    // Term of the own lease under which the shard's row was last seen to name
    // this owner.
    std::uint64_t verifiedTerm = 0;
    bool ownershipCheckInFlight = false;
    // Inbox rows whose effect is not recorded yet, by row key.
    std::map<std::string, InboxItem> pendingInboxRows;
    // Keys of inbox rows whose effect is recorded and that may be removed.
    std::vector<std::string> recordedInboxKeys;
    std::map<WorkerId, Time> nextSync;
    std::map<WorkerId, bool> syncInFlight;
    // Event counts as last added to the metrics.
    ShardEventCounts reportedCounts{};
  };

  // The configured name with a random suffix, to differ from all names that
  // this instance had before.
  auto NewInstanceName() -> std::string;
  auto Tick() -> void;
  // What the owner of the shard may do now, by its lease and the document.
  auto AuthorityFor(const OwnedShard& aOwned) const -> OwnerAuthority;

  // Membership (controlmembers.cpp).
  auto RenewMembership() -> void;
  auto OnMembershipRenewed(Time aSentAt,
                           const MemberRow& aSent,
                           const CommitResult& aResult) -> void;
  auto ReadBackMembership(Time aSentAt, const MemberRow& aSent) -> void;
  auto OnMembershipLost() -> void;
  auto ReadMembers() -> void;
  auto RemoveLapsedMembers() -> void;

  // Document and routes (controlroutes.cpp).
  auto PollDocument() -> void;
  auto PollInstances() -> void;
  auto PublishRoutes() -> void;
  auto UpdateShardWorkers(OwnedShard& aOwned, ShardNumber aShard) -> void;

  // Other instances (controlpeers.cpp).
  auto GossipDocumentNumber() -> void;
  auto SendHint(const InstanceId& aPeer, const Hint& aHint) -> void;

  // Shards (controlshards.cpp).
  auto EstablishShardCount() -> void;
  auto BalanceShards() -> void;
  // Releases shards of which this instance may be the owner in the store
  // because the outcome of a takeover is not known.
  auto ReleaseUnsettledShards() -> void;
  auto TakeOverShard(ShardNumber aShard) -> void;
  // Reads the shard's row: an owner that appends nothing would not notice that
  // another instance has taken over.
  auto VerifyOwnership(ShardNumber aShard, OwnedShard& aOwned) -> void;
  auto ReleaseShard(ShardNumber aShard, OwnedShard& aOwned) -> void;
  auto RunShardTick(ShardNumber aShard, OwnedShard& aOwned) -> void;
  auto AppendNextEntry(ShardNumber aShard, OwnedShard& aOwned) -> void;
  auto OnAppendDone(ShardNumber aShard, AppendOutcome aOutcome) -> void;
  auto NotifyTransferTargets(const JournalEntry& aEntry) -> void;
  auto PollInbox(ShardNumber aShard, OwnedShard& aOwned) -> void;
  auto OnInboxRead(OwnedShard& aOwned, const std::vector<InboxItem>& aItems)
    -> void;
  auto CollectRecordedInboxRows(OwnedShard& aOwned) -> void;
  auto SyncWorkers(ShardNumber aShard, OwnedShard& aOwned) -> void;
  auto SnapshotIfDue(ShardNumber aShard, OwnedShard& aOwned) -> void;
  // The shard, if this instance has it under this epoch, else null.
  auto FindOwnedShard(ShardNumber aShard, std::uint64_t aEpoch) -> OwnedShard*;
  auto AddEventCounts(OwnedShard& aOwned) -> void;
  auto ReportMetrics() -> void;

  const Settings& settings;
  const Clock& clock;
  PlatformServices platform;
  Metrics& metrics;
  DocumentStore documentStore;
  ShardStore shardStore;
  std::mt19937_64 random;
  InstanceId ownId;
  HintSender* const hintSender;

  // Loop thread only, down to the next mark.

  // The owner of each shard, assigned over the live members as last read.
  std::vector<InstanceId> shardOwners;
  InstanceLease lease;
  Membership membership;
  std::uint64_t ownRowVersion = 0;
  MemberRow ownRow;
  bool renewalInFlight = false;
  bool memberReadInFlight = false;
  bool documentReadInFlight = false;
  bool instanceListInFlight = false;
  bool shardCountCallInFlight = false;
  bool leaving = false;
  // Set before the own member row is removed.
  bool renewalsStopped = false;
  Time nextRenewal{};
  Time nextMemberRead{};
  Time nextDocumentRead{};
  Time nextInstanceList{};
  Time nextBalance{};
  Time nextMetricsReport{};
  Time documentConfirmedAt{};
  LoadedDocument loadedDocument;
  InstanceListResult instanceList;
  FleetCapacities fleetCapacities;
  ShardCapacity shardCapacity;
  std::map<std::string, std::shared_ptr<Backend>> backendsByKey;
  ShardEventCounts totalEventCounts{};
  std::map<ShardNumber, OwnedShard> ownedShards;
  std::map<ShardNumber, bool> takeoverInFlight;
  // Epochs of takeovers whose write may still take effect, by shard.
  std::map<ShardNumber, std::uint64_t> unsettledEpochs;
  Time nextUnsettledCheck{};
  // Live members, at least 1.
  int liveMemberCount = 1;

  // Any thread.
  std::atomic<ShardNumber> shardCount = 0;
  std::atomic<bool> hasDocument = false;
  RcuValue<RouteTable> publishedRoutes;
  RcuValue<LoadedDocument> publishedDocument;
  RcuValue<MemberRow> publishedOwnRow;

  Executor& executor;
};

} // namespace gooseberry

#endif
