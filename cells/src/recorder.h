#ifndef GOOSEBERRY_RECORDER_H
#define GOOSEBERRY_RECORDER_H

// Writes a cell's batches of records, one transaction after the other, and
// finds out about those whose answer was lost. Decides only; the caller does
// the I/O.

#include <optional>
#include <vector>

#include "cell.h"
#include "ownerrow.h"
#include "tableport.h"

namespace gooseberry::cells {

// Tables and keys of a cell's rows.
struct CellRows
{
  std::string cell;

  auto Owner() const -> RowKey;
  auto Record(const JobId& aJob) const -> RowKey;
  auto RecordRange() const -> RowsRange;
  // What the owner has learnt lies among the records, so that one read brings
  // both; the key is no job's.
  auto Learnt() const -> RowKey;
  static auto IsLearnt(const RowKey& aKey) -> bool;
  // Rows of submitted jobs and of cancellations, written by any instance. They
  // lie by the job's id alone, so that an id names one job whatever the cell.
  static auto Submission(const JobId& aJob) -> RowKey;
  static auto Cancellation(const JobId& aJob) -> RowKey;
  // The parts of both tables.
  static auto CallerParts() -> std::vector<std::string>;

  // A part takes one transaction after the other: a store that is 24 times
  // slower than usual takes 5 a second in one part, callers bring up to 30.
  static constexpr std::size_t kCallerParts = 16;
  static constexpr const char* kOwnerTable = "owner";
  static constexpr const char* kRecordTable = "record";
  static constexpr const char* kSubmissionTable = "job";
  static constexpr const char* kCancellationTable = "cancel";
};

// What became known of batches.
struct RecorderNews
{
  // This batch is recorded; all others that were tried are not.
  std::optional<std::uint64_t> recorded;
  // This batch is surely not recorded.
  std::optional<std::uint64_t> notRecorded;
  // This batch may be recorded; the owner's row has to be read.
  std::optional<std::uint64_t> unknown;
  // Another owner has the cell.
  bool lost = false;

  auto operator==(const RecorderNews&) const -> bool = default;
};

class Recorder
{
public:
  // aVersion: of the owner's row as the takeover wrote it.
  Recorder(CellRows aRows, OwnerRow aOwner, std::uint64_t aVersion);

  // Told to a later owner with the next transaction.
  auto SetSilent(std::map<std::string, std::int64_t> aSilent) -> void;
  // Goes with the next transaction, and is lost with it.
  auto SetLearnt(std::string aBytes) -> void;
  // The transaction for a batch; only one may be under way.
  auto Write(const RecordBatch& aBatch) -> RowsCommit;
  // One that only shows that the owner is alive, or gives the cell up.
  auto WriteBeat(bool aRelease) -> RowsCommit;
  auto OnOutcome(const CommitOutcome& aOutcome) -> RecorderNews;
  // The owner's row as it was read after an outcome that is not known.
  auto OnOwnerRead(const std::optional<StoredRow>& aRow) -> RecorderNews;

  auto InFlight() const -> bool;
  auto MustRead() const -> bool;
  auto Owner() const -> const OwnerRow&;

private:
  auto Judge(const StoredRow& aRow) -> RecorderNews;
  // The row of the owner, and what is to go with it.
  auto NewCommit() -> RowsCommit;

  const CellRows rows;
  OwnerRow owner;
  std::uint64_t version;
  // The row that the transaction under way writes.
  std::optional<OwnerRow> writing;
  std::string learnt;
  bool isBatch = false;
  bool mustRead = false;
};

} // namespace gooseberry::cells

#endif
