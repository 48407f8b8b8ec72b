// Tasks under which workers crash: what counts against them, and what does not.

#include <criterion/criterion.h>

#include <msgpack.hpp>

#include "cellharness.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

using namespace std::chrono_literals;

// The machine of this worker starts a new one, which answers at once.
auto
Crash(CellHarness& aHarness, const WorkerId& aWorker) -> void
{
  auto entry = aHarness.table.at(aWorker);
  aHarness.table.erase(aWorker);
  entry.id = { aWorker.text + "'" };
  entry.address = entry.id.text + ":1";
  entry.startUnixMs += 1000;
  aHarness.table[entry.id] = entry;
  aHarness.workerStarts[entry.id] = entry.startUnixMs;
  aHarness.cell.OnWorkers(aHarness.now, aHarness.table);
  aHarness.Advance(200ms);
  aHarness.Tick();
  for (const auto& call : aHarness.TakeCallsOfKind(CallKind::Renew)) {
    if (aHarness.table.contains(call.worker)) {
      aHarness.Report(call, {}, {});
    }
  }
}

// Starts the only task that waits.
auto
StartOne(CellHarness& aHarness) -> WorkerCall
{
  auto starts = std::vector<WorkerCall>{};
  for (auto round = 0; round < 10 && starts.empty(); ++round) {
    starts = aHarness.StartAll();
  }
  cr_assert_eq(starts.size(), 1);
  return starts[0];
}

auto
StateOf(const CellHarness& aHarness, const JobId& aJob) -> JobState
{
  return aHarness.cell.FindJob(aJob)->state;
}

auto
HarnessWithWorkers(int aWorkers) -> std::unique_ptr<CellHarness>
{
  auto harness = std::make_unique<CellHarness>();
  for (auto number = 0; number < aWorkers; ++number) {
    harness->AddWorker("w" + std::to_string(number));
  }
  return harness;
}

} // namespace

Test(crash, a_task_alone_on_two_crashed_workers_is_given_up)
{
  const auto harness = HarnessWithWorkers(4);
  const auto job = harness->Submit(JobWithSteps({ 1 }));
  Crash(*harness, StartOne(*harness).worker);
  cr_expect_eq(StateOf(*harness, job), JobState::Running);
  Crash(*harness, StartOne(*harness).worker);
  cr_expect_eq(StateOf(*harness, job), JobState::Failed);
  cr_expect_eq(harness->StartAll().size(), 0);
}

// Guards against: a job fails because its worker was taken away twice.
Test(crash, of_a_worker_that_leaves_counts_against_nobody)
{
  const auto harness = HarnessWithWorkers(4);
  const auto job = harness->Submit(JobWithSteps({ 1 }));
  for (auto round = 0; round < 4; ++round) {
    const auto worker = StartOne(*harness).worker;
    harness->table.at(worker).leaving = true;
    harness->cell.OnWorkers(harness->now, harness->table);
    harness->table.at(worker).leaving = false;
    Crash(*harness, worker);
  }
  cr_expect_eq(StateOf(*harness, job), JobState::Running);
}

// Guards against: a task that lasts is given up for crashes of its workers long
// after its start, each under another task.
Test(crash, is_forgotten_once_a_run_has_lasted)
{
  const auto harness = HarnessWithWorkers(4);
  const auto job = harness->Submit(JobWithSteps({ 1 }));
  for (auto round = 0; round < 5; ++round) {
    const auto start = StartOne(*harness);
    for (auto second = 0; second < 32; ++second) {
      harness->Advance(1s);
      harness->Tick();
      for (const auto& call : harness->TakeCallsOfKind(CallKind::Renew)) {
        harness->Report(call,
                        call.worker == start.worker
                          ? std::vector{ RunReportOf(start) }
                          : std::vector<RunReport>{},
                        {});
      }
    }
    Crash(*harness, start.worker);
  }
  cr_expect_eq(StateOf(*harness, job), JobState::Running);
}

namespace {

// Nothing reaches the workers for longer than their leases.
auto
CutOff(CellHarness& aHarness) -> void
{
  for (auto round = 0; round < 30; ++round) {
    aHarness.Advance(250ms);
    aHarness.Tick();
    for (const auto& call : aHarness.TakeCallsOfKind(CallKind::Renew)) {
      aHarness.Answer(call, CallOutcome::Unanswered);
    }
  }
}

} // namespace

// Guards against: a job fails because its workers could not be reached, though
// none has crashed.
Test(crash, is_not_what_a_silent_worker_has_done)
{
  const auto harness = HarnessWithWorkers(4);
  const auto job = harness->Submit(JobWithSteps({ 1 }));
  for (auto round = 0; round < 6; ++round) {
    StartOne(*harness);
    CutOff(*harness);
    for (auto reports = 0; reports < 5; ++reports) {
      harness->Advance(250ms);
      harness->cell.OnSilentWorkersWritten({});
      harness->Tick();
      harness->AnswerRenewals();
    }
  }
  cr_expect_eq(StateOf(*harness, job), JobState::Running);
}

// Guards against: a task crashes worker after worker because each comes back
// later than its lease ends.
Test(crash, counts_also_if_the_worker_is_back_after_its_lease)
{
  const auto harness = HarnessWithWorkers(6);
  const auto job = harness->Submit(JobWithSteps({ 1 }));
  for (auto crash = 0; crash < 2; ++crash) {
    const auto worker = StartOne(*harness).worker;
    for (auto round = 0; round < 30; ++round) {
      harness->Advance(250ms);
      harness->Tick();
      for (const auto& call : harness->TakeCallsOfKind(CallKind::Renew)) {
        if (call.worker == worker) {
          harness->Answer(call, CallOutcome::Unanswered);
        } else {
          harness->Report(call, {}, {});
        }
      }
    }
    Crash(*harness, worker);
  }
  cr_expect_eq(StateOf(*harness, job), JobState::Failed);
}

// Guards against: a job fails because the owner changed twice while its workers
// left, or before its start was sent.
Test(crash, of_a_worker_that_the_owner_never_heard_counts_against_nobody)
{
  const auto first = HarnessWithWorkers(1);
  const auto job = first->Submit(JobWithSteps({ 1 }));
  StartOne(*first);
  auto record = MakeJobRecord(*first->cell.FindJob(job));
  record.tasks.at(0).losses = 3;
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(first->cell.FindJob(job)->row, record);
  auto second = CellHarness{ {}, takeover };
  second.table = first->table;
  second.workerStarts = first->workerStarts;
  Crash(second, { "w0" });
  cr_expect_eq(StateOf(second, job), JobState::Running);
}

// Guards against: a job fails by one crash and a start that never arrived.
Test(crash, counts_no_start_that_may_not_have_arrived)
{
  const auto harness = HarnessWithWorkers(4);
  const auto job = harness->Submit(JobWithSteps({ 1 }));
  harness->Advance(20ms);
  harness->Tick();
  harness->RecordAll();
  const auto starts = harness->TakeCallsOfKind(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness->Answer(starts[0], CallOutcome::Unanswered);
  Crash(*harness, starts[0].worker);
  Crash(*harness, StartOne(*harness).worker);
  cr_expect_eq(StateOf(*harness, job), JobState::Running);
}

// Guards against: tasks that were lost with one worker go to the next one
// together, so that the one that crashes workers is never found out.
Test(crash, suspected_tasks_start_apart)
{
  const auto harness = HarnessWithWorkers(1);
  harness->Submit(JobWithSteps({ 3 }));
  cr_assert_eq(harness->StartAll().size(), 3);
  for (auto number = 1; number < 17; ++number) {
    harness->AddWorker("w" + std::to_string(number));
  }
  Crash(*harness, { "w0" });
  auto workers = std::set<std::string>{};
  for (auto round = 0; round < 3; ++round) {
    for (const auto& start : harness->StartAll()) {
      cr_expect(workers.insert(start.worker.text).second);
    }
  }
  cr_expect_eq(workers.size(), 3);
}

Test(crash, counts_are_known_to_the_next_owner)
{
  const auto first = HarnessWithWorkers(4);
  const auto job = first->Submit(JobWithSteps({ 1 }));
  Crash(*first, StartOne(*first).worker);
  auto reason = std::string{};
  const auto record = DecodeJobRecord(
    EncodeJobRecord(MakeJobRecord(*first->cell.FindJob(job))), reason);
  cr_assert(record);
  cr_expect_eq(record->tasks.at(0).losses, 1);
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(first->cell.FindJob(job)->row, record);
  auto second = CellHarness{ {}, takeover };
  second.table = first->table;
  second.workerStarts = first->workerStarts;
  second.cell.OnWorkers(second.now, second.table);
  second.Tick();
  second.AnswerRenewals();
  Crash(second, StartOne(second).worker);
  cr_expect_eq(StateOf(second, job), JobState::Failed);
}

namespace {

// Rows as the version before wrote them; its instances run beside those of this
// one during an upgrade.
using OldRun =
  std::tuple<std::uint32_t, std::string, std::int64_t, std::string>;

auto
OldRuns() -> std::vector<OldRun>
{
  return { { 2, "w", 1000, "m" } };
}

template<class Tuple>
auto
Pack(const Tuple& aTuple) -> std::string
{
  auto buffer = msgpack::sbuffer{};
  msgpack::pack(buffer, aTuple);
  return { buffer.data(), buffer.size() };
}

} // namespace

Test(crash, record_of_the_version_before_counts_none)
{
  using Task = std::tuple<std::uint32_t,
                          std::uint32_t,
                          std::uint32_t,
                          int,
                          std::uint32_t,
                          std::uint32_t,
                          std::string,
                          std::vector<OldRun>>;
  auto reason = std::string{};
  const auto record = DecodeJobRecord(
    Pack(std::tuple{ 1,
                     std::uint32_t{ 0 },
                     std::vector{ Task{ 0, 0, 0, 0, 1, 2, "mark", OldRuns() } },
                     std::vector<std::array<std::uint32_t, 4>>{},
                     std::int64_t{ 5 } }),
    reason);
  cr_assert(record, "%s", reason.c_str());
  cr_expect_eq(record->tasks.at(0).runs.size(), 1);
  cr_expect_eq(record->tasks.at(0).losses, 0);
}

Test(crash, report_of_the_version_before_counts_none)
{
  using Task = std::tuple<std::uint32_t,
                          int,
                          std::uint32_t,
                          std::uint32_t,
                          std::string,
                          std::vector<OldRun>>;
  auto reason = std::string{};
  const auto told = DecodeDelegationReport(
    Pack(std::tuple{ std::uint64_t{ 7 },
                     std::string{ "0000000000000001" },
                     true,
                     std::vector{ Task{ 0, 0, 0, 2, "", OldRuns() } } }),
    reason);
  cr_assert(told, "%s", reason.c_str());
  cr_expect_eq(told->tasks.at(0).runs.size(), 1);
  cr_expect_eq(told->tasks.at(0).losses, 0);
}

Test(crash, delegation_of_the_version_before_counts_none)
{
  using Task = std::tuple<std::uint32_t,
                          std::uint32_t,
                          std::uint32_t,
                          std::string,
                          std::int64_t>;
  auto row = JobRow{ *JobId::Parse("0000000000000001"), { "queue" } };
  row.spec = JobWithSteps({ 1 });
  auto reason = std::string{};
  const auto given =
    DecodeDelegation(Pack(std::tuple{ std::uint64_t{ 7 },
                                      EncodeJobRow(row),
                                      std::uint32_t{ 0 },
                                      std::uint32_t{ 0 },
                                      false,
                                      std::vector{ Task{ 0, 0, 2, "", 0 } } }),
                     reason);
  cr_assert(given, "%s", reason.c_str());
  cr_expect_eq(given->tasks.at(0).lastRunNumber, 2);
  cr_expect_eq(given->tasks.at(0).losses, 0);
}
