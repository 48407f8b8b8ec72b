// Jobs of a cell: submission, cancellation, and the ends of tasks and jobs.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// The event by which stops for this reason are counted.
auto
StopEventOf(StopReason aReason) -> CellEvent
{
  switch (aReason) {
    case StopReason::JobFailed:
      return CellEvent::StopJobFailed;
    case StopReason::OtherRunFinished:
      return CellEvent::StopRedundant;
    case StopReason::MovedForSpeed:
      return CellEvent::StopDisplaced;
    case StopReason::Stuck:
      return CellEvent::StopStuck;
    case StopReason::StartUnanswered:
      return CellEvent::StopUnansweredStart;
    case StopReason::GangBroken:
      return CellEvent::StopGangEnded;
    default:
      return CellEvent::StopCancelled;
  }
}

} // namespace

auto
Cell::OnSubmission(Time aNow, std::int64_t aNowUnixMs, const JobRow& aRow)
  -> void
{
  if (const auto known = this->jobs.find(aRow.id); known != this->jobs.end()) {
    const auto& job = *known->second;
    if (job.IsHosted() && !job.delegations.empty()) {
      // The home cell of an earlier job with this id has not closed its
      // delegations yet.
      this->deferredSubmissions.push_back(aRow);
      return;
    }
    if (!job.IsHosted() && (job.rowsState == JobRowsState::Stored ||
                            job.row.acceptedUnixMs == aRow.acceptedUnixMs)) {
      this->CountEvent(CellEvent::DuplicateSubmission);
      return;
    }
    // The rows of the earlier job were removed, although the answer that
    // confirms it was lost: the id was free for a new job.
    this->activeJobs.erase(aRow.id);
    this->timedJobs.erase(aRow.id);
    this->jobs.erase(known);
  }
  this->CountEvent(CellEvent::Submission);
  this->AddJob(aNow, aNowUnixMs, aRow, nullptr);
  if (this->earlyCancellations.erase(aRow.id) > 0) {
    this->OnCancel(aNow, aRow.id);
  }
}

auto
Cell::AddJob(Time aNow,
             std::int64_t aNowUnixMs,
             const JobRow& aRow,
             const JobRecord* aRecord) -> Job&
{
  auto owned = std::make_unique<Job>();
  auto& job = *owned;
  job.row = aRow;
  job.account = &this->accounts.At(aRow.account);
  job.rowBytes = EncodeJobRow(aRow).size();
  // After a takeover or a delayed feed, the job was accepted some time ago. The
  // time of day may jump, so the age is clamped.
  const auto age = std::clamp(Millis{ aNowUnixMs - aRow.acceptedUnixMs },
                              Millis{ 0 },
                              this->options.endedJobRetention);
  job.arrivedAt = aRow.acceptedUnixMs == 0 ? aNow : aNow - age;
  if (this->config) {
    this->CountArrival(job);
  }
  for (const auto& step : aRow.spec.steps) {
    job.stepImages.push_back(this->images.IdOf(step.image));
    const auto expected = this->durations.Expect(aRow.queue, step.estimate);
    job.expectedDurations.push_back(expected ? expected->median : Millis{ 0 });
  }
  this->jobs.emplace(aRow.id, std::move(owned));
  if (!job.Spec().IsTimed()) {
    job.occurrences.emplace(0, NewOccurrence(job.Spec())).first->second.dueAt =
      job.arrivedAt;
  }
  if (aRecord != nullptr) {
    // The record of an earlier job with the same id is ignored, and overwritten
    // later.
    if (aRecord->acceptedUnixMs == 0 ||
        aRecord->acceptedUnixMs == aRow.acceptedUnixMs) {
      this->RestoreJob(job, *aRecord);
    }
  }
  if (job.state == JobState::Queued && !job.Spec().IsTimed()) {
    ++this->pendingJobs[aRow.queue];
  }
  if (!IsFinal(job.state)) {
    this->activeJobs.emplace(job.Id(), &job);
    if (job.Spec().IsTimed()) {
      this->timedJobs.insert(job.Id());
      this->OpenOccurrences(aNow, job, aNowUnixMs);
    }
  }
  this->planNeeded = true;
  return job;
}

auto
Cell::RestoreJob(Job& aJob, const JobRecord& aRecord) -> void
{
  aJob.state = aRecord.state;
  aJob.recordedState = aRecord.state;
  aJob.finishedOccurrences = aRecord.finishedOccurrences;
  aJob.continuationRows = aRecord.continuationRows;
  if (IsFinal(aJob.state)) {
    aJob.endedAt = this->takeoverAt;
    this->endedJobs.emplace(this->takeoverAt + this->options.endedJobRetention,
                            aJob.Id());
  }
  for (const auto& mark : aRecord.tasks) {
    auto [occurrence, added] = aJob.occurrences.try_emplace(mark.occurrence);
    if (added) {
      occurrence->second = NewOccurrence(aJob.Spec());
      occurrence->second.dueAt = this->takeoverAt;
    }
    const auto context =
      this->FindTask({ aJob.Id(), mark.occurrence, mark.step, mark.index });
    if (context.task == nullptr) {
      continue;
    }
    auto& task = *context.task;
    task.phase = mark.phase;
    task.failures = mark.failures;
    RestoreLosses(task, mark.losses);
    task.lastRunNumber = mark.lastRunNumber;
    task.checkpoint = mark.checkpoint;
    if (task.phase == TaskPhase::Done) {
      ++context.step->doneTasks;
      if (context.step->AllDone()) {
        --context.occurrence->unfinishedSteps;
      }
    }
    for (const auto& run : mark.runs) {
      this->RestoreRun(
        context, { aJob.Id(), mark.occurrence, mark.step, mark.index }, run);
    }
  }
}

auto
Cell::RestoreRun(const TaskContext& aContext,
                 const TaskName& aName,
                 const JobRecord::RunRecord& aRecord) -> void
{
  auto& slot = this->InheritWorker(aRecord);
  auto run = Run{};
  run.number = aRecord.number;
  run.worker = &slot;
  run.workerStartUnixMs = aRecord.workerStartUnixMs;
  run.phase = RunPhase::Inherited;
  run.inherited = true;
  run.phaseSince = this->takeoverAt;
  run.startedAt = this->takeoverAt;
  run.speedUncertain = aContext.spec->bestEffort;
  if (IsFinal(aContext.job->state) || aContext.task->phase != TaskPhase::Open) {
    run.stopReason = StopReason::Cancelled;
  }
  aContext.task->runs.push_back(run);
  slot.ReserveRun({ aName, run.number },
                  *aContext.spec,
                  aContext.image,
                  *aContext.job->account);
}

// The slot of a worker on which an earlier owner started runs. If nothing was
// recorded about its lease, assumes the latest one that the earlier owner may
// have granted.
auto
Cell::InheritWorker(const JobRecord::RunRecord& aMark) -> WorkerSlot&
{
  auto [item, added] = this->workers.try_emplace(aMark.worker);
  auto& slot = item->second;
  if (added) {
    slot.entry.id = aMark.worker;
    slot.entry.startUnixMs = aMark.workerStartUnixMs;
    slot.entry.machine = aMark.machine;
    const auto expiry = this->previousLeaseEnds.find(aMark.worker);
    slot.fallbackLeaseEnd = expiry != this->previousLeaseEnds.end()
                              ? expiry->second
                              : this->previousLeasesOverBy;
    // The row that this owner took the cell over with lists the same workers.
    slot.silentInOwnerRow = expiry != this->previousLeaseEnds.end();
  }
  return slot;
}

auto
Cell::LongestLease(Time aNow) const -> Millis
{
  const auto someRestarted = std::any_of(
    this->workers.begin(), this->workers.end(), [&](const auto& aItem) {
      const auto& slot = aItem.second;
      return (slot.restarted || slot.restartSuspected) &&
             aNow <= slot.fallbackLeaseEnd;
    });
  const auto longest = aNow > this->previousLeasesOverBy ? this->options.lease
                                                         : this->previousLease;
  return someRestarted ? std::max(longest, this->options.maxLease) : longest;
}

// The paces are assumed to hold until calls of this owner are answered.
auto
Cell::ImportLearnedState(const LearnedState& aLearned, Millis aAge) -> void
{
  for (const auto& pair : aLearned.pairs) {
    this->interference.ImportPair(this->takeoverAt, aAge, pair, this->images);
  }
  for (const auto& [image, tail] : aLearned.lowestTailsMs) {
    this->lowestTails.emplace(this->images.IdOf(image), tail);
  }
  for (const auto& pace : aLearned.runSpeeds) {
    const auto [context, run] = this->FindTaskAndRun(pace.run);
    if (run != nullptr) {
      run->speedPercent = pace.percent;
    }
  }
}

// Images behave alike in all cells, and so do the jobs of a queue.
auto
Cell::OnPeerLearned(Time aNow, Millis aAge, const LearnedState& aLearned)
  -> void
{
  auto merged = false;
  for (const auto& pair : aLearned.pairs) {
    merged =
      this->interference.MergePair(aNow, aAge, pair, this->images) || merged;
  }
  for (const auto& [image, tail] : aLearned.lowestTailsMs) {
    const auto [floor, added] =
      this->lowestTails.try_emplace(this->images.IdOf(image), tail);
    floor->second = std::min(floor->second, tail);
  }
  if (this->options.learnedRunTimes) {
    for (const auto& times : aLearned.runTimes) {
      this->durations.Import(times);
    }
  }
  this->planNeeded = this->planNeeded || (merged && this->bestEffortWaiting);
}

auto
Cell::ExportSharedState(Time aNow, Millis aMaxAge) const -> LearnedState
{
  auto shared = LearnedState{};
  shared.pairs =
    this->interference.ExportKnownPairs(aNow, aMaxAge, this->images);
  for (const auto& [image, tail] : this->lowestTails) {
    shared.lowestTailsMs.emplace(this->images.NameOf(image), tail);
  }
  shared.runTimes = this->durations.ExportKnown();
  return shared;
}

auto
Cell::ExportLearnedState(Time aNow) -> LearnedState
{
  auto learned = LearnedState{};
  learned.pairs = this->interference.ExportPairs(aNow, this->images);
  learned.runTimes = this->durations.Export();
  for (const auto& [image, tail] : this->lowestTails) {
    learned.lowestTailsMs.emplace(this->images.NameOf(image), tail);
  }
  for (const auto& [id, slot] : this->workers) {
    if (slot.longRunningTasks.empty()) {
      continue;
    }
    for (const auto& ref : slot.runs) {
      const auto [context, run] = this->FindTaskAndRun(ref);
      if (run != nullptr && run->speedPercent < kFullPace &&
          learned.runSpeeds.size() < kMaxExportedRunSpeeds) {
        learned.runSpeeds.push_back({ ref, run->speedPercent });
      }
    }
  }
  return learned;
}

auto
Cell::OpenOccurrences(Time aNow, Job& aJob, std::int64_t aNowUnixMs) -> void
{
  const auto& spec = aJob.Spec();
  const auto opened =
    aJob.finishedOccurrences +
    static_cast<std::uint32_t>(std::count_if(
      aJob.occurrences.begin(), aJob.occurrences.end(), [&](const auto& aItem) {
        return aItem.first >= aJob.finishedOccurrences;
      }));
  for (auto next = opened; next < spec.occurrences; ++next) {
    const auto due =
      spec.firstDueUnixMs + static_cast<std::int64_t>(next) * spec.intervalMs;
    if (due > aNowUnixMs) {
      return;
    }
    aJob.occurrences.emplace(next, NewOccurrence(spec)).first->second.dueAt =
      aNow;
    this->planNeeded = true;
  }
}

auto
Cell::OnCancel(Time aNow, const JobId& aJob) -> void
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    this->earlyCancellations.insert(aJob);
    return;
  }
  if (found->second->IsHosted()) {
    this->OnCancelElsewhere(aNow, aJob);
    return;
  }
  if (IsFinal(found->second->state)) {
    return;
  }
  this->CountEvent(CellEvent::Cancellation);
  this->EndJob(
    aNow, *found->second, JobState::Cancelled, StopReason::Cancelled);
}

auto
Cell::MarkJobStarted(Time aNow, Job& aJob) -> void
{
  if (aJob.state != JobState::Queued) {
    return;
  }
  if (aJob.IsHosted()) {
    aJob.state = JobState::Running;
    this->MarkDirty(aJob, false);
    return;
  }
  if (!aJob.Spec().IsTimed()) {
    this->AddLatencySample(LatencyKind::FirstStart, aNow - aJob.arrivedAt);
  }
  aJob.state = JobState::Running;
  if (!aJob.Spec().IsTimed()) {
    --this->pendingJobs[aJob.row.queue];
  }
  this->MarkDirty(aJob, false);
}

auto
Cell::EndTask(Time aNow, const TaskContext& aContext) -> void
{
  auto& job = *aContext.job;
  if (job.IsHosted()) {
    // Whether the step and the job are done is for the home cell to decide.
    return;
  }
  ++aContext.step->doneTasks;
  if (!aContext.step->AllDone()) {
    return;
  }
  this->LearnRunTimes(aNow, aContext);
  this->planNeeded = true;
  if (--aContext.occurrence->unfinishedSteps > 0) {
    return;
  }
  if (!job.Spec().IsTimed()) {
    this->EndJob(aNow, job, JobState::Completed, StopReason::None);
    return;
  }
  // Occurrences may overlap and end in any order; only those before the first
  // one that has not ended are counted as finished.
  while (true) {
    const auto next = job.occurrences.find(job.finishedOccurrences);
    if (next == job.occurrences.end() || next->second.unfinishedSteps > 0) {
      break;
    }
    ++job.finishedOccurrences;
  }
  this->MarkDirty(job, true);
  if (job.finishedOccurrences >= job.Spec().occurrences) {
    this->EndJob(aNow, job, JobState::Completed, StopReason::None);
  }
}

auto
Cell::EndJob(Time aNow, Job& aJob, JobState aState, StopReason aWhy) -> void
{
  if (aJob.state == JobState::Queued && !aJob.Spec().IsTimed()) {
    --this->pendingJobs[aJob.row.queue];
  }
  aJob.state = aState;
  aJob.endedAt = aNow;
  this->activeJobs.erase(aJob.Id());
  this->timedJobs.erase(aJob.Id());
  this->adviser.ForgetJob(aJob.Id());
  this->endedJobs.emplace(aNow + this->options.endedJobRetention, aJob.Id());
  if (aState == JobState::Completed && !aJob.Spec().IsTimed()) {
    this->AddLatencySample(LatencyKind::JobCompletion, aNow - aJob.arrivedAt);
  }
  this->CountEvent(aState == JobState::Completed ? CellEvent::JobCompleted
                   : aState == JobState::Failed  ? CellEvent::JobFailed
                                                 : CellEvent::Cancellation);
  if (this->log.IsSampled(aJob.Id())) {
    this->log.Write(
      "job_ended",
      { { "job", aJob.Id().Text() },
        { "state", ToText(aState) },
        { "after_ms", std::to_string(ToMillis(aNow - aJob.arrivedAt).count()) },
        { "to_objective_ms",
          aJob.occurrences.empty()
            ? ""
            : std::to_string(
                ToMillis(ObjectiveOf(aJob, aJob.occurrences.rbegin()->second) -
                         aNow)
                  .count()) } });
  }
  this->RecallDelegations(aJob);
  this->MarkDirty(aJob, true);
  for (auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
         ++step) {
      auto& tasks = occurrence.steps[step].tasks;
      for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
        this->StopRuns(
          aNow, { aJob.Id(), number, step, index }, tasks[index], aWhy);
      }
    }
  }
  this->planNeeded = true;
}

auto
Cell::StopRuns(Time aNow, const TaskName& aName, Task& aTask, StopReason aWhy)
  -> void
{
  for (auto& run : aTask.runs) {
    this->StopRun(aNow, { aName, run.number }, run, aWhy);
  }
}

auto
Cell::StopRun(Time aNow, const RunRef& aRef, Run& aRun, StopReason aWhy) -> void
{
  if (aRun.stopReason != StopReason::None) {
    return;
  }
  aRun.stopReason = aWhy;
  // In the other phases no stop is due yet: a planned start is not sent, the
  // outcome of a start in flight is awaited first, and an inherited run has to
  // be found on its worker first.
  if (aRun.phase == RunPhase::Running ||
      aRun.phase == RunPhase::StartUnconfirmed) {
    aRun.phase = RunPhase::Stopping;
    aRun.phaseSince = aNow;
    aRun.stopSent = false;
    this->dueStops.insert(aRef);
  }
  this->CountEvent(CellEvent::Stop);
  this->CountEvent(StopEventOf(aWhy));
}

auto
Cell::DropEndedJobs(Time aNow) -> void
{
  while (!this->endedJobs.empty() && this->endedJobs.begin()->first <= aNow) {
    const auto id = this->endedJobs.begin()->second;
    this->endedJobs.erase(this->endedJobs.begin());
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
      continue;
    }
    auto& job = *found->second;
    if (job.IsHosted()) {
      if (job.delegations.empty() && (HasRuns(job) || job.dirty)) {
        this->endedJobs.emplace(aNow + kLazyCommitDelay, id);
      } else if (job.delegations.empty()) {
        this->activeJobs.erase(id);
        this->jobs.erase(found);
      }
      continue;
    }
    const auto removable =
      job.rowsState == JobRowsState::Removed ||
      (job.rowsState == JobRowsState::Stored && IsFinal(job.state) &&
       aNow >= job.endedAt + this->options.endedJobRetention);
    if (!removable) {
      // A later job with the same id, or one whose rows are being removed
      // already.
      continue;
    }
    if (HasRuns(job) || !job.delegations.empty() || job.dirty ||
        job.recordedState != job.state) {
      this->endedJobs.emplace(aNow + kLazyCommitDelay, id);
      continue;
    }
    if (job.rowsState == JobRowsState::Removed) {
      this->jobs.erase(found);
      continue;
    }
    job.rowsState = JobRowsState::BeingRemoved;
    this->removableJobs.push_back({ id, job.row.acceptedUnixMs });
  }
}

auto
Cell::TakeRemovableJobs() -> std::vector<EndedJob>
{
  return std::exchange(this->removableJobs, {});
}

auto
Cell::OnJobRowsRemoved(Time aNow, const EndedJob& aJob) -> void
{
  const auto found = this->jobs.find(aJob.id);
  if (found == this->jobs.end() ||
      found->second->rowsState == JobRowsState::Stored ||
      found->second->row.acceptedUnixMs != aJob.acceptedUnixMs) {
    return;
  }
  // Rows that were read before the removal may still arrive: the job stays
  // known for a while.
  found->second->rowsState = JobRowsState::Removed;
  this->endedJobs.emplace(aNow + kRemovedJobRetention, aJob.id);
  this->staleRecords.insert(aJob.id);
}

} // namespace gooseberry::cells
