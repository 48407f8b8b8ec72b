#ifndef GOOSEBERRY_FLEETVIEW_H
#define GOOSEBERRY_FLEETVIEW_H

// State that the instances share through the store: the live members, the
// assignment of racks to cells, and the load of each cell. All of it is in one
// part of one table, so that one call reads it. Runs on the event loop.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cellload.h"
#include "decisionlog.h"
#include "fleetsettings.h"
#include "loop.h"
#include "members.h"
#include "storeclock.h"
#include "tableport.h"

namespace gooseberry::fleet {

class FleetView : public std::enable_shared_from_this<FleetView>
{
public:
  // Returns the loads of the cells that this instance owns, by cell.
  using LoadSource = std::function<std::map<std::string, cells::CellLoad>()>;

  FleetView(const FleetSettings& aSettings,
            Loop& aLoop,
            cells::TableClient& aTables,
            cells::DecisionLog& aLog);

  // aOnChange is called on the loop after each successful read.
  auto Start(LoadSource aOwnLoadSource, std::function<void()> aOnChange)
    -> void;
  // Announces to the other members that this instance takes no more cells.
  auto AnnounceLeaving() -> void;

  auto Members() const -> const cells::MemberTracker&;
  // Empty until the first layout, planned from the workers seen by then, has
  // been read.
  auto Layout() const -> const std::optional<cells::Layout>&;
  // Those that were old when they were read count as unknown.
  auto Loads() const -> const std::map<std::string, cells::CellLoad>&;
  // The load if it was certainly measured after this time, else null.
  auto LoadSince(const std::string& aCell, Time aSince) const
    -> const cells::CellLoad*;
  // Reads of the store that this instance may make each second, if all
  // instances share them evenly.
  auto ReadsPerSecond() const -> double;
  // When the last successful read was sent; the layout and the loads that are
  // known are no older.
  auto ReadAt() const -> std::optional<Time>;
  // Reads the layout and the loads at once, or joins a read under way. Calls
  // aDone when it has ended, successfully or not.
  auto ReadNow(std::function<void()> aDone) -> void;
  // Writes a new layout, unless another one was written since the last read or
  // a proposal of this instance is under way.
  auto ProposeLayout(const cells::Layout& aLayout) -> void;

private:
  auto WriteHeartbeat() -> void;
  auto ReadFleetTable() -> void;
  auto OnFleetTableRead(Time aSentAt,
                        bool aWithMembers,
                        const cells::TableReadResult& aOutcome) -> void;
  using MemberRows = std::vector<std::pair<cells::MemberRow, std::uint64_t>>;
  auto OnMembersRead(const MemberRows& aRows) -> void;
  auto RemoveAbandonedMembers() -> void;
  auto OnLayoutRow(const cells::StoredRow& aRow) -> void;
  auto OnLoadRow(const std::string& aCell, const cells::StoredRow& aRow)
    -> void;
  // Logs a row that can't be decoded.
  auto Tell(const char* aEvent,
            const cells::StoredRow& aRow,
            const std::string& aReason) -> void;
  auto StartTimer(TimerHandle& aTimer,
                  Millis aDelay,
                  void (FleetView::*aCallback)()) -> void;

  Loop& loop;
  cells::TableClient& tables;
  cells::DecisionLog& log;
  LoadSource ownLoadSource;
  std::function<void()> onChange;
  const StoreSettings storeSettings;
  cells::MemberRow ownMemberRow;
  cells::MemberTracker members;
  cells::MemberIntervals intervals;
  std::optional<cells::Layout> layout;
  std::uint64_t layoutVersion = 0;
  std::map<std::string, cells::CellLoad> loads;
  // When each load was measured, at the earliest; none for those that do not
  // tell.
  std::map<std::string, Time> loadsMeasuredAt;
  std::optional<StoreClockReading> storeClock;
  std::optional<Time> readAt;
  // When the members' rows are read next.
  Time membersReadDueAt{};
  Time memberWrittenAt{};
  bool readInFlight = false;
  bool proposalInFlight = false;
  std::size_t loggedMemberCount = 0;
  std::vector<std::function<void()>> readCallbacks;
  TimerHandle heartbeatTimer;
  TimerHandle readTimer;
};

} // namespace gooseberry::fleet

#endif
