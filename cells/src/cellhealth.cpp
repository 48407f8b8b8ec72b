// Detects workers that fail, hang or are slow although they report that they
// are healthy, by the outcomes and the progress of their runs.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Projects the total time of a run from its progress, in milliseconds; nothing
// while the run is too young for that.
auto
ProjectedMs(const Run& aRun, Time aNow) -> std::optional<double>
{
  const auto workedMs = std::chrono::duration<double, std::milli>(
                          aNow - aRun.startedAt - RestOf(aRun, aNow))
                          .count();
  const auto progress = aRun.percent - aRun.startPercent;
  constexpr double kFullPercent = 100.0;
  if (workedMs < static_cast<double>(kProgressAge.count()) ||
      progress < kLeastProgress) {
    return std::nullopt;
  }
  return workedMs * kFullPercent / progress;
}

} // namespace

auto
Cell::NoteEndedRun(Time aNow,
                   const TaskPlace& aContext,
                   const Run& aRun,
                   RunEnd aOutcome) -> void
{
  auto& slot = *aRun.worker;
  if (aOutcome == RunEnd::Done) {
    slot.failures = 0;
    slot.failedJobs.clear();
    slot.suspicions = 0;
    // The whole time of a run is known only if it was observed from its start.
    if (aRun.phase == RunPhase::Running && !aContext.spec->lasting &&
        aRun.startPercent == 0.0) {
      aContext.step->longest =
        std::max(aContext.step->longest,
                 ToMillis(aNow - aRun.startedAt - RestOf(aRun, aNow)));
    }
    return;
  }
  if (aOutcome != RunEnd::Failed) {
    return;
  }
  ++slot.failures;
  slot.failedJobs.insert(aContext.job->Id());
  if (slot.failures < kFailureStreak || slot.failedJobs.size() < 2) {
    return;
  }
  // After the rest, one run shows whether the worker is well again: a failure
  // makes it suspected at once, a run that is done clears the suspicion.
  ++slot.suspicions;
  slot.failures = kFailureStreak - 1;
  const auto restDuration =
    std::min(kSuspectRest * slot.suspicions, kSuspectRestMax);
  slot.shunnedUntil = std::max(slot.shunnedUntil, aNow + restDuration);
  this->log.Write("worker_suspected",
                  { { "worker", slot.entry.id.text },
                    { "jobs", std::to_string(slot.failedJobs.size()) },
                    { "rest_ms", std::to_string(restDuration.count()) } });
}

// Projected time of a run as a multiple of the median of its step, that is of
// the projected times on other workers and of the longest run that is done;
// nothing if there are too few to compare with.
auto
Cell::SlownessOf(Time aNow, const TaskPlace& aContext, const Run& aRun) const
  -> std::optional<double>
{
  const auto ownMs = ProjectedMs(aRun, aNow);
  if (!ownMs) {
    return std::nullopt;
  }
  auto comparedMs = std::vector<double>{};
  if (aContext.step->longest.count() > 0) {
    comparedMs.push_back(static_cast<double>(aContext.step->longest.count()));
  }
  for (const auto& task : aContext.step->tasks) {
    for (const auto& run : task.runs) {
      if (run.worker == aRun.worker || run.phase != RunPhase::Running) {
        continue;
      }
      if (const auto projectedMs = ProjectedMs(run, aNow)) {
        comparedMs.push_back(*projectedMs);
      }
    }
  }
  if (comparedMs.size() < kLeastComparisons) {
    return std::nullopt;
  }
  const auto median =
    comparedMs.begin() + static_cast<std::ptrdiff_t>(comparedMs.size() / 2);
  std::nth_element(comparedMs.begin(), median, comparedMs.end());
  return *ownMs / std::max(*median, 1.0);
}

// Whether the run's progress is evidence of the speed of its worker.
auto
Cell::IsWatched(const TaskPlace& aContext, const Run& aRun) -> bool
{
  return aRun.phase == RunPhase::Running && !aContext.spec->lasting &&
         !aRun.paceUnsure && aRun.pace >= kWatchedPace;
}

auto
Cell::WatchProgress(Time aNow, WorkerSlot& aSlot) -> void
{
  auto lowestSlowdown = kMostSlowness;
  auto compared = 0;
  auto stuck = 0;
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindActive(ref);
    if (run == nullptr || !IsWatched(context, *run)) {
      continue;
    }
    if (aNow > std::max(run->progressAt, run->pacedAt) + kStuckAfter) {
      ++stuck;
      continue;
    }
    if (const auto slowness = this->SlownessOf(aNow, context, *run)) {
      lowestSlowdown = std::min(lowestSlowdown, *slowness);
      ++compared;
    }
  }
  if (compared > 0) {
    // A single task may be long by itself, so the run with the lowest slowdown
    // determines that of the worker.
    aSlot.slowness = lowestSlowdown;
  }
  const auto slow = compared > 0 && lowestSlowdown > kSlowWorker;
  if (stuck == 0 && !slow) {
    return;
  }
  this->log.Write("worker_slow",
                  { { "worker", aSlot.entry.id.text },
                    { "stuck", std::to_string(stuck) },
                    { "slowness", std::to_string(aSlot.slowness) },
                    { "runs", std::to_string(aSlot.runs.size()) } });
  aSlot.shunnedUntil = std::max(aSlot.shunnedUntil, aNow + kSlowRest);
  this->MoveOff(aNow, aSlot);
}

// Stops the runs that are stuck or would be done sooner on another worker, if
// one has room for them.
auto
Cell::MoveOff(Time aNow, WorkerSlot& aSlot) -> void
{
  auto round = this->NewRound(aNow);
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindActive(ref);
    if (run == nullptr || !IsWatched(context, *run) || context.spec->gang ||
        context.task->moves >= kMostMoves) {
      continue;
    }
    const auto stuck =
      aNow > std::max(run->progressAt, run->pacedAt) + kStuckAfter;
    if (!stuck) {
      const auto slowness = this->SlownessOf(aNow, context, *run);
      const auto projectedMs = ProjectedMs(*run, aNow);
      if (!slowness || !projectedMs || *slowness < kSlowWorker) {
        continue;
      }
      constexpr double kFullPercent = 100.0;
      const auto leftMs =
        *projectedMs * (kFullPercent - run->percent) / kFullPercent;
      const auto restartMs =
        *projectedMs / *slowness *
          (run->checkpoint.empty() ? 1.0 : 1.0 - run->percent / kFullPercent) +
        static_cast<double>(kMoveCost.count());
      if (leftMs < restartMs) {
        continue;
      }
    }
    const auto query =
      PlacementQuery{ context.job,   context.spec, StepOf(ref.task),
                      context.image, nullptr,      kGoodPace };
    if (this->PickWorker(round, query) == nullptr) {
      continue;
    }
    ++context.task->moves;
    this->StopRun(aNow, ref, *run, StopReason::Stuck);
  }
}

} // namespace gooseberry::cells
