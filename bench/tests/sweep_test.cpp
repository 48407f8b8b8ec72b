// Rows of ended jobs leave the store, and nothing that ended runs again.

#include <criterion/criterion.h>

#include "fleetworld.h"

using namespace gooseberry;

namespace {

using namespace std::chrono_literals;

auto
OneTask() -> cells::JobSpec
{
  return { "payload", { cells::StepSpec{ 1, { 1000, 1000, 0 }, 300ms } } };
}

auto
WorldThatForgetsAfter(Millis aTime) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.keepEnded = aTime;
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  return world;
}

auto
ExpectKept(FleetWorld& aWorld) -> void
{
  aWorld.Judge().Finish();
  for (const auto& violation : aWorld.Judge().Violations()) {
    cr_expect(false, "%s", violation.c_str());
  }
}

constexpr int kOk = 200;
constexpr int kGone = 410;

} // namespace

Test(sweep, rows_of_ended_jobs_are_removed_after_their_time)
{
  const auto world = WorldThatForgetsAfter(5s);
  auto jobs = std::vector<cells::JobId>{};
  for (auto job = 0; job < 10; ++job) {
    jobs.push_back(world->Submit(OneTask(), { 300ms }));
  }
  world->RunFor(4s);
  cr_expect_geq(world->JobRows(), 20);
  cr_expect_eq(world->AskState(jobs[0]), kOk);
  world->RunFor(10s);
  cr_expect_eq(world->JobRows(), 0);
  for (const auto& job : jobs) {
    cr_expect_eq(world->AskState(job), kGone);
  }
  ExpectKept(*world);
}

// Pattern: the store forgets its history long after jobs have ended, so that
// the owner reads all rows again. Their jobs were taken for new ones.
Test(sweep, rows_that_are_read_again_start_nothing)
{
  const auto world = WorldThatForgetsAfter(500ms);
  for (auto job = 0; job < 60; ++job) {
    world->Submit(OneTask(), { 100ms });
  }
  for (auto round = 0; round < 40; ++round) {
    world->RunFor(100ms);
    world->CompactStore();
  }
  world->RunFor(10s);
  cr_expect_eq(world->JobRows(), 0);
  ExpectKept(*world);
}

// Pattern: the owner changes while rows are being removed.
Test(sweep, goes_on_with_a_new_owner)
{
  const auto world = WorldThatForgetsAfter(2s);
  for (auto job = 0; job < 60; ++job) {
    world->Submit(OneTask(), { 100ms });
  }
  world->RunFor(4500ms);
  const auto owner = world->Owner();
  cr_assert_geq(owner, 0);
  cr_expect_gt(world->JobRows(), 0);
  world->Kill(owner);
  world->RunFor(12s);
  cr_expect_eq(world->JobRows(), 0);
  ExpectKept(*world);
}

// Pattern: half of the writes get no answer, and some are carried out late.
Test(sweep, of_a_store_that_loses_answers_ends)
{
  const auto world = WorldThatForgetsAfter(2s);
  auto treatment = StoreTreatment{};
  treatment.lost = 0.5;
  treatment.late = 700ms;
  for (auto instance = 0; instance < world->Instances(); ++instance) {
    world->Treat(instance, treatment);
  }
  for (auto job = 0; job < 20; ++job) {
    world->Submit(OneTask(), { 100ms });
  }
  world->RunFor(60s);
  for (auto instance = 0; instance < world->Instances(); ++instance) {
    world->Treat(instance, {});
  }
  world->RunFor(30s);
  cr_expect_eq(world->JobRows(), 0);
  ExpectKept(*world);
}

// Pattern: a caller takes the id of a job that was forgotten.
Test(sweep, an_id_that_was_forgotten_names_a_new_job)
{
  const auto world = WorldThatForgetsAfter(2s);
  const auto first = world->Submit(OneTask(), { 100ms });
  world->RunFor(6s);
  cr_expect_eq(world->AskState(first), kGone);
  world->SubmitAgain(first);
  world->RunFor(2s);
  cr_expect_eq(world->AskState(first), kOk);
  const auto owner = world->Owner();
  cr_assert_geq(owner, 0);
  world->Kill(owner);
  world->RunFor(40s);
  cr_expect_eq(world->JobRows(), 0);
  ExpectKept(*world);
}

// Pattern: a new owner can't read a submission. The job's record was taken for
// an orphan; once the row can be read again the job would have run once more.
Test(sweep, the_record_of_an_unreadable_job_stays)
{
  const auto world = WorldThatForgetsAfter(60s);
  const auto job = world->Submit(OneTask(), { 100ms });
  world->RunFor(3s);
  cr_expect_eq(world->JobRows(), 2);
  world->SpoilSubmission(job);
  const auto owner = world->Owner();
  cr_assert_geq(owner, 0);
  world->Kill(owner);
  world->RunFor(6s);
  cr_assert_geq(world->Owner(), 0);
  cr_expect_eq(world->JobRows(), 2);
}
