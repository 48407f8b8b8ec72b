#include "jobsweeper.h"

#include "tunables_fleet.h"

namespace gooseberry::fleet {

JobSweeper::JobSweeper(Loop& aLoop,
                       cells::TablePort& aTables,
                       cells::CellRows aRows,
                       std::function<void(const cells::EndedJob&)> aOnSwept)
  : loop(aLoop)
  , tables(aTables)
  , rows(std::move(aRows))
  , swept(std::move(aOnSwept))
{
}

auto
JobSweeper::Add(const std::vector<cells::EndedJob>& aJobs) -> void
{
  const auto idle = this->waiting.empty();
  this->waiting.insert(this->waiting.end(), aJobs.begin(), aJobs.end());
  if (idle && !this->waiting.empty()) {
    this->Next();
  }
}

auto
JobSweeper::Next() -> void
{
  const auto key = cells::CellRows::Submission(this->waiting.front().id);
  this->tables.Read(
    cells::RangeOf(key),
    kStoreTimeout,
    [weak = this->weak_from_this()](const cells::RowsOutcome& aOutcome) {
      if (const auto self = weak.lock()) {
        self->OnRow(aOutcome);
      }
    });
}

auto
JobSweeper::OnRow(const cells::RowsOutcome& aOutcome) -> void
{
  if (aOutcome.end != cells::TableEnd::Done) {
    this->Later(kSweepRetry);
    return;
  }
  if (aOutcome.rows.empty()) {
    // An earlier attempt removed it, but its answer was lost.
    this->Done();
    return;
  }
  const auto& row = aOutcome.rows.front();
  auto reason = std::string{};
  const auto job = cells::DecodeJobRow(row.value, reason);
  if (!job || job->cell != this->rows.cell ||
      job->acceptedUnixMs != this->waiting.front().acceptedUnixMs) {
    this->Done();
    return;
  }
  this->Remove(row.version);
}

auto
JobSweeper::Remove(std::uint64_t aSubmissionVersion) -> void
{
  const auto& id = this->waiting.front().id;
  const auto submission = cells::CellRows::Submission(id);
  auto commit = cells::RowsCommit{};
  commit.conditions.push_back({ submission, aSubmissionVersion });
  commit.removals = { submission, cells::CellRows::Cancellation(id) };
  this->tables.Commit(
    commit,
    kStoreTimeout,
    [weak = this->weak_from_this()](const cells::CommitOutcome& aOutcome) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aOutcome.end == cells::TableEnd::Done) {
        self->Done();
      } else {
        // Reading the row again shows whether it was removed.
        self->Later(kSweepRetry);
      }
    });
}

auto
JobSweeper::Done() -> void
{
  const auto job = this->waiting.front();
  this->waiting.pop_front();
  this->swept(job);
  if (!this->waiting.empty()) {
    this->Later(kSweepGap);
  }
}

auto
JobSweeper::Later(Millis aDelay) -> void
{
  this->timer = this->loop.After(aDelay, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Next();
    }
  });
}

} // namespace gooseberry::fleet
