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
ProjectedRunMs(const Run& aRun, Time aNow) -> std::optional<double>
{
  const auto workedMs = std::chrono::duration<double, std::milli>(
                          aNow - aRun.startedAt - ThrottledTimeOf(aRun, aNow))
                          .count();
  const auto progress = aRun.progressPercent - aRun.initialPercent;
  constexpr double kFullPercent = 100.0;
  if (workedMs < static_cast<double>(kMinProgressTime.count()) ||
      progress < kMinProgressPercent) {
    return std::nullopt;
  }
  return workedMs * kFullPercent / progress;
}

} // namespace

auto
Cell::UpdateWorkerHealth(Time aNow,
                         const TaskContext& aContext,
                         const Run& aRun,
                         RunOutcome aOutcome) -> void
{
  auto& slot = *aRun.worker;
  if (aOutcome == RunOutcome::Done) {
    slot.consecutiveFailures = 0;
    slot.failedJobs.clear();
    slot.suspicionCount = 0;
    // The whole time of a run is known only if it was observed from its start.
    if (aRun.phase == RunPhase::Running && !aContext.spec->longRunning &&
        aRun.initialPercent == 0.0) {
      this->OnRunCompleted(
        aNow,
        aContext,
        aRun,
        ToMillis(aNow - aRun.startedAt - ThrottledTimeOf(aRun, aNow)));
    }
    return;
  }
  if (aOutcome != RunOutcome::Failed) {
    return;
  }
  ++slot.consecutiveFailures;
  slot.failedJobs.insert(aContext.job->Id());
  if (slot.consecutiveFailures < kSuspectAfterFailures ||
      slot.failedJobs.size() < 2) {
    return;
  }
  // After the rest, one run shows whether the worker is well again: a failure
  // makes it suspected at once, a run that is done clears the suspicion.
  ++slot.suspicionCount;
  slot.consecutiveFailures = kSuspectAfterFailures - 1;
  const auto restDuration =
    std::min(kSuspectAvoidTime * slot.suspicionCount, kSuspectAvoidTimeMax);
  slot.lastResortUntil = std::max(slot.lastResortUntil, aNow + restDuration);
  this->log.Write("worker_suspected",
                  { { "worker", slot.entry.id.text },
                    { "jobs", std::to_string(slot.failedJobs.size()) },
                    { "rest_ms", std::to_string(restDuration.count()) } });
}

// Projected time of a run as a multiple of the median of its step, that is of
// the projected times on other workers and of the longest run that is done;
// nothing if there are too few to compare with.
auto
Cell::SlowdownOf(Time aNow, const TaskContext& aContext, const Run& aRun) const
  -> std::optional<double>
{
  const auto ownMs = ProjectedRunMs(aRun, aNow);
  if (!ownMs) {
    return std::nullopt;
  }
  auto comparedMs = std::vector<double>{};
  if (aContext.step->longestRun.count() > 0) {
    comparedMs.push_back(
      static_cast<double>(aContext.step->longestRun.count()));
  }
  for (const auto& task : aContext.step->tasks) {
    for (const auto& run : task.runs) {
      if (run.worker == aRun.worker || run.phase != RunPhase::Running) {
        continue;
      }
      if (const auto projectedMs = ProjectedRunMs(run, aNow)) {
        comparedMs.push_back(*projectedMs);
      }
    }
  }
  if (comparedMs.size() < kMinComparisons) {
    return std::nullopt;
  }
  const auto median =
    comparedMs.begin() + static_cast<std::ptrdiff_t>(comparedMs.size() / 2);
  std::nth_element(comparedMs.begin(), median, comparedMs.end());
  return *ownMs / std::max(*median, 1.0);
}

// Whether the run's progress is evidence of the speed of its worker.
auto
Cell::ShowsWorkerSpeed(const TaskContext& aContext, const Run& aRun) -> bool
{
  return aRun.phase == RunPhase::Running && !aRun.mayHaveEnded &&
         !aContext.spec->longRunning && !aRun.speedUncertain &&
         aRun.speedPercent >= kMinWatchedSpeedPercent;
}

auto
Cell::CheckProgress(Time aNow, WorkerSlot& aSlot) -> void
{
  auto lowestSlowdown = kMaxSlowness;
  auto compared = 0;
  auto stuck = 0;
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || !ShowsWorkerSpeed(context, *run)) {
      continue;
    }
    if (aNow > std::max(run->lastProgressAt, run->speedSetAt) + kStuckAfter) {
      ++stuck;
      continue;
    }
    if (const auto slowness = this->SlowdownOf(aNow, context, *run)) {
      lowestSlowdown = std::min(lowestSlowdown, *slowness);
      ++compared;
    }
  }
  if (compared > 0) {
    // A single task may be long by itself, so the run with the lowest slowdown
    // determines that of the worker.
    aSlot.slowdown = lowestSlowdown;
  }
  const auto slow = compared > 0 && lowestSlowdown > kSlowWorkerFactor;
  if (stuck == 0 && !slow) {
    return;
  }
  this->log.Write("worker_slow",
                  { { "worker", aSlot.entry.id.text },
                    { "stuck", std::to_string(stuck) },
                    { "slowness", std::to_string(aSlot.slowdown) },
                    { "runs", std::to_string(aSlot.runs.size()) } });
  aSlot.lastResortUntil =
    std::max(aSlot.lastResortUntil, aNow + kSlowWorkerAvoidTime);
  this->MoveRunsElsewhere(aNow, aSlot);
}

// Stops the runs that are stuck or would be done sooner on another worker, if
// one has room for them.
auto
Cell::MoveRunsElsewhere(Time aNow, WorkerSlot& aSlot) -> void
{
  auto round = this->NewPlacementRound(aNow);
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || !ShowsWorkerSpeed(context, *run) ||
        context.spec->gang || context.task->moves >= kMaxMoves) {
      continue;
    }
    const auto stuck =
      aNow > std::max(run->lastProgressAt, run->speedSetAt) + kStuckAfter;
    if (!stuck) {
      const auto slowness = this->SlowdownOf(aNow, context, *run);
      const auto projectedMs = ProjectedRunMs(*run, aNow);
      if (!slowness || !projectedMs || *slowness < kSlowWorkerFactor) {
        continue;
      }
      constexpr double kFullPercent = 100.0;
      const auto leftMs =
        *projectedMs * (kFullPercent - run->progressPercent) / kFullPercent;
      const auto restartMs = *projectedMs / *slowness *
                               (run->checkpoint.empty()
                                  ? 1.0
                                  : 1.0 - run->progressPercent / kFullPercent) +
                             static_cast<double>(kMoveCost.count());
      if (leftMs < restartMs) {
        continue;
      }
    }
    const auto query =
      PlacementQuery{ context.job,   context.spec, StepOf(ref.task),
                      context.image, nullptr,      kGoodSpeed };
    if (this->PickWorker(round, query) == nullptr) {
      continue;
    }
    ++context.task->moves;
    this->StopRun(aNow, ref, *run, StopReason::Stuck);
  }
}

} // namespace gooseberry::cells
