#include "cellboard.h"

namespace gooseberry::fleet {

namespace {

// The first layout is planned once the number of workers has not changed for
// kWorkerSettleTime, and at the latest kMaxWorkerWait after the first worker
// was seen: the workers of a site register within about 3 s, and jobs can't
// wait for all of them.
constexpr Millis kWorkersSettle{ 700 };
constexpr Millis kWorkersWait{ 3500 };
// Interval of these checks.
constexpr Millis kPlanLook{ 200 };
// Key under which the instances are ranked to choose the one that plans the
// first layout.
constexpr const char* kPlanner = "layout";

} // namespace

CellBoard::CellBoard(const FleetSettings& aSettings, KeeperPorts aPorts)
  : settings(aSettings)
  , ports(aPorts)
{
}

auto
CellBoard::Start() -> void
{
  this->OnViewChanged();
}

auto
CellBoard::OnViewChanged() -> void
{
  const auto& layout = this->ports.view.Layout();
  if (!layout) {
    this->PlanFirstLayout();
    return;
  }
  if (std::exchange(this->planning, false)) {
    this->planTimer.reset();
    this->ports.site.FollowWorkers(false);
  }
  for (const auto& cell : layout->cells) {
    auto& controller = this->keepers[cell];
    if (!controller && !this->releasing) {
      controller =
        std::make_shared<CellKeeper>(this->settings, cell, this->ports);
      controller->Start();
    }
  }
  for (const auto& [cell, controller] : this->keepers) {
    if (controller) {
      controller->OnSiteChanged();
    }
  }
}

auto
CellBoard::PlanFirstLayout() -> void
{
  const auto rank =
    this->ports.view.Members().RankOf(this->settings.instance, kPlanner);
  if (this->planning || this->releasing || !rank || *rank != 0) {
    return;
  }
  this->planning = true;
  this->ports.site.FollowWorkers(true);
  this->LookAtWorkers();
}

auto
CellBoard::LookAtWorkers() -> void
{
  if (!this->planning) {
    return;
  }
  const auto now = this->ports.loop.Now();
  const auto& workers = this->ports.site.Workers();
  if (this->seenWorkers == 0) {
    this->firstSeenAt = now;
  }
  if (workers.size() != this->seenWorkers) {
    this->seenWorkers = workers.size();
    this->seenSince = now;
  }
  if (!workers.empty() && (now > this->seenSince + kWorkersSettle ||
                           now > this->firstSeenAt + kWorkersWait)) {
    this->ports.view.Propose(
      cells::PlanLayout({}, workers, this->settings.cellWorkers));
  }
  this->planTimer =
    this->ports.loop.After(kPlanLook, [weak = this->weak_from_this()] {
      if (const auto board = weak.lock()) {
        board->LookAtWorkers();
      }
    });
}

// Assigns new racks to cells. The owner of the first cell does this, as it
// follows the table of workers anyway.
auto
CellBoard::AmendLayout() -> void
{
  const auto& layout = this->ports.view.Layout();
  if (!layout || layout->cells.empty() ||
      this->Owned(layout->cells.front()) == nullptr ||
      !this->ports.site.WorkersKnown()) {
    return;
  }
  const auto next = cells::PlanLayout(
    *layout, this->ports.site.Workers(), this->settings.cellWorkers);
  if (next != *layout) {
    this->ports.view.Propose(next);
  }
}

auto
CellBoard::OnSiteChanged() -> void
{
  for (const auto& [cell, controller] : this->keepers) {
    controller->OnSiteChanged();
  }
  this->AmendLayout();
}

auto
CellBoard::Owned(const std::string& aCell) const -> const cells::Cell*
{
  const auto found = this->keepers.find(aCell);
  return found == this->keepers.end() ? nullptr : found->second->OwnedCell();
}

auto
CellBoard::OwnedCells() const -> std::vector<const cells::Cell*>
{
  auto owned = std::vector<const cells::Cell*>{};
  for (const auto& [cell, controller] : this->keepers) {
    if (const auto* const ownedCell = controller->OwnedCell()) {
      owned.push_back(ownedCell);
    }
  }
  return owned;
}

auto
CellBoard::FindJob(const cells::JobId& aJob) const -> const cells::Job*
{
  for (const auto* const cell : this->OwnedCells()) {
    if (const auto* const job = cell->FindJob(aJob)) {
      return job;
    }
  }
  return nullptr;
}

auto
CellBoard::OwnLoads() const -> std::map<std::string, cells::CellLoad>
{
  auto loads = std::map<std::string, cells::CellLoad>{};
  for (const auto& [cell, controller] : this->keepers) {
    if (const auto* const ownedCell = controller->OwnedCell()) {
      loads.emplace(cell, ownedCell->Load());
    }
  }
  return loads;
}

auto
CellBoard::OnAccepted(const cells::JobRow& aRow) -> void
{
  const auto found = this->keepers.find(aRow.cell);
  if (found != this->keepers.end()) {
    found->second->OnAccepted(aRow);
  }
}

auto
CellBoard::OnCancelled(const std::string& aCell, const cells::JobId& aJob)
  -> void
{
  const auto found = this->keepers.find(aCell);
  if (found != this->keepers.end()) {
    found->second->OnCancelled(aJob);
  }
}

auto
CellBoard::TellMetrics() -> void
{
  for (const auto& [cell, controller] : this->keepers) {
    controller->TellMetrics();
  }
}

auto
CellBoard::Release(std::function<void()> aDone) -> void
{
  this->releasing = true;
  this->ports.view.Leave();
  const auto unreleased = std::make_shared<std::size_t>(this->keepers.size());
  if (*unreleased == 0) {
    aDone();
    return;
  }
  const auto done = std::make_shared<std::function<void()>>(std::move(aDone));
  const auto controllers = this->keepers;
  for (const auto& [cell, controller] : controllers) {
    controller->Release([unreleased, done] {
      if (--*unreleased == 0) {
        (*done)();
      }
    });
  }
}

} // namespace gooseberry::fleet
