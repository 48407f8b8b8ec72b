// How long a cell's owner waits for the leases of workers that do not answer.

#include <criterion/criterion.h>

#include "cellharness.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

using namespace std::chrono_literals;

constexpr Millis kGranted{ 5000 };

auto
TakeoverAfterLeasesOf(Millis aLease) -> CellTakeover
{
  auto takeover = CellTakeover{};
  takeover.previousLease = aLease;
  return takeover;
}

// How long after its first answer the owner counts on the worker's lease.
auto
LeaseAfterFirstAnswer(CellHarness& aHarness) -> Millis
{
  const auto answeredAt = aHarness.now;
  aHarness.AddWorker("w");
  const auto overBy = aHarness.cell.Workers().at(WorkerId{ "w" }).LeaseOverBy();
  return ToMillis(overBy - answeredAt);
}

} // namespace

// Guards against: tasks of a worker that is gone wait for the longest lease
// that workers accept, although no owner granted one.
Test(lease, of_a_worker_that_has_answered_is_what_owners_granted)
{
  auto harness = CellHarness{ {}, TakeoverAfterLeasesOf(kGranted) };
  const auto lease = LeaseAfterFirstAnswer(harness);
  cr_expect_geq(lease.count(), kGranted.count());
  cr_expect_leq(lease.count(), 5200);
}

// Guards against: a task runs twice because an earlier owner's leases were
// longer than those of the present one.
Test(lease, of_an_earlier_owner_may_be_longer)
{
  auto harness = CellHarness{ {}, TakeoverAfterLeasesOf(9s) };
  cr_expect_geq(LeaseAfterFirstAnswer(harness).count(), 9000);
}

Test(lease, of_an_earlier_owner_does_not_hold_for_ever)
{
  auto harness = CellHarness{ {}, TakeoverAfterLeasesOf(9s) };
  cr_expect_eq(harness.cell.LongestLease(harness.now).count(), 9000);
  harness.Advance(8s);
  cr_expect_eq(harness.cell.LongestLease(harness.now).count(), 9000);
  harness.Advance(6s);
  cr_expect_eq(harness.cell.LongestLease(harness.now).count(),
               kGranted.count());
  cr_expect_leq(LeaseAfterFirstAnswer(harness).count(), 100);
}

namespace {

constexpr const char* kWorker = "w";

// What a new owner reads of a cell whose worker runs one task.
auto
TakeoverWithARun() -> CellTakeover
{
  auto first = CellHarness{};
  first.AddWorker(kWorker);
  const auto job = first.Submit(JobWithSteps({ 1 }));
  cr_assert_eq(first.StartAll().size(), 1);
  auto reason = std::string{};
  auto takeover = CellTakeover{ 2 };
  takeover.jobs.emplace_back(
    first.cell.FindJob(job)->row,
    DecodeJobRecord(EncodeJobRecord(MakeJobRecord(*first.cell.FindJob(job))),
                    reason));
  return takeover;
}

// How long after the takeover a worker's lease counts that does not answer.
auto
LeaseWithoutAnswer(const CellHarness& aHarness) -> Millis
{
  const auto& slot = aHarness.cell.Workers().at(WorkerId{ kWorker });
  return ToMillis(slot.LeaseOverBy() - aHarness.now);
}

} // namespace

// Guards against: tasks of a worker that is gone wait for leases that an owner
// which had released the cell can't have granted.
Test(lease, of_a_released_cell_ends_after_its_length)
{
  auto takeover = TakeoverWithARun();
  takeover.previousReleased = true;
  const auto released = CellHarness{ {}, takeover };
  cr_expect_geq(LeaseWithoutAnswer(released).count(), kGranted.count());
  cr_expect_leq(LeaseWithoutAnswer(released).count(), 5200);
}

// An owner that failed may be cut off from the store only, and grant leases
// until its ownership expires.
Test(lease, of_an_owner_that_failed_counts_from_its_last_confirmation)
{
  auto takeover = TakeoverWithARun();
  const auto atOnce = LeaseWithoutAnswer(CellHarness{ {}, takeover });
  cr_expect_geq(atOnce, kGranted + CellOptions{}.ownershipValidity);
  takeover.previousConfirmedBy = CellHarness::WithDefaults({}).now - 2s;
  const auto later = LeaseWithoutAnswer(CellHarness{ {}, takeover });
  cr_expect_eq((atOnce - later).count(), 2000);
}

// Guards against: a task runs twice after two changes of the owner in a row.
// The first of them failed and may still grant leases to workers that the
// second one has not heard from when it releases the cell.
Test(lease, of_workers_not_heard_from_is_told_on_release)
{
  auto harness = CellHarness{ {}, TakeoverWithARun() };
  harness.Tick();
  cr_expect_eq(harness.cell.SilentWorkers().size(), 0);
  harness.cell.SetReleasing(true);
  const auto silent = harness.cell.SilentWorkers();
  cr_assert_eq(silent.size(), 1);
  cr_expect_geq(ToMillis(silent.at(WorkerId{ kWorker }) - harness.now),
                kGranted + CellOptions{}.ownershipValidity);
}

// Guards against: the next owner counts on no lease that was granted after the
// release, which it knows nothing of.
Test(lease, is_not_extended_while_the_cell_is_released)
{
  auto harness = CellHarness{};
  harness.AddWorker(kWorker);
  harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  harness.cell.SetReleasing(true);
  for (auto round = 0; round < 20; ++round) {
    harness.Advance(200ms);
    harness.Tick();
    for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
      cr_expect_eq(call.leaseEndMs, 0);
      harness.Report(call, { RunReportOf(starts[0]) }, {});
    }
  }
}

namespace {

// Workers accept leases twice as long as owners grant.
constexpr CellOptions kLongLeases{ 10s };

// Adds a worker that has not been renewed for so long that it is due.
auto
AddIdleWorker(CellHarness& aHarness) -> void
{
  aHarness.AddWorker(kWorker);
  aHarness.Advance(30s);
  aHarness.Tick();
}

// The only renewal in the next round.
auto
NextRenewal(CellHarness& aHarness) -> WorkerCall
{
  aHarness.Advance(200ms);
  aHarness.Tick();
  const auto renewals = aHarness.TakeCallsOfKind(CallKind::Renew);
  cr_assert_eq(renewals.size(), 1);
  return renewals[0];
}

} // namespace

// Guards against: a task runs twice because the owner's row lists its worker as
// silent, with the end of an old lease, while the new owner extends the lease.
Test(lease, of_a_worker_listed_as_silent_is_extended_after_the_row_is_written)
{
  auto takeover = TakeoverWithARun();
  takeover.leaseEnds.emplace(WorkerId{ kWorker },
                             CellHarness::WithDefaults({}).now + 3s);
  auto harness = CellHarness{ {}, takeover };
  harness.Tick();
  cr_expect_eq(harness.cell.SilentWorkers().size(), 1);
  harness.AddWorker(kWorker);
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 1);
  const auto renewedUpTo = [&] {
    auto latest = std::int64_t{ 0 };
    for (auto round = 0; round < 10; ++round) {
      harness.Advance(200ms);
      harness.Tick();
      for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
        latest = std::max(latest, call.leaseEndMs);
        harness.Report(call, { RunReportOf(starts[0]) }, {});
      }
    }
    return latest;
  };
  cr_expect_eq(renewedUpTo(), 0);
  cr_expect_eq(harness.cell.SilentWorkers().size(), 0);
  harness.cell.OnSilentWorkersWritten({});
  cr_expect_gt(renewedUpTo(), harness.ClockMs());
}

// Guards against: a task runs twice because the lease of its worker was granted
// before the worker was not listed for a while, and the owner forgot it.
Test(lease, of_a_worker_that_was_not_listed_still_counts)
{
  auto harness = CellHarness{};
  harness.AddWorker(kWorker);
  harness.Advance(30s);
  harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  harness.Advance(200ms);
  harness.Tick();
  auto granted = std::int64_t{ 0 };
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    granted = std::max(granted, call.leaseEndMs);
    harness.Report(call, {}, { EndReportOf(starts[0], 1, RunOutcome::Done) });
  }
  cr_assert_gt(granted, harness.ClockMs());
  harness.RecordAll();
  harness.cell.OnWorkers(harness.now, {});
  harness.Tick();
  harness.AnswerRenewals();
  harness.Tick();
  harness.AddWorker(kWorker);
  const auto overBy =
    harness.cell.Workers().at(WorkerId{ kWorker }).LeaseOverBy();
  cr_expect_geq(std::chrono::floor<Millis>(overBy - Time{}).count(), granted);
  harness.cell.OnWorkers(harness.now, {});
  harness.Advance(6s);
  harness.Tick();
  harness.AnswerRenewals();
  harness.Tick();
  cr_expect(harness.cell.Workers().empty());
}

// Guards against: a task runs twice because an owner counts the time in which
// it may grant leases from when it has read the records, not from when the
// store confirmed it.
Test(lease, are_granted_only_for_a_time_after_the_takeover_was_sent)
{
  auto takeover = CellTakeover{};
  takeover.confirmedAt =
    CellHarness::WithDefaults({}).now - CellOptions{}.ownershipValidity + 500ms;
  auto harness = CellHarness{ {}, takeover };
  harness.confirmsOwnership = false;
  harness.AddWorker(kWorker);
  harness.Submit(JobWithSteps({ 1 }));
  cr_assert_eq(harness.StartAll().size(), 1);
  cr_expect_eq(NextRenewal(harness).leaseEndMs, 0);
}

// Guards against: a task runs twice because a renewal for the worker's earlier
// process reached the one that was started since, which limits the lease only
// by the longest that it accepts.
Test(lease, of_a_restarted_worker_may_be_the_longest_that_workers_accept)
{
  auto harness = CellHarness{ kLongLeases, {} };
  AddIdleWorker(harness);
  harness.workerStarts[WorkerId{ kWorker }] = 2000;
  harness.AnswerRenewals();
  harness.Advance(200ms);
  harness.Tick();
  harness.AnswerRenewals();
  const auto& slot = harness.cell.Workers().at(WorkerId{ kWorker });
  cr_assert(slot.reconciled);
  cr_expect_geq(ToMillis(slot.LeaseOverBy() - harness.now).count(), 10'000);
}

// Guards against: a planned stop ends all tasks of the cell because no lease is
// granted while the store refuses to record the release.
Test(lease, is_extended_again_after_a_release_that_failed)
{
  auto harness = CellHarness{};
  harness.AddWorker(kWorker);
  harness.Submit(JobWithSteps({ 1 }));
  const auto starts = harness.StartAll();
  harness.cell.SetReleasing(true);
  harness.cell.SetReleasing(false);
  cr_expect_gt(NextRenewal(harness).leaseEndMs, harness.ClockMs());
}

// Guards against: tasks of a worker that leaves while the cell changes hands
// wait for the longest lease that its owner may have granted, although the
// owner knew when it ends.
Test(lease, of_a_leaving_worker_is_told_on_release)
{
  auto harness = CellHarness{};
  harness.AddWorker(kWorker);
  harness.AddWorker("stays");
  harness.Submit(JobWithSteps({ 20 }));
  const auto starts = harness.StartAll();
  cr_assert_eq(starts.size(), 20);
  harness.Advance(200ms);
  harness.Tick();
  auto granted = std::int64_t{ 0 };
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    granted = call.worker.text == kWorker ? call.leaseEndMs : granted;
    auto running = std::vector<RunReport>{};
    for (const auto& start : starts) {
      if (start.worker == call.worker) {
        running.push_back(RunReportOf(start));
      }
    }
    harness.Report(call, running, {});
  }
  cr_assert_gt(granted, harness.ClockMs());
  harness.table.at(WorkerId{ kWorker }).leaving = true;
  harness.cell.OnWorkers(harness.now, harness.table);
  harness.Tick();
  cr_expect_eq(harness.cell.SilentWorkers().size(), 0);
  harness.cell.SetReleasing(true);
  const auto silent = harness.cell.SilentWorkers();
  cr_assert_eq(silent.size(), 1);
  cr_expect_eq(silent.begin()->first.text, kWorker);
  // Not before the end of what was granted, and not long after it.
  const auto told = ToMillis(silent.begin()->second - Time{}).count();
  cr_expect_geq(told, granted);
  cr_expect_leq(told, granted + 200);
}

// Guards against the same while the worker is not listed and has not answered.
Test(lease, of_a_restarted_worker_counts_also_while_it_is_not_listed)
{
  auto harness = CellHarness{ kLongLeases, {} };
  AddIdleWorker(harness);
  harness.AnswerRenewals();
  harness.table.at(WorkerId{ kWorker }).startUnixMs = 2000;
  harness.cell.OnWorkers(harness.now, harness.table);
  const auto restartedAt = harness.now;
  harness.cell.OnWorkers(harness.now, {});
  harness.Advance(200ms);
  harness.Tick();
  for (const auto& call : harness.TakeCallsOfKind(CallKind::Renew)) {
    harness.Answer(call, CallOutcome::Unanswered);
  }
  harness.Tick();
  cr_assert_eq(harness.cell.Workers().size(), 1);
  const auto& slot = harness.cell.Workers().at(WorkerId{ kWorker });
  cr_expect_geq(ToMillis(slot.LeaseOverBy() - restartedAt).count(), 10'000);
}

// Guards against: the leases of workers that leave end because they were told
// of with a release that the store refused.
Test(lease, of_a_leaving_worker_is_extended_again_after_a_release_that_failed)
{
  auto harness = CellHarness{};
  harness.AddWorker(kWorker);
  harness.Submit(JobWithSteps({ 1 }));
  cr_assert_eq(harness.StartAll().size(), 1);
  harness.table.at(WorkerId{ kWorker }).leaving = true;
  harness.cell.OnWorkers(harness.now, harness.table);
  harness.cell.SetReleasing(true);
  cr_assert_eq(harness.cell.SilentWorkers().size(), 1);
  harness.cell.SetReleasing(false);
  cr_expect_gt(NextRenewal(harness).leaseEndMs, harness.ClockMs());
}

// Guards against: a task runs twice because the lease of its worker is extended
// while the owner's row tells an earlier end of it.
Test(lease, is_not_extended_while_the_row_tells_its_end)
{
  auto harness = CellHarness{};
  harness.AddWorker(kWorker);
  harness.Submit(JobWithSteps({ 1 }));
  cr_assert_eq(harness.StartAll().size(), 1);
  harness.cell.OnSilentWorkersWritten({ { kWorker, 1 } });
  cr_expect_eq(NextRenewal(harness).leaseEndMs, 0);
}

// Guards against: a task runs twice because the next owner does not know that a
// worker was restarted, and may have the longest lease that it accepts.
Test(lease, of_a_restarted_worker_is_told_to_the_next_owner)
{
  auto harness = CellHarness{ kLongLeases, {} };
  AddIdleWorker(harness);
  cr_expect_eq(harness.cell.LongestLease(harness.now), kLongLeases.lease);
  harness.workerStarts[WorkerId{ kWorker }] = 2000;
  harness.AnswerRenewals();
  cr_expect_eq(harness.cell.LongestLease(harness.now), kLongLeases.maxLease);
  harness.Advance(11s);
  cr_expect_eq(harness.cell.LongestLease(harness.now), kLongLeases.lease);
}
