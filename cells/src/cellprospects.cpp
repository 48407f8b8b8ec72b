// Which of a cell's jobs will end in time: decides the order of their starts.

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
  const auto update = [this, aNow](bool aBestEffort, bool aWaiting) {
    if (!aWaiting) {
      this->UpdateGroupLoad(aNow, aBestEffort, 0, {}, {});
      return std::int64_t{ 0 };
    }
    return this->UpdateGroupProspects(aNow, aBestEffort);
  };
  this->lateBestEffortCpu = update(true, this->bestEffortWaiting);
  this->lateReservedCpu = update(false, this->othersWaiting);
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
  // Throttled runs work in proportion to their speed.
  auto working = std::int64_t{ 0 };
  for (const auto& [id, job] : this->activeJobs) {
    const auto& steps = job->Spec().steps;
    if (steps.front().bestEffort != aFillsIdle || job->Spec().IsLongRunning()) {
      continue;
    }
    for (auto& [number, occurrence] : job->occurrences) {
      if (occurrence.unfinishedSteps == 0) {
        continue;
      }
      auto& candidate =
        candidates.emplace_back(MakeCandidate(*job, occurrence));
      candidate.priority = job->row.policy.priority;
      candidate.wasDropped = occurrence.outcome != ExpectedOutcome::OnTime;
      occurrences.push_back(&occurrence);
      auto& cpuMillis = running.emplace_back(0);
      for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
        const auto taskCpu = steps[step].taskResources.cpuMillis;
        for (const auto& task : occurrence.steps[step].tasks) {
          cpuMillis += task.runs.empty() ? 0 : taskCpu;
          working += task.runs.empty()
                       ? 0
                       : taskCpu * task.runs.back().speedPercent / kFullPace;
        }
      }
    }
  }
  constexpr double kMillisPerCore = 1000.0;
  const auto prospects = PredictOutcomes(
    aNow, static_cast<double>(working) / kMillisPerCore, candidates);
  auto& meanWork =
    aFillsIdle ? this->meanBestEffortWork : this->meanReservedWork;
  meanWork = MeanWork(candidates);
  auto late = std::int64_t{ 0 };
  for (auto index = std::size_t{ 0 }; index < prospects.size(); ++index) {
    occurrences[index]->outcome = prospects[index];
    occurrences[index]->costPerValue =
      CostPerValue(candidates[index], meanWork);
    late += prospects[index] == ExpectedOutcome::OnTime ? 0 : running[index];
  }
  this->UpdateGroupLoad(aNow, aFillsIdle, working, candidates, prospects);
  return late;
}

// What admission needs to know of the group. Jobs of no use are left out, since
// they run after new ones.
auto
Cell::UpdateGroupLoad(Time aNow,
                      bool aBestEffort,
                      std::int64_t aCpuMillis,
                      const std::vector<OutcomeCandidate>& aCandidates,
                      const std::vector<ExpectedOutcome>& aOutcomes) -> void
{
  auto work = std::map<std::pair<int, int>, double>{};
  auto lacksCapacity = false;
  for (auto index = std::size_t{ 0 }; index < aCandidates.size(); ++index) {
    const auto& candidate = aCandidates[index];
    lacksCapacity =
      lacksCapacity || LacksCapacity(aNow, candidate, aOutcomes[index]);
    if (aOutcomes[index] != ExpectedOutcome::NoUse) {
      work[{ candidate.priority, SizeClassOf(candidate.totalWork) }] +=
        candidate.workLeft;
    }
  }
  auto& state = aBestEffort ? this->bestEffortOverload : this->reservedOverload;
  state.Update(aNow, lacksCapacity);
  auto load = GroupLoad{ state.IsOverloaded(aNow), aCpuMillis, {} };
  auto all = 0.0;
  for (const auto& [key, amount] : work) {
    all += amount;
    load.pending.push_back(
      { key.first, key.second, static_cast<std::int64_t>(amount) });
  }
  auto& known = aBestEffort ? this->bestEffortJobs : this->reservedJobs;
  if (load.overloaded != known.overloaded) {
    constexpr std::int64_t kMillisPerCore = 1000;
    this->log.Write(
      "overload",
      { { "group", aBestEffort ? "filling" : "reserving" },
        { "state", load.overloaded ? "begins" : "ends" },
        { "jobs", std::to_string(aCandidates.size()) },
        { "cores", std::to_string(aCpuMillis / kMillisPerCore) },
        { "core_ms", std::to_string(static_cast<std::int64_t>(all)) } });
  }
  known = std::move(load);
}

// While some step of a group is late, all steps of its priority and group are
// ordered by their cost.
auto
Cell::UpdateCosts(std::vector<ReadyStep>& aSteps) -> void
{
  auto late = std::set<std::pair<bool, int>>{};
  const auto groupOf = [](const ReadyStep& aReady) {
    return std::pair{ aReady.job->Spec().steps[aReady.step].bestEffort,
                      aReady.rank.priority };
  };
  for (const auto& ready : aSteps) {
    if (ready.rank.outcome != ExpectedOutcome::OnTime &&
        !ready.job->Spec().IsLongRunning()) {
      late.insert(groupOf(ready));
    }
  }
  if (late.empty()) {
    return;
  }
  for (auto& ready : aSteps) {
    const auto group = groupOf(ready);
    if (!late.contains(group) || ready.job->Spec().IsLongRunning()) {
      continue;
    }
    auto& occurrence = ready.job->occurrences.at(ready.occurrence);
    if (!occurrence.costPerValue) {
      occurrence.costPerValue = CostPerValue(
        MakeCandidate(*ready.job, occurrence),
        group.first ? this->meanBestEffortWork : this->meanReservedWork);
    }
    ready.rank.costPerValue = *occurrence.costPerValue;
  }
}

// Under overload that does not end, jobs whose results are of no use any more
// would wait without end behind new ones.
auto
Cell::GiveStarvationTurn(Time aNow, std::vector<ReadyStep>& aSteps) -> void
{
  auto starved = std::set<JobId>{};
  for (const auto& ready : aSteps) {
    if (ready.starved) {
      starved.insert(ready.job->Id());
    }
  }
  const auto turn = this->starvationTurns.Next(aNow, starved);
  if (!turn) {
    return;
  }
  for (auto& ready : aSteps) {
    if (ready.starved && ready.job->Id() == *turn) {
      ready.rank.startClass = StartClass::Turn;
    }
  }
}

} // namespace gooseberry::cells
