// Gangs: tasks of a step that work only together. They start with one number
// and one checkpoint, all or none, and the end of one is the end of all.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Whether all tasks may start now; else the time to look again, if it is known.
auto
MayStartGang(const StepProgress& aStep, Time aNow, Time& aAgain) -> bool
{
  for (const auto& task : aStep.tasks) {
    // What is left of an earlier try has to be gone.
    if (task.phase != TaskPhase::Open || !task.runs.empty()) {
      return false;
    }
    if (task.notBefore > aNow) {
      aAgain = std::min(aAgain, task.notBefore);
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
  if (!MayStartGang(step, aNow, this->planAgain)) {
    return;
  }
  auto racks = std::vector<std::string>{};
  if (spec.rackLocal) {
    for (const auto* const slot : aRound.open) {
      const auto rack = slot->entry.Rack();
      if (std::find(racks.begin(), racks.end(), rack) == racks.end()) {
        racks.push_back(rack);
      }
    }
  }
  // Split over racks only if no single one has room for all.
  racks.emplace_back();
  for (const auto& rack : racks) {
    if (this->PlaceGang(aNow, aRound, aReady, rack)) {
      return;
    }
  }
  if (job.row.policy.advised) {
    this->AskAdvice(aRound,
                    { &job,
                      &spec,
                      { job.Id(), aReady.occurrence, aReady.step },
                      job.images[aReady.step],
                      nullptr,
                      kPoorPace },
                    step.tasks.size());
  }
  // Trying is dear: each rack is looked at.
  step.tasks.front().notBefore = aNow + kPlanAgain;
  this->planAgain = std::min(this->planAgain, aNow + kPlanAgain);
}

// Places all tasks, in this rack if one is named, or none.
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
  for (auto* const slot : aRound.open) {
    if (aRack.empty() || slot->entry.Rack() == aRack) {
      round.open.push_back(slot);
    }
  }
  auto number = std::uint32_t{ 0 };
  for (const auto& task : tasks) {
    number = std::max(number, task.lastRun);
  }
  // Held until all have a place: what is not placed leaves no trace.
  auto places = std::vector<std::pair<RunRef, WorkerSlot*>>{};
  auto placed = std::map<const WorkerSlot*, std::uint32_t>{};
  auto query = PlacementQuery{ &job,
                               &spec,
                               { job.Id(), aReady.occurrence, aReady.step },
                               job.images[aReady.step],
                               &placed,
                               kPoorPace };
  for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
    const auto name =
      TaskName{ job.Id(), aReady.occurrence, aReady.step, index };
    auto* const slot = this->PickWorker(round, query);
    if (slot == nullptr) {
      for (const auto& [ref, held] : places) {
        held->Detach(ref, spec, query.image);
      }
      return false;
    }
    places.emplace_back(RunRef{ name, number + 1 }, slot);
    this->Reserve(aNow, places.back().first, *slot, spec, query.image);
    ++placed[slot];
  }
  for (const auto& [ref, slot] : places) {
    tasks[ref.task.index].lastRun = number;
    this->PlanRun(aNow, ref.task, *slot);
  }
  return true;
}

// Tasks of a gang resume from one checkpoint, kept with the first of them.
auto
Cell::CheckpointHolder(const TaskPlace& aPlace) -> Task&
{
  return aPlace.spec->gang ? aPlace.step->tasks.front() : *aPlace.task;
}

// One run of a gang is over or will never be: the others can't work any more.
auto
Cell::BreakGang(Time aNow, const TaskName& aName) -> void
{
  const auto place = this->Find(aName);
  if (place.task == nullptr || !place.spec->gang) {
    return;
  }
  for (auto index = std::uint32_t{ 0 }; index < place.step->tasks.size();
       ++index) {
    const auto name =
      TaskName{ aName.job, aName.occurrence, aName.step, index };
    auto& task = place.step->tasks[index];
    const auto runs = task.runs;
    for (const auto& run : runs) {
      if (run.phase == RunPhase::Planned) {
        this->ForgetRun(aNow, { name, run.number }, "its gang is broken");
      }
    }
    this->StopRuns(aNow, name, task, StopReason::Broken);
  }
}

// The end of one stands for all of them.
auto
Cell::EndGang(Time aNow, const TaskPlace& aPlace) -> void
{
  for (auto& task : aPlace.step->tasks) {
    if (task.phase != TaskPhase::Open) {
      continue;
    }
    task.phase = TaskPhase::Done;
    auto place = aPlace;
    place.task = &task;
    this->EndTask(aNow, place);
  }
}

// Whether this failure is the first one of the gang's runs with this number.
auto
Cell::IsNewGangFailure(const TaskPlace& aPlace, std::uint32_t aRun) -> bool
{
  if (!aPlace.spec->gang) {
    return true;
  }
  if (aPlace.step->failedRun >= aRun) {
    return false;
  }
  aPlace.step->failedRun = aRun;
  return true;
}

} // namespace gooseberry::cells
