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
    };
  return kNames.at(static_cast<std::size_t>(aEvent));
}

Cell::Cell(CellOptions aOptions, CellTakeover aTakeover, DecisionLog& aLog)
  : options(aOptions)
  , fencingToken(aTakeover.fencingToken)
  , takenAt(aTakeover.now)
  , earlierLease(std::max(aTakeover.earlierLease, aOptions.lease))
  , earlierLapses(std::move(aTakeover.lapses))
  , confirmedAt(aTakeover.now)
  , siteFreshAt(aTakeover.now)
  , log(aLog)
  , staleRecords(aTakeover.orphanRecords.begin(), aTakeover.orphanRecords.end())
{
  for (const auto& [row, record] : aTakeover.jobs) {
    this->AddJob(
      aTakeover.now, aTakeover.nowUnixMs, row, record ? &*record : nullptr);
  }
  for (const auto& job : aTakeover.cancelled) {
    this->OnCancel(aTakeover.now, job);
  }
  if (aTakeover.learnt) {
    this->Hear(*aTakeover.learnt, aTakeover.learntAge);
  }
}

Cell::~Cell() = default;

auto
Cell::OnConfig(std::shared_ptr<const SiteConfig> aConfig) -> void
{
  this->config = std::move(aConfig);
  for (auto& [id, job] : this->jobs) {
    if (const auto* queue = this->config->FindQueue(job->row.queue)) {
      job->row.policy = queue->policy;
    }
  }
  for (auto& [id, slot] : this->workers) {
    if (const auto service = this->config->services.find(slot.entry.service);
        service != this->config->services.end()) {
      slot.guardsCapacity = service->second.guardsCapacity;
    }
  }
  this->planNeeded = true;
}

auto
Cell::OnEvacuations(Time aNow, std::set<DomainId> aDomains) -> void
{
  if (this->evacuated == aDomains) {
    return;
  }
  this->evacuated = std::move(aDomains);
  for (auto& [id, slot] : this->workers) {
    if (!this->evacuated.contains(slot.entry.domain)) {
      continue;
    }
    // Runs that have been started may finish there; only planned starts are
    // dropped.
    const auto runs = slot.runs;
    for (const auto& ref : runs) {
      const auto [context, run] = this->FindActive(ref);
      if (run != nullptr && run->phase == RunPhase::Planned) {
        this->ForgetRun(aNow, ref, "evacuated");
      }
    }
  }
  this->planNeeded = true;
}

auto
Cell::FindJob(const JobId& aJob) const -> const Job*
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() || found->second->rows == JobRows::Gone
           ? nullptr
           : found->second.get();
}

auto
Cell::PendingIn(const QueueId& aQueue) const -> std::size_t
{
  const auto found = this->pending.find(aQueue);
  return found == this->pending.end() ? 0 : found->second;
}

auto
Cell::Pending() const -> std::map<std::string, std::size_t>
{
  auto counts = std::map<std::string, std::size_t>{};
  for (const auto& [queue, count] : this->pending) {
    if (count > 0) {
      counts.emplace(queue.text, count);
    }
  }
  return counts;
}

auto
Cell::Counts() const -> const CellCounts&
{
  return this->counts;
}

auto
Cell::Workers() const -> const std::map<WorkerId, WorkerSlot>&
{
  return this->workers;
}

auto
Cell::Jobs() const -> std::size_t
{
  return this->jobs.size();
}

auto
Cell::SeenFenced() const -> bool
{
  return this->fenced;
}

auto
Cell::Count(CellEvent aEvent) -> void
{
  ++this->counts[static_cast<std::size_t>(aEvent)];
}

auto
ToText(SpanKind aKind) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(SpanKind::SpanKind_NB)>
    kNames{ "first_start", "place", "job" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

auto
Cell::TakeSpans() -> std::vector<Span>
{
  return std::exchange(this->spans, {});
}

// Drops the sample if too many have not been taken yet.
auto
Cell::Note(SpanKind aKind, Micros aTime) -> void
{
  if (this->spans.size() < kMaxSpans) {
    this->spans.push_back({ aKind, aTime });
  }
}

auto
Cell::Find(const TaskName& aName) -> TaskPlace
{
  const auto found = this->jobs.find(aName.job);
  if (found == this->jobs.end()) {
    return {};
  }
  auto context = TaskPlace{ found->second.get() };
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
  context.image = context.job->images[aName.step];
  return context;
}

auto
Cell::FindActive(const RunRef& aRef) -> std::pair<TaskPlace, Run*>
{
  const auto context = this->Find(aRef.task);
  return { context,
           context.task == nullptr ? nullptr
                                   : context.task->FindRun(aRef.run) };
}

auto
Cell::Touch(Job& aJob, bool aUrgent) -> void
{
  aJob.dirty = true;
  this->dirty.insert(aJob.Id());
  this->hasty = this->hasty || aUrgent;
}

auto
Cell::OnTick(Time aNow, std::int64_t aNowUnixMs) -> void
{
  for (auto& [id, job] : this->activeJobs) {
    if (job->Spec().Timed()) {
      this->OpenOccurrences(aNow, *job, aNowUnixMs);
    }
  }
  this->LapseWorkers(aNow);
  const auto planDue = this->planNeeded || aNow >= this->planAgain;
  const auto siteKnown = aNow < this->siteFreshAt + kSiteFreshness;
  if (planDue && siteKnown && aNow >= this->plannedAt + kPlanGap) {
    this->planNeeded = false;
    this->planAgain = Time::max();
    this->plannedAt = aNow;
    this->PlanStarts(aNow);
  }
  this->SendStops(aNow);
  this->RenewWorkers(aNow);
  this->DropEndedJobs(aNow);
  this->TellLoad(aNow);
}

auto
Cell::OnSiteFresh(Time aFreshAt) -> void
{
  this->siteFreshAt = aFreshAt;
}

auto
Cell::OnConfirmed(Time aAskedAt) -> void
{
  this->confirmedAt = std::max(this->confirmedAt, aAskedAt);
}

auto
Cell::SilentWorkers() -> std::map<WorkerId, Time>
{
  auto silent = std::map<WorkerId, Time>{};
  for (auto& [id, slot] : this->workers) {
    if (slot.silent && !slot.runs.empty()) {
      silent.emplace(id, slot.LapsedBy());
      slot.toldSilent = true;
    }
  }
  return silent;
}

auto
Cell::OnSilentWritten(const std::map<std::string, std::int64_t>& aSilent)
  -> void
{
  for (auto& [id, slot] : this->workers) {
    slot.toldSilent = slot.toldSilent && aSilent.contains(id.text);
  }
}

// A stale record whose job id is in use again is overwritten instead of being
// removed.
auto
Cell::AddRemovals(RecordBatch& aBatch, BatchNotes& aContents) -> void
{
  auto stale = this->staleRecords.begin();
  while (stale != this->staleRecords.end() &&
         aBatch.records.size() + aBatch.removals.size() <
           kMaxRecordsPerCommit) {
    const auto job = this->jobs.find(*stale);
    if (job == this->jobs.end() || job->second->rows == JobRows::Gone) {
      aBatch.removals.push_back(*stale);
    }
    stale = this->staleRecords.erase(stale);
  }
  aContents.removed = aBatch.removals;
}

auto
Cell::NextBatch(Time aNow) -> std::optional<RecordBatch>
{
  if ((this->dirty.empty() && this->staleRecords.empty()) ||
      this->batchInFlight || aNow < this->nextBatch) {
    return std::nullopt;
  }
  if (!this->dirtySince) {
    this->dirtySince = aNow;
  }
  if (!this->hasty && aNow < *this->dirtySince + kLazyCommit) {
    return std::nullopt;
  }
  auto batch = RecordBatch{ ++this->lastBatch };
  auto& contents = this->batches[batch.number];
  while (!this->dirty.empty() && batch.records.size() < kMaxRecordsPerCommit) {
    auto& job = *this->jobs.at(*this->dirty.begin());
    this->dirty.erase(this->dirty.begin());
    job.dirty = false;
    batch.records.emplace_back(job.Id(), EncodeRecord(RecordOf(job)));
    contents.jobs.push_back(job.Id());
    contents.states.push_back(job.state);
    for (auto& [number, occurrence] : job.occurrences) {
      for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
           ++step) {
        auto& tasks = occurrence.steps[step].tasks;
        for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
          for (const auto& run : tasks[index].runs) {
            if (run.phase == RunPhase::Planned) {
              contents.planned.push_back(
                { { job.Id(), number, step, index }, run.number });
            }
          }
        }
      }
    }
    std::move(job.unrecordedEnds.begin(),
              job.unrecordedEnds.end(),
              std::back_inserter(contents.ends));
    job.unrecordedEnds.clear();
  }
  this->AddRemovals(batch, contents);
  this->hasty = !this->dirty.empty();
  this->dirtySince.reset();
  this->batchInFlight = true;
  this->nextBatch = aNow + kCommitGap;
  return batch;
}

auto
Cell::OnRecorded(Time aNow, std::uint64_t aNumber) -> void
{
  this->batchInFlight = false;
  const auto found = this->batches.find(aNumber);
  if (found == this->batches.end()) {
    return;
  }
  const auto contents = std::move(found->second);
  this->batches.erase(found);
  // The other unresolved batches can't be recorded any more: their contents are
  // queued again.
  auto others = std::move(this->batches);
  this->batches.clear();
  for (auto& [number, other] : others) {
    this->ReturnNotes(other);
    this->ReturnEnds(other.ends);
  }
  for (auto index = std::size_t{ 0 }; index < contents.jobs.size(); ++index) {
    if (const auto job = this->jobs.find(contents.jobs[index]);
        job != this->jobs.end()) {
      job->second->recorded = contents.states[index];
    }
  }
  for (const auto& end : contents.ends) {
    const auto worker = this->workers.find(end.worker);
    if (worker != this->workers.end() &&
        worker->second.entry.bornUnixMs == end.bornUnixMs) {
      worker->second.NoteRecorded(end.number);
    }
  }
  for (const auto& ref : contents.planned) {
    const auto [context, run] = this->FindActive(ref);
    if (run != nullptr && run->phase == RunPhase::Planned) {
      this->SendStart(aNow, context, ref);
    }
  }
}

auto
Cell::OnNotRecorded(Time aNow, std::uint64_t aNumber) -> void
{
  this->OnRecordUnknown(aNow, aNumber);
  const auto found = this->batches.find(aNumber);
  if (found == this->batches.end()) {
    return;
  }
  const auto contents = std::move(found->second);
  this->batches.erase(found);
  this->ReturnEnds(contents.ends);
}

auto
Cell::ReturnEnds(const std::vector<PendingEnd>& aEnds) -> void
{
  for (const auto& end : aEnds) {
    if (const auto job = this->jobs.find(end.job); job != this->jobs.end()) {
      job->second->unrecordedEnds.push_back(end);
      this->Touch(*job->second, true);
    }
  }
}

auto
Cell::OnRecordUnknown(Time aNow, std::uint64_t aNumber) -> void
{
  this->batchInFlight = false;
  this->nextBatch = aNow + kCommitRetry;
  const auto found = this->batches.find(aNumber);
  if (found == this->batches.end()) {
    return;
  }
  this->ReturnNotes(found->second);
}

auto
Cell::ReturnNotes(const BatchNotes& aContents) -> void
{
  for (const auto& id : aContents.jobs) {
    if (const auto job = this->jobs.find(id); job != this->jobs.end()) {
      this->Touch(*job->second, true);
    }
  }
  this->staleRecords.insert(aContents.removed.begin(), aContents.removed.end());
}

} // namespace gooseberry::cells
