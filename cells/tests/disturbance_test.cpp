// What is learnt about neighbours from tail latencies that follow the model,
// and how runs are throttled by it.

#include <cmath>
#include <cstdlib>

#include <criterion/criterion.h>

#include "cellharness.h"
#include "disturbance.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

constexpr ImageId kServing = 0;
constexpr ImageId kHeavy = 1;
constexpr ImageId kLight = 2;

auto
At(int aSecond) -> Time
{
  return Time{ std::chrono::seconds{ aSecond } };
}

} // namespace

Test(interference_model, tail_formula_and_its_inverses_agree)
{
  for (const auto load : { 0.1, 0.3, 0.6 }) {
    for (const auto pressure : { 0.0, 0.1, 0.4 }) {
      const auto tail = TailUnder(load, pressure);
      cr_expect_float_eq(PressureFrom(tail, load), pressure, 1e-9);
      cr_expect_float_eq(LoadFrom(tail, pressure), load, 1e-9);
    }
  }
}

Test(interference_model, separates_interfering_from_harmless_images)
{
  auto disturbance = Disturbance{};
  for (auto report = 0; report < 12; ++report) {
    const auto now = At(report / 2);
    // With both neighbours, of which only one interferes.
    disturbance.Observe(
      now, kServing, { { kHeavy, 0.1 }, { kLight, 0.2 } }, 0.4, kPressureError);
    disturbance.Observe(
      now, kServing, { { kLight, 0.3 } }, 0.0, kPressureError);
  }
  cr_expect_gt(disturbance.Pressure(At(6), kServing, kHeavy), 2.5);
  cr_expect_eq(disturbance.Pressure(At(6), kServing, kLight), 0.0);
}

Test(interference_model, follows_a_pair_that_changes)
{
  auto disturbance = Disturbance{};
  for (auto report = 0; report < 20; ++report) {
    disturbance.Observe(
      At(report / 2), kServing, { { kLight, 0.2 } }, 0.0, kPressureError);
  }
  cr_expect_eq(disturbance.Pressure(At(10), kServing, kLight), 0.0);
  for (auto report = 0; report < 4; ++report) {
    disturbance.Observe(
      At(11), kServing, { { kLight, 0.2 } }, 0.8, kPressureError);
  }
  cr_expect_gt(disturbance.Pressure(At(11), kServing, kLight), 2.0);
}

Test(interference_model, estimate_decays_without_observations)
{
  auto disturbance = Disturbance{};
  for (auto report = 0; report < 10; ++report) {
    disturbance.Observe(
      At(0), kServing, { { kLight, 0.3 } }, 0.0, kPressureError);
  }
  const auto recent = disturbance.Between(At(1), kServing, kLight);
  const auto old = disturbance.Between(At(120), kServing, kLight);
  cr_expect_lt(recent.variance, 0.5);
  cr_expect_gt(old.variance, kProbeVariance);
}

namespace {

auto
LastingJob(const std::string& aImage, std::uint32_t aTasks) -> JobSpec
{
  auto spec = Steps({ aTasks });
  spec.steps[0].lasting = true;
  spec.steps[0].image = aImage;
  spec.steps[0].tailTarget = Millis{ 150 };
  spec.steps[0].size = { 3000, 4000, 0 };
  return spec;
}

auto
FillingJob(const std::string& aImage, std::uint32_t aTasks) -> JobSpec
{
  auto spec = Steps({ aTasks });
  spec.steps[0].fillsIdle = true;
  spec.steps[0].image = aImage;
  spec.steps[0].size = { 2000, 1000, 0 };
  return spec;
}

// All workers with a pending renewal report this tail latency for each
// long-running task, and that the best-effort task is running.
auto
ReportTails(CellHarness& aHarness,
            const std::vector<WorkerCall>& aCritical,
            double aTail,
            const WorkerCall& aBestEffort) -> void
{
  aHarness.Tick();
  for (const auto& call : aHarness.Calls(CallKind::Renew)) {
    auto running = std::vector<RunReport>{};
    for (const auto& start : aCritical) {
      auto entry = RunningOf(start);
      entry.percent = 100.0;
      entry.measured = aTail;
      running.push_back(entry);
    }
    running.push_back(RunningOf(aBestEffort));
    running.back().measured = 2000.0;
    aHarness.Report(call, running, {});
  }
}

} // namespace

// Many long-running tasks of two images. Tasks of one image share workers, so
// that best-effort tasks that interfere with one image find workers without it.
Test(placement, long_running_tasks_of_one_image_share_workers)
{
  auto harness = CellHarness{};
  for (const auto* const name : { "w1", "w2", "w3", "w4" }) {
    harness.AddWorker(name);
  }
  harness.Submit(LastingJob("a", 4));
  harness.Submit(LastingJob("b", 4));
  harness.Submit(LastingJob("a", 4));
  harness.StartAll();
  for (const auto& [id, slot] : harness.cell.Workers()) {
    cr_expect_leq(slot.serving.size(), 1, "%s", id.text.c_str());
  }
}

// An image was never seen beside a latency-critical one. Only a few runs are
// placed there until the pair is known.
Test(placement, unknown_pair_is_probed_with_few_runs)
{
  auto harness = CellHarness{};
  for (const auto* const name : { "w1", "w2", "w3" }) {
    harness.AddWorker(name);
  }
  harness.Submit(LastingJob("a", 12));
  cr_assert_eq(harness.StartAll().size(), 12);
  harness.Submit(FillingJob("f", 9));
  cr_expect_leq(harness.StartAll().size(), kProbes);
}

// A best-effort task pushes the tail latency of its neighbours beyond the
// target.
Test(throttling, interfering_run_is_throttled)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 2));
  const auto critical = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  auto bestEffort = harness.StartAll();
  cr_assert_eq(bestEffort.size(), 1);
  auto throttled = false;
  for (auto report = 0; report < 8 && !throttled; ++report) {
    harness.Advance(Millis{ 700 });
    ReportTails(harness, critical, 400.0, bestEffort[0]);
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      throttled =
        throttled || (call.task == bestEffort[0].task && call.percent <= 50);
    }
  }
  cr_expect(throttled);
}

// A task is beyond its tail latency target. No further best-effort task may be
// placed beside it.
Test(throttling, no_placement_beside_a_task_over_its_target)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 1));
  const auto critical = harness.StartAll();
  harness.Advance(Millis{ 700 });
  harness.Tick();
  for (const auto& call : harness.Calls(CallKind::Renew)) {
    auto entry = RunningOf(critical[0]);
    entry.percent = 100.0;
    entry.measured = 1000.0;
    harness.Report(call, { entry }, {});
  }
  harness.Submit(FillingJob("f", 1));
  cr_expect_eq(harness.StartAll().size(), 0);
}

// The load of a job changes while all of its tasks have neighbours. Tasks whose
// neighbours are known reveal the load for the others.
Test(load_estimate, follows_a_changing_load)
{
  auto load = LoadEstimate{};
  for (auto tenth = 0; tenth < 30; ++tenth) {
    const auto now = Time{ Millis{ 100 * tenth } };
    const auto truth = 0.3 + 0.01 * tenth;
    load = load.Observed(now, truth, 0.002);
    // A task whose neighbours are unknown says next to nothing.
    load = load.Observed(now, 0.05, 1.0);
  }
  cr_expect_float_eq(load.mean, 0.59, 0.05);
  cr_expect_lt(load.variance, 0.002);
}

Test(load_estimate, returns_to_the_default_after_some_seconds)
{
  const auto load = LoadEstimate{}.Observed(At(0), 0.9, 0.0005);
  cr_expect_float_eq(load.At(At(0)).mean, 0.9, 0.02);
  cr_expect_float_eq(load.At(At(10)).mean, kUnknownLoad, 1e-9);
}

// A tail latency varies around its target. Inexact reports that are sometimes
// below it must not delay the pause.
Test(throttling, tail_around_its_target_pauses_neighbours_in_time)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 2));
  const auto critical = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  const auto bestEffort = harness.StartAll();
  cr_assert_eq(bestEffort.size(), 1);
  const auto begin = harness.now;
  auto paused = false;
  for (auto report = 0; report < 20 && !paused; ++report) {
    harness.Advance(Millis{ 250 });
    ReportTails(
      harness, critical, report % 3 == 2 ? 148.0 : 158.0, bestEffort[0]);
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      paused = paused || call.percent == 0;
    }
  }
  cr_expect(paused);
  cr_expect_lt(harness.now - begin, std::chrono::seconds{ 3 });
}

Test(throttling, speed_order_without_answer_is_repeated)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 2));
  const auto critical = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  const auto bestEffort = harness.StartAll();
  cr_assert_eq(bestEffort.size(), 1);
  auto orders = 0;
  for (auto report = 0; report < 12 && orders < 2; ++report) {
    harness.Advance(Millis{ 400 });
    ReportTails(harness, critical, 600.0, bestEffort[0]);
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      if (call.percent == 0) {
        ++orders;
        harness.Answer(call, CallEnd::Unanswered);
      }
    }
  }
  cr_expect_eq(orders, 2);
}

// A best-effort task is paused when the long-running ones beside it end.
// Nothing was left to set its speed by, so it stayed paused forever.
Test(throttling, speed_limit_ends_with_the_tasks_it_protects)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto longRunningJob = harness.Submit(LastingJob("a", 2));
  const auto critical = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  const auto bestEffort = harness.StartAll();
  cr_assert_eq(bestEffort.size(), 1);
  auto cancelled = false;
  auto speedPercent = 100;
  for (auto report = 0; report < 16; ++report) {
    harness.Advance(Millis{ 500 });
    ReportTails(harness,
                cancelled ? std::vector<WorkerCall>{} : critical,
                600.0,
                bestEffort[0]);
    for (const auto& call : harness.Calls(CallKind::Stop)) {
      harness.Answer(call, CallEnd::Done);
    }
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      speedPercent = call.percent;
      harness.Answer(call, CallEnd::Done);
    }
    if (speedPercent == 0 && !cancelled) {
      cancelled = true;
      harness.cell.OnCancel(harness.now, longRunningJob);
    }
  }
  cr_expect(cancelled);
  cr_expect_eq(speedPercent, 100);
}

// The owner changes while a best-effort task is paused. The new owner does not
// know the speed limit and used to treat the run as stuck.
Test(throttling, new_owner_repeats_speed_orders)
{
  auto first = CellHarness{};
  first.AddWorker("w1");
  const auto job = first.Submit(FillingJob("f", 1));
  const auto starts = first.StartAll();
  cr_assert_eq(starts.size(), 1);
  auto reason = std::string{};
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(
    first.cell.FindJob(job)->row,
    DecodeRecord(EncodeRecord(RecordOf(*first.cell.FindJob(job))), reason));
  auto second = CellHarness{ {}, takeover };
  second.table = first.table;
  auto otherWorker = first.table.begin()->second;
  otherWorker.id = { "w2" };
  otherWorker.machine = { "machine-w2" };
  second.table[otherWorker.id] = otherWorker;
  second.cell.OnWorkers(second.now, second.table);
  auto speeds = std::vector<int>{};
  // The orders get no answer, so the speed limit stays unknown.
  for (auto report = 0; report < 8; ++report) {
    second.Tick();
    for (const auto& call : second.Calls(CallKind::Renew)) {
      auto entry = RunningOf(starts[0]);
      entry.percent = 40.0;
      const auto runsHere = call.worker == starts[0].worker;
      second.Report(
        call, runsHere ? std::vector{ entry } : std::vector<RunReport>{}, {});
    }
    for (const auto& call : second.Calls(CallKind::Pace)) {
      speeds.push_back(call.percent);
      second.Answer(call, CallEnd::Unanswered);
    }
    second.Advance(Millis{ 500 });
  }
  cr_expect_geq(speeds.size(), 2);
  for (const auto speed : speeds) {
    cr_expect_eq(speed, 100);
  }
  cr_expect_eq(second.Calls(CallKind::Stop).size(), 0);
}

// The owner changes after learning that an image does not interfere with
// another. The new owner used to start from the prior and throttle it.
Test(throttling, new_owner_imports_interference_pairs)
{
  auto first = Disturbance{};
  auto images = Images{};
  const auto critical = images.Number("s");
  const auto harmless = images.Number("h");
  const auto heavy = images.Number("v");
  for (auto report = 0; report < 20; ++report) {
    first.Observe(At(report), critical, { { harmless, 0.5 } }, 0.0, 0.02);
    first.Observe(At(report), critical, { { heavy, 0.5 } }, 2.4, 0.02);
  }
  auto second = Disturbance{};
  auto secondImages = Images{};
  secondImages.Number("another order of numbers");
  const auto rowAge = Millis{ 2000 };
  for (const auto& pair : first.Tell(At(19), images)) {
    second.Hear(At(121), rowAge, pair, secondImages);
  }
  const auto idOf = [&](const char* aName) {
    return secondImages.Number(aName);
  };
  cr_expect_float_eq(second.Pressure(At(121), idOf("s"), idOf("h")), 0.0, 1e-9);
  cr_expect_float_eq(second.Pressure(At(121), idOf("s"), idOf("v")),
                     first.Pressure(At(21), critical, heavy),
                     0.05);
  cr_expect_geq(second.Pressure(At(121), idOf("s"), idOf("v")), 4.0);
}

// A run is paused when the owner changes. The tail latencies reported beside it
// must not be attributed to a run at full speed.
Test(throttling, new_owner_imports_speed_limits)
{
  auto first = CellHarness{};
  first.AddWorker("w1");
  const auto longRunningJob = first.Submit(LastingJob("a", 2));
  const auto critical = first.StartAll();
  const auto bestEffortJob = first.Submit(FillingJob("f", 1));
  const auto bestEffort = first.StartAll();
  cr_assert_eq(bestEffort.size(), 1);
  auto paused = false;
  for (auto report = 0; report < 12 && !paused; ++report) {
    first.Advance(Millis{ 500 });
    ReportTails(first, critical, 600.0, bestEffort[0]);
    for (const auto& call : first.Calls(CallKind::Pace)) {
      paused = paused || call.percent == 0;
      first.Answer(call, CallEnd::Done);
    }
  }
  cr_assert(paused);
  const auto exported = first.cell.Tell(first.now);
  cr_assert_eq(exported.paces.size(), 1);
  cr_expect_eq(exported.paces[0].percent, 0);
  auto reason = std::string{};
  auto takeover = CellTakeover{ 2 };
  for (const auto& job : { longRunningJob, bestEffortJob }) {
    takeover.jobs.emplace_back(
      first.cell.FindJob(job)->row,
      DecodeRecord(EncodeRecord(RecordOf(*first.cell.FindJob(job))), reason));
  }
  takeover.learnt = DecodeLearnt(EncodeLearnt(exported), reason);
  cr_assert(takeover.learnt.has_value(), "%s", reason.c_str());
  const auto second = CellHarness{ {}, takeover };
  const auto* const job = second.cell.FindJob(bestEffortJob);
  const auto& run = job->occurrences.at(0).steps[0].tasks[0].runs.at(0);
  cr_expect_eq(run.pace, 0);
  cr_expect(run.paceUnsure);
}
