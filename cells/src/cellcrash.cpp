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
  auto lost = std::vector<LostRun>{};
  const auto runs = aSlot.runs;
  for (const auto& ref : runs) {
    if (const auto run = this->LostRunOf(aSlot, ref, aSlot.lastAnswerAt)) {
      lost.push_back(*run);
    }
  }
  for (const auto& ref : runs) {
    this->DropRun(aNow, ref, aWhy);
  }
  this->CountLostRuns(aNow, aSlot);
  auto suspects = this->FindSuspects(aSlot.entry.id, lost);
  if (aRestarted) {
    this->CountLosses(aNow, suspects);
    return;
  }
  std::erase_if(suspects,
                [](const Suspect& aSuspect) { return !aSuspect.recent; });
  std::erase_if(this->unsettledLosses, [aNow](const auto& aItem) {
    return aNow >= aItem.second.at + kUnsettledLossMaxAge;
  });
  if (!suspects.empty() && !aSlot.entry.machine.Empty()) {
    this->unsettledLosses[aSlot.entry.machine] = { aNow,
                                                   aSlot.entry.startUnixMs,
                                                   std::move(suspects) };
  }
}

auto
Cell::LostRunOf(const WorkerSlot& aSlot, const RunRef& aRef, Time aLastAnswerAt)
  -> std::optional<LostRun>
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  // Nothing is known of a run that the worker has not told this owner of, and a
  // worker that leaves is expected to go.
  if (run == nullptr || aSlot.entry.leaving ||
      run->phase == RunPhase::Planned || run->phase == RunPhase::Inherited ||
      run->neverBegan || context.task->phase != TaskPhase::Open) {
    return std::nullopt;
  }
  // An earlier owner knew when an inherited run was started.
  const auto age =
    run->inherited ? Micros::max() : Micros{ aLastAnswerAt - StartOf(*run) };
  return LostRun{ aRef,
                  std::max(Micros{ 0 }, age),
                  run->startedAt != Time{} || run->hasReported,
                  context.task->losses };
}

auto
Cell::NoteLostRun(WorkerSlot& aSlot, const RunRef& aRef) -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  if (run == nullptr || run->workerStartUnixMs == aSlot.entry.startUnixMs) {
    return;
  }
  if (const auto lost =
        this->LostRunOf(aSlot, aRef, aSlot.earlierProcessAnsweredAt)) {
    aSlot.lostRuns.push_back(*lost);
  }
}

auto
Cell::CountLostRuns(Time aNow, WorkerSlot& aSlot) -> void
{
  const auto mayBeLost = [&](const RunRef& aRef) {
    const auto [context, run] = this->FindTaskAndRun(aRef);
    return run != nullptr && run->phase != RunPhase::Planned &&
           run->workerStartUnixMs != aSlot.entry.startUnixMs;
  };
  if (!aSlot.lostRuns.empty() &&
      std::none_of(aSlot.runs.begin(), aSlot.runs.end(), mayBeLost)) {
    const auto lost = std::exchange(aSlot.lostRuns, {});
    this->CountLosses(aNow, this->FindSuspects(aSlot.entry.id, lost));
  }
}

// Only runs that had been started a short time before are suspects, if there
// are any: the shorter, and the more workers were lost under their task before,
// the more likely they are.
auto
Cell::FindSuspects(const WorkerId& aWorker, const std::vector<LostRun>& aLost)
  -> std::vector<Suspect>
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
  auto suspects = std::vector<Suspect>{};
  for (const auto& lost : aLost) {
    const auto context = this->FindTask(lost.ref.task);
    // The first loss of a task counts only if the task has certainly run there.
    if (context.task == nullptr ||
        (!lost.confirmed && (someConfirmed || lost.earlierLosses == 0))) {
      continue;
    }
    const auto recent = lost.age <= kCrashWindow;
    suspects.push_back(
      { lost.ref.task,
        aWorker,
        recent,
        recent && lost.confirmed && candidates == 1,
        recent && lost.age <= window && lost.earlierLosses == mostLosses });
    if (recent && context.task->phase == TaskPhase::Open) {
      context.task->suspected = true;
      this->CountEvent(CellEvent::TaskSuspected);
      this->log.Write("task_suspected",
                      { { "task", ToText(lost.ref.task) },
                        { "worker", aWorker.text },
                        { "candidates", std::to_string(candidates) },
                        { "losses", std::to_string(lost.earlierLosses) } });
    }
  }
  return suspects;
}

auto
Cell::CountLosses(Time aNow, const std::vector<Suspect>& aSuspects) -> void
{
  for (const auto& suspect : aSuspects) {
    const auto context = this->FindTask(suspect.task);
    if (context.task == nullptr || context.task->phase != TaskPhase::Open ||
        IsFinal(context.job->state)) {
      continue;
    }
    auto& task = *context.task;
    ++task.losses;
    this->MarkDirty(*context.job, false);
    if ((suspect.alone && task.losses >= kMaxLossesAlone) ||
        (suspect.likely && task.losses >= kMaxLossesLikely) ||
        task.losses >= kMaxLosses) {
      this->CountEvent(CellEvent::TaskGivenUp);
      this->log.Write("task_given_up",
                      { { "task", ToText(suspect.task) },
                        { "worker", suspect.worker.text },
                        { "losses", std::to_string(task.losses) } });
      this->FailTask(aNow, context);
      this->StopRuns(aNow, suspect.task, task, StopReason::JobFailed);
    }
  }
}

auto
Cell::SettleLosses(Time aNow, const WorkerSlot& aSlot) -> void
{
  const auto found = this->unsettledLosses.find(aSlot.entry.machine);
  if (found == this->unsettledLosses.end() ||
      found->second.workerStartUnixMs > aSlot.entry.startUnixMs) {
    return;
  }
  const auto loss = std::move(found->second);
  this->unsettledLosses.erase(found);
  if (loss.workerStartUnixMs < aSlot.entry.startUnixMs &&
      aNow < loss.at + kUnsettledLossMaxAge) {
    this->CountLosses(aNow, loss.suspects);
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
