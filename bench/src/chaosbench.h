#ifndef GOOSEBERRY_CHAOSBENCH_H
#define GOOSEBERRY_CHAOSBENCH_H

// Many worlds with faults drawn from a seed, each judged by what the workers
// did. A world that is left in peace afterwards must finish all its work.

#include <cstdint>
#include <string>
#include <vector>

#include "taskjudge.h"

namespace gooseberry {

struct ChaosResult
{
  std::uint64_t seed = 0;
  std::vector<std::string> violations;
  std::size_t starts = 0;
  std::size_t finishes = 0;
  std::uint64_t signature = 0;
  // What the workers did, in the order in which they said so.
  std::vector<TaskEvent> events;
};

// One world of two minutes of faults and time to recover.
auto
RunChaosSeed(std::uint64_t aSeed) -> ChaosResult;

// gooseberryctl bench chaos [--seed N] [--seeds N] [--trace TASK]; prints the
// events of that task; 1 if a promise broke.
auto
RunChaosBench(const std::vector<std::string>& aWords) -> int;

} // namespace gooseberry

#endif
