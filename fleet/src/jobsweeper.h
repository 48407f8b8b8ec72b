#ifndef GOOSEBERRY_JOBSWEEPER_H
#define GOOSEBERRY_JOBSWEEPER_H

// Removes what callers wrote of jobs that ended long ago, so that the store and
// the time of a takeover stay bounded. That goes under the condition that the
// submission is the one that was read: whoever submits the id anew in the
// meantime keeps what was stored. Belongs to the event loop.

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
  // aSwept: the submission is gone, or is another job's of the same id.
  JobSweeper(Loop& aLoop,
             cells::TablePort& aTables,
             cells::CellRows aRows,
             std::function<void(const cells::EndedJob&)> aSwept);

  auto Add(const std::vector<cells::EndedJob>& aJobs) -> void;

private:
  auto Next() -> void;
  auto OnRow(const cells::RowsOutcome& aOutcome) -> void;
  auto Remove(std::uint64_t aVersion) -> void;
  auto Done() -> void;
  auto Later(Millis aDelay) -> void;

  Loop& loop;
  cells::TablePort& tables;
  const cells::CellRows rows;
  const std::function<void(const cells::EndedJob&)> swept;
  // The first one is being removed.
  std::deque<cells::EndedJob> waiting;
  TimerHandle timer;
};

} // namespace gooseberry::fleet

#endif
