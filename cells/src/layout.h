#ifndef GOOSEBERRY_LAYOUT_H
#define GOOSEBERRY_LAYOUT_H

// Which racks of workers belong to which cell. A rack is whole in one cell and
// stays there; each cell has racks of several failure domains. Decides only.

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

  // The cell of a worker; nothing if its rack is not dealt yet.
  auto CellOf(const WorkerEntry& aWorker) const -> std::optional<std::string>;
};

// A worker's rack; workers that name none share one for their domain.
auto
RackOf(const WorkerEntry& aWorker) -> std::string;

// The layout with every rack of these workers dealt; what was dealt stays.
// aCellWorkers: how many workers a cell should have.
auto
PlanLayout(const Layout& aLayout,
           const WorkerTable& aWorkers,
           std::size_t aCellWorkers) -> Layout;

auto
EncodeLayout(const Layout& aLayout) -> std::string;

// Nothing with the reason if the bytes are no layout.
auto
DecodeLayout(const std::string& aBytes, std::string& aReason)
  -> std::optional<Layout>;

// What a cell's owner tells about it, for entries that choose a cell for a new
// job and answer counts.
struct CellLoad
{
  std::uint64_t fencingToken = 0;
  // Jobs of each queue for which nothing was started yet.
  std::map<std::string, std::size_t> pending;
  // Of workers that take tasks: thousandths of a core by service, and the
  // labels that they have.
  std::map<std::string, std::int64_t> capacity;
  std::vector<std::string> labels;
  // Of these, what is not reserved, in all services.
  std::int64_t room = 0;
  // Work that waits or runs and does not last, in core-milliseconds.
  std::int64_t backlog = 0;

  auto operator==(const CellLoad&) const -> bool = default;
};

auto
EncodeLoad(const CellLoad& aLoad) -> std::string;

auto
DecodeLoad(const std::string& aBytes, std::string& aReason)
  -> std::optional<CellLoad>;

// The cells whose racks a job names as needed: a worker's rack is one of its
// labels. No cell can run a job that needs racks of several.
auto
NeededCells(const Layout& aLayout, const JobSpec& aSpec)
  -> std::set<std::string>;

// The cell for a new job: that of the racks it needs, else near its data, else
// of two that its id draws the one with less work for its room. aLoads: by
// cell, as far as they are known.
auto
ChooseCell(const Layout& aLayout,
           const std::map<std::string, CellLoad>& aLoads,
           const JobRow& aJob) -> std::optional<std::string>;

} // namespace gooseberry::cells

#endif
