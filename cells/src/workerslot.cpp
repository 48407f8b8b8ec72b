#include "workerslot.h"

#include <algorithm>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
WorkerSlot::Room() const -> Resources
{
  auto room = this->entry.capacity;
  room -= this->reserved;
  return room;
}

auto
WorkerSlot::IdleCpu() const -> std::int64_t
{
  return this->Room().cpuMillis - this->fillingCpu +
         static_cast<std::int64_t>(static_cast<double>(this->lastingCpu) *
                                   (1.0 - kLastingUse));
}

auto
WorkerSlot::ClockAtLeast(Time aNow) const -> std::int64_t
{
  if (!this->clock) {
    return 0;
  }
  const auto elapsed =
    std::chrono::floor<Millis>(aNow - this->clock->at).count();
  constexpr std::int64_t kDriftParts = 1000;
  return this->clock->clockMs +
         elapsed * (kDriftParts - kClockDrift) / kDriftParts;
}

auto
WorkerSlot::LapsedBy() const -> Time
{
  if (!this->leaseEndMs || !this->clock) {
    return this->unknownLeaseEnd;
  }
  const auto left = std::max<std::int64_t>(
    0, *this->leaseEndMs + kClockMargin.count() - this->clock->clockMs);
  return this->clock->at + WithWorkerDrift(Millis{ left });
}

auto
WorkerSlot::Attach(const RunRef& aRun, const StepSpec& aStep, ImageId aImage)
  -> bool
{
  if (!this->runs.insert(aRun).second) {
    return false;
  }
  auto size = aStep.size;
  if (aStep.lasting) {
    ++this->serving[aImage];
    this->lastingCpu += size.cpuMillis;
  }
  if (aStep.fillsIdle) {
    this->fillingCpu += size.cpuMillis;
    ++this->filling[aImage];
    size.cpuMillis = 0;
  }
  this->reserved += size;
  return true;
}

auto
WorkerSlot::Detach(const RunRef& aRun, const StepSpec& aStep, ImageId aImage)
  -> void
{
  if (this->runs.erase(aRun) == 0) {
    return;
  }
  auto size = aStep.size;
  if (aStep.lasting) {
    this->lastingCpu -= size.cpuMillis;
    if (--this->serving[aImage] == 0) {
      this->serving.erase(aImage);
    }
  }
  if (aStep.fillsIdle) {
    this->fillingCpu -= size.cpuMillis;
    if (--this->filling[aImage] == 0) {
      this->filling.erase(aImage);
    }
    size.cpuMillis = 0;
  }
  this->reserved -= size;
}

auto
WorkerSlot::NoteEnd(std::uint64_t aEnd) -> void
{
  this->seenEnds = aEnd;
  this->unrecordedEnds.insert(aEnd);
}

auto
WorkerSlot::NoteRecorded(std::uint64_t aEnd) -> void
{
  this->unacknowledged =
    this->unrecordedEnds.erase(aEnd) > 0 || this->unacknowledged;
}

auto
WorkerSlot::RecordedEnds() const -> std::uint64_t
{
  return this->unrecordedEnds.empty() ? this->seenEnds
                                      : *this->unrecordedEnds.begin() - 1;
}

} // namespace gooseberry::cells
