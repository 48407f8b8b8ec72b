#include "shardstore.h"

#include <algorithm>

#include "jsontext.h"

namespace gooseberry {

namespace {

// Format of the journal rows and snapshots that this version writes.
constexpr std::uint64_t kStorageFormat = 1;
constexpr const char* kShardCountKey = "meta/shards";
constexpr std::size_t kInboxPageRows = 400;
constexpr std::size_t kMaxWritesPerSubmit = 200;
constexpr std::size_t kTrimPageRows = 400;

auto
ZeroPadded(std::uint64_t aNumber, std::size_t aDigits) -> std::string
{
  const auto digits = std::to_string(aNumber);
  return std::string(aDigits - std::min(aDigits, digits.size()), '0') + digits;
}

auto
JournalPrefix(ShardNumber aShard) -> std::string
{
  return "journal/" + ZeroPadded(aShard, 5) + "/";
}

auto
JournalKey(ShardNumber aShard, std::uint64_t aSequence) -> std::string
{
  return JournalPrefix(aShard) + ZeroPadded(aSequence, 12);
}

auto
InboxPrefix(ShardNumber aShard) -> std::string
{
  return "inbox/" + ZeroPadded(aShard, 5) + "/";
}

auto
InboxTaskKey(ShardNumber aShard, const Task& aTask) -> std::string
{
  return InboxPrefix(aShard) + "task/" + aTask.id.text + "#" +
         std::to_string(aTask.moves);
}

auto
CommandKeySegment(InboxItemKind aKind) -> std::string
{
  return aKind == InboxItemKind::Cancel ? "cancel/" : "retry/";
}

auto
SnapshotObjectName(ShardNumber aShard) -> std::string
{
  return "snapshot/" + ZeroPadded(aShard, 5);
}

template<class Value>
auto
DecodeRow(const std::string& aText) -> std::optional<Value>
{
  auto reason = std::string{};
  return DecodeJson<Value>(aText, reason);
}

auto
SerializeEntry(const JournalEntry& aEntry) -> std::string
{
  auto json = nlohmann::json(aEntry);
  json["format"] = kStorageFormat;
  return json.dump();
}

// Rows and snapshots of a newer format are refused: they may hold fields that
// this version does not know, and ignoring those would lose work.
auto
IsFormatSupported(const nlohmann::json& aJson) -> bool
{
  if (!aJson.is_object()) {
    return false;
  }
  // Rows of the first version do not have this field.
  const auto format =
    aJson.contains("format") ? UnsignedIn(aJson, "format") : kStorageFormat;
  return format && *format <= kStorageFormat;
}

auto
ParseSnapshot(const ObjectResult& aObject,
              StoredShard& aState,
              std::string& aReason) -> bool
{
  if (aObject.generation == 0) {
    return true;
  }
  aState.snapshotGeneration = aObject.generation;
  try {
    const auto json = ParseJson(aObject.bytes);
    RequireNumbersInRange(json);
    if (!IsFormatSupported(json)) {
      aReason = "the snapshot was written by a newer version";
      return false;
    }
    aState.sequence = json.at("sequence");
    aState.snapshotSequence = aState.sequence;
    for (const auto& item : json.at("tasks")) {
      auto task = item.get<Task>();
      aState.tasks.insert_or_assign(task.id, std::move(task));
    }
  } catch (const nlohmann::json::exception& error) {
    aReason = std::string{ "bad snapshot: " } + error.what();
    return false;
  }
  return true;
}

auto
ReplayJournalRow(const Row& aRow, StoredShard& aState, std::string& aReason)
  -> bool
{
  const auto json = TryParseJson(aRow.value);
  if (!IsFormatSupported(json)) {
    aReason = "row " + aRow.key + " is unreadable or of a newer version";
    return false;
  }
  try {
    RequireNumbersInRange(json);
    const auto entry = json.get<JournalEntry>();
    if (entry.sequence <= aState.sequence) {
      return true;
    }
    if (entry.sequence != aState.sequence + 1) {
      aReason = "row " + aRow.key + " follows a gap in the journal";
      return false;
    }
    ApplyEntry(aState.tasks, entry);
    aState.sequence = entry.sequence;
  } catch (const nlohmann::json::exception& error) {
    aReason = "row " + aRow.key + ": " + error.what();
    return false;
  }
  return true;
}

} // namespace

auto
MemberKey(const InstanceId& aId) -> std::string
{
  return "member/" + aId.text;
}

auto
ShardKey(ShardNumber aShard) -> std::string
{
  return "shard/" + ZeroPadded(aShard, 5);
}

ShardStore::ShardStore(TableService& aTable, ObjectStore& aObjects)
  : table(aTable)
  , objectStore(aObjects)
{
}

auto
ShardStore::EstablishShardCount(ShardNumber aWanted)
  -> std::optional<ShardNumber>
{
  const auto read = this->table.Read(kShardCountKey);
  if (read.status != StoreStatus::Ok) {
    return std::nullopt;
  }
  if (read.row.version != 0) {
    return DecodeRow<ShardNumber>(read.row.value);
  }
  const auto commit =
    this->table.Commit({ { { kShardCountKey, 0 } },
                         { { kShardCountKey, std::to_string(aWanted) } } });
  if (commit.status == StoreStatus::Ok) {
    return aWanted;
  }
  return std::nullopt;
}

auto
ShardStore::TakeOver(ShardNumber aShard,
                     const InstanceId& aOwnId,
                     Millis aMaxWorkerLease,
                     const LapsedCounterLookup& aLapsedCounter)
  -> TakeOverResult
{
  const auto read = this->ReadVersionedRow(aShard);
  if (!read) {
    return {};
  }
  const auto& old = read->row;
  auto transaction = Transaction{ { { ShardKey(aShard), read->version } }, {} };
  const auto ownedByOther =
    !old.owner.Empty() && !old.released && old.owner != aOwnId;
  if (ownedByOther) {
    const auto member = this->table.Read(MemberKey(old.owner));
    if (member.status != StoreStatus::Ok) {
      return {};
    }
    if (member.row.version != 0) {
      const auto row = DecodeRow<MemberRow>(member.row.value);
      const auto lapsedCounter = aLapsedCounter(old.owner);
      if (!row || !lapsedCounter || *lapsedCounter != row->counter) {
        return {};
      }
    }
    transaction.preconditions.push_back(
      { MemberKey(old.owner), member.row.version });
  }
  const auto next =
    ShardRow{ aOwnId, old.epoch + 1, false, aMaxWorkerLease.count() };
  transaction.writes.push_back(
    { ShardKey(aShard), nlohmann::json(next).dump() });
  const auto commit = this->Commit(transaction);
  auto claim = ShardClaim{ commit.version,
                           next.epoch,
                           Millis{ old.workersLapseMillis },
                           aMaxWorkerLease };
  if (commit.status == StoreStatus::Ok) {
    return { claim, next.epoch };
  }
  // The write may have taken effect although the store did not confirm it.
  const auto current = this->ReadVersionedRow(aShard);
  if (current && current->row == next) {
    claim.rowVersion = current->version;
    return { claim, next.epoch };
  }
  return { std::nullopt, next.epoch };
}

auto
ShardStore::Release(ShardNumber aShard,
                    const ShardClaim& aClaim,
                    const InstanceId& aOwnId,
                    Millis aMaxWorkerLease) -> bool
{
  const auto row =
    ShardRow{ aOwnId, aClaim.epoch, true, aMaxWorkerLease.count() };
  const auto commit =
    this->Commit({ { { ShardKey(aShard), aClaim.rowVersion } },
                   { { ShardKey(aShard), nlohmann::json(row).dump() } } });
  if (commit.status == StoreStatus::Ok ||
      commit.status == StoreStatus::Conflict) {
    return true;
  }
  const auto current = this->ReadRow(aShard);
  return current && (current->released || current->owner != aOwnId);
}

auto
ShardStore::ReleaseUnsettled(ShardNumber aShard,
                             const InstanceId& aOwnId,
                             std::uint64_t aAttemptedEpoch) -> bool
{
  const auto read = this->ReadVersionedRow(aShard);
  if (!read || read->version == 0) {
    return false;
  }
  const auto& row = read->row;
  if (row.owner != aOwnId || row.released) {
    // The write of the attempted epoch depends on the row's version before that
    // epoch. Once the row has reached the epoch, a late write fails.
    return row.epoch >= aAttemptedEpoch;
  }
  const auto claim =
    ShardClaim{ read->version, row.epoch, Millis{ 0 }, Millis{ 0 } };
  this->Release(aShard, claim, aOwnId, Millis{ row.workersLapseMillis });
  return false;
}

auto
ShardStore::ReadRow(ShardNumber aShard) -> std::optional<ShardRow>
{
  const auto read = this->ReadVersionedRow(aShard);
  return read ? std::optional{ read->row } : std::nullopt;
}

auto
ShardStore::ReadVersionedRow(ShardNumber aShard) -> std::optional<VersionedRow>
{
  const auto read = this->table.Read(ShardKey(aShard));
  if (read.status != StoreStatus::Ok) {
    return std::nullopt;
  }
  if (read.row.version == 0) {
    return VersionedRow{};
  }
  auto row = DecodeRow<ShardRow>(read.row.value);
  if (!row) {
    return std::nullopt;
  }
  return VersionedRow{ read.row.version, std::move(*row) };
}

auto
ShardStore::LoadShard(ShardNumber aShard, std::string& aReason)
  -> std::optional<StoredShard>
{
  const auto object = this->objectStore.Get(SnapshotObjectName(aShard));
  const auto journal = ScanAll(this->table, JournalPrefix(aShard));
  if (object.status != StoreStatus::Ok || journal.status != StoreStatus::Ok) {
    aReason = "the store does not answer";
    return std::nullopt;
  }
  auto state = StoredShard{};
  if (!ParseSnapshot(object, state, aReason)) {
    return std::nullopt;
  }
  for (const auto& row : journal.rows) {
    if (!ReplayJournalRow(row, state, aReason)) {
      return std::nullopt;
    }
  }
  return state;
}

auto
ShardStore::AppendEntry(ShardNumber aShard,
                        const ShardClaim& aClaim,
                        const JournalEntry& aEntry,
                        const std::vector<std::string>& aInboxKeys)
  -> AppendOutcome
{
  const auto key = JournalKey(aShard, aEntry.sequence);
  auto transaction =
    Transaction{ { { ShardKey(aShard), aClaim.rowVersion }, { key, 0 } },
                 { { key, SerializeEntry(aEntry) } } };
  for (const auto& transfer : aEntry.transfers) {
    transaction.writes.push_back({ InboxTaskKey(transfer.target, transfer.task),
                                   nlohmann::json(transfer.task).dump() });
  }
  for (const auto& inboxKey : aInboxKeys) {
    transaction.writes.push_back({ inboxKey, std::nullopt });
  }
  const auto commit = this->Commit(transaction);
  if (commit.status == StoreStatus::Ok) {
    return AppendOutcome::Recorded;
  }
  if (commit.status != StoreStatus::Conflict) {
    return AppendOutcome::Retry;
  }
  // Either an earlier attempt has recorded this entry, or another instance has
  // taken over the shard.
  const auto row = this->table.Read(key);
  const auto owner = this->table.Read(ShardKey(aShard));
  if (row.status != StoreStatus::Ok || owner.status != StoreStatus::Ok) {
    return AppendOutcome::Retry;
  }
  const auto entry = DecodeRow<JournalEntry>(row.row.value);
  if (entry && entry->identity == aEntry.identity) {
    return AppendOutcome::Recorded;
  }
  return owner.row.version == aClaim.rowVersion ? AppendOutcome::Retry
                                                : AppendOutcome::Fenced;
}

auto
ShardStore::WriteSnapshot(ShardNumber aShard,
                          const ShardClaim& aClaim,
                          const StoredShard& aState)
  -> std::optional<std::uint64_t>
{
  auto tasks = nlohmann::json::array();
  for (const auto& [id, task] : aState.tasks) {
    tasks.push_back(task);
  }
  const auto json = nlohmann::json{ { "format", kStorageFormat },
                                    { "sequence", aState.sequence },
                                    { "tasks", std::move(tasks) } };
  const auto name = SnapshotObjectName(aShard);
  const auto bytes = json.dump();
  auto put = this->objectStore.Put(name, aState.snapshotGeneration, bytes);
  if (put.status == StoreStatus::Conflict) {
    // A previous owner wrote its snapshot late. It is an older state of the
    // same journal, so it may be replaced.
    put = this->objectStore.Put(
      name, this->objectStore.Get(name).generation, bytes);
  }
  if (put.status != StoreStatus::Ok) {
    return std::nullopt;
  }
  const auto rows =
    this->table.Scan(JournalPrefix(aShard), std::string{}, kTrimPageRows);
  auto trim = Transaction{ { { ShardKey(aShard), aClaim.rowVersion } }, {} };
  for (const auto& row : rows.rows) {
    if (row.key <= JournalKey(aShard, aState.sequence)) {
      trim.writes.push_back({ row.key, std::nullopt });
    }
  }
  if (!trim.writes.empty()) {
    this->Commit(trim);
  }
  return put.generation;
}

auto
ShardStore::ReadInbox(ShardNumber aShard)
  -> std::optional<std::vector<InboxItem>>
{
  const auto prefix = InboxPrefix(aShard);
  const auto scan = this->table.Scan(prefix, std::string{}, kInboxPageRows);
  if (scan.status != StoreStatus::Ok) {
    return std::nullopt;
  }
  auto items = std::vector<InboxItem>{};
  for (const auto& row : scan.rows) {
    auto item = InboxItem{ row.key, InboxItemKind::Task, {} };
    auto isCommand = false;
    for (const auto kind : { InboxItemKind::Cancel, InboxItemKind::Retry }) {
      const auto commandPrefix = prefix + CommandKeySegment(kind);
      if (row.key.starts_with(commandPrefix)) {
        item.kind = kind;
        item.task.id.text = row.key.substr(commandPrefix.size());
        isCommand = true;
      }
    }
    if (isCommand) {
      items.push_back(item);
      continue;
    }
    const auto task = DecodeRow<Task>(row.value);
    if (task) {
      item.task = *task;
      items.push_back(item);
    }
  }
  return items;
}

auto
ShardStore::RemoveInboxRows(const std::vector<std::string>& aKeys) -> bool
{
  auto transaction = Transaction{};
  for (const auto& key : aKeys) {
    transaction.writes.push_back({ key, std::nullopt });
  }
  return this->Commit(transaction).status == StoreStatus::Ok;
}

auto
ShardStore::SubmitTasks(const std::vector<Task>& aTasks,
                        ShardNumber aShardCount) -> bool
{
  auto transaction = Transaction{};
  for (const auto& task : aTasks) {
    transaction.writes.push_back(
      { InboxTaskKey(ShardOf(task.id.text, aShardCount), task),
        nlohmann::json(task).dump() });
    const auto isFull = transaction.writes.size() >= kMaxWritesPerSubmit;
    if (isFull) {
      if (this->Commit(transaction).status != StoreStatus::Ok) {
        return false;
      }
      transaction.writes.clear();
    }
  }
  return transaction.writes.empty() ||
         this->Commit(transaction).status == StoreStatus::Ok;
}

auto
ShardStore::SubmitCommand(InboxItemKind aKind,
                          const TaskId& aTask,
                          ShardNumber aShard) -> bool
{
  const auto key = InboxPrefix(aShard) + CommandKeySegment(aKind) + aTask.text;
  return this->Commit({ {}, { { key, "{}" } } }).status == StoreStatus::Ok;
}

auto
ShardStore::Commit(const Transaction& aTransaction) -> CommitResult
{
  return this->table.Commit(aTransaction);
}

} // namespace gooseberry
