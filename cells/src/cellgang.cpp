// Gangs: the tasks of a step that run only together. Either all of them start,
// with the same run number and checkpoint, or none; when one ends, all end.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Whether all tasks may start now. If not, lowers aAgain to the time to check
// again, if that is known.
auto
CanStartGang(const StepProgress& aStep, Time aNow, Time& aAgain) -> bool
{
  for (const auto& task : aStep.tasks) {
    // No run of an earlier attempt may be left.
    if (task.phase != TaskPhase::Open || !task.runs.empty()) {
      return false;
    }
    if (task.earliestStart > aNow) {
      aAgain = std::min(aAgain, task.earliestStart);
      return false;
    }
  }
  return true;
}

} // namespace

auto
Cell::PlanGang(Time aNow, PlacementRound& aRound, const ReadyStep& aReady)
  -> void
{
  auto& job = *aReady.job;
  const auto& spec = job.Spec().steps[aReady.step];
  auto& step = job.occurrences.at(aReady.occurrence).steps[aReady.step];
  // Checked first, since a gang that waits for its account's limit must not
  // cost a look at all its tasks in each round.
  if (!step.tasks.front().IsOpen() ||
      (step.tasks.front().earliestStart <= aNow &&
       !this->IsWithinLimit(aNow, aReady, step.tasks.size())) ||
      !CanStartGang(step, aNow, this->nextPlanAt)) {
    return;
  }
  auto racks = std::vector<std::string>{};
  if (spec.rackLocal) {
    for (const auto* const slot : aRound.usableWorkers) {
      const auto rack = slot->entry.Rack();
      if (std::find(racks.begin(), racks.end(), rack) == racks.end()) {
        racks.push_back(rack);
      }
    }
  }
  // The empty name stands for all racks: the gang is split only if no single
  // rack has room for all tasks.
  racks.emplace_back();
  for (const auto& rack : racks) {
    if (this->PlaceGang(aNow, aRound, aReady, rack)) {
      return;
    }
  }
  if (job.row.policy.requiresAdvice) {
    this->RequestAdvice(aRound,
                        { &job,
                          &spec,
                          { job.Id(), aReady.occurrence, aReady.step },
                          job.stepImages[aReady.step],
                          nullptr,
                          kReducedSpeed },
                        step.tasks.size());
  }
  // An attempt is expensive, since it examines each rack.
  step.tasks.front().earliestStart = aNow + kPlanRetryInterval;
  this->nextPlanAt = std::min(this->nextPlanAt, aNow + kPlanRetryInterval);
}

// Places all tasks or none; only in aRack unless that is empty.
auto
Cell::PlaceGang(Time aNow,
                const PlacementRound& aRound,
                const ReadyStep& aReady,
                const std::string& aRack) -> bool
{
  auto& job = *aReady.job;
  const auto& spec = job.Spec().steps[aReady.step];
  auto& tasks = job.occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  auto round = PlacementRound{};
  round.now = aRound.now;
  round.pairs = aRound.pairs;
  for (auto* const slot : aRound.usableWorkers) {
    if (aRack.empty() || slot->entry.Rack() == aRack) {
      round.usableWorkers.push_back(slot);
    }
  }
  auto lastNumber = std::uint32_t{ 0 };
  for (const auto& task : tasks) {
    lastNumber = std::max(lastNumber, task.lastRunNumber);
  }
  // Resources are reserved task by task and released again unless all tasks are
  // placed.
  auto placements = std::vector<std::pair<RunRef, WorkerSlot*>>{};
  auto placed = std::map<const WorkerSlot*, std::uint32_t>{};
  auto query = PlacementQuery{ &job,
                               &spec,
                               { job.Id(), aReady.occurrence, aReady.step },
                               job.stepImages[aReady.step],
                               &placed,
                               kReducedSpeed };
  for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
    const auto name =
      TaskName{ job.Id(), aReady.occurrence, aReady.step, index };
    auto* const slot = this->PickWorker(round, query);
    if (slot == nullptr) {
      for (const auto& [ref, worker] : placements) {
        worker->ReleaseRun(ref, spec, query.image, *job.account);
      }
      return false;
    }
    placements.emplace_back(RunRef{ name, lastNumber + 1 }, slot);
    this->ReserveRun(
      aNow, placements.back().first, *slot, this->FindTask(name));
    ++placed[slot];
  }
  const auto& progress =
    job.occurrences.at(aReady.occurrence).steps[aReady.step];
  for (const auto& [ref, slot] : placements) {
    if (progress.limited) {
      this->CountEvent(CellEvent::LimitedStart);
    }
    tasks[ref.task.index].lastRunNumber = lastNumber;
    this->PlanRun(aNow, ref.task, *slot);
  }
  return true;
}

// The task that holds the checkpoint and the failures: for a gang, which has
// one checkpoint, the first task of the step.
auto
Cell::CheckpointHolder(const TaskContext& aContext) -> Task&
{
  return aContext.spec->gang ? aContext.step->tasks.front() : *aContext.task;
}

// Stops the runs of a gang, after one of them ended or was dropped: the others
// can't work without it.
auto
Cell::StopGang(Time aNow, const TaskName& aName) -> void
{
  const auto context = this->FindTask(aName);
  if (context.task == nullptr || !context.spec->gang) {
    return;
  }
  for (auto index = std::uint32_t{ 0 }; index < context.step->tasks.size();
       ++index) {
    const auto name =
      TaskName{ aName.job, aName.occurrence, aName.step, index };
    auto& task = context.step->tasks[index];
    const auto runs = task.runs;
    for (const auto& run : runs) {
      if (run.phase == RunPhase::Planned) {
        this->DropRun(
          aNow, { name, run.number }, "another run of its gang ended");
      }
    }
    this->StopRuns(aNow, name, task, StopReason::GangBroken);
  }
}

// One task of the gang is done, which completes all of them.
auto
Cell::FinishGang(Time aNow, const TaskContext& aContext) -> void
{
  for (auto& task : aContext.step->tasks) {
    if (task.phase != TaskPhase::Open) {
      continue;
    }
    task.phase = TaskPhase::Done;
    auto context = aContext;
    context.task = &task;
    this->EndTask(aNow, context);
  }
}

// Whether this is the first failure among the gang's runs with this number.
auto
Cell::IsFirstGangFailure(const TaskContext& aContext, std::uint32_t aRun)
  -> bool
{
  if (!aContext.spec->gang) {
    return true;
  }
  if (aContext.step->lastFailedRun >= aRun) {
    return false;
  }
  aContext.step->lastFailedRun = aRun;
  return true;
}

} // namespace gooseberry::cells
