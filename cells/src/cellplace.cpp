// Placement in a cell: which task starts next, and on which worker.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Whether the step has tasks that are not done, and all steps that it depends
// on are done.
auto
MayStart(const Occurrence& aOccurrence,
         const JobSpec& aSpec,
         std::uint32_t aStep) -> bool
{
  const auto& after = aSpec.steps[aStep].after;
  return !aOccurrence.steps[aStep].AllDone() &&
         std::all_of(after.begin(), after.end(), [&](auto aEarlier) {
           return aOccurrence.steps[aEarlier].AllDone();
         });
}

} // namespace

auto
Cell::PlanStarts(Time aNow) -> void
{
  this->JudgeProspects(aNow);
  auto round = this->NewRound(aNow);
  for (const auto& ready : this->ReadySteps(aNow)) {
    this->PlanStep(aNow, round, ready);
  }
  this->fillsWait = false;
  this->othersWait = false;
  for (const auto& failure : round.failures) {
    (failure.fillsIdle ? this->fillsWait : this->othersWait) = true;
  }
}

// The order of starts matters only for tasks that wait for room, so only the
// groups that do are updated.
auto
Cell::JudgeProspects(Time aNow) -> void
{
  if (aNow < this->judgedAt + kJudgeGap) {
    return;
  }
  this->judgedAt = aNow;
  if (this->fillsWait) {
    this->JudgeGroup(aNow, true);
  }
  if (this->othersWait) {
    this->JudgeGroup(aNow, false);
  }
}

// Best-effort jobs, and jobs whose processors are reserved, do not compete, so
// the prospects of each group are estimated separately.
auto
Cell::JudgeGroup(Time aNow, bool aFillsIdle) -> void
{
  auto candidates = std::vector<Candidate>{};
  auto occurrences = std::vector<Occurrence*>{};
  auto runningCpuMillis = std::int64_t{ 0 };
  for (const auto& [id, job] : this->activeJobs) {
    const auto& steps = job->Spec().steps;
    if (steps.front().fillsIdle != aFillsIdle || job->Spec().Lasting()) {
      continue;
    }
    for (auto& [number, occurrence] : job->occurrences) {
      if (occurrence.openSteps == 0) {
        continue;
      }
      candidates.push_back(CandidateOf(*job, occurrence));
      occurrences.push_back(&occurrence);
      for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
        for (const auto& task : occurrence.steps[step].tasks) {
          runningCpuMillis +=
            task.runs.empty() ? 0 : steps[step].size.cpuMillis;
        }
      }
    }
  }
  constexpr double kMillisPerCore = 1000.0;
  const auto prospects = ProspectsOf(
    aNow, static_cast<double>(runningCpuMillis) / kMillisPerCore, candidates);
  for (auto index = std::size_t{ 0 }; index < prospects.size(); ++index) {
    occurrences[index]->prospect = prospects[index];
  }
}

auto
Cell::NewRound(Time aNow) -> PlacementRound
{
  auto round = PlacementRound{};
  round.now = aNow;
  for (auto& [id, slot] : this->workers) {
    const auto usableAt = std::max(slot.avoidUntil, slot.shunnedUntil);
    if (usableAt > aNow) {
      this->planAgain = std::min(this->planAgain, usableAt);
    }
    if (this->MayTake(aNow, slot)) {
      auto& list = slot.shunnedUntil > aNow ? round.shunned : round.open;
      list.push_back(&slot);
    }
  }
  return round;
}

auto
Cell::ReadySteps(Time aNow) -> std::vector<ReadyStep>
{
  auto ready = std::vector<ReadyStep>{};
  for (const auto& [id, job] : this->activeJobs) {
    for (const auto& [number, occurrence] : job->occurrences) {
      if (occurrence.openSteps == 0) {
        continue;
      }
      for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
           ++step) {
        if (MayStart(occurrence, job->Spec(), step)) {
          ready.push_back(this->Rank(aNow, *job, number, step));
        }
      }
    }
  }
  std::sort(ready.begin(),
            ready.end(),
            [](const ReadyStep& aLeft, const ReadyStep& aRight) {
              const auto rank = [](const ReadyStep& aStep) {
                return std::tuple{
                  !aStep.owed, aStep.priority, aStep.prospect, aStep.objective
                };
              };
              return rank(aLeft) < rank(aRight);
            });
  return ready;
}

// Steps of jobs that will be late come after all that can still be in time, at
// equal priority.
auto
Cell::Rank(Time aNow,
           Job& aJob,
           std::uint32_t aOccurrence,
           std::uint32_t aStep) const -> ReadyStep
{
  auto ready = ReadyStep{ &aJob, aOccurrence, aStep };
  ready.priority = aJob.row.policy.priority;
  const auto& occurrence = aJob.occurrences.at(aOccurrence);
  ready.objective = ObjectiveOf(aJob, occurrence);
  ready.prospect = occurrence.prospect;
  if (ready.prospect == Prospect::InTime && aNow > ready.objective) {
    ready.prospect = Prospect::Late;
  }
  if (aJob.Spec().steps[aStep].lasting) {
    const auto& tasks = occurrence.steps[aStep].tasks;
    ready.owed =
      std::any_of(tasks.begin(), tasks.end(), [aNow](const Task& aTask) {
        return aTask.runs.empty() && aTask.waitingSince &&
               aNow > *aTask.waitingSince + kLastingOwed;
      });
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
  auto& tasks = job.occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  auto placed = std::map<const WorkerSlot*, std::uint32_t>{};
  if (spec.maxPerWorker > 0) {
    for (const auto& task : tasks) {
      for (const auto& run : task.runs) {
        ++placed[run.worker];
      }
    }
  }
  auto query = PlacementQuery{ &job,
                               &spec,
                               { job.Id(), aReady.occurrence, aReady.step },
                               job.images[aReady.step],
                               &placed,
                               kGoodPace };
  for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
    auto& task = tasks[index];
    if (task.phase != TaskPhase::Open || !task.runs.empty()) {
      continue;
    }
    if (task.notBefore > aNow) {
      this->planAgain = std::min(this->planAgain, task.notBefore);
      continue;
    }
    if (!task.waitingSince) {
      task.waitingSince = aNow;
    }
    query.leastPace =
      aNow > *task.waitingSince + kPoorPaceAfter ? kPoorPace : kGoodPace;
    auto* const slot = this->PickWorker(aRound, query);
    if (slot == nullptr) {
      if (spec.fillsIdle) {
        this->planAgain = std::min(this->planAgain, aNow + kPlanAgain);
      }
      if (job.row.policy.advised) {
        this->AskAdvice(aRound, query, tasks.size() - index);
      }
      return;
    }
    this->Note(SpanKind::Place, aNow - *task.waitingSince);
    task.waitingSince.reset();
    this->PlanRun(
      aNow, { job.Id(), aReady.occurrence, aReady.step, index }, *slot);
    if (spec.maxPerWorker > 0) {
      ++placed[slot];
    }
    if (spec.fillsIdle) {
      for (const auto& [image, count] : slot->serving) {
        ++this->PairOf(aRound, image, query.image).probes;
      }
    }
  }
}

auto
Cell::MayTake(Time aNow, const WorkerSlot& aSlot) const -> bool
{
  return aSlot.listed && aSlot.reconciled && !aSlot.silent &&
         !aSlot.entry.leaving &&
         !this->evacuated.contains(aSlot.entry.domain) &&
         aNow >= aSlot.avoidUntil &&
         (aSlot.guardsCapacity || aSlot.orphans.empty());
}

auto
Cell::PickWorker(PlacementRound& aRound, const PlacementQuery& aQuery)
  -> WorkerSlot*
{
  const auto& step = *aQuery.step;
  const auto& service = aQuery.job->row.policy.service;
  // A failure to place a task holds for all tasks of its kind that need at
  // least as much, unless the task has a limit per worker or an adviser.
  const auto hasOwnLimits =
    step.maxPerWorker > 0 || aQuery.job->row.policy.advised;
  const auto knownToFail =
    !aQuery.job->row.policy.advised &&
    std::any_of(aRound.failures.begin(),
                aRound.failures.end(),
                [&](const PlacementRound::Failure& aFailure) {
                  return aFailure.service == service &&
                         aFailure.fillsIdle == step.fillsIdle &&
                         (aFailure.lasting || !step.lasting) &&
                         (!step.fillsIdle || aFailure.image == aQuery.image) &&
                         aFailure.neededLabel == step.neededLabel &&
                         aFailure.leastPace <= aQuery.leastPace &&
                         aFailure.size.FitsIn(step.size);
                });
  if (knownToFail) {
    return nullptr;
  }
  auto* best = this->PickAmong(aRound, aRound.open, aQuery);
  if (best == nullptr && step.lasting) {
    // A long-running task is placed wherever there is room.
    best = this->PickAmong(aRound, aRound.shunned, aQuery);
  }
  if (best == nullptr && !hasOwnLimits) {
    aRound.failures.push_back({ service,
                                aQuery.image,
                                step.fillsIdle,
                                step.lasting,
                                step.neededLabel,
                                step.size,
                                aQuery.leastPace });
  }
  return best;
}

// Pace that the task would have there, from 0 to 1; nothing if the worker can't
// take it now, or only at a lower pace than wanted.
auto
Cell::PaceThere(PlacementRound& aRound,
                const WorkerSlot& aSlot,
                const PlacementQuery& aQuery) -> std::optional<double>
{
  if (aSlot.entry.service != aQuery.job->row.policy.service ||
      !this->Fits(aSlot, aQuery)) {
    return std::nullopt;
  }
  if (!aQuery.step->fillsIdle || aSlot.serving.empty()) {
    return 1.0;
  }
  if (aSlot.suffering || aRound.now < aSlot.restUntil) {
    return std::nullopt;
  }
  const auto pace = this->PaceFor(aRound, aSlot, aQuery);
  return pace < aQuery.leastPace ? std::nullopt : std::optional{ pace };
}

auto
Cell::PickAmong(PlacementRound& aRound,
                const std::vector<WorkerSlot*>& aWorkers,
                const PlacementQuery& aQuery) -> WorkerSlot*
{
  WorkerSlot* best = nullptr;
  auto bestScore = 0.0;
  for (auto* const slot : aWorkers) {
    if (!this->IsAllowed(aRound.now, *slot, aQuery)) {
      continue;
    }
    const auto pace = this->PaceThere(aRound, *slot, aQuery);
    if (!pace) {
      continue;
    }
    const auto score = this->Score(*slot, aQuery, *pace);
    if (best == nullptr || score > bestScore) {
      best = slot;
      bestScore = score;
    }
  }
  return best;
}

auto
Cell::Fits(const WorkerSlot& aSlot, const PlacementQuery& aQuery) const -> bool
{
  const auto& step = *aQuery.step;
  auto need = step.size;
  if (step.fillsIdle) {
    need.cpuMillis = 0;
    if (aSlot.IdleCpu() < step.size.cpuMillis) {
      return false;
    }
  }
  if (!need.FitsIn(aSlot.Room()) ||
      (!step.neededLabel.empty() && !aSlot.entry.HasLabel(step.neededLabel))) {
    return false;
  }
  if (step.maxPerWorker == 0 || aQuery.placed == nullptr) {
    return true;
  }
  const auto placed = aQuery.placed->find(&aSlot);
  return placed == aQuery.placed->end() || placed->second < step.maxPerWorker;
}

// Interference of a pair of images; computed once a round.
auto
Cell::PairOf(PlacementRound& aRound, ImageId aServing, ImageId aFilling)
  -> PairState&
{
  auto [item, added] = aRound.pairs.try_emplace({ aServing, aFilling });
  auto& pair = item->second;
  if (!added) {
    return pair;
  }
  pair.pressure = this->disturbance.Pressure(aRound.now, aServing, aFilling);
  pair.probing =
    this->disturbance.Between(aRound.now, aServing, aFilling).variance >
    kProbeVariance;
  if (!pair.probing) {
    return pair;
  }
  for (const auto& [id, slot] : this->workers) {
    const auto placed = slot.filling.find(aFilling);
    if (placed != slot.filling.end() && slot.serving.contains(aServing)) {
      pair.probes += placed->second;
    }
  }
  return pair;
}

// Pace that one more best-effort task would have there, from 0 to 1: as much as
// the serving images there tolerate.
auto
Cell::PaceFor(PlacementRound& aRound,
              const WorkerSlot& aSlot,
              const PlacementQuery& aQuery) -> double
{
  const auto share = static_cast<double>(aQuery.step->size.cpuMillis) /
                     static_cast<double>(std::max<std::int64_t>(
                       aSlot.entry.capacity.cpuMillis, 1));
  auto pace = 1.0;
  for (const auto& [image, tasks] : aSlot.serving) {
    const auto& pair = this->PairOf(aRound, image, aQuery.image);
    if (pair.probing && pair.probes >= kProbes) {
      return 0.0;
    }
    const auto pressure = pair.pressure * share;
    const auto slack = aSlot.slack.find(image);
    if (pressure > 0.0 && slack != aSlot.slack.end()) {
      pace = std::min(pace, std::max(0.0, slack->second) / pressure);
    }
  }
  return pace;
}

// How well the worker suits the task; higher is better. Long-running tasks are
// packed, equal images together, so that other workers stay free of them.
// Best-effort tasks prefer workers where they run at a high pace and beside no
// long-running task.
auto
Cell::Score(const WorkerSlot& aSlot,
            const PlacementQuery& aQuery,
            double aPace) const -> double
{
  const auto& step = *aQuery.step;
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aSlot.entry.capacity.cpuMillis, 1));
  const auto idle = static_cast<double>(aSlot.IdleCpu()) / capacity;
  auto score = idle;
  if (step.lasting) {
    // Best among tasks of the same image only, then without other long-running
    // tasks, then mixed.
    constexpr double kSameImage = 3.0;
    constexpr double kNoLongRunning = 1.5;
    const auto sameImage = aSlot.serving.contains(aQuery.image);
    score = -idle;
    score += aSlot.serving.empty()                    ? kNoLongRunning
             : sameImage && aSlot.serving.size() == 1 ? kSameImage
             : sameImage                              ? 1.0
                                                      : 0.0;
  } else if (step.fillsIdle) {
    constexpr double kPaceWeight = 3.0;
    score += kPaceWeight * aPace;
    score += aSlot.serving.empty() ? 1.0 : 0.0;
  } else if (!aSlot.serving.empty()) {
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
Cell::Reserve(Time aNow,
              const RunRef& aRef,
              WorkerSlot& aSlot,
              const StepSpec& aStep,
              ImageId aImage) const -> void
{
  if (aSlot.Attach(aRef, aStep, aImage) && aStep.fillsIdle) {
    this->TakeSlack(aNow, aSlot, aStep, aImage);
  }
}

auto
Cell::PlanRun(Time aNow, const TaskName& aName, WorkerSlot& aSlot) -> void
{
  const auto context = this->Find(aName);
  auto& task = *context.task;
  auto run = Run{};
  run.number = ++task.lastRun;
  run.worker = &aSlot;
  run.bornUnixMs = aSlot.entry.bornUnixMs;
  run.since = aNow;
  run.checkpoint = CheckpointHolder(context).checkpoint;
  task.runs.push_back(run);
  this->Reserve(
    aNow, { aName, run.number }, aSlot, *context.spec, context.image);
  this->Touch(*context.job, true);
  if (this->log.Follows(aName.job)) {
    this->log.Write("run_planned",
                    { { "task", ToText(aName) },
                      { "run", std::to_string(run.number) },
                      { "worker", aSlot.entry.id.text },
                      { "room_cpu", std::to_string(aSlot.Room().cpuMillis) },
                      { "idle_cpu", std::to_string(aSlot.IdleCpu()) },
                      { "serving", std::to_string(aSlot.serving.size()) } });
  }
}

} // namespace gooseberry::cells
