#include "cell.h"

#include <algorithm>
#include <array>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
ToText(CellEvent aEvent) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(CellEvent::CellEvent_NB)>
    kNames{
      "submission",
      "repeat",
      "start",
      "start_refused",
      "start_unanswered",
      "done",
      "failure",
      "lapse",
      "lost",
      "stop",
      "stop_cancelled",
      "stop_failed_job",
      "stop_beaten",
      "stop_displaced",
      "stop_stuck",
      "stop_settled",
      "stop_broken",
      "pace",
      "orphan",
      "completed",
      "failed_job",
      "cancellation",
      "delegated",
      "hosted",
      "returned",
      "suspected",
      "given_up",
      "copied",
      "limited_start",
      "second_run_done",
      "advice_stalled",
    };
  return kNames.at(static_cast<std::size_t>(aEvent));
}

namespace {

// By when the leases of all earlier owners have certainly expired. An owner
// that was replaced may grant some until it notices.
auto
LeasesOverBy(const CellTakeover& aTakeover,
             const CellOptions& aOptions,
             Millis aLongest) -> Time
{
  const auto grantsFor =
    aTakeover.previousReleased ? Millis{ 0 } : aOptions.ownershipValidity;
  return aTakeover.previousConfirmedBy.value_or(aTakeover.now) +
         WithWorkerDrift(grantsFor + aLongest + kClockMargin);
}

} // namespace

Cell::Cell(CellOptions aOptions, CellTakeover aTakeover, DecisionLog& aLog)
  : options(aOptions)
  , fencingToken(aTakeover.fencingToken)
  , takeoverAt(aTakeover.now)
  , previousLease(std::max(aTakeover.previousLease, aOptions.lease))
  , previousLeasesOverBy(LeasesOverBy(aTakeover, aOptions, this->previousLease))
  , previousLeaseEnds(std::move(aTakeover.leaseEnds))
  , ownershipConfirmedAt(aTakeover.confirmedAt.value_or(aTakeover.now))
  , siteUpToDateAt(aTakeover.now)
  , log(aLog)
  , staleRecords(aTakeover.orphanRecords.begin(), aTakeover.orphanRecords.end())
  , staleContinuations(aTakeover.orphanContinuations.begin(),
                       aTakeover.orphanContinuations.end())
{
  // Before the jobs, whose expected durations follow from them.
  if (aTakeover.learnedState && this->options.learnedRunTimes) {
    for (const auto& times : aTakeover.learnedState->runTimes) {
      this->durations.Import(times);
    }
  }
  for (const auto& [row, record] : aTakeover.jobs) {
    this->AddJob(
      aTakeover.now, aTakeover.nowUnixMs, row, record ? &*record : nullptr);
  }
  for (const auto& job : aTakeover.cancelled) {
    this->OnCancel(aTakeover.now, job);
  }
  this->RestoreDelegations(aTakeover);
  if (aTakeover.learnedState) {
    this->ImportLearnedState(*aTakeover.learnedState,
                             aTakeover.learnedStateAge);
  }
}

Cell::~Cell() = default;

auto
Cell::OnConfig(std::shared_ptr<const SiteConfig> aConfig) -> void
{
  const auto first = this->config == nullptr;
  this->config = std::move(aConfig);
  this->accounts.OnConfig(*this->config);
  this->limitsChanged = true;
  if (first) {
    this->CountInheritedArrivals();
  }
  for (auto& [id, job] : this->jobs) {
    if (const auto* queue = this->config->FindQueue(job->row.queue)) {
      job->row.policy = queue->policy;
    }
  }
  for (auto& [id, slot] : this->workers) {
    if (const auto service = this->config->services.find(slot.entry.service);
        service != this->config->services.end()) {
      slot.enforcesCapacity = service->second.enforcesCapacity;
    }
  }
  this->planNeeded = true;
}

auto
Cell::OnEvacuations(Time aNow, std::set<DomainId> aDomains) -> void
{
  if (this->evacuatedDomains == aDomains) {
    return;
  }
  this->evacuatedDomains = std::move(aDomains);
  for (auto& [id, slot] : this->workers) {
    if (!this->evacuatedDomains.contains(slot.entry.domain)) {
      continue;
    }
    // Runs that have been started may finish there; only planned starts are
    // dropped.
    const auto runs = slot.runs;
    for (const auto& ref : runs) {
      const auto [context, run] = this->FindTaskAndRun(ref);
      if (run != nullptr && run->phase == RunPhase::Planned) {
        this->DropRun(aNow, ref, "evacuated");
      }
    }
  }
  this->planNeeded = true;
}

auto
Cell::FindJob(const JobId& aJob) const -> const Job*
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() || found->second->IsHosted() ||
             found->second->rowsState == JobRowsState::Removed
           ? nullptr
           : found->second.get();
}

auto
Cell::PendingJobsIn(const QueueId& aQueue) const -> std::size_t
{
  const auto found = this->pendingJobs.find(aQueue);
  return found == this->pendingJobs.end() ? 0 : found->second;
}

auto
Cell::PendingJobsByQueue() const -> std::map<std::string, std::size_t>
{
  auto counts = std::map<std::string, std::size_t>{};
  for (const auto& [queue, count] : this->pendingJobs) {
    if (count > 0) {
      counts.emplace(queue.text, count);
    }
  }
  return counts;
}

auto
Cell::CostsOfSecondRuns() const -> const SecondRunCosts&
{
  return this->secondRunCosts;
}

auto
Cell::EventCounts() const -> const CellEventCounts&
{
  return this->eventCounts;
}

auto
Cell::Workers() const -> const std::map<WorkerId, WorkerSlot>&
{
  return this->workers;
}

auto
Cell::JobCount() const -> std::size_t
{
  return this->jobs.size();
}

auto
Cell::IsFenced() const -> bool
{
  return this->fenced;
}

auto
Cell::CountEvent(CellEvent aEvent) -> void
{
  ++this->eventCounts[static_cast<std::size_t>(aEvent)];
}

auto
ToText(LatencyKind aKind) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<int>(LatencyKind::LatencyKind_NB)>
    kNames{ "first_start", "place", "job" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

auto
Cell::TakeLatencySamples() -> std::vector<LatencySample>
{
  return std::exchange(this->latencySamples, {});
}

// Drops the sample if too many have not been taken yet.
auto
Cell::AddLatencySample(LatencyKind aKind, Micros aTime) -> void
{
  if (this->latencySamples.size() < kMaxStoredSpans) {
    this->latencySamples.push_back({ aKind, aTime });
  }
}

auto
Cell::FindTask(const TaskName& aName) -> TaskContext
{
  const auto found = this->jobs.find(aName.job);
  if (found == this->jobs.end()) {
    return {};
  }
  auto context = TaskContext{ found->second.get() };
  const auto occurrence = context.job->occurrences.find(aName.occurrence);
  if (occurrence == context.job->occurrences.end() ||
      aName.step >= occurrence->second.steps.size() ||
      aName.index >= occurrence->second.steps[aName.step].tasks.size()) {
    return {};
  }
  context.occurrence = &occurrence->second;
  context.step = &context.occurrence->steps[aName.step];
  context.spec = &context.job->Spec().steps[aName.step];
  context.task = &context.step->tasks[aName.index];
  context.image = context.job->stepImages[aName.step];
  return context;
}

auto
Cell::FindTaskAndRun(const RunRef& aRef) -> std::pair<TaskContext, Run*>
{
  const auto context = this->FindTask(aRef.task);
  return { context,
           context.task == nullptr ? nullptr
                                   : context.task->FindRun(aRef.run) };
}

auto
Cell::MarkDirty(Job& aJob, bool aUrgent) -> void
{
  aJob.dirty = true;
  if (aJob.IsHosted()) {
    // The reports hold the state of its tasks.
    for (auto& [number, tasks] : aJob.delegations) {
      tasks.dirty = true;
    }
  }
  this->dirtyJobs.insert(aJob.Id());
  this->commitUrgent = this->commitUrgent || aUrgent;
}

auto
Cell::OnTick(Time aNow, std::int64_t aNowUnixMs) -> void
{
  // A copy: a job that has no occurrence left is removed.
  const auto timed = this->timedJobs;
  for (const auto& id : timed) {
    this->OpenOccurrences(aNow, *this->jobs.at(id), aNowUnixMs);
  }
  for (const auto& row : std::exchange(this->deferredSubmissions, {})) {
    this->OnSubmission(aNow, aNowUnixMs, row);
  }
  this->ExpireLeases(aNow);
  if (std::exchange(this->limitsChanged, false)) {
    this->DropRunsBeyondLimit(aNow);
  }
  const auto planDue = this->planNeeded || aNow >= this->nextPlanAt;
  const auto siteKnown = aNow < this->siteUpToDateAt + kSiteMaxAge;
  const auto planInterval = std::max<Micros>(
    kMinPlanInterval,
    kPlanIntervalPerStep * static_cast<std::int64_t>(this->plannedSteps));
  if (planDue && siteKnown && aNow >= this->lastPlanAt + planInterval) {
    this->planNeeded = false;
    this->nextPlanAt = Time::max();
    this->lastPlanAt = aNow;
    this->PlanStarts(aNow);
  }
  if (siteKnown) {
    this->CopyLateRuns(aNow);
  }
  this->SendStops(aNow);
  this->RenewWorkers(aNow);
  this->DropEndedJobs(aNow);
  this->MeasureLoad(aNow);
}

auto
Cell::OnSiteUpToDate(Time aFreshAt) -> void
{
  this->siteUpToDateAt = aFreshAt;
}

auto
Cell::OnOwnershipConfirmed(Time aAskedAt) -> void
{
  this->ownershipConfirmedAt = std::max(this->ownershipConfirmedAt, aAskedAt);
}

auto
Cell::SetReleasing(bool aReleasing) -> void
{
  this->releasing = aReleasing;
}

auto
Cell::SilentWorkers() -> std::map<WorkerId, Time>
{
  auto silent = std::map<WorkerId, Time>{};
  for (auto& [id, slot] : this->workers) {
    const auto unheard =
      !slot.reconciled && (this->releasing || slot.silentInOwnerRow);
    const auto leaves = this->releasing && (!slot.listed || slot.entry.leaving);
    if ((slot.silent || unheard || leaves) && !slot.runs.empty()) {
      silent.emplace(id, slot.LeaseOverBy());
      // Those that are told only for a release are marked once the row is
      // written: no lease is granted before the outcome is known.
      slot.silentInOwnerRow = slot.silentInOwnerRow || slot.silent;
    }
  }
  return silent;
}

auto
Cell::OnSilentWorkersWritten(const std::map<std::string, std::int64_t>& aSilent)
  -> void
{
  for (auto& [id, slot] : this->workers) {
    slot.silentInOwnerRow = aSilent.contains(id.text);
  }
}

// A stale record whose job id is in use again is overwritten instead of being
// removed.
auto
Cell::AddRecordRemovals(RecordBatch& aBatch, BatchContents& aContents) -> void
{
  auto stale = this->staleRecords.begin();
  while (stale != this->staleRecords.end() &&
         EntriesOf(aBatch) < kMaxRecordsPerCommit) {
    const auto job = this->jobs.find(*stale);
    if (job == this->jobs.end() ||
        job->second->rowsState == JobRowsState::Removed) {
      aBatch.removals.push_back(*stale);
    }
    stale = this->staleRecords.erase(stale);
  }
  aContents.removedRecords = aBatch.removals;
  auto continuation = this->staleContinuations.begin();
  while (continuation != this->staleContinuations.end() &&
         EntriesOf(aBatch) < kMaxRecordsPerCommit) {
    aBatch.continuationRemovals.push_back(*continuation);
    aContents.removedContinuations.push_back(*continuation);
    continuation = this->staleContinuations.erase(continuation);
  }
}

auto
Cell::PlannedRunsOf(const Job& aJob) -> std::vector<RunRef>
{
  auto planned = std::vector<RunRef>{};
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
         ++step) {
      const auto& tasks = occurrence.steps[step].tasks;
      for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
        for (const auto& run : tasks[index].runs) {
          if (run.phase == RunPhase::Planned) {
            planned.push_back(
              { { aJob.Id(), number, step, index }, run.number });
          }
        }
      }
    }
  }
  return planned;
}

auto
Cell::EncodeWithinLimit(Time aNow, Job& aJob) -> std::vector<std::string>
{
  constexpr std::size_t kMaxRows = 1 + kMaxContinuationRows;
  auto record = MakeJobRecord(aJob);
  auto rows = EncodeRecordRows(record);
  if (rows.size() <= kMaxRows) {
    return rows;
  }
  // Without its checkpoint a task only begins anew.
  for (auto& task : record.tasks) {
    task.checkpoint.clear();
  }
  rows = EncodeRecordRows(record);
  while (rows.size() > kMaxRows) {
    const auto planned = PlannedRunsOf(aJob);
    if (planned.empty()) {
      return {};
    }
    const auto kept = planned.size() - (planned.size() + 7) / 8;
    for (auto index = kept; index < planned.size(); ++index) {
      this->DropRun(aNow, planned[index], "the job's record is full");
    }
    // Set back when one of the others ends.
    aJob.recordFull = HasRuns(aJob);
    record = MakeJobRecord(aJob);
    for (auto& task : record.tasks) {
      task.checkpoint.clear();
    }
    rows = EncodeRecordRows(record);
  }
  return rows;
}

auto
Cell::IsHeldBack(Time aNow, const JobId& aJob) const -> bool
{
  const auto found = this->rejectedRecords.find(aJob);
  return found != this->rejectedRecords.end() && aNow < found->second.retryAt;
}

auto
Cell::HashOf(const Job& aJob, const std::vector<std::string>& aRows) const
  -> std::size_t
{
  // Rows of delegations may have changed since.
  auto hash =
    aJob.delegations.empty() ? 0 : std::size_t{ this->lastBatchNumber };
  for (const auto& row : aRows) {
    hash ^= std::hash<std::string>{}(row);
  }
  return hash;
}

auto
Cell::HoldBack(Time aNow, const JobId& aJob, std::size_t aHash) -> void
{
  auto& rejected = this->rejectedRecords[aJob];
  rejected.delay = std::clamp(rejected.delay * 2,
                              Millis{ kRejectedRecordDelay },
                              Millis{ kRejectedRecordDelayMax });
  rejected.retryAt = aNow + rejected.delay;
  rejected.hash = aHash;
  rejected.lastBatch = this->lastBatchNumber;
  this->log.Write("record_rejected",
                  { { "job", aJob.Text() },
                    { "retry_ms", std::to_string(rejected.delay.count()) } });
  if (const auto job = this->jobs.find(aJob); job != this->jobs.end()) {
    for (const auto& run : PlannedRunsOf(*job->second)) {
      this->DropRun(aNow, run, "the store rejected the job's record");
    }
  }
}

auto
Cell::AddRecord(Job& aJob,
                std::vector<std::string> aRows,
                RecordBatch& aBatch,
                BatchContents& aContents) -> void
{
  const auto continuations =
    aRows.empty() ? 0 : static_cast<std::uint32_t>(aRows.size() - 1);
  for (auto number = std::uint32_t{ 1 }; number <= continuations; ++number) {
    const auto row = RecordContinuation{ aJob.Id(), number };
    this->staleContinuations.erase(row);
    aBatch.continuations.emplace_back(row, std::move(aRows[number]));
  }
  for (auto number = continuations + 1; number <= aJob.continuationRows;
       ++number) {
    aBatch.continuationRemovals.push_back({ aJob.Id(), number });
  }
  aJob.continuationRows = std::max(aJob.continuationRows, continuations);
  aContents.continuationRows.push_back(continuations);
  if (!aRows.empty()) {
    aBatch.records.emplace_back(aJob.Id(), std::move(aRows[0]));
  }
}

auto
Cell::NextBatch(Time aNow) -> std::optional<RecordBatch>
{
  if ((this->dirtyJobs.empty() && this->staleRecords.empty() &&
       this->staleContinuations.empty() && this->staleReports.empty()) ||
      this->batchInFlight || aNow < this->nextBatchAt) {
    return std::nullopt;
  }
  if (!this->dirtySince) {
    this->dirtySince = aNow;
  }
  if (!this->commitUrgent && aNow < *this->dirtySince + kLazyCommitDelay) {
    return std::nullopt;
  }
  auto batch = RecordBatch{ ++this->lastBatchNumber };
  auto& contents = this->unresolvedBatches[batch.number];
  auto next = this->dirtyJobs.begin();
  while (next != this->dirtyJobs.end() &&
         contents.jobs.size() < this->maxJobsPerBatch &&
         EntriesOf(batch) < kMaxRecordsPerCommit) {
    auto& job = *this->jobs.at(*next);
    if (this->IsHeldBack(aNow, job.Id())) {
      ++next;
      continue;
    }
    auto rows = job.IsHosted() ? std::vector<std::string>{}
                               : this->EncodeWithinLimit(aNow, job);
    const auto hash = this->HashOf(job, rows);
    const auto rejected = this->rejectedRecords.find(job.Id());
    const auto unchanged =
      rejected != this->rejectedRecords.end() && rejected->second.hash == hash;
    if (unchanged || (rows.empty() && !job.IsHosted())) {
      this->HoldBack(aNow, job.Id(), hash);
      ++next;
      continue;
    }
    auto bytes = std::size_t{ 0 };
    for (const auto& row : rows) {
      bytes += row.size();
    }
    if (!contents.jobs.empty() &&
        (BytesOf(batch) + bytes > kMaxBytesPerCommit ||
         EntriesOf(batch) + rows.size() + job.continuationRows >
           kMaxRowsPerCommit)) {
      break;
    }
    next = this->dirtyJobs.erase(next);
    job.dirty = false;
    this->AddRecord(job, std::move(rows), batch, contents);
    this->AddDelegationRows(job, batch, contents);
    contents.jobs.push_back(job.Id());
    contents.states.push_back(job.state);
    contents.recordHashes.push_back(hash);
    const auto planned = PlannedRunsOf(job);
    contents.plannedRuns.insert(
      contents.plannedRuns.end(), planned.begin(), planned.end());
    std::move(job.unrecordedEnds.begin(),
              job.unrecordedEnds.end(),
              std::back_inserter(contents.ends));
    job.unrecordedEnds.clear();
  }
  for (const auto& id : contents.unfinishedJobs) {
    this->jobs.at(id)->dirty = true;
    this->dirtyJobs.insert(id);
  }
  this->AddRecordRemovals(batch, contents);
  this->AddReportRemovals(batch, contents);
  if (contents.jobs.empty() && EntriesOf(batch) == 0) {
    // All that is to be recorded is held back.
    this->unresolvedBatches.erase(batch.number);
    return std::nullopt;
  }
  this->commitUrgent = !this->dirtyJobs.empty();
  this->dirtySince.reset();
  this->batchInFlight = true;
  this->nextBatchAt = aNow + kMinCommitInterval;
  return batch;
}

auto
Cell::OnBatchRecorded(Time aNow, std::uint64_t aNumber) -> void
{
  this->batchInFlight = false;
  const auto found = this->unresolvedBatches.find(aNumber);
  if (found == this->unresolvedBatches.end()) {
    return;
  }
  const auto contents = std::move(found->second);
  this->unresolvedBatches.erase(found);
  this->lastRecordedBatch = std::max(this->lastRecordedBatch, aNumber);
  // The other unresolved batches can't be recorded any more: their contents are
  // queued again.
  auto others = std::move(this->unresolvedBatches);
  this->unresolvedBatches.clear();
  for (auto& [number, other] : others) {
    this->RequeueRecords(other);
    this->RequeueEnds(other.ends);
  }
  for (auto index = std::size_t{ 0 }; index < contents.jobs.size(); ++index) {
    if (const auto job = this->jobs.find(contents.jobs[index]);
        job != this->jobs.end()) {
      job->second->recordedState = contents.states[index];
      job->second->continuationRows = contents.continuationRows[index];
    }
    this->rejectedRecords.erase(contents.jobs[index]);
  }
  this->maxJobsPerBatch =
    std::min(this->maxJobsPerBatch * 2, kMaxRecordsPerCommit);
  this->OnDelegationsRecorded(contents);
  for (const auto& end : contents.ends) {
    const auto worker = this->workers.find(end.worker);
    if (worker != this->workers.end() &&
        worker->second.entry.startUnixMs == end.workerStartUnixMs) {
      worker->second.OnEndRecorded(end.number);
    }
  }
  for (const auto& ref : contents.plannedRuns) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run != nullptr && run->phase == RunPhase::Planned) {
      this->SendStart(aNow, context, ref);
    }
  }
}

auto
Cell::OnBatchNotRecorded(Time aNow, std::uint64_t aNumber) -> void
{
  this->OnBatchOutcomeUnknown(aNow, aNumber);
  const auto found = this->unresolvedBatches.find(aNumber);
  if (found == this->unresolvedBatches.end()) {
    return;
  }
  const auto contents = std::move(found->second);
  this->unresolvedBatches.erase(found);
  this->RequeueEnds(contents.ends);
}

auto
Cell::OnBatchRejected(Time aNow, std::uint64_t aNumber) -> void
{
  const auto found = this->unresolvedBatches.find(aNumber);
  if (found == this->unresolvedBatches.end()) {
    this->OnBatchNotRecorded(aNow, aNumber);
    return;
  }
  const auto contents = found->second;
  this->OnBatchNotRecorded(aNow, aNumber);
  if (contents.jobs.size() > 1) {
    this->maxJobsPerBatch = contents.jobs.size() / 2;
  } else if (contents.jobs.size() == 1) {
    this->HoldBack(aNow, contents.jobs[0], contents.recordHashes[0]);
  } else {
    // Rows that can't be removed do no harm.
    for (const auto& job : contents.removedRecords) {
      this->staleRecords.erase(job);
    }
    for (const auto& continuation : contents.removedContinuations) {
      this->staleContinuations.erase(continuation);
    }
    for (const auto& report : contents.removedReports) {
      this->staleReports.erase(report);
    }
  }
}

auto
Cell::RequeueEnds(const std::vector<UnrecordedEnd>& aEnds) -> void
{
  for (const auto& end : aEnds) {
    if (const auto job = this->jobs.find(end.job); job != this->jobs.end()) {
      job->second->unrecordedEnds.push_back(end);
      this->MarkDirty(*job->second, true);
    }
  }
}

auto
Cell::OnBatchOutcomeUnknown(Time aNow, std::uint64_t aNumber) -> void
{
  this->batchInFlight = false;
  this->nextBatchAt = aNow + kCommitRetryDelay;
  const auto found = this->unresolvedBatches.find(aNumber);
  if (found == this->unresolvedBatches.end()) {
    return;
  }
  this->RequeueRecords(found->second);
}

auto
Cell::RequeueRecords(const BatchContents& aContents) -> void
{
  for (const auto& id : aContents.jobs) {
    if (const auto job = this->jobs.find(id); job != this->jobs.end()) {
      this->MarkDirty(*job->second, true);
    }
  }
  this->staleRecords.insert(aContents.removedRecords.begin(),
                            aContents.removedRecords.end());
  this->staleContinuations.insert(aContents.removedContinuations.begin(),
                                  aContents.removedContinuations.end());
  this->staleReports.insert(aContents.removedReports.begin(),
                            aContents.removedReports.end());
  for (const auto& [id, number] : aContents.delegations) {
    const auto job = this->jobs.find(id);
    if (job == this->jobs.end()) {
      continue;
    }
    if (const auto tasks = job->second->delegations.find(number);
        tasks != job->second->delegations.end()) {
      tasks->second.dirty = true;
    }
  }
}

} // namespace gooseberry::cells
