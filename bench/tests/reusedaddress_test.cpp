// Workers that are lost for good while a worker of another machine starts at
// their address, in virtual time.

#include <criterion/criterion.h>

#include "longrunning.h"

using namespace gooseberry;
using namespace gooseberry::test;

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 6;
// What the clocks of the later workers show at their start: they are behind
// those of the lost ones, or ahead.
constexpr std::array<Millis, 2> kClocks{ 1s, 3600s };
// A long-running task has to run again so long after its last run.
constexpr Millis kRunsAgain = 9s;
// The same where the owner is lost as well.
constexpr Millis kRunsAgainAfterTakeover = 14s;

auto
WorldOfSeed(std::uint64_t aSeed) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.seed = aSeed;
  return WorldWithLongRunningTasks(options);
}

auto
SubmitShortJob(FleetWorld& aWorld) -> void
{
  aWorld.Submit({ "payload", { { 12, { 1000, 1000, 0 }, 900ms } } }, { 900ms });
}

auto
ExpectAllRun(FleetWorld& aWorld, std::uint64_t aSeed) -> void
{
  const auto waiting = aWorld.Judge().WaitingTasks().size();
  cr_expect(waiting == 0,
            "seed %d: %d tasks wait",
            static_cast<int>(aSeed),
            static_cast<int>(waiting));
}

} // namespace

// Guards against: the tasks of a lost worker never run again, or run twice,
// because a worker of another machine answers at its address.
Test(reused_address, is_no_sign_of_the_lost_worker, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    for (const auto clock : kClocks) {
      const auto world = WorldOfSeed(seed);
      for (auto worker = 0; worker < 4; ++worker) {
        SubmitShortJob(*world);
        world->RunFor(100ms);
        world->ReuseAddress(worker, 200ms + 1100ms * worker, clock);
        world->RunFor(kRunsAgain);
        ExpectAllRun(*world, seed);
      }
      ExpectKept(*world, seed);
    }
  }
}

// Guards against the same for several workers at a time.
Test(reused_address, of_several_workers_at_a_time, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    const auto world = WorldOfSeed(seed);
    SubmitShortJob(*world);
    world->RunFor(100ms);
    for (auto worker = 0; worker < 4; ++worker) {
      world->ReuseAddress(
        worker, 1500ms * worker, kClocks[static_cast<std::size_t>(worker % 2)]);
    }
    world->RunFor(kRunsAgain);
    ExpectAllRun(*world, seed);
    ExpectKept(*world, seed);
  }
}

// Guards against the same where the owner is lost too, before or after the
// later worker has started.
Test(reused_address, beside_a_change_of_the_owner, .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= kSeeds; ++seed) {
    for (const auto clock : kClocks) {
      const auto world = WorldOfSeed(seed);
      for (auto worker = 0; worker < 3; ++worker) {
        SubmitShortJob(*world);
        world->RunFor(100ms);
        world->ReuseAddress(worker, 1500ms, clock);
        world->RunFor(1100ms * worker);
        const auto owner = world->Owner();
        if (owner >= 0) {
          world->Kill(owner);
          world->After(2s, [&world, owner] { world->Start(owner); });
        }
        world->RunFor(kRunsAgainAfterTakeover);
        ExpectAllRun(*world, seed);
      }
      ExpectKept(*world, seed);
    }
  }
}
