// Tasks that one cell runs for another: rows, decisions and takeovers.

#include <criterion/criterion.h>

#include "cellharness.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

const std::string kHomeCell = "home";
const std::string kHostCell = "host";

// A cell with room for this many thousandths of a core.
auto
LoadWithRoom(std::int64_t aCpuMillis) -> CellLoad
{
  auto load = CellLoad{};
  load.capacity[kServiceName] = 64000;
  load.room = aCpuMillis;
  load.largestRoom = aCpuMillis;
  return load;
}

// Two tasks of step 0 that a home cell delegates.
auto
DelegationOfTwo(std::uint64_t aNumber) -> Delegation
{
  auto delegation = Delegation{ aNumber };
  delegation.job.id = *JobId::Parse("00000000000000d1");
  delegation.job.queue = { "queue" };
  delegation.job.policy.service = { kServiceName };
  delegation.job.policy.maxAttempts = 2;
  delegation.job.acceptedUnixMs = 5;
  delegation.job.cell = kHomeCell;
  delegation.job.spec = JobWithSteps({ 1, 4 });
  delegation.step = 1;
  delegation.tasks = { { 1, 0, 0, "" }, { 3, 1, 2, "saved", Millis{ 70 } } };
  return delegation;
}

// The rows of delegations in the next batch, which is recorded.
auto
RecordedRows(CellHarness& aHarness) -> RecordBatch
{
  auto rows = RecordBatch{};
  for (auto round = 0; round < 8; ++round) {
    if (const auto batch = aHarness.cell.NextBatch(aHarness.now)) {
      for (const auto& put : batch->delegationPuts) {
        rows.delegationPuts.push_back(put);
      }
      for (const auto& key : batch->delegationRemovals) {
        rows.delegationRemovals.push_back(key);
      }
      for (const auto& record : batch->records) {
        rows.records.push_back(record);
      }
      aHarness.cell.OnBatchRecorded(aHarness.now, batch->number);
    }
    aHarness.Advance(Millis{ 30 });
  }
  aHarness.CollectCalls();
  return rows;
}

auto
ReportIn(const RecordBatch& aRows) -> DelegationReport
{
  cr_assert_gt(aRows.delegationPuts.size(), 0);
  auto reason = std::string{};
  const auto report =
    DecodeDelegationReport(aRows.delegationPuts.back().second, reason);
  cr_assert(report.has_value(), "%s", reason.c_str());
  return *report;
}

auto
DelegationIn(const RecordBatch& aRows) -> Delegation
{
  cr_assert_gt(aRows.delegationPuts.size(), 0);
  auto reason = std::string{};
  const auto row = DecodeDelegation(aRows.delegationPuts.back().second, reason);
  cr_assert(row.has_value(), "%s", reason.c_str());
  return *row;
}

// A cell whose worker has room for one of three tasks, so that it delegates
// two.
struct FullCell
{
  FullCell()
  {
    this->harness.AddWorker("w1", { 1000, 64000, 0 });
    this->harness.cell.OnPeerLoad(
      this->harness.now, kHostCell, LoadWithRoom(32000));
    this->job = this->harness.Submit(JobWithSteps({ 3 }));
    this->start = this->harness.StartAll().at(0);
    this->harness.Advance(kDelegateAfter * 2);
    this->harness.Tick();
    this->delegation = DelegationIn(RecordedRows(this->harness));
  }

  // The host reports the first task in this state, the second as held.
  auto Report(DelegatedTaskState aState) -> void
  {
    auto report = DelegationReport{ this->delegation.number, this->job, true };
    report.tasks = { { this->delegation.tasks[0].index, aState, 1, 4, "c" },
                     { this->delegation.tasks[1].index } };
    this->harness.cell.OnDelegationReport(this->harness.now, kHostCell, report);
  }

  CellHarness harness;
  JobId job;
  WorkerCall start;
  Delegation delegation;
};

// The starts of the task with this index.
auto
StartsOf(CellHarness& aHarness, std::uint32_t aIndex) -> std::vector<WorkerCall>
{
  auto starts = aHarness.StartAll();
  std::erase_if(starts, [aIndex](const WorkerCall& aStart) {
    return aStart.task.index != aIndex;
  });
  return starts;
}

} // namespace

Test(delegation, rows_survive_encoding)
{
  auto reason = std::string{};
  const auto row = DelegationOfTwo(7);
  cr_expect(DecodeDelegation(EncodeDelegation(row), reason) == row);
  auto report = DelegationReport{ 7, row.job.id, true };
  report.tasks = { { 3,
                     DelegatedTaskState::Held,
                     1,
                     3,
                     "saved",
                     { { 3, { "w1" }, 9, { "machine" } } } } };
  cr_expect(DecodeDelegationReport(EncodeDelegationReport(report), reason) ==
            report);
  for (const auto& key :
       { DelegationKey{},
         DelegationKey{ DelegationKey::Kind::Learned },
         DelegationKey{ DelegationKey::Kind::Delegation, "c1", 12 },
         DelegationKey{ DelegationKey::Kind::Report, "c/2", 1 } }) {
    cr_expect(ParseDelegationKey(ToText(key)) == key);
  }
}

Test(delegation, malformed_rows_are_refused_with_a_reason)
{
  auto reason = std::string{};
  auto row = DelegationOfTwo(7);
  row.tasks[0].index = 4;
  cr_expect_not(DecodeDelegation(EncodeDelegation(row), reason).has_value());
  cr_expect_str_eq(reason.c_str(), "task 4 of 4");
  row = DelegationOfTwo(7);
  row.step = 2;
  cr_expect_not(DecodeDelegation(EncodeDelegation(row), reason).has_value());
  cr_expect_str_eq(reason.c_str(), "step 2 of 2");
  cr_expect_not(DecodeDelegation("\x93", reason).has_value());
  cr_expect_not(DecodeDelegationReport("", reason).has_value());
  for (const auto* const key :
       { "", "out/", "out/1", "out//1", "in/c1/x", "x" }) {
    cr_expect_not(ParseDelegationKey(key).has_value(), "%s", key);
  }
}

// Pattern: a full cell beside an empty one.
Test(delegation, tasks_without_room_are_delegated_and_not_started_here)
{
  auto cell = FullCell{};
  cr_expect_eq(cell.delegation.tasks.size(), 2);
  cr_expect_not(cell.delegation.recalled);
  // Room comes free here, but the tasks are the host's now.
  cell.harness.AddWorker("w2");
  for (const auto& task : cell.delegation.tasks) {
    cr_expect_eq(StartsOf(cell.harness, task.index).size(), 0);
  }
  // A host that was full a moment ago gets nothing.
  auto other = CellHarness{};
  other.AddWorker("w1", { 1000, 64000, 0 });
  other.cell.OnPeerLoad(other.now, kHostCell, LoadWithRoom(1000));
  other.Submit(JobWithSteps({ 3 }));
  other.StartAll();
  other.Advance(kDelegateAfter * 2);
  other.Tick();
  cr_expect_eq(RecordedRows(other).delegationPuts.size(), 0);
}

// Guards against: tasks go to a cell whose owner was lost, because its last
// load was read a short time ago.
Test(delegation, a_load_counts_from_when_it_was_measured)
{
  for (const auto age : { kPeerLoadMaxAge / 2, kPeerLoadMaxAge }) {
    auto home = CellHarness{};
    home.AddWorker("w1", { 1000, 64000, 0 });
    home.cell.OnPeerLoad(home.now - age, kHostCell, LoadWithRoom(32000));
    home.Submit(JobWithSteps({ 3 }));
    home.StartAll();
    home.Advance(kDelegateAfter * 2);
    home.Tick();
    cr_expect_eq(RecordedRows(home).delegationPuts.size(),
                 age < kPeerLoadMaxAge ? 1 : 0);
  }
}

Test(delegation, job_completes_when_the_host_has_reported_all_as_done)
{
  auto cell = FullCell{};
  cell.harness.Tick();
  for (const auto& call : cell.harness.TakeCallsOfKind(CallKind::Renew)) {
    cell.harness.Report(
      call, {}, { EndReportOf(cell.start, 1, RunOutcome::Done) });
  }
  auto report = DelegationReport{ cell.delegation.number, cell.job, true };
  for (const auto& task : cell.delegation.tasks) {
    report.tasks.push_back({ task.index, DelegatedTaskState::Done, 0, 1 });
  }
  cell.harness.cell.OnDelegationReport(cell.harness.now, "other", report);
  cr_expect_eq(cell.harness.cell.FindJob(cell.job)->state, JobState::Running);
  cell.harness.cell.OnDelegationReport(cell.harness.now, kHostCell, report);
  cr_expect_eq(cell.harness.cell.FindJob(cell.job)->state, JobState::Completed);
  // The row goes with the record.
  const auto rows = RecordedRows(cell.harness);
  cr_assert_eq(rows.delegationRemovals.size(), 1);
  cr_expect_eq(rows.records.size(), 1);
  cr_expect_eq(cell.harness.cell.FindJob(cell.job)->delegations.size(), 0);
}

Test(delegation, returned_task_starts_here_under_a_higher_number)
{
  auto cell = FullCell{};
  cell.Report(DelegatedTaskState::Returned);
  cell.harness.AddWorker("w2");
  const auto starts = StartsOf(cell.harness, cell.delegation.tasks[0].index);
  cr_assert_eq(starts.size(), 1);
  cr_expect_eq(starts[0].runNumber, 5);
  cr_expect_str_eq(starts[0].checkpoint.c_str(), "c");
}

Test(delegation, task_that_failed_for_good_at_the_host_fails_the_job)
{
  auto cell = FullCell{};
  cell.Report(DelegatedTaskState::Failed);
  cr_expect_eq(cell.harness.cell.FindJob(cell.job)->state, JobState::Failed);
  // The other task is called back.
  cr_expect(DelegationIn(RecordedRows(cell.harness)).recalled);
}

// Pattern: the owner of the home cell changes. Its successor must not start
// what the host may run, nor forget what has come back.
Test(delegation, new_owner_of_the_home_cell_leaves_delegated_tasks_alone)
{
  auto cell = FullCell{};
  cell.Report(DelegatedTaskState::Returned);
  const auto rows = RecordedRows(cell.harness);
  const auto successor = [&](bool aReportIsRead) {
    auto row = JobRow{ cell.job, { "queue" } };
    row.policy.service = { kServiceName };
    row.spec = JobWithSteps({ 3 });
    auto reason = std::string{};
    auto takeover = CellTakeover{};
    takeover.fencingToken = 2;
    takeover.jobs.emplace_back(
      row, DecodeJobRecord(rows.records.back().second, reason));
    takeover.delegated.emplace_back(kHostCell, cell.delegation);
    if (aReportIsRead) {
      auto report = DelegationReport{ cell.delegation.number, cell.job, true };
      report.tasks = {
        { cell.delegation.tasks[0].index, DelegatedTaskState::Returned, 0, 4 }
      };
      takeover.reports.emplace_back(kHostCell, report);
    }
    return std::make_unique<CellHarness>(CellOptions{}, takeover);
  };
  for (const auto reportIsRead : { false, true }) {
    const auto harness = successor(reportIsRead);
    harness->AddWorker("w2");
    const auto starts = harness->StartAll();
    // The record tells of the returned task that it has come back: its last run
    // has a higher number than the delegation's.
    cr_assert_eq(starts.size(), 1, "%zu", starts.size());
    cr_expect_eq(starts[0].task.index, cell.delegation.tasks[0].index);
    cr_expect_eq(starts[0].runNumber, 5);
  }
}

Test(delegation, host_starts_the_tasks_and_reports_their_ends)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  // Told twice: a feed repeats rows.
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  cr_expect_eq(starts[1].task.index, 3);
  cr_expect_eq(starts[1].runNumber, 3);
  cr_expect_str_eq(starts[1].checkpoint.c_str(), "saved");
  // It is no job of this cell.
  cr_expect_null(harness.cell.FindJob(DelegationOfTwo(7).job.id));
  harness.Tick();
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    harness.Report(call,
                   { RunReportOf(starts[1]) },
                   { EndReportOf(starts[0], 1, RunOutcome::Done) });
  }
  const auto report = ReportIn(RecordedRows(harness));
  cr_expect(report.started);
  cr_expect(report.tasks[0].state == DelegatedTaskState::Done);
  cr_expect(report.tasks[1].state == DelegatedTaskState::Held);
  cr_expect_eq(report.tasks[1].runs.size(), 1);
}

Test(delegation, host_without_room_returns_the_tasks)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 1000, 64000, 0 });
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  cr_expect_eq(harness.StartAll().size(), 1);
  harness.Advance(kDelegationPatience * 2);
  harness.Tick();
  const auto report = ReportIn(RecordedRows(harness));
  cr_expect(report.tasks[0].state == DelegatedTaskState::Held);
  cr_expect(report.tasks[1].state == DelegatedTaskState::Returned);
  cr_expect_eq(report.tasks[1].lastRunNumber, 2);
}

// Pattern: two full cells delegate lasting jobs to the same host at once. The
// one that found no room there waited 0.4 s, while a third cell was empty.
Test(delegation, full_host_returns_long_running_tasks_at_once)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 1000, 64000, 0 });
  auto delegation = DelegationOfTwo(7);
  delegation.job.spec.steps[delegation.step].longRunning = true;
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, delegation);
  const auto end = harness.now + Millis{ 100 };
  auto returned = false;
  while (harness.now < end) {
    harness.Advance(Millis{ 20 });
    harness.Tick();
    const auto batch = harness.cell.NextBatch(harness.now);
    if (!batch) {
      continue;
    }
    harness.cell.OnBatchRecorded(harness.now, batch->number);
    returned = returned ||
               ReportIn(*batch).tasks[1].state == DelegatedTaskState::Returned;
  }
  cr_expect(returned);
}

// A task that is recalled while its last run ends as done is done: returned, it
// would run again.
Test(delegation, recalled_task_that_is_done_meanwhile_counts_as_done)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  auto row = DelegationOfTwo(7);
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, row);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  row.recalled = true;
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, row);
  harness.Tick();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Stop).size(), 2);
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    harness.Report(call,
                   {},
                   { EndReportOf(starts[0], 1, RunOutcome::Done),
                     EndReportOf(starts[1], 2, RunOutcome::Stopped) });
  }
  const auto report = ReportIn(RecordedRows(harness));
  cr_expect(report.tasks[0].state == DelegatedTaskState::Done);
  cr_expect(report.tasks[1].state == DelegatedTaskState::Returned);
}

// Guards against: a task that crashes workers is started afresh in each cell
// that it is delegated to.
Test(delegation, losses_go_to_the_host_and_to_its_next_owner)
{
  auto delegation = DelegationOfTwo(7);
  delegation.tasks[1].losses = 2;
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, delegation);
  harness.Advance(Millis{ 20 });
  harness.Tick();
  const auto report = ReportIn(RecordedRows(harness));
  cr_assert_eq(report.tasks[1].index, 3);
  cr_expect_eq(report.tasks[1].losses, 2);
  auto takeover = CellTakeover{ 2 };
  takeover.hosted.emplace_back(kHomeCell, DelegationOfTwo(7));
  takeover.ownReports.emplace_back(kHomeCell, report);
  auto successor = CellHarness{ {}, takeover };
  successor.AddWorker("w1");
  successor.Advance(Millis{ 20 });
  successor.Tick();
  cr_expect_eq(ReportIn(RecordedRows(successor)).tasks[1].losses, 2);
}

Test(delegation, losses_come_back_from_the_host)
{
  auto cell = FullCell{};
  const auto index = cell.delegation.tasks[0].index;
  const auto returnWith = [&](std::uint32_t aLosses) {
    auto report = DelegationReport{ cell.delegation.number, cell.job, true };
    for (const auto& task : cell.delegation.tasks) {
      report.tasks.push_back({ task.index });
    }
    auto& returned = report.tasks.at(0);
    returned.state = DelegatedTaskState::Returned;
    returned.failures = 1;
    returned.lastRunNumber = 4;
    returned.checkpoint = "c";
    returned.losses = aLosses;
    cell.harness.cell.OnDelegationReport(cell.harness.now, kHostCell, report);
  };
  const auto lossesAtHome = [&] {
    return cell.harness.cell.FindJob(cell.job)
      ->occurrences.at(0)
      .steps[0]
      .tasks[index]
      .losses;
  };
  returnWith(3);
  cr_expect_eq(lossesAtHome(), 3);
  // A host of the version before knows of none.
  cell.harness.Advance(kHostAvoidTime * 2);
  cell.harness.Tick();
  cell.harness.Advance(kIsolationMaxWait);
  cell.harness.cell.OnPeerLoad(
    cell.harness.now, kHostCell, LoadWithRoom(32000));
  cell.harness.Tick();
  cell.delegation = DelegationIn(RecordedRows(cell.harness));
  cr_assert_eq(cell.delegation.tasks[0].index, index);
  cr_expect_eq(cell.delegation.tasks[0].losses, 3);
  returnWith(0);
  cr_expect_eq(lossesAtHome(), 3);
}

// Pattern: the owner of the host cell changes while delegated tasks run.
Test(delegation, new_owner_of_the_host_cell_inherits_the_runs)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  auto takeover = CellTakeover{};
  takeover.fencingToken = 2;
  takeover.hosted.emplace_back(kHomeCell, DelegationOfTwo(7));
  auto report = DelegationReport{ 7, DelegationOfTwo(7).job.id, true };
  report.tasks = { { 1, DelegatedTaskState::Done, 0, 1 },
                   { 3,
                     DelegatedTaskState::Held,
                     1,
                     3,
                     "",
                     { { 3, { "w1" }, 1000, { "machine-w1" } } } } };
  takeover.ownReports.emplace_back(kHomeCell, report);
  auto successor = CellHarness{ CellOptions{}, takeover };
  successor.AddWorker("w2");
  cr_expect_eq(successor.StartAll().size(), 0);
  // The worker answers and does not list the run: it never began.
  successor.AddWorker("w1");
  const auto again = successor.StartAll();
  cr_assert_eq(again.size(), 1);
  cr_expect_eq(again[0].task.index, 3);
  cr_expect_eq(again[0].runNumber, 4);
}

// Pattern: a host's new owner reads rows that its home cell has closed, and the
// feed repeats one of them.
Test(delegation, closed_delegation_is_not_taken_for_a_new_one)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  harness.cell.OnDelegationClosed(harness.now, kHomeCell, 7);
  cr_expect_eq(RecordedRows(harness).delegationRemovals.size(), 1);
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  cr_expect_eq(harness.StartAll().size(), 0);

  auto takeover = CellTakeover{};
  auto report = DelegationReport{ 8, DelegationOfTwo(8).job.id };
  takeover.ownReports.emplace_back(kHomeCell, report);
  auto successor = CellHarness{ CellOptions{}, takeover };
  successor.AddWorker("w1");
  cr_expect_eq(RecordedRows(successor).delegationRemovals.size(), 1);
  successor.cell.OnDelegation(successor.now, 5, kHomeCell, DelegationOfTwo(8));
  cr_expect_eq(successor.StartAll().size(), 0);
}

// Pattern: the home cell's owner is dead while a job is cancelled.
Test(delegation, host_stops_the_tasks_of_a_cancelled_job_by_itself)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.cell.OnDelegation(harness.now, 5, kHomeCell, DelegationOfTwo(7));
  cr_assert_eq(harness.StartAll().size(), 2);
  harness.cell.OnCancelElsewhere(harness.now, DelegationOfTwo(7).job.id);
  harness.Tick();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Stop).size(), 2);
}

// A batch holds at most 100 entries, whatever is delegated.
Test(delegation, rows_of_many_delegations_are_spread_over_batches)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  for (auto number = std::uint64_t{ 1 }; number <= 150; ++number) {
    auto row = DelegationOfTwo(number);
    row.job.spec = JobWithSteps({ 1, 400 });
    row.tasks = { { static_cast<std::uint32_t>(number) } };
    row.recalled = true;
    harness.cell.OnDelegation(harness.now, 5, kHomeCell, row);
  }
  auto rows = std::size_t{ 0 };
  for (auto round = 0; round < 10; ++round) {
    if (const auto batch = harness.cell.NextBatch(harness.now)) {
      cr_expect_leq(EntriesOf(*batch), kMaxRowsPerCommit);
      rows += batch->delegationPuts.size();
      harness.cell.OnBatchRecorded(harness.now, batch->number);
    }
    harness.Advance(Millis{ 150 });
  }
  cr_expect_geq(rows, 150);
}

namespace {

// One long-running task of two cores that has failed and waits in a cell that
// is full of others. aRunning: what runs there.
auto
SubmitToFullCell(CellHarness& aHarness, std::vector<RunReport>& aRunning)
  -> JobId
{
  aHarness.AddWorker("w1", { 4000, 64000, 0 });
  auto spec = JobWithSteps({ 1 });
  spec.steps[0].longRunning = true;
  spec.steps[0].taskResources.cpuMillis = 2000;
  const auto job = aHarness.Submit(spec, 1);
  const auto failed = aHarness.StartAll().at(0);
  spec = JobWithSteps({ 4 });
  spec.steps[0].longRunning = true;
  aHarness.Submit(spec);
  for (const auto& start : aHarness.StartAll()) {
    aRunning.push_back(RunReportOf(start));
  }
  aHarness.Tick();
  aHarness.Report(aHarness.TakeCallsOfKind(CallKind::Renew).back(),
                  aRunning,
                  { EndReportOf(failed, 1, RunOutcome::Failed) });
  for (const auto& start : aHarness.StartAll()) {
    aRunning.push_back(RunReportOf(start));
  }
  cr_assert_eq(aRunning.size(), 4);
  aHarness.Advance(Millis{ 50 });
  aHarness.Tick();
  return job;
}

// A full cell with a worker where long-running tasks leave this much room.
auto
LoadWithTurnover(std::int64_t aCpuMillis) -> CellLoad
{
  auto load = LoadWithRoom(0);
  load.largestLongRunningRoom = aCpuMillis;
  return load;
}

} // namespace

// Pattern: all cells are full. Lasting tasks fill the one whose lasting task
// waits; in another one short tasks take turns.
Test(delegation, overdue_long_running_task_goes_to_a_cell_with_short_ones)
{
  auto harness = CellHarness{};
  auto running = std::vector<RunReport>{};
  const auto job = SubmitToFullCell(harness, running);
  const auto submittedAt = harness.now;
  const auto tell = [&] {
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
      harness.Report(call, running, {});
    }
    harness.cell.OnPeerLoad(harness.now, kHostCell, LoadWithTurnover(3000));
    harness.cell.OnPeerLoad(harness.now, "other", LoadWithTurnover(1000));
    harness.Tick();
  };
  while (harness.now < submittedAt + kInterruptedMaxWait - Millis{ 600 }) {
    tell();
    cr_expect_eq(RecordedRows(harness).delegationPuts.size(), 0);
  }
  harness.Advance(Millis{ 700 });
  tell();
  const auto rows = RecordedRows(harness);
  const auto delegation = DelegationIn(rows);
  cr_expect(delegation.job.id == job);
  cr_expect(rows.delegationPuts.back().first.starts_with("out/host/"));
  cr_assert_eq(delegation.tasks.size(), 1);
  cr_expect_gt(delegation.tasks[0].waited.count(), kInterruptedMaxWait.count());
}

Test(delegation, overdue_long_running_task_goes_first_at_its_host)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 3000, 64000, 0 });
  harness.Submit(JobWithSteps({ 3 }));
  auto running = harness.StartAll();
  cr_assert_eq(running.size(), 3);
  harness.Submit(JobWithSteps({ 9 }));
  auto delegation = DelegationOfTwo(7);
  delegation.job.spec.steps[1].longRunning = true;
  delegation.job.spec.steps[1].taskResources.cpuMillis = 2000;
  delegation.tasks.resize(1);
  delegation.tasks[0].waited = kInterruptedMaxWait;
  delegation.tasks[0].lastRunNumber = 1;
  harness.cell.OnDelegation(harness.now, 0, kHomeCell, delegation);
  // For longer than tasks without a worker are kept.
  harness.Advance(kDelegationPatience * 2);
  harness.Tick();
  for (auto end = std::uint64_t{ 1 }; end <= 2; ++end) {
    const auto ended = running.front();
    running.erase(running.begin());
    auto reports = std::vector<RunReport>{};
    for (const auto& run : running) {
      reports.push_back(RunReportOf(run));
    }
    const auto renewals = harness.TakeCallsOfKind(CallKind::Renew);
    cr_assert_eq(renewals.size(), 1);
    harness.Report(
      renewals[0], reports, { EndReportOf(ended, end, RunOutcome::Done) });
    const auto next = harness.StartAll();
    cr_assert_eq(next.size(), end == 1 ? 0 : 1);
    if (end == 2) {
      cr_expect(next[0].task.job == delegation.job.id);
    }
    harness.Advance(Millis{ 200 });
    harness.Tick();
  }
}

// A host that can't help gives the task back at once.
Test(delegation, overdue_task_is_returned_where_no_worker_can_be_held)
{
  auto harness = CellHarness{};
  auto running = std::vector<RunReport>{};
  SubmitToFullCell(harness, running);
  harness.Advance(Millis{ 20 });
  auto delegation = DelegationOfTwo(7);
  delegation.job.spec.steps[1].longRunning = true;
  delegation.tasks.resize(1);
  delegation.tasks[0].waited = kInterruptedMaxWait;
  delegation.tasks[0].lastRunNumber = 1;
  harness.cell.OnDelegation(harness.now, 0, kHomeCell, delegation);
  harness.Tick();
  harness.Advance(kDelegationPatience + Millis{ 50 });
  harness.Tick();
  const auto report = ReportIn(RecordedRows(harness));
  cr_expect(report.tasks.at(0).state == DelegatedTaskState::Returned);
}
