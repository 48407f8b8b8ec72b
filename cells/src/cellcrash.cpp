// Tasks that crash the workers that start them: finds them out among the tasks
// that are lost with a worker, and gives them up.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
StartOf(const Run& aRun) -> Time
{
  return aRun.startedAt == Time{} ? aRun.phaseSince : aRun.startedAt;
}

} // namespace

auto
Cell::OnWorkerLost(Time aNow,
                   WorkerSlot& aSlot,
                   bool aRestarted,
                   const char* aWhy) -> void
{
  // A worker that leaves is expected to go.
  const auto lost =
    aSlot.entry.leaving ? std::vector<LostRun>{} : this->LostRuns(aSlot);
  const auto runs = aSlot.runs;
  for (const auto& ref : runs) {
    this->DropRun(aNow, ref, aWhy);
  }
  this->CountLosses(aNow, aSlot.entry.id, aRestarted, lost);
}

auto
Cell::LostRuns(const WorkerSlot& aSlot) -> std::vector<LostRun>
{
  auto lost = std::vector<LostRun>{};
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || run->phase == RunPhase::Planned || run->neverBegan ||
        context.task->phase != TaskPhase::Open) {
      continue;
    }
    lost.push_back(
      { ref,
        std::max(Micros{ 0 }, Micros{ aSlot.lastAnswerAt - StartOf(*run) }),
        run->startedAt != Time{},
        context.task->losses });
  }
  return lost;
}

// Only runs that had been started a short time before are suspects, if there
// are any: the shorter, and the more workers were lost under their task before,
// the more likely they are.
auto
Cell::CountLosses(Time aNow,
                  const WorkerId& aWorker,
                  bool aRestarted,
                  const std::vector<LostRun>& aLost) -> void
{
  const auto youngerThan = [&aLost](Micros aAge) {
    return std::count_if(aLost.begin(), aLost.end(), [aAge](const auto& aRun) {
      return aRun.age <= aAge;
    });
  };
  const auto candidates = youngerThan(kCrashWindow);
  const auto window = youngerThan(kLikelyCrashWindow) > 0
                        ? Micros{ kLikelyCrashWindow }
                      : candidates > 0 ? Micros{ kCrashWindow }
                                       : Micros::max();
  auto someConfirmed = false;
  auto mostLosses = std::uint32_t{ 0 };
  for (const auto& lost : aLost) {
    if (lost.age <= window) {
      someConfirmed = someConfirmed || lost.confirmed;
      mostLosses = std::max(mostLosses, lost.earlierLosses);
    }
  }
  for (const auto& lost : aLost) {
    const auto context = this->FindTask(lost.ref.task);
    const auto suspected = lost.age <= kCrashWindow;
    if (context.task == nullptr || context.task->phase != TaskPhase::Open ||
        IsFinal(context.job->state) || (!aRestarted && !suspected) ||
        (!lost.confirmed && someConfirmed)) {
      continue;
    }
    auto& task = *context.task;
    ++task.losses;
    if (suspected) {
      task.suspected = true;
      this->CountEvent(CellEvent::TaskSuspected);
      this->log.Write("task_suspected",
                      { { "task", ToText(lost.ref.task) },
                        { "worker", aWorker.text },
                        { "restarted", aRestarted ? "yes" : "no" },
                        { "candidates", std::to_string(candidates) },
                        { "losses", std::to_string(task.losses) } });
    }
    this->MarkDirty(*context.job, false);
    const auto alone =
      aRestarted && lost.confirmed && suspected && candidates == 1;
    const auto likely = lost.age <= window && lost.earlierLosses == mostLosses;
    if ((alone && task.losses >= kMaxLossesAlone) ||
        (likely && task.losses >= kMaxLossesLikely) ||
        task.losses >= kMaxLosses) {
      this->CountEvent(CellEvent::TaskGivenUp);
      this->log.Write("task_given_up",
                      { { "task", ToText(lost.ref.task) },
                        { "worker", aWorker.text },
                        { "losses", std::to_string(task.losses) } });
      this->FailTask(aNow, context);
    }
  }
}

auto
Cell::ClearSuspicion(Time aNow, const TaskContext& aContext, const Run& aRun)
  -> void
{
  auto& task = *aContext.task;
  const auto age = aNow - StartOf(aRun);
  task.suspected = task.suspected && age <= kCrashWindow;
  if (task.losses > 0 && age > kLossMemory) {
    task.losses = 0;
    this->MarkDirty(*aContext.job, false);
  }
}

auto
Cell::RestoreLosses(Task& aTask, std::uint32_t aLosses) -> void
{
  aTask.losses = aLosses;
  aTask.suspected = aLosses > 0;
}

auto
Cell::RunsSuspectedTask(const WorkerSlot& aSlot) -> bool
{
  return std::any_of(
    aSlot.runs.begin(), aSlot.runs.end(), [this](const RunRef& aRef) {
      const auto context = this->FindTask(aRef.task);
      return context.task != nullptr && context.task->suspected;
    });
}

auto
Cell::Isolate(PlacementRound& aRound, WorkerSlot& aSlot, const RunRef& aRun)
  -> void
{
  aSlot.isolatedUntil = aRound.now + kIsolationTime;
  aSlot.isolatedRun = aRun;
  ++aRound.isolatedWorkers;
}

} // namespace gooseberry::cells
