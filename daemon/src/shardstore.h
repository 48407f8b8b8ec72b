#ifndef GOOSEBERRY_SHARDSTORE_H
#define GOOSEBERRY_SHARDSTORE_H

// Shards in the platform's store: who owns one, its journal and snapshot, and
// the inbox through which tasks and cancellations reach it. Every write of an
// owner is conditional on the shard's row, which each takeover replaces.

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
  // The owner gave the shard up and grants nothing any more.
  bool released = false;
  // The longest that a worker may obey the owner after its last renewal.
  std::int64_t workersLapseMillis = 0;

  auto operator==(const ShardRow&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardRow,
                                   owner,
                                   epoch,
                                   released,
                                   workersLapseMillis)

// A shard's records as the store holds them.
struct StoredShard
{
  std::uint64_t sequence = 0;
  std::uint64_t snapshotSequence = 0;
  std::uint64_t snapshotGeneration = 0;
  std::map<TaskId, Task> tasks;
};

enum class InboxKind
{
  Task,
  Cancel,
  Retry
};

struct InboxItem
{
  std::string key;
  InboxKind kind = InboxKind::Task;
  Task task; // only the identity counts unless the kind is Task
};

enum class AppendOutcome
{
  Recorded,
  Retry, // not known, or not applied: append the same entry again
  Fenced
};

struct Claim
{
  // Version of the shard's row, on which each write depends.
  std::uint64_t rowVersion = 0;
  std::uint64_t epoch = 0;
  // How long workers may obey the previous owner, from the takeover on.
  Millis previousLapse{ 0 };
  // How long workers may obey this owner after its last renewal.
  Millis ownLapse{ 0 };
};

struct TakeOverResult
{
  std::optional<Claim> claim;
  // Epoch of a write that was tried and may still take effect; 0 if none was.
  std::uint64_t triedEpoch = 0;
};

// The counter of a member's row that stayed unchanged for longer than a lease.
using LapsedCounterOf =
  std::function<std::optional<std::uint64_t>(const InstanceId&)>;

class ShardStore
{
public:
  ShardStore(TableService& aTable, ObjectStore& aObjects);

  // The number of shards: as it was fixed first, else aWanted.
  auto FixShardCount(ShardNumber aWanted) -> std::optional<ShardNumber>;

  // Makes aSelf the owner if the shard is free, released, or its owner's lease
  // has provably lapsed.
  auto TakeOver(ShardNumber aShard,
                const InstanceId& aSelf,
                Millis aWorkersLapseAfter,
                const LapsedCounterOf& aLapsed) -> TakeOverResult;
  // Gives the shard up; workers may obey this owner for aWorkersLapseAfter.
  auto Release(ShardNumber aShard,
               const Claim& aClaim,
               const InstanceId& aSelf,
               Millis aWorkersLapseAfter) -> bool;
  // Gives up a shard that a takeover without a known outcome may have left with
  // aSelf. True once the write of that epoch can't take effect any more.
  auto ReleaseStray(ShardNumber aShard,
                    const InstanceId& aSelf,
                    std::uint64_t aTriedEpoch) -> bool;
  auto ReadRow(ShardNumber aShard) -> std::optional<ShardRow>;

  // Snapshot and journal; nullopt with the reason if anything is missing.
  auto Load(ShardNumber aShard, std::string& aReason)
    -> std::optional<StoredShard>;
  // aDone names inbox rows whose effect is recorded already.
  auto Append(ShardNumber aShard,
              const Claim& aClaim,
              const JournalEntry& aEntry,
              const std::vector<std::string>& aDone) -> AppendOutcome;
  // Writes a snapshot and trims the journal below it. Returns the snapshot's
  // generation.
  auto WriteSnapshot(ShardNumber aShard,
                     const Claim& aClaim,
                     const StoredShard& aState) -> std::optional<std::uint64_t>;

  auto ReadInbox(ShardNumber aShard) -> std::optional<std::vector<InboxItem>>;
  auto DropInbox(const std::vector<std::string>& aKeys) -> bool;
  // Puts tasks into their shards' inboxes; false if the store did not confirm.
  auto Submit(const std::vector<Task>& aTasks, ShardNumber aShardCount) -> bool;
  // Puts a cancellation or a retry into a shard's inbox.
  auto SubmitOrder(InboxKind aKind, const TaskId& aTask, ShardNumber aShard)
    -> bool;

private:
  struct VersionedRow
  {
    // 0 if there is no row yet.
    std::uint64_t version = 0;
    ShardRow row;
  };

  // Nothing if the store does not answer or the row is unreadable.
  auto ReadVersioned(ShardNumber aShard) -> std::optional<VersionedRow>;
  auto Commit(const Transaction& aTransaction) -> CommitResult;

  TableService& table;
  ObjectStore& objects;
};

// Row names, shared with tests.
auto
MemberKey(const InstanceId& aId) -> std::string;
auto
ShardKey(ShardNumber aShard) -> std::string;

} // namespace gooseberry

#endif
