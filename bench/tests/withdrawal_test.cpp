// Jobs that are cancelled before the store has carried out their submission,
// on a whole fleet.

#include <criterion/criterion.h>

#include "fleetworld.h"
#include "modelsite.h"

using namespace gooseberry;

namespace {

using namespace std::chrono_literals;

struct LateSubmissions
{
  std::uint64_t seed = 1;
  int jobs = 1;
  int accounts = 0;
  // Part of the writes that get no answer, and how late they are carried out.
  double lost = 1.0;
  Millis late{ 6000 };
  // From the submission to the cancellation, and to the end of the losses.
  Millis cancelAfter{ 1500 };
  Millis lossesEndAfter{ 2500 };
};

auto
TreatAll(FleetWorld& aWorld, const StoreTreatment& aTreatment) -> void
{
  for (auto instance = 0; instance < aWorld.Instances(); ++instance) {
    aWorld.Treat(instance, aTreatment);
  }
}

auto
WorldOf(const LateSubmissions& aCase) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.seed = aCase.seed;
  options.accounts = aCase.accounts;
  auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  return world;
}

// Callers submit while the store loses answers, and cancel. Until the last
// write was carried out, aTrouble is called each half second.
template<class Trouble>
auto
Play(FleetWorld& aWorld, const LateSubmissions& aCase, Trouble aTrouble) -> void
{
  auto treatment = StoreTreatment{};
  treatment.lost = aCase.lost;
  treatment.late = aCase.late;
  TreatAll(aWorld, treatment);
  auto spec = cells::JobSpec{ "payload" };
  for (auto step = 0U; step < 4; ++step) {
    spec.steps.push_back({ 1, { 500, 500, 0 }, 3000ms });
    if (step > 0) {
      spec.steps.back().dependencies = { step - 1 };
    }
  }
  for (auto number = 0; number < aCase.jobs; ++number) {
    const auto job = aWorld.Submit(spec, { 3000ms });
    aWorld.After(aCase.cancelAfter, [&aWorld, job] { aWorld.Cancel(job); });
  }
  aWorld.After(aCase.lossesEndAfter, [&aWorld] { TreatAll(aWorld, {}); });
  constexpr Millis kStep{ 500 };
  for (auto passed = Millis{ 0 }; passed < aCase.lossesEndAfter + aCase.late;
       passed += kStep) {
    aWorld.RunFor(kStep);
    aTrouble(passed);
  }
  aWorld.RunFor(30s);
}

auto
ExpectKept(FleetWorld& aWorld) -> void
{
  aWorld.Judge().Finish();
  for (const auto& violation : aWorld.Judge().Violations()) {
    cr_expect(false, "%s", violation.c_str());
  }
}

const auto kNoTrouble = [](Millis /*aPassed*/) {};

} // namespace

// Guards against: a job runs though its caller was told that it does not exist,
// because the store carried the submission out after the cancellation.
Test(withdrawn, jobs_do_not_run_however_late_they_are_stored)
{
  for (const auto late : { 2000ms, 6000ms, 14000ms }) {
    for (const auto cancelAfter : { 1300ms, 2400ms, 4000ms }) {
      auto example = LateSubmissions{};
      example.seed = static_cast<std::uint64_t>(late.count());
      example.jobs = 30;
      example.late = late;
      example.cancelAfter = cancelAfter;
      example.lossesEndAfter = cancelAfter + 800ms;
      const auto world = WorldOf(example);
      Play(*world, example, kNoTrouble);
      ExpectKept(*world);
    }
  }
}

// The same while the store answers some writes only, with accounts, and with a
// cancellation that may come first.
Test(withdrawn, jobs_do_not_run_beside_answered_ones)
{
  for (auto seed = 1; seed <= 8; ++seed) {
    auto example = LateSubmissions{};
    example.seed = static_cast<std::uint64_t>(seed);
    example.jobs = 40;
    example.accounts = seed % 2 == 0 ? 3 : 0;
    example.lost = 0.2 + 0.1 * seed;
    example.cancelAfter = Millis{ 150 * seed };
    example.lossesEndAfter = 3000ms;
    const auto world = WorldOf(example);
    Play(*world, example, kNoTrouble);
    ExpectKept(*world);
    cr_expect(world->RunsNewJobs());
  }
}

// Guards against: the promise is known to one process, and is lost with it.
Test(withdrawn, jobs_do_not_run_after_kills_and_restarts)
{
  auto example = LateSubmissions{};
  example.jobs = 30;
  example.late = 9000ms;
  for (const auto killsAll : { false, true }) {
    const auto world = WorldOf(example);
    Play(*world, example, [&](Millis aPassed) {
      if (aPassed != 4000ms) {
        return;
      }
      for (auto instance = 0; instance < world->Instances(); ++instance) {
        if (killsAll || instance == world->Owner()) {
          world->Kill(instance);
          world->After(700ms, [&world, instance] { world->Start(instance); });
        }
      }
    });
    ExpectKept(*world);
    cr_expect(world->RunsNewJobs());
  }
  const auto world = WorldOf(example);
  Play(*world, example, [&](Millis aPassed) {
    if (aPassed >= 3500ms && aPassed.count() % 1500 == 0) {
      world->Restart(static_cast<int>(aPassed.count() / 1500) % 3);
    }
  });
  ExpectKept(*world);
}

// Guards against: cancellations of ids that never existed fill the store.
Test(withdrawn, rows_of_unknown_ids_are_removed)
{
  auto options = FleetWorldOptions{};
  options.keepEnded = 20s;
  const auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  constexpr std::size_t kPerSecond = 30;
  const auto rows = [&] {
    return world->RowsOf(cells::CellRows::kWithdrawalTable);
  };
  auto number = std::uint64_t{ 1'000'000 };
  auto most = std::size_t{ 0 };
  const auto cancelFor = [&](int aSeconds) {
    for (auto second = 0; second < aSeconds; ++second) {
      for (auto cancelled = std::size_t{ 0 }; cancelled < kPerSecond;
           ++cancelled) {
        world->CancelUnknown(fakes::NumberedJob(++number));
      }
      world->RunFor(1s);
      most = std::max(most, rows());
    }
  };
  cancelFor(10);
  cr_expect_geq(rows(), 9 * kPerSecond);
  cancelFor(240);
  const auto mostBefore = most;
  // Kept for 30 s, and removed in a round of 16 parts each 5 s.
  cr_expect_leq(most, 130 * kPerSecond);
  world->Kill(world->Owner());
  cancelFor(120);
  cr_expect_leq(most, mostBefore + 30 * kPerSecond);
  world->RunFor(130s);
  cr_expect_eq(rows(), 0);
  cr_expect(world->RunsNewJobs());
}

// Guards against: an id is blocked for good, or other accounts' jobs of the
// same id are.
Test(withdrawn, ids_name_new_jobs_afterwards)
{
  auto options = FleetWorldOptions{};
  options.keepEnded = 10s;
  const auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  auto spec = cells::JobSpec{ "payload" };
  spec.steps.push_back({ 2, { 500, 500, 0 }, 300ms });
  const auto job = world->Submit(spec, { 300ms });
  world->RunFor(25s);
  // Its rows are gone.
  cr_expect_eq(world->AskState(job), 410);
  world->Cancel(job);
  world->RunFor(130s);
  const auto before = world->Judge().Done();
  world->SubmitAgain(job);
  world->RunFor(10s);
  cr_expect_eq(world->Judge().Done(), before + 2);
  ExpectKept(*world);
}
