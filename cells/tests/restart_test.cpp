// What a cell makes of a worker whose process was started anew under its id.

#include <criterion/criterion.h>

#include "startedtask.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

// Two workers; each has a renewal to answer that was sent before an order to
// start a task on one of them.
struct StartBesideRenewals
{
  CellHarness harness;
  WorkerCall start;
  // To the same worker.
  WorkerCall renewal;

  StartBesideRenewals()
  {
    this->harness.AddWorker("w1");
    this->harness.AddWorker("w2");
    auto renewals = std::map<WorkerId, WorkerCall>{};
    while (renewals.size() < 2) {
      this->harness.Advance(Millis{ 100 });
      this->harness.Tick();
      for (const auto& call : this->harness.TakeCallsOfKind(CallKind::Renew)) {
        renewals[call.worker] = call;
      }
    }
    this->harness.Submit(JobWithSteps({ 1 }));
    this->harness.Advance(Millis{ 20 });
    this->harness.Tick();
    this->harness.RecordAll();
    const auto starts = this->harness.TakeCallsOfKind(CallKind::Start);
    cr_assert_eq(starts.size(), 1);
    this->start = starts[0];
    this->renewal = renewals.at(this->start.worker);
  }

  // The process that answers was started since, and its clock began anew.
  auto AnswerAsLaterProcess(const WorkerCall& aCall) -> void
  {
    this->harness.clockOffset[aCall.worker] = Millis{ -500'000 };
    this->harness.Answer(aCall, CallOutcome::Done);
    this->harness.clockOffset.clear();
  }
};

} // namespace

// Guards against: a task runs twice because its worker was restarted under its
// id just before it accepted the start, and all runs there count as ended once
// the worker's entry tells of the restart.
Test(restart, keeps_a_run_that_the_later_process_accepted)
{
  auto started = StartedTask{};
  started.Restart();
  started.ListLaterProcess();
  cr_expect_eq(started.harness.StartAll().size(), 0);
  started.AnswerFor({ RunReportOf(started.start) });
  cr_expect_eq(started.harness.StartAll().size(), 0);
  // Its end counts.
  const auto call = [&] {
    auto renewals = std::vector<WorkerCall>{};
    while (renewals.empty()) {
      started.harness.Advance(Millis{ 100 });
      started.harness.Tick();
      renewals = started.harness.TakeCallsOfKind(CallKind::Renew);
      std::erase_if(renewals, [&](const WorkerCall& aCall) {
        return aCall.worker != started.start.worker;
      });
    }
    return renewals[0];
  }();
  started.harness.Report(
    call, {}, { EndReportOf(started.start, 1, RunOutcome::Done) });
  cr_expect_eq(started.harness.cell.FindJob(started.start.task.job)->state,
               JobState::Completed);
}

// Guards against the same where a report tells of the restart.
Test(restart, that_a_report_tells_of_keeps_the_runs_that_it_lists)
{
  auto started = StartedTask{};
  started.Restart();
  started.AnswerFor({ RunReportOf(started.start) });
  cr_expect_eq(started.harness.StartAll().size(), 0);
}

// Guards against: a task that ended with the earlier process of its worker is
// not started again, because the clock of the later one begins anew.
Test(restart, starts_what_ended_with_the_earlier_process)
{
  auto started = StartedTask{};
  started.AnswerFor({ RunReportOf(started.start) });
  started.Restart();
  started.ListLaterProcess();
  started.harness.clockOffset[started.start.worker] = Millis{ -500'000 };
  started.AnswerFor({});
  cr_expect_eq(started.harness.StartAll().size(), 1);
}

// Guards against: a task runs twice because a start whose answer is on its way
// counts as ended with the earlier process.
Test(restart, awaits_the_answer_to_a_start)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.RecordAll();
  const auto starts = harness.TakeCallsOfKind(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness.workerStarts[{ "w1" }] = StartedTask::kLater;
  harness.Tick();
  harness.AnswerRenewals();
  cr_expect_eq(harness.StartAll().size(), 0);
  harness.Answer(starts[0], CallOutcome::Done);
  StartedTask::AnswerFor(harness, { "w1" }, { RunReportOf(starts[0]) });
  cr_expect_eq(harness.StartAll().size(), 0);
}

// Guards against: a task runs twice because an order to start it, settled by a
// stop that the earlier process confirmed, reaches the later one.
Test(restart, stops_again_what_may_yet_start)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.Submit(JobWithSteps({ 1 }));
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.RecordAll();
  const auto starts = harness.TakeCallsOfKind(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness.Answer(starts[0], CallOutcome::Unanswered);
  harness.Tick();
  harness.AnswerRenewals();
  harness.Tick();
  const auto stops = harness.TakeCallsOfKind(CallKind::Stop);
  cr_assert_eq(stops.size(), 1);
  harness.Answer(stops[0], CallOutcome::Done);
  harness.workerStarts[{ "w1" }] = StartedTask::kLater;
  harness.Advance(Millis{ 200 });
  harness.Tick();
  harness.AnswerRenewals();
  harness.Tick();
  cr_expect_eq(harness.StartAll().size(), 0);
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Stop).size(), 1);
}

// Guards against: the next owner starts a task that the later process of its
// worker accepted, because the job's record names the earlier one.
Test(restart, keeps_an_inherited_run_that_the_later_process_accepted)
{
  auto first = StartedTask{};
  const auto* const job = first.harness.cell.FindJob(first.start.task.job);
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(job->row, MakeJobRecord(*job));
  auto second = CellHarness{ {}, takeover };
  second.table = first.harness.table;
  second.table.at(first.start.worker).startUnixMs = StartedTask::kLater;
  second.workerStarts[first.start.worker] = StartedTask::kLater;
  second.cell.OnWorkers(second.now, second.table);
  second.Tick();
  StartedTask::AnswerFor(
    second, first.start.worker, { RunReportOf(first.start) });
  cr_expect_eq(second.StartAll().size(), 0);
}

// Guards against: a task runs twice because a report that the earlier process
// made before the start, on a clock that is ahead, arrives after its answer.
Test(restart, a_late_report_of_the_earlier_process_ends_no_run)
{
  auto started = StartBesideRenewals{};
  started.AnswerAsLaterProcess(started.start);
  started.harness.Report(started.renewal, {}, {});
  cr_expect_eq(started.harness.StartAll().size(), 0);
}

// Guards against: a task starts again while its run is being stopped, because
// such a report counts as made after the stop.
Test(restart, a_late_report_of_the_earlier_process_settles_no_stop)
{
  auto started = StartBesideRenewals{};
  auto& harness = started.harness;
  harness.Answer(started.start, CallOutcome::Unanswered);
  harness.Tick();
  harness.AnswerRenewals();
  harness.Tick();
  const auto stops = harness.TakeCallsOfKind(CallKind::Stop);
  cr_assert_eq(stops.size(), 1);
  harness.Advance(Millis{ 100 });
  started.AnswerAsLaterProcess(stops[0]);
  harness.Report(started.renewal, {}, {});
  cr_expect_eq(harness.StartAll().size(), 0);
}

// Guards against: an entry of another writer ends the runs of a worker that is
// well.
Test(restart, that_only_an_entry_tells_of_ends_no_runs)
{
  auto started = StartedTask{};
  started.ListLaterProcess();
  started.AnswerFor({ RunReportOf(started.start) });
  cr_expect_eq(started.harness.StartAll().size(), 0);
  started.harness.Submit(JobWithSteps({ 32 }));
  cr_expect_eq(started.harness.StartAll().size(), 31);
}

// Guards against: a restart shows only once the worker's entry is written
// again, although the clock in an answer began anew.
Test(restart, shows_in_a_clock_that_went_back)
{
  auto started = StartedTask{};
  started.AnswerFor({ RunReportOf(started.start) });
  started.harness.calls.clear();
  started.harness.clockOffset[started.start.worker] = Millis{ -500'000 };
  started.harness.Submit(JobWithSteps({ 2 }));
  started.harness.StartAll();
  started.harness.Tick();
  const auto renewals = started.harness.TakeCallsOfKind(CallKind::Renew);
  cr_assert(
    std::any_of(renewals.begin(), renewals.end(), [&](const WorkerCall& aCall) {
      return aCall.worker == started.start.worker && aCall.maxWait.count() == 0;
    }));
  const auto& slot = started.harness.cell.Workers().at(started.start.worker);
  cr_expect(slot.restartSuspected);
}

// Guards against: the reports of a later process are never read, because the
// time of day was set back before it started; what ended with the earlier
// process never starts again.
Test(restart, shows_although_the_time_of_day_was_set_back)
{
  auto started = StartedTask{};
  started.AnswerFor({ RunReportOf(started.start) });
  started.harness.workerStarts[started.start.worker] = 500;
  started.harness.clockOffset[started.start.worker] = Millis{ -500'000 };
  started.AnswerFor({});
  const auto& slot = started.harness.cell.Workers().at(started.start.worker);
  cr_expect_eq(slot.entry.startUnixMs, 500);
  cr_expect_eq(started.harness.StartAll().size(), 1);
}

// Guards against: a task runs twice because the lease of a worker that may have
// been restarted counts as over before the longest that it accepts is.
Test(restart, lengthens_the_lease_until_a_report_tells)
{
  auto options = CellOptions{};
  options.maxLease = Millis{ 10'000 };
  auto started = StartedTask{ options };
  started.ListLaterProcess();
  const auto& slot = started.harness.cell.Workers().at(started.start.worker);
  cr_expect_geq(ToMillis(slot.LeaseOverBy() - started.harness.now).count(),
                10'000);
  cr_expect_eq(started.harness.cell.LongestLease(started.harness.now),
               options.maxLease);
}

// Guards against: a lease counts as over too early because a late answer of the
// earlier process passes for the later one's clock.
Test(restart, ignores_the_clock_of_the_earlier_process)
{
  auto started = StartedTask{};
  started.AnswerFor({ RunReportOf(started.start) });
  const auto late = [&] {
    auto call = WorkerCall{};
    while (call.number == 0) {
      started.harness.Advance(Millis{ 100 });
      started.harness.Tick();
      for (const auto& renewal :
           started.harness.TakeCallsOfKind(CallKind::Renew)) {
        call = renewal.worker == started.start.worker ? renewal : call;
      }
    }
    return call;
  }();
  started.Restart();
  started.harness.clockOffset[started.start.worker] = Millis{ -500'000 };
  started.ListLaterProcess();
  started.AnswerFor({});
  const auto& slot = started.harness.cell.Workers().at(started.start.worker);
  cr_assert_eq(slot.entry.startUnixMs, StartedTask::kLater);
  started.harness.workerStarts[started.start.worker] = 1000;
  started.harness.clockOffset.clear();
  started.harness.Report(late, { RunReportOf(started.start) }, {});
  cr_expect_leq(slot.clockSample->clockMs, started.harness.ClockMs() - 500'000);
}

// Guards against: a process that was started since forgets ends that nobody has
// read, because a renewal tells it that the ends of the earlier one are
// recorded. Its task runs twice then.
Test(restart, an_end_is_acknowledged_once)
{
  auto started = StartedTask{};
  auto& harness = started.harness;
  harness.Report(started.NextRenewal(),
                 {},
                 { EndReportOf(started.start, 1, RunOutcome::Done) });
  harness.RecordAll();
  auto acknowledgement = started.NextRenewal();
  cr_expect_eq(acknowledgement.lastRecordedEnd, 1);
  // A worker that did not answer may be restarted by the next call.
  harness.Answer(acknowledgement, CallOutcome::Unanswered);
  auto probe = started.NextRenewal();
  cr_expect_eq(probe.lastRecordedEnd, 0);
  harness.Report(probe, {}, {});
  acknowledgement = started.NextRenewal();
  cr_expect_eq(acknowledgement.lastRecordedEnd, 1);
  harness.Report(acknowledgement, {}, {});
  cr_expect_eq(started.NextRenewal().lastRecordedEnd, 0);
}

// Guards against the same where the acknowledgement would open a connection,
// which may lead to a later process.
Test(restart, an_end_is_acknowledged_on_an_open_connection)
{
  auto started = StartedTask{};
  auto& harness = started.harness;
  harness.Report(started.NextRenewal(),
                 {},
                 { EndReportOf(started.start, 1, RunOutcome::Done) });
  harness.RecordAll();
  const auto acknowledgement = started.NextRenewal();
  cr_assert_eq(acknowledgement.lastRecordedEnd, 1);
  cr_expect_eq(
    acknowledgement.processStartUnixMs,
    harness.cell.Workers().at(started.start.worker).entry.startUnixMs);
  harness.Answer(acknowledgement, CallOutcome::NotSent);
  cr_expect(!harness.cell.Workers().at(started.start.worker).silent);
  // This one opens the connection.
  const auto renewal = started.NextRenewal();
  cr_expect_eq(renewal.lastRecordedEnd, 0);
  harness.Report(renewal, {}, {});
  cr_expect_eq(started.NextRenewal().lastRecordedEnd, 1);
}

// Guards against: a worker that closes each connection after its answer keeps
// its ends for ever, and is asked for a report again and again.
Test(restart, an_end_is_acknowledged_although_no_connection_lasts)
{
  auto started = StartedTask{};
  auto& harness = started.harness;
  harness.Report(started.NextRenewal(),
                 {},
                 { EndReportOf(started.start, 1, RunOutcome::Done) });
  harness.RecordAll();
  auto renewals = 0;
  auto acknowledged = false;
  while (!acknowledged && renewals < 20) {
    const auto renewal = started.NextRenewal();
    ++renewals;
    acknowledged =
      renewal.lastRecordedEnd > 0 && renewal.processStartUnixMs == 0;
    if (renewal.processStartUnixMs != 0) {
      harness.Answer(renewal, CallOutcome::NotSent);
    } else {
      harness.Report(renewal, {}, {});
    }
  }
  cr_expect(acknowledged);
  cr_expect_eq(renewals, 2 * kMaxUnsentAcknowledgements + 1);
}

// Guards against: tasks of a worker that was restarted wait for as long as it
// is unhealthy, because each of its answers lengthens the lease that the later
// process may have.
Test(restart, that_no_report_settles_lengthens_the_lease_once)
{
  for (const auto outcome : { CallOutcome::Unhealthy,
                              CallOutcome::Malformed,
                              CallOutcome::Fenced }) {
    auto started = StartedTask{};
    started.AnswerFor({ RunReportOf(started.start) });
    auto worker = UnreportingWorker{
      started.harness, started.start.worker, outcome, Millis{ -500'000 }
    };
    const auto restartedAt = started.harness.now;
    const auto start = worker.NextStart(Millis{ 20'000 });
    if (!start) {
      cr_expect(false, "%s: never started", ToText(outcome));
      continue;
    }
    const auto took = ToMillis(started.harness.now - restartedAt);
    const auto after = took - CellOptions{}.maxLease;
    cr_expect(after >= Millis{ 0 } && after <= Millis{ 400 },
              "%s: %ld ms after the longest lease",
              ToText(outcome),
              long{ after.count() });
    cr_expect(worker.calls[CallKind::Renew] <= 2 + took / kRenewRetryDelay,
              "%s: %d renewals",
              ToText(outcome),
              worker.calls[CallKind::Renew]);
  }
}

// Guards against the same where the worker does not answer, and its entry is
// written again and again with different start times.
Test(restart, that_entries_tell_of_again_lengthens_the_lease_once)
{
  auto started = StartedTask{};
  started.AnswerFor({ RunReportOf(started.start) });
  auto worker = UnreportingWorker{
    started.harness, started.start.worker, CallOutcome::Unanswered, Millis{ 0 }
  };
  auto start = std::optional<WorkerCall>{};
  const auto restartedAt = started.harness.now;
  for (auto entry = 0; entry < 40 && !start; ++entry) {
    started.harness.table.at(started.start.worker).startUnixMs =
      StartedTask::kLater + entry;
    started.harness.cell.OnWorkers(started.harness.now, started.harness.table);
    start = worker.NextStart(Millis{ 500 });
  }
  cr_assert(start.has_value());
  const auto after =
    ToMillis(started.harness.now - restartedAt - CellOptions{}.maxLease);
  cr_expect(after >= Millis{ 0 } && after <= Millis{ 400 },
            "%ld ms after the longest lease",
            long{ after.count() });
}

// Guards against: a task runs twice because the lease that the later process
// took from an order counts from when the restart was suspected first.
Test(restart, that_answers_an_earlier_start_lengthens_the_lease_again)
{
  auto started = StartBesideRenewals{};
  auto& harness = started.harness;
  const auto& slot = harness.cell.Workers().at(started.start.worker);
  harness.table.at(started.start.worker).startUnixMs = StartedTask::kLater;
  harness.cell.OnWorkers(harness.now, harness.table);
  const auto suspectedUntil = slot.LeaseOverBy();
  harness.Advance(Millis{ 400 });
  started.AnswerAsLaterProcess(started.start);
  cr_expect_geq(slot.LeaseOverBy(), suspectedUntil + Millis{ 400 });
}
