// Decisions of a cell's owner, and the calls and records that result.

#include <criterion/criterion.h>

#include "cellharness.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

Test(cell, a_start_is_recorded_before_it_is_sent)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 2 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  cr_assert_eq(harness.TakeCallsOfKind(CallKind::Start).size(), 0);
  const auto batch = harness.cell.NextBatch(harness.now);
  cr_assert(batch.has_value());
  auto reason = std::string{};
  const auto record = DecodeJobRecord(batch->records.front().second, reason);
  cr_assert(record.has_value());
  cr_expect_eq(record->tasks.size(), 2);
  cr_expect_eq(record->tasks[0].runs[0].worker.text, "w1");
  cr_expect_eq(record->tasks[0].runs[0].machine.text, "machine-w1");
  harness.cell.OnBatchRecorded(harness.now, batch->number);
  harness.CollectCalls();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Start).size(), 2);
}

Test(cell, a_later_step_waits_for_all_tasks_before_it)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto job = harness.Submit(JobWithSteps({ 2, 1 }));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  harness.Tick();
  auto renewals = harness.TakeCallsOfKind(CallKind::Renew);
  cr_assert_eq(renewals.size(), 1);
  harness.Report(renewals[0],
                 { RunReportOf(starts[1]) },
                 { EndReportOf(starts[0], 1, RunOutcome::Done) });
  cr_expect_eq(harness.StartAll().size(), 0);
  renewals = harness.TakeCallsOfKind(CallKind::Renew);
  harness.Tick();
  for (const auto& more : harness.TakeCallsOfKind(CallKind::Renew)) {
    renewals.push_back(more);
  }
  cr_assert_geq(renewals.size(), 1);
  // The end is recorded, so the worker may discard it.
  cr_expect_eq(renewals.back().lastRecordedEnd, 1);
  harness.Report(
    renewals.back(), {}, { EndReportOf(starts[1], 2, RunOutcome::Done) });
  const auto last = harness.StartAll();
  cr_assert_eq(last.size(), 1);
  cr_expect_eq(last[0].task.step, 1);
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Running);
}

Test(cell, an_end_is_acknowledged_only_after_it_was_recorded)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto job = harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  harness.Tick();
  harness.Report(harness.TakeCallsOfKind(CallKind::Renew).at(0),
                 {},
                 { EndReportOf(starts[0], 1, RunOutcome::Done) });
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Completed);
  cr_expect_neq(harness.cell.FindJob(job)->recordedState, JobState::Completed);
  harness.Advance(Millis{ 300 });
  harness.Tick();
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    cr_expect_eq(call.lastRecordedEnd, 0);
    harness.Report(call, {}, { EndReportOf(starts[0], 1, RunOutcome::Done) });
  }
  harness.RecordAll();
  cr_expect_eq(harness.cell.FindJob(job)->recordedState, JobState::Completed);
  harness.Tick();
  const auto renewals = harness.TakeCallsOfKind(CallKind::Renew);
  cr_assert_geq(renewals.size(), 1);
  cr_expect_eq(renewals.back().lastRecordedEnd, 1);
}

Test(cell, an_unanswered_start_is_settled_by_a_stop_before_it_is_tried_again)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.RecordAll();
  const auto start = harness.TakeCallsOfKind(CallKind::Start).at(0);
  harness.Answer(start, CallOutcome::Unanswered);
  harness.Tick();
  harness.Report(harness.TakeCallsOfKind(CallKind::Renew).at(0), {}, {});
  harness.Advance(Millis{ 20 });
  harness.Tick();
  // The run is not reported, but the worker could still start it: the cell
  // sends a stop and no second start.
  const auto stops = harness.TakeCallsOfKind(CallKind::Stop);
  cr_assert_eq(stops.size(), 1);
  cr_expect_eq(stops[0].runNumber, start.runNumber);
  harness.RecordAll();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Start).size(), 0);
  harness.Answer(stops[0], CallOutcome::Done);
  harness.Advance(Millis{ 10 });
  harness.Tick();
  harness.Report(harness.TakeCallsOfKind(CallKind::Renew).back(), {}, {});
  harness.Advance(kRefusalAvoidTime * 2);
  const auto again = harness.StartAll();
  cr_assert_eq(again.size(), 1);
  cr_expect_gt(again[0].runNumber, start.runNumber);
}

// Guards against dropping a run because of an outdated report: of two reports
// with the same clock in milliseconds, the older one is read later and does not
// list a run that started in between.
Test(cell, a_report_of_the_same_moment_does_not_drop_a_run)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.RecordAll();
  const auto start = harness.TakeCallsOfKind(CallKind::Start).at(0);
  harness.Answer(start, CallOutcome::Unanswered);
  harness.Tick();
  const auto renewals = harness.TakeCallsOfKind(CallKind::Renew);
  cr_assert_geq(renewals.size(), 1);
  harness.Report(renewals[0], { RunReportOf(start) }, {});
  harness.Advance(kMinRenewInterval);
  harness.Tick();
  const auto next = harness.TakeCallsOfKind(CallKind::Renew).at(0);
  auto answer = WorkerAnswer{ next.number, CallOutcome::Done };
  answer.clockMs = harness.ClockMs() - kMinRenewInterval.count();
  answer.workerStartUnixMs = 1000;
  harness.cell.OnWorkerAnswer(harness.now, answer);
  cr_expect_eq(harness.StartAll().size(), 0);
}

Test(cell, a_silent_workers_tasks_restart_only_after_its_lease_expired)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.AddWorker("w2");
  harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 1);
  harness.Tick();
  const auto silent = starts[0].worker;
  const auto renewed = harness.now;
  auto restarted = std::optional<Time>{};
  for (auto step = 0; step < 200 && !restarted; ++step) {
    harness.Advance(Millis{ 50 });
    harness.Tick();
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
      if (call.worker == silent) {
        harness.Answer(call, CallOutcome::Unanswered);
      } else {
        harness.Report(call, {}, {});
      }
    }
    if (const auto batch = harness.cell.NextBatch(harness.now)) {
      harness.cell.OnBatchRecorded(harness.now, batch->number);
      harness.CollectCalls();
    }
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Start)) {
      restarted = harness.now;
      cr_expect_neq(call.worker, silent);
      cr_expect_gt(call.runNumber, starts[0].runNumber);
    }
  }
  cr_assert(restarted.has_value());
  const auto options = CellOptions{};
  // The lower bound is the lease; the upper one leaves time for the drift of
  // the worker's clock, which may be 2% slow.
  cr_expect(*restarted >= renewed + options.lease);
  cr_expect(*restarted < renewed + options.lease * 2);
}

Test(cell, a_new_owner_asks_workers_before_it_restarts_inherited_runs)
{
  // The record of an earlier owner: both tasks were started on w1.
  auto first = CellHarness{};
  first.AddWorker("w1");
  const auto job = first.Submit(JobWithSteps({ 2 }));
  const auto starts = first.StartAll();
  auto reason = std::string{};
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(
    first.cell.FindJob(job)->row,
    DecodeJobRecord(EncodeJobRecord(MakeJobRecord(*first.cell.FindJob(job))),
                    reason));
  auto second = CellHarness{ {}, takeover };
  auto entry = first.table.begin()->second;
  second.table[entry.id] = entry;
  second.cell.OnWorkers(second.now, second.table);
  cr_expect_eq(second.StartAll().size(), 0);
  second.Tick();
  const auto renewals = second.TakeCallsOfKind(CallKind::Renew);
  cr_assert_geq(renewals.size(), 1);
  cr_expect_eq(renewals[0].fencingToken, 2);
  // The worker reports one of the two runs; the other was never started.
  second.Report(renewals[0], { RunReportOf(starts[0]) }, {});
  const auto again = second.StartAll();
  cr_assert_eq(again.size(), 1);
  cr_expect_eq(again[0].task.index, starts[1].task.index);
  cr_expect_gt(again[0].runNumber, starts[1].runNumber);
}

// Guards against ignoring or misnumbering ends after a takeover: a worker
// numbers its ends from its start on, and an earlier owner has recorded the
// first ones.
Test(cell, ends_after_a_takeover_start_at_any_number)
{
  auto first = CellHarness{};
  first.AddWorker("w1");
  const auto job = first.Submit(JobWithSteps({ 1 }));
  const auto starts = first.StartAll();
  auto reason = std::string{};
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(
    first.cell.FindJob(job)->row,
    DecodeJobRecord(EncodeJobRecord(MakeJobRecord(*first.cell.FindJob(job))),
                    reason));
  auto second = CellHarness{ {}, takeover };
  second.table = first.table;
  second.cell.OnWorkers(second.now, second.table);
  second.Tick();
  second.Report(second.TakeCallsOfKind(CallKind::Renew).at(0),
                {},
                { EndReportOf(starts[0], 143, RunOutcome::Done) });
  cr_expect_eq(second.cell.FindJob(job)->state, JobState::Completed);
  second.RecordAll();
  second.Tick();
  const auto renewals = second.TakeCallsOfKind(CallKind::Renew);
  cr_assert_geq(renewals.size(), 1);
  cr_expect_eq(renewals.back().lastRecordedEnd, 143);
}

Test(cell, a_batch_with_an_unknown_outcome_may_turn_out_recorded)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  const auto batch = harness.cell.NextBatch(harness.now);
  cr_assert(batch.has_value());
  harness.cell.OnBatchOutcomeUnknown(harness.now, batch->number);
  harness.Advance(kCommitRetryDelay);
  const auto second = harness.cell.NextBatch(harness.now);
  cr_assert(second.has_value());
  // The store reports that the first batch was written.
  harness.cell.OnBatchRecorded(harness.now, batch->number);
  harness.CollectCalls();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Start).size(), 1);
  // The contents of the second batch are written again; nothing starts twice.
  harness.RecordAll();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Start).size(), 0);
}

Test(cell, a_job_fails_after_its_last_attempt)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto job = harness.Submit(JobWithSteps({ 1 }));
  for (auto attempt = std::uint64_t{ 1 }; attempt <= 2; ++attempt) {
    const auto starts = harness.StartAll();
    cr_assert_eq(starts.size(), 1);
    harness.Tick();
    harness.Report(harness.TakeCallsOfKind(CallKind::Renew).back(),
                   {},
                   { EndReportOf(starts[0], attempt, RunOutcome::Failed) });
    harness.Advance(kFailureBackoffMax);
  }
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Failed);
  cr_expect_eq(harness.StartAll().size(), 0);
}

Test(cell, a_long_running_task_is_started_again_however_it_ends)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  auto spec = JobWithSteps({ 1 });
  spec.steps[0].longRunning = true;
  harness.Submit(spec);
  auto number = std::uint64_t{ 0 };
  for (const auto how :
       { RunOutcome::Failed, RunOutcome::Done, RunOutcome::LeaseExpired }) {
    const auto starts = harness.StartAll();
    cr_assert_eq(starts.size(), 1);
    harness.Tick();
    harness.Report(harness.TakeCallsOfKind(CallKind::Renew).back(),
                   {},
                   { EndReportOf(starts[0], ++number, how) });
    harness.Advance(kFailureBackoffMax);
  }
  cr_expect_eq(harness.StartAll().size(), 1);
}

Test(cell, a_cancelled_job_stops_and_starts_nothing)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto job = harness.Submit(JobWithSteps({ 1, 1 }));
  const auto starts = harness.StartAll();
  harness.cell.OnCancel(harness.now, job);
  harness.Tick();
  const auto stops = harness.TakeCallsOfKind(CallKind::Stop);
  cr_assert_eq(stops.size(), 1);
  cr_expect_eq(stops[0].task, starts[0].task);
  cr_expect_eq(harness.StartAll().size(), 0);
  cr_expect_eq(harness.cell.FindJob(job)->recordedState, JobState::Cancelled);
}

Test(cell, a_cancellation_may_come_before_its_job)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.cell.OnCancel(harness.now, *JobId::Parse("0000000000000001"));
  const auto job = harness.Submit(JobWithSteps({ 1 }));
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Cancelled);
  cr_expect_eq(harness.StartAll().size(), 0);
}

Test(cell, the_same_job_twice_is_one_job)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  const auto job = harness.Submit(JobWithSteps({ 1 }));
  harness.cell.OnSubmission(harness.now, 0, harness.cell.FindJob(job)->row);
  cr_expect_eq(harness.StartAll().size(), 1);
}

Test(cell, nothing_starts_in_an_evacuated_domain)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  // The start is planned but not recorded yet.
  harness.cell.OnEvacuations(harness.now, { { "zone-a" } });
  cr_expect_eq(harness.StartAll().size(), 0);
  harness.cell.OnEvacuations(harness.now, {});
  cr_expect_eq(harness.StartAll().size(), 1);
}

Test(cell, nothing_starts_on_an_outdated_view_of_the_site)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(kSiteMaxAge + Millis{ 20 });
  harness.cell.OnTick(harness.now, 0);
  cr_expect_not(harness.cell.NextBatch(harness.now).has_value());
  cr_expect_eq(harness.StartAll().size(), 1);
}

Test(cell, no_worker_gets_more_than_it_holds)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 3500, 64000, 0 });
  harness.AddWorker("w2", { 64000, 1500, 0 });
  harness.Submit(JobWithSteps({ 9 }));
  auto byWorker = std::map<std::string, int>{};
  for (const auto& start : harness.StartAll()) {
    ++byWorker[start.worker.text];
  }
  cr_expect_eq(byWorker["w1"], 3);
  cr_expect_eq(byWorker["w2"], 1);
}

Test(cell, a_job_is_pending_until_one_of_its_tasks_has_started)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.RecordAll();
  cr_expect_eq(harness.cell.PendingJobsIn({ "queue" }), 1);
  harness.Answer(harness.TakeCallsOfKind(CallKind::Start).at(0),
                 CallOutcome::Done);
  cr_expect_eq(harness.cell.PendingJobsIn({ "queue" }), 0);
}

Test(cell, a_silent_workers_lease_is_not_extended)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.StartAll();
  harness.Tick();
  const auto given = harness.TakeCallsOfKind(CallKind::Renew).at(0);
  cr_expect_gt(given.leaseEndMs, 0);
  harness.Answer(given, CallOutcome::Unanswered);
  harness.Advance(kRenewRetryDelay);
  harness.Tick();
  const auto probe = harness.TakeCallsOfKind(CallKind::Renew).at(0);
  cr_expect_eq(probe.leaseEndMs, 0);
  // The owner's row says when the lease expires: no lease may end later while
  // that row may be read.
  cr_expect_eq(harness.cell.SilentWorkers().size(), 1);
  harness.Report(probe, {}, {});
  harness.Advance(kMinRenewInterval);
  harness.Tick();
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    cr_expect_eq(call.leaseEndMs, 0);
    harness.Report(call, {}, {});
  }
  harness.cell.OnSilentWorkersWritten({});
  harness.Advance(kIdleRenewInterval);
  cr_expect_eq(harness.StartAll().size(), 1);
  harness.Tick();
  cr_expect_gt(harness.TakeCallsOfKind(CallKind::Renew).at(0).leaseEndMs, 0);
}

// Guards against losing runs while the store accepts no records: ends that are
// not recorded make the worker answer at once, and the leases of the other runs
// still have to be renewed.
Test(cell, leases_are_renewed_while_nothing_can_be_recorded)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 2 }));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  harness.Tick();
  harness.Report(harness.TakeCallsOfKind(CallKind::Renew).at(0),
                 { RunReportOf(starts[1]) },
                 { EndReportOf(starts[0], 1, RunOutcome::Done) });
  const auto batch = harness.cell.NextBatch(harness.now);
  auto renewed = 0;
  for (auto step = 0; step < 100; ++step) {
    harness.Advance(Millis{ 50 });
    harness.Tick();
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
      renewed += call.leaseEndMs > 0 ? 1 : 0;
      harness.Report(call,
                     { RunReportOf(starts[1]) },
                     { EndReportOf(starts[0], 1, RunOutcome::Done) });
    }
  }
  cr_expect_geq(renewed, 3);
  cr_expect_leq(renewed, 8);
}

Test(cell, no_lease_is_extended_without_confirmed_ownership)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  harness.Tick();
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    harness.Report(call, { RunReportOf(starts.at(0)) }, {});
  }
  harness.Advance(CellOptions{}.ownershipValidity + Millis{ 1 });
  harness.cell.OnTick(harness.now, 0);
  harness.CollectCalls();
  const auto renewals = harness.TakeCallsOfKind(CallKind::Renew);
  cr_assert_geq(renewals.size(), 1);
  cr_expect_eq(renewals[0].leaseEndMs, 0);
}
