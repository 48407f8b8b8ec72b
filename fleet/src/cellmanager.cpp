#include "cellmanager.h"

#include <algorithm>
#include <set>

namespace gooseberry::fleet {

namespace {

// Planning the first layout waits for workers to stop arriving: until their
// number has not changed for kWorkerSettleTime, but at most kMaxWorkerWait
// after the first worker was seen. The workers of a site register within about
// 3 s, and jobs can't wait for late ones. ExtendLayout adds racks seen later.
constexpr Millis kWorkerSettleTime{ 700 };
constexpr Millis kMaxWorkerWait{ 3500 };
// Interval at which PlanOnceWorkersSettle checks the workers.
constexpr Millis kPlanCheckInterval{ 200 };
// Passed to OwnerRank in place of a cell's name, to choose the instance that
// plans the first layout.
constexpr const char* kPlannerRankKey = "layout";
// Interval at which connections to workers are checked for use. Workers are
// replaced all day, most of them at new addresses.
constexpr Millis kConnectionCheckInterval{ 30000 };
// An instance owns several cells for the first time before it hands one over,
// and for the second before the next: a hand-over stops starts in the cell for
// a second, and the other candidate may be unable to take the cell.
constexpr Millis kShedAfter{ 5000 };
constexpr Millis kShedInterval{ 15000 };

} // namespace

CellManager::CellManager(const FleetSettings& aSettings,
                         CellControllerPorts aPorts)
  : settings(aSettings)
  , adviceQueue(aPorts.loop, aPorts.advice)
  , ports{ aPorts.loop,       aPorts.tables,      aPorts.workers,
           this->adviceQueue, aPorts.siteWatcher, aPorts.fleetView,
           aPorts.log,        aPorts.metrics }
{
}

auto
CellManager::OnViewChanged() -> void
{
  const auto& layout = this->ports.fleetView.Layout();
  if (!layout) {
    this->PlanFirstLayout();
    return;
  }
  if (std::exchange(this->planningFirstLayout, false)) {
    this->planTimer.reset();
    this->ports.siteWatcher.FollowWorkers(false);
  }
  this->SweepWithdrawals();
  for (const auto& cell : layout->cells) {
    if (this->releasing || this->controllers.contains(cell)) {
      continue;
    }
    const auto controller = std::make_shared<CellController>(
      this->settings, cell, this->ports, [weak = this->weak_from_this()] {
        const auto manager = weak.lock();
        return manager ? manager->HeldCells() : 0;
      });
    this->controllers.emplace(cell, controller);
    controller->Start();
  }
  for (const auto& [cell, controller] : this->controllers) {
    controller->OnSiteChanged();
  }
  this->ShedCell();
  this->CloseUnusedConnections();
}

auto
CellManager::PlanFirstLayout() -> void
{
  const auto rank = this->ports.fleetView.Members().OwnerRank(
    this->settings.instance, kPlannerRankKey);
  if (this->planningFirstLayout || this->releasing || !rank || *rank != 0) {
    return;
  }
  this->planningFirstLayout = true;
  this->ports.siteWatcher.FollowWorkers(true);
  this->PlanOnceWorkersSettle();
}

// Repeats until a layout has been read.
auto
CellManager::PlanOnceWorkersSettle() -> void
{
  if (!this->planningFirstLayout) {
    return;
  }
  const auto now = this->ports.loop.Now();
  const auto& workers = this->ports.siteWatcher.Workers();
  // Moves with the time until a worker is seen.
  if (this->seenWorkerCount == 0) {
    this->firstWorkerSeenAt = now;
  }
  if (workers.size() != this->seenWorkerCount) {
    this->seenWorkerCount = workers.size();
    this->workerCountChangedAt = now;
  }
  if (!workers.empty() &&
      (now > this->workerCountChangedAt + kWorkerSettleTime ||
       now > this->firstWorkerSeenAt + kMaxWorkerWait)) {
    this->ports.fleetView.ProposeLayout(
      cells::PlanLayout({}, workers, this->settings.cellWorkers));
  }
  this->planTimer =
    this->ports.loop.After(kPlanCheckInterval, [weak = this->weak_from_this()] {
      if (const auto manager = weak.lock()) {
        manager->PlanOnceWorkersSettle();
      }
    });
}

auto
CellManager::CloseUnusedConnections() -> void
{
  const auto now = this->ports.loop.Now();
  if (now < this->connectionsCheckedAt + kConnectionCheckInterval) {
    return;
  }
  this->connectionsCheckedAt = now;
  auto used = std::set<std::string>{};
  for (const auto* const cell : this->OwnedCells()) {
    for (const auto& [id, slot] : cell->Workers()) {
      used.insert(slot.entry.address);
    }
  }
  this->ports.workers.RetainOnly(used);
}

auto
CellManager::ShedCell() -> void
{
  const auto now = this->ports.loop.Now();
  if (this->releasing || this->HeldCells() < 2) {
    this->nextShedAt = std::max(this->nextShedAt, now + kShedAfter);
    return;
  }
  if (now < this->nextShedAt) {
    return;
  }
  for (const auto& [cell, controller] : this->controllers) {
    if (controller->OwnedCell() != nullptr && this->HasFreeCandidate(cell)) {
      this->nextShedAt = now + kShedInterval;
      controller->HandOver();
      return;
    }
  }
}

auto
CellManager::HasFreeCandidate(const std::string& aCell) const -> bool
{
  auto owners = std::set<std::string>{ this->settings.instance };
  for (const auto& [cell, load] : this->ports.fleetView.Loads()) {
    owners.insert(load.owner);
  }
  const auto& members = this->ports.fleetView.Members();
  const auto alive = members.Alive();
  return std::any_of(
    alive.begin(), alive.end(), [&](const cells::MemberRow& aMember) {
      return !owners.contains(aMember.instance) &&
             members.OwnerRank(aMember.instance, aCell).has_value();
    });
}

auto
CellManager::OwnsFirstCell() const -> bool
{
  const auto& layout = this->ports.fleetView.Layout();
  return layout && !layout->cells.empty() &&
         this->FindOwnedCell(layout->cells.front()) != nullptr;
}

// Assigns new racks to cells. Only the owner of the first cell does this, so
// that one instance plans; it follows the table of workers anyway.
auto
CellManager::ExtendLayout() -> void
{
  if (!this->OwnsFirstCell() || !this->ports.siteWatcher.AreWorkersKnown()) {
    return;
  }
  const auto& layout = this->ports.fleetView.Layout();
  const auto next = cells::PlanLayout(
    *layout, this->ports.siteWatcher.Workers(), this->settings.cellWorkers);
  if (next != *layout) {
    this->ports.fleetView.ProposeLayout(next);
  }
}

auto
CellManager::SweepWithdrawals() -> void
{
  if (this->withdrawalSweeper) {
    return;
  }
  this->withdrawalSweeper = std::make_shared<WithdrawalSweeper>(
    this->ports.loop,
    this->ports.tables,
    WithdrawalAge(this->settings.bounds.keepEnded),
    [weak = this->weak_from_this()] {
      const auto manager = weak.lock();
      return manager && manager->OwnsFirstCell();
    });
  this->withdrawalSweeper->Start();
}

auto
CellManager::OnSiteChanged() -> void
{
  for (const auto& [cell, controller] : this->controllers) {
    controller->OnSiteChanged();
  }
  this->ExtendLayout();
}

auto
CellManager::FindOwnedCell(const std::string& aCell) const -> const cells::Cell*
{
  const auto found = this->controllers.find(aCell);
  return found == this->controllers.end() ? nullptr
                                          : found->second->OwnedCell();
}

auto
CellManager::FindCountingCell(const std::string& aCell) const
  -> const cells::Cell*
{
  const auto found = this->controllers.find(aCell);
  return found != this->controllers.end() && found->second->CountsAllJobs()
           ? found->second->OwnedCell()
           : nullptr;
}

auto
CellManager::OwnedCells() const -> std::vector<const cells::Cell*>
{
  auto owned = std::vector<const cells::Cell*>{};
  for (const auto& [cell, controller] : this->controllers) {
    if (const auto* const ownedCell = controller->OwnedCell()) {
      owned.push_back(ownedCell);
    }
  }
  return owned;
}

auto
CellManager::HeldCells() const -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    this->controllers.begin(), this->controllers.end(), [](const auto& aItem) {
      return aItem.second->IsHeld();
    }));
}

auto
CellManager::FindJob(const cells::JobId& aJob) const -> const cells::Job*
{
  for (const auto* const cell : this->OwnedCells()) {
    if (const auto* const job = cell->FindJob(aJob)) {
      return job;
    }
  }
  return nullptr;
}

auto
CellManager::OwnedCellLoads() const -> std::map<std::string, cells::CellLoad>
{
  auto loads = std::map<std::string, cells::CellLoad>{};
  for (const auto& [cell, controller] : this->controllers) {
    if (const auto* const ownedCell = controller->OwnedCell()) {
      auto load = ownedCell->LoadSummary();
      load.owner = this->settings.instance;
      load.countsAllJobs = controller->CountsAllJobs();
      loads.emplace(cell, std::move(load));
    }
  }
  return loads;
}

auto
CellManager::OnJobAccepted(const cells::JobRow& aRow) -> void
{
  const auto found = this->controllers.find(aRow.cell);
  if (found != this->controllers.end()) {
    found->second->OnJobAccepted(aRow);
  }
}

auto
CellManager::OnJobCancelled(const std::string& aCell, const cells::JobId& aJob)
  -> void
{
  const auto found = this->controllers.find(aCell);
  if (found != this->controllers.end()) {
    found->second->OnJobCancelled(aJob);
  }
}

auto
CellManager::PublishMetrics() -> void
{
  for (const auto& [cell, controller] : this->controllers) {
    controller->PublishMetrics();
  }
}

auto
CellManager::Release(std::function<void()> aDone) -> void
{
  this->releasing = true;
  this->ports.fleetView.AnnounceLeaving();
  const auto unreleased =
    std::make_shared<std::size_t>(this->controllers.size());
  if (*unreleased == 0) {
    aDone();
    return;
  }
  const auto done = std::make_shared<std::function<void()>>(std::move(aDone));
  const auto controllers = this->controllers;
  for (const auto& [cell, controller] : controllers) {
    controller->Release([unreleased, done] {
      if (--*unreleased == 0) {
        (*done)();
      }
    });
  }
}

} // namespace gooseberry::fleet
