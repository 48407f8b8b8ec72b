// What a cell makes of reports whose list of ends is as long as it may be, so
// that it may leave out some.

#include <criterion/criterion.h>

#include "cellharness.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

// Ends that a worker lists at a time.
constexpr std::size_t kListed = 500;

auto
SmallTasks(std::uint32_t aTasks) -> JobSpec
{
  return { "payload", { StepSpec{ aTasks, { 100, 100, 0 }, Millis{ 1000 } } } };
}

auto
TasksIn(const std::vector<WorkerCall>& aStarts) -> std::set<TaskName>
{
  auto tasks = std::set<TaskName>{};
  for (const auto& start : aStarts) {
    tasks.insert(start.task);
  }
  return tasks;
}

// A worker with many small tasks, all of which have ended as done. It lists as
// many ends as it may, the first ones first.
struct BusyWorker
{
  CellHarness& harness;
  std::vector<WorkerCall> runs;
  // Ends up to this one were acknowledged.
  std::uint64_t acknowledged = 0;

  auto ListedEnds() const -> std::vector<EndReport>
  {
    auto ends = std::vector<EndReport>{};
    for (auto index = std::size_t{ this->acknowledged };
         index < this->runs.size() && ends.size() < kListed;
         ++index) {
      ends.push_back(
        EndReportOf(this->runs[index], index + 1, RunOutcome::Done));
    }
    return ends;
  }

  // Answers the renewals that are due, while this time passes; the store
  // records nothing. Returns the calls besides.
  auto AnswerFor(Millis aTime) -> std::vector<WorkerCall>
  {
    auto others = std::vector<WorkerCall>{};
    constexpr Millis kStep{ 20 };
    for (auto passed = Millis{ 0 }; passed < aTime; passed += kStep) {
      this->harness.Advance(kStep);
      this->harness.Tick();
      for (const auto& call : std::exchange(this->harness.calls, {})) {
        if (call.kind != CallKind::Renew) {
          others.push_back(call);
          continue;
        }
        this->acknowledged = std::max(this->acknowledged, call.lastRecordedEnd);
        this->harness.Report(call, {}, this->ListedEnds());
      }
    }
    return others;
  }

  // The same, and the store records all batches.
  auto AnswerAndRecord(Millis aTime) -> std::vector<WorkerCall>
  {
    auto others = std::vector<WorkerCall>{};
    constexpr Millis kStep{ 20 };
    for (auto passed = Millis{ 0 }; passed < aTime; passed += kStep) {
      if (const auto batch = this->harness.cell.NextBatch(this->harness.now)) {
        this->harness.cell.OnBatchRecorded(this->harness.now, batch->number);
        this->harness.CollectCalls();
      }
      const auto calls = this->AnswerFor(kStep);
      others.insert(others.end(), calls.begin(), calls.end());
    }
    return others;
  }
};

auto
AddLargeWorker(CellHarness& aHarness) -> void
{
  aHarness.AddWorker("w1", { 64'000, 256'000, 0 });
}

} // namespace

// Guards against: tasks run twice because their ends wait on the worker behind
// those that its list has room for.
Test(end_list, that_is_cut_ends_no_runs)
{
  for (const auto tasks : { kListed, kListed + 1, kListed + 130 }) {
    auto harness = CellHarness{};
    AddLargeWorker(harness);
    const auto job = harness.Submit(SmallTasks(tasks));
    auto worker = BusyWorker{ harness, harness.StartAll() };
    cr_assert_eq(worker.runs.size(), tasks);
    // The store takes nothing.
    cr_expect(worker.AnswerFor(Millis{ 3000 }).empty(), "%zu tasks", tasks);
    cr_expect(
      worker.AnswerAndRecord(Millis{ 3000 }).empty(), "%zu tasks", tasks);
    cr_expect_eq(worker.acknowledged, tasks);
    cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Completed);
  }
}

// Guards against: a run that is gone counts as one whose end is left out,
// although the list has room for it.
Test(end_list, with_room_ends_the_runs_that_are_gone)
{
  auto harness = CellHarness{};
  AddLargeWorker(harness);
  harness.Submit(SmallTasks(kListed + 100));
  auto worker = BusyWorker{ harness, harness.StartAll() };
  cr_assert_eq(worker.runs.size(), kListed + 100);
  const auto gone = std::vector<WorkerCall>(worker.runs.begin() + kListed - 1,
                                            worker.runs.end());
  worker.runs.resize(kListed - 1);
  const auto again = worker.AnswerAndRecord(Millis{ 2000 });
  cr_expect_eq(TasksIn(again), TasksIn(gone));
}

// Guards against the same for the runs that an earlier owner started: the new
// owner takes them for starts that were never carried out.
Test(end_list, that_is_cut_ends_no_inherited_runs)
{
  auto first = CellHarness{};
  AddLargeWorker(first);
  const auto id = first.Submit(SmallTasks(kListed + 130));
  const auto runs = first.StartAll();
  cr_assert_eq(runs.size(), kListed + 130);
  const auto* const job = first.cell.FindJob(id);
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(job->row, MakeJobRecord(*job));
  auto second = CellHarness{ {}, takeover };
  second.table = first.table;
  second.cell.OnWorkers(second.now, second.table);
  auto worker = BusyWorker{ second, runs };
  cr_expect(worker.AnswerFor(Millis{ 3000 }).empty());
  cr_expect(worker.AnswerAndRecord(Millis{ 3000 }).empty());
  cr_expect_eq(second.cell.FindJob(id)->state, JobState::Completed);
}

// Guards against the same for starts without an answer: once the stop that
// settles them is confirmed, or the order has expired.
Test(end_list, that_is_cut_settles_no_unanswered_start)
{
  for (const auto stopAnswer : { CallOutcome::Done, CallOutcome::Unanswered }) {
    auto harness = CellHarness{};
    AddLargeWorker(harness);
    const auto job = harness.Submit(SmallTasks(kListed + 130));
    harness.Advance(Millis{ 20 });
    harness.Tick();
    harness.RecordAll();
    const auto runs = harness.TakeCallsOfKind(CallKind::Start);
    cr_assert_eq(runs.size(), kListed + 130);
    for (auto index = std::size_t{ 0 }; index < runs.size(); ++index) {
      harness.Answer(runs[index],
                     index < kListed ? CallOutcome::Done
                                     : CallOutcome::Unanswered);
    }
    auto worker = BusyWorker{ harness, runs };
    for (auto round = 0; round < 30; ++round) {
      for (const auto& call : worker.AnswerFor(Millis{ 100 })) {
        cr_assert_eq(call.kind, CallKind::Stop);
        harness.Answer(call, stopAnswer);
      }
    }
    for (auto round = 0; round < 30; ++round) {
      for (const auto& call : worker.AnswerAndRecord(Millis{ 100 })) {
        cr_assert_eq(call.kind, CallKind::Stop);
        harness.Answer(call, stopAnswer);
      }
    }
    cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Completed);
  }
}

// Guards against: a run whose end is left out counts as stuck, and its worker
// as slow.
Test(end_list, that_is_cut_shows_no_slow_worker)
{
  auto harness = CellHarness{};
  AddLargeWorker(harness);
  harness.AddWorker("w2", { 64'000, 256'000, 0 });
  harness.Submit(SmallTasks(1280));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 1280);
  auto worker = BusyWorker{ harness };
  auto others = std::vector<RunReport>{};
  for (const auto& start : starts) {
    if (start.worker.text == "w1") {
      worker.runs.push_back(start);
    } else {
      others.push_back(RunReportOf(start));
    }
  }
  cr_assert_gt(worker.runs.size(), kListed);
  for (auto round = 0; round < 100; ++round) {
    harness.Advance(Millis{ 50 });
    harness.Tick();
    for (auto& other : others) {
      other.percent += 0.5;
    }
    for (const auto& call : std::exchange(harness.calls, {})) {
      cr_assert_eq(call.kind, CallKind::Renew);
      if (call.worker.text == "w1") {
        harness.Report(call, {}, worker.ListedEnds());
      } else {
        harness.Report(call, others, {});
      }
    }
  }
  const auto& slot = harness.cell.Workers().at({ "w1" });
  cr_expect_eq(slot.lastResortUntil, Time{});
}

// Guards against: ends are acknowledged and lost while the store rejects all
// that it is sent.
Test(end_list, is_kept_while_the_store_rejects_everything)
{
  auto harness = CellHarness{};
  AddLargeWorker(harness);
  harness.Submit(SmallTasks(kListed + 130));
  auto worker = BusyWorker{ harness, harness.StartAll() };
  cr_assert_eq(worker.runs.size(), kListed + 130);
  for (auto round = 0; round < 100; ++round) {
    if (const auto batch = harness.cell.NextBatch(harness.now)) {
      harness.cell.OnBatchRejected(harness.now, batch->number);
    }
    cr_expect(worker.AnswerFor(Millis{ 100 }).empty());
  }
  cr_expect_eq(worker.acknowledged, 0);
}
