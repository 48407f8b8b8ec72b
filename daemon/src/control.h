#ifndef GOOSEBERRY_CONTROL_H
#define GOOSEBERRY_CONTROL_H

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
#include "published.h"
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
struct Explanation
{
  // False if no shard that this instance owns holds the task.
  bool known = false;
  std::string text;
};

class Control
{
public:
  Control(const Settings& aSettings,
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
  auto Leave(Millis aTimeout) -> void;
  auto Stop() -> void;

  // Any thread. LiveMembers(), WorkerStatuses() and ExplainTask() wait for the
  // loop thread and must not be called from it.
  auto Routes() const -> std::shared_ptr<const RouteTable>;
  auto CurrentDocument() const -> std::shared_ptr<const LoadedDocument>;
  auto Ready() const -> bool;
  auto Self() const -> InstanceId;
  auto ShardCount() const -> ShardNumber;
  auto Members() -> std::vector<MemberRow>;
  auto Workers() -> std::vector<WorkerStatus>;
  // Events of all shards that this instance owns or has owned. Not synchronized
  // with the loop thread.
  auto TotalCounts() const -> const ShardCounts&;
  auto Explain(const TaskId& aTask) -> Explanation;
  // The document has reached this number: if it is newer than the one in force,
  // reads the store at the next tick.
  auto OnDocumentHint(std::uint64_t aNumber) -> void;
  // A hint from another instance: a document number, and shards whose inboxes
  // have new rows.
  auto OnHint(const Hint& aHint) -> void;
  // Rows were added to the inboxes of these shards: sends their owners hints to
  // read them at once. Without a hint sender it does nothing.
  auto NotifyInboxes(const std::set<ShardNumber>& aShards) -> void;

private:
  // A shard that this instance owns, is releasing, or has just lost to another.
  struct Held
  {
    std::unique_ptr<Shard> shard;
    Claim claim;
    std::uint64_t snapshotSequence = 0;
    std::uint64_t snapshotGeneration = 0;
    // An append or the release of the shard is under way.
    bool appending = false;
    bool readingInbox = false;
    bool snapshotting = false;
    bool releasing = false;
    // Ownership has ended and no write is under way: Tick() removes the entry.
    bool released = false;
    Time nextInbox{};
    Time nextAppend{};
    Time nextVerify{};
    // Term of the own lease under which the shard's row was last seen to name
    // this owner.
    std::uint64_t verifiedTerm = 0;
    bool verifying = false;
    // Inbox rows whose effect is not recorded yet, by row key.
    std::map<std::string, InboxItem> absorbing;
    // Keys of inbox rows whose effect is recorded and that may be removed.
    std::vector<std::string> absorbed;
    std::map<WorkerId, Time> nextSync;
    std::map<WorkerId, bool> syncing;
    // Event counts as last added to the metrics.
    ShardCounts counted{};
  };

  // The configured name with a random suffix, to differ from all names that
  // this instance had before.
  auto NewName() -> std::string;
  auto Tick() -> void;
  // What the owner of the shard may do now, by its lease and the document.
  auto MayAct(const Held& aOwned) const -> Authority;

  // Membership (controlmembers.cpp).
  auto RenewMembership() -> void;
  auto OnRenewed(Time aSentAt,
                 const MemberRow& aSent,
                 const CommitResult& aResult) -> void;
  auto ReadBackMembership(Time aSentAt, const MemberRow& aSent) -> void;
  auto LoseMembership() -> void;
  auto ReadMembers() -> void;
  auto DropLapsedMembers() -> void;

  // Document and routes (controlroutes.cpp).
  auto PollDocument() -> void;
  auto PollInstances() -> void;
  auto PublishRoutes() -> void;
  auto GiveWorkers(Held& aOwned, ShardNumber aShard) -> void;

  // Other instances (controlpeers.cpp).
  auto SpreadDocument() -> void;
  auto Tell(const InstanceId& aPeer, const Hint& aHint) -> void;

  // Shards (controlshards.cpp).
  auto FixShardCount() -> void;
  auto BalanceShards() -> void;
  // Releases shards of which this instance may be the owner in the store
  // because the outcome of a takeover is not known.
  auto DropStrays() -> void;
  auto TakeShard(ShardNumber aShard) -> void;
  // Reads the shard's row: an owner that appends nothing would not notice that
  // another instance has taken over.
  auto VerifyOwnership(ShardNumber aShard, Held& aOwned) -> void;
  auto ReleaseShard(ShardNumber aShard, Held& aOwned) -> void;
  auto RunShard(ShardNumber aShard, Held& aOwned) -> void;
  auto AppendNext(ShardNumber aShard, Held& aOwned) -> void;
  auto OnAppended(ShardNumber aShard, AppendOutcome aOutcome) -> void;
  auto NotifyTargets(const JournalEntry& aEntry) -> void;
  auto AbsorbInbox(ShardNumber aShard, Held& aOwned) -> void;
  auto OnInbox(Held& aOwned, const std::vector<InboxItem>& aItems) -> void;
  auto SettleAbsorbed(Held& aOwned) -> void;
  auto SyncWorkers(ShardNumber aShard, Held& aOwned) -> void;
  auto SnapshotIfDue(ShardNumber aShard, Held& aOwned) -> void;
  // The shard, if this instance has it under this epoch, else null.
  auto FindHeld(ShardNumber aShard, std::uint64_t aEpoch) -> Held*;
  auto AddCounts(Held& aOwned) -> void;
  auto ReportMetrics() -> void;

  const Settings& settings;
  const Clock& clock;
  PlatformServices platform;
  Metrics& metrics;
  DocumentStore documents;
  ShardStore shards;
  std::mt19937_64 random;
  InstanceId self;
  HintSender* const peers;

  // Loop thread only, down to the next mark.

  // The owner of each shard, assigned over the live members as last read.
  std::vector<InstanceId> owners;
  OwnLease lease;
  Membership membership;
  std::uint64_t memberVersion = 0;
  MemberRow own;
  bool renewing = false;
  bool readingMembers = false;
  bool pollingDocument = false;
  bool pollingInstances = false;
  bool fixingShards = false;
  bool leaving = false;
  // Set before the own member row is removed.
  bool renewalsEnded = false;
  Time nextRenewal{};
  Time nextMembers{};
  Time nextDocument{};
  Time nextInstances{};
  Time nextBalance{};
  Time nextReport{};
  Time documentConfirmed{};
  LoadedDocument loaded;
  InstanceListing listing;
  FleetShape fleet;
  ShardCapacity capacity;
  std::map<std::string, std::shared_ptr<Backend>> backends;
  ShardCounts totalCounts{};
  std::map<ShardNumber, Held> held;
  std::map<ShardNumber, bool> taking;
  // Epochs of takeovers whose write may still take effect, by shard.
  std::map<ShardNumber, std::uint64_t> strays;
  Time nextStrays{};
  // Live members, at least 1.
  int liveEntries = 1;

  // Any thread.
  std::atomic<ShardNumber> shardCount = 0;
  std::atomic<bool> hasDocument = false;
  Published<RouteTable> routes;
  Published<LoadedDocument> current;
  Published<MemberRow> identity;

  Executor& executor;
};

} // namespace gooseberry

#endif
