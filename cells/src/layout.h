#ifndef GOOSEBERRY_LAYOUT_H
#define GOOSEBERRY_LAYOUT_H

// Assignment of racks to cells. All workers of a rack are in one cell and stay
// there; each cell has racks of several failure domains. Pure decisions, no
// I/O.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "site.h"

namespace gooseberry::cells {

struct Layout
{
  // In the order of their creation.
  std::vector<std::string> cells;
  // The cell of each rack.
  std::map<std::string, std::string> racks;

  auto operator==(const Layout&) const -> bool = default;

  // Cells form groups of kCellsPerGroup in the order of their creation, and the
  // groups a ring. Work flows inside a group and from each group to the next,
  // so that no group fills up beside an empty one. The cells that may run tasks
  // for this one: those of its group and of the next.
  auto HostsOf(const std::string& aCell) const -> std::vector<std::string>;
  // The cells of its group, of the one before and of the next, without itself.
  auto NeighboursOf(const std::string& aCell) const -> std::vector<std::string>;
  // The table in which the cell's group keeps its delegations.
  auto DelegationTableOf(const std::string& aCell) const -> std::string;

  // The cell of a worker; nothing if its rack is not assigned yet.
  auto CellOf(const WorkerEntry& aWorker) const -> std::optional<std::string>;
};

// A worker's rack. Workers without one share a rack for their failure domain.
auto
RackOf(const WorkerEntry& aWorker) -> std::string;

// The layout with the racks of all these workers assigned. Existing assignments
// do not change. aCellWorkers: target number of workers in a cell.
auto
PlanLayout(const Layout& aLayout,
           const WorkerTable& aWorkers,
           std::size_t aCellWorkers) -> Layout;

auto
EncodeLayout(const Layout& aLayout) -> std::string;

// Returns nothing and sets aReason if the bytes are not a valid layout.
auto
DecodeLayout(const std::string& aBytes, std::string& aReason)
  -> std::optional<Layout>;

// The cells of the racks that a job's required labels name; a worker's rack is
// one of its labels. No cell can run a job that requires racks of several
// cells.
auto
RequiredCells(const Layout& aLayout, const JobSpec& aSpec)
  -> std::set<std::string>;

} // namespace gooseberry::cells

#endif
