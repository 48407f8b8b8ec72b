#ifndef GOOSEBERRY_POOLLOAD_H
#define GOOSEBERRY_POOLLOAD_H

// The load of a site of hundreds of workers: lasting jobs that arrive before
// the cells' loads are known, then jobs of wide steps, as they are common on
// large sites.

#include "faultyfleet.h"

namespace gooseberry::fakes {

// What the workers of such a site hold.
inline constexpr Resources kPoolWorkerCapacity{ 64000, 256000, 0 };

// Other jobs than lasting ones arrive from this time on.
inline constexpr Millis kPoolOthersBegin{ 4000 };

struct PoolLoad
{
  // Processors of all workers.
  double cores = 0.0;
  // How long jobs arrive, after the lasting ones.
  Millis time{ 20000 };
  // Processors that lasting tasks reserve, as a part of all. Tasks of 13 cores
  // on workers of 64 can't reserve more than 0.81.
  double lasting = 0.7;
  // Processors that short tasks reserve on average, as a part of those that are
  // left.
  double load = 0.35;
  // Best-effort tasks need this part of the processors that lasting tasks leave
  // idle.
  double bestEffort = 0.5;
};

// Submits jobs from now on. The fleet has to outlive the load.
auto
SubmitPoolLoad(FaultyFleet& aFleet, const PoolLoad& aLoad) -> void;

} // namespace gooseberry::fakes

#endif
