#ifndef GOOSEBERRY_MODELSITE_H
#define GOOSEBERRY_MODELSITE_H

// What model sites have in common, in virtual time and with real processes.

#include "jobworker.h"

namespace gooseberry::fakes {

// The job with this number.
auto
NumberedJob(std::uint64_t aNumber) -> cells::JobId;

// What one run of a task would do. A twentieth of the runs fail, the same ones
// each time.
auto
PlanOfRun(const cells::JobSpec& aSpec,
          const WorkPlan& aPlan,
          const TaskName& aTask,
          std::uint32_t aRun) -> WorkPlan;

// A life of the worker on a machine; machines are dealt over the failure
// domains. Without its address and the time of its start.
auto
EntryOfMachine(int aMachine, int aLife, int aDomains, ServiceId aService)
  -> cells::WorkerEntry;

} // namespace gooseberry::fakes

#endif
