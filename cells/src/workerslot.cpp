#include "workerslot.h"

#include <algorithm>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
WorkerSlot::FreeResources() const -> Resources
{
  auto room = this->entry.capacity;
  room -= this->reserved;
  return room;
}

auto
WorkerSlot::LongRunningRoom() const -> Resources
{
  auto room = this->entry.capacity;
  room -= this->longRunningReserved;
  return room;
}

auto
WorkerSlot::CpuShare(std::int64_t aCpuMillis) const -> double
{
  return static_cast<double>(aCpuMillis) /
         static_cast<double>(
           std::max<std::int64_t>(this->entry.capacity.cpuMillis, 1));
}

auto
WorkerSlot::IdleCpu() const -> std::int64_t
{
  return this->FreeResources().cpuMillis - this->bestEffortCpu +
         static_cast<std::int64_t>(
           static_cast<double>(this->longRunningReserved.cpuMillis) *
           (1.0 - kLongRunningCpuUse));
}

auto
WorkerSlot::ClockLowerBound(Time aNow) const -> std::int64_t
{
  if (!this->clockSample) {
    return 0;
  }
  const auto elapsed =
    std::chrono::floor<Millis>(aNow - this->clockSample->receivedAt).count();
  constexpr std::int64_t kDriftParts = 1000;
  return this->clockSample->clockMs +
         elapsed * (kDriftParts - kWorkerClockDriftPerMille) / kDriftParts;
}

auto
WorkerSlot::LeaseOverBy() const -> Time
{
  if (!this->leaseEndMs || !this->clockSample) {
    return this->fallbackLeaseEnd;
  }
  const auto left = std::max<std::int64_t>(
    0, *this->leaseEndMs + kClockMargin.count() - this->clockSample->clockMs);
  const auto expiry =
    this->clockSample->receivedAt + WithWorkerDrift(Millis{ left });
  return this->restartSuspected ? std::max(expiry, this->fallbackLeaseEnd)
                                : expiry;
}

auto
WorkerSlot::LeaseBasis() const -> const char*
{
  if (!this->leaseEndMs || !this->clockSample) {
    return "takeover";
  }
  return *this->leaseEndMs == this->inheritedLeaseEndMs ? "inherited"
                                                        : "granted";
}

auto
WorkerSlot::ReserveRun(const RunRef& aRun,
                       const StepSpec& aStep,
                       ImageId aImage,
                       AccountState& aAccount) -> bool
{
  if (!this->runs.insert(aRun).second) {
    return false;
  }
  aAccount.use += aStep.taskResources;
  ++aAccount.plannedRuns;
  auto size = aStep.taskResources;
  if (aStep.longRunning) {
    ++this->longRunningTasks[aImage];
    this->longRunningReserved += size;
  }
  if (aStep.bestEffort) {
    this->bestEffortCpu += size.cpuMillis;
    ++this->bestEffortTasks[aImage];
    size.cpuMillis = 0;
  }
  this->reserved += size;
  return true;
}

auto
WorkerSlot::ReleaseRun(const RunRef& aRun,
                       const StepSpec& aStep,
                       ImageId aImage,
                       AccountState& aAccount) -> void
{
  if (this->runs.erase(aRun) == 0) {
    return;
  }
  aAccount.use -= aStep.taskResources;
  if (this->isolatedRun == aRun) {
    this->isolatedUntil = {};
  }
  auto size = aStep.taskResources;
  if (aStep.longRunning) {
    this->longRunningReserved -= size;
    if (--this->longRunningTasks[aImage] == 0) {
      this->longRunningTasks.erase(aImage);
    }
  }
  if (aStep.bestEffort) {
    this->bestEffortCpu -= size.cpuMillis;
    if (--this->bestEffortTasks[aImage] == 0) {
      this->bestEffortTasks.erase(aImage);
    }
    size.cpuMillis = 0;
  }
  this->reserved -= size;
}

auto
WorkerSlot::OnEndSeen(std::uint64_t aEnd) -> void
{
  this->lastSeenEnd = aEnd;
  this->unrecordedEnds.insert(aEnd);
}

auto
WorkerSlot::OnEndRecorded(std::uint64_t aEnd) -> void
{
  this->unrecordedEnds.erase(aEnd);
}

auto
WorkerSlot::LastRecordedEnd() const -> std::uint64_t
{
  return this->unrecordedEnds.empty() ? this->lastSeenEnd
                                      : *this->unrecordedEnds.begin() - 1;
}

auto
WorkerSlot::HasEndsToAcknowledge() const -> bool
{
  return this->LastRecordedEnd() > this->acknowledgedEnd;
}

auto
WorkerSlot::IsProcessKnown() const -> bool
{
  return this->reconciled && !this->silent && !this->restartSuspected;
}

// A process that was started since would discard ends of its own that nobody
// has read, so each end is acknowledged once, and only to a worker that has
// just answered.
auto
WorkerSlot::EndToAcknowledge() const -> std::uint64_t
{
  return this->IsProcessKnown() && !this->needsConnection &&
             this->HasEndsToAcknowledge()
           ? this->LastRecordedEnd()
           : 0;
}

} // namespace gooseberry::cells
