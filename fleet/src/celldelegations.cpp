// Rows by which the cells of a group run tasks for each other.

#include "cellcontroller.h"
#include "tunables_cells.h"
#include "tunables_fleet.h"

namespace gooseberry::fleet {

auto
CellController::NeighbourCells() const -> std::vector<std::string>
{
  const auto& layout = this->ports.fleetView.Layout();
  return layout ? layout->NeighboursOf(this->rows.cell)
                : std::vector<std::string>{};
}

auto
CellController::DelegationTableOf(const std::string& aCell) const -> std::string
{
  const auto& layout = this->ports.fleetView.Layout();
  return layout ? layout->DelegationTableOf(aCell) : std::string{};
}

auto
CellController::StopFollowingDelegations() -> void
{
  for (const auto& follower : std::exchange(this->delegationFollowers, {})) {
    follower->Stop();
  }
  this->followedCells.clear();
}

auto
CellController::FollowDelegations(std::uint64_t aVersion, Time aReadAt) -> void
{
  this->StopFollowingDelegations();
  this->followedCells = this->NeighbourCells();
  if (this->followedCells.empty()) {
    return;
  }
  const auto hosts = this->ports.fleetView.Layout()->HostsOf(this->rows.cell);
  this->hostCells = { hosts.begin(), hosts.end() };
  this->recorder->SetDelegationTable(this->DelegationTableOf(this->rows.cell));
  auto cellsByTable = std::map<std::string, std::vector<std::string>>{};
  for (const auto& cell : this->followedCells) {
    cellsByTable[this->DelegationTableOf(cell)].push_back(cell);
  }
  for (const auto& [table, cells] : cellsByTable) {
    this->FollowDelegationTable(table, cells, aVersion, aReadAt);
  }
}

auto
CellController::FollowDelegationTable(const std::string& aTable,
                                      const std::vector<std::string>& aCells,
                                      std::uint64_t aVersion,
                                      Time aReadAt) -> void
{
  const auto follower = std::make_shared<TableFollower>(
    this->ports.loop,
    this->ports.tables,
    FollowerOptions{ aTable, aCells, kDelegationFeedWait, kLoadFeedPause },
    this->ports.log,
    [weak = this->weak_from_this(), epoch = this->ownershipEpoch, aCells](
      const std::vector<cells::StoredRow>& aRows, bool aIsSnapshot) {
      const auto self = weak.lock();
      if (self && self->cell && self->ownershipEpoch == epoch) {
        self->OnDelegationRows(
          aRows, aIsSnapshot ? aCells : std::vector<std::string>{});
      }
    });
  this->delegationFollowers.push_back(follower);
  if (aVersion > 0) {
    follower->StartAfter(aVersion, aReadAt);
  } else {
    follower->Start();
  }
}

auto
CellController::OnDelegationRows(const std::vector<cells::StoredRow>& aRows,
                                 const std::vector<std::string>& aSnapshotOf)
  -> void
{
  auto numbers = std::map<std::string, std::set<std::uint64_t>>{};
  for (const auto& row : aRows) {
    const auto key = cells::ParseDelegationKey(row.key.key);
    if (!key) {
      continue;
    }
    if (key->kind == cells::DelegationKey::Kind::Delegation &&
        key->peer == this->rows.cell) {
      numbers[row.key.partition].insert(key->number);
    }
    this->OnDelegationRow(row, *key);
  }
  for (const auto& home : aSnapshotOf) {
    this->cell->OnAllDelegations(this->ports.loop.Now(), home, numbers[home]);
  }
  const auto pause =
    this->cell->HasDelegations() ? kDelegationFeedPause : kLoadFeedPause;
  for (const auto& follower : this->delegationFollowers) {
    follower->SetFeedPause(pause);
  }
  this->PostDecisionRound();
}

template<class Decoded>
auto
CellController::DecodeLogged(
  const cells::StoredRow& aRow,
  std::optional<Decoded> (*aDecode)(const std::string&, std::string&)) const
  -> std::optional<Decoded>
{
  auto reason = std::string{};
  auto decoded = aDecode(aRow.value, reason);
  if (!decoded) {
    this->ports.log.Write("delegation_unreadable",
                          { { "cell", aRow.key.partition },
                            { "row", aRow.key.key },
                            { "reason", reason } });
  }
  return decoded;
}

template auto
CellController::DecodeLogged(
  const cells::StoredRow&,
  std::optional<cells::Delegation> (*)(const std::string&, std::string&)) const
  -> std::optional<cells::Delegation>;
template auto
CellController::DecodeLogged(
  const cells::StoredRow&,
  std::optional<cells::DelegationReport> (*)(const std::string&,
                                             std::string&)) const
  -> std::optional<cells::DelegationReport>;

auto
CellController::OnDelegationRow(const cells::StoredRow& aRow,
                                const cells::DelegationKey& aKey) -> void
{
  const auto now = this->ports.loop.Now();
  const auto& peer = aRow.key.partition;
  if (aKey.kind == cells::DelegationKey::Kind::Load) {
    if (!this->hostCells.contains(peer)) {
      return;
    }
    if (auto load = this->DecodeLogged(aRow, cells::DecodeCellLoad)) {
      // Instances of earlier versions do not tell the time.
      const auto measuredAt =
        load->storeClockMs > 0 && this->storeClock
          ? std::min(now, this->storeClock->FirstTimeOf(load->storeClockMs))
          : now;
      this->cell->OnPeerLoad(measuredAt, peer, std::move(*load));
    }
    return;
  }
  if (aKey.kind == cells::DelegationKey::Kind::Learned) {
    this->OnPeerLearned(aRow);
    return;
  }
  if (aKey.peer != this->rows.cell) {
    return;
  }
  const auto removed = aRow.version == 0;
  if (aKey.kind == cells::DelegationKey::Kind::Report) {
    if (removed) {
      return;
    }
    if (const auto report =
          this->DecodeLogged(aRow, cells::DecodeDelegationReport)) {
      this->cell->OnDelegationReport(now, peer, *report);
    }
  } else if (removed) {
    this->cell->OnDelegationClosed(now, peer, aKey.number);
  } else if (const auto delegation =
               this->DecodeLogged(aRow, cells::DecodeDelegation)) {
    this->cell->OnDelegation(
      now, this->ports.loop.UnixMillis(), peer, *delegation);
  }
}

// The load goes with a transaction that is made anyway.
auto
CellController::AddLoadToCommit(Time aNow) -> void
{
  if (this->followedCells.empty() ||
      aNow < this->loadWrittenAt + cells::kLoadMeasureInterval) {
    return;
  }
  this->loadWrittenAt = aNow;
  auto load = this->cell->LoadSummary();
  load.pending.clear();
  load.storeClockMs = this->storeClock ? this->storeClock->EarliestAt(aNow) : 0;
  this->recorder->SetLoad(cells::EncodeCellLoad(load));
}

// Goes with a transaction too. Each owner of the group reads it, so that it is
// written the less often the more there are.
auto
CellController::AddSharedStateToCommit(Time aNow) -> void
{
  const auto interval =
    std::max(kMinSharedStateInterval,
             kSharedStateIntervalPerPeer *
               static_cast<Millis::rep>(this->followedCells.size()));
  if (this->followedCells.empty() || !this->storeClock ||
      aNow < this->sharedStateWrittenAt + interval) {
    return;
  }
  this->sharedStateWrittenAt = aNow;
  auto shared = this->cell->ExportSharedState(aNow, kSharedPairMaxAge);
  if (shared.pairs.empty() && shared.runTimes.empty()) {
    return;
  }
  shared.storeClockMs = this->storeClock->EarliestAt(aNow);
  this->recorder->SetSharedState(cells::EncodeLearnedState(shared));
}

auto
CellController::OnPeerLearned(const cells::StoredRow& aRow) -> void
{
  if (aRow.version == 0 || !this->storeClock) {
    return;
  }
  if (const auto learned =
        this->DecodeLogged(aRow, cells::DecodeLearnedState)) {
    const auto now = this->ports.loop.Now();
    const auto age =
      Millis{ this->storeClock->EarliestAt(now) - learned->storeClockMs };
    this->cell->OnPeerLearned(now, std::max(Millis{ 0 }, age), *learned);
  }
}

} // namespace gooseberry::fleet
