#ifndef GOOSEBERRY_LONGRUNNING_H
#define GOOSEBERRY_LONGRUNNING_H

// What tests on fleets with long-running tasks share.

#include <criterion/criterion.h>

#include "fleetworld.h"

namespace gooseberry::test {

// Half of the capacity of twelve workers.
inline auto
LongRunningJob() -> cells::JobSpec
{
  auto step = cells::StepSpec{ 24, { 4000, 1000, 0 }, Millis{ 500 } };
  step.longRunning = true;
  return { "payload", { step } };
}

// A fleet that has run the tasks of a long-running job for some seconds.
inline auto
WorldWithLongRunningTasks(const FleetWorldOptions& aOptions)
  -> std::unique_ptr<FleetWorld>
{
  auto world = std::make_unique<FleetWorld>(aOptions);
  world->RunFor(Millis{ 8000 });
  world->Submit(LongRunningJob(), { Millis{ 600'000 } });
  world->RunFor(Millis{ 6000 });
  cr_assert_eq(world->Judge().WaitingTasks().size(), 0);
  return world;
}

inline auto
ExpectKept(FleetWorld& aWorld, std::uint64_t aSeed) -> void
{
  aWorld.Judge().Finish();
  for (const auto& violation : aWorld.Judge().Violations()) {
    cr_expect(false, "seed %d: %s", static_cast<int>(aSeed), violation.c_str());
  }
}

} // namespace gooseberry::test

#endif
