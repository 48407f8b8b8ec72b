#include "cellload.h"

#include <algorithm>
#include <cmath>

#include "jsontext.h"
#include "resourcesjson.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PendingWork,
                                                priority,
                                                sizeClass,
                                                work)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GroupLoad,
                                                overloaded,
                                                cpuMillis,
                                                pending)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CellLoad,
                                                fencingToken,
                                                owner,
                                                storeClockMs,
                                                isKnown,
                                                pending,
                                                countsAllJobs,
                                                capacity,
                                                labels,
                                                room,
                                                longRunning,
                                                reservedDemand,
                                                idle,
                                                bestEffortDemand,
                                                waiting,
                                                bestEffortRoom,
                                                largestRoom,
                                                largestLongRunningRoom,
                                                largestWorkers,
                                                listedLabels,
                                                reservedJobs,
                                                bestEffortJobs)

namespace {

// Whether the cell has a worker of the job's service, and one with each label
// that the job requires.
auto
HasWorkersFor(const Layout& aLayout, const CellLoad& aLoad, const JobRow& aJob)
  -> bool
{
  const auto capacity = aLoad.capacity.find(aJob.policy.service.text);
  if (capacity == aLoad.capacity.end() || capacity->second <= 0) {
    return false;
  }
  const auto& steps = aJob.spec.steps;
  return std::all_of(steps.begin(), steps.end(), [&](const StepSpec& aStep) {
    return aStep.requiredLabel.empty() ||
           aLayout.racks.contains(aStep.requiredLabel) ||
           std::find(aLoad.labels.begin(),
                     aLoad.labels.end(),
                     aStep.requiredLabel) != aLoad.labels.end();
  });
}

// The chance of a cell with this capacity and demand, relative to that of the
// others: its free room. A full cell keeps a small chance, the smaller the more
// work waits there, so that jobs are spread also when all cells are full.
auto
WeightOf(double aCapacity, double aDemand) -> double
{
  const auto least = kMinCellChance * aCapacity *
                     std::min(1.0, aCapacity / std::max(aDemand, 1.0));
  return std::max(aCapacity - aDemand, least);
}

auto
WeightFor(const CellLoad& aLoad, const JobRow& aJob) -> double
{
  auto allServices = 0.0;
  for (const auto& [service, capacity] : aLoad.capacity) {
    allServices += static_cast<double>(capacity);
  }
  const auto ofService =
    static_cast<double>(aLoad.capacity.at(aJob.policy.service.text));
  const auto weight =
    aJob.spec.steps.front().bestEffort
      ? WeightOf(static_cast<double>(aLoad.idle),
                 static_cast<double>(aLoad.bestEffortDemand))
      : WeightOf(allServices,
                 static_cast<double>(aLoad.longRunning + aLoad.reservedDemand));
  return weight * ofService / allServices;
}

// Weighted rendezvous hashing: the job's score in a cell. The cell with the
// highest score is drawn with a chance in proportion to its weight, and changes
// only if the weights do.
auto
RendezvousScore(const JobId& aJob, const std::string& aCell, double aWeight)
  -> double
{
  constexpr double kHashRange = 18446744073709551616.0; // 2^64
  const auto hash = StableHash(aJob.Text() + " " + aCell);
  const auto uniform = (static_cast<double>(hash) + 0.5) / kHashRange;
  return aWeight / -std::log(uniform);
}

} // namespace

auto
SizeClassOf(double aTotalWork) -> int
{
  return std::ilogb(std::max(1.0, aTotalWork));
}

auto
EncodeCellLoad(const CellLoad& aLoad) -> std::string
{
  return nlohmann::json(aLoad).dump();
}

auto
DecodeCellLoad(const std::string& aBytes, std::string& aReason)
  -> std::optional<CellLoad>
{
  return DecodeJson<CellLoad>(aBytes, aReason);
}

auto
ChooseCell(const Layout& aLayout,
           const std::map<std::string, CellLoad>& aLoads,
           const JobRow& aJob) -> std::optional<std::string>
{
  const auto required = RequiredCells(aLayout, aJob.spec);
  if (!required.empty()) {
    return required.size() == 1 ? std::optional{ *required.begin() }
                                : std::nullopt;
  }
  for (const auto& step : aJob.spec.steps) {
    const auto rack = aLayout.racks.find(step.dataRack);
    if (!step.dataRack.empty() && rack != aLayout.racks.end()) {
      return rack->second;
    }
  }
  auto weights = std::map<std::string, double>{};
  auto totalWeight = 0.0;
  for (const auto& cell : aLayout.cells) {
    const auto load = aLoads.find(cell);
    if (load != aLoads.end() && load->second.isKnown &&
        HasWorkersFor(aLayout, load->second, aJob)) {
      totalWeight += weights[cell] = WeightFor(load->second, aJob);
    }
  }
  // A cell whose owner does not know its load yet counts as an average one.
  // If no cell is known to have a worker for the job, all are equal.
  const auto averageWeight =
    weights.empty() ? 1.0 : totalWeight / static_cast<double>(weights.size());
  auto best = std::optional<std::string>{};
  auto bestScore = 0.0;
  const auto anyUsable = !weights.empty();
  for (const auto& cell : aLayout.cells) {
    const auto load = aLoads.find(cell);
    if (load == aLoads.end() || !load->second.isKnown || !anyUsable) {
      weights[cell] = averageWeight;
    }
    const auto weight = weights.find(cell);
    if (weight == weights.end()) {
      continue;
    }
    const auto score = RendezvousScore(aJob.id, cell, weight->second);
    if (!best || score > bestScore) {
      best = cell;
      bestScore = score;
    }
  }
  return best;
}

} // namespace gooseberry::cells
