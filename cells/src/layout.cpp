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

// Racks without a cell, sorted by failure domain and name.
auto
UnassignedRacks(const Layout& aLayout, const WorkerTable& aWorkers)
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

struct CellWorkerCounts
{
  std::size_t workers = 0;
  std::map<std::string, std::size_t> byDomain;
};

auto
CountWorkersByCell(const Layout& aLayout, const WorkerTable& aWorkers)
  -> std::map<std::string, CellWorkerCounts>
{
  auto sizes = std::map<std::string, CellWorkerCounts>{};
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
GroupOf(const Layout& aLayout, const std::string& aCell) -> std::size_t
{
  const auto index =
    std::find(aLayout.cells.begin(), aLayout.cells.end(), aCell) -
    aLayout.cells.begin();
  return static_cast<std::size_t>(index) / kCellsPerGroup;
}

// The cells of the groups from aFirst to aLast, counted from the cell's own
// one, without the cell itself.
auto
CellsAround(const Layout& aLayout,
            const std::string& aCell,
            int aFirst,
            int aLast) -> std::vector<std::string>
{
  const auto groups =
    (aLayout.cells.size() + kCellsPerGroup - 1) / kCellsPerGroup;
  auto wanted = std::set<std::size_t>{};
  for (auto offset = aFirst; offset <= aLast && groups > 0; ++offset) {
    // Not below 0.
    wanted.insert(
      (GroupOf(aLayout, aCell) + groups + static_cast<std::size_t>(offset)) %
      groups);
  }
  auto around = std::vector<std::string>{};
  for (const auto& cell : aLayout.cells) {
    if (cell != aCell && wanted.contains(GroupOf(aLayout, cell))) {
      around.push_back(cell);
    }
  }
  return around;
}

auto
AddCell(Layout& aLayout) -> std::string
{
  auto name = "c" + std::to_string(aLayout.cells.size());
  aLayout.cells.push_back(name);
  return name;
}

} // namespace

auto
RackOf(const WorkerEntry& aWorker) -> std::string
{
  const auto rack = aWorker.Rack();
  return rack.empty() ? "domain " + aWorker.domain.text : rack;
}

auto
Layout::HostsOf(const std::string& aCell) const -> std::vector<std::string>
{
  return CellsAround(*this, aCell, 0, 1);
}

auto
Layout::NeighboursOf(const std::string& aCell) const -> std::vector<std::string>
{
  return CellsAround(*this, aCell, -1, 1);
}

auto
Layout::DelegationTableOf(const std::string& aCell) const -> std::string
{
  return "delegation-" + std::to_string(GroupOf(*this, aCell));
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
  const auto racks = UnassignedRacks(layout, aWorkers);
  if (racks.empty()) {
    return layout;
  }
  if (layout.cells.empty()) {
    const auto cellCount = std::max<std::size_t>(
      1, (aWorkers.size() + aCellWorkers / 2) / aCellWorkers);
    while (layout.cells.size() < std::min(cellCount, racks.size())) {
      AddCell(layout);
    }
  }
  auto sizes = CountWorkersByCell(layout, aWorkers);
  for (const auto& rack : racks) {
    // The smallest cell; among equal ones the one with the fewest workers of
    // the rack's domain.
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
RequiredCells(const Layout& aLayout, const JobSpec& aSpec)
  -> std::set<std::string>
{
  auto required = std::set<std::string>{};
  for (const auto& step : aSpec.steps) {
    const auto rack = aLayout.racks.find(step.requiredLabel);
    if (rack != aLayout.racks.end()) {
      required.insert(rack->second);
    }
  }
  return required;
}

} // namespace gooseberry::cells
