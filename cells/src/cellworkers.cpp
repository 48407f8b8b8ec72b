// Workers of a cell: listed, restarted, replaced on their machine, and lost
// with their leases.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

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
    if (hasPreviousStart && entry.startUnixMs != previousStart &&
        entry.startUnixMs != slot.listedStartUnixMs) {
      this->SuspectRestart(aNow, slot, false, "entry");
    }
    slot.listedStartUnixMs = entry.startUnixMs;
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

// Until the report, the worker gets no starts and no longer lease: the later
// process limits a lease only by the longest that it accepts, counted on a
// clock of its own. It can take one only from calls that were sent before.
auto
Cell::SuspectRestart(Time aNow,
                     WorkerSlot& aSlot,
                     bool aMayHaveLease,
                     const char* aSource) -> void
{
  if (!aSlot.restartSuspected) {
    this->log.Write("worker_restart_suspected",
                    { { "worker", aSlot.entry.id.text },
                      { "source", aSource },
                      { "runs", std::to_string(aSlot.runs.size()) } });
  }
  if (!aSlot.restartSuspected || aMayHaveLease) {
    aSlot.fallbackLeaseEnd =
      std::max(aSlot.fallbackLeaseEnd, this->LongestLeaseEnd(aNow));
  }
  aSlot.restartSuspected = true;
  aSlot.suspectedAtCall = this->lastCallNumber;
  aSlot.reportRequested = true;
}

auto
Cell::LongestLeaseEnd(Time aNow) const -> Time
{
  return aNow + WithWorkerDrift(this->options.maxLease + kClockMargin);
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
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run != nullptr && run->phase == RunPhase::Stopping) {
      // The later process knows nothing of the stop, and may yet receive the
      // order to start the run.
      run->stopSent = false;
      run->nextStopAt = {};
      run->stopConfirmedAtCall.reset();
      this->dueStops.insert(ref);
    }
  }
  aSlot.restartSuspected = false;
  aSlot.lastCallBeforeRestart = this->lastCallNumber;
  aSlot.earlierProcessAnsweredAt = aSlot.lastAnswerAt;
  aSlot.entry.startUnixMs = aBornUnixMs;
  aSlot.orphanRuns.clear();
  aSlot.lastSeenEnd = 0;
  aSlot.unrecordedEnds.clear();
  aSlot.acknowledgedEnd = 0;
  aSlot.unsentAcknowledgements = 0;
  aSlot.clockSample.reset();
  aSlot.leaseEndMs.reset();
  aSlot.inheritedLeaseEndMs = 0;
  aSlot.restarted = true;
  aSlot.fallbackLeaseEnd = this->LongestLeaseEnd(aNow);
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
    // The lease still counts if the worker is listed again before its end.
    if (!slot.listed && slot.runs.empty() && slot.pendingRenewals.empty() &&
        aNow > slot.LeaseOverBy()) {
      item = this->workers.erase(item);
    } else {
      ++item;
    }
  }
}

} // namespace gooseberry::cells
