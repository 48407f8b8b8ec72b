#ifndef GOOSEBERRY_CELLMANAGER_H
#define GOOSEBERRY_CELLMANAGER_H

// Runs a controller for each cell of the layout, which assigns racks to cells,
// and gives access to the cells that this instance owns. Plans the first layout
// if this instance ranks first. While this instance owns the first cell,
// extends the layout and sweeps withdrawals. Runs on the event loop.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "advicequeue.h"
#include "cellcontroller.h"
#include "fleetview.h"
#include "withdrawalsweeper.h"

namespace gooseberry::fleet {

class CellManager : public std::enable_shared_from_this<CellManager>
{
public:
  CellManager(const FleetSettings& aSettings, CellControllerPorts aPorts);

  // Announces that this instance is leaving and releases all owned cells, for a
  // planned shutdown. Calls aDone once the release of each is recorded or the
  // cell is lost.
  auto Release(std::function<void()> aDone) -> void;
  // The operators' or workers' rows that the site watcher follows have changed
  // or were read again.
  auto OnSiteChanged() -> void;
  // The fleet view was read again; it has not necessarily changed.
  auto OnViewChanged() -> void;

  // The owned cell with this name; null if this instance does not own it.
  auto FindOwnedCell(const std::string& aCell) const -> const cells::Cell*;
  // The same, but null if the cell's count of waiting jobs may be too old.
  auto FindCountingCell(const std::string& aCell) const -> const cells::Cell*;
  // A job of an owned cell; null if there is none.
  auto FindJob(const cells::JobId& aJob) const -> const cells::Job*;
  auto OwnedCells() const -> std::vector<const cells::Cell*>;
  auto OwnedCellLoads() const -> std::map<std::string, cells::CellLoad>;
  // Tell the job's cell of a job or cancellation that this instance accepted,
  // so that the cell need not wait for the table feed.
  auto OnJobAccepted(const cells::JobRow& aRow) -> void;
  auto OnJobCancelled(const std::string& aCell, const cells::JobId& aJob)
    -> void;
  // Adds to the metrics what the owned cells counted since the last call.
  auto PublishMetrics() -> void;

private:
  auto PlanFirstLayout() -> void;
  auto PlanOnceWorkersSettle() -> void;
  auto ExtendLayout() -> void;
  // Starts the sweeper of withdrawals, unless it was started before.
  auto SweepWithdrawals() -> void;
  // The owner of the first cell does the tasks that one instance does for all.
  auto OwnsFirstCell() const -> bool;
  // How many cells this instance owns or takes over.
  auto HeldCells() const -> std::size_t;
  // Closes connections to workers that no owned cell has any more.
  auto CloseUnusedConnections() -> void;
  // Hands one of several owned cells over if a candidate for it owns none.
  auto ShedCell() -> void;
  // Whether a live candidate for the cell owns no cell.
  auto HasFreeCandidate(const std::string& aCell) const -> bool;

  const FleetSettings& settings;
  AdviceQueue adviceQueue;
  CellControllerPorts ports;
  std::map<std::string, std::shared_ptr<CellController>> controllers;
  std::shared_ptr<WithdrawalSweeper> withdrawalSweeper;
  bool releasing = false;
  // This instance is planning the first layout.
  bool planningFirstLayout = false;
  std::size_t seenWorkerCount = 0;
  Time firstWorkerSeenAt{};
  Time workerCountChangedAt{};
  TimerHandle planTimer;
  Time connectionsCheckedAt{};
  // No cell is handed over before this time.
  Time nextShedAt{};
};

} // namespace gooseberry::fleet

#endif
