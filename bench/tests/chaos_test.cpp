// A fixed set of worlds with drawn faults; more are run by the bench.

#include <criterion/criterion.h>

#include "chaosbench.h"
#include "log.h"
#include "taskjudge.h"

using namespace gooseberry;

namespace {

auto
Judge(std::vector<TaskEvent> aEvents) -> std::size_t
{
  return JudgeTaskEvents(std::move(aEvents), { "once" }).violations.size();
}

} // namespace

Test(judge, sees_each_kind_of_violation)
{
  cr_expect_eq(
    Judge({ { 1, "start", "a", "t", 1, 0 }, { 2, "start", "b", "t", 2, 0 } }),
    1);
  cr_expect_eq(Judge({ { 1, "start", "a", "t", 1, 0 },
                       { 2, "finished", "a", "t", 1, 0 },
                       { 3, "acknowledged", "a", "t", 1, 0 },
                       { 4, "start", "b", "t", 2, 0 } }),
               1);
  cr_expect_eq(Judge({ { 1, "start", "a", "once", 1, 0 },
                       { 2, "finished", "a", "once", 1, 0 },
                       { 3, "start", "b", "once", 2, 0 } }),
               1);
  cr_expect_eq(Judge({ { 1, "overcommit", "a", "t", 1, 0 } }), 1);
  cr_expect_eq(Judge({ { 1, "start", "a", "t", 1, 0 },
                       { 2, "stopped", "a", "t", 1, 0 },
                       { 2, "start", "b", "t", 2, 0 } }),
               0);
}

Test(chaos, fixed_seeds_keep_every_promise)
{
  InitLog("off");
  for (auto seed = std::uint64_t{ 1 }; seed <= 24; ++seed) {
    const auto result = RunChaosSeed(seed);
    for (const auto& violation : result.violations) {
      cr_expect(false, "seed %lu: %s", seed, violation.c_str());
    }
    cr_expect_gt(result.starts, 10);
  }
}

Test(chaos, a_seed_repeats_itself)
{
  InitLog("off");
  cr_expect_eq(RunChaosSeed(5).signature, RunChaosSeed(5).signature);
}
