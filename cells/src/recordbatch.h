#ifndef GOOSEBERRY_RECORDBATCH_H
#define GOOSEBERRY_RECORDBATCH_H

// Batches of records that the owner of a cell writes to the store.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "job.h"
#include "workerslot.h"

namespace gooseberry::cells {

// A job whose rows in the store may be removed.
struct EndedJob
{
  JobId id;
  // Distinguishes the job from a later one with the same id.
  std::int64_t acceptedUnixMs = 0;

  auto operator==(const EndedJob&) const -> bool = default;
};

// Records that are written in one transaction.
struct RecordBatch
{
  std::uint64_t number = 0;
  std::vector<std::pair<JobId, std::string>> records;
  std::vector<std::pair<RecordContinuation, std::string>> continuations;
  // Records to delete.
  std::vector<JobId> removals;
  std::vector<RecordContinuation> continuationRemovals;
  // Rows of the table of delegations to write and to delete, by key.
  std::vector<std::pair<std::string, std::string>> delegationPuts;
  std::vector<std::string> delegationRemovals;

  auto operator==(const RecordBatch&) const -> bool = default;
};

// Rows that the batch writes or deletes.
auto
EntriesOf(const RecordBatch& aBatch) -> std::size_t;

// Bytes of the rows that the batch writes.
auto
BytesOf(const RecordBatch& aBatch) -> std::size_t;

// What a batch covers; needed when its outcome is known.
struct BatchContents
{
  std::vector<JobId> jobs;
  std::vector<JobState> states;
  // Rows of each job's record after the first one, and a hash of its rows.
  std::vector<std::uint32_t> continuationRows;
  std::vector<std::size_t> recordHashes;
  std::vector<RunRef> plannedRuns;
  std::vector<UnrecordedEnd> ends;
  std::vector<JobId> removedRecords;
  std::vector<RecordContinuation> removedContinuations;
  std::vector<std::pair<JobId, std::uint64_t>> delegations;
  std::vector<std::pair<JobId, std::uint64_t>> closedDelegations;
  std::vector<std::string> removedReports;
  // Jobs of which some rows did not fit into the batch.
  std::vector<JobId> unfinishedJobs;
};

// A job whose record the store rejected.
struct RejectedRecord
{
  Time retryAt{};
  Millis delay{ 0 };
  std::size_t hash = 0;
  // The newest batch at the time of the rejection.
  std::uint64_t lastBatch = 0;
};

} // namespace gooseberry::cells

#endif
