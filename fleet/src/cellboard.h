#ifndef GOOSEBERRY_CELLBOARD_H
#define GOOSEBERRY_CELLBOARD_H

// All cells as this instance sees them: a keeper for each, the owned ones among
// them, and the layout of cells, which one instance plans.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cellkeeper.h"
#include "fleetview.h"

namespace gooseberry::fleet {

class CellBoard : public std::enable_shared_from_this<CellBoard>
{
public:
  CellBoard(const FleetSettings& aSettings, KeeperPorts aPorts);

  auto Start() -> void;
  // Gives all cells up for a planned stop; aDone when that is recorded.
  auto Release(std::function<void()> aDone) -> void;
  auto OnSiteChanged() -> void;
  auto OnViewChanged() -> void;

  // The owned cell with this name; null if this instance does not own it.
  auto Owned(const std::string& aCell) const -> const cells::Cell*;
  // A job of an owned cell; null if there is none.
  auto FindJob(const cells::JobId& aJob) const -> const cells::Job*;
  auto OwnedCells() const -> std::vector<const cells::Cell*>;
  auto OwnLoads() const -> std::map<std::string, cells::CellLoad>;
  // This instance accepted the job or its cancellation itself.
  auto OnAccepted(const cells::JobRow& aRow) -> void;
  auto OnCancelled(const std::string& aCell, const cells::JobId& aJob) -> void;
  auto TellMetrics() -> void;

private:
  auto PlanFirstLayout() -> void;
  auto LookAtWorkers() -> void;
  auto AmendLayout() -> void;

  const FleetSettings& settings;
  KeeperPorts ports;
  std::map<std::string, std::shared_ptr<CellKeeper>> keepers;
  bool releasing = false;
  // While this instance plans the first layout.
  bool planning = false;
  std::size_t seenWorkers = 0;
  Time firstSeenAt{};
  Time seenSince{};
  TimerHandle planTimer;
};

} // namespace gooseberry::fleet

#endif
