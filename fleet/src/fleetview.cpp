#include "fleetview.h"

#include <algorithm>

#include "tunables_cells.h"

namespace gooseberry::fleet {

namespace {

constexpr const char* kTable = "fleet";
constexpr const char* kLayoutKey = "layout";
const std::string kMemberPrefix = "member/";
const std::string kLoadPrefix = "load/";

// Loads of owned cells are written this often: counts may be 2 s old.
constexpr Millis kLoadBeat{ 1000 };
// The first readings come quickly, so that jobs are taken soon after the start.
constexpr Millis kFirstReads{ 300 };
// Calls that all instances together make a second, however many they are.
constexpr double kMemberWritesPerSecond = 20.0;
constexpr double kReadsPerSecond = 40.0;
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
FleetView::Start(OwnLoads aOwnLoads, std::function<void()> aOnChange) -> void
{
  this->ownLoads = std::move(aOwnLoads);
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
FleetView::Later(TimerHandle& aTimer, Millis aDelay, void (FleetView::*aWork)())
  -> void
{
  aTimer = this->loop.After(aDelay, [weak = this->weak_from_this(), aWork] {
    if (const auto view = weak.lock()) {
      (*view.*aWork)();
    }
  });
}

// Grows with the number of instances, so that all of them together stay within
// the calls a second.
auto
FleetView::Interval(Millis aLeast, double aPerSecond) const -> Millis
{
  const auto all = static_cast<double>(this->members.Alive().size());
  return std::max(aLeast,
                  std::chrono::duration_cast<Millis>(
                    std::chrono::duration<double>(all / aPerSecond)));
}

// One transaction with all that this instance has to tell.
auto
FleetView::Beat() -> void
{
  const auto now = this->loop.Now();
  auto commit = cells::RowsCommit{};
  const auto due =
    this->memberWrittenAt == Time{} ||
    now >= this->memberWrittenAt +
             this->Interval(cells::kMemberBeat, kMemberWritesPerSecond);
  if (due) {
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
      // The next beat tells anew.
    });
  }
  this->Later(this->beatTimer, kLoadBeat, &FleetView::Beat);
}

auto
FleetView::Read() -> void
{
  const auto rest = this->layout
                      ? this->Interval(cells::kMemberBeat, kReadsPerSecond)
                      : kFirstReads;
  this->Later(this->readTimer, rest, &FleetView::Read);
  if (std::exchange(this->reading, true)) {
    return;
  }
  this->tables.Read({ kTable, "", "", "" },
                    kTimeout,
                    [weak = this->weak_from_this(), asked = this->loop.Now()](
                      const cells::RowsOutcome& aOutcome) {
                      if (const auto view = weak.lock()) {
                        view->OnRead(asked, aOutcome);
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
FleetView::OnRead(Time aAsked, const cells::RowsOutcome& aOutcome) -> void
{
  this->reading = false;
  if (aOutcome.end == cells::TableEnd::Done) {
    this->readAt = aAsked;
    auto rows = std::vector<std::pair<cells::MemberRow, std::uint64_t>>{};
    auto reason = std::string{};
    for (const auto& row : aOutcome.rows) {
      const auto& key = row.key.key;
      if (key == kLayoutKey) {
        this->OnLayoutRow(row);
      } else if (key.starts_with(kMemberPrefix)) {
        if (auto member = cells::DecodeMember(row.value, reason)) {
          rows.emplace_back(std::move(*member), row.version);
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
    this->members.OnRead(this->loop.Now(), rows);
    if (const auto alive = this->members.Alive().size();
        alive != this->toldMembers) {
      this->toldMembers = alive;
      this->log.Write("members",
                      { { "alive", std::to_string(alive) },
                        { "rows", std::to_string(rows.size()) } });
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
FleetView::Tell(const char* aWhat,
                const cells::StoredRow& aRow,
                const std::string& aReason) -> void
{
  this->log.Write(aWhat, { { "row", aRow.key.key }, { "reason", aReason } });
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
      // Whether it was written, and by whom, shows in the
      // row.
      if (const auto view = weak.lock()) {
        view->proposing = false;
        view->Read();
      }
    });
}

} // namespace gooseberry::fleet
