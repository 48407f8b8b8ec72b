#ifndef GOOSEBERRY_FLEETVIEW_H
#define GOOSEBERRY_FLEETVIEW_H

// What the instances tell each other through the store: who is alive, how racks
// are dealt to cells, and how loaded each cell is. All of it lies in one part
// of one table, so that one call reads it. Belongs to the event loop.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisionlog.h"
#include "fleetsettings.h"
#include "layout.h"
#include "loop.h"
#include "members.h"
#include "tableport.h"

namespace gooseberry::fleet {

class FleetView : public std::enable_shared_from_this<FleetView>
{
public:
  // Loads of the cells that this instance owns.
  using OwnLoads = std::function<std::map<std::string, cells::CellLoad>()>;

  FleetView(const FleetSettings& aSettings,
            Loop& aLoop,
            cells::TablePort& aTables,
            cells::DecisionLog& aLog);

  // aOnChange is called on the loop after each reading.
  auto Start(OwnLoads aOwnLoads, std::function<void()> aOnChange) -> void;
  // Tells the others that this instance takes nothing on any more.
  auto Leave() -> void;

  auto Members() const -> const cells::Members&;
  // Nothing before the first worker was seen by anybody.
  auto Layout() const -> const std::optional<cells::Layout>&;
  auto Loads() const -> const std::map<std::string, cells::CellLoad>&;
  // When the store was asked for what is known now.
  auto ReadAt() const -> std::optional<Time>;
  // Reads at once; aDone when that is over, whether it succeeded or not.
  auto ReadNow(std::function<void()> aDone) -> void;
  // Becomes the layout unless another one was written since the last reading.
  auto Propose(const cells::Layout& aLayout) -> void;

private:
  auto Beat() -> void;
  auto Read() -> void;
  auto OnRead(Time aAsked, const cells::RowsOutcome& aOutcome) -> void;
  auto OnLayoutRow(const cells::StoredRow& aRow) -> void;
  auto Tell(const char* aWhat,
            const cells::StoredRow& aRow,
            const std::string& aReason) -> void;
  auto Interval(Millis aLeast, double aPerSecond) const -> Millis;
  auto Later(TimerHandle& aTimer, Millis aDelay, void (FleetView::*aWork)())
    -> void;

  const FleetSettings& settings;
  Loop& loop;
  cells::TablePort& tables;
  cells::DecisionLog& log;
  OwnLoads ownLoads;
  std::function<void()> onChange;
  cells::MemberRow self;
  cells::Members members;
  std::optional<cells::Layout> layout;
  std::uint64_t layoutVersion = 0;
  std::map<std::string, cells::CellLoad> loads;
  std::optional<Time> readAt;
  Time memberWrittenAt{};
  bool reading = false;
  bool proposing = false;
  std::size_t toldMembers = 0;
  std::vector<std::function<void()>> waiting;
  TimerHandle beatTimer;
  TimerHandle readTimer;
};

} // namespace gooseberry::fleet

#endif
