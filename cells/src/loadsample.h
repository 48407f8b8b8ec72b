#ifndef GOOSEBERRY_LOADSAMPLE_H
#define GOOSEBERRY_LOADSAMPLE_H

// Samples and averages of the load of a cell.

#include <cstddef>
#include <cstdint>

#include "types.h"

namespace gooseberry::cells {

// Reserved and waiting work at one time, in thousandths of a core.
struct LoadSample
{
  std::size_t usableWorkers = 0;
  std::size_t workersOverTarget = 0;
  Resources capacity;
  Resources room;
  std::int64_t longRunning = 0;
  std::int64_t bestEffort = 0;
  // What best-effort tasks may still use.
  std::int64_t idle = 0;
  // Of the worker with the most, now and once its tasks that are not
  // long-running have ended.
  std::int64_t largestRoom = 0;
  std::int64_t largestLongRunningRoom = 0;
  std::size_t waitingTasks = 0;
  std::int64_t waitingLongRunning = 0;
  std::int64_t waitingReserved = 0;
  std::int64_t waitingBestEffort = 0;
  // The parts of the last two that can still be on time.
  std::int64_t onTimeReserved = 0;
  std::int64_t onTimeBestEffort = 0;
};

// Means over kLoadAverageTime.
struct LoadAverages
{
  double reservedDemand = 0.0;
  double idle = 0.0;
  double bestEffortDemand = 0.0;
};

} // namespace gooseberry::cells

#endif
