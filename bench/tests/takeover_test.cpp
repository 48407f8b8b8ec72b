// Leases across changes of a cell's owner, in virtual time.

#include <criterion/criterion.h>

#include "fleetworld.h"

using namespace gooseberry;

namespace {

using namespace std::chrono_literals;

constexpr StoreTreatment kRefusing{ StoreTreatment::Mode::Refuses };

// A fleet that runs long-running tasks on all of its workers.
auto
BusyWorld(std::uint64_t aSeed) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.machinesReturn = false;
  options.seed = aSeed;
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  auto step = cells::StepSpec{ 24, { 4000, 1000, 0 }, 500ms };
  step.longRunning = true;
  world->Submit({ "payload", { step } }, { 600s });
  world->RunFor(6s);
  cr_assert_eq(world->Judge().WaitingTasks().size(), 0);
  return world;
}

auto
ExpectKept(FleetWorld& aWorld, std::uint64_t aSeed) -> void
{
  aWorld.Judge().Finish();
  for (const auto& violation : aWorld.Judge().Violations()) {
    cr_expect(false, "seed %d: %s", static_cast<int>(aSeed), violation.c_str());
  }
}

} // namespace

// Guards against: a planned stop ends all tasks of a cell, because its owner
// grants no lease while the store refuses to record the release.
Test(takeover,
     planned_stop_interrupts_nothing_while_the_store_refuses,
     .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 4; ++seed) {
    const auto world = BusyWorld(seed);
    for (auto instance = 0; instance < world->Instances(); ++instance) {
      world->Treat(instance, kRefusing);
    }
    world->Restart(world->Owner());
    for (auto second = 0; second < 6; ++second) {
      world->RunFor(1s);
      cr_expect_eq(world->Judge().WaitingTasks().size(), 0);
    }
    for (auto instance = 0; instance < world->Instances(); ++instance) {
      world->Treat(instance, {});
    }
    for (auto second = 0; second < 10; ++second) {
      world->RunFor(1s);
      cr_expect_eq(world->Judge().WaitingTasks().size(), 0);
    }
    ExpectKept(*world, seed);
  }
}

// Guards against: a task runs twice because the new owner does not wait for the
// leases that its predecessor, which has lost the store alone, still grants.
Test(takeover,
     waits_for_leases_of_an_owner_that_has_lost_the_store,
     .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 8; ++seed) {
    const auto world = BusyWorld(seed);
    const auto first = world->Owner();
    for (auto instance = 0; instance < world->Instances(); ++instance) {
      for (auto worker = 0; instance != first && worker < 4; ++worker) {
        world->CutLink(instance, worker, true);
      }
    }
    world->Treat(first, kRefusing);
    world->RunFor(20s);
    ExpectKept(*world, seed);
  }
}

// Guards against: a task runs twice because the owner's row lists its worker as
// silent, with the end of an old lease, while an owner in between has extended
// the lease.
Test(takeover,
     waits_for_leases_of_workers_that_were_silent_before,
     .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 8; ++seed) {
    const auto world = BusyWorld(seed);
    for (auto worker = 0; worker < 4; ++worker) {
      world->CutWorker(worker, true);
    }
    world->RunFor(3500ms);
    world->Kill(world->Owner());
    for (auto worker = 0; worker < 4; ++worker) {
      world->CutWorker(worker, false);
    }
    while (world->Owner() < 0) {
      world->RunFor(10ms);
    }
    const auto second = world->Owner();
    world->Treat(second, kRefusing);
    for (auto instance = 0; instance < world->Instances(); ++instance) {
      for (auto worker = 0; instance != second && worker < 4; ++worker) {
        world->CutLink(instance, worker, true);
      }
    }
    world->RunFor(20s);
    ExpectKept(*world, seed);
  }
}
