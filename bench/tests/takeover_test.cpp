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

namespace {

// A fleet on links of 10 Mbit/s whose store holds as many jobs of 1,200 bytes.
auto
CrowdedWorld(int aJobs, std::uint64_t aSeed) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.linkBytesPerSecond = 1'250'000;
  options.seed = aSeed;
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  auto spec = cells::JobSpec{ std::string(1200, 'x') };
  spec.steps = { { 1, { 500, 500, 0 }, 200ms } };
  constexpr auto kPerSecond = 50;
  for (auto job = 0; job < aJobs; ++job) {
    world->Submit(spec, { 200ms });
    if (job % kPerSecond == 0) {
      world->RunFor(1s);
    }
  }
  return world;
}

} // namespace

// Guards against: candidates take a cell from each other while each of them
// still reads its rows, and nobody ever starts anything.
Test(takeover, ends_though_the_rows_take_a_slow_link_long)
{
  for (const auto jobs : { 1000, 2000, 4000 }) {
    const auto world = CrowdedWorld(jobs, static_cast<std::uint64_t>(jobs));
    const auto owner = world->Owner();
    cr_assert_geq(owner, 0);
    world->Kill(owner);
    world->After(3500ms, [&world, owner] { world->Start(owner); });
    // 1 s to notice, 2 s for each 1,000 jobs, and as much again.
    world->RunFor(4s + 4s * jobs / 1000);
    cr_expect_geq(world->Owner(), 0, "%d jobs", jobs);
    cr_expect(world->RunsNewJobs(), "%d jobs", jobs);
  }
}

// The same if each new owner is killed while it reads.
Test(takeover, ends_after_owners_were_killed_while_they_read)
{
  const auto world = CrowdedWorld(2000, 5);
  for (auto round = 0; round < 3; ++round) {
    const auto owner = world->Owner();
    const auto victim = owner >= 0 ? owner : round;
    world->Kill(victim);
    world->After(1500ms, [&world, victim] { world->Start(victim); });
    world->RunFor(2500ms);
  }
  world->RunFor(14s);
  cr_expect_geq(world->Owner(), 0);
  cr_expect(world->RunsNewJobs());
}
