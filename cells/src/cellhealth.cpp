// Workers that fail, hang or are slow while they say that they are well: found
// by what becomes of the runs there.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Projected time of a run from its progress; nothing while it is too early.
auto
ProjectedMs(const Run& aRun, Time aNow) -> std::optional<double>
{
  const auto worked = std::chrono::duration<double, std::milli>(
                        aNow - aRun.startedAt - RestOf(aRun, aNow))
                        .count();
  const auto done = aRun.percent - aRun.startPercent;
  constexpr double kWhole = 100.0;
  if (worked < static_cast<double>(kProgressAge.count()) ||
      done < kLeastProgress) {
    return std::nullopt;
  }
  return worked * kWhole / done;
}

} // namespace

auto
Cell::NoteEndedRun(Time aNow,
                   const TaskPlace& aPlace,
                   const Run& aRun,
                   RunEnd aHow) -> void
{
  auto& slot = *aRun.worker;
  if (aHow == RunEnd::Done) {
    slot.failures = 0;
    slot.failedJobs.clear();
    slot.suspicions = 0;
    // One that was seen from the middle on does not tell its whole time.
    if (aRun.phase == RunPhase::Running && !aPlace.spec->lasting &&
        aRun.startPercent == 0.0) {
      aPlace.step->longest =
        std::max(aPlace.step->longest,
                 ToMillis(aNow - aRun.startedAt - RestOf(aRun, aNow)));
    }
    return;
  }
  if (aHow != RunEnd::Failed) {
    return;
  }
  ++slot.failures;
  slot.failedJobs.insert(aPlace.job->Id());
  if (slot.failures < kFailureStreak || slot.failedJobs.size() < 2) {
    return;
  }
  // One task at a time shows whether it is well again.
  ++slot.suspicions;
  slot.failures = kFailureStreak - 1;
  const auto rest = std::min(kSuspectRest * slot.suspicions, kSuspectRestMax);
  slot.shunnedUntil = std::max(slot.shunnedUntil, aNow + rest);
  this->log.Write("worker_suspected",
                  { { "worker", slot.entry.id.text },
                    { "jobs", std::to_string(slot.failedJobs.size()) },
                    { "rest_ms", std::to_string(rest.count()) } });
}

// Compares a run with others of its step on other workers.
auto
Cell::SlownessOf(Time aNow, const TaskPlace& aPlace, const Run& aRun) const
  -> std::optional<double>
{
  const auto own = ProjectedMs(aRun, aNow);
  if (!own) {
    return std::nullopt;
  }
  auto others = std::vector<double>{};
  if (aPlace.step->longest.count() > 0) {
    others.push_back(static_cast<double>(aPlace.step->longest.count()));
  }
  for (const auto& task : aPlace.step->tasks) {
    for (const auto& run : task.runs) {
      if (run.worker == aRun.worker || run.phase != RunPhase::Running) {
        continue;
      }
      if (const auto projected = ProjectedMs(run, aNow)) {
        others.push_back(*projected);
      }
    }
  }
  if (others.size() < kLeastComparisons) {
    return std::nullopt;
  }
  const auto middle =
    others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *own / std::max(*middle, 1.0);
}

// Tells something of its worker by its progress.
auto
Cell::IsWatched(const TaskPlace& aPlace, const Run& aRun) -> bool
{
  return aRun.phase == RunPhase::Running && !aPlace.spec->lasting &&
         !aRun.paceUnsure && aRun.pace >= kWatchedPace;
}

auto
Cell::WatchProgress(Time aNow, WorkerSlot& aSlot) -> void
{
  auto best = kMostSlowness;
  auto seen = 0;
  auto stuck = 0;
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || !IsWatched(place, *run)) {
      continue;
    }
    if (aNow > std::max(run->progressAt, run->pacedAt) + kStuckAfter) {
      ++stuck;
      continue;
    }
    if (const auto slowness = this->SlownessOf(aNow, place, *run)) {
      best = std::min(best, *slowness);
      ++seen;
    }
  }
  if (seen > 0) {
    // A task may be long by itself: the quickest one speaks for the worker.
    aSlot.slowness = best;
  }
  const auto slow = seen > 0 && best > kSlowWorker;
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

// Stops what would be done sooner elsewhere, while there is room elsewhere.
auto
Cell::MoveOff(Time aNow, WorkerSlot& aSlot) -> void
{
  auto round = this->NewRound(aNow);
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || !IsWatched(place, *run) || place.spec->gang ||
        place.task->moves >= kMostMoves) {
      continue;
    }
    const auto stuck =
      aNow > std::max(run->progressAt, run->pacedAt) + kStuckAfter;
    if (!stuck) {
      const auto slowness = this->SlownessOf(aNow, place, *run);
      const auto projected = ProjectedMs(*run, aNow);
      if (!slowness || !projected || *slowness < kSlowWorker) {
        continue;
      }
      constexpr double kWhole = 100.0;
      const auto left = *projected * (kWhole - run->percent) / kWhole;
      const auto again =
        *projected / *slowness *
          (run->checkpoint.empty() ? 1.0 : 1.0 - run->percent / kWhole) +
        static_cast<double>(kMoveCost.count());
      if (left < again) {
        continue;
      }
    }
    const auto query =
      PlacementQuery{ place.job,   place.spec, StepOf(ref.task),
                      place.image, nullptr,    kGoodPace };
    if (this->PickWorker(round, query) == nullptr) {
      continue;
    }
    ++place.task->moves;
    this->StopRun(aNow, ref, *run, StopReason::Stuck);
  }
}

} // namespace gooseberry::cells
