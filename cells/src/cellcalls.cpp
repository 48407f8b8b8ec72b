// Calls of a cell's owner to its workers: orders (start, stop, pace) and lease
// renewals.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

auto
Cell::TakeCalls(Time /*aNow*/) -> std::vector<WorkerCall>
{
  return std::exchange(this->calls, {});
}

auto
Cell::NewCall(const WorkerSlot& aSlot, CallKind aKind) -> WorkerCall
{
  auto call = WorkerCall{};
  call.number = ++this->lastCall;
  call.kind = aKind;
  call.worker = aSlot.entry.id;
  call.address = aSlot.entry.address;
  call.fencingToken = this->fencingToken;
  call.timeout = kOrderTimeout;
  return call;
}

auto
Cell::QueueCall(const WorkerCall& aCall) -> void
{
  this->orders.emplace(
    aCall.number, std::pair{ aCall.worker, RunRef{ aCall.task, aCall.run } });
  this->orderKinds.emplace(aCall.number, aCall.kind);
  this->calls.push_back(aCall);
}

auto
Cell::LeaseEndFor(Time aNow, WorkerSlot& aSlot, Millis aLease) -> std::int64_t
{
  const auto end = aSlot.ClockAtLeast(aNow) + aLease.count();
  aSlot.leaseEndMs = std::max(aSlot.leaseEndMs.value_or(0), end);
  return end;
}

auto
Cell::SendStart(Time aNow, const TaskPlace& aContext, const RunRef& aRef)
  -> void
{
  auto* const run = aContext.task->FindRun(aRef.run);
  auto& slot = *run->worker;
  if (aNow > this->siteFreshAt + kSiteFreshness ||
      run->stopping != StopReason::None ||
      aContext.task->phase != TaskPhase::Open ||
      !this->MayTake(Time::max(), slot) ||
      slot.entry.bornUnixMs != run->bornUnixMs) {
    this->ForgetRun(aNow, aRef, "conditions changed before the start was sent");
    return;
  }
  auto call = this->NewCall(slot, CallKind::Start);
  call.task = aRef.task;
  call.run = aRef.run;
  call.payload = aContext.job->Spec().payload;
  call.checkpoint = CheckpointHolder(aContext).checkpoint;
  if (aContext.job->row.policy.advised) {
    call.ticket = this->TicketOf(aNow, aRef.task, slot);
  }
  call.leaseEndMs = this->LeaseEndFor(aNow, slot, kStartWindow);
  run->startLeaseEndMs = call.leaseEndMs;
  run->phase = RunPhase::Starting;
  run->since = aNow;
  this->Count(CellEvent::Start);
  this->QueueCall(call);
}

auto
Cell::SendStop(Time aNow, WorkerSlot& aSlot, const RunRef& aRef) -> void
{
  if (aSlot.entry.address.empty()) {
    return;
  }
  if (const auto [context, run] = this->FindActive(aRef); run != nullptr) {
    run->stopSent = true;
    run->since = aNow;
  }
  auto call = this->NewCall(aSlot, CallKind::Stop);
  call.task = aRef.task;
  call.run = aRef.run;
  this->QueueCall(call);
}

auto
Cell::SendStops(Time aNow) -> void
{
  const auto due = std::exchange(this->toStop, {});
  for (const auto& ref : due) {
    const auto [context, run] = this->FindActive(ref);
    if (run != nullptr && run->phase == RunPhase::Stopping && !run->stopSent) {
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
    if (slot.lookNow && slot.renewals.size() < 2) {
      slot.lookNow = false;
      this->SendRenewal(aNow, slot, Millis{ 0 });
      continue;
    }
    // The worker may take its time to answer the renewal in flight. Where a
    // best-effort task runs beside a serving one, a report is needed sooner.
    if (slot.fillingCpu > 0 && !slot.serving.empty() && slot.reconciled &&
        !slot.silent && slot.renewals.size() == 1 &&
        aNow > slot.reportedAt + kWatchedPatience + kRenewGap &&
        aNow > slot.lookedAt + kWatchedPatience) {
      slot.lookedAt = aNow;
      this->SendRenewal(aNow, slot, Millis{ 0 });
      continue;
    }
    if (!slot.renewals.empty() || aNow < slot.nextRenewal) {
      continue;
    }
    if (!slot.reconciled) {
      this->SendRenewal(aNow, slot, Millis{ 0 });
      continue;
    }
    if (!slot.unrecordedEnds.empty()) {
      // The worker would answer at once with ends that the cell has already
      // seen. While the store accepts no records, leases still have to be
      // renewed.
      if (!slot.runs.empty() &&
          aNow > slot.leasedAt + this->options.lease / kRenewalsPerLease) {
        this->SendRenewal(aNow, slot, Millis{ 0 });
      }
      continue;
    }
    const auto watched = slot.fillingCpu > 0 && !slot.serving.empty();
    if (!slot.runs.empty()) {
      this->SendRenewal(
        aNow, slot, watched ? kWatchedPatience : kRenewPatience);
    } else if (slot.unacknowledged ||
               aNow >= slot.lastAnswer + kIdleRenewInterval) {
      this->SendRenewal(aNow, slot, Millis{ 0 });
    }
  }
}

auto
Cell::SendRenewal(Time aNow, WorkerSlot& aSlot, Millis aMaxWait) -> void
{
  auto call = this->NewCall(aSlot, CallKind::Renew);
  call.patience = aMaxWait;
  call.timeout = aMaxWait + kRenewTimeout;
  call.recordedEnds = aSlot.RecordedEnds();
  // The lease of a worker that does not answer is not extended: otherwise its
  // tasks could never be started elsewhere.
  const auto mayExtendLease =
    aSlot.reconciled && !aSlot.silent && !aSlot.toldSilent &&
    aNow < this->confirmedAt + this->options.authority;
  if (mayExtendLease && !aSlot.runs.empty()) {
    call.leaseEndMs = this->LeaseEndFor(aNow, aSlot, this->options.lease);
    aSlot.leasedAt = aNow;
  }
  aSlot.unacknowledged = false;
  aSlot.renewals.insert(call.number);
  this->QueueCall(call);
}

} // namespace gooseberry::cells
