// Placement in a cell: which task starts next, and on which worker.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Whether the step may have tasks to start, and all steps that it depends on
// are done. The home cell of a hosted job has delegated only tasks of such
// steps.
auto
IsStepReady(const Job& aJob, const Occurrence& aOccurrence, std::uint32_t aStep)
  -> bool
{
  if (!aOccurrence.steps[aStep].MayHaveOpen() || aJob.IsHosted()) {
    return aOccurrence.steps[aStep].MayHaveOpen();
  }
  const auto& after = aJob.Spec().steps[aStep].dependencies;
  return !aOccurrence.steps[aStep].AllDone() &&
         std::all_of(after.begin(), after.end(), [&](auto aEarlier) {
           return aOccurrence.steps[aEarlier].AllDone();
         });
}

} // namespace

auto
Cell::PlanStarts(Time aNow) -> void
{
  this->UpdateProspects(aNow);
  auto round = this->NewPlacementRound(aNow);
  const auto steps = this->ReadySteps(aNow);
  this->accounts.BeginRound();
  this->plannedSteps = steps.size();
  for (const auto& ready : steps) {
    this->PlanStep(aNow, round, ready);
  }
  this->DelegateUnplaced(round);
  this->bestEffortWaiting = false;
  this->othersWaiting = false;
  for (const auto& failure : round.failures) {
    (failure.bestEffort ? this->bestEffortWaiting : this->othersWaiting) = true;
  }
}

auto
Cell::NewPlacementRound(Time aNow) -> PlacementRound
{
  auto round = PlacementRound{};
  round.now = aNow;
  round.mostFreeCpu = 0;
  round.mostIdleCpu = 0;
  for (auto& [id, slot] : this->workers) {
    round.isolatedWorkers += slot.isolatedUntil > aNow ? 1 : 0;
    const auto usableAt = std::max(
      { slot.noStartsUntil, slot.lastResortUntil, slot.isolatedUntil });
    if (usableAt > aNow) {
      this->nextPlanAt = std::min(this->nextPlanAt, usableAt);
    }
    if (this->AcceptsRuns(aNow, slot)) {
      if (slot.lastResortUntil > aNow) {
        round.lastResortWorkers.push_back(&slot);
        continue;
      }
      round.usableWorkers.push_back(&slot);
      round.mostFreeCpu =
        std::max(round.mostFreeCpu, slot.FreeResources().cpuMillis);
      round.mostIdleCpu = std::max(round.mostIdleCpu, slot.IdleCpu());
    }
  }
  round.maxIsolatedWorkers =
    std::max<std::size_t>(1, round.usableWorkers.size() / kIsolatedWorkersPart);
  return round;
}

auto
Cell::ReadySteps(Time aNow) -> std::vector<ReadyStep>
{
  auto ready = std::vector<ReadyStep>{};
  for (const auto& [id, job] : this->activeJobs) {
    if (job->recordFull || this->rejectedRecords.contains(id)) {
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences) {
      if (occurrence.unfinishedSteps == 0) {
        continue;
      }
      for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
           ++step) {
        if (IsStepReady(*job, occurrence, step)) {
          ready.push_back(this->RankStep(aNow, *job, number, step));
        }
      }
    }
  }
  this->UpdateCosts(ready);
  this->GiveStarvationTurn(aNow, ready);
  std::sort(ready.begin(),
            ready.end(),
            [](const ReadyStep& aLeft, const ReadyStep& aRight) {
              return aLeft.rank < aRight.rank;
            });
  return ready;
}

auto
Cell::RankStep(Time aNow,
               Job& aJob,
               std::uint32_t aOccurrence,
               std::uint32_t aStep) const -> ReadyStep
{
  auto ready = ReadyStep{ &aJob, aOccurrence, aStep };
  auto& rank = ready.rank;
  rank.priority = aJob.row.policy.priority;
  const auto& occurrence = aJob.occurrences.at(aOccurrence);
  rank.objective = ObjectiveOf(aJob, occurrence);
  rank.outcome = occurrence.outcome;
  rank.account = this->AccountRankOf(aJob);
  if (rank.outcome == ExpectedOutcome::OnTime && aNow > rank.objective) {
    rank.outcome = ExpectedOutcome::Late;
  }
  if (aJob.Spec().steps[aStep].longRunning) {
    const auto& tasks = occurrence.steps[aStep].tasks;
    ready.overdue =
      std::any_of(tasks.begin(), tasks.end(), [aNow](const Task& aTask) {
        return aTask.IsOverdue(aNow);
      });
    rank.startClass = ready.overdue ? StartClass::Overdue : StartClass::Useful;
    return ready;
  }
  const auto lateObjective = LateObjective(occurrence.dueAt, rank.objective);
  if (aNow > lateObjective) {
    rank.outcome = ExpectedOutcome::NoUse;
    rank.startClass = StartClass::NoUse;
    ready.starved = aNow > lateObjective + kStarvationWait && !HasRuns(aJob);
  }
  return ready;
}

auto
Cell::PlanStep(Time aNow, PlacementRound& aRound, const ReadyStep& aReady)
  -> void
{
  auto& job = *aReady.job;
  const auto& spec = job.Spec().steps[aReady.step];
  if (spec.gang) {
    this->PlanGang(aNow, aRound, aReady);
    return;
  }
  auto& progress = job.occurrences.at(aReady.occurrence).steps[aReady.step];
  auto& tasks = progress.tasks;
  auto placed = std::map<const WorkerSlot*, std::uint32_t>{};
  auto placedKnown = spec.maxPerWorker == 0;
  auto query = PlacementQuery{ &job,
                               &spec,
                               { job.Id(), aReady.occurrence, aReady.step },
                               job.stepImages[aReady.step],
                               &placed,
                               kGoodSpeed };
  for (auto index = progress.firstOpen; index < tasks.size(); ++index) {
    auto& task = tasks[index];
    if (!task.IsOpen()) {
      progress.firstOpen += index == progress.firstOpen ? 1 : 0;
      continue;
    }
    if (task.earliestStart > aNow) {
      this->nextPlanAt = std::min(this->nextPlanAt, task.earliestStart);
      continue;
    }
    if (!this->IsWithinLimit(aNow, aReady, 1)) {
      // The end of any run of the account leads to the next round. Until then
      // the task neither waits for capacity nor is delegated. A hosted one is
      // returned, since its home cell may have more of the limit left.
      if (job.IsHosted()) {
        this->ReturnWaitingTasks(aNow, aReady, 0);
      }
      return;
    }
    if (!placedKnown) {
      for (const auto& other : tasks) {
        for (const auto& run : other.runs) {
          ++placed[run.worker];
        }
      }
      placedKnown = true;
    }
    if (!task.waitingSince) {
      task.waitingSince = aNow;
    }
    query.minPace = this->MinPaceFor(aNow, job, task);
    query.isolated = task.suspected && !job.row.policy.requiresAdvice &&
                     aNow < *task.waitingSince + kIsolationMaxWait;
    auto* const slot = this->PickWorker(aRound, query);
    if (slot == nullptr && query.isolated) {
      this->nextPlanAt = std::min({ this->nextPlanAt,
                                    aNow + kPlanRetryInterval,
                                    *task.waitingSince + kIsolationMaxWait });
      continue;
    }
    if (slot == nullptr) {
      if (spec.bestEffort) {
        this->nextPlanAt =
          std::min(this->nextPlanAt, aNow + kPlanRetryInterval);
      }
      if (job.row.policy.requiresAdvice) {
        this->RequestAdvice(aRound, query, tasks.size() - index);
      }
      if (spec.longRunning) {
        this->nextPlanAt =
          std::min(this->nextPlanAt,
                   std::max(aNow + kPlanRetryInterval,
                            *task.waitingSince + task.MaxWait()));
      }
      this->CollectUnplaced(
        aNow, aRound, aReady, HoldWorkers(aRound, aReady, query));
      return;
    }
    this->AddLatencySample(LatencyKind::Placement, aNow - *task.waitingSince);
    if (progress.limited) {
      this->CountEvent(CellEvent::LimitedStart);
    }
    task.waitingSince.reset();
    task.waitedAtHome = Millis{ 0 };
    this->PlanRun(
      aNow, { job.Id(), aReady.occurrence, aReady.step, index }, *slot);
    if (query.isolated) {
      this->Isolate(aRound,
                    *slot,
                    { { job.Id(), aReady.occurrence, aReady.step, index },
                      task.lastRunNumber });
    }
    if (spec.maxPerWorker > 0) {
      ++placed[slot];
    }
    if (spec.bestEffort) {
      for (const auto& [image, count] : slot->longRunningTasks) {
        ++this->ImagePairOf(aRound, image, query.image).probeRuns;
      }
    }
  }
}

// Holds a worker for each overdue task of the step that ran before: the one
// that lacks the least room, and that has enough once its short tasks have
// ended. Without, a task that is larger than those that end would wait without
// end, since the next small ones take what each of them leaves. Returns the
// number of workers held.
auto
Cell::HoldWorkers(PlacementRound& aRound,
                  const ReadyStep& aReady,
                  const PlacementQuery& aQuery) -> std::size_t
{
  if (!aReady.overdue || aQuery.job->row.policy.requiresAdvice) {
    return 0;
  }
  const auto& tasks =
    aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  const auto overdue =
    std::count_if(tasks.begin(), tasks.end(), [&](const Task& aTask) {
      return aTask.IsOverdueAgain(aRound.now);
    });
  const auto most =
    AccountLedger::TasksWithin(*aQuery.job->account,
                               aQuery.step->taskResources,
                               static_cast<std::size_t>(overdue));
  auto held = std::size_t{ 0 };
  while (held < most && aRound.heldWorkers < kMaxHeldWorkers) {
    auto best = aRound.usableWorkers.end();
    for (auto slot = aRound.usableWorkers.begin();
         slot != aRound.usableWorkers.end();
         ++slot) {
      if (CanHold(**slot, aQuery) && (best == aRound.usableWorkers.end() ||
                                      (*slot)->FreeResources().cpuMillis >
                                        (*best)->FreeResources().cpuMillis)) {
        best = slot;
      }
    }
    if (best == aRound.usableWorkers.end()) {
      break;
    }
    aRound.usableWorkers.erase(best);
    ++aRound.heldWorkers;
    ++held;
  }
  return held;
}

// Lowest pace at which the task is placed beside long-running ones, from 0
// to 1.
auto
Cell::MinPaceFor(Time aNow, const Job& aJob, const Task& aTask) -> double
{
  const auto waited = aNow - *aTask.waitingSince;
  if (waited > kAnySpeedAfter && !HasRuns(aJob)) {
    return 0.0;
  }
  return waited > kReducedSpeedAfter ? kReducedSpeed : kGoodSpeed;
}

auto
Cell::AcceptsRuns(Time aNow, const WorkerSlot& aSlot) const -> bool
{
  return aSlot.listed && aSlot.IsProcessKnown() && !aSlot.superseded &&
         !aSlot.entry.leaving &&
         !this->evacuatedDomains.contains(aSlot.entry.domain) &&
         aNow >= aSlot.noStartsUntil && aNow >= aSlot.isolatedUntil &&
         (aSlot.enforcesCapacity || aSlot.orphanRuns.empty());
}

auto
Cell::PickWorker(PlacementRound& aRound, const PlacementQuery& aQuery)
  -> WorkerSlot*
{
  const auto& step = *aQuery.step;
  const auto& service = aQuery.job->row.policy.service;
  if (aQuery.isolated && aRound.isolatedWorkers >= aRound.maxIsolatedWorkers) {
    return nullptr;
  }
  if (AccountLedger::TasksWithin(*aQuery.job->account, step.taskResources, 1) ==
      0) {
    return nullptr;
  }
  // A failure to place a task holds for all tasks of its kind that need at
  // least as much, unless the task has a limit per worker or an adviser.
  const auto hasOwnLimits =
    step.maxPerWorker > 0 || aQuery.job->row.policy.requiresAdvice;
  const auto knownToFail =
    !aQuery.job->row.policy.requiresAdvice &&
    std::any_of(aRound.failures.begin(),
                aRound.failures.end(),
                [&](const PlacementRound::Failure& aFailure) {
                  return aFailure.service == service &&
                         aFailure.bestEffort == step.bestEffort &&
                         (aFailure.triedLastResort || !step.longRunning) &&
                         (!step.bestEffort || aFailure.image == aQuery.image) &&
                         aFailure.neededLabel == step.requiredLabel &&
                         aFailure.minPace <= aQuery.minPace &&
                         aFailure.size.FitsIn(step.taskResources);
                });
  if (knownToFail) {
    return nullptr;
  }
  const auto mostCpu =
    step.bestEffort ? aRound.mostIdleCpu : aRound.mostFreeCpu;
  auto* best = step.taskResources.cpuMillis > mostCpu
                 ? nullptr
                 : this->PickBestWorker(aRound, aRound.usableWorkers, aQuery);
  if (best == nullptr && step.longRunning) {
    // A long-running task is placed wherever there is room.
    best = this->PickBestWorker(aRound, aRound.lastResortWorkers, aQuery);
  }
  if (best == nullptr && !hasOwnLimits && !aQuery.isolated) {
    aRound.failures.push_back({ service,
                                aQuery.image,
                                step.bestEffort,
                                step.longRunning,
                                step.requiredLabel,
                                step.taskResources,
                                aQuery.minPace });
  }
  return best;
}

// Pace that the task would have there, from 0 to 1; nothing if the worker can't
// take it now, or only at a lower pace than wanted.
auto
Cell::FeasiblePace(PlacementRound& aRound,
                   const WorkerSlot& aSlot,
                   const PlacementQuery& aQuery) -> std::optional<double>
{
  if (aSlot.entry.service != aQuery.job->row.policy.service ||
      !this->HasRoomFor(aSlot, aQuery) || aRound.now < aSlot.isolatedUntil ||
      (aQuery.isolated && this->RunsSuspectedTask(aSlot))) {
    return std::nullopt;
  }
  if (!aQuery.step->bestEffort || aSlot.longRunningTasks.empty()) {
    return 1.0;
  }
  if (aSlot.tailOverTarget || aRound.now < aSlot.bestEffortPausedUntil) {
    return std::nullopt;
  }
  const auto pace = this->ToleratedPace(aRound, aSlot, aQuery);
  return pace < aQuery.minPace ? std::nullopt : std::optional{ pace };
}

auto
Cell::PickBestWorker(PlacementRound& aRound,
                     const std::vector<WorkerSlot*>& aWorkers,
                     const PlacementQuery& aQuery) -> WorkerSlot*
{
  WorkerSlot* best = nullptr;
  auto bestScore = 0.0;
  for (auto* const slot : aWorkers) {
    if (!this->IsAllowedByAdviser(aRound.now, *slot, aQuery)) {
      continue;
    }
    const auto pace = this->FeasiblePace(aRound, *slot, aQuery);
    if (!pace) {
      continue;
    }
    const auto score = this->ScoreWorker(*slot, aQuery, *pace) -
                       this->HeadroomPenalty(aRound, *slot, aQuery);
    if (best == nullptr || score > bestScore) {
      best = slot;
      bestScore = score;
    }
  }
  return best;
}

auto
Cell::HasRoomFor(const WorkerSlot& aSlot, const PlacementQuery& aQuery) const
  -> bool
{
  const auto& step = *aQuery.step;
  auto need = step.taskResources;
  if (step.bestEffort) {
    need.cpuMillis = 0;
    if (aSlot.IdleCpu() < step.taskResources.cpuMillis) {
      return false;
    }
  }
  return need.FitsIn(aSlot.FreeResources()) && MayRunOn(aSlot, aQuery);
}

// Whether the worker has the label that the step requires, and does not run too
// many tasks of it.
auto
Cell::MayRunOn(const WorkerSlot& aSlot, const PlacementQuery& aQuery) -> bool
{
  const auto& step = *aQuery.step;
  if (!step.requiredLabel.empty() &&
      !aSlot.entry.HasLabel(step.requiredLabel)) {
    return false;
  }
  if (step.maxPerWorker == 0 || aQuery.runsByWorker == nullptr) {
    return true;
  }
  const auto placed = aQuery.runsByWorker->find(&aSlot);
  return placed == aQuery.runsByWorker->end() ||
         placed->second < step.maxPerWorker;
}

// Whether the worker has room for the task once all its tasks that are not
// long-running have ended.
auto
Cell::CanHold(const WorkerSlot& aSlot, const PlacementQuery& aQuery) -> bool
{
  return aSlot.entry.service == aQuery.job->row.policy.service &&
         aQuery.step->taskResources.FitsIn(aSlot.LongRunningRoom()) &&
         MayRunOn(aSlot, aQuery);
}

// Interference of a pair of images; computed once a round.
auto
Cell::ImagePairOf(PlacementRound& aRound, ImageId aServing, ImageId aFilling)
  -> ImagePairState&
{
  auto [item, added] = aRound.pairs.try_emplace({ aServing, aFilling });
  auto& pair = item->second;
  if (!added) {
    return pair;
  }
  pair.pressure =
    this->interference.ExpectedCoefficient(aRound.now, aServing, aFilling);
  const auto estimate =
    this->interference.PairEstimate(aRound.now, aServing, aFilling);
  pair.likelyCoefficient = estimate.mean + std::sqrt(estimate.variance);
  pair.uncertain = estimate.variance > kUnknownPairVariance;
  if (!pair.uncertain) {
    return pair;
  }
  for (const auto& [id, slot] : this->workers) {
    const auto placed = slot.bestEffortTasks.find(aFilling);
    if (placed != slot.bestEffortTasks.end() &&
        slot.longRunningTasks.contains(aServing)) {
      pair.probeRuns += placed->second;
    }
  }
  return pair;
}

// Pace that one more best-effort task would have there, from 0 to 1: as much as
// the serving images there tolerate.
auto
Cell::ToleratedPace(PlacementRound& aRound,
                    const WorkerSlot& aSlot,
                    const PlacementQuery& aQuery) -> double
{
  const auto share = aSlot.CpuShare(aQuery.step->taskResources.cpuMillis);
  auto pace = 1.0;
  for (const auto& [image, tasks] : aSlot.longRunningTasks) {
    const auto& pair = this->ImagePairOf(aRound, image, aQuery.image);
    if (pair.uncertain && pair.probeRuns >= kMaxProbeRuns) {
      return 0.0;
    }
    const auto pressure = pair.pressure * share;
    const auto slack = aSlot.pressureSlack.find(image);
    if (pressure > 0.0 && slack != aSlot.pressureSlack.end()) {
      pace = std::min(pace, std::max(0.0, slack->second) / pressure);
    }
  }
  return pace;
}

// How much worse the worker is for a best-effort task because of the tasks
// beside which it would run.
auto
Cell::HeadroomPenalty(PlacementRound& aRound,
                      const WorkerSlot& aSlot,
                      const PlacementQuery& aQuery) -> double
{
  if (!aQuery.step->bestEffort) {
    return 0.0;
  }
  const auto share = aSlot.CpuShare(aQuery.step->taskResources.cpuMillis);
  auto penalty = 0.0;
  for (const auto& [image, headroom] : aSlot.headroom) {
    const auto& pair = this->ImagePairOf(aRound, image, aQuery.image);
    penalty = std::max(
      penalty, PlacementPenalty(pair.likelyCoefficient * share, headroom));
  }
  return penalty;
}

// How well the worker suits the task; higher is better. Long-running tasks are
// packed, equal images together, so that other workers stay free of them.
// Best-effort tasks prefer workers where they run at a high pace and beside no
// long-running task.
auto
Cell::ScoreWorker(const WorkerSlot& aSlot,
                  const PlacementQuery& aQuery,
                  double aPace) const -> double
{
  const auto& step = *aQuery.step;
  if (aQuery.isolated) {
    // As few tasks as possible are lost with the worker.
    constexpr double kLongRunningWeight = 100.0;
    return -static_cast<double>(aSlot.runs.size()) -
           kLongRunningWeight *
             static_cast<double>(aSlot.longRunningTasks.size());
  }
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aSlot.entry.capacity.cpuMillis, 1));
  const auto idle = static_cast<double>(aSlot.IdleCpu()) / capacity;
  auto score = idle;
  if (step.longRunning) {
    // Best among tasks of the same image only, then without other long-running
    // tasks, then mixed.
    constexpr double kSameImage = 3.0;
    constexpr double kNoLongRunning = 1.5;
    const auto sameImage = aSlot.longRunningTasks.contains(aQuery.image);
    score = -idle;
    score += aSlot.longRunningTasks.empty()                    ? kNoLongRunning
             : sameImage && aSlot.longRunningTasks.size() == 1 ? kSameImage
             : sameImage                                       ? 1.0
                                                               : 0.0;
  } else if (step.bestEffort) {
    constexpr double kPaceWeight = 3.0;
    score += kPaceWeight * aPace;
    score += aSlot.longRunningTasks.empty() ? 1.0 : 0.0;
  } else if (!aSlot.longRunningTasks.empty()) {
    score += 1.0;
  }
  if (!step.dataRack.empty() && aSlot.entry.HasLabel(step.dataRack)) {
    constexpr double kDataInRack = 10.0;
    score += kDataInRack;
  }
  return score;
}

// Reserves the resources of a run there, unless they are reserved already.
auto
Cell::ReserveRun(Time aNow,
                 const RunRef& aRef,
                 WorkerSlot& aSlot,
                 const TaskContext& aContext) const -> void
{
  const auto& step = *aContext.spec;
  const auto added =
    aSlot.ReserveRun(aRef, step, aContext.image, *aContext.job->account);
  if (added && step.bestEffort) {
    this->ConsumeSlack(aNow, aSlot, step, aContext.image);
  }
}

auto
Cell::PlanRun(Time aNow, const TaskName& aName, WorkerSlot& aSlot) -> void
{
  const auto context = this->FindTask(aName);
  auto& task = *context.task;
  auto run = Run{};
  run.number = ++task.lastRunNumber;
  run.worker = &aSlot;
  run.workerStartUnixMs = aSlot.entry.startUnixMs;
  run.phaseSince = aNow;
  run.checkpoint = CheckpointHolder(context).checkpoint;
  task.runs.push_back(run);
  this->ReserveRun(aNow, { aName, run.number }, aSlot, context);
  this->MarkDirty(*context.job, true);
  if (this->log.IsSampled(aName.job)) {
    this->log.Write(
      "run_planned",
      { { "task", ToText(aName) },
        { "run", std::to_string(run.number) },
        { "worker", aSlot.entry.id.text },
        { "room_cpu", std::to_string(aSlot.FreeResources().cpuMillis) },
        { "idle_cpu", std::to_string(aSlot.IdleCpu()) },
        { "serving", std::to_string(aSlot.longRunningTasks.size()) } });
  }
}

} // namespace gooseberry::cells
