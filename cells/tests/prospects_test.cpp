// Which jobs are served when there is more work than room.

#include <algorithm>

#include <criterion/criterion.h>

#include "cellharness.h"
#include "prospects.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

const Time kNow{ std::chrono::seconds{ 100 } };

auto
Waiting(int aObjectiveMs, double aWork, double aLeft, int aChainMs = 1)
  -> Candidate
{
  return { kNow + Millis{ aObjectiveMs },
           kNow + Millis{ aObjectiveMs * 3 },
           aLeft,
           aWork,
           Millis{ aChainMs } };
}

auto
Kept(const std::vector<Prospect>& aProspects) -> std::ptrdiff_t
{
  return std::count(aProspects.begin(), aProspects.end(), Prospect::InTime);
}

} // namespace

// Pattern: a burst of one kind with the pool full. By deadline alone each of
// these would end late; half of them can be in time.
Test(prospects, a_burst_keeps_as_many_in_time_as_the_room_serves)
{
  auto jobs = std::vector<Candidate>{};
  for (auto job = 0; job < 20; ++job) {
    jobs.push_back(Waiting(1000, 1000.0, 1000.0));
  }
  const auto prospects = ProspectsOf(kNow, 10.0, jobs);
  cr_expect_eq(Kept(prospects), 10);
  cr_expect_eq(std::count(prospects.begin(), prospects.end(), Prospect::Late),
               10);
}

Test(prospects, all_stay_in_time_while_there_is_room)
{
  const auto prospects = ProspectsOf(
    kNow,
    10.0,
    { Waiting(1000, 4000.0, 4000.0), Waiting(2000, 9000.0, 9000.0) });
  cr_expect_eq(Kept(prospects), 2);
}

Test(prospects, what_is_nearly_done_is_not_given_up_for_what_has_not_begun)
{
  const auto prospects = ProspectsOf(
    kNow, 1.0, { Waiting(900, 1000.0, 100.0), Waiting(1000, 1000.0, 1000.0) });
  cr_expect_eq(prospects[0], Prospect::InTime);
  cr_expect_eq(prospects[1], Prospect::Late);
}

Test(prospects, a_chain_that_is_too_long_can_not_be_in_time)
{
  const auto prospects = ProspectsOf(
    kNow,
    100.0,
    { Waiting(1000, 10.0, 10.0, 1500), Waiting(1000, 10.0, 10.0, 3500) });
  cr_expect_eq(prospects[0], Prospect::Late);
  cr_expect_eq(prospects[1], Prospect::Hopeless);
}

// Pattern: many hopeless jobs. They wait behind the ones that somebody still
// waits for, and run when there is room.
Test(prospects, hopeless_jobs_wait_behind_others)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1", { 1000, 64000, 0 });
  const auto blocker = harness.Submit(Steps({ 1 }));
  cr_assert_eq(harness.StartAll().size(), 1);
  auto slow = Steps({ 1 });
  slow.steps[0].estimate = Millis{ 100 };
  const auto hopeless = harness.Submit(slow);
  harness.Advance(Millis{ 5000 });
  harness.Tick();
  const auto fresh = harness.Submit(Steps({ 1 }));
  harness.Advance(kJudgeGap);
  harness.Tick();
  harness.cell.OnCancel(harness.now, blocker);
  harness.Tick();
  const auto stops = harness.Calls(CallKind::Stop);
  cr_assert_eq(stops.size(), 1);
  harness.Answer(stops[0], CallEnd::Done);
  harness.Advance(kRenewGap);
  harness.Tick();
  for (const auto& call : harness.Calls(CallKind::Renew)) {
    harness.Report(call, {}, { EndOf(stops[0], 1, RunEnd::Stopped) });
  }
  const auto next = harness.StartAll();
  cr_assert_eq(next.size(), 1);
  cr_expect_eq(next[0].task.job, fresh);
  cr_expect_neq(next[0].task.job, hopeless);
}
