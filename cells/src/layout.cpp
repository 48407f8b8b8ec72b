#include "layout.h"

#include <algorithm>

#include "jsontext.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

struct RackInfo
{
  std::string name;
  std::string domain;
  std::size_t workers = 0;
};

// Racks that are not dealt yet, those of each domain together.
auto
NewRacks(const Layout& aLayout, const WorkerTable& aWorkers)
  -> std::vector<RackInfo>
{
  auto found = std::map<std::string, RackInfo>{};
  for (const auto& [id, worker] : aWorkers) {
    const auto rack = RackOf(worker);
    if (!aLayout.racks.contains(rack)) {
      auto& info = found[rack];
      info.name = rack;
      info.domain = worker.domain.text;
      ++info.workers;
    }
  }
  auto racks = std::vector<RackInfo>{};
  for (auto& [name, info] : found) {
    racks.push_back(std::move(info));
  }
  std::sort(racks.begin(),
            racks.end(),
            [](const RackInfo& aLeft, const RackInfo& aRight) {
              return std::tie(aLeft.domain, aLeft.name) <
                     std::tie(aRight.domain, aRight.name);
            });
  return racks;
}

struct CellSize
{
  std::size_t workers = 0;
  std::map<std::string, std::size_t> byDomain;
};

auto
SizesOf(const Layout& aLayout, const WorkerTable& aWorkers)
  -> std::map<std::string, CellSize>
{
  auto sizes = std::map<std::string, CellSize>{};
  for (const auto& cell : aLayout.cells) {
    sizes[cell];
  }
  for (const auto& [id, worker] : aWorkers) {
    if (const auto cell = aLayout.CellOf(worker)) {
      ++sizes[*cell].workers;
      ++sizes[*cell].byDomain[worker.domain.text];
    }
  }
  return sizes;
}

auto
AddCell(Layout& aLayout) -> std::string
{
  auto name = "c" + std::to_string(aLayout.cells.size());
  aLayout.cells.push_back(name);
  return name;
}

// Open work of a cell for each core that it has for this job; nothing if it has
// none.
auto
Crowding(const Layout& aLayout, const CellLoad& aLoad, const JobRow& aJob)
  -> std::optional<double>
{
  const auto capacity = aLoad.capacity.find(aJob.policy.service.text);
  if (capacity == aLoad.capacity.end() || capacity->second <= 0) {
    return std::nullopt;
  }
  for (const auto& step : aJob.spec.steps) {
    if (!step.neededLabel.empty() &&
        !aLayout.racks.contains(step.neededLabel) &&
        std::find(aLoad.labels.begin(), aLoad.labels.end(), step.neededLabel) ==
          aLoad.labels.end()) {
      return std::nullopt;
    }
  }
  const auto whole = static_cast<double>(capacity->second);
  // What lasts needs room, everything else waits for its turn.
  return aJob.spec.Lasting() ? 1.0 - static_cast<double>(aLoad.room) / whole
                             : static_cast<double>(aLoad.backlog) / whole;
}

} // namespace

auto
RackOf(const WorkerEntry& aWorker) -> std::string
{
  const auto rack = aWorker.Rack();
  return rack.empty() ? "domain " + aWorker.domain.text : rack;
}

auto
Layout::CellOf(const WorkerEntry& aWorker) const -> std::optional<std::string>
{
  const auto found = this->racks.find(RackOf(aWorker));
  return found == this->racks.end() ? std::nullopt
                                    : std::optional{ found->second };
}

auto
PlanLayout(const Layout& aLayout,
           const WorkerTable& aWorkers,
           std::size_t aCellWorkers) -> Layout
{
  auto layout = aLayout;
  const auto racks = NewRacks(layout, aWorkers);
  if (racks.empty()) {
    return layout;
  }
  if (layout.cells.empty()) {
    const auto wanted = std::max<std::size_t>(
      1, (aWorkers.size() + aCellWorkers / 2) / aCellWorkers);
    while (layout.cells.size() < std::min(wanted, racks.size())) {
      AddCell(layout);
    }
  }
  auto sizes = SizesOf(layout, aWorkers);
  for (const auto& rack : racks) {
    // The smallest cell; of equal ones that with the fewest of the domain.
    const auto smallest = std::min_element(
      layout.cells.begin(),
      layout.cells.end(),
      [&](const std::string& aLeft, const std::string& aRight) {
        return std::pair{ sizes[aLeft].workers,
                          sizes[aLeft].byDomain[rack.domain] } <
               std::pair{ sizes[aRight].workers,
                          sizes[aRight].byDomain[rack.domain] };
      });
    auto cell = *smallest;
    if (sizes[cell].workers >= aCellWorkers * 3 / 2) {
      cell = AddCell(layout);
    }
    layout.racks[rack.name] = cell;
    sizes[cell].workers += rack.workers;
    sizes[cell].byDomain[rack.domain] += rack.workers;
  }
  return layout;
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Layout, cells, racks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CellLoad,
                                                fencingToken,
                                                pending,
                                                capacity,
                                                labels,
                                                room,
                                                backlog)

auto
EncodeLayout(const Layout& aLayout) -> std::string
{
  return nlohmann::json(aLayout).dump();
}

auto
DecodeLayout(const std::string& aBytes, std::string& aReason)
  -> std::optional<Layout>
{
  return DecodeJson<Layout>(aBytes, aReason);
}

auto
EncodeLoad(const CellLoad& aLoad) -> std::string
{
  return nlohmann::json(aLoad).dump();
}

auto
DecodeLoad(const std::string& aBytes, std::string& aReason)
  -> std::optional<CellLoad>
{
  return DecodeJson<CellLoad>(aBytes, aReason);
}

auto
NeededCells(const Layout& aLayout, const JobSpec& aSpec)
  -> std::set<std::string>
{
  auto needed = std::set<std::string>{};
  for (const auto& step : aSpec.steps) {
    const auto rack = aLayout.racks.find(step.neededLabel);
    if (rack != aLayout.racks.end()) {
      needed.insert(rack->second);
    }
  }
  return needed;
}

auto
ChooseCell(const Layout& aLayout,
           const std::map<std::string, CellLoad>& aLoads,
           const JobRow& aJob) -> std::optional<std::string>
{
  const auto needed = NeededCells(aLayout, aJob.spec);
  if (!needed.empty()) {
    return needed.size() == 1 ? std::optional{ *needed.begin() } : std::nullopt;
  }
  for (const auto& step : aJob.spec.steps) {
    const auto near = aLayout.racks.find(step.dataRack);
    if (!step.dataRack.empty() && near != aLayout.racks.end()) {
      return near->second;
    }
  }
  // Cells that have nothing for the job are left out, unless none has.
  auto fitting = std::vector<std::pair<double, std::string>>{};
  for (const auto& cell : aLayout.cells) {
    const auto load = aLoads.find(cell);
    if (load == aLoads.end()) {
      continue;
    }
    if (const auto crowding = Crowding(aLayout, load->second, aJob)) {
      fitting.emplace_back(*crowding, cell);
    }
  }
  if (fitting.empty()) {
    for (const auto& cell : aLayout.cells) {
      fitting.emplace_back(0.0, cell);
    }
  }
  if (fitting.empty()) {
    return std::nullopt;
  }
  // Two draws keep entries with equally old loads from all choosing the same.
  const auto hash = StableHash(aJob.id.Text());
  const auto& first = fitting[hash % fitting.size()];
  const auto& second = fitting[(hash / fitting.size()) % fitting.size()];
  return std::min(first, second).second;
}

} // namespace gooseberry::cells
