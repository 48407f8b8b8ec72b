// Summaries of a cell's load: for other instances, and for the log, where they
// help to find the cause of a wait.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
WholeCoresText(std::int64_t aCpuMillis) -> std::string
{
  constexpr std::int64_t kMillisPerCore = 1000;
  return std::to_string(aCpuMillis / kMillisPerCore);
}

auto
Times(const Resources& aSize, std::size_t aTasks) -> Resources
{
  const auto tasks = static_cast<std::int64_t>(aTasks);
  return { aSize.cpuMillis * tasks,
           aSize.memoryMb * tasks,
           aSize.accelerators * tasks };
}

} // namespace

auto
Cell::LoadSummary() const -> CellLoad
{
  auto summary = CellLoad{};
  summary.fencingToken = this->fencingToken;
  summary.isKnown = this->loadKnown;
  summary.pending = this->PendingJobsByQueue();
  auto labels = std::set<std::string>{};
  auto listedLabels = std::set<std::string>{};
  for (const auto& [id, slot] : this->workers) {
    if (slot.listed) {
      auto& largest = summary.largestWorkers[slot.entry.service.text];
      largest = ElementwiseMax(largest, slot.entry.capacity);
      listedLabels.insert(slot.entry.labels.begin(), slot.entry.labels.end());
      listedLabels.erase(slot.entry.Rack());
    }
    if (!this->AcceptsRuns(Time::max(), slot)) {
      continue;
    }
    summary.capacity[slot.entry.service.text] += slot.entry.capacity.cpuMillis;
    labels.insert(slot.entry.labels.begin(), slot.entry.labels.end());
    labels.erase(slot.entry.Rack());
  }
  summary.labels.assign(labels.begin(), labels.end());
  summary.listedLabels.assign(listedLabels.begin(), listedLabels.end());
  summary.reservedJobs = this->reservedJobs;
  summary.bestEffortJobs = this->bestEffortJobs;
  summary.room = this->load.room.cpuMillis;
  summary.longRunning = this->load.longRunning + this->load.waitingLongRunning;
  summary.reservedDemand =
    static_cast<std::int64_t>(this->loadAverages.reservedDemand);
  summary.idle = static_cast<std::int64_t>(this->loadAverages.idle);
  summary.bestEffortDemand =
    static_cast<std::int64_t>(this->loadAverages.bestEffortDemand);
  summary.waiting = this->load.waitingLongRunning + this->load.onTimeReserved;
  summary.bestEffortRoom =
    this->load.onTimeBestEffort > 0 ? 0 : this->load.idle;
  summary.largestRoom = this->load.largestRoom;
  summary.largestLongRunningRoom = this->load.largestLongRunningRoom;
  return summary;
}

// Whether most workers have told this owner what they run, or had the time to.
auto
Cell::KnowsWorkers(Time aNow) const -> bool
{
  constexpr std::size_t kTenths = 10;
  constexpr std::size_t kMost = 9;
  auto listed = std::size_t{ 0 };
  auto reconciled = std::size_t{ 0 };
  for (const auto& [id, slot] : this->workers) {
    listed += slot.listed ? 1 : 0;
    reconciled += slot.listed && slot.reconciled ? 1 : 0;
  }
  return aNow > this->takeoverAt + kReconcileMaxTime ||
         (listed > 0 && reconciled * kTenths >= listed * kMost);
}

auto
Cell::SampleLoad(Time aNow) -> LoadSample
{
  auto sample = LoadSample{};
  for (const auto& [id, slot] : this->workers) {
    if (!this->AcceptsRuns(Time::max(), slot)) {
      continue;
    }
    ++sample.usableWorkers;
    sample.capacity += slot.entry.capacity;
    sample.room += slot.FreeResources();
    sample.longRunning += slot.longRunningReserved.cpuMillis;
    sample.bestEffort += slot.bestEffortCpu;
    sample.workersOverTarget += slot.tailOverTarget ? 1 : 0;
    sample.idle += std::max<std::int64_t>(0, slot.IdleCpu());
    sample.largestRoom =
      std::max(sample.largestRoom, slot.FreeResources().cpuMillis);
    sample.largestLongRunningRoom =
      std::max(sample.largestLongRunningRoom, slot.LongRunningRoom().cpuMillis);
  }
  // Tasks that wait because of their account's limit do not wait for capacity:
  // in the order of the steps, each account's tasks beyond what is left of its
  // limit.
  this->accounts.ClearLimitedTasks();
  auto planned = std::map<const AccountState*, Resources>{};
  for (const auto& ready : this->ReadySteps(aNow)) {
    const auto& spec = ready.job->Spec().steps[ready.step];
    const auto& tasks =
      ready.job->occurrences.at(ready.occurrence).steps[ready.step].tasks;
    const auto open = static_cast<std::size_t>(
      std::count_if(tasks.begin(), tasks.end(), [](const Task& aTask) {
        return aTask.IsOpen();
      }));
    if (open == 0) {
      continue;
    }
    auto& account = *ready.job->account;
    auto& before = planned[&account];
    auto within =
      AccountLedger::TasksWithin(account, spec.taskResources, open, before);
    within = spec.gang && within < open ? 0 : within;
    before += Times(spec.taskResources, within);
    if (within < open) {
      AccountLedger::OnTasksLimited(
        account,
        Times(spec.taskResources, open - within),
        open - within,
        Times(spec.taskResources, spec.gang ? open : 1),
        before);
    }
    sample.waitingTasks += within;
    const auto waiting =
      spec.taskResources.cpuMillis * static_cast<std::int64_t>(within);
    const auto onTime =
      ready.rank.outcome == ExpectedOutcome::OnTime ? waiting : 0;
    if (spec.longRunning) {
      sample.waitingLongRunning += waiting;
    } else if (spec.bestEffort) {
      sample.waitingBestEffort += waiting;
      sample.onTimeBestEffort += onTime;
    } else {
      sample.waitingReserved += waiting;
      sample.onTimeReserved += onTime;
    }
  }
  return sample;
}

auto
Cell::MeasureLoad(Time aNow) -> void
{
  if (this->loadMeasuredAt &&
      aNow < *this->loadMeasuredAt + kLoadMeasureInterval) {
    return;
  }
  this->UpdateProspects(aNow);
  this->load = this->SampleLoad(aNow);
  const auto wasKnown = this->loadKnown;
  this->loadKnown = wasKnown || this->KnowsWorkers(aNow);
  const auto kept =
    wasKnown
      ? std::exp(-std::chrono::duration<double>(aNow - *this->loadMeasuredAt) /
                 std::chrono::duration<double>(kLoadAverageTime))
      : 0.0;
  const auto average = [kept](double& aMean, std::int64_t aNewest) {
    aMean = kept * aMean + (1.0 - kept) * static_cast<double>(aNewest);
  };
  const auto& sample = this->load;
  const auto unreserved = sample.room.cpuMillis;
  const auto reserved =
    sample.capacity.cpuMillis - unreserved - sample.longRunning;
  // Late work comes after what can be on time: what waits of it does not delay
  // a new job, and what runs of it ends soon.
  average(this->loadAverages.reservedDemand,
          std::max<std::int64_t>(0, reserved - this->lateReservedCpu) +
            sample.onTimeReserved);
  average(this->loadAverages.idle,
          unreserved +
            static_cast<std::int64_t>(static_cast<double>(sample.longRunning) *
                                      (1.0 - kLongRunningCpuUse)));
  average(
    this->loadAverages.bestEffortDemand,
    std::max<std::int64_t>(0, sample.bestEffort - this->lateBestEffortCpu) +
      sample.onTimeBestEffort);
  this->loadMeasuredAt = aNow;
  this->LogLoad(aNow, sample);
}

auto
Cell::LogLoad(Time aNow, const LoadSample& aLoad) -> void
{
  if (aNow < this->loadLoggedAt + kLoadLogInterval) {
    return;
  }
  this->loadLoggedAt = aNow;
  this->LogAccounts();
  this->log.Write(
    "cell_load",
    { { "jobs", std::to_string(this->activeJobs.size()) },
      { "workers", std::to_string(this->workers.size()) },
      { "open", std::to_string(aLoad.usableWorkers) },
      { "cores", WholeCoresText(aLoad.capacity.cpuMillis) },
      { "free_cores", WholeCoresText(aLoad.room.cpuMillis) },
      { "free_mb", std::to_string(aLoad.room.memoryMb) },
      { "lasting_cores", WholeCoresText(aLoad.longRunning) },
      { "filling_cores", WholeCoresText(aLoad.bestEffort) },
      { "waiting_tasks", std::to_string(aLoad.waitingTasks) },
      { "waiting_lasting_cores", WholeCoresText(aLoad.waitingLongRunning) },
      { "waiting_cores",
        WholeCoresText(aLoad.waitingLongRunning + aLoad.waitingReserved) },
      { "waiting_fill_cores", WholeCoresText(aLoad.waitingBestEffort) },
      { "suffering", std::to_string(aLoad.workersOverTarget) } });
}

} // namespace gooseberry::cells
