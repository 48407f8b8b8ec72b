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
Cell::OnWorkers(Time aNow, const WorkerTable& aWorkers) -> void
{
  for (auto& [id, slot] : this->workers) {
    slot.listed = slot.listed && aWorkers.contains(id);
    slot.superseded = false;
  }
  for (const auto& [id, entry] : aWorkers) {
    auto [item, added] = this->workers.try_emplace(id);
    auto& slot = item->second;
    const auto previousStart = slot.entry.startUnixMs;
    const auto hasPreviousStart = !added && previousStart != 0;
    if (added || slot.entry.address.empty()) {
      slot.nextRenewalAt = aNow;
    }
    if (!added && (slot.entry.leaving != entry.leaving ||
                   slot.entry.capacity != entry.capacity)) {
      this->planNeeded = true;
    }
    slot.entry = entry;
    if (hasPreviousStart) {
      slot.entry.startUnixMs = previousStart;
    }
    if (hasPreviousStart && entry.startUnixMs > previousStart) {
      this->OnWorkerRestart(aNow, slot, entry.startUnixMs);
    }
    slot.listed = true;
    if (slot.reconciled) {
      this->RetireEarlierWorkers(aNow, slot);
    }
    if (!slot.clockSample && entry.startUnixMs == slot.entry.startUnixMs) {
      slot.clockSample = ClockSample{ entry.clockMs, aNow };
    }
    if (this->config) {
      const auto service = this->config->services.find(entry.service);
      slot.enforcesCapacity = service == this->config->services.end() ||
                              service->second.enforcesCapacity;
    }
    this->planNeeded = this->planNeeded || added;
  }
}

// A machine runs one worker at a time: once a later one is listed and has
// answered, the runs of the earlier ones no longer exist. The entry alone
// proves nothing: anybody can write one.
auto
Cell::RetireEarlierWorkers(Time aNow, const WorkerSlot& aSlot) -> void
{
  if (aSlot.entry.machine.Empty()) {
    return;
  }
  for (auto& [id, other] : this->workers) {
    if (&other == &aSlot || other.entry.machine != aSlot.entry.machine ||
        other.entry.startUnixMs >= aSlot.entry.startUnixMs) {
      continue;
    }
    other.superseded = true;
    if (other.runs.empty()) {
      continue;
    }
    this->log.Write("machine_lives_anew",
                    { { "machine", aSlot.entry.machine.text },
                      { "worker", id.text },
                      { "now", aSlot.entry.id.text },
                      { "runs", std::to_string(other.runs.size()) } });
    this->OnWorkerLost(aNow, other, true, "its machine started a new worker");
  }
}

auto
Cell::OnWorkerAnswer(Time aNow, const WorkerAnswer& aAnswer) -> void
{
  const auto order = this->pendingCalls.find(aAnswer.number);
  if (order == this->pendingCalls.end()) {
    return;
  }
  const auto [worker, ref] = order->second;
  const auto kind = this->pendingCallKinds.at(aAnswer.number);
  this->pendingCalls.erase(order);
  this->pendingCallKinds.erase(aAnswer.number);
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) {
    return;
  }
  auto& slot = found->second;
  if (aAnswer.outcome == CallOutcome::Fenced) {
    this->fenced = true;
    this->log.Write("fenced_at_worker",
                    { { "worker", worker.text },
                      { "token", std::to_string(this->fencingToken) } });
  }
  if (aAnswer.clockMs &&
      (!slot.clockSample || *aAnswer.clockMs >= slot.clockSample->clockMs)) {
    slot.clockSample = ClockSample{ *aAnswer.clockMs, aNow };
    slot.lastAnswerAt = aNow;
  }
  switch (kind) {
    case CallKind::Start:
      this->OnStartAnswer(aNow, ref, aAnswer);
      break;
    case CallKind::Stop:
      this->OnStopAnswer(aNow, ref, aAnswer);
      break;
    case CallKind::Pace:
      this->OnPaceAnswer(ref, aAnswer);
      break;
    case CallKind::Renew:
      slot.pendingRenewals.erase(aAnswer.number);
      this->planNeeded = this->planNeeded || slot.silent;
      slot.silent = aAnswer.outcome != CallOutcome::Done;
      if (aAnswer.outcome == CallOutcome::Done) {
        this->OnReport(aNow, slot, aAnswer);
      } else {
        slot.nextRenewalAt =
          std::max(slot.nextRenewalAt, aNow + kRenewRetryDelay);
      }
      break;
    default:
      break;
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
        { "took_ms",
          std::to_string(ToMillis(aNow - run->phaseSince).count()) } });
  }
  switch (aAnswer.outcome) {
    case CallOutcome::Done:
      this->MarkJobStarted(aNow, *context.job);
      run->phase = RunPhase::Running;
      run->phaseSince = aNow;
      run->startedAt = aNow;
      run->lowSpeedSince = aNow;
      run->lastProgressAt = aNow;
      run->startConfirmedMs = aAnswer.clockMs.value_or(0);
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
    case CallOutcome::WorkerRestarted:
      run->neverBegan = true;
      slot.reportRequested = true;
      slot.noStartsUntil = aNow + kRefusalAvoidTime;
      run->phase = RunPhase::StartUnconfirmed;
      run->phaseSince = aNow;
      return;
    default:
      // The call was not carried out, and will not be.
      this->CountEvent(CellEvent::StartRefused);
      slot.noStartsUntil = aNow + kRefusalAvoidTime;
      slot.reportRequested =
        slot.reportRequested || aAnswer.outcome == CallOutcome::NoRoom;
      if (aAnswer.outcome == CallOutcome::InvalidTicket) {
        this->OnTicketRefused(aRef.task, slot);
      }
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
    run->stopConfirmedMs = aAnswer.clockMs.value_or(0);
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
Cell::OnReport(Time aNow, WorkerSlot& aSlot, const WorkerAnswer& aAnswer)
  -> void
{
  const auto clock = aAnswer.clockMs.value_or(0);
  if (aAnswer.workerStartUnixMs != 0 && aSlot.entry.startUnixMs != 0 &&
      aAnswer.workerStartUnixMs != aSlot.entry.startUnixMs) {
    if (aAnswer.workerStartUnixMs < aSlot.entry.startUnixMs) {
      return;
    }
    this->OnWorkerRestart(aNow, aSlot, aAnswer.workerStartUnixMs);
    aSlot.clockSample = ClockSample{ clock, aNow };
  } else if (aSlot.entry.startUnixMs == 0) {
    this->SetWorkerStart(aSlot, aAnswer.workerStartUnixMs);
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
      this->OnMissingRuns(aNow, aSlot, seen, clock);
    }
    if (aNow >= aSlot.nextProgressCheckAt) {
      aSlot.nextProgressCheckAt = aNow + kProgressCheckInterval;
      this->CheckProgress(aNow, aSlot);
    }
    this->LearnFromReport(aNow, aSlot);
    this->SetPaces(aNow, aSlot);
  }
  aSlot.nextRenewalAt = aNow + kMinRenewInterval;
  this->planNeeded = this->planNeeded || runEnded;
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
      this->log.Write("orphan_found",
                      { { "task", ToText(ref.task) },
                        { "run", std::to_string(ref.run) },
                        { "worker", aSlot.entry.id.text } });
    }
    this->SendStop(aNow, aSlot, ref);
    return;
  }
  const auto inherited = run->phase == RunPhase::Inherited;
  if (run->phase == RunPhase::Starting ||
      run->phase == RunPhase::StartUnconfirmed || inherited) {
    this->MarkJobStarted(aNow, *context.job);
    run->phase = run->stopReason == StopReason::None ? RunPhase::Running
                                                     : RunPhase::Stopping;
    run->phaseSince = aNow;
    run->lastProgressAt = aNow;
    run->startConfirmedMs =
      std::max(run->startConfirmedMs, aSlot.lastReportClockMs);
    run->stopSent = false;
    if (run->phase == RunPhase::Stopping) {
      this->dueStops.insert(ref);
    }
  }
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
                    std::int64_t aClockMs) -> void
{
  const auto known = aSlot.runs;
  for (const auto& ref : known) {
    if (aSeen.contains(ref)) {
      continue;
    }
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr) {
      continue;
    }
    switch (run->phase) {
      case RunPhase::Planned:
      case RunPhase::Starting:
        break;
      case RunPhase::Inherited:
        // The worker answered under this owner's fencing token, so it refuses
        // the earlier owner's calls from now on.
        this->DropRun(aNow, ref, "never started");
        break;
      case RunPhase::StartUnconfirmed:
        if (aClockMs > run->startLeaseEndMs + kClockMargin.count()) {
          this->DropRun(aNow, ref, "start call expired");
        } else {
          // Once the stop is answered, the start call can't take effect any
          // more.
          this->StopRun(aNow, ref, *run, StopReason::StartUnanswered);
        }
        break;
      case RunPhase::Stopping:
        if (run->stopConfirmedMs > 0 && aClockMs > run->stopConfirmedMs) {
          this->DropRun(aNow, ref, "not reported after its stop");
        }
        break;
      case RunPhase::Running:
        if (aClockMs > run->startConfirmedMs) {
          this->DropRun(aNow, ref, "vanished");
        }
        break;
      default:
        break;
    }
  }
}

auto
Cell::OnWorkerRestart(Time aNow, WorkerSlot& aSlot, std::int64_t aBornUnixMs)
  -> void
{
  this->log.Write("worker_new_life",
                  { { "worker", aSlot.entry.id.text },
                    { "born", std::to_string(aBornUnixMs) },
                    { "before", std::to_string(aSlot.entry.startUnixMs) },
                    { "runs", std::to_string(aSlot.runs.size()) } });
  this->OnWorkerLost(aNow, aSlot, true, "worker was restarted");
  aSlot.silent = false;
  aSlot.entry.startUnixMs = aBornUnixMs;
  aSlot.orphanRuns.clear();
  aSlot.lastSeenEnd = 0;
  aSlot.unrecordedEnds.clear();
  aSlot.clockSample.reset();
  aSlot.leaseEndMs.reset();
  aSlot.inheritedLeaseEndMs = 0;
  aSlot.restarted = true;
  aSlot.fallbackLeaseEnd =
    aNow + WithWorkerDrift(this->options.maxLease + kClockMargin);
  aSlot.lastReportClockMs = 0;
  aSlot.reconciled = false;
  aSlot.nextRenewalAt = aNow;
}

auto
Cell::InheritedLease(Time aNow, const WorkerSlot& aSlot) const -> Millis
{
  if (aSlot.restarted) {
    // The lease in a renewal is on the clock of the earlier process; the new
    // one limits it by the longest that it accepts.
    return std::max(this->options.maxLease, this->previousLease);
  }
  // An earlier owner may have granted a lease just before; the worker refuses
  // its calls from now on.
  return aNow > std::max(this->previousLeasesOverBy, aSlot.fallbackLeaseEnd)
           ? Millis{ 0 }
           : this->previousLease;
}

auto
Cell::SetWorkerStart(WorkerSlot& aSlot, std::int64_t aBornUnixMs) -> void
{
  aSlot.entry.startUnixMs = aBornUnixMs;
}

auto
Cell::DropRun(Time aNow, const RunRef& aRef, const char* aWhy) -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  if (run == nullptr) {
    return;
  }
  if (this->log.IsSampled(aRef.task.job)) {
    this->log.Write("run_forgotten",
                    { { "task", ToText(aRef.task) },
                      { "run", std::to_string(aRef.run) },
                      { "worker", run->worker->entry.id.text },
                      { "phase", ToText(run->phase) },
                      { "why", aWhy } });
  }
  if (run->phase == RunPhase::Running || run->phase == RunPhase::Inherited) {
    this->CountEvent(CellEvent::RunLost);
  }
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
  run->worker->ReleaseRun(aRef, *aContext.spec, aContext.image);
  std::erase_if(aContext.task->runs,
                [&](const Run& aRun) { return aRun.number == aRef.run; });
  aContext.step->Reopen(aRef.task.index);
}

auto
Cell::ExpireLeases(Time aNow) -> void
{
  for (auto item = this->workers.begin(); item != this->workers.end();) {
    auto& slot = item->second;
    const auto silent = !slot.listed || slot.silent || !slot.reconciled;
    if (silent && !slot.runs.empty() && aNow > slot.LeaseOverBy()) {
      const auto unheardSince = std::max(slot.lastAnswerAt, this->takeoverAt);
      this->log.Write(
        "worker_lapsed",
        { { "worker", slot.entry.id.text },
          { "listed", slot.listed ? "yes" : "no" },
          { "lease", slot.LeaseBasis() },
          { "unheard_ms",
            std::to_string(ToMillis(aNow - unheardSince).count()) },
          { "runs", std::to_string(slot.runs.size()) } });
      this->OnWorkerLost(aNow, slot, false, "lease expired");
    }
    // Until its lease is over, it counts if the worker is listed again.
    if (!slot.listed && slot.runs.empty() && slot.pendingRenewals.empty() &&
        aNow > slot.LeaseOverBy()) {
      item = this->workers.erase(item);
    } else {
      ++item;
    }
  }
}

} // namespace gooseberry::cells
