// Workers with more ends than they list at a time, in virtual time: many small
// tasks end while the store takes no records.

#include <criterion/criterion.h>

#include "longrunning.h"

using namespace gooseberry;
using namespace gooseberry::test;

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 4;
constexpr StoreTreatment kRefusing{ StoreTreatment::Mode::Refuses };
// The jobs come for so long, and their tasks end within half a second of this.
constexpr Millis kJobsCome = 6000ms;
constexpr Millis kTasksEnd = 7500ms;

auto
World(std::uint64_t aSeed, int aWorkers, std::size_t aCellWorkers)
  -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.seed = aSeed;
  options.workers = aWorkers;
  options.domains = 1;
  options.rackWorkers = 1;
  options.cellWorkers = aCellWorkers;
  options.capacity = { 64'000, 256'000, 0 };
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  return world;
}

// Jobs of 36 small tasks each; so many tasks in all. Returns when the first of
// them end.
auto
SubmitManyTasks(FleetWorld& aWorld, int aTasks) -> void
{
  constexpr int kWidth = 36;
  const auto jobs = (aTasks + kWidth - 1) / kWidth;
  const auto interval = kJobsCome / jobs;
  for (auto job = 0; job < jobs; ++job) {
    const auto duration =
      kTasksEnd - interval * job + Millis{ aWorld.Random()() % 500 };
    aWorld.Submit({ "payload", { { kWidth, { 100, 100, 0 }, 4s } } },
                  { duration });
    aWorld.RunFor(interval);
  }
  aWorld.RunFor(kTasksEnd - interval * jobs);
}

auto
Treat(FleetWorld& aWorld, StoreTreatment aTreatment) -> void
{
  for (auto instance = 0; instance < aWorld.Instances(); ++instance) {
    aWorld.Treat(instance, aTreatment);
  }
}

auto
StoreRefusesFor(FleetWorld& aWorld, Millis aTime) -> void
{
  Treat(aWorld, kRefusing);
  aWorld.After(aTime, [&aWorld] { Treat(aWorld, {}); });
}

auto
KillOwner(FleetWorld& aWorld) -> void
{
  const auto owner = aWorld.Owner();
  if (owner >= 0) {
    aWorld.Kill(owner);
    aWorld.After(2s, [&aWorld, owner] { aWorld.Start(owner); });
  }
}

// Nothing may run twice, and all has to be done.
auto
ExpectAllDone(FleetWorld& aWorld, std::uint64_t aSeed) -> void
{
  aWorld.RunFor(30s);
  cr_expect(aWorld.Judge().Doubled() == 0, "seed %d", static_cast<int>(aSeed));
  ExpectKept(aWorld, aSeed);
}

} // namespace

// Guards against: tasks run twice because their ends wait on the worker behind
// those that its list has room for.
Test(end_list, that_is_cut_doubles_nothing, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    for (const auto outage : { 900ms, 1700ms, 2600ms, 4500ms }) {
      const auto world = World(seed, 3, 400);
      SubmitManyTasks(*world, 1860);
      StoreRefusesFor(*world, outage);
      ExpectAllDone(*world, seed);
    }
  }
}

// Guards against the same where a new owner reads the lists.
Test(end_list, that_is_cut_doubles_nothing_after_a_takeover, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    for (const auto killedAfter : { 0ms, 300ms, 1500ms, 1900ms }) {
      const auto world = World(seed, 3, 400);
      SubmitManyTasks(*world, 1860);
      StoreRefusesFor(*world, 1700ms);
      world->RunFor(killedAfter);
      KillOwner(*world);
      ExpectAllDone(*world, seed);
    }
  }
}

// Guards against the same where starts and reports get no answer, so that stops
// have to settle them.
Test(end_list, that_is_cut_doubles_nothing_beside_lost_answers, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = World(seed, 3, 400);
    world->After(5500ms, [&world] { world->LoseWorkerAnswers(0.3); });
    SubmitManyTasks(*world, 1860);
    StoreRefusesFor(*world, 1700ms);
    world->RunFor(2500ms);
    world->LoseWorkerAnswers(0.0);
    ExpectAllDone(*world, seed);
  }
}

// Guards against the same for tasks that one cell runs for another.
Test(end_list, that_is_cut_doubles_nothing_of_other_cells, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = World(seed, 4, 2);
    SubmitManyTasks(*world, 2500);
    StoreRefusesFor(*world, 1700ms);
    world->RunFor(1000ms);
    if (seed % 2 == 0) {
      KillOwner(*world);
    }
    ExpectAllDone(*world, seed);
    cr_expect_gt(world->DelegationsWritten(), 0);
  }
}

// Guards against: the ends on a worker are never listed any more, because one
// before them belongs to a job whose record the store rejects.
Test(end_list, drains_behind_a_job_that_cannot_be_recorded, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = World(seed, 3, 400);
    const auto rejected =
      world->Submit({ "payload", { { 36, { 100, 100, 0 }, 1s } } }, { 1500ms });
    world->RunFor(1000ms);
    world->RejectRecordsOf(rejected);
    for (auto round = 0; round < 3; ++round) {
      SubmitManyTasks(*world, 1400);
      world->RunFor(3s);
    }
    world->RunFor(20s);
    cr_expect(world->Judge().Doubled() == 0, "seed %d", static_cast<int>(seed));
    const auto missing = world->Judge().Missing();
    cr_expect(missing.size() <= 1,
              "seed %d: %d jobs are not done",
              static_cast<int>(seed),
              static_cast<int>(missing.size()));
  }
}
