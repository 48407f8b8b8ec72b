#include "fleetview.h"

#include <algorithm>

#include "tunables_cells.h"

namespace gooseberry::fleet {

namespace {

constexpr const char* kTable = "fleet";
constexpr const char* kLayoutKey = "layout";
const std::string kMemberPrefix = "member/";
const std::string kLoadPrefix = "load/";

// Interval at which the loads of owned cells are written: the counts that
// callers get may be 2 s old.
constexpr Millis kLoadBeat{ 1000 };
// Interval between reads until a layout is known, short so that jobs are
// accepted soon after the start.
constexpr Millis kFirstReads{ 300 };
// Calls per second of all instances together, whatever their number.
constexpr double kMemberWritesPerSecond = 20.0;
constexpr double kReadsPerSecond = 40.0;
// Timeout of one call to the store.
constexpr Millis kTimeout{ 1200 };

auto
KeyOf(const std::string& aName) -> cells::RowKey
{
  return { kTable, "", aName };
}

} // namespace

FleetView::FleetView(const FleetSettings& aSettings,
                     Loop& aLoop,
                     cells::TablePort& aTables,
                     cells::DecisionLog& aLog)
  : settings(aSettings)
  , loop(aLoop)
  , tables(aTables)
  , log(aLog)
  , self{ aSettings.instance, aSettings.address, aSettings.processorShare }
{
}

auto
FleetView::Start(OwnLoads aOwnLoadSource, std::function<void()> aOnChange)
  -> void
{
  this->ownLoads = std::move(aOwnLoadSource);
  this->onChange = std::move(aOnChange);
  this->Beat();
  this->Read();
}

auto
FleetView::Leave() -> void
{
  this->self.leaving = true;
  this->memberWrittenAt = {};
  this->Beat();
}

auto
FleetView::Members() const -> const cells::Members&
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
FleetView::ReadAt() const -> std::optional<Time>
{
  return this->readAt;
}

auto
FleetView::Later(TimerHandle& aTimer,
                 Millis aDelay,
                 void (FleetView::*aCallback)()) -> void
{
  aTimer = this->loop.After(aDelay, [weak = this->weak_from_this(), aCallback] {
    if (const auto view = weak.lock()) {
      (*view.*aCallback)();
    }
  });
}

auto
FleetView::Interval(Millis aMinimum, double aFleetPerSecond) const -> Millis
{
  const auto liveMembers = static_cast<double>(this->members.Alive().size());
  return std::max(
    aMinimum,
    std::chrono::duration_cast<Millis>(
      std::chrono::duration<double>(liveMembers / aFleetPerSecond)));
}

// Writes this instance's member row, if due, and the loads of its cells in one
// transaction.
auto
FleetView::Beat() -> void
{
  const auto now = this->loop.Now();
  auto commit = cells::RowsCommit{};
  const auto memberRowDue =
    this->memberWrittenAt == Time{} ||
    now >= this->memberWrittenAt +
             this->Interval(cells::kMemberBeat, kMemberWritesPerSecond);
  if (memberRowDue) {
    ++this->self.beat;
    this->memberWrittenAt = now;
    commit.puts.push_back({ KeyOf(kMemberPrefix + this->self.instance),
                            cells::EncodeMember(this->self) });
  }
  for (const auto& [cell, load] : this->ownLoads()) {
    this->loads[cell] = load;
    commit.puts.push_back(
      { KeyOf(kLoadPrefix + cell), cells::EncodeLoad(load) });
  }
  if (!commit.puts.empty()) {
    this->tables.Commit(commit, kTimeout, [](const cells::CommitOutcome&) {
      // The next heartbeat writes current values again.
    });
  }
  this->Later(this->beatTimer, kLoadBeat, &FleetView::Beat);
}

auto
FleetView::Read() -> void
{
  const auto interval = this->layout
                          ? this->Interval(cells::kMemberBeat, kReadsPerSecond)
                          : kFirstReads;
  this->Later(this->readTimer, interval, &FleetView::Read);
  if (std::exchange(this->reading, true)) {
    return;
  }
  this->tables.Read({ kTable, "", "", "" },
                    kTimeout,
                    [weak = this->weak_from_this(), sentAt = this->loop.Now()](
                      const cells::RowsOutcome& aOutcome) {
                      if (const auto view = weak.lock()) {
                        view->OnRead(sentAt, aOutcome);
                      }
                    });
}

auto
FleetView::ReadNow(std::function<void()> aDone) -> void
{
  this->waiting.push_back(std::move(aDone));
  this->Read();
}

auto
FleetView::OnRead(Time aSentAt, const cells::RowsOutcome& aOutcome) -> void
{
  this->reading = false;
  if (aOutcome.end == cells::TableEnd::Done) {
    this->readAt = aSentAt;
    auto memberRows = std::vector<std::pair<cells::MemberRow, std::uint64_t>>{};
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
        if (auto load = cells::DecodeLoad(row.value, reason)) {
          this->loads[key.substr(kLoadPrefix.size())] = std::move(*load);
        } else {
          this->Tell("load_unreadable", row, reason);
        }
      }
    }
    this->members.OnRead(this->loop.Now(), memberRows);
    if (const auto alive = this->members.Alive().size();
        alive != this->toldMembers) {
      this->toldMembers = alive;
      this->log.Write("members",
                      { { "alive", std::to_string(alive) },
                        { "rows", std::to_string(memberRows.size()) } });
    }
    if (this->onChange) {
      this->onChange();
    }
  }
  for (const auto& done : std::exchange(this->waiting, {})) {
    done();
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
FleetView::Propose(const cells::Layout& aLayout) -> void
{
  if (std::exchange(this->proposing, true)) {
    return;
  }
  auto commit = cells::RowsCommit{};
  commit.conditions.push_back({ KeyOf(kLayoutKey), this->layoutVersion });
  commit.puts.push_back({ KeyOf(kLayoutKey), cells::EncodeLayout(aLayout) });
  this->tables.Commit(
    commit,
    kTimeout,
    [weak = this->weak_from_this()](const cells::CommitOutcome& /*aOutcome*/) {
      // The read shows which layout is in force, this or another
      // instance's.
      if (const auto view = weak.lock()) {
        view->proposing = false;
        view->Read();
      }
    });
}

} // namespace gooseberry::fleet
