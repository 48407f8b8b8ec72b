#ifndef GOOSEBERRY_FLEETLOG_H
#define GOOSEBERRY_FLEETLOG_H

// Decision lines on standard output: key=value, written by a thread of its own,
// so that a reader that has stopped never holds up a decision.

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <oneapi/tbb/concurrent_queue.h>

#include "decisionlog.h"
#include "types.h"

namespace gooseberry::fleet {

struct LogLimits
{
  std::int64_t linesPerSecond = 2000;
  // Of the jobs that are followed, from 0 to 1.
  double shareOfJobs = 1.0;

  auto operator==(const LogLimits&) const -> bool = default;
};

// How many lines of each second are written: whole jobs are left out first, and
// the rest of the budget is kept for everything else.
class LogBudget
{
public:
  explicit LogBudget(LogLimits aLimits);

  // By its id alone, so that all instances follow the same jobs.
  auto Follows(const cells::JobId& aJob) const -> bool;
  // Takes a line; false if this second has no room left for it. aOfJob: the
  // line tells one of many steps of a job.
  auto Take(Time aNow, bool aOfJob) -> bool;
  // Lines left out in the second before, once for each second.
  auto TakeLeftOut() -> std::uint64_t;

private:
  const LogLimits limits;
  Time second{};
  std::int64_t taken = 0;
  std::uint64_t leftOut = 0;
  std::uint64_t leftOutBefore = 0;
};

class FleetLog : public cells::DecisionLog
{
public:
  FleetLog(std::string aInstance, LogLimits aLimits);
  FleetLog(const FleetLog&) = delete;
  auto operator=(const FleetLog&) -> FleetLog& = delete;
  // Writes what is queued, for a moment at most.
  ~FleetLog() override;

  auto Follows(const cells::JobId& aJob) const -> bool override;
  auto Write(const char* aEvent,
             std::initializer_list<cells::DecisionField> aFields)
    -> void override;
  // Lines that found no room.
  auto Dropped() const -> std::uint64_t;

private:
  using Lines = tbb::concurrent_bounded_queue<std::string>;

  static auto Run(Lines& aLines) -> void;
  auto Put(std::string aLine) -> void;

  const std::string instance;
  LogBudget budget;
  // Shared with the writer, which may outlive the log: whoever reads its output
  // may have stopped.
  std::shared_ptr<Lines> lines = std::make_shared<Lines>();
  std::atomic<std::uint64_t> dropped = 0;
  std::thread writer;
  std::future<void> written;
};

} // namespace gooseberry::fleet

#endif
