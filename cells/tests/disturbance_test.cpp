// What is learnt about neighbours, from tails as the model makes them.

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

Test(disturbance, the_model_inverts_itself)
{
  for (const auto load : { 0.1, 0.3, 0.6 }) {
    for (const auto pressure : { 0.0, 0.1, 0.4 }) {
      const auto tail = TailUnder(load, pressure);
      cr_expect_float_eq(PressureFrom(tail, load), pressure, 1e-9);
      cr_expect_float_eq(LoadFrom(tail, pressure), load, 1e-9);
    }
  }
}

Test(disturbance, tells_heavy_neighbours_from_harmless_ones)
{
  auto disturbance = Disturbance{};
  for (auto report = 0; report < 12; ++report) {
    const auto now = At(report / 2);
    // Beside both; only one of them presses.
    disturbance.Observe(
      now, kServing, { { kHeavy, 0.1 }, { kLight, 0.2 } }, 0.4, kPressureError);
    disturbance.Observe(
      now, kServing, { { kLight, 0.3 } }, 0.0, kPressureError);
  }
  cr_expect_gt(disturbance.Pressure(At(6), kServing, kHeavy), 2.5);
  cr_expect_eq(disturbance.Pressure(At(6), kServing, kLight), 0.0);
}

Test(disturbance, follows_a_pair_that_changes)
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

Test(disturbance, forgets_what_was_not_seen_for_long)
{
  auto disturbance = Disturbance{};
  for (auto report = 0; report < 10; ++report) {
    disturbance.Observe(
      At(0), kServing, { { kLight, 0.3 } }, 0.0, kPressureError);
  }
  const auto fresh = disturbance.Between(At(1), kServing, kLight);
  const auto old = disturbance.Between(At(120), kServing, kLight);
  cr_expect_lt(fresh.variance, 0.5);
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

// Every worker that asks reports this tail for each lasting task, and that the
// filling one runs.
auto
ReportTails(CellHarness& aHarness,
            const std::vector<WorkerCall>& aServing,
            double aTail,
            const WorkerCall& aFilling) -> void
{
  aHarness.Tick();
  for (const auto& call : aHarness.Calls(CallKind::Renew)) {
    auto running = std::vector<RunReport>{};
    for (const auto& start : aServing) {
      auto entry = RunningOf(start);
      entry.percent = 100.0;
      entry.measured = aTail;
      running.push_back(entry);
    }
    running.push_back(RunningOf(aFilling));
    running.back().measured = 2000.0;
    aHarness.Report(call, running, {});
  }
}

} // namespace

// Pattern: many lasting tasks of two images. Equal ones share workers, so that
// what disturbs one image finds workers without it.
Test(placement, lasting_tasks_of_one_image_share_workers)
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

// Pattern: an image is new beside an image that serves. It is tried with few
// runs before it is let loose.
Test(placement, an_unknown_pair_is_tried_with_few_runs)
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

// Pattern: a task stands beside one that it disturbs beyond its target.
Test(relief, a_heavy_neighbour_is_paced_down_or_moved)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 2));
  const auto serving = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  auto filling = harness.StartAll();
  cr_assert_eq(filling.size(), 1);
  auto eased = false;
  for (auto report = 0; report < 8 && !eased; ++report) {
    harness.Advance(Millis{ 700 });
    ReportTails(harness, serving, 400.0, filling[0]);
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      eased = eased || (call.task == filling[0].task && call.percent <= 50);
    }
  }
  cr_expect(eased);
}

// Pattern: two jobs of one image fill a worker; no place is left beside a
// suffering task for more of what fills.
Test(relief, nothing_new_comes_beside_a_suffering_task)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 1));
  const auto serving = harness.StartAll();
  harness.Advance(Millis{ 700 });
  harness.Tick();
  for (const auto& call : harness.Calls(CallKind::Renew)) {
    auto entry = RunningOf(serving[0]);
    entry.percent = 100.0;
    entry.measured = 1000.0;
    harness.Report(call, { entry }, {});
  }
  harness.Submit(FillingJob("f", 1));
  cr_expect_eq(harness.StartAll().size(), 0);
}

// Pattern: the load of a job swings while all of its tasks have neighbours.
// Those whose neighbours are known tell the load for the others.
Test(load, follows_a_swing_from_tasks_whose_neighbours_are_known)
{
  auto load = LoadEstimate{};
  for (auto tenth = 0; tenth < 30; ++tenth) {
    const auto now = Time{ Millis{ 100 * tenth } };
    const auto truth = 0.3 + 0.01 * tenth;
    load = load.Observed(now, truth, 0.002);
    // One whose neighbours are not known says next to nothing.
    load = load.Observed(now, 0.05, 1.0);
  }
  cr_expect_float_eq(load.mean, 0.59, 0.05);
  cr_expect_lt(load.variance, 0.002);
}

Test(load, is_not_known_any_more_after_some_seconds)
{
  const auto load = LoadEstimate{}.Observed(At(0), 0.9, 0.0005);
  cr_expect_float_eq(load.At(At(0)).mean, 0.9, 0.02);
  cr_expect_float_eq(load.At(At(10)).mean, kUnknownLoad, 1e-9);
}

// Pattern: a tail hovers about its target. Rough reports that say otherwise now
// and then must not put off the relief.
Test(relief, a_tail_about_its_target_brings_rest_in_time)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 2));
  const auto serving = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  const auto filling = harness.StartAll();
  cr_assert_eq(filling.size(), 1);
  const auto begin = harness.now;
  auto rested = false;
  for (auto report = 0; report < 20 && !rested; ++report) {
    harness.Advance(Millis{ 250 });
    ReportTails(harness, serving, report % 3 == 2 ? 148.0 : 158.0, filling[0]);
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      rested = rested || call.percent == 0;
    }
  }
  cr_expect(rested);
  cr_expect_lt(harness.now - begin, std::chrono::seconds{ 3 });
}

Test(relief, a_pace_whose_order_got_no_answer_is_ordered_again)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(LastingJob("a", 2));
  const auto serving = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  const auto filling = harness.StartAll();
  cr_assert_eq(filling.size(), 1);
  auto orders = 0;
  for (auto report = 0; report < 12 && orders < 2; ++report) {
    harness.Advance(Millis{ 400 });
    ReportTails(harness, serving, 600.0, filling[0]);
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      if (call.percent == 0) {
        ++orders;
        harness.Answer(call, CallEnd::Unanswered);
      }
    }
  }
  cr_expect_eq(orders, 2);
}

// Pattern: a filling task rests when the lasting ones beside it end. Nothing
// was left to judge its pace by, and it rested for ever.
Test(relief, a_pace_ends_with_the_tasks_that_it_was_for)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto lasting = harness.Submit(LastingJob("a", 2));
  const auto serving = harness.StartAll();
  harness.Submit(FillingJob("f", 1));
  const auto filling = harness.StartAll();
  cr_assert_eq(filling.size(), 1);
  auto cancelled = false;
  auto last = 100;
  for (auto report = 0; report < 16; ++report) {
    harness.Advance(Millis{ 500 });
    ReportTails(harness,
                cancelled ? std::vector<WorkerCall>{} : serving,
                600.0,
                filling[0]);
    for (const auto& call : harness.Calls(CallKind::Stop)) {
      harness.Answer(call, CallEnd::Done);
    }
    for (const auto& call : harness.Calls(CallKind::Pace)) {
      last = call.percent;
      harness.Answer(call, CallEnd::Done);
    }
    if (last == 0 && !cancelled) {
      cancelled = true;
      harness.cell.OnCancel(harness.now, lasting);
    }
  }
  cr_expect(cancelled);
  cr_expect_eq(last, 100);
}

// Pattern: the owner changes while a filling task rests beside a suffering one.
// The new owner does not know its pace; it took the run for one that hangs.
Test(relief, a_new_owner_orders_paces_anew)
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
  auto other = first.table.begin()->second;
  other.id = { "w2" };
  other.machine = { "machine-w2" };
  second.table[other.id] = other;
  second.cell.OnWorkers(second.now, second.table);
  auto paces = std::vector<int>{};
  // The order gets no answer at first: nobody knows the pace all the while.
  for (auto report = 0; report < 8; ++report) {
    second.Tick();
    for (const auto& call : second.Calls(CallKind::Renew)) {
      auto entry = RunningOf(starts[0]);
      entry.percent = 40.0;
      const auto there = call.worker == starts[0].worker;
      second.Report(
        call, there ? std::vector{ entry } : std::vector<RunReport>{}, {});
    }
    for (const auto& call : second.Calls(CallKind::Pace)) {
      paces.push_back(call.percent);
      second.Answer(call, CallEnd::Unanswered);
    }
    second.Advance(Millis{ 500 });
  }
  cr_expect_geq(paces.size(), 2);
  for (const auto pace : paces) {
    cr_expect_eq(pace, 100);
  }
  cr_expect_eq(second.Calls(CallKind::Stop).size(), 0);
}

// Pattern: the owner changes on a site where it was learnt that an image does
// not disturb another. The new owner began with a guess and held it down.
Test(relief, a_new_owner_knows_the_pairs_of_the_one_before)
{
  auto first = Disturbance{};
  auto images = Images{};
  const auto serving = images.Number("s");
  const auto harmless = images.Number("h");
  const auto heavy = images.Number("v");
  for (auto report = 0; report < 20; ++report) {
    first.Observe(At(report), serving, { { harmless, 0.5 } }, 0.0, 0.02);
    first.Observe(At(report), serving, { { heavy, 0.5 } }, 2.4, 0.02);
  }
  auto later = Disturbance{};
  auto others = Images{};
  others.Number("another order of numbers");
  const auto rowAge = Millis{ 2000 };
  for (const auto& pair : first.Tell(At(19), images)) {
    later.Hear(At(121), rowAge, pair, others);
  }
  const auto number = [&](const char* aName) { return others.Number(aName); };
  cr_expect_float_eq(
    later.Pressure(At(121), number("s"), number("h")), 0.0, 1e-9);
  cr_expect_float_eq(later.Pressure(At(121), number("s"), number("v")),
                     first.Pressure(At(21), serving, heavy),
                     0.05);
  cr_expect_geq(later.Pressure(At(121), number("s"), number("v")), 4.0);
}

// Pattern: a run rests when the owner changes. What the reports say of the tail
// beside it must not be put down to it at full speed.
Test(relief, a_new_owner_goes_by_the_paces_of_the_one_before)
{
  auto first = CellHarness{};
  first.AddWorker("w1");
  const auto lasting = first.Submit(LastingJob("a", 2));
  const auto serving = first.StartAll();
  const auto filling = first.Submit(FillingJob("f", 1));
  const auto fills = first.StartAll();
  cr_assert_eq(fills.size(), 1);
  auto rests = false;
  for (auto report = 0; report < 12 && !rests; ++report) {
    first.Advance(Millis{ 500 });
    ReportTails(first, serving, 600.0, fills[0]);
    for (const auto& call : first.Calls(CallKind::Pace)) {
      rests = rests || call.percent == 0;
      first.Answer(call, CallEnd::Done);
    }
  }
  cr_assert(rests);
  const auto told = first.cell.Tell(first.now);
  cr_assert_eq(told.paces.size(), 1);
  cr_expect_eq(told.paces[0].percent, 0);
  auto reason = std::string{};
  auto takeover = CellTakeover{ 2 };
  for (const auto& job : { lasting, filling }) {
    takeover.jobs.emplace_back(
      first.cell.FindJob(job)->row,
      DecodeRecord(EncodeRecord(RecordOf(*first.cell.FindJob(job))), reason));
  }
  takeover.learnt = DecodeLearnt(EncodeLearnt(told), reason);
  cr_assert(takeover.learnt.has_value(), "%s", reason.c_str());
  const auto second = CellHarness{ {}, takeover };
  const auto* const job = second.cell.FindJob(filling);
  const auto& run = job->occurrences.at(0).steps[0].tasks[0].runs.at(0);
  cr_expect_eq(run.pace, 0);
  cr_expect(run.paceUnsure);
}
