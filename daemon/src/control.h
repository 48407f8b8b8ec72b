#ifndef GOOSEBERRY_CONTROL_H
#define GOOSEBERRY_CONTROL_H

// The control side of one instance: its membership lease, the document, the
// shards that it owns, their workers, and the routes that requests follow. All
// state belongs to the executor's loop thread.

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

// What an operator sees of one worker.
struct WorkerStatus
{
  WorkerId id;
  DomainId domain;
  ShardNumber shard = 0;
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

// Where a task's owner can be asked, or the answer itself.
struct Explanation
{
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
          // Null: what is new is found by polling alone.
          HintSender* aPeers = nullptr);

  auto Start() -> void;
  // Gives the shards up and leaves the membership; returns when done or when
  // the time is over.
  auto Leave(Millis aAtMost) -> void;
  auto Stop() -> void;

  // Any thread.
  auto Routes() const -> std::shared_ptr<const RouteTable>;
  auto CurrentDocument() const -> std::shared_ptr<const LoadedDocument>;
  auto Ready() const -> bool;
  auto Self() const -> InstanceId;
  auto ShardCount() const -> ShardNumber;
  auto Members() -> std::vector<MemberRow>;
  auto Workers() -> std::vector<WorkerStatus>;
  // Events of all shards that this instance ever owned.
  auto TotalCounts() const -> const ShardCounts&;
  auto Explain(const TaskId& aTask) -> Explanation;
  // A peer knows of this document number: read the store at once.
  auto OnDocumentHint(std::uint64_t aNumber) -> void;
  auto OnHint(const Hint& aHint) -> void;
  // Something was put into the inboxes of these shards.
  auto NotifyInboxes(const std::set<ShardNumber>& aShards) -> void;

private:
  // One shard on its way to, in, or out of this instance's hands.
  struct Held
  {
    std::unique_ptr<Shard> shard;
    Claim claim;
    std::uint64_t snapshotSequence = 0;
    std::uint64_t snapshotGeneration = 0;
    bool appending = false;
    bool readingInbox = false;
    bool snapshotting = false;
    bool releasing = false;
    bool released = false;
    Time nextInbox{};
    Time nextAppend{};
    Time nextVerify{};
    // Term of the own lease under which the shard was last seen to be ours.
    std::uint64_t verifiedTerm = 0;
    bool verifying = false;
    // Inbox rows whose effect is not recorded yet, by task.
    std::map<std::string, InboxItem> absorbing;
    std::vector<std::string> absorbed;
    std::map<WorkerId, Time> nextSync;
    std::map<WorkerId, bool> syncing;
    ShardCounts counted{};
  };

  // A name that no earlier life of this instance had.
  auto NewName() -> std::string;
  auto Tick() -> void;
  auto MayAct(const Held& aHeld) const -> Authority;

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
  auto GiveWorkers(Held& aHeld, ShardNumber aShard) -> void;

  // Other instances (controlpeers.cpp).
  auto SpreadDocument() -> void;
  auto Tell(const InstanceId& aPeer, const Hint& aHint) -> void;

  // Shards (controlshards.cpp).
  auto FixShardCount() -> void;
  auto BalanceShards() -> void;
  // Gives up shards that takeovers without a known outcome may have left here.
  auto DropStrays() -> void;
  auto TakeShard(ShardNumber aShard) -> void;
  // Reads the shard's row: an owner that appends nothing would not notice that
  // another has taken over.
  auto VerifyOwnership(ShardNumber aShard, Held& aHeld) -> void;
  auto ReleaseShard(ShardNumber aShard, Held& aHeld) -> void;
  auto RunShard(ShardNumber aShard, Held& aHeld) -> void;
  auto AppendNext(ShardNumber aShard, Held& aHeld) -> void;
  auto OnAppended(ShardNumber aShard, AppendOutcome aOutcome) -> void;
  auto NotifyTargets(const JournalEntry& aEntry) -> void;
  auto AbsorbInbox(ShardNumber aShard, Held& aHeld) -> void;
  auto OnInbox(Held& aHeld, const std::vector<InboxItem>& aItems) -> void;
  auto SettleAbsorbed(Held& aHeld) -> void;
  auto SyncWorkers(ShardNumber aShard, Held& aHeld) -> void;
  auto SnapshotIfDue(ShardNumber aShard, Held& aHeld) -> void;
  auto FindHeld(ShardNumber aShard, std::uint64_t aEpoch) -> Held*;
  auto AddCounts(Held& aHeld) -> void;
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

  // Loop thread only.
  // Owners of the shards, as the members were last seen.
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
  // Its member row is being removed.
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
  // Epoch that a takeover of unknown outcome tried.
  std::map<ShardNumber, std::uint64_t> strays;
  Time nextStrays{};
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
