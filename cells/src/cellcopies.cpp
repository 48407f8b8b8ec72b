// Run times that are learned from completed steps, and second runs of tasks
// whose first run is late; see durations.h and speculation.h.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "speculation.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Whether the task's only run is under way and may be doubled.
auto
HasSingleRun(const Task& aTask) -> bool
{
  if (aTask.phase != TaskPhase::Open || aTask.runs.size() != 1) {
    return false;
  }
  const auto& run = aTask.runs.front();
  return run.phase == RunPhase::Running && run.stopReason == StopReason::None &&
         run.startedAt != Time{} && !run.inherited && !run.mayHaveEnded;
}

// Processors that the second runs of the job use, in thousandths of a core.
auto
SecondRunCpu(const Job& aJob) -> std::int64_t
{
  const auto& specs = aJob.Spec().steps;
  auto cpuMillis = std::int64_t{ 0 };
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::size_t{ 0 }; step < occurrence.steps.size(); ++step) {
      if (!specs[step].speculative) {
        continue;
      }
      for (const auto& task : occurrence.steps[step].tasks) {
        cpuMillis +=
          specs[step].taskResources.cpuMillis *
          std::count_if(task.runs.begin(),
                        task.runs.end(),
                        [](const Run& aRun) { return aRun.isSecond; });
      }
    }
  }
  return cpuMillis;
}

// Sum of the logarithms of durations, and their number.
struct LogSum
{
  double sum = 0.0;
  double count = 0.0;
};

} // namespace

// The speed of best-effort tasks depends on what runs beside them, that of
// gangs and of tasks with data on the rack.
auto
Cell::ShowsRelativeRunTime(const StepSpec& aStep) -> bool
{
  return !aStep.longRunning && !aStep.bestEffort && !aStep.gang &&
         aStep.dataRack.empty();
}

auto
Cell::RelativeRunTimeOf(Time aNow, const StepSpec& aStep, const Run& aRun) const
  -> double
{
  return this->options.learnedRunTimes && ShowsRelativeRunTime(aStep)
           ? aRun.worker->relativeRunTime.FactorAt(aNow)
           : 1.0;
}

auto
Cell::OnRunCompleted(Time aNow,
                     const TaskContext& aContext,
                     const Run& aRun,
                     Millis aDuration) const -> void
{
  auto& step = *aContext.step;
  step.longestRun = std::max(step.longestRun, aDuration);
  const auto factor = this->RelativeRunTimeOf(aNow, *aContext.spec, aRun);
  step.longestRelativeRun = std::max(
    step.longestRelativeRun,
    Millis{ std::llround(static_cast<double>(aDuration.count()) / factor) });
  if (this->options.learnedRunTimes && !aContext.job->IsHosted() &&
      aDuration.count() > 0 && ShowsRelativeRunTime(*aContext.spec)) {
    step.completedRuns.push_back({ aRun.worker->entry.id, aDuration });
  }
}

// Each run is compared with those of the same step on other workers: jobs
// differ by more than workers do.
auto
Cell::LearnRunTimes(Time aNow, const TaskContext& aContext) -> void
{
  if (!this->options.learnedRunTimes) {
    return;
  }
  this->durations.Observe(aContext.job->row.queue,
                          aContext.spec->estimate,
                          aContext.step->longestRelativeRun);
  // Fewer runs elsewhere tell less than the differences between tasks.
  constexpr double kMinOtherRuns = 3.0;
  auto byWorker = std::map<WorkerId, LogSum>{};
  auto all = LogSum{};
  const auto runs = std::exchange(aContext.step->completedRuns, {});
  for (const auto& run : runs) {
    const auto slot = this->workers.find(run.worker);
    if (slot == this->workers.end()) {
      continue;
    }
    // As it would have been on a worker of average speed.
    const auto log = std::log(static_cast<double>(run.duration.count()) /
                              slot->second.relativeRunTime.FactorAt(aNow));
    for (auto* const sum : { &byWorker[run.worker], &all }) {
      sum->sum += log;
      sum->count += 1.0;
    }
  }
  // All are compared before the first worker's factor changes.
  auto ratios = std::vector<std::pair<WorkerSlot*, double>>{};
  for (const auto& run : runs) {
    const auto slot = this->workers.find(run.worker);
    if (slot == this->workers.end()) {
      continue;
    }
    const auto& own = byWorker[run.worker];
    const auto others = all.count - own.count;
    if (others >= kMinOtherRuns) {
      ratios.emplace_back(&slot->second,
                          std::log(static_cast<double>(run.duration.count())) -
                            (all.sum - own.sum) / others);
    }
  }
  for (const auto& [slot, ratio] : ratios) {
    slot->relativeRunTime.Observe(aNow, ratio);
  }
}

auto
Cell::LatenessOf(Time aNow, const TaskContext& aContext, const Run& aRun) const
  -> RunLateness
{
  const auto& step = *aContext.step;
  auto lateness = RunLateness{};
  lateness.elapsed = aNow - aRun.startedAt - ThrottledTimeOf(aRun, aNow);
  lateness.longestDone = step.longestRelativeRun;
  lateness.doneFraction =
    static_cast<double>(step.doneTasks) /
    static_cast<double>(std::max<std::size_t>(step.tasks.size(), 1));
  lateness.expected =
    this->durations.Expect(aContext.job->row.queue, aContext.spec->estimate);
  lateness.relativeRunTime =
    this->RelativeRunTimeOf(aNow, *aContext.spec, aRun);
  return lateness;
}

// Tasks that wait because of their account's limit do not wait for processors.
auto
Cell::HasWaitingReservedTasks(Time aNow, const Job& aJob) const -> bool
{
  const auto& specs = aJob.Spec().steps;
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
         ++step) {
      const auto& spec = specs[step];
      const auto& progress = occurrence.steps[step];
      if (spec.bestEffort || !progress.MayHaveOpen()) {
        continue;
      }
      // A gang is retried at intervals in which it may not start.
      const auto waits =
        std::any_of(progress.tasks.begin() + progress.firstOpen,
                    progress.tasks.end(),
                    [&](const Task& aTask) {
                      return aTask.IsOpen() && aTask.waitingSince &&
                             (spec.gang || aTask.earliestStart <= aNow);
                    });
      if (waits && this->MayStartOne(aNow, aJob, spec.taskResources)) {
        return true;
      }
    }
  }
  return false;
}

auto
Cell::ReservedWorkWaits(Time aNow) const -> bool
{
  return this->othersWaiting ||
         std::any_of(this->activeJobs.begin(),
                     this->activeJobs.end(),
                     [&](const auto& aItem) {
                       return this->HasWaitingReservedTasks(aNow,
                                                            *aItem.second);
                     });
}

// A second run takes no processors from tasks that wait to reserve some. It
// goes before best-effort tasks, which use what others leave and nearly always
// wait for more.
auto
Cell::CopyLateRuns(Time aNow) -> void
{
  if (!this->options.secondRuns || aNow < this->nextCopyCheckAt) {
    return;
  }
  this->nextCopyCheckAt = aNow + kCopyCheckInterval;
  auto late = std::vector<RunRef>{};
  for (const auto& [id, job] : this->activeJobs) {
    if (job->IsHosted() || job->recordFull ||
        this->rejectedRecords.contains(id)) {
      continue;
    }
    this->AddLateRuns(aNow, *job, late);
  }
  if (late.empty() || this->ReservedWorkWaits(aNow)) {
    return;
  }
  auto round = this->NewPlacementRound(aNow);
  auto inUse = std::int64_t{ 0 };
  for (const auto& [id, job] : this->activeJobs) {
    inUse += SecondRunCpu(*job);
  }
  auto budget = CopyBudget(this->load.room.cpuMillis + inUse) - inUse;
  for (const auto& ref : late) {
    this->CopyRun(round, ref, budget);
  }
}

auto
Cell::AddLateRuns(Time aNow, const Job& aJob, std::vector<RunRef>& aLate)
  -> void
{
  const auto& specs = aJob.Spec().steps;
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
         ++step) {
      const auto& spec = specs[step];
      if (!spec.speculative || spec.longRunning || spec.gang ||
          spec.bestEffort || occurrence.steps[step].AllDone()) {
        continue;
      }
      const auto& tasks = occurrence.steps[step].tasks;
      for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
        if (!HasSingleRun(tasks[index])) {
          continue;
        }
        const auto name = TaskName{ aJob.Id(), number, step, index };
        const auto& run = tasks[index].runs.front();
        if (IsLate(this->LatenessOf(aNow, this->FindTask(name), run))) {
          aLate.push_back({ name, run.number });
        }
      }
    }
  }
}

// Plans a second run on another worker than the first, if one has room.
auto
Cell::CopyRun(PlacementRound& aRound, const RunRef& aRef, std::int64_t& aBudget)
  -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  const auto cpuMillis = context.spec->taskResources.cpuMillis;
  if (cpuMillis > aBudget || aRound.now < context.task->earliestStart ||
      !AttemptsAllowSecondRun(context.task->failures,
                              context.job->row.policy.maxAttempts) ||
      !this->MayStartOne(
        aRound.now, *context.job, context.spec->taskResources)) {
    return;
  }
  auto placed = std::map<const WorkerSlot*, std::uint32_t>{};
  if (context.spec->maxPerWorker > 0) {
    for (const auto& task : context.step->tasks) {
      for (const auto& other : task.runs) {
        ++placed[other.worker];
      }
    }
  }
  const auto query =
    PlacementQuery{ context.job,   context.spec, StepOf(aRef.task),
                    context.image, &placed,      kGoodSpeed };
  // The first run's worker may be the cause of the delay.
  auto others = std::vector<WorkerSlot*>{};
  std::copy_if(
    aRound.usableWorkers.begin(),
    aRound.usableWorkers.end(),
    std::back_inserter(others),
    [first = run->worker](const WorkerSlot* aSlot) { return aSlot != first; });
  auto* const slot = this->PickBestWorker(aRound, others, query);
  if (slot == nullptr) {
    return;
  }
  aBudget -= cpuMillis;
  const auto displaced =
    DisplacedCpu(cpuMillis, slot->IdleCpu(), slot->bestEffortCpu);
  this->CountEvent(CellEvent::RunCopied);
  if (this->log.IsSampled(aRef.task.job)) {
    this->log.Write(
      "run_copied",
      { { "task", ToText(aRef.task) },
        { "run", std::to_string(aRef.run) },
        { "worker", run->worker->entry.id.text },
        { "elapsed_ms",
          std::to_string(ToMillis(aRound.now - run->startedAt).count()) },
        { "longest_done_ms", std::to_string(context.step->longestRun.count()) },
        { "relative_time",
          std::to_string(
            this->RelativeRunTimeOf(aRound.now, *context.spec, *run)) },
        { "displaced_cpu", std::to_string(displaced) } });
  }
  this->PlanRun(aRound.now, aRef.task, *slot);
  auto& second = context.task->runs.back();
  second.isSecond = true;
  second.displacedCpuMillis = displaced;
}

auto
Cell::CountSecondRunCosts(Time aNow,
                          const TaskContext& aContext,
                          const RunRef& aRef,
                          const Run& aRun,
                          bool aCompletes) -> void
{
  const auto wasBeaten = this->options.secondRuns &&
                         aContext.spec->speculative && !aRun.inherited &&
                         aRun.stopReason == StopReason::OtherRunFinished;
  if ((!aRun.isSecond && !wasBeaten) || aRun.startedAt == Time{}) {
    // Runs that were not started have cost nothing.
    return;
  }
  constexpr std::int64_t kMillisPerCore = 1000;
  const auto elapsed = ToMillis(aNow - aRun.startedAt).count();
  const auto discarded =
    aCompletes
      ? 0
      : elapsed * aContext.spec->taskResources.cpuMillis / kMillisPerCore;
  const auto displaced = elapsed * aRun.displacedCpuMillis / kMillisPerCore;
  this->secondRunCosts.discarded += discarded;
  this->secondRunCosts.displaced += displaced;
  if (aCompletes) {
    this->CountEvent(CellEvent::SecondRunDone);
  }
  if (this->log.IsSampled(aRef.task.job)) {
    this->log.Write("second_run_cost",
                    { { "task", ToText(aRef.task) },
                      { "run", std::to_string(aRef.run) },
                      { "worker", aRun.worker->entry.id.text },
                      { "second", aRun.isSecond ? "true" : "false" },
                      { "done", aCompletes ? "true" : "false" },
                      { "discarded_core_ms", std::to_string(discarded) },
                      { "displaced_core_ms", std::to_string(displaced) } });
  }
}

} // namespace gooseberry::cells
