// Tasks that crash the workers that start them, in virtual time.

#include <criterion/criterion.h>

#include "longrunning.h"

using namespace gooseberry;
using namespace gooseberry::test;

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 8;

auto
World(std::uint64_t aSeed, std::size_t aCellWorkers = 400)
  -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.seed = aSeed;
  options.workers = 24;
  options.cellWorkers = aCellWorkers;
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  return world;
}

// Submits a job each 150 to 250 ms for aTime; each tenth crashes its worker.
auto
SubmitJobs(FleetWorld& aWorld, Millis aTime) -> void
{
  const auto until = aWorld.Now() + aTime;
  for (auto number = 0; aWorld.Now() < until; ++number) {
    constexpr int kEach = 10;
    auto plan = fakes::WorkPlan{ 60ms };
    plan.crashes = number % kEach == 0;
    if (!plan.crashes) {
      plan.duration = 400ms;
    }
    aWorld.Submit({ "payload", { { 1, { 1000, 1000, 0 }, 400ms } } }, plan);
    aWorld.RunFor(Millis{ std::uniform_int_distribution<std::int64_t>{
      150, 250 }(aWorld.Random()) });
  }
}

} // namespace

// Guards against: a task crashes one worker after the other.
Test(crashing_task, is_given_up, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = World(seed);
    SubmitJobs(*world, 10s);
    world->RunFor(30s);
    ExpectKept(*world, seed);
  }
}

// Guards against: tasks that run beside one that crashes workers are given up
// with it, or keep it from being found out.
Test(crashing_task, is_told_from_those_beside_it, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = World(seed);
    world->Submit(LongRunningJob(), { 600s });
    world->RunFor(4s);
    SubmitJobs(*world, 10s);
    world->RunFor(40s);
    ExpectKept(*world, seed);
  }
}

// Guards against: a task that crashes workers is forgotten with each change of
// the owner, or when another cell runs it.
Test(crashing_task, is_known_to_the_next_owner, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = World(seed, 8);
    for (auto round = 0; round < 4; ++round) {
      SubmitJobs(*world, 3s);
      const auto owner = world->Owner();
      if (owner >= 0 && round % 2 == 0) {
        world->Kill(owner);
        world->After(2s, [&world, owner] { world->Start(owner); });
      } else if (owner >= 0) {
        world->Restart(owner);
      }
    }
    world->RunFor(40s);
    ExpectKept(*world, seed);
  }
}
