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
