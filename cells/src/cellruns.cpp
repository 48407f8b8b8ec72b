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
  }
  for (const auto& [id, entry] : aWorkers) {
    auto [item, added] = this->workers.try_emplace(id);
    auto& slot = item->second;
    const auto previousStart = slot.entry.bornUnixMs;
    const auto hasPreviousStart = !added && previousStart != 0;
    if (added || slot.entry.address.empty()) {
      slot.nextRenewal = aNow;
    }
    if (!added && slot.entry.leaving != entry.leaving) {
      this->planNeeded = true;
    }
    slot.entry = entry;
    if (hasPreviousStart) {
      slot.entry.bornUnixMs = previousStart;
    }
    if (hasPreviousStart && entry.bornUnixMs > previousStart) {
      this->OnNewLife(aNow, slot, entry.bornUnixMs);
    }
    slot.listed = true;
    this->EndEarlierLives(aNow, slot);
    if (!slot.clock && entry.bornUnixMs == slot.entry.bornUnixMs) {
      slot.clock = ClockSample{ entry.clockMs, aNow };
    }
    if (this->config) {
      const auto service = this->config->services.find(entry.service);
      slot.guardsCapacity = service == this->config->services.end() ||
                            service->second.guardsCapacity;
    }
    this->planNeeded = this->planNeeded || added;
  }
}

// A machine runs one worker at a time: once a later one is listed, the runs of
// the earlier ones no longer exist.
auto
Cell::EndEarlierLives(Time aNow, const WorkerSlot& aSlot) -> void
{
  if (aSlot.entry.machine.Empty()) {
    return;
  }
  for (auto& [id, other] : this->workers) {
    if (&other == &aSlot || other.entry.machine != aSlot.entry.machine ||
        other.entry.bornUnixMs >= aSlot.entry.bornUnixMs ||
        other.runs.empty()) {
      continue;
    }
    this->log.Write("machine_lives_anew",
                    { { "machine", aSlot.entry.machine.text },
                      { "worker", id.text },
                      { "now", aSlot.entry.id.text },
                      { "runs", std::to_string(other.runs.size()) } });
    const auto lost = other.runs;
    for (const auto& ref : lost) {
      this->ForgetRun(aNow, ref, "its machine started a new worker");
    }
  }
}

auto
Cell::OnAnswer(Time aNow, const WorkerAnswer& aAnswer) -> void
{
  const auto order = this->orders.find(aAnswer.number);
  if (order == this->orders.end()) {
    return;
  }
  const auto [worker, ref] = order->second;
  const auto kind = this->orderKinds.at(aAnswer.number);
  this->orders.erase(order);
  this->orderKinds.erase(aAnswer.number);
  const auto found = this->workers.find(worker);
  if (found == this->workers.end()) {
    return;
  }
  auto& slot = found->second;
  if (aAnswer.end == CallEnd::Fenced) {
    this->fenced = true;
    this->log.Write("fenced_at_worker",
                    { { "worker", worker.text },
                      { "token", std::to_string(this->fencingToken) } });
  }
  if (aAnswer.clockMs &&
      (!slot.clock || *aAnswer.clockMs >= slot.clock->clockMs)) {
    slot.clock = ClockSample{ *aAnswer.clockMs, aNow };
    slot.lastAnswer = aNow;
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
      slot.renewals.erase(aAnswer.number);
      slot.silent = aAnswer.end != CallEnd::Done;
      if (aAnswer.end == CallEnd::Done) {
        this->OnReport(aNow, slot, aAnswer);
      } else {
        slot.nextRenewal = std::max(slot.nextRenewal, aNow + kRenewRetry);
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
  const auto [context, run] = this->FindActive(aRef);
  if (run == nullptr || run->phase != RunPhase::Starting) {
    return;
  }
  auto& slot = *run->worker;
  if (this->log.Follows(aRef.task.job)) {
    this->log.Write(
      "start_answered",
      { { "task", ToText(aRef.task) },
        { "run", std::to_string(aRef.run) },
        { "worker", slot.entry.id.text },
        { "answer", ToText(aAnswer.end) },
        { "reason", aAnswer.reason },
        { "took_ms", std::to_string(ToMillis(aNow - run->since).count()) } });
  }
  switch (aAnswer.end) {
    case CallEnd::Done:
      this->NoteStarted(aNow, *context.job);
      run->phase = RunPhase::Running;
      run->since = aNow;
      run->startedAt = aNow;
      run->lowSince = aNow;
      run->progressAt = aNow;
      run->confirmedMs = aAnswer.clockMs.value_or(0);
      slot.nextRenewal = std::min(slot.nextRenewal, aNow + kRenewGap);
      if (run->stopping != StopReason::None) {
        run->phase = RunPhase::Stopping;
        run->stopSent = false;
        this->toStop.insert(aRef);
      }
      return;
    case CallEnd::Unanswered:
    case CallEnd::Unreadable:
      this->Count(CellEvent::StartUnanswered);
      run->phase = RunPhase::Unsettled;
      run->since = aNow;
      run->stopSent = false;
      slot.lookNow = true;
      slot.avoidUntil = aNow + kAvoidRefusing;
      if (run->stopping != StopReason::None) {
        run->phase = RunPhase::Stopping;
        this->toStop.insert(aRef);
      }
      return;
    case CallEnd::OtherLife:
      slot.lookNow = true;
      slot.avoidUntil = aNow + kAvoidRefusing;
      run->phase = RunPhase::Unsettled;
      run->since = aNow;
      return;
    default:
      // The call was not carried out, and will not be.
      this->Count(CellEvent::StartRefused);
      slot.avoidUntil = aNow + kAvoidRefusing;
      slot.lookNow = slot.lookNow || aAnswer.end == CallEnd::NoRoom;
      if (aAnswer.end == CallEnd::NoTicket) {
        this->OnTicketRefused(aRef.task, slot);
      }
      this->ForgetRun(aNow, aRef, ToText(aAnswer.end));
      return;
  }
}

auto
Cell::OnStopAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
  -> void
{
  const auto [context, run] = this->FindActive(aRef);
  if (run == nullptr) {
    return;
  }
  if (aAnswer.end == CallEnd::Done) {
    run->stopConfirmedMs = aAnswer.clockMs.value_or(0);
    if (run->stopping == StopReason::Settled) {
      run->worker->lookNow = true;
    }
    return;
  }
  // The stop is sent again with the next round of calls.
  run->stopSent = false;
  run->since = aNow;
  run->worker->lookNow = true;
  this->toStop.insert(aRef);
}

auto
Cell::OnPaceAnswer(const RunRef& aRef, const WorkerAnswer& aAnswer) -> void
{
  const auto [context, run] = this->FindActive(aRef);
  if (run != nullptr && aAnswer.end != CallEnd::Done) {
    run->paceUnsure = true;
    run->worker->lookNow = true;
  }
}

auto
Cell::OnReport(Time aNow, WorkerSlot& aSlot, const WorkerAnswer& aAnswer)
  -> void
{
  const auto clock = aAnswer.clockMs.value_or(0);
  if (aAnswer.bornUnixMs != 0 && aSlot.entry.bornUnixMs != 0 &&
      aAnswer.bornUnixMs != aSlot.entry.bornUnixMs) {
    if (aAnswer.bornUnixMs < aSlot.entry.bornUnixMs) {
      return;
    }
    this->OnNewLife(aNow, aSlot, aAnswer.bornUnixMs);
    aSlot.clock = ClockSample{ clock, aNow };
  } else if (aSlot.entry.bornUnixMs == 0) {
    this->SetBorn(aSlot, aAnswer.bornUnixMs);
  }
  if (!aSlot.reconciled) {
    aSlot.reconciled = true;
    // An earlier owner may have granted the longest possible lease just before.
    aSlot.leaseEndMs = std::max(aSlot.leaseEndMs.value_or(0),
                                clock + this->options.leaseMax.count());
    this->planNeeded = true;
  }
  auto runEnded = false;
  for (const auto& end : aAnswer.ended) {
    if (end.number > aSlot.seenEnds) {
      aSlot.NoteEnd(end.number);
      this->OnEnd(aNow, aSlot, end);
      runEnded = true;
    }
  }
  // Answers may arrive out of order. One with the same clock as the newest may
  // be older than that: runs that it does not list may have started since.
  if (clock >= aSlot.reportedMs) {
    const auto newer = clock > aSlot.reportedMs;
    aSlot.reportedMs = clock;
    aSlot.reportedAt = aNow;
    auto seen = std::set<RunRef>{};
    for (const auto& report : aAnswer.running) {
      this->OnRunning(aNow, aSlot, report, seen);
    }
    if (aAnswer.unreadable == 0 && newer) {
      this->OnUnlisted(aNow, aSlot, seen, clock);
    }
    this->WatchProgress(aNow, aSlot);
    this->LearnFrom(aNow, aSlot);
    this->SetPaces(aNow, aSlot);
  }
  aSlot.nextRenewal = aNow + kRenewGap;
  this->planNeeded = this->planNeeded || runEnded;
}

auto
Cell::OnRunning(Time aNow,
                WorkerSlot& aSlot,
                const RunReport& aReport,
                std::set<RunRef>& aSeen) -> void
{
  const auto ref = RunRef{ aReport.task, aReport.run };
  aSeen.insert(ref);
  const auto [context, run] = this->FindActive(ref);
  if (run == nullptr || run->worker != &aSlot) {
    if (aSlot.orphans.insert(ref).second) {
      this->Count(CellEvent::Orphan);
      this->log.Write("orphan_found",
                      { { "task", ToText(ref.task) },
                        { "run", std::to_string(ref.run) },
                        { "worker", aSlot.entry.id.text } });
    }
    this->SendStop(aNow, aSlot, ref);
    return;
  }
  const auto inherited = run->phase == RunPhase::Inherited;
  if (run->phase == RunPhase::Starting || run->phase == RunPhase::Unsettled ||
      inherited) {
    this->NoteStarted(aNow, *context.job);
    run->phase = run->stopping == StopReason::None ? RunPhase::Running
                                                   : RunPhase::Stopping;
    run->since = aNow;
    run->progressAt = aNow;
    run->confirmedMs = std::max(run->confirmedMs, aSlot.reportedMs);
    run->stopSent = false;
    if (run->phase == RunPhase::Stopping) {
      this->toStop.insert(ref);
    }
  }
  if (aReport.percent != run->percent || !run->reported) {
    run->progressAt = aNow;
  }
  if (!run->reported) {
    run->reported = true;
    // A run without a checkpoint began at zero progress when it was started.
    const auto fresh = run->checkpoint.empty() && !inherited;
    run->startPercent = fresh ? 0.0 : aReport.percent;
    if (!fresh) {
      run->startedAt = aNow;
    }
  }
  run->percent = aReport.percent;
  if (context.spec->tailTarget.count() > 0) {
    this->NoteTail(aNow, aSlot, *run, aReport.measured);
  }
  run->measured = aReport.measured;
  if (aReport.checkpoint != run->checkpoint && !aReport.checkpoint.empty()) {
    run->checkpoint = aReport.checkpoint;
    CheckpointHolder(context).checkpoint = aReport.checkpoint;
  }
}

auto
Cell::OnEnd(Time aNow, WorkerSlot& aSlot, const EndReport& aEnd) -> void
{
  const auto ref = RunRef{ aEnd.task, aEnd.run };
  aSlot.orphans.erase(ref);
  const auto [context, run] = this->FindActive(ref);
  const auto active = run != nullptr && run->worker == &aSlot;
  // A run that was dropped may have been done before its lease expired.
  const auto doneAfterDrop =
    !active && context.task != nullptr && aEnd.how == RunEnd::Done &&
    !context.spec->lasting && context.task->phase == TaskPhase::Open;
  if (!active && !doneAfterDrop) {
    aSlot.NoteRecorded(aEnd.number);
    return;
  }
  auto& job = *context.job;
  auto& task = *context.task;
  this->NoteStarted(aNow, job);
  if (this->log.Follows(job.Id())) {
    this->log.Write(
      "run_ended",
      { { "task", ToText(ref.task) },
        { "run", std::to_string(ref.run) },
        { "worker", aSlot.entry.id.text },
        { "how", ToText(aEnd.how) },
        { "stopping", active ? ToText(run->stopping) : "given_up" },
        { "ran_ms",
          active && run->startedAt != Time{}
            ? std::to_string(ToMillis(aNow - run->startedAt).count())
            : "" } });
  }
  if (!aEnd.checkpoint.empty()) {
    CheckpointHolder(context).checkpoint = aEnd.checkpoint;
  }
  const auto longRunning = context.spec->lasting;
  if (active) {
    this->NoteEndedRun(aNow, context, *run, aEnd.how);
    this->RemoveRun(aNow, context, ref);
  }
  job.unrecordedEnds.push_back(
    { job.Id(), aSlot.entry.id, aSlot.entry.bornUnixMs, aEnd.number });
  this->Touch(job, false);
  this->planNeeded = true;
  switch (aEnd.how) {
    case RunEnd::Done:
      this->Count(CellEvent::Done);
      if (longRunning || task.phase != TaskPhase::Open || IsFinal(job.state)) {
        return;
      }
      if (context.spec->gang) {
        this->EndGang(aNow, context);
      } else {
        task.phase = TaskPhase::Done;
        this->StopRuns(aNow, ref.task, task, StopReason::Beaten);
        this->EndTask(aNow, context);
      }
      return;
    case RunEnd::Failed:
      this->Count(CellEvent::Failure);
      if (!longRunning && task.phase == TaskPhase::Open &&
          !IsFinal(job.state) && IsNewGangFailure(context, ref.run)) {
        this->NoteFailure(aNow, context);
      }
      break;
    case RunEnd::Lapsed:
      this->Count(CellEvent::Lapse);
      break;
    default:
      break;
  }
  this->BreakGang(aNow, ref.task);
}

// The failures of a gang are counted at its first task.
auto
Cell::NoteFailure(Time aNow, const TaskPlace& aContext) -> void
{
  auto& job = *aContext.job;
  auto& holder = CheckpointHolder(aContext);
  ++holder.failures;
  holder.notBefore = aNow + BackoffAfter(holder.failures);
  if (holder.failures >= job.row.policy.maxAttempts) {
    holder.phase = TaskPhase::Failed;
    this->EndJob(aNow, job, JobState::Failed, StopReason::JobFailed);
  }
}

auto
Cell::OnUnlisted(Time aNow,
                 WorkerSlot& aSlot,
                 const std::set<RunRef>& aSeen,
                 std::int64_t aClockMs) -> void
{
  const auto known = aSlot.runs;
  for (const auto& ref : known) {
    if (aSeen.contains(ref)) {
      continue;
    }
    const auto [context, run] = this->FindActive(ref);
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
        this->ForgetRun(aNow, ref, "never started");
        break;
      case RunPhase::Unsettled:
        if (aClockMs > run->startLeaseEndMs + kClockMargin.count()) {
          this->ForgetRun(aNow, ref, "start call expired");
        } else {
          // Once the stop is answered, the start call can't take effect any
          // more.
          this->StopRun(aNow, ref, *run, StopReason::Settled);
        }
        break;
      case RunPhase::Stopping:
        if (run->stopConfirmedMs > 0 && aClockMs > run->stopConfirmedMs) {
          this->ForgetRun(aNow, ref, "not reported after its stop");
        }
        break;
      case RunPhase::Running:
        if (aClockMs > run->confirmedMs) {
          this->ForgetRun(aNow, ref, "vanished");
        }
        break;
      default:
        break;
    }
  }
}

auto
Cell::OnNewLife(Time aNow, WorkerSlot& aSlot, std::int64_t aBornUnixMs) -> void
{
  this->log.Write("worker_new_life",
                  { { "worker", aSlot.entry.id.text },
                    { "born", std::to_string(aBornUnixMs) },
                    { "before", std::to_string(aSlot.entry.bornUnixMs) },
                    { "runs", std::to_string(aSlot.runs.size()) } });
  const auto lost = aSlot.runs;
  for (const auto& ref : lost) {
    this->ForgetRun(aNow, ref, "worker was restarted");
  }
  aSlot.silent = false;
  aSlot.entry.bornUnixMs = aBornUnixMs;
  aSlot.orphans.clear();
  aSlot.seenEnds = 0;
  aSlot.unrecordedEnds.clear();
  aSlot.clock.reset();
  aSlot.leaseEndMs.reset();
  aSlot.reportedMs = 0;
  aSlot.reconciled = false;
  aSlot.nextRenewal = aNow;
}

auto
Cell::SetBorn(WorkerSlot& aSlot, std::int64_t aBornUnixMs) -> void
{
  aSlot.entry.bornUnixMs = aBornUnixMs;
}

auto
Cell::ForgetRun(Time aNow, const RunRef& aRef, const char* aWhy) -> void
{
  const auto [context, run] = this->FindActive(aRef);
  if (run == nullptr) {
    return;
  }
  if (this->log.Follows(aRef.task.job)) {
    this->log.Write("run_forgotten",
                    { { "task", ToText(aRef.task) },
                      { "run", std::to_string(aRef.run) },
                      { "worker", run->worker->entry.id.text },
                      { "phase", ToText(run->phase) },
                      { "why", aWhy } });
  }
  if (run->phase == RunPhase::Running || run->phase == RunPhase::Inherited) {
    this->Count(CellEvent::Lost);
  }
  this->RemoveRun(aNow, context, aRef);
  context.task->notBefore = std::max(context.task->notBefore, aNow);
  this->Touch(*context.job, false);
  this->planNeeded = true;
  this->BreakGang(aNow, aRef.task);
}

auto
Cell::RemoveRun(Time aNow, const TaskPlace& aContext, const RunRef& aRef)
  -> void
{
  auto* const run = aContext.task->FindRun(aRef.run);
  if (aContext.spec->fillsIdle && run->phase != RunPhase::Planned) {
    constexpr double kFullPercent = 100.0;
    const auto capacity = static_cast<double>(
      std::max<std::int64_t>(run->worker->entry.capacity.cpuMillis, 1));
    run->worker->goneFills.push_back(
      { aContext.image,
        static_cast<double>(aContext.spec->size.cpuMillis) / capacity *
          run->pace / kFullPercent,
        std::max(run->startedAt, run->pacedAt),
        aNow });
  }
  run->worker->Detach(aRef, *aContext.spec, aContext.image);
  std::erase_if(aContext.task->runs,
                [&](const Run& aRun) { return aRun.number == aRef.run; });
}

auto
Cell::LapseWorkers(Time aNow) -> void
{
  for (auto item = this->workers.begin(); item != this->workers.end();) {
    auto& slot = item->second;
    const auto silent = !slot.listed || slot.silent || !slot.reconciled;
    if (silent && !slot.runs.empty() && aNow > slot.LapsedBy()) {
      this->log.Write("worker_lapsed",
                      { { "worker", slot.entry.id.text },
                        { "listed", slot.listed ? "yes" : "no" },
                        { "runs", std::to_string(slot.runs.size()) } });
      const auto lost = slot.runs;
      for (const auto& ref : lost) {
        this->ForgetRun(aNow, ref, "lease expired");
      }
    }
    if (!slot.listed && slot.runs.empty() && slot.renewals.empty()) {
      item = this->workers.erase(item);
    } else {
      ++item;
    }
  }
}

} // namespace gooseberry::cells
