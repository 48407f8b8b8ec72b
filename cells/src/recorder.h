#ifndef GOOSEBERRY_RECORDER_H
#define GOOSEBERRY_RECORDER_H

// Builds the transactions that write a cell's batches of records, one at a
// time, and determines the outcome of those whose answer was lost. Does no I/O;
// the caller sends the transactions.

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
  // Its later rows, if it has several.
  auto Continuation(const RecordContinuation& aContinuation) const -> RowKey;
  static auto ParseContinuation(const std::string& aKey)
    -> std::optional<RecordContinuation>;
  auto RecordRange() const -> RowRange;
  // The row with what the owner learned from reports. It is stored in the
  // records' partition under a key that is no valid job id, so that one read
  // returns both.
  auto LearnedStateRow() const -> RowKey;
  static auto IsLearnedStateRow(const RowKey& aKey) -> bool;
  // Rows of submitted jobs and of cancellations, written by any instance. Their
  // keys depend on the job's id alone, so that an id identifies one job across
  // all cells.
  static auto Submission(const JobId& aJob) -> RowKey;
  static auto Cancellation(const JobId& aJob) -> RowKey;
  // The row that keeps a job from being stored: an account cancelled it while
  // the store had no submission of this id. Empty account: any caller may have.
  static auto Withdrawal(const JobId& aJob, const AccountId& aAccount)
    -> RowKey;
  // The parts that the tables of submissions, cancellations and withdrawals are
  // split into; all rows of an id are in the same one.
  static auto SubmissionParts() -> std::vector<std::string>;

  // The store runs the transactions of one part one after the other. Slowed
  // down 24 times it completes 5 a second in one part, while callers submit up
  // to 30 a second.
  static constexpr std::size_t kSubmissionPartCount = 16;
  static constexpr const char* kOwnerTable = "owner";
  static constexpr const char* kRecordTable = "record";
  static constexpr const char* kSubmissionTable = "job";
  static constexpr const char* kCancellationTable = "cancel";
  static constexpr const char* kWithdrawalTable = "withdrawn";

  // Rows by which the cells of a group run tasks for each other.
  auto DelegationRow(const std::string& aTable, const std::string& aKey) const
    -> RowKey;
};

// What became known about the outcome of batches.
struct RecorderResult
{
  // This batch is recorded; all other unresolved batches are not.
  std::optional<std::uint64_t> recorded;
  // This batch is certainly not recorded.
  std::optional<std::uint64_t> notRecorded;
  // This batch is certainly not recorded, and never will be as it is.
  std::optional<std::uint64_t> rejected;
  // This batch may be recorded; the owner's row has to be read to find out.
  std::optional<std::uint64_t> outcomeUnknown;
  // The cell has another owner.
  bool ownershipLost = false;

  auto operator==(const RecorderResult&) const -> bool = default;
};

class Recorder
{
public:
  // aVersion: version of the owner's row that the takeover wrote.
  Recorder(CellRows aRows, OwnerRow aOwner, std::uint64_t aVersion);

  // Workers that do not answer, each with the end of its lease on the store's
  // steady clock; written to the owner's row with the next transaction, as many
  // as fit. The next owner counts on the longest lease for the others.
  auto SetSilentWorkers(std::map<std::string, std::int64_t> aSilent) -> void;
  // The longest lease that may hold; written to the owner's row with the next
  // transaction.
  auto SetLongestLease(Millis aLease) -> void;
  // Written with the next transaction; not repeated if that fails, and left out
  // if it does not fit into a row.
  auto SetLearnedState(std::string aBytes) -> void;
  // The same, for the owners of other cells: written to the table of
  // delegations, with a transaction that has no learned state, as both together
  // may not fit.
  auto SetSharedState(std::string aBytes) -> void;
  // The table of delegations of the cell's group; empty for none.
  auto SetDelegationTable(std::string aTable) -> void;
  // Written to that table with the next transaction; not repeated if that
  // fails.
  auto SetLoad(std::string aBytes) -> void;
  // The transaction for a batch. Only one transaction may be in flight.
  auto BatchCommit(const RecordBatch& aBatch) -> TableTransaction;
  // A transaction without a batch: shows that the owner is alive, or releases
  // the cell.
  auto HeartbeatCommit(bool aRelease) -> TableTransaction;
  auto OnOutcome(const TableCommitResult& aOutcome) -> RecorderResult;
  // The owner's row, read after a transaction with an unknown outcome.
  auto OnOwnerRead(const std::optional<StoredRow>& aRow) -> RecorderResult;

  auto IsCommitInFlight() const -> bool;
  auto MustReadOwner() const -> bool;
  auto Owner() const -> const OwnerRow&;

private:
  // Derives from the owner's row in the store which batch was recorded last and
  // whether the cell is still owned; takes the row over if it is.
  auto ResolveOwnerRow(const StoredRow& aRow) -> RecorderResult;
  // A transaction that writes the owner's row, if that is unchanged in the
  // store, and the learned state.
  auto NewCommit() -> TableTransaction;

  const CellRows rows;
  OwnerRow owner;
  // Of the owner's row in the store, as far as known.
  std::uint64_t ownerVersion;
  // The owner's row in the transaction in flight.
  std::optional<OwnerRow> ownerInFlight;
  // Encoded state to write next; empty for none.
  std::string learnedState;
  std::string sharedState;
  std::string load;
  std::string delegationTable;
  // The transaction in flight writes a batch.
  bool inFlightIsBatch = false;
  // The owner's row has to be read: the last outcome is unknown.
  bool mustReadOwner = false;
};

} // namespace gooseberry::cells

#endif
