#ifndef GOOSEBERRY_CELLMANAGER_H
#define GOOSEBERRY_CELLMANAGER_H

// Manages all cells for this instance: runs a controller for each cell of the
// layout, gives access to the owned cells, and plans the layout where that
// falls to this instance. Runs on the event loop.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cellcontroller.h"
#include "fleetview.h"

namespace gooseberry::fleet {

class CellManager : public std::enable_shared_from_this<CellManager>
{
public:
  CellManager(const FleetSettings& aSettings, CellControllerPorts aPorts);

  auto Start() -> void;
  // Releases all owned cells for a planned shutdown. Calls aDone once each is
  // recorded as released or is lost.
  auto Release(std::function<void()> aDone) -> void;
  auto OnSiteChanged() -> void;
  auto OnViewChanged() -> void;

  // The owned cell with this name; null if this instance does not own it.
  auto FindOwnedCell(const std::string& aCell) const -> const cells::Cell*;
  // A job of an owned cell; null if there is none.
  auto FindJob(const cells::JobId& aJob) const -> const cells::Job*;
  auto OwnedCells() const -> std::vector<const cells::Cell*>;
  auto OwnedCellLoads() const -> std::map<std::string, cells::CellLoad>;
  // This instance itself accepted the job or its cancellation.
  auto OnJobAccepted(const cells::JobRow& aRow) -> void;
  auto OnJobCancelled(const std::string& aCell, const cells::JobId& aJob)
    -> void;
  // Adds to the metrics what the owned cells counted since the last call.
  auto PublishMetrics() -> void;

private:
  auto PlanFirstLayout() -> void;
  auto PlanOnceWorkersSettle() -> void;
  auto ExtendLayout() -> void;

  const FleetSettings& settings;
  CellControllerPorts ports;
  std::map<std::string, std::shared_ptr<CellController>> controllers;
  bool releasing = false;
  // This instance is planning the first layout.
  bool planningFirstLayout = false;
  std::size_t seenWorkerCount = 0;
  Time firstWorkerSeenAt{};
  Time workerCountChangedAt{};
  TimerHandle planTimer;
};

} // namespace gooseberry::fleet

#endif
