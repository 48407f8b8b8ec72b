// What a cell makes of changes of its workers: later ones of their machines,
// silence, capacity.

#include <criterion/criterion.h>

#include "startedtask.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

// Lists a later worker of the first one's machine, beside it.
auto
ListLaterWorker(CellHarness& aHarness, const std::string& aName) -> void
{
  auto entry = aHarness.table.begin()->second;
  entry.id = { aName };
  entry.address = aName + ":1";
  entry.startUnixMs = 2000;
  aHarness.table[entry.id] = entry;
  aHarness.workerStarts[entry.id] = entry.startUnixMs;
  aHarness.cell.OnWorkers(aHarness.now, aHarness.table);
}

} // namespace

Test(cell, a_run_that_is_found_again_tells_why_it_was_given_up)
{
  auto started = StartedTask{};
  auto& harness = started.harness;
  auto renewal = WorkerCall{};
  for (auto second = 0; second < 12; ++second) {
    renewal = started.NextRenewal();
    harness.Answer(renewal, CallOutcome::Unanswered);
    harness.Advance(Millis{ 1000 });
    harness.Tick();
  }
  const auto forgotten = harness.log.Last("run_forgotten");
  cr_expect_eq(forgotten.fields.at("task"), ToText(started.start.task));
  harness.Report(started.NextRenewal(), { RunReportOf(started.start) }, {});
  const auto orphan = harness.log.Last("orphan_found");
  cr_expect_eq(orphan.fields.at("task"), ToText(started.start.task));
  cr_expect_eq(orphan.fields.at("why"), std::string{ "lease expired" });
  cr_expect_neq(orphan.fields.at("forgotten_ms"), std::string{});
}

Test(cell, a_machines_new_worker_ends_the_runs_of_its_earlier_one)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  ListLaterWorker(harness, "w9");
  harness.table.erase({ "w1" });
  harness.cell.OnWorkers(harness.now, harness.table);
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.AnswerRenewals();
  const auto again = harness.StartAll();
  cr_assert_eq(again.size(), 1);
  cr_expect_eq(again[0].worker.text, "w9");
}

// Guards against: tasks are started on a worker that is gone, because its row
// is still listed beside that of its machine's new worker.
Test(cell, a_machines_earlier_worker_gets_no_tasks)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  ListLaterWorker(harness, "w9");
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.AnswerRenewals();
  harness.Submit(JobWithSteps({ 16 }));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 16);
  for (const auto& start : starts) {
    cr_expect_eq(start.worker.text, "w9");
  }
}

// Guards against: tasks run twice because an entry of another writer names the
// machine of a worker that is well.
Test(cell, an_entry_that_never_answers_ends_no_runs_of_its_machine)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  auto lasting = JobWithSteps({ 1 });
  lasting.steps[0].longRunning = true;
  harness.Submit(lasting);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 1);
  ListLaterWorker(harness, "odd");
  for (auto round = 0; round < 20; ++round) {
    harness.Advance(Millis{ 200 });
    harness.Tick();
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
      if (call.worker.text == "w1") {
        harness.Report(call, { RunReportOf(starts[0]) }, {});
      } else {
        harness.Answer(call, CallOutcome::Unanswered);
      }
    }
  }
  cr_expect_eq(harness.StartAll().size(), 0);
  harness.Submit(JobWithSteps({ 1 }));
  const auto more = harness.StartAll();
  cr_assert_eq(more.size(), 1);
  cr_expect_eq(more[0].worker.text, "w1");
}

// Guards against: a task waits without end for a worker that could not be
// reached when it became ready, and that answers again.
Test(cell, a_worker_that_answers_again_gets_waiting_tasks)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Advance(Millis{ 6000 });
  harness.Tick();
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    harness.Answer(call, CallOutcome::Unanswered);
  }
  harness.Submit(JobWithSteps({ 1 }));
  cr_assert_eq(harness.StartAll().size(), 0);
  harness.Tick();
  harness.AnswerRenewals();
  cr_expect_eq(harness.StartAll().size(), 1);
}

// Guards against: starts that bring a worker over its capacity, which may
// shrink and grow again while it runs.
Test(cell, a_worker_that_shrinks_gets_no_more_than_its_capacity)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 4000, 64000, 0 });
  harness.Submit(JobWithSteps({ 8 }));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 4);
  const auto setCpu = [&](std::int64_t aMillis) {
    harness.table.at({ "w1" }).capacity.cpuMillis = aMillis;
    harness.cell.OnWorkers(harness.now, harness.table);
  };
  const auto reportEndOf = [&](std::size_t aFirst, std::uint64_t aEnded) {
    harness.Advance(Millis{ 200 });
    harness.Tick();
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
      auto running = std::vector<RunReport>{};
      for (auto index = aFirst; index < starts.size(); ++index) {
        running.push_back(RunReportOf(starts[index]));
      }
      harness.Report(
        call,
        running,
        { EndReportOf(starts[aFirst - 1], aEnded, RunOutcome::Done) });
    }
  };
  setCpu(2000);
  reportEndOf(1, 1);
  cr_expect_eq(harness.StartAll().size(), 0);
  reportEndOf(2, 2);
  cr_expect_eq(harness.StartAll().size(), 0);
  reportEndOf(3, 3);
  cr_expect_eq(harness.StartAll().size(), 1);
  setCpu(4000);
  cr_expect_eq(harness.StartAll().size(), 2);
}

// Guards against: an owner sends the same stop to a worker that refuses it as
// fast as the answers come.
Test(refused_stop, is_repeated_with_a_delay)
{
  for (const auto outcome : { CallOutcome::WorkerRestarted,
                              CallOutcome::Unhealthy,
                              CallOutcome::Malformed,
                              CallOutcome::UnreadableAnswer,
                              CallOutcome::NotSent }) {
    auto started = StartedTask{};
    started.AnswerFor({ RunReportOf(started.start) });
    auto& harness = started.harness;
    harness.cell.OnCancel(harness.now, started.start.task.job);
    harness.calls.clear();
    auto worker =
      UnreportingWorker{ harness, started.start.worker, outcome, Millis{ 0 } };
    constexpr Millis kWatched{ 2000 };
    cr_assert_not(worker.NextStart(kWatched).has_value());
    const auto most = 2 + static_cast<int>(kWatched / kStopRetryDelay);
    cr_expect(worker.calls[CallKind::Stop] > 2 &&
                worker.calls[CallKind::Stop] <= most,
              "%s: %d stops",
              ToText(outcome),
              worker.calls[CallKind::Stop]);
    cr_expect(worker.calls[CallKind::Renew] <= most,
              "%s: %d renewals",
              ToText(outcome),
              worker.calls[CallKind::Renew]);
  }
}
