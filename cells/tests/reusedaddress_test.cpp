// What a cell makes of answers of another worker, which runs at the address of
// one that is lost.

#include <criterion/criterion.h>

#include "startedtask.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

// By how much the clock of the other worker is ahead of that of the lost one.
constexpr std::array<std::int64_t, 4> kClockOffsetsMs{ -500'000,
                                                       -200,
                                                       0,
                                                       500'000 };

} // namespace

// Guards against: the tasks of a lost worker are never started again, or run
// twice, because the clock of another worker at its address passes for its own.
Test(reused_address, leaves_the_lease_of_the_lost_worker)
{
  for (const auto offset : kClockOffsetsMs) {
    auto started = StartedTask{};
    started.AnswerFor({ RunReportOf(started.start) });
    auto lost = UnreportingWorker{ started.harness,
                                   started.start.worker,
                                   CallOutcome::WorkerRestarted,
                                   Millis{ offset } };
    const auto leaseOverBy = lost.Slot().LeaseOverBy();
    const auto heardAt = lost.Slot().lastAnswerAt;
    const auto start = lost.NextStart(Millis{ 12'000 });
    if (!start) {
      cr_expect(false, "clock offset %ld: never started", long{ offset });
      continue;
    }
    const auto late = ToMillis(started.harness.now - leaseOverBy).count();
    cr_expect(late >= 0 && late <= 100,
              "clock offset %ld: %ld ms after the lease",
              long{ offset },
              long{ late });
    cr_expect_eq(lost.Slot().lastAnswerAt, heardAt);
    cr_expect_not(lost.NextStart(Millis{ 12'000 }).has_value());
  }
}

// Guards against the same for a run that was started by an earlier owner.
Test(reused_address, leaves_the_lease_that_an_earlier_owner_granted)
{
  for (const auto offset : kClockOffsetsMs) {
    auto first = StartedTask{};
    const auto* const job = first.harness.cell.FindJob(first.start.task.job);
    auto takeover = CellTakeover{ 2 };
    takeover.jobs.emplace_back(job->row, MakeJobRecord(*job));
    auto second = CellHarness{ {}, takeover };
    second.table = first.harness.table;
    second.cell.OnWorkers(second.now, second.table);
    const auto takenAt = second.now;
    auto lost = UnreportingWorker{
      second, first.start.worker, CallOutcome::WorkerRestarted, Millis{ offset }
    };
    const auto leaseOverBy = lost.Slot().LeaseOverBy();
    const auto start = lost.NextStart(Millis{ 20'000 });
    if (!start) {
      cr_expect(false, "clock offset %ld: never started", long{ offset });
      continue;
    }
    const auto late = ToMillis(second.now - leaseOverBy).count();
    cr_expect(
      late >= 0 && late <= 100,
      "clock offset %ld: %ld ms after the lease, %ld after the takeover",
      long{ offset },
      long{ late },
      long{ ToMillis(second.now - takenAt).count() });
    cr_expect_eq(start->runNumber, first.start.runNumber + 1);
  }
}

// Guards against: the next owner waits for the longest lease that workers
// accept, because another worker answered at the address of a lost one.
Test(reused_address, lengthens_no_lease_of_the_cell)
{
  auto options = CellOptions{};
  options.maxLease = Millis{ 10'000 };
  auto started = StartedTask{ options };
  started.AnswerFor({ RunReportOf(started.start) });
  auto lost = UnreportingWorker{ started.harness,
                                 started.start.worker,
                                 CallOutcome::WorkerRestarted,
                                 Millis{ -500'000 } };
  cr_assert_not(lost.NextStart(Millis{ 1000 }).has_value());
  cr_expect_eq(started.harness.cell.LongestLease(started.harness.now),
               options.lease);
}

// Guards against: a task waits for the end of a lease because the order to
// start it reached another worker, which did nothing.
Test(reused_address, settles_starts_at_once)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.AddWorker("w2");
  for (const auto offset : kClockOffsetsMs) {
    auto lost = UnreportingWorker{
      harness, { "w1" }, CallOutcome::WorkerRestarted, Millis{ offset }
    };
    constexpr std::size_t kTasks = 6;
    const auto job = harness.Submit(JobWithSteps({ kTasks }));
    while (lost.NextStart(Millis{ 200 })) {
    }
    cr_expect_eq(lost.running.size(), kTasks);
    // None is sent after the first ones were answered.
    cr_expect_leq(lost.calls[CallKind::Start], static_cast<int>(kTasks));
    cr_expect_eq(lost.Slot().runs.size(), 0);
    harness.cell.OnCancel(harness.now, job);
    // The worker is back.
    harness.clockOffset.clear();
    for (auto round = 0; round < 4; ++round) {
      StartedTask::AnswerFor(harness, { "w2" }, {});
    }
    cr_assert(lost.Slot().IsProcessKnown());
  }
}
