// Batch work on real processes under kills, pauses, cuts and outages.

#include <csignal>

#include <criterion/criterion.h>

#include "scenario.h"

using namespace gooseberry::test;

namespace {

constexpr std::chrono::seconds kFinishAtMost{ 60 };
constexpr std::int64_t kClosedAfterMs = 5000;

auto
FinishAll(Fleet& aFleet, const std::string& aPrefix, int aCount) -> bool
{
  return Eventually(kFinishAtMost, [&] {
    return aFleet.CountPhase(aPrefix, "finished") == aCount;
  });
}

auto
ExpectTasksKept(Fleet& aFleet) -> void
{
  const auto violations = JudgeTasks(aFleet.Record(), { "billing." });
  cr_expect(violations.empty(), "%s", Joined(violations).c_str());
}

} // namespace

Test(batch, work_survives_the_kill_of_an_instance)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 3, false);
  fleet.Submit("long", 10, "one");
  Pause(3000);
  fleet.instances.at("entry-0").process->Signal(SIGKILL);
  fleet.instances.at("entry-0").process->Wait();
  cr_expect(FinishAll(fleet, "long.", 10));
  ExpectTasksKept(fleet);
}

Test(batch, a_paused_owner_comes_back_and_doubles_nothing)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  fleet.Submit("long", 10, "one");
  fleet.Submit("billing", 10, "one");
  Pause(2000);
  fleet.instances.at("entry-1").process->Signal(SIGSTOP);
  Pause(12000);
  fleet.instances.at("entry-1").process->Signal(SIGCONT);
  cr_expect(FinishAll(fleet, "long.", 10));
  cr_expect(FinishAll(fleet, "billing.", 10));
  ExpectTasksKept(fleet);
}

Test(batch, a_paused_worker_stops_first)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  fleet.Submit("long", 8, "one");
  Pause(3000);
  fleet.workers.at("worker-0").process->Signal(SIGSTOP);
  Pause(9000);
  fleet.workers.at("worker-0").process->Signal(SIGCONT);
  cr_expect(FinishAll(fleet, "long.", 8));
  ExpectTasksKept(fleet);
}

Test(batch, running_work_outlives_a_store_outage_and_finishes_are_kept)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  fleet.Submit("long", 6, "one");
  const auto started = Eventually(std::chrono::seconds{ 15 }, [&] {
    return CountEvents(fleet.Record(), "start") >= 8;
  });
  cr_expect(started);
  fleet.PlatformFault({ { "down", true } });
  Pause(12000);
  const auto before = CountEvents(fleet.Record(), "stopped");
  fleet.PlatformFault({ { "down", false } });
  cr_expect(FinishAll(fleet, "long.", 6));
  cr_expect_eq(before, 0, "%d tasks were stopped by the outage", before);
  ExpectTasksKept(fleet);
}

Test(batch, lost_replies_of_the_store_double_nothing)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  fleet.PlatformFault({ { "lose_reply_every", 3 } });
  for (auto attempt = 0; attempt < 3; ++attempt) {
    // The same submission again and again is one submission.
    fleet.Submit("billing", 20, "one");
  }
  cr_expect(FinishAll(fleet, "billing.", 20));
  fleet.PlatformFault({ { "lose_reply_every", 0 } });
  cr_expect_eq(CountEvents(fleet.Record(), "finished"), 20);
  ExpectTasksKept(fleet);
}

Test(batch, no_task_starts_in_a_domain_taken_out_also_behind_a_cut)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 3, true);
  // This instance never hears of the change.
  fleet.instances.at("entry-2").Fault({ { "drop_down", true } });
  const auto out = Call(
    "POST", fleet.instances.at("entry-0").adminPort, "/v1/domains/south/out");
  cr_expect_eq(out.status, 200);
  const auto outAt = NowMillis();
  fleet.Submit("billing", 20, "one");
  Pause(9000);
  const auto closed = JudgeNoStarts(fleet.Record(),
                                    { "worker-1", "worker-3" },
                                    outAt + kClosedAfterMs,
                                    NowMillis());
  cr_expect(closed.empty(), "%s", Joined(closed).c_str());
  fleet.instances.at("entry-2").Fault({ { "drop_down", false } });
  fleet.SetDomain("south", "in");
  cr_expect(FinishAll(fleet, "billing.", 20));
  ExpectTasksKept(fleet);
}

Test(batch, impossible_work_is_parked_and_a_bad_worker_is_left_out)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 1, false);
  Call("POST",
       fleet.workers.at("worker-0").port,
       "/mode",
       R"({"fail_all": true})");
  fleet.Submit("huge", 1, "one");
  fleet.Submit("billing", 12, "one");
  cr_expect(FinishAll(fleet, "billing.", 12));
  cr_expect_eq(fleet.CountPhase("huge.", "parked"), 1);
  ExpectTasksKept(fleet);
}

Test(batch, a_cancelled_task_never_starts_afterwards)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  fleet.Submit("long", 60, "one");
  const auto port = fleet.AnyInstance().adminPort;
  for (auto index = 20; index < 60; ++index) {
    Call("DELETE", port, "/v1/tasks/long.one." + std::to_string(index));
  }
  const auto settled = Eventually(kFinishAtMost, [&] {
    return fleet.CountPhase("long.", "finished") +
             fleet.CountPhase("long.", "cancelled") ==
           60;
  });
  cr_expect(settled);
  const auto starts = CountEvents(fleet.Record(), "start");
  Pause(2000);
  cr_expect_eq(CountEvents(fleet.Record(), "start"), starts);
  ExpectTasksKept(fleet);
}
