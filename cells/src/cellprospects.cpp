// Which of a cell's jobs will end in time: decides the order of their starts.

#include <numeric>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

// The order of starts matters only for tasks that wait for room, so only the
// groups that do are updated.
auto
Cell::UpdateProspects(Time aNow) -> void
{
  if (aNow < this->lastProspectsAt + kOutcomePredictionInterval) {
    return;
  }
  this->lastProspectsAt = aNow;
  this->lateBestEffortCpu =
    this->bestEffortWaiting ? this->UpdateGroupProspects(aNow, true) : 0;
  this->lateReservedCpu =
    this->othersWaiting ? this->UpdateGroupProspects(aNow, false) : 0;
}

// Best-effort jobs, and jobs whose processors are reserved, do not compete, so
// the prospects of each group are estimated separately. Returns the processors
// of runs of those that will be late, in thousandths of a core.
auto
Cell::UpdateGroupProspects(Time aNow, bool aFillsIdle) -> std::int64_t
{
  auto candidates = std::vector<OutcomeCandidate>{};
  auto occurrences = std::vector<Occurrence*>{};
  auto running = std::vector<std::int64_t>{};
  for (const auto& [id, job] : this->activeJobs) {
    const auto& steps = job->Spec().steps;
    if (steps.front().bestEffort != aFillsIdle || job->Spec().IsLongRunning()) {
      continue;
    }
    for (auto& [number, occurrence] : job->occurrences) {
      if (occurrence.unfinishedSteps == 0) {
        continue;
      }
      candidates.push_back(MakeCandidate(*job, occurrence));
      occurrences.push_back(&occurrence);
      auto& cpuMillis = running.emplace_back(0);
      for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
        for (const auto& task : occurrence.steps[step].tasks) {
          cpuMillis +=
            task.runs.empty() ? 0 : steps[step].taskResources.cpuMillis;
        }
      }
    }
  }
  constexpr double kMillisPerCore = 1000.0;
  const auto all =
    std::accumulate(running.begin(), running.end(), std::int64_t{ 0 });
  const auto prospects = PredictOutcomes(
    aNow, static_cast<double>(all) / kMillisPerCore, candidates);
  auto late = std::int64_t{ 0 };
  for (auto index = std::size_t{ 0 }; index < prospects.size(); ++index) {
    occurrences[index]->outcome = prospects[index];
    late += prospects[index] == ExpectedOutcome::OnTime ? 0 : running[index];
  }
  return late;
}

} // namespace gooseberry::cells
