#ifndef GOOSEBERRY_JOBSWEEPER_H
#define GOOSEBERRY_JOBSWEEPER_H

// Removes the submission and cancellation rows of jobs that ended long ago, so
// that the size of the store and the time of a takeover stay bounded. The
// removal is conditional on the version of the submission that was read, so
// that a job submitted under the same id in the meantime keeps its row. Runs on
// the event loop.

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "cell.h"
#include "loop.h"
#include "recorder.h"
#include "tableport.h"

namespace gooseberry::fleet {

class JobSweeper : public std::enable_shared_from_this<JobSweeper>
{
public:
  // aOnSwept is called for each job once its submission is gone or found to be
  // that of another job with the same id.
  JobSweeper(Loop& aLoop,
             cells::TableClient& aTables,
             cells::CellRows aRows,
             std::function<void(const cells::EndedJob&)> aOnSwept);

  auto Add(const std::vector<cells::EndedJob>& aJobs) -> void;

private:
  auto StartNext() -> void;
  auto OnSubmissionRead(const cells::TableReadResult& aOutcome) -> void;
  auto RemoveRows(std::uint64_t aSubmissionVersion) -> void;
  auto FinishJob() -> void;
  auto ScheduleNext(Millis aDelay) -> void;

  Loop& loop;
  cells::TableClient& tables;
  const cells::CellRows rows;
  const std::function<void(const cells::EndedJob&)> onSwept;
  // Jobs whose rows are to be removed; those of the first are being removed.
  std::deque<cells::EndedJob> jobQueue;
  TimerHandle timer;
};

} // namespace gooseberry::fleet

#endif
