// Calls of a cell's owner to its workers: orders (start, stop, pace) and lease
// renewals.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

auto
Cell::TakeCalls(Time /*aNow*/) -> std::vector<WorkerCall>
{
  return std::exchange(this->outgoingCalls, {});
}

auto
Cell::NewCall(const WorkerSlot& aSlot, CallKind aKind) -> WorkerCall
{
  auto call = WorkerCall{};
  call.number = ++this->lastCallNumber;
  call.kind = aKind;
  call.worker = aSlot.entry.id;
  call.address = aSlot.entry.address;
  call.fencingToken = this->fencingToken;
  call.timeout = kOrderTimeout;
  return call;
}

auto
Cell::QueueCall(Time aNow, const WorkerCall& aCall) -> void
{
  this->pendingCalls.emplace(
    aCall.number,
    PendingCall{ aCall.kind,
                 aCall.worker,
                 RunRef{ aCall.task, aCall.runNumber },
                 this->workers.at(aCall.worker).ClockLowerBound(aNow),
                 aCall.lastRecordedEnd,
                 aCall.processStartUnixMs != 0,
                 aCall.leaseEndMs > 0 });
  this->outgoingCalls.push_back(aCall);
}

auto
Cell::GrantLease(Time aNow, WorkerSlot& aSlot, Millis aLease) -> std::int64_t
{
  const auto end = aSlot.ClockLowerBound(aNow) + aLease.count();
  aSlot.leaseEndMs = std::max(aSlot.leaseEndMs.value_or(0), end);
  return end;
}

auto
Cell::SendStart(Time aNow, const TaskContext& aContext, const RunRef& aRef)
  -> void
{
  auto* const run = aContext.task->FindRun(aRef.run);
  auto& slot = *run->worker;
  if (aNow > this->siteUpToDateAt + kSiteMaxAge ||
      run->stopReason != StopReason::None ||
      aContext.task->phase != TaskPhase::Open ||
      !this->AcceptsRuns(Time::max(), slot) ||
      slot.entry.startUnixMs != run->workerStartUnixMs) {
    this->DropRun(aNow, aRef, "conditions changed before the start was sent");
    return;
  }
  auto ticket = std::optional{ std::string{} };
  if (aContext.job->row.policy.requiresAdvice) {
    ticket = this->TicketForStart(aNow, aRef.task, slot);
  }
  if (!ticket) {
    this->DropRun(aNow, aRef, "its ticket expired before the start was sent");
    return;
  }
  auto call = this->NewCall(slot, CallKind::Start);
  call.task = aRef.task;
  call.runNumber = aRef.run;
  call.ticket = std::move(*ticket);
  call.payload = aContext.job->Spec().payload;
  call.checkpoint = CheckpointHolder(aContext).checkpoint;
  call.leaseEndMs = this->GrantLease(aNow, slot, kStartOrderLifetime);
  run->startLeaseEndMs = call.leaseEndMs;
  run->phase = RunPhase::Starting;
  run->phaseSince = aNow;
  this->CountEvent(CellEvent::Start);
  this->QueueCall(aNow, call);
}

auto
Cell::SendStop(Time aNow, WorkerSlot& aSlot, const RunRef& aRef) -> void
{
  if (aSlot.entry.address.empty()) {
    return;
  }
  if (const auto [context, run] = this->FindTaskAndRun(aRef); run != nullptr) {
    run->stopSent = true;
    run->nextStopAt = aNow + kStopRetryDelay;
    run->phaseSince = aNow;
  }
  auto call = this->NewCall(aSlot, CallKind::Stop);
  call.task = aRef.task;
  call.runNumber = aRef.run;
  this->QueueCall(aNow, call);
}

auto
Cell::SendStops(Time aNow) -> void
{
  const auto due = std::exchange(this->dueStops, {});
  for (const auto& ref : due) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || run->phase != RunPhase::Stopping || run->stopSent) {
      continue;
    }
    if (aNow < run->nextStopAt) {
      this->dueStops.insert(ref);
    } else {
      this->SendStop(aNow, *run->worker, ref);
    }
  }
}

auto
Cell::RenewWorkers(Time aNow) -> void
{
  for (auto& [id, slot] : this->workers) {
    if (slot.entry.address.empty() || (!slot.listed && slot.runs.empty())) {
      continue;
    }
    const auto retryDue = !slot.silent || aNow >= slot.nextRenewalAt;
    if (slot.reportRequested && retryDue && slot.pendingRenewals.size() < 2) {
      slot.reportRequested = false;
      this->SendRenewal(aNow, slot, Millis{ 0 });
      continue;
    }
    // The worker may take its time to answer the renewal in flight. Where a
    // best-effort task runs beside a serving one, a report is needed sooner.
    if (slot.bestEffortCpu > 0 && !slot.longRunningTasks.empty() &&
        slot.reconciled && !slot.silent && slot.pendingRenewals.size() == 1 &&
        aNow > slot.lastReportAt + kColocatedRenewMaxWait + kMinRenewInterval &&
        aNow > slot.extraReportRequestedAt + kColocatedRenewMaxWait) {
      slot.extraReportRequestedAt = aNow;
      this->SendRenewal(aNow, slot, Millis{ 0 });
      continue;
    }
    if (!slot.pendingRenewals.empty() || aNow < slot.nextRenewalAt) {
      continue;
    }
    // The lease of a worker that did not answer can be extended only after it
    // has answered once more and the owner's row does not list it as silent any
    // more. Until then its answers must not wait for an end.
    if (!slot.IsProcessKnown() || slot.silentInOwnerRow) {
      this->SendRenewal(aNow, slot, Millis{ 0 });
      continue;
    }
    if (!slot.unrecordedEnds.empty()) {
      // The worker would answer at once with ends that the cell has already
      // seen. While the store accepts no records, leases still have to be
      // renewed.
      if (!slot.runs.empty() &&
          aNow > slot.leaseSentAt + this->options.lease / kRenewalsPerLease) {
        this->SendRenewal(aNow, slot, Millis{ 0 });
      }
      continue;
    }
    const auto watched =
      slot.bestEffortCpu > 0 && !slot.longRunningTasks.empty();
    if (!slot.runs.empty()) {
      this->SendRenewal(
        aNow, slot, watched ? kColocatedRenewMaxWait : kRenewMaxWait);
    } else if (slot.HasEndsToAcknowledge() ||
               aNow >= slot.lastAnswerAt + kIdleRenewInterval) {
      this->SendRenewal(aNow, slot, Millis{ 0 });
    }
  }
}

auto
Cell::SendRenewal(Time aNow, WorkerSlot& aSlot, Millis aMaxWait) -> void
{
  auto call = this->NewCall(aSlot, CallKind::Renew);
  call.maxWait = aMaxWait;
  call.timeout = aMaxWait + kRenewAnswerMargin;
  call.lastRecordedEnd = aSlot.EndToAcknowledge();
  if (call.lastRecordedEnd > 0 &&
      aSlot.unsentAcknowledgements < kMaxUnsentAcknowledgements) {
    call.processStartUnixMs = aSlot.entry.startUnixMs;
  }
  // The lease of a worker that does not answer is not extended: otherwise its
  // tasks could never be started elsewhere.
  const auto mayExtendLease =
    !this->releasing && aSlot.IsProcessKnown() && !aSlot.silentInOwnerRow &&
    aNow < this->ownershipConfirmedAt + this->options.ownershipValidity;
  if (mayExtendLease && !aSlot.runs.empty()) {
    call.leaseEndMs = this->GrantLease(aNow, aSlot, this->options.lease);
    aSlot.leaseSentAt = aNow;
  }
  aSlot.pendingRenewals.insert(call.number);
  this->QueueCall(aNow, call);
}

} // namespace gooseberry::cells
