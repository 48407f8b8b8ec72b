#ifndef GOOSEBERRY_MODELSITE_H
#define GOOSEBERRY_MODELSITE_H

// What model sites have in common, in virtual time and with real processes.

#include "jobworker.h"
#include "site.h"

namespace gooseberry::fakes {

// Callers reach the one queue of a model site at this host, below this path;
// its jobs run on workers of this service.
inline constexpr const char* kModelHost = "jobs.example";
inline constexpr const char* kModelPrefix = "/q/";
inline constexpr const char* kModelService = "pool";

auto
ConfigOfModelSite() -> cells::SiteConfig;

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
EntryOfMachine(int aMachine, int aLife, int aDomains) -> cells::WorkerEntry;

} // namespace gooseberry::fakes

#endif
