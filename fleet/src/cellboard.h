#ifndef GOOSEBERRY_CELLBOARD_H
#define GOOSEBERRY_CELLBOARD_H

// Manages all cells for this instance: runs a controller for each cell of the
// layout, gives access to the owned cells, and plans the layout where that
// falls to this instance. Runs on the event loop.

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
  // Releases all owned cells for a planned shutdown. Calls aDone once each is
  // recorded as released or is lost.
  auto Release(std::function<void()> aDone) -> void;
  auto OnSiteChanged() -> void;
  auto OnViewChanged() -> void;

  // The owned cell with this name; null if this instance does not own it.
  auto Owned(const std::string& aCell) const -> const cells::Cell*;
  // A job of an owned cell; null if there is none.
  auto FindJob(const cells::JobId& aJob) const -> const cells::Job*;
  auto OwnedCells() const -> std::vector<const cells::Cell*>;
  auto OwnLoads() const -> std::map<std::string, cells::CellLoad>;
  // This instance itself accepted the job or its cancellation.
  auto OnAccepted(const cells::JobRow& aRow) -> void;
  auto OnCancelled(const std::string& aCell, const cells::JobId& aJob) -> void;
  // Adds to the metrics what the owned cells counted since the last call.
  auto TellMetrics() -> void;

private:
  auto PlanFirstLayout() -> void;
  auto LookAtWorkers() -> void;
  auto AmendLayout() -> void;

  const FleetSettings& settings;
  KeeperPorts ports;
  std::map<std::string, std::shared_ptr<CellKeeper>> keepers;
  bool releasing = false;
  // This instance is planning the first layout.
  bool planning = false;
  std::size_t seenWorkers = 0;
  Time firstSeenAt{};
  Time seenSince{};
  TimerHandle planTimer;
};

} // namespace gooseberry::fleet

#endif
