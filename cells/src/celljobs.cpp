// Jobs of a cell: submission, cancellation, and the ends of tasks and jobs.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// The event by which stops for this reason are counted.
auto
EventOf(StopReason aReason) -> CellEvent
{
  switch (aReason) {
    case StopReason::JobFailed:
      return CellEvent::StopFailed;
    case StopReason::Beaten:
      return CellEvent::StopBeaten;
    case StopReason::Displaced:
      return CellEvent::StopDisplaced;
    case StopReason::Stuck:
      return CellEvent::StopStuck;
    case StopReason::Settled:
      return CellEvent::StopSettled;
    case StopReason::Broken:
      return CellEvent::StopBroken;
    default:
      return CellEvent::StopCancelled;
  }
}

} // namespace

auto
Cell::OnJob(Time aNow, std::int64_t aNowUnixMs, const JobRow& aRow) -> void
{
  if (const auto known = this->jobs.find(aRow.id); known != this->jobs.end()) {
    const auto& job = *known->second;
    if (job.rows == JobRows::Kept ||
        job.row.acceptedUnixMs == aRow.acceptedUnixMs) {
      this->Count(CellEvent::Repeat);
      return;
    }
    // The rows of the earlier job were removed, although the answer that
    // confirms it was lost: the id was free for a new job.
    this->jobs.erase(known);
  }
  this->Count(CellEvent::Submission);
  this->AddJob(aNow, aNowUnixMs, aRow, nullptr);
  if (this->earlyCancels.erase(aRow.id) > 0) {
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
  // After a takeover or a delayed feed, the job was accepted some time ago. The
  // time of day may jump, so the age is clamped.
  const auto age = std::clamp(Millis{ aNowUnixMs - aRow.acceptedUnixMs },
                              Millis{ 0 },
                              this->options.keepEnded);
  job.arrivedAt = aRow.acceptedUnixMs == 0 ? aNow : aNow - age;
  for (const auto& step : aRow.spec.steps) {
    job.images.push_back(this->images.Number(step.image));
  }
  this->jobs.emplace(aRow.id, std::move(owned));
  if (!job.Spec().Timed()) {
    job.occurrences.emplace(0, NewOccurrence(job.Spec())).first->second.due =
      job.arrivedAt;
  }
  if (aRecord != nullptr) {
    // The record of an earlier job with the same id is ignored, and overwritten
    // later.
    if (aRecord->acceptedUnixMs == 0 ||
        aRecord->acceptedUnixMs == aRow.acceptedUnixMs) {
      this->Restore(job, *aRecord);
    }
  }
  if (job.state == JobState::Queued && !job.Spec().Timed()) {
    ++this->pending[aRow.queue];
  }
  if (!IsFinal(job.state)) {
    this->activeJobs.emplace(job.Id(), &job);
    if (job.Spec().Timed()) {
      this->OpenOccurrences(aNow, job, aNowUnixMs);
    }
  }
  this->planNeeded = true;
  return job;
}

auto
Cell::Restore(Job& aJob, const JobRecord& aRecord) -> void
{
  aJob.state = aRecord.state;
  aJob.recorded = aRecord.state;
  aJob.finishedOccurrences = aRecord.finishedOccurrences;
  if (IsFinal(aJob.state)) {
    aJob.endedAt = this->takenAt;
    this->endedJobs.emplace(this->takenAt + this->options.keepEnded, aJob.Id());
  }
  for (const auto& mark : aRecord.tasks) {
    auto [occurrence, added] = aJob.occurrences.try_emplace(mark.occurrence);
    if (added) {
      occurrence->second = NewOccurrence(aJob.Spec());
      occurrence->second.due = this->takenAt;
    }
    const auto context =
      this->Find({ aJob.Id(), mark.occurrence, mark.step, mark.index });
    if (context.task == nullptr) {
      continue;
    }
    auto& task = *context.task;
    task.phase = mark.phase;
    task.failures = mark.failures;
    task.lastRun = mark.lastRun;
    task.checkpoint = mark.checkpoint;
    if (task.phase == TaskPhase::Done) {
      ++context.step->done;
      if (context.step->AllDone()) {
        --context.occurrence->openSteps;
      }
    }
    for (const auto& runMark : mark.runs) {
      auto& slot = this->InheritWorker(runMark);
      auto run = Run{};
      run.number = runMark.number;
      run.worker = &slot;
      run.bornUnixMs = runMark.bornUnixMs;
      run.phase = RunPhase::Inherited;
      run.since = this->takenAt;
      run.startedAt = this->takenAt;
      run.paceUnsure = context.spec->fillsIdle;
      if (IsFinal(aJob.state) || task.phase != TaskPhase::Open) {
        run.stopping = StopReason::Cancelled;
      }
      task.runs.push_back(run);
      slot.Attach(
        { { aJob.Id(), mark.occurrence, mark.step, mark.index }, run.number },
        *context.spec,
        context.image);
    }
  }
}

// The slot of a worker on which an earlier owner started runs. If nothing was
// recorded about its lease, assumes the latest one that the earlier owner may
// have granted.
auto
Cell::InheritWorker(const JobRecord::RunMark& aMark) -> WorkerSlot&
{
  auto [item, added] = this->workers.try_emplace(aMark.worker);
  auto& slot = item->second;
  if (added) {
    slot.entry.id = aMark.worker;
    slot.entry.bornUnixMs = aMark.bornUnixMs;
    slot.entry.machine = aMark.machine;
    const auto expiry = this->earlierLapses.find(aMark.worker);
    slot.unknownLeaseEnd =
      expiry != this->earlierLapses.end()
        ? expiry->second
        : this->takenAt + this->options.authority +
            WithWorkerDrift(this->earlierLease + kClockMargin);
  }
  return slot;
}

// The paces are assumed to hold until calls of this owner are answered.
auto
Cell::Hear(const Learnt& aLearned, Millis aAge) -> void
{
  for (const auto& pair : aLearned.pairs) {
    this->disturbance.Hear(this->takenAt, aAge, pair, this->images);
  }
  for (const auto& [image, tail] : aLearned.tailFloors) {
    this->tailFloors.emplace(this->images.Number(image), tail);
  }
  for (const auto& pace : aLearned.paces) {
    const auto [context, run] = this->FindActive(pace.run);
    if (run != nullptr) {
      run->pace = pace.percent;
    }
  }
}

auto
Cell::Tell(Time aNow) -> Learnt
{
  auto learned = Learnt{};
  learned.pairs = this->disturbance.Tell(aNow, this->images);
  for (const auto& [image, tail] : this->tailFloors) {
    learned.tailFloors.emplace(this->images.Name(image), tail);
  }
  for (const auto& [id, slot] : this->workers) {
    if (slot.serving.empty()) {
      continue;
    }
    for (const auto& ref : slot.runs) {
      const auto [context, run] = this->FindActive(ref);
      if (run != nullptr && run->pace < kFullPace &&
          learned.paces.size() < kMaxPacesTold) {
        learned.paces.push_back({ ref, run->pace });
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
    aJob.occurrences.emplace(next, NewOccurrence(spec)).first->second.due =
      aNow;
    this->planNeeded = true;
  }
}

auto
Cell::OnCancel(Time aNow, const JobId& aJob) -> void
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    this->earlyCancels.insert(aJob);
    return;
  }
  if (IsFinal(found->second->state)) {
    return;
  }
  this->Count(CellEvent::Cancellation);
  this->EndJob(
    aNow, *found->second, JobState::Cancelled, StopReason::Cancelled);
}

auto
Cell::NoteStarted(Time aNow, Job& aJob) -> void
{
  if (aJob.state != JobState::Queued) {
    return;
  }
  if (!aJob.Spec().Timed()) {
    this->Note(SpanKind::FirstStart, aNow - aJob.arrivedAt);
  }
  aJob.state = JobState::Running;
  if (!aJob.Spec().Timed()) {
    --this->pending[aJob.row.queue];
  }
  this->Touch(aJob, false);
}

auto
Cell::EndTask(Time aNow, const TaskPlace& aContext) -> void
{
  auto& job = *aContext.job;
  ++aContext.step->done;
  if (!aContext.step->AllDone()) {
    return;
  }
  this->planNeeded = true;
  if (--aContext.occurrence->openSteps > 0) {
    return;
  }
  if (!job.Spec().Timed()) {
    this->EndJob(aNow, job, JobState::Completed, StopReason::None);
    return;
  }
  // Occurrences may overlap and end in any order; only those before the first
  // one that has not ended are counted as finished.
  while (true) {
    const auto next = job.occurrences.find(job.finishedOccurrences);
    if (next == job.occurrences.end() || next->second.openSteps > 0) {
      break;
    }
    ++job.finishedOccurrences;
  }
  this->Touch(job, true);
  if (job.finishedOccurrences >= job.Spec().occurrences) {
    this->EndJob(aNow, job, JobState::Completed, StopReason::None);
  }
}

auto
Cell::EndJob(Time aNow, Job& aJob, JobState aState, StopReason aWhy) -> void
{
  if (aJob.state == JobState::Queued && !aJob.Spec().Timed()) {
    --this->pending[aJob.row.queue];
  }
  aJob.state = aState;
  aJob.endedAt = aNow;
  this->activeJobs.erase(aJob.Id());
  this->adviser.Drop(aJob.Id());
  this->endedJobs.emplace(aNow + this->options.keepEnded, aJob.Id());
  if (aState == JobState::Completed && !aJob.Spec().Timed()) {
    this->Note(SpanKind::Job, aNow - aJob.arrivedAt);
  }
  this->Count(aState == JobState::Completed ? CellEvent::Completed
              : aState == JobState::Failed  ? CellEvent::FailedJob
                                            : CellEvent::Cancellation);
  if (this->log.Follows(aJob.Id())) {
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
  this->Touch(aJob, true);
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
  if (aRun.stopping != StopReason::None) {
    return;
  }
  aRun.stopping = aWhy;
  // In the other phases no stop is due yet: a planned start is not sent, the
  // outcome of a start in flight is awaited first, and an inherited run has to
  // be found on its worker first.
  if (aRun.phase == RunPhase::Running || aRun.phase == RunPhase::Unsettled) {
    aRun.phase = RunPhase::Stopping;
    aRun.since = aNow;
    aRun.stopSent = false;
    this->toStop.insert(aRef);
  }
  this->Count(CellEvent::Stop);
  this->Count(EventOf(aWhy));
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
    const auto removable = job.rows == JobRows::Gone ||
                           (job.rows == JobRows::Kept && IsFinal(job.state) &&
                            aNow >= job.endedAt + this->options.keepEnded);
    if (!removable) {
      // A later job with the same id, or one whose rows are being removed
      // already.
      continue;
    }
    auto hasRuns = false;
    for (const auto& [number, occurrence] : job.occurrences) {
      for (const auto& step : occurrence.steps) {
        hasRuns = hasRuns || std::any_of(step.tasks.begin(),
                                         step.tasks.end(),
                                         [](const Task& aTask) {
                                           return !aTask.runs.empty();
                                         });
      }
    }
    if (hasRuns || job.dirty || job.recorded != job.state) {
      this->endedJobs.emplace(aNow + kLazyCommit, id);
      continue;
    }
    if (job.rows == JobRows::Gone) {
      this->jobs.erase(found);
      continue;
    }
    job.rows = JobRows::Leaving;
    this->forgotten.push_back({ id, job.row.acceptedUnixMs });
  }
}

auto
Cell::TakeForgotten() -> std::vector<EndedJob>
{
  return std::exchange(this->forgotten, {});
}

auto
Cell::OnSwept(Time aNow, const EndedJob& aJob) -> void
{
  const auto found = this->jobs.find(aJob.id);
  if (found == this->jobs.end() || found->second->rows == JobRows::Kept ||
      found->second->row.acceptedUnixMs != aJob.acceptedUnixMs) {
    return;
  }
  // Rows that were read before the removal may still arrive: the job stays
  // known for a while.
  found->second->rows = JobRows::Gone;
  this->endedJobs.emplace(aNow + kSweptKept, aJob.id);
  this->staleRecords.insert(aJob.id);
}

} // namespace gooseberry::cells
