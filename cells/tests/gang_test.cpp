// Gangs: tasks that only work while all of them run.

#include <algorithm>

#include <criterion/criterion.h>

#include "cellharness.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

auto
GangSpec(std::uint32_t aTasks, std::int64_t aCpu = 1000) -> JobSpec
{
  auto spec = JobWithSteps({ aTasks });
  spec.steps[0].gang = true;
  spec.steps[0].taskResources.cpuMillis = aCpu;
  return spec;
}

// All workers with a pending renewal report these runs as running and these
// ends.
auto
ReportAll(CellHarness& aHarness,
          const std::vector<WorkerCall>& aRunning,
          const std::map<std::string, std::vector<EndReport>>& aEnds) -> void
{
  aHarness.Advance(kMinRenewInterval);
  aHarness.Tick();
  for (const auto& call : aHarness.TakeCallsOfKind(CallKind::Renew)) {
    auto running = std::vector<RunReport>{};
    for (const auto& start : aRunning) {
      if (start.worker == call.worker) {
        running.push_back(RunReportOf(start));
        running.back().checkpoint = "half";
      }
    }
    const auto ends = aEnds.find(call.worker.text);
    aHarness.Report(call,
                    running,
                    ends == aEnds.end() ? std::vector<EndReport>{}
                                        : ends->second);
  }
}

} // namespace

// A gang that needs more than the free resources. Members placed without the
// others would hold resources and end without result.
Test(gang, starts_completely_or_not_at_all)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 2000, 64000, 0 });
  harness.Submit(GangSpec(3));
  cr_expect_eq(harness.StartAll().size(), 0);
  cr_expect_eq(harness.cell.Workers().at({ "w1" }).reserved.cpuMillis, 0);
  harness.AddWorker("w2", { 2000, 64000, 0 });
  harness.Advance(kPlanRetryInterval * 2);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 3);
  for (const auto& start : starts) {
    cr_expect_eq(start.runNumber, starts[0].runNumber);
  }
}

// A gang without room is tried again every 100 ms. Each attempt used to record
// and log its members and to consume a run number.
Test(gang, failed_placement_leaves_nothing_to_record)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 2000, 64000, 0 });
  const auto job = harness.Submit(GangSpec(3));
  harness.RecordAll();
  for (auto attempt = 0; attempt < 5; ++attempt) {
    harness.Advance(kPlanRetryInterval * 2);
    harness.Tick();
    harness.Advance(kLazyCommitDelay);
    cr_expect_not(harness.cell.NextBatch(harness.now).has_value());
  }
  const auto& step = harness.cell.FindJob(job)->occurrences.at(0).steps[0];
  for (const auto& task : step.tasks) {
    cr_expect_eq(task.lastRunNumber, 0);
  }
}

Test(gang, end_of_one_member_completes_all)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.AddWorker("w2");
  auto spec = GangSpec(2);
  spec.steps[0].maxPerWorker = 1;
  const auto job = harness.Submit(spec);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  ReportAll(harness,
            { starts[1] },
            { { starts[0].worker.text,
                { EndReportOf(starts[0], 1, RunOutcome::Done) } } });
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Completed);
}

Test(gang, refused_start_stops_the_other_members)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  harness.AddWorker("w2");
  auto spec = GangSpec(2);
  spec.steps[0].maxPerWorker = 1;
  harness.Submit(spec);
  harness.Advance(Millis{ 20 });
  harness.Tick();
  harness.RecordAll();
  const auto starts = harness.TakeCallsOfKind(CallKind::Start);
  cr_assert_eq(starts.size(), 2);
  harness.Answer(starts[0], CallOutcome::Done);
  harness.Answer(starts[1], CallOutcome::NoRoom);
  harness.Tick();
  const auto stops = harness.TakeCallsOfKind(CallKind::Stop);
  cr_assert_eq(stops.size(), 1);
  cr_expect_eq(stops[0].task, starts[0].task);
  // Nothing starts before the stopped member has ended; then all members start
  // with one higher run number.
  harness.Advance(kRefusalAvoidTime);
  harness.Tick();
  harness.RecordAll();
  cr_expect_eq(harness.TakeCallsOfKind(CallKind::Start).size(), 0);
  harness.Answer(stops[0], CallOutcome::Done);
  ReportAll(harness,
            {},
            { { starts[0].worker.text,
                { EndReportOf(starts[0], 1, RunOutcome::Stopped) } } });
  harness.Advance(kRefusalAvoidTime);
  const auto again = harness.StartAll();
  cr_assert_eq(again.size(), 2);
  cr_expect_eq(again[0].runNumber, again[1].runNumber);
  cr_expect_gt(again[0].runNumber, starts[0].runNumber);
}

// A failure of the gang counts once, and all members resume from the same
// checkpoint.
Test(gang, fails_once_and_resumes_from_one_checkpoint)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  auto spec = GangSpec(2);
  const auto job = harness.Submit(spec);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 2);
  ReportAll(harness, starts, {});
  ReportAll(harness,
            {},
            { { "w1",
                { EndReportOf(starts[0], 1, RunOutcome::Failed),
                  EndReportOf(starts[1], 2, RunOutcome::GangEnded) } } });
  harness.Advance(kFailureBackoffMax);
  const auto again = harness.StartAll();
  cr_assert_eq(again.size(), 2);
  cr_expect_eq(again[0].checkpoint, "half");
  cr_expect_eq(again[1].checkpoint, "half");
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Running);
  ReportAll(harness,
            {},
            { { "w1",
                { EndReportOf(again[0], 3, RunOutcome::GangEnded),
                  EndReportOf(again[1], 4, RunOutcome::Failed) } } });
  cr_expect_eq(harness.cell.FindJob(job)->state, JobState::Failed);
}

Test(gang, is_placed_in_one_rack_if_possible)
{
  auto harness = CellHarness{};
  for (const auto* const name : { "w1", "w2", "w3", "w4" }) {
    harness.AddWorker(name, { 2000, 64000, 0 });
  }
  harness.table.at({ "w1" }).labels = { "a", "rack-2" };
  harness.table.at({ "w3" }).labels = { "a", "rack-2" };
  harness.cell.OnWorkers(harness.now, harness.table);
  auto spec = GangSpec(4);
  spec.steps[0].rackLocal = true;
  harness.Submit(spec);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 4);
  const auto rack = [&](const WorkerCall& aStart) {
    return harness.table.at(aStart.worker).Rack();
  };
  for (const auto& start : starts) {
    cr_expect_eq(rack(start), rack(starts[0]));
  }
}
