// Runs of a cell: handles the answers and reports of workers.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
BackoffAfter(std::uint32_t aFailures) -> Millis
{
  constexpr std::uint32_t kMaxDoublings = 7;
  return std::min(kFailureBackoffMax,
                  kFailureBackoff * (1U << std::min(aFailures, kMaxDoublings)));
}

} // namespace

auto
Cell::OnWorkerAnswer(Time aNow, const WorkerAnswer& aAnswer) -> void
{
  const auto order = this->pendingCalls.find(aAnswer.number);
  if (order == this->pendingCalls.end()) {
    return;
  }
  const auto call = order->second;
  this->pendingCalls.erase(order);
  const auto found = this->workers.find(call.worker);
  if (found == this->workers.end()) {
    return;
  }
  auto& slot = found->second;
  if (aAnswer.outcome == CallOutcome::Fenced) {
    this->fenced = true;
    this->log.Write("fenced_at_worker",
                    { { "worker", call.worker.text },
                      { "token", std::to_string(this->fencingToken) } });
  }
  const auto isReport =
    call.kind == CallKind::Renew && aAnswer.outcome == CallOutcome::Done;
  if (aAnswer.outcome == CallOutcome::WorkerRestarted) {
    this->OnOtherWorkerAnswers(slot);
  } else if (!isReport && aAnswer.clockMs) {
    this->OnClockReading(aNow, slot, call, aAnswer);
  }
  switch (call.kind) {
    case CallKind::Start:
      this->OnStartAnswer(aNow, call.run, aAnswer);
      break;
    case CallKind::Stop:
      this->OnStopAnswer(aNow, call.run, aAnswer);
      break;
    case CallKind::Pace:
      this->OnPaceAnswer(call.run, aAnswer);
      break;
    case CallKind::Renew:
      slot.pendingRenewals.erase(aAnswer.number);
      if (isReport) {
        this->OnReport(aNow, slot, call, aAnswer);
      } else if (aAnswer.outcome == CallOutcome::NotSent && call.isForProcess) {
        slot.needsConnection = true;
        ++slot.unsentAcknowledgements;
        slot.reportRequested = true;
      } else {
        slot.silent = true;
        slot.nextRenewalAt =
          std::max(slot.nextRenewalAt, aNow + kRenewRetryDelay);
      }
      break;
    default:
      break;
  }
}

// The worker is gone, or out of reach. That proves neither: its runs last until
// its lease is over.
auto
Cell::OnOtherWorkerAnswers(WorkerSlot& aSlot) -> void
{
  if (!aSlot.addressReused) {
    this->log.Write("worker_address_reused",
                    { { "worker", aSlot.entry.id.text },
                      { "address", aSlot.entry.address },
                      { "runs", std::to_string(aSlot.runs.size()) } });
  }
  aSlot.addressReused = true;
  aSlot.silent = true;
  aSlot.reportRequested = true;
}

// The answer does not tell which process of the worker it comes from. A clock
// that went back is a later one's: clocks begin anew with the process.
auto
Cell::OnClockReading(Time aNow,
                     WorkerSlot& aSlot,
                     const PendingCall& aCall,
                     const WorkerAnswer& aAnswer) -> void
{
  if (aAnswer.number <= aSlot.lastCallBeforeRestart) {
    return;
  }
  if (*aAnswer.clockMs + kClockMargin.count() < aCall.clockLowerBound) {
    this->SuspectRestart(aNow, aSlot, aCall.grantsLease, "clock");
    return;
  }
  UpdateClockSample(aNow, aSlot, *aAnswer.clockMs);
}

auto
Cell::UpdateClockSample(Time aNow, WorkerSlot& aSlot, std::int64_t aClockMs)
  -> void
{
  if (!aSlot.clockSample || aClockMs >= aSlot.clockSample->clockMs) {
    aSlot.clockSample = ClockSample{ aClockMs, aNow };
    aSlot.lastAnswerAt = aNow;
  }
}

auto
Cell::OnStartAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
  -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  if (run == nullptr || run->phase != RunPhase::Starting) {
    return;
  }
  auto& slot = *run->worker;
  if (this->log.IsSampled(aRef.task.job)) {
    this->log.Write(
      "start_answered",
      { { "task", ToText(aRef.task) },
        { "run", std::to_string(aRef.run) },
        { "worker", slot.entry.id.text },
        { "answer", ToText(aAnswer.outcome) },
        { "reason", aAnswer.reason },
        { "clock_ms", aAnswer.clockMs ? std::to_string(*aAnswer.clockMs) : "" },
        { "took_ms",
          std::to_string(ToMillis(aNow - run->phaseSince).count()) } });
  }
  switch (aAnswer.outcome) {
    case CallOutcome::Done:
      this->MarkJobStarted(aNow, *context.job);
      this->adviser.OnTicketAccepted(aNow, StepOf(aRef.task));
      run->phase = RunPhase::Running;
      run->phaseSince = aNow;
      run->startedAt = aNow;
      run->lowSpeedSince = aNow;
      run->lastProgressAt = aNow;
      run->startConfirmedAtCall = this->lastCallNumber;
      slot.nextRenewalAt =
        std::min(slot.nextRenewalAt, aNow + kMinRenewInterval);
      if (run->stopReason != StopReason::None) {
        run->phase = RunPhase::Stopping;
        run->stopSent = false;
        this->dueStops.insert(aRef);
      }
      return;
    case CallOutcome::Unanswered:
    case CallOutcome::UnreadableAnswer:
      this->CountEvent(CellEvent::StartUnanswered);
      run->phase = RunPhase::StartUnconfirmed;
      run->phaseSince = aNow;
      run->stopSent = false;
      slot.reportRequested = true;
      slot.noStartsUntil = aNow + kRefusalAvoidTime;
      if (run->stopReason != StopReason::None) {
        run->phase = RunPhase::Stopping;
        this->dueStops.insert(aRef);
      }
      return;
    default:
      // The call was not carried out, and will not be.
      this->CountEvent(CellEvent::StartRefused);
      slot.reportRequested =
        slot.reportRequested || aAnswer.outcome == CallOutcome::NoRoom;
      if (aAnswer.outcome == CallOutcome::InvalidTicket) {
        // Says nothing of the worker.
        this->OnTicketRefused(aNow, aRef.task, slot);
      } else {
        slot.noStartsUntil = aNow + kRefusalAvoidTime;
      }
      run->neverBegan = true;
      this->DropRun(aNow, aRef, ToText(aAnswer.outcome));
      return;
  }
}

auto
Cell::OnStopAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
  -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  if (run == nullptr) {
    return;
  }
  if (aAnswer.outcome == CallOutcome::Done) {
    run->stopConfirmedAtCall = this->lastCallNumber;
    if (run->stopReason == StopReason::StartUnanswered) {
      run->worker->reportRequested = true;
    }
    return;
  }
  // The stop is sent again with the next round of calls.
  run->stopSent = false;
  run->phaseSince = aNow;
  run->worker->reportRequested = true;
  this->dueStops.insert(aRef);
}

auto
Cell::OnPaceAnswer(const RunRef& aRef, const WorkerAnswer& aAnswer) -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  if (run != nullptr && aAnswer.outcome != CallOutcome::Done) {
    run->speedUncertain = true;
    run->worker->reportRequested = true;
  }
}

auto
Cell::OnReport(Time aNow,
               WorkerSlot& aSlot,
               const PendingCall& aCall,
               const WorkerAnswer& aAnswer) -> void
{
  const auto clock = aAnswer.clockMs.value_or(0);
  auto& knownStart = aSlot.entry.startUnixMs;
  const auto start =
    aAnswer.workerStartUnixMs == 0 ? knownStart : aAnswer.workerStartUnixMs;
  const auto fromOther = knownStart != 0 && start != knownStart;
  // Start times are times of day, which may be set back.
  if (fromOther && aAnswer.number <= aSlot.lastCallAtReport) {
    aSlot.reportRequested = true;
    return;
  }
  this->planNeeded = this->planNeeded || aSlot.silent;
  aSlot.silent = false;
  aSlot.addressReused = false;
  aSlot.needsConnection = false;
  if (knownStart == 0) {
    knownStart = start;
  } else if (fromOther) {
    this->OnWorkerRestart(aNow, aSlot, start);
  } else if (aSlot.restartSuspected && aAnswer.number > aSlot.suspectedAtCall) {
    aSlot.restartSuspected = false;
    this->planNeeded = true;
  }
  aSlot.lastCallAtReport = this->lastCallNumber;
  UpdateClockSample(aNow, aSlot, clock);
  if (aCall.acknowledgedEnd > 0 &&
      aAnswer.number > aSlot.lastCallBeforeRestart) {
    aSlot.acknowledgedEnd =
      std::max(aSlot.acknowledgedEnd, aCall.acknowledgedEnd);
    aSlot.unsentAcknowledgements = 0;
  }
  if (!aSlot.reconciled) {
    aSlot.reconciled = true;
    this->RetireEarlierWorkers(aNow, aSlot);
    aSlot.inheritedLeaseEndMs =
      clock + this->InheritedLease(aNow, aSlot).count();
    aSlot.leaseEndMs =
      std::max(aSlot.leaseEndMs.value_or(0), aSlot.inheritedLeaseEndMs);
    this->planNeeded = true;
  }
  this->SettleLosses(aNow, aSlot);
  auto runEnded = false;
  for (const auto& end : aAnswer.ended) {
    if (end.number > aSlot.lastSeenEnd) {
      aSlot.OnEndSeen(end.number);
      this->OnEndReport(aNow, aSlot, end);
      runEnded = true;
    }
  }
  if (aAnswer.ended.size() >= kMaxListedEnds) {
    this->ReleaseUnrecordableEnds(aSlot);
  }
  // Answers may arrive out of order. One with the same clock as the newest may
  // be older than that: runs that it does not list may have started since.
  if (clock >= aSlot.lastReportClockMs) {
    const auto newer = clock > aSlot.lastReportClockMs;
    aSlot.lastReportClockMs = clock;
    aSlot.lastReportAt = aNow;
    auto seen = std::set<RunRef>{};
    for (const auto& report : aAnswer.running) {
      this->OnRunReport(aNow, aSlot, report, seen);
    }
    if (aAnswer.unreadableEntries == 0 && newer) {
      this->OnMissingRuns(aNow, aSlot, seen, aAnswer);
    }
    if (aNow >= aSlot.nextProgressCheckAt) {
      aSlot.nextProgressCheckAt = aNow + kProgressCheckInterval;
      this->CheckProgress(aNow, aSlot);
    }
    this->LearnFromReport(aNow, aSlot);
    this->SetPaces(aNow, aSlot);
  }
  this->CountLostRuns(aNow, aSlot);
  aSlot.nextRenewalAt = aNow + kMinRenewInterval;
  this->planNeeded = this->planNeeded || runEnded;
}

// Only for jobs whose records are rejected while others are taken. Nothing of
// such a job is started until its record is taken as well.
auto
Cell::ReleaseUnrecordableEnds(WorkerSlot& aSlot) -> void
{
  for (const auto& [id, rejected] : this->rejectedRecords) {
    const auto job = this->jobs.find(id);
    if (job == this->jobs.end() ||
        this->lastRecordedBatch <= rejected.lastBatch) {
      continue;
    }
    for (const auto& end : job->second->unrecordedEnds) {
      if (end.worker == aSlot.entry.id &&
          end.workerStartUnixMs == aSlot.entry.startUnixMs &&
          aSlot.unrecordedEnds.contains(end.number)) {
        aSlot.OnEndRecorded(end.number);
        this->log.Write("end_not_recorded",
                        { { "job", id.Text() },
                          { "worker", aSlot.entry.id.text },
                          { "end", std::to_string(end.number) } });
      }
    }
  }
}

auto
Cell::OnRunReport(Time aNow,
                  WorkerSlot& aSlot,
                  const RunReport& aReport,
                  std::set<RunRef>& aSeen) -> void
{
  const auto ref = RunRef{ aReport.task, aReport.runNumber };
  aSeen.insert(ref);
  const auto [context, run] = this->FindTaskAndRun(ref);
  if (run == nullptr || run->worker != &aSlot) {
    if (aSlot.orphanRuns.insert(ref).second) {
      this->CountEvent(CellEvent::OrphanRun);
      this->LogOrphan(aNow, aSlot, ref);
    }
    this->SendStop(aNow, aSlot, ref);
    return;
  }
  if (run->workerStartUnixMs != aSlot.entry.startUnixMs) {
    run->workerStartUnixMs = aSlot.entry.startUnixMs;
    run->startConfirmedAtCall = this->lastCallNumber;
    this->MarkDirty(*context.job, false);
  }
  const auto inherited = run->phase == RunPhase::Inherited;
  if (run->phase == RunPhase::Starting ||
      run->phase == RunPhase::StartUnconfirmed || inherited) {
    this->MarkJobStarted(aNow, *context.job);
    if (run->startedAt == Time{}) {
      // The answer to the start is lost, or comes later than this report.
      run->startedAt = run->phaseSince;
    }
    run->phase = run->stopReason == StopReason::None ? RunPhase::Running
                                                     : RunPhase::Stopping;
    run->phaseSince = aNow;
    run->lastProgressAt = aNow;
    run->startConfirmedAtCall = this->lastCallNumber;
    run->stopSent = false;
    if (run->phase == RunPhase::Stopping) {
      this->dueStops.insert(ref);
    }
  }
  run->mayHaveEnded = false;
  this->ClearSuspicion(aNow, context, *run);
  if (aReport.percent != run->progressPercent || !run->hasReported) {
    run->lastProgressAt = aNow;
  }
  if (!run->hasReported) {
    run->hasReported = true;
    // A run without a checkpoint began at zero progress when it was started.
    const auto fresh = run->checkpoint.empty() && !inherited;
    run->initialPercent = fresh ? 0.0 : aReport.percent;
    if (!fresh) {
      run->startedAt = aNow;
    }
  }
  run->progressPercent = aReport.percent;
  if (context.spec->tailLatencyTarget.count() > 0) {
    this->UpdateTail(aNow, aSlot, *run, aReport.tailMsOrCpuMillis);
  }
  run->lastMeasurement = aReport.tailMsOrCpuMillis;
  if (aReport.checkpoint != run->checkpoint && !aReport.checkpoint.empty()) {
    run->checkpoint = aReport.checkpoint;
    CheckpointHolder(context).checkpoint = aReport.checkpoint;
  }
}

auto
Cell::LogOrphan(Time aNow, const WorkerSlot& aSlot, const RunRef& aRef) -> void
{
  auto why = std::string{};
  auto forgottenMs = std::string{};
  auto runs = std::string{};
  if (const auto* const task = this->FindTask(aRef.task).task) {
    runs = std::to_string(task->runs.size());
    if (task->forgotten && task->forgotten->number == aRef.run) {
      why = task->forgotten->why;
      forgottenMs =
        std::to_string(ToMillis(aNow - task->forgotten->at).count());
    }
  }
  this->log.Write("orphan_found",
                  { { "task", ToText(aRef.task) },
                    { "run", std::to_string(aRef.run) },
                    { "worker", aSlot.entry.id.text },
                    { "why", why },
                    { "forgotten_ms", forgottenMs },
                    { "runs", runs } });
}

auto
Cell::OnEndReport(Time aNow, WorkerSlot& aSlot, const EndReport& aEnd) -> void
{
  const auto ref = RunRef{ aEnd.task, aEnd.runNumber };
  aSlot.orphanRuns.erase(ref);
  const auto [context, run] = this->FindTaskAndRun(ref);
  const auto active = run != nullptr && run->worker == &aSlot;
  // A run that was dropped may have been done before its lease expired.
  const auto doneAfterDrop =
    !active && context.task != nullptr && aEnd.outcome == RunOutcome::Done &&
    !context.spec->longRunning && context.task->phase == TaskPhase::Open;
  if (!active && !doneAfterDrop) {
    aSlot.OnEndRecorded(aEnd.number);
    return;
  }
  auto& job = *context.job;
  auto& task = *context.task;
  this->MarkJobStarted(aNow, job);
  if (this->log.IsSampled(job.Id())) {
    this->log.Write(
      "run_ended",
      { { "task", ToText(ref.task) },
        { "run", std::to_string(ref.run) },
        { "worker", aSlot.entry.id.text },
        { "how", ToText(aEnd.outcome) },
        { "stopping", active ? ToText(run->stopReason) : "given_up" },
        { "ran_ms",
          active && run->startedAt != Time{}
            ? std::to_string(ToMillis(aNow - run->startedAt).count())
            : "" } });
  }
  if (!aEnd.checkpoint.empty()) {
    CheckpointHolder(context).checkpoint = aEnd.checkpoint;
  }
  const auto longRunning = context.spec->longRunning;
  if (active) {
    this->UpdateWorkerHealth(aNow, context, *run, aEnd.outcome);
    this->CountSecondRunCosts(aNow,
                              context,
                              ref,
                              *run,
                              aEnd.outcome == RunOutcome::Done &&
                                task.phase == TaskPhase::Open &&
                                !IsFinal(job.state));
    this->RemoveRun(aNow, context, ref);
  }
  job.unrecordedEnds.push_back(
    { job.Id(), aSlot.entry.id, aSlot.entry.startUnixMs, aEnd.number });
  this->MarkDirty(job, false);
  this->planNeeded = true;
  switch (aEnd.outcome) {
    case RunOutcome::Done:
      this->CountEvent(CellEvent::RunDone);
      if (longRunning || task.phase != TaskPhase::Open || IsFinal(job.state)) {
        this->ReturnIfRecalled(context);
        return;
      }
      if (context.spec->gang) {
        this->FinishGang(aNow, context);
      } else {
        task.phase = TaskPhase::Done;
        this->StopRuns(aNow, ref.task, task, StopReason::OtherRunFinished);
        this->EndTask(aNow, context);
      }
      return;
    case RunOutcome::Failed:
      this->CountEvent(CellEvent::RunFailed);
      if (!longRunning && task.phase == TaskPhase::Open &&
          !IsFinal(job.state) && IsFirstGangFailure(context, ref.run)) {
        this->CountFailure(aNow, context);
      }
      break;
    case RunOutcome::LeaseExpired:
      this->CountEvent(CellEvent::RunLeaseExpired);
      break;
    default:
      break;
  }
  this->ReturnIfRecalled(context);
  this->StopGang(aNow, ref.task);
}

// The failures of a gang are counted at its first task.
auto
Cell::CountFailure(Time aNow, const TaskContext& aContext) -> void
{
  auto& job = *aContext.job;
  auto& holder = CheckpointHolder(aContext);
  ++holder.failures;
  holder.earliestStart = aNow + BackoffAfter(holder.failures);
  if (holder.failures >= job.row.policy.maxAttempts) {
    this->FailTask(aNow, aContext);
  }
}

auto
Cell::FailTask(Time aNow, const TaskContext& aContext) -> void
{
  auto& job = *aContext.job;
  CheckpointHolder(aContext).phase = TaskPhase::Failed;
  if (job.IsHosted()) {
    this->MarkDirty(job, true);
    return;
  }
  this->EndJob(aNow, job, JobState::Failed, StopReason::JobFailed);
}

auto
Cell::OnMissingRuns(Time aNow,
                    WorkerSlot& aSlot,
                    const std::set<RunRef>& aSeen,
                    const WorkerAnswer& aReport) -> void
{
  const auto clock = aReport.clockMs.value_or(0);
  // The report may have left out the end of a run that it does not list.
  const auto isComplete = aReport.IsComplete();
  const auto drop = [&](const RunRef& aRef, const char* aWhy) {
    if (isComplete) {
      this->NoteLostRun(aSlot, aRef);
      this->DropRun(aNow, aRef, aWhy);
    }
  };
  const auto known = aSlot.runs;
  for (const auto& ref : known) {
    if (aSeen.contains(ref)) {
      continue;
    }
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr) {
      continue;
    }
    run->mayHaveEnded = true;
    switch (run->phase) {
      case RunPhase::Planned:
      case RunPhase::Starting:
        break;
      case RunPhase::Inherited:
        // The worker answered under this owner's fencing token, so it refuses
        // the earlier owner's calls from now on.
        drop(ref, "never started");
        break;
      case RunPhase::StartUnconfirmed:
        if (clock > run->startLeaseEndMs + kClockMargin.count()) {
          drop(ref, "start call expired");
        } else {
          // Once the stop is answered, the start call can't take effect any
          // more.
          this->StopRun(aNow, ref, *run, StopReason::StartUnanswered);
        }
        break;
      case RunPhase::Stopping:
        if (run->stopConfirmedAtCall &&
            aReport.number > *run->stopConfirmedAtCall) {
          drop(ref, "not reported after its stop");
        }
        break;
      case RunPhase::Running:
        if (aReport.number > run->startConfirmedAtCall) {
          drop(ref, "vanished");
        }
        break;
      default:
        break;
    }
  }
}

auto
Cell::DropRun(Time aNow, const RunRef& aRef, const char* aWhy) -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  if (run == nullptr) {
    return;
  }
  const auto mayHaveStarted =
    run->phase != RunPhase::Planned && !run->neverBegan;
  if (mayHaveStarted || this->log.IsSampled(aRef.task.job)) {
    this->log.Write("run_forgotten",
                    { { "task", ToText(aRef.task) },
                      { "run", std::to_string(aRef.run) },
                      { "worker", run->worker->entry.id.text },
                      { "phase", ToText(run->phase) },
                      { "why", aWhy } });
  }
  if (mayHaveStarted) {
    context.task->forgotten = ForgottenRun{ aRef.run, aWhy, aNow };
  }
  if (run->phase == RunPhase::Running || run->phase == RunPhase::Inherited) {
    this->CountEvent(CellEvent::RunLost);
  }
  this->CountSecondRunCosts(aNow, context, aRef, *run, false);
  this->RemoveRun(aNow, context, aRef);
  this->ReturnIfRecalled(context);
  context.task->earliestStart = std::max(context.task->earliestStart, aNow);
  this->MarkDirty(*context.job, false);
  this->planNeeded = true;
  this->StopGang(aNow, aRef.task);
}

auto
Cell::RemoveRun(Time aNow, const TaskContext& aContext, const RunRef& aRef)
  -> void
{
  auto* const run = aContext.task->FindRun(aRef.run);
  if (aContext.spec->bestEffort && run->phase != RunPhase::Planned) {
    constexpr double kFullPercent = 100.0;
    const auto capacity = static_cast<double>(
      std::max<std::int64_t>(run->worker->entry.capacity.cpuMillis, 1));
    run->worker->endedBestEffortRuns.push_back(
      { aContext.image,
        static_cast<double>(aContext.spec->taskResources.cpuMillis) / capacity *
          run->speedPercent / kFullPercent,
        std::max(run->startedAt, run->speedSetAt),
        aNow });
  }
  run->worker->ReleaseRun(
    aRef, *aContext.spec, aContext.image, *aContext.job->account);
  std::erase_if(aContext.task->runs,
                [&](const Run& aRun) { return aRun.number == aRef.run; });
  aContext.step->Reopen(aRef.task.index);
  aContext.job->recordFull = false;
}

} // namespace gooseberry::cells
