// A queue whose workers an adviser chooses, on a whole fleet.

#include <algorithm>

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

namespace {

struct SlowAdviser
{
  AdviserModel model;
  int tasks = 36;
  bool gang = false;
  // From the submission on.
  Millis within{ 20000 };
  std::uint64_t seed = 1;
};

// Enough workers for any step, of which each takes one task.
auto
LargeWorld(std::uint64_t aSeed) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.workers = 100;
  options.seed = aSeed;
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  return world;
}

auto
SubmitWide(FleetWorld& aWorld, int aTasks, bool aGang) -> cells::JobId
{
  auto spec = cells::JobSpec{ "payload" };
  spec.steps = {
    { static_cast<std::uint32_t>(aTasks), { 10000, 2000, 0 }, 400ms }
  };
  spec.steps[0].gang = aGang;
  return aWorld.Submit(spec, { 400ms });
}

// Whether a job for which the adviser is asked gets done in time.
auto
IsDoneInTime(const SlowAdviser& aCase) -> bool
{
  const auto world = LargeWorld(aCase.seed);
  world->SetAdviserModel(aCase.model);
  world->RunFor(2s);
  SubmitWide(*world, aCase.tasks, aCase.gang);
  const auto tasks = static_cast<std::size_t>(aCase.tasks);
  auto mostRunning = std::size_t{ 0 };
  constexpr Millis kStep{ 50 };
  for (auto passed = Millis{ 0 }; passed < aCase.within; passed += kStep) {
    world->RunFor(kStep);
    mostRunning = std::max(mostRunning, world->RunningTasks());
  }
  if (aCase.gang) {
    // The model's members of a gang end one by one, which the judge of whole
    // jobs does not expect. A gang that starts in part has fewer at work.
    return mostRunning == tasks;
  }
  ExpectKept(*world);
  return world->Judge().Done() == tasks;
}

} // namespace

// Guards against: a question that takes the adviser longer than its answer is
// waited for is asked again as it is, and the job never starts.
Test(advised, wide_steps_start_though_the_adviser_needs_long)
{
  for (const auto each : { 10ms, 25ms, 60ms }) {
    for (const auto tasks : { 4, 36, 57, 80 }) {
      auto example = SlowAdviser{};
      example.model.told = true;
      example.model.times = { 500ms, each, 3000ms };
      example.model.allowedOfFive = 5;
      example.model.issuesLate = true;
      example.tasks = tasks;
      example.within = 8s + Millis{ each * tasks * 3 };
      cr_expect(IsDoneInTime(example),
                "%d tasks, %d ms for each worker",
                tasks,
                static_cast<int>(each.count()));
    }
  }
}

// The same if the configuration tells nothing, or less than the adviser takes.
Test(advised, wide_steps_start_though_the_adviser_is_slower_than_told)
{
  for (const auto slowness : { 1.5, 3.0, 6.0 }) {
    for (const auto told : { false, true }) {
      auto example = SlowAdviser{};
      example.model.told = told;
      example.model.times = { 500ms, 25ms, 6000ms };
      example.model.slowness = slowness;
      example.model.allowedOfFive = 5;
      example.model.issuesLate = true;
      example.within = 100s;
      cr_expect(IsDoneInTime(example),
                "%.1f times as slow, told: %d",
                slowness,
                static_cast<int>(told));
    }
  }
}

// Guards against: a gang, which needs all tickets at once, is asked about in
// parts only.
Test(advised, gangs_start_though_the_adviser_needs_long)
{
  for (const auto slowness : { 1.0, 3.0 }) {
    auto example = SlowAdviser{};
    example.model.told = true;
    example.model.times = { 500ms, 25ms, 30s };
    example.model.slowness = slowness;
    example.model.issuesLate = true;
    example.model.allowedOfFive = 4;
    example.tasks = 40;
    example.gang = true;
    example.within = 60s;
    cr_expect(IsDoneInTime(example), "%.1f times as slow", slowness);
  }
}

// Guards against: one wide job with a slow adviser holds up all others.
Test(advised, narrow_jobs_do_not_wait_behind_wide_ones)
{
  const auto world = LargeWorld(3);
  auto model = AdviserModel{};
  model.told = true;
  model.times = { 200ms, 25ms, 3000ms };
  model.issuesLate = true;
  world->SetAdviserModel(model);
  world->RunFor(2s);
  for (auto job = 0; job < 3; ++job) {
    SubmitWide(*world, 90, false);
  }
  world->RunFor(1s);
  const auto narrow = SubmitWide(*world, 2, false);
  world->RunFor(12s);
  cr_expect_eq(world->AskState(narrow), 200);
  for (const auto& missing : world->Judge().Missing()) {
    cr_expect_eq(
      missing.find(narrow.Text()), std::string::npos, "%s", missing.c_str());
  }
  world->RunFor(60s);
  ExpectKept(*world);
}

// Guards against: the next owner meets the same adviser with nothing learned.
Test(advised, wide_steps_start_at_a_new_owner)
{
  const auto world = LargeWorld(4);
  auto model = AdviserModel{};
  model.told = true;
  model.times = { 500ms, 25ms, 10s };
  model.slowness = 2.0;
  model.issuesLate = true;
  model.allowedOfFive = 5;
  world->SetAdviserModel(model);
  world->RunFor(2s);
  SubmitWide(*world, 60, false);
  world->RunFor(2500ms);
  const auto owner = world->Owner();
  cr_assert_geq(owner, 0);
  world->Kill(owner);
  world->RunFor(40s);
  ExpectKept(*world);
}

// Guards against: tickets that are valid for less time than the question takes
// are thrown away, and asked for again for ever.
Test(advised, wide_steps_start_though_tickets_are_short)
{
  for (const auto issuesLate : { true, false }) {
    for (const auto valid : { 250ms, 700ms, 1500ms, 3000ms }) {
      for (const auto slowness : { 1.0, 3.0 }) {
        auto example = SlowAdviser{};
        example.model.told = true;
        // From the question on, a ticket is worth something only if it is valid
        // for longer than the shortest question takes.
        example.model.times = { issuesLate ? 500ms : 50ms,
                                issuesLate ? 25ms : 5ms,
                                valid };
        example.model.slowness = issuesLate ? slowness : 1.0;
        example.model.allowedOfFive = 5;
        example.model.issuesLate = issuesLate;
        example.within = 60s;
        cr_expect(IsDoneInTime(example),
                  "valid for %d ms, %.1f times as slow, issued late: %d",
                  static_cast<int>(valid.count()),
                  slowness,
                  static_cast<int>(issuesLate));
      }
    }
  }
}

// Guards against: tickets that can't be used in time are asked for as fast as
// the adviser answers, and other jobs wait behind it.
Test(advised, useless_tickets_cost_little)
{
  const auto world = LargeWorld(5);
  auto model = AdviserModel{};
  model.told = true;
  model.times = { 100ms, 2ms, 50ms };
  model.issuesLate = false;
  world->SetAdviserModel(model);
  world->RunFor(2s);
  SubmitWide(*world, 36, false);
  world->RunFor(60s);
  cr_expect_leq(world->AdviceRequests(), 40);
  cr_expect_leq(world->RefusedTickets(), 300);
  // Once the tickets are of use the job is done.
  model.times.valid = 3000ms;
  world->SetAdviserModel(model);
  world->RunFor(30s);
  ExpectKept(*world);
}

// Guards against: a gang's tickets expire one question after the other.
Test(advised, gangs_start_though_tickets_are_short)
{
  auto example = SlowAdviser{};
  example.model.told = true;
  example.model.times = { 500ms, 25ms, 2000ms };
  example.model.issuesLate = true;
  example.model.allowedOfFive = 3;
  example.tasks = 50;
  example.gang = true;
  example.within = 60s;
  cr_expect(IsDoneInTime(example));
}

// Guards against: an adviser that takes nothing, or answers nobody, is asked
// again by each step as fast as it answers, and for ever the same.
Test(advised, an_adviser_that_does_not_decide_is_asked_rarely)
{
  for (const auto answer : { cells::AdviceStatus::Overloaded,
                             cells::AdviceStatus::Rejected,
                             cells::AdviceStatus::NoResponse }) {
    const auto world = LargeWorld(6);
    auto model = AdviserModel{};
    model.answers = answer;
    world->SetAdviserModel(model);
    world->RunFor(2s);
    for (auto job = 0; job < 4; ++job) {
      SubmitWide(*world, 6, false);
    }
    world->RunFor(30s);
    cr_expect_leq(world->AdviceRequests(), 48U, "%s", ToText(answer));
    cr_expect_geq(world->AdviceRequests(), 6U, "%s", ToText(answer));
    model.answers = cells::AdviceStatus::Answered;
    world->SetAdviserModel(model);
    world->RunFor(15s);
    ExpectKept(*world);
  }
}

// The same for an adviser that takes one request at a time.
Test(advised, jobs_are_done_beside_a_full_queue)
{
  const auto world = LargeWorld(7);
  auto model = AdviserModel{};
  model.maxWaiting = 0;
  model.allowedOfFive = 5;
  world->SetAdviserModel(model);
  world->RunFor(2s);
  for (auto job = 0; job < 8; ++job) {
    SubmitWide(*world, 6, false);
  }
  world->RunFor(30s);
  ExpectKept(*world);
  cr_expect_leq(world->OverloadedRequests(), 16U);
}
