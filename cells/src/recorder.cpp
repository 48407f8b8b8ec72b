#include "recorder.h"

#include <algorithm>
#include <utility>

namespace gooseberry::cells {

namespace {

const std::string kPartPrefix = "in-";
constexpr const char* kLearntKey = "learnt";

auto
PartOf(const JobId& aJob) -> std::string
{
  return kPartPrefix + std::to_string(aJob.Hash() % CellRows::kCallerParts);
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
CellRows::RecordRange() const -> RowsRange
{
  return { kRecordTable, this->cell, "", "" };
}

auto
CellRows::Learnt() const -> RowKey
{
  return { kRecordTable, this->cell, kLearntKey };
}

auto
CellRows::IsLearnt(const RowKey& aKey) -> bool
{
  return aKey.key == kLearntKey;
}

auto
CellRows::Submission(const JobId& aJob) -> RowKey
{
  return { kSubmissionTable, PartOf(aJob), aJob.Text() };
}

auto
CellRows::Cancellation(const JobId& aJob) -> RowKey
{
  return { kCancellationTable, PartOf(aJob), aJob.Text() };
}

auto
CellRows::CallerParts() -> std::vector<std::string>
{
  auto parts = std::vector<std::string>{};
  for (auto number = std::size_t{ 0 }; number < kCallerParts; ++number) {
    parts.push_back(kPartPrefix + std::to_string(number));
  }
  return parts;
}

Recorder::Recorder(CellRows aRows, OwnerRow aOwner, std::uint64_t aVersion)
  : rows(std::move(aRows))
  , owner(std::move(aOwner))
  , version(aVersion)
{
}

auto
Recorder::SetSilent(std::map<std::string, std::int64_t> aSilent) -> void
{
  this->owner.silent = std::move(aSilent);
}

auto
Recorder::SetLearnt(std::string aBytes) -> void
{
  this->learnt = std::move(aBytes);
}

auto
Recorder::NewCommit() -> RowsCommit
{
  auto commit = RowsCommit{};
  commit.conditions.push_back({ this->rows.Owner(), this->version });
  commit.puts.push_back({ this->rows.Owner(), EncodeOwner(*this->writing) });
  if (!this->learnt.empty()) {
    commit.puts.push_back(
      { this->rows.Learnt(), std::exchange(this->learnt, {}) });
  }
  return commit;
}

auto
Recorder::Write(const RecordBatch& aBatch) -> RowsCommit
{
  this->writing = this->owner;
  this->writing->batch = aBatch.number;
  this->isBatch = true;
  auto commit = this->NewCommit();
  for (const auto& [job, record] : aBatch.records) {
    commit.puts.push_back({ this->rows.Record(job), record });
  }
  for (const auto& job : aBatch.removals) {
    commit.removals.push_back(this->rows.Record(job));
  }
  return commit;
}

auto
Recorder::WriteBeat(bool aRelease) -> RowsCommit
{
  this->writing = this->owner;
  ++this->writing->beat;
  this->writing->released = aRelease;
  this->isBatch = false;
  return this->NewCommit();
}

auto
Recorder::OnOutcome(const CommitOutcome& aOutcome) -> RecorderNews
{
  const auto batch = this->writing->batch;
  auto result = RecorderNews{};
  switch (aOutcome.end) {
    case TableEnd::Done:
      this->owner = *this->writing;
      this->version = aOutcome.version;
      if (this->isBatch) {
        result.recorded = batch;
      }
      this->writing.reset();
      return result;
    case TableEnd::Refused:
      if (this->isBatch) {
        result.notRecorded = batch;
      }
      this->writing.reset();
      return result;
    case TableEnd::Conflict: {
      const auto row = std::find_if(
        aOutcome.current.begin(),
        aOutcome.current.end(),
        [&](const StoredRow& aRow) { return aRow.key == this->rows.Owner(); });
      if (row != aOutcome.current.end()) {
        result = this->Judge(*row);
        if (!result.recorded && this->isBatch) {
          result.notRecorded = batch;
        }
        this->writing.reset();
        return result;
      }
      [[fallthrough]];
    }
    default:
      if (this->isBatch) {
        result.unknown = batch;
      }
      this->mustRead = true;
      this->writing.reset();
      return result;
  }
}

auto
Recorder::OnOwnerRead(const std::optional<StoredRow>& aRow) -> RecorderNews
{
  if (!aRow) {
    return {};
  }
  this->mustRead = false;
  return this->Judge(*aRow);
}

auto
Recorder::Judge(const StoredRow& aRow) -> RecorderNews
{
  auto result = RecorderNews{};
  if (aRow.version == this->version) {
    return result;
  }
  auto reason = std::string{};
  const auto row = DecodeOwner(aRow.value, reason);
  if (!row || row->fencingToken != this->owner.fencingToken ||
      row->owner != this->owner.owner) {
    result.lost = true;
    return result;
  }
  if (row->batch != this->owner.batch) {
    result.recorded = row->batch;
  }
  this->owner = *row;
  this->version = aRow.version;
  return result;
}

auto
Recorder::InFlight() const -> bool
{
  return this->writing.has_value();
}

auto
Recorder::MustRead() const -> bool
{
  return this->mustRead;
}

auto
Recorder::Owner() const -> const OwnerRow&
{
  return this->owner;
}

} // namespace gooseberry::cells
