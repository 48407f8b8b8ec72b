// Long-running tasks run again in time after their worker is gone, in virtual
// time.

#include <criterion/criterion.h>

#include "longrunning.h"

using namespace gooseberry;
using namespace gooseberry::test;

namespace {

using namespace std::chrono_literals;

// With capacity for it, a long-running task runs again within this time after
// its last run, whatever worker that was on.
constexpr Millis kMaxInterruption{ 9000 };

class InterruptionWatch
{
public:
  explicit InterruptionWatch(FleetWorld& aWorld)
    : world(aWorld)
  {
  }

  auto RunFor(Millis aTime) -> void
  {
    constexpr Millis kInterval{ 50 };
    const auto end = this->world.Now() + aTime;
    while (this->world.Now() < end) {
      this->world.RunFor(kInterval);
      auto waiting = std::map<cells::TaskName, Time>{};
      for (const auto& task : this->world.Judge().WaitingTasks()) {
        const auto known = this->waitingSince.find(task.task);
        const auto since =
          known == this->waitingSince.end() ? this->world.Now() : known->second;
        waiting.emplace(task.task, since);
        this->longest =
          std::max(this->longest, ToMillis(this->world.Now() - since));
      }
      this->waitingSince = std::move(waiting);
    }
  }

  auto Longest() const -> Millis { return this->longest; }

private:
  FleetWorld& world;
  std::map<cells::TaskName, Time> waitingSince;
  Millis longest{ 0 };
};

// A fleet whose workers accept leases of 10 s, twice as long as owners grant.
auto
WorldWithLongLeases(std::uint64_t aSeed) -> std::unique_ptr<FleetWorld>
{
  auto options = FleetWorldOptions{};
  options.leaseMax = 10s;
  options.machinesReturn = false;
  options.seed = aSeed;
  return WorldWithLongRunningTasks(options);
}

} // namespace

// Guards against: a worker leaves after the new owner of its cell has heard
// from it, and its tasks wait for a longer lease than any owner granted.
Test(long_running,
     restart_in_time_on_loss_of_a_worker_just_after_a_takeover,
     .timeout = 60)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 4; ++seed) {
    const auto world = WorldWithLongLeases(seed);
    auto watch = InterruptionWatch{ *world };
    for (auto worker = 0; worker < world->Workers(); worker += 4) {
      world->DrainWorker(worker);
      watch.RunFor(5s);
      world->Restart(world->Owner());
      watch.RunFor(14s);
    }
    cr_expect_leq(watch.Longest().count(),
                  kMaxInterruption.count(),
                  "seed %d: a task did not run for %d ms",
                  static_cast<int>(seed),
                  static_cast<int>(watch.Longest().count()));
    ExpectKept(*world, seed);
  }
}

// Guards against: a task runs twice because the row that tells how long the
// earlier owner's leases are can't be read.
Test(long_running, wait_for_the_longest_lease_after_an_unknown_owner)
{
  auto options = FleetWorldOptions{};
  options.leaseMax = 10s;
  const auto world = std::make_unique<FleetWorld>(options);
  world->RunFor(8s);
  const auto granted = world->LongestLease();
  cr_assert_gt(granted.count(), 0);
  cr_assert_lt(granted.count(), 10'000);
  world->SpoilRows(cells::CellRows::kOwnerTable, "owner", "no owner");
  world->RunFor(5s);
  cr_expect_eq(world->LongestLease().count(), 10'000);
  world->RunFor(15s);
  cr_expect_eq(world->LongestLease().count(), granted.count());
  // The owner's row tells it, too.
  world->Kill(world->Owner());
  world->RunFor(5s);
  cr_assert_geq(world->Owner(), 0);
  cr_expect_eq(world->LongestLease().count(), granted.count());
}

// Guards against: a worker leaves while the cell changes hands, before the new
// owner has heard from it, and its tasks wait for leases that an owner which
// has released the cell can't have granted.
Test(long_running,
     restart_in_time_on_loss_of_a_worker_during_a_handover,
     .timeout = 60)
{
  for (auto before = 0ms; before <= 500ms; before += 50ms) {
    const auto world = WorldWithLongLeases(1);
    auto watch = InterruptionWatch{ *world };
    world->DrainWorker(0);
    watch.RunFor(6s - before);
    world->Restart(world->Owner());
    watch.RunFor(14s);
    cr_expect_leq(watch.Longest().count(),
                  kMaxInterruption.count(),
                  "%d ms before the worker left: a task did not run for %d ms",
                  static_cast<int>(before.count()),
                  static_cast<int>(watch.Longest().count()));
    ExpectKept(*world, 1);
  }
}
