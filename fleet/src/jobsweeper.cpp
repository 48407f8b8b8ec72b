#include "jobsweeper.h"

#include "tunables_fleet.h"

namespace gooseberry::fleet {

JobSweeper::JobSweeper(Loop& aLoop,
                       cells::TableClient& aTables,
                       cells::CellRows aRows,
                       std::function<void(const cells::EndedJob&)> aOnSwept)
  : loop(aLoop)
  , tables(aTables)
  , rows(std::move(aRows))
  , onSwept(std::move(aOnSwept))
{
}

auto
JobSweeper::Add(const std::vector<cells::EndedJob>& aJobs) -> void
{
  const auto idle = this->jobQueue.empty();
  this->jobQueue.insert(this->jobQueue.end(), aJobs.begin(), aJobs.end());
  if (idle && !this->jobQueue.empty()) {
    this->StartNext();
  }
}

auto
JobSweeper::StartNext() -> void
{
  const auto key = cells::CellRows::Submission(this->jobQueue.front().id);
  this->tables.Read(
    cells::SingleRowRange(key),
    kStoreTimeout,
    [weak = this->weak_from_this()](const cells::TableReadResult& aOutcome) {
      if (const auto self = weak.lock()) {
        self->OnSubmissionRead(aOutcome);
      }
    });
}

auto
JobSweeper::OnSubmissionRead(const cells::TableReadResult& aOutcome) -> void
{
  if (aOutcome.status != cells::TableStatus::Done) {
    this->ScheduleNext(kSweepRetryDelay);
    return;
  }
  if (aOutcome.rows.empty()) {
    // An earlier attempt removed it, but its answer was lost.
    this->FinishJob();
    return;
  }
  const auto& row = aOutcome.rows.front();
  auto reason = std::string{};
  const auto job = cells::DecodeJobRow(row.value, reason);
  if (!job || job->cell != this->rows.cell ||
      job->acceptedUnixMs != this->jobQueue.front().acceptedUnixMs) {
    this->FinishJob();
    return;
  }
  this->RemoveRows(row.version);
}

auto
JobSweeper::RemoveRows(std::uint64_t aSubmissionVersion) -> void
{
  const auto& id = this->jobQueue.front().id;
  const auto submission = cells::CellRows::Submission(id);
  auto commit = cells::TableTransaction{};
  commit.conditions.push_back({ submission, aSubmissionVersion });
  commit.removals = { submission, cells::CellRows::Cancellation(id) };
  this->tables.Commit(
    commit,
    kStoreTimeout,
    [weak = this->weak_from_this()](const cells::TableCommitResult& aOutcome) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aOutcome.status == cells::TableStatus::Done) {
        self->FinishJob();
      } else if (aOutcome.status == cells::TableStatus::Rejected) {
        self->jobQueue.push_back(self->jobQueue.front());
        self->jobQueue.pop_front();
        self->ScheduleNext(kSweepRejectedDelay);
      } else {
        // Reading the row again shows whether it was removed.
        self->ScheduleNext(kSweepRetryDelay);
      }
    });
}

auto
JobSweeper::FinishJob() -> void
{
  const auto job = this->jobQueue.front();
  this->jobQueue.pop_front();
  this->onSwept(job);
  if (!this->jobQueue.empty()) {
    this->ScheduleNext(kSweepInterval);
  }
}

auto
JobSweeper::ScheduleNext(Millis aDelay) -> void
{
  this->timer = this->loop.After(aDelay, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->StartNext();
    }
  });
}

} // namespace gooseberry::fleet
