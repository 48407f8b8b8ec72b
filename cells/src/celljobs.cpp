// Jobs of a cell: submission, cancelling, ends of tasks and of whole jobs.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// The event that counts stops for this reason.
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
    // The id was free again: its rows were removed, though no answer said so.
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
  // After a takeover, or through a late feed: it came earlier than this. The
  // time of day may jump, so it is believed within bounds.
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
    // One of an earlier job of this id says nothing, and is written over.
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
    const auto place =
      this->Find({ aJob.Id(), mark.occurrence, mark.step, mark.index });
    if (place.task == nullptr) {
      continue;
    }
    auto& task = *place.task;
    task.phase = mark.phase;
    task.failures = mark.failures;
    task.lastRun = mark.lastRun;
    task.checkpoint = mark.checkpoint;
    if (task.phase == TaskPhase::Done) {
      ++place.step->done;
      if (place.step->AllDone()) {
        --place.occurrence->openSteps;
      }
    }
    for (const auto& known : mark.runs) {
      auto& slot = this->InheritWorker(known);
      auto run = Run{};
      run.number = known.number;
      run.worker = &slot;
      run.bornUnixMs = known.bornUnixMs;
      run.phase = RunPhase::Inherited;
      run.since = this->takenAt;
      run.startedAt = this->takenAt;
      run.paceUnsure = place.spec->fillsIdle;
      if (IsFinal(aJob.state) || task.phase != TaskPhase::Open) {
        run.stopping = StopReason::Cancelled;
      }
      task.runs.push_back(run);
      slot.Attach(
        { { aJob.Id(), mark.occurrence, mark.step, mark.index }, run.number },
        *place.spec,
        place.image);
    }
  }
}

// The slot of a worker that an earlier owner started runs on.
auto
Cell::InheritWorker(const JobRecord::RunMark& aMark) -> WorkerSlot&
{
  auto [item, added] = this->workers.try_emplace(aMark.worker);
  auto& slot = item->second;
  if (added) {
    slot.entry.id = aMark.worker;
    slot.entry.bornUnixMs = aMark.bornUnixMs;
    slot.entry.machine = aMark.machine;
    const auto told = this->earlierLapses.find(aMark.worker);
    slot.unknownLeaseEnd =
      told != this->earlierLapses.end()
        ? told->second
        : this->takenAt + this->options.authority +
            WithWorkerDrift(this->earlierLease + kClockMargin);
  }
  return slot;
}

// Paces are believed until the own orders are answered.
auto
Cell::Hear(const Learnt& aLearnt, Millis aAge) -> void
{
  for (const auto& pair : aLearnt.pairs) {
    this->disturbance.Hear(this->takenAt, aAge, pair, this->images);
  }
  for (const auto& [image, tail] : aLearnt.tailFloors) {
    this->tailFloors.emplace(this->images.Number(image), tail);
  }
  for (const auto& pace : aLearnt.paces) {
    const auto [place, run] = this->FindActive(pace.run);
    if (run != nullptr) {
      run->pace = pace.percent;
    }
  }
}

auto
Cell::Tell(Time aNow) -> Learnt
{
  auto learnt = Learnt{};
  learnt.pairs = this->disturbance.Tell(aNow, this->images);
  for (const auto& [image, tail] : this->tailFloors) {
    learnt.tailFloors.emplace(this->images.Name(image), tail);
  }
  for (const auto& [id, slot] : this->workers) {
    if (slot.serving.empty()) {
      continue;
    }
    for (const auto& ref : slot.runs) {
      const auto [place, run] = this->FindActive(ref);
      if (run != nullptr && run->pace < kFullPace &&
          learnt.paces.size() < kMaxPacesTold) {
        learnt.paces.push_back({ ref, run->pace });
      }
    }
  }
  return learnt;
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
Cell::EndTask(Time aNow, const TaskPlace& aPlace) -> void
{
  auto& job = *aPlace.job;
  ++aPlace.step->done;
  if (!aPlace.step->AllDone()) {
    return;
  }
  this->planNeeded = true;
  if (--aPlace.occurrence->openSteps > 0) {
    return;
  }
  if (!job.Spec().Timed()) {
    this->EndJob(aNow, job, JobState::Completed, StopReason::None);
    return;
  }
  // Occurrences may overlap: the count grows over those that ended in order.
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
  // An order that is under way is settled first; an inherited run is looked
  // for.
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
    const auto due = job.rows == JobRows::Gone ||
                     (job.rows == JobRows::Kept && IsFinal(job.state) &&
                      aNow >= job.endedAt + this->options.keepEnded);
    if (!due) {
      // A later job of the same id, or one that is being removed already.
      continue;
    }
    auto running = false;
    for (const auto& [number, occurrence] : job.occurrences) {
      for (const auto& step : occurrence.steps) {
        running = running || std::any_of(step.tasks.begin(),
                                         step.tasks.end(),
                                         [](const Task& aTask) {
                                           return !aTask.runs.empty();
                                         });
      }
    }
    if (running || job.dirty || job.recorded != job.state) {
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
  // Rows that were read before may still be on their way.
  found->second->rows = JobRows::Gone;
  this->endedJobs.emplace(aNow + kSweptKept, aJob.id);
  this->staleRecords.insert(aJob.id);
}

} // namespace gooseberry::cells
