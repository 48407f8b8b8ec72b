// Leases across changes of a cell's owner, in virtual time.

#include <criterion/criterion.h>

#include "longrunning.h"

using namespace gooseberry;
using namespace gooseberry::test;

namespace {

using namespace std::chrono_literals;

constexpr StoreTreatment kRefusing{ StoreTreatment::Mode::Refuses };

auto
BusyWorld(std::uint64_t aSeed) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.machinesReturn = false;
  options.seed = aSeed;
  return WorldWithLongRunningTasks(options);
}

constexpr int kWorkersOfOwner = 4;

// The owner loses the store and all workers but the first few, which nobody
// else reaches. So it does not learn of its successor.
auto
CutOffWithSomeWorkers(FleetWorld& aWorld, int aOwner) -> void
{
  for (auto instance = 0; instance < aWorld.Instances(); ++instance) {
    for (auto worker = 0; worker < aWorld.Workers(); ++worker) {
      if ((instance == aOwner) != (worker < kWorkersOfOwner)) {
        aWorld.CutLink(instance, worker, true);
      }
    }
  }
  aWorld.Treat(aOwner, kRefusing);
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
    CutOffWithSomeWorkers(*world, world->Owner());
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
    for (auto worker = 0; worker < kWorkersOfOwner; ++worker) {
      world->CutWorker(worker, true);
    }
    // Long enough to be noticed, and over before the leases are.
    world->RunFor(2800ms);
    const auto first = world->Owner();
    world->Restart(first);
    for (auto worker = 0; worker < kWorkersOfOwner; ++worker) {
      world->CutWorker(worker, false);
    }
    while (world->Owner() < 0 || world->Owner() == first) {
      world->RunFor(10ms);
    }
    CutOffWithSomeWorkers(*world, world->Owner());
    world->RunFor(20s);
    ExpectKept(*world, seed);
  }
}
