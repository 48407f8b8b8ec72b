#ifndef GOOSEBERRY_FLEETLOG_H
#define GOOSEBERRY_FLEETLOG_H

// Decision log on standard output, in lines of key=value. A thread of its own
// writes them, so that a blocked reader of the output never delays a decision.

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
  std::int64_t linesPerSecond = 500;
  // Largest share of the jobs whose single decisions are logged, from 0 to 1.
  double shareOfJobs = 1.0;

  auto operator==(const LogLimits&) const -> bool = default;
};

// Limits the log. Single decisions are logged for a share of the jobs only, so
// that whole jobs are left out rather than some lines of each. The number of
// lines per second is bounded, and part of it is reserved for lines other than
// the frequent events of jobs. The share is halved after each second in which
// lines were refused, and doubled after each with few lines.
class LogBudget
{
public:
  explicit LogBudget(LogLimits aLimits);

  // Whether the job belongs to the share. Depends on its id and the share
  // alone, so that all instances with the same share log the same jobs, and one
  // with a larger share logs those as well.
  auto IsSampled(const cells::JobId& aJob) const -> bool;
  auto ShareOfJobs() const -> double;
  // Counts a line against the budget of this second; false if none is left for
  // it. aIsFrequentEvent: the line is one of many about the same job, and may
  // not use the reserved part.
  auto TryTake(Time aNow, bool aIsFrequentEvent) -> bool;
  // Lines refused in the seconds that have ended since the last call.
  auto TakeRefusedLines() -> std::uint64_t;

private:
  auto EndSecond(Time aNow) -> void;

  const LogLimits limits;
  double shareOfJobs;
  Time secondStart{};
  std::int64_t linesTaken = 0;
  std::uint64_t refusedThisSecond = 0;
  std::uint64_t refusedBefore = 0;
};

class FleetLog : public cells::DecisionLog
{
public:
  FleetLog(std::string aInstance, LogLimits aLimits);
  FleetLog(const FleetLog&) = delete;
  auto operator=(const FleetLog&) -> FleetLog& = delete;
  // Waits until the queued lines are written, but not longer than a short time
  // limit.
  ~FleetLog() override;

  auto IsSampled(const cells::JobId& aJob) const -> bool override;
  auto Write(const char* aEvent,
             std::initializer_list<cells::DecisionField> aFields)
    -> void override;
  // Lines dropped so far, because the budget was used up or the queue was full.
  auto DroppedLines() const -> std::uint64_t;

private:
  using LineQueue = tbb::concurrent_bounded_queue<std::string>;

  static auto RunWriter(LineQueue& aLines) -> void;
  auto Enqueue(std::string aLine) -> void;

  const std::string instance;
  LogBudget budget;
  // Shared with the writer thread, which outlives this object if the reader of
  // the output is blocked.
  std::shared_ptr<LineQueue> lineQueue = std::make_shared<LineQueue>();
  std::atomic<std::uint64_t> droppedLines = 0;
  std::thread writer;
  std::future<void> writerDone;
};

} // namespace gooseberry::fleet

#endif
