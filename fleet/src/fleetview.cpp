#include "fleetview.h"

#include <algorithm>

#include "tunables_cells.h"
#include "tunables_fleet.h"

namespace gooseberry::fleet {

namespace {

constexpr const char* kFleetTable = "fleet";
constexpr const char* kLayoutKey = "layout";
const std::string kMemberPrefix = "member/";
const std::string kLoadPrefix = "load/";

// Interval between reads until a layout is known, short so that jobs are
// accepted soon after the start.
constexpr Millis kStartupReadInterval{ 300 };
// Timeout of one call to the store.
constexpr Millis kStoreCallTimeout{ 1200 };

auto
FleetRowKey(const std::string& aName) -> cells::RowKey
{
  return { kFleetTable, "", aName };
}

} // namespace

FleetView::FleetView(const FleetSettings& aSettings,
                     Loop& aLoop,
                     cells::TableClient& aTables,
                     cells::DecisionLog& aLog)
  : loop(aLoop)
  , tables(aTables)
  , log(aLog)
  , storeSettings(aSettings.store)
  , ownMemberRow{ aSettings.instance,
                  aSettings.address,
                  aSettings.processorShare }
{
}

auto
FleetView::Start(LoadSource aOwnLoadSource, std::function<void()> aOnChange)
  -> void
{
  this->ownLoadSource = std::move(aOwnLoadSource);
  this->onChange = std::move(aOnChange);
  this->WriteHeartbeat();
  this->ReadFleetTable();
}

auto
FleetView::AnnounceLeaving() -> void
{
  this->ownMemberRow.leaving = true;
  this->memberWrittenAt = {};
  this->WriteHeartbeat();
}

auto
FleetView::Members() const -> const cells::MemberTracker&
{
  return this->members;
}

auto
FleetView::Layout() const -> const std::optional<cells::Layout>&
{
  return this->layout;
}

auto
FleetView::Loads() const -> const std::map<std::string, cells::CellLoad>&
{
  return this->loads;
}

auto
FleetView::LoadSince(const std::string& aCell, Time aSince) const
  -> const cells::CellLoad*
{
  const auto measured = this->loadsMeasuredAt.find(aCell);
  return measured != this->loadsMeasuredAt.end() && measured->second >= aSince
           ? &this->loads.at(aCell)
           : nullptr;
}

auto
FleetView::ReadsPerSecond() const -> double
{
  const auto members = this->members.Alive().size();
  return static_cast<double>(this->storeSettings.readsPerSecond) /
         static_cast<double>(std::max<std::size_t>(members, 1));
}

auto
FleetView::ReadAt() const -> std::optional<Time>
{
  return this->readAt;
}

auto
FleetView::StartTimer(TimerHandle& aTimer,
                      Millis aDelay,
                      void (FleetView::*aCallback)()) -> void
{
  aTimer = this->loop.After(aDelay, [weak = this->weak_from_this(), aCallback] {
    if (const auto view = weak.lock()) {
      (*view.*aCallback)();
    }
  });
}

// Writes this instance's member row, if due, and the loads of its cells in one
// transaction.
auto
FleetView::WriteHeartbeat() -> void
{
  const auto now = this->loop.Now();
  auto commit = cells::TableTransaction{};
  const auto memberRowDue =
    this->memberWrittenAt == Time{} ||
    now >= this->memberWrittenAt + this->intervals.heartbeat;
  if (memberRowDue) {
    ++this->ownMemberRow.beat;
    this->ownMemberRow.heartbeatMs = this->intervals.heartbeat.count();
    this->memberWrittenAt = now;
    commit.puts.push_back(
      { FleetRowKey(kMemberPrefix + this->ownMemberRow.instance),
        cells::EncodeMember(this->ownMemberRow) });
  }
  for (auto& [cell, load] : this->ownLoadSource()) {
    load.storeClockMs =
      this->storeClock ? this->storeClock->EarliestAt(now) : 0;
    this->loads[cell] = load;
    this->loadsMeasuredAt[cell] = now;
    commit.puts.push_back(
      { FleetRowKey(kLoadPrefix + cell), cells::EncodeCellLoad(load) });
  }
  if (!commit.puts.empty()) {
    this->tables.Commit(
      commit, kStoreCallTimeout, [](const cells::TableCommitResult&) {
        // The next heartbeat writes current values again.
      });
  }
  this->StartTimer(
    this->heartbeatTimer, kLoadInterval, &FleetView::WriteHeartbeat);
}

// The members' rows come last in the table, so that a read can leave them out.
auto
FleetView::ReadFleetTable() -> void
{
  this->StartTimer(this->readTimer,
                   this->layout ? this->intervals.otherRead
                                : kStartupReadInterval,
                   &FleetView::ReadFleetTable);
  if (std::exchange(this->readInFlight, true)) {
    return;
  }
  const auto now = this->loop.Now();
  const auto withMembers = now >= this->membersReadDueAt;
  this->tables.Read({ kFleetTable, "", "", withMembers ? "" : kMemberPrefix },
                    kStoreCallTimeout,
                    [weak = this->weak_from_this(), sentAt = now, withMembers](
                      const cells::TableReadResult& aOutcome) {
                      if (const auto view = weak.lock()) {
                        view->OnFleetTableRead(sentAt, withMembers, aOutcome);
                      }
                    });
}

auto
FleetView::ReadNow(std::function<void()> aDone) -> void
{
  this->readCallbacks.push_back(std::move(aDone));
  this->ReadFleetTable();
}

auto
FleetView::OnFleetTableRead(Time aSentAt,
                            bool aWithMembers,
                            const cells::TableReadResult& aOutcome) -> void
{
  this->readInFlight = false;
  if (aOutcome.status == cells::TableStatus::Done) {
    this->readAt = aSentAt;
    if (aOutcome.storeClockMs > 0) {
      this->storeClock =
        StoreClockReading{ aOutcome.storeClockMs, aSentAt, this->loop.Now() };
    }
    auto memberRows = MemberRows{};
    auto reason = std::string{};
    for (const auto& row : aOutcome.rows) {
      const auto& key = row.key.key;
      if (key == kLayoutKey) {
        this->OnLayoutRow(row);
      } else if (key.starts_with(kMemberPrefix)) {
        if (auto member = cells::DecodeMember(row.value, reason)) {
          memberRows.emplace_back(std::move(*member), row.version);
        } else {
          this->Tell("member_unreadable", row, reason);
        }
      } else if (key.starts_with(kLoadPrefix)) {
        this->OnLoadRow(key.substr(kLoadPrefix.size()), row);
      }
    }
    if (aWithMembers) {
      this->OnMembersRead(memberRows);
    }
    if (this->onChange) {
      this->onChange();
    }
  }
  for (const auto& done : std::exchange(this->readCallbacks, {})) {
    done();
  }
}

// An owner that was replaced may write once more after its successor has; the
// token tells.
auto
FleetView::OnLoadRow(const std::string& aCell, const cells::StoredRow& aRow)
  -> void
{
  auto reason = std::string{};
  auto load = cells::DecodeCellLoad(aRow.value, reason);
  if (!load) {
    this->Tell("load_unreadable", aRow, reason);
    return;
  }
  const auto* const known =
    this->LoadSince(aCell, this->loop.Now() - kMaxLoadAge);
  if (known != nullptr && load->fencingToken < known->fencingToken) {
    return;
  }
  if (load->storeClockMs > 0 && this->storeClock &&
      load->storeClockMs <= this->storeClock->storeMs) {
    const auto measuredAt = this->storeClock->FirstTimeOf(load->storeClockMs);
    this->loadsMeasuredAt[aCell] = measuredAt;
    load->isKnown =
      load->isKnown && this->storeClock->sentAt <= measuredAt + kMaxLoadAge;
  } else {
    this->loadsMeasuredAt.erase(aCell);
  }
  this->loads[aCell] = std::move(*load);
}

auto
FleetView::OnMembersRead(const MemberRows& aRows) -> void
{
  const auto now = this->loop.Now();
  this->members.OnRowsRead(now, aRows, this->intervals.membersRead);
  const auto alive = this->members.Alive().size();
  if (alive != this->loggedMemberCount) {
    this->loggedMemberCount = alive;
    this->log.Write("members",
                    { { "alive", std::to_string(alive) },
                      { "rows", std::to_string(aRows.size()) } });
  }
  const auto isFar =
    this->layout &&
    this->members.IsFar(this->ownMemberRow.instance, this->layout->cells);
  this->intervals = cells::PlanMemberIntervals(
    alive,
    static_cast<double>(this->storeSettings.writesPerSecond),
    static_cast<double>(this->storeSettings.readsPerSecond),
    isFar);
  // Until the layout is known, and a little early: reads start at intervals of
  // their own.
  this->membersReadDueAt = this->layout ? now + this->intervals.membersRead -
                                            this->intervals.otherRead / 2
                                        : now;
  this->RemoveAbandonedMembers();
}

// One live member does this, unless their views differ.
auto
FleetView::RemoveAbandonedMembers() -> void
{
  constexpr std::size_t kMostRemovals = 40;
  const auto alive = this->members.Alive();
  if (alive.empty() || alive.front().instance != this->ownMemberRow.instance) {
    return;
  }
  auto commit = cells::TableTransaction{};
  for (const auto& [name, version] :
       this->members.Abandoned(cells::kAbandonedMemberAge)) {
    if (commit.removals.size() < kMostRemovals) {
      const auto key = FleetRowKey(kMemberPrefix + name);
      commit.conditions.push_back({ key, version });
      commit.removals.push_back(key);
    }
  }
  if (!commit.removals.empty()) {
    this->tables.Commit(
      commit, kStoreCallTimeout, [](const cells::TableCommitResult&) {
        // What is left is removed after a later read.
      });
  }
}

auto
FleetView::Tell(const char* aEvent,
                const cells::StoredRow& aRow,
                const std::string& aReason) -> void
{
  this->log.Write(aEvent, { { "row", aRow.key.key }, { "reason", aReason } });
}

auto
FleetView::OnLayoutRow(const cells::StoredRow& aRow) -> void
{
  if (aRow.version <= this->layoutVersion) {
    return;
  }
  auto reason = std::string{};
  auto next = cells::DecodeLayout(aRow.value, reason);
  if (!next) {
    this->Tell("layout_unreadable", aRow, reason);
    return;
  }
  this->layoutVersion = aRow.version;
  this->layout = std::move(next);
  this->log.Write("layout",
                  { { "row", std::to_string(aRow.version) },
                    { "cells", std::to_string(this->layout->cells.size()) },
                    { "racks", std::to_string(this->layout->racks.size()) } });
}

auto
FleetView::ProposeLayout(const cells::Layout& aLayout) -> void
{
  if (std::exchange(this->proposalInFlight, true)) {
    return;
  }
  auto commit = cells::TableTransaction{};
  commit.conditions.push_back({ FleetRowKey(kLayoutKey), this->layoutVersion });
  commit.puts.push_back(
    { FleetRowKey(kLayoutKey), cells::EncodeLayout(aLayout) });
  this->tables.Commit(commit,
                      kStoreCallTimeout,
                      [weak = this->weak_from_this()](
                        const cells::TableCommitResult& /*aOutcome*/) {
                        // The read shows which layout is in force, this or
                        // another instance's.
                        if (const auto view = weak.lock()) {
                          view->proposalInFlight = false;
                          view->ReadFleetTable();
                        }
                      });
}

} // namespace gooseberry::fleet
