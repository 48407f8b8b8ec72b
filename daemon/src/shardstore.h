#ifndef GOOSEBERRY_SHARDSTORE_H
#define GOOSEBERRY_SHARDSTORE_H

// Shards in the platform's store. Each shard has a row that names its owner, a
// journal and a snapshot of its tasks, and an inbox through which tasks,
// cancellations and retries reach it. An owner's journal writes and its release
// of the shard are conditional on the version of the shard's row. Each takeover
// replaces the row, which fences the previous owner.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "membership.h"
#include "shard.h"
#include "tableservice.h"

namespace gooseberry {

struct ShardRow
{
  InstanceId owner;
  std::uint64_t epoch = 0;
  // The owner gave the shard up and renews no worker lease any more.
  bool released = false;
  // The longest time for which a worker may obey the owner after the owner's
  // last renewal, in milliseconds.
  std::int64_t workersLapseMillis = 0;

  auto operator==(const ShardRow&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardRow,
                                   owner,
                                   epoch,
                                   released,
                                   workersLapseMillis)

// The state of a shard as read from its snapshot and journal.
struct StoredShard
{
  // Sequence of the last journal entry that the tasks include.
  std::uint64_t sequence = 0;
  std::uint64_t snapshotSequence = 0;
  std::uint64_t snapshotGeneration = 0;
  std::map<TaskId, Task> tasks;
};

enum class InboxItemKind
{
  Task,
  Cancel,
  Retry
};

struct InboxItem
{
  std::string key; // of the row
  InboxItemKind kind = InboxItemKind::Task;
  Task task; // only the id is set unless the kind is Task
};

enum class AppendOutcome
{
  Recorded,
  Retry, // outcome unknown, or not applied: append the same entry again
  Fenced // another owner has the shard
};

// What the owner of a shard has to know of its ownership.
struct ShardClaim
{
  // Version of the shard's row, a precondition of each journal write and of the
  // release.
  std::uint64_t rowVersion = 0;
  std::uint64_t epoch = 0;
  // The longest time for which workers may obey the previous owner, counted
  // from the takeover.
  Millis maxPreviousWorkerLease{ 0 };
  // The longest time for which workers may obey this owner after its last
  // renewal.
  Millis maxWorkerLease{ 0 };
};

struct TakeOverResult
{
  std::optional<ShardClaim> claim;
  // Epoch of a write that was sent and that, without a claim, may still take
  // effect; 0 if none was sent.
  std::uint64_t attemptedEpoch = 0;
};

// Returns the counter of a member's row if it has stayed unchanged for longer
// than a lease, else nullopt.
using LapsedCounterLookup =
  std::function<std::optional<std::uint64_t>(const InstanceId&)>;

class ShardStore
{
public:
  ShardStore(TableService& aTable, ObjectStore& aObjects);

  // Returns the stored number of shards. If there is none yet, stores aWanted
  // and returns it. The number never changes afterwards; nullopt on a store
  // error.
  auto EstablishShardCount(ShardNumber aWanted) -> std::optional<ShardNumber>;

  // Makes aOwnId the owner if the shard has no owner, is released, is already
  // owned by aOwnId, or its owner's lease has provably lapsed. aMaxWorkerLease
  // is stored as the longest time for which workers may obey the new owner
  // after its last renewal.
  auto TakeOver(ShardNumber aShard,
                const InstanceId& aOwnId,
                Millis aMaxWorkerLease,
                const LapsedCounterLookup& aLapsedCounter) -> TakeOverResult;
  // Marks the shard as released; workers may still obey this owner for
  // aMaxWorkerLease. True if the shard is released or has another owner.
  auto Release(ShardNumber aShard,
               const ShardClaim& aClaim,
               const InstanceId& aOwnId,
               Millis aMaxWorkerLease) -> bool;
  // Releases a shard if a takeover without a known outcome has made aOwnId its
  // owner. True once the write of aAttemptedEpoch can't take effect any more.
  auto ReleaseUnsettled(ShardNumber aShard,
                        const InstanceId& aOwnId,
                        std::uint64_t aAttemptedEpoch) -> bool;
  // nullopt if the store does not answer or the row is unreadable.
  auto ReadRow(ShardNumber aShard) -> std::optional<ShardRow>;

  // Reads the snapshot and replays the journal. nullopt with the reason in
  // aReason if the store does not answer, or if anything is missing, unreadable
  // or of a newer format.
  auto LoadShard(ShardNumber aShard, std::string& aReason)
    -> std::optional<StoredShard>;
  // Writes the journal entry and its transfers, and removes the inbox rows
  // aInboxKeys, whose effect is recorded already, in one transaction.
  auto AppendEntry(ShardNumber aShard,
                   const ShardClaim& aClaim,
                   const JournalEntry& aEntry,
                   const std::vector<std::string>& aInboxKeys) -> AppendOutcome;
  // Writes a snapshot and removes the journal rows that it covers. Returns the
  // snapshot's generation; nullopt if it was not written.
  auto WriteSnapshot(ShardNumber aShard,
                     const ShardClaim& aClaim,
                     const StoredShard& aState) -> std::optional<std::uint64_t>;

  // The first rows of the inbox, at most one page; unreadable tasks are left
  // out. nullopt if the store does not answer.
  auto ReadInbox(ShardNumber aShard) -> std::optional<std::vector<InboxItem>>;
  auto RemoveInboxRows(const std::vector<std::string>& aKeys) -> bool;
  // Puts tasks into their shards' inboxes, in several transactions if they are
  // many. False if the store did not confirm one: then any of the tasks may be
  // submitted.
  auto SubmitTasks(const std::vector<Task>& aTasks, ShardNumber aShardCount)
    -> bool;
  // Puts a cancellation or a retry into a shard's inbox; false if the store did
  // not confirm.
  auto SubmitCommand(InboxItemKind aKind,
                     const TaskId& aTask,
                     ShardNumber aShard) -> bool;

private:
  struct VersionedRow
  {
    // 0 if the shard has no row yet.
    std::uint64_t version = 0;
    ShardRow row;
  };

  // nullopt if the store does not answer or the row is unreadable.
  auto ReadVersionedRow(ShardNumber aShard) -> std::optional<VersionedRow>;
  auto Commit(const Transaction& aTransaction) -> CommitResult;

  TableService& table;
  ObjectStore& objectStore;
};

// Keys of rows in the table service.
auto
MemberKey(const InstanceId& aId) -> std::string;
auto
ShardKey(ShardNumber aShard) -> std::string;

} // namespace gooseberry

#endif
