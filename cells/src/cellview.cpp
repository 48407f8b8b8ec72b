// Summaries of a cell's load: for other instances, and for the log, where they
// help to find the cause of a wait.

#include <algorithm>

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

} // namespace

auto
Cell::LoadSummary() const -> CellLoad
{
  auto load = CellLoad{};
  load.fencingToken = this->fencingToken;
  load.pending = this->PendingJobsByQueue();
  auto labels = std::set<std::string>{};
  for (const auto& [id, slot] : this->workers) {
    if (!this->AcceptsRuns(Time::max(), slot)) {
      continue;
    }
    load.capacity[slot.entry.service.text] += slot.entry.capacity.cpuMillis;
    load.room += slot.FreeResources().cpuMillis;
    labels.insert(slot.entry.labels.begin(), slot.entry.labels.end());
    labels.erase(slot.entry.Rack());
  }
  load.labels.assign(labels.begin(), labels.end());
  auto work = 0.0;
  for (const auto& [id, job] : this->activeJobs) {
    if (job->Spec().IsLongRunning()) {
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences) {
      work += MakeCandidate(*job, occurrence).workLeft;
    }
  }
  load.backlog = static_cast<std::int64_t>(work);
  return load;
}

auto
Cell::LogLoad(Time aNow) -> void
{
  if (aNow < this->loadLoggedAt + kLoadLogInterval) {
    return;
  }
  this->loadLoggedAt = aNow;
  auto capacity = Resources{};
  auto room = Resources{};
  auto longRunning = std::int64_t{ 0 };
  auto bestEffort = std::int64_t{ 0 };
  auto usable = 0;
  auto suffering = 0;
  for (const auto& [id, slot] : this->workers) {
    if (!this->AcceptsRuns(aNow, slot)) {
      continue;
    }
    ++usable;
    capacity += slot.entry.capacity;
    room += slot.FreeResources();
    longRunning += slot.longRunningCpu;
    bestEffort += slot.bestEffortCpu;
    suffering += slot.tailOverTarget ? 1 : 0;
  }
  auto waiting = std::int64_t{ 0 };
  auto waitingBestEffort = std::int64_t{ 0 };
  auto waitingTasks = 0;
  for (const auto& ready : this->ReadySteps(aNow)) {
    const auto& spec = ready.job->Spec().steps[ready.step];
    for (const auto& task :
         ready.job->occurrences.at(ready.occurrence).steps[ready.step].tasks) {
      if (task.phase == TaskPhase::Open && task.runs.empty()) {
        ++waitingTasks;
        (spec.bestEffort ? waitingBestEffort : waiting) +=
          spec.taskResources.cpuMillis;
      }
    }
  }
  this->log.Write("cell_load",
                  { { "jobs", std::to_string(this->activeJobs.size()) },
                    { "workers", std::to_string(this->workers.size()) },
                    { "open", std::to_string(usable) },
                    { "cores", WholeCoresText(capacity.cpuMillis) },
                    { "free_cores", WholeCoresText(room.cpuMillis) },
                    { "free_mb", std::to_string(room.memoryMb) },
                    { "lasting_cores", WholeCoresText(longRunning) },
                    { "filling_cores", WholeCoresText(bestEffort) },
                    { "waiting_tasks", std::to_string(waitingTasks) },
                    { "waiting_cores", WholeCoresText(waiting) },
                    { "waiting_fill_cores", WholeCoresText(waitingBestEffort) },
                    { "suffering", std::to_string(suffering) } });
}

} // namespace gooseberry::cells
