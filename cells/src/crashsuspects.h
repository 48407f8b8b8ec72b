#ifndef GOOSEBERRY_CRASHSUSPECTS_H
#define GOOSEBERRY_CRASHSUSPECTS_H

// Tasks that may have crashed their workers.

#include <cstdint>
#include <vector>

#include "job.h"

namespace gooseberry::cells {

// A task that may have crashed its worker.
struct Suspect
{
  TaskName task;
  WorkerId worker;
  // It had been started there a short time before.
  bool recent = false;
  // The only one of these, and the worker had confirmed its start.
  bool alone = false;
  // Among the likeliest ones.
  bool likely = false;
};

// Suspects of a worker whose lease has expired; it may have crashed, or not
// be reachable.
struct UnsettledLoss
{
  Time at{};
  std::int64_t workerStartUnixMs = 0;
  std::vector<Suspect> suspects;
};

} // namespace gooseberry::cells

#endif
