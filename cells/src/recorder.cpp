#include "recorder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace gooseberry::cells {

namespace {

const std::string kPartPrefix = "in-";
constexpr const char* kLearnedStateKey = "learnt";
constexpr char kContinuationMark = '/';
const std::string kAccountMark = "@";

auto
OrEmptyIfTooLarge(std::string aBytes) -> std::string
{
  return aBytes.size() <= kMaxRowBytes ? std::move(aBytes) : std::string{};
}

auto
PartOfJob(const JobId& aJob) -> std::string
{
  return kPartPrefix +
         std::to_string(aJob.Hash() % CellRows::kSubmissionPartCount);
}

} // namespace

auto
CellRows::Owner() const -> RowKey
{
  return { kOwnerTable, this->cell, "owner" };
}

auto
CellRows::Record(const JobId& aJob) const -> RowKey
{
  return { kRecordTable, this->cell, aJob.Text() };
}

auto
CellRows::Continuation(const RecordContinuation& aContinuation) const -> RowKey
{
  return { kRecordTable,
           this->cell,
           aContinuation.job.Text() + kContinuationMark +
             std::to_string(aContinuation.number) };
}

auto
CellRows::ParseContinuation(const std::string& aKey)
  -> std::optional<RecordContinuation>
{
  const auto mark = aKey.find(kContinuationMark);
  if (mark == std::string::npos) {
    return std::nullopt;
  }
  const auto job = JobId::Parse(aKey.substr(0, mark));
  auto number = std::uint32_t{ 0 };
  const auto* const end = aKey.data() + aKey.size();
  const auto [rest, error] =
    std::from_chars(aKey.data() + mark + 1, end, number);
  return job && error == std::errc{} && rest == end
           ? std::optional{ RecordContinuation{ *job, number } }
           : std::nullopt;
}

auto
CellRows::RecordRange() const -> RowRange
{
  return { kRecordTable, this->cell, "", "" };
}

auto
CellRows::LearnedStateRow() const -> RowKey
{
  return { kRecordTable, this->cell, kLearnedStateKey };
}

auto
CellRows::IsLearnedStateRow(const RowKey& aKey) -> bool
{
  return aKey.key == kLearnedStateKey;
}

auto
CellRows::Submission(const JobId& aJob) -> RowKey
{
  return { kSubmissionTable, PartOfJob(aJob), aJob.Text() };
}

auto
CellRows::Cancellation(const JobId& aJob) -> RowKey
{
  return { kCancellationTable, PartOfJob(aJob), aJob.Text() };
}

auto
CellRows::Withdrawal(const JobId& aJob, const AccountId& aAccount) -> RowKey
{
  // A name of an account may alone be as long as a key.
  const auto suffix =
    aAccount.Empty() ? std::string{}
                     : kAccountMark + std::to_string(StableHash(aAccount.text));
  return { kWithdrawalTable, PartOfJob(aJob), aJob.Text() + suffix };
}

auto
CellRows::SubmissionParts() -> std::vector<std::string>
{
  auto parts = std::vector<std::string>{};
  for (auto number = std::size_t{ 0 }; number < kSubmissionPartCount;
       ++number) {
    parts.push_back(kPartPrefix + std::to_string(number));
  }
  return parts;
}

auto
CellRows::DelegationRow(const std::string& aTable,
                        const std::string& aKey) const -> RowKey
{
  return { aTable, this->cell, aKey };
}

Recorder::Recorder(CellRows aRows, OwnerRow aOwner, std::uint64_t aVersion)
  : rows(std::move(aRows))
  , owner(std::move(aOwner))
  , ownerVersion(aVersion)
{
}

auto
Recorder::SetSilentWorkers(std::map<std::string, std::int64_t> aSilent) -> void
{
  // Quotes, colon, comma and a time in milliseconds.
  constexpr std::size_t kBytesBesidesName = 24;
  constexpr std::size_t kReserved = 1000;
  auto bytes = kReserved;
  this->owner.silent.clear();
  for (auto& [worker, leaseEnd] : aSilent) {
    bytes += worker.size() + kBytesBesidesName;
    if (bytes > kMaxRowBytes) {
      break;
    }
    this->owner.silent.emplace(worker, leaseEnd);
  }
}

auto
Recorder::SetLongestLease(Millis aLease) -> void
{
  this->owner.leaseMs = aLease.count();
}

auto
Recorder::SetLearnedState(std::string aBytes) -> void
{
  this->learnedState = OrEmptyIfTooLarge(std::move(aBytes));
}

auto
Recorder::SetSharedState(std::string aBytes) -> void
{
  this->sharedState = OrEmptyIfTooLarge(std::move(aBytes));
}

auto
Recorder::SetDelegationTable(std::string aTable) -> void
{
  this->delegationTable = std::move(aTable);
}

auto
Recorder::SetLoad(std::string aBytes) -> void
{
  this->load = OrEmptyIfTooLarge(std::move(aBytes));
}

auto
Recorder::NewCommit() -> TableTransaction
{
  auto commit = TableTransaction{};
  commit.conditions.push_back({ this->rows.Owner(), this->ownerVersion });
  commit.puts.push_back(
    { this->rows.Owner(), EncodeOwnerRow(*this->ownerInFlight) });
  if (!this->learnedState.empty()) {
    commit.puts.push_back(
      { this->rows.LearnedStateRow(), std::exchange(this->learnedState, {}) });
  } else if (!this->sharedState.empty()) {
    const auto key = DelegationKey{ DelegationKey::Kind::Learned };
    commit.puts.push_back(
      { this->rows.DelegationRow(this->delegationTable, ToText(key)),
        std::exchange(this->sharedState, {}) });
  }
  if (!this->load.empty()) {
    commit.puts.push_back({ this->rows.DelegationRow(this->delegationTable,
                                                     ToText(DelegationKey{})),
                            std::exchange(this->load, {}) });
  }
  return commit;
}

auto
Recorder::BatchCommit(const RecordBatch& aBatch) -> TableTransaction
{
  this->ownerInFlight = this->owner;
  this->ownerInFlight->batch = aBatch.number;
  this->inFlightIsBatch = true;
  auto commit = this->NewCommit();
  for (const auto& [job, record] : aBatch.records) {
    commit.puts.push_back({ this->rows.Record(job), record });
  }
  for (const auto& [continuation, bytes] : aBatch.continuations) {
    commit.puts.push_back({ this->rows.Continuation(continuation), bytes });
  }
  for (const auto& job : aBatch.removals) {
    commit.removals.push_back(this->rows.Record(job));
  }
  for (const auto& continuation : aBatch.continuationRemovals) {
    commit.removals.push_back(this->rows.Continuation(continuation));
  }
  for (const auto& [key, value] : aBatch.delegationPuts) {
    commit.puts.push_back(
      { this->rows.DelegationRow(this->delegationTable, key), value });
  }
  for (const auto& key : aBatch.delegationRemovals) {
    commit.removals.push_back(
      this->rows.DelegationRow(this->delegationTable, key));
  }
  return commit;
}

auto
Recorder::HeartbeatCommit(bool aRelease) -> TableTransaction
{
  this->ownerInFlight = this->owner;
  ++this->ownerInFlight->beat;
  this->ownerInFlight->released = aRelease;
  this->inFlightIsBatch = false;
  return this->NewCommit();
}

auto
Recorder::OnOutcome(const TableCommitResult& aOutcome) -> RecorderResult
{
  const auto batch = this->ownerInFlight->batch;
  auto result = RecorderResult{};
  switch (aOutcome.status) {
    case TableStatus::Done:
      this->owner = *this->ownerInFlight;
      this->ownerVersion = aOutcome.version;
      if (this->inFlightIsBatch) {
        result.recorded = batch;
      }
      this->ownerInFlight.reset();
      return result;
    case TableStatus::Refused:
      if (this->inFlightIsBatch) {
        result.notRecorded = batch;
      }
      this->ownerInFlight.reset();
      return result;
    case TableStatus::Rejected:
      if (this->inFlightIsBatch) {
        result.rejected = batch;
      }
      this->ownerInFlight.reset();
      return result;
    case TableStatus::Conflict: {
      const auto row = std::find_if(
        aOutcome.current.begin(),
        aOutcome.current.end(),
        [&](const StoredRow& aRow) { return aRow.key == this->rows.Owner(); });
      if (row != aOutcome.current.end()) {
        result = this->ResolveOwnerRow(*row);
        if (!result.recorded && this->inFlightIsBatch) {
          result.notRecorded = batch;
        }
        this->ownerInFlight.reset();
        return result;
      }
      [[fallthrough]];
    }
    default:
      if (this->inFlightIsBatch) {
        result.outcomeUnknown = batch;
      }
      this->mustReadOwner = true;
      this->ownerInFlight.reset();
      return result;
  }
}

auto
Recorder::OnOwnerRead(const std::optional<StoredRow>& aRow) -> RecorderResult
{
  if (!aRow) {
    return {};
  }
  this->mustReadOwner = false;
  return this->ResolveOwnerRow(*aRow);
}

auto
Recorder::ResolveOwnerRow(const StoredRow& aRow) -> RecorderResult
{
  auto result = RecorderResult{};
  if (aRow.version == this->ownerVersion) {
    return result;
  }
  auto reason = std::string{};
  const auto row = DecodeOwnerRow(aRow.value, reason);
  if (!row || row->fencingToken != this->owner.fencingToken ||
      row->owner != this->owner.owner) {
    result.ownershipLost = true;
    return result;
  }
  if (row->batch != this->owner.batch) {
    result.recorded = row->batch;
  }
  this->owner = *row;
  this->ownerVersion = aRow.version;
  return result;
}

auto
Recorder::IsCommitInFlight() const -> bool
{
  return this->ownerInFlight.has_value();
}

auto
Recorder::MustReadOwner() const -> bool
{
  return this->mustReadOwner;
}

auto
Recorder::Owner() const -> const OwnerRow&
{
  return this->owner;
}

} // namespace gooseberry::cells
