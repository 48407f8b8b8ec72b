// A queue whose workers an adviser chooses, on a whole fleet.

#include <criterion/criterion.h>

#include "fleetworld.h"

using namespace gooseberry;

namespace {

using namespace std::chrono_literals;

auto
AdvisedWorld() -> std::unique_ptr<FleetWorld>
{
  auto world = std::make_unique<FleetWorld>(FleetWorldOptions{});
  world->RunFor(6s);
  world->SetAdvised(true);
  world->RunFor(2s);
  return world;
}

auto
SubmitSome(FleetWorld& aWorld, int aJobs) -> void
{
  auto spec = cells::JobSpec{ "payload" };
  spec.steps = { { 3, { 2000, 2000, 0 }, 400ms },
                 { 5, { 2000, 2000, 0 }, 600ms } };
  spec.steps[1].dependencies = { 0 };
  for (auto job = 0; job < aJobs; ++job) {
    aWorld.Submit(spec, { 400ms });
  }
}

auto
ExpectKept(FleetWorld& aWorld) -> void
{
  aWorld.Judge().Finish();
  for (const auto& violation : aWorld.Judge().Violations()) {
    cr_expect(false, "%s", violation.c_str());
  }
}

} // namespace

Test(advised, jobs_are_done_and_few_tickets_come_too_late)
{
  const auto world = AdvisedWorld();
  for (auto second = 0; second < 10; ++second) {
    SubmitSome(*world, 2);
    world->RunFor(1s);
  }
  world->RunFor(20s);
  cr_expect_leq(world->RefusedTickets(), world->Judge().Starts() / 50);
  ExpectKept(*world);
}

Test(advised, jobs_wait_for_an_adviser_that_is_away)
{
  const auto world = AdvisedWorld();
  world->SetAdviser(false);
  const auto before = world->Judge().Starts();
  SubmitSome(*world, 5);
  world->RunFor(8s);
  cr_expect_eq(world->Judge().Starts(), before);
  world->SetAdviser(true);
  world->RunFor(15s);
  ExpectKept(*world);
}

Test(advised, a_new_owner_asks_for_itself)
{
  const auto world = AdvisedWorld();
  SubmitSome(*world, 8);
  world->RunFor(500ms);
  const auto owner = world->Owner();
  cr_assert_geq(owner, 0);
  world->Kill(owner);
  world->RunFor(30s);
  ExpectKept(*world);
}
