#ifndef GOOSEBERRY_PENDINGCALL_H
#define GOOSEBERRY_PENDINGCALL_H

// Calls to workers that have not been answered.

#include <cstdint>

#include "workercall.h"
#include "workerslot.h"

namespace gooseberry::cells {

// A call that has not been answered.
struct PendingCall
{
  CallKind kind = CallKind::Renew;
  WorkerId worker;
  // Orders on a run: that run.
  RunRef run;
  // The worker's clock showed at least this when the call was sent, unless
  // the worker was restarted since its clock was read.
  std::int64_t clockLowerBound = 0;
  // Renew: the end that it acknowledges.
  std::uint64_t acknowledgedEnd = 0;
  // Renew: only the known process of the worker may get it.
  bool isForProcess = false;
  // The worker may take a lease from it.
  bool grantsLease = false;
};

} // namespace gooseberry::cells

#endif
