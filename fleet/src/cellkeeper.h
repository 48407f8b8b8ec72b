#ifndef GOOSEBERRY_CELLKEEPER_H
#define GOOSEBERRY_CELLKEEPER_H

// Keeps one cell owned: watches its owner's row, takes the cell over when the
// owner is gone, and carries out what the cell decides while it is ours.
// Belongs to the event loop.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cell.h"
#include "fleetmetrics.h"
#include "fleetsettings.h"
#include "fleetview.h"
#include "jobsweeper.h"
#include "loop.h"
#include "recorder.h"
#include "sitewatch.h"
#include "tablefollower.h"
#include "tableport.h"
#include "workerport.h"

namespace gooseberry::fleet {

struct KeeperPorts
{
  Loop& loop;
  cells::TablePort& tables;
  cells::WorkerPort& workers;
  cells::AdvicePort& advice;
  SiteWatch& site;
  FleetView& view;
  cells::DecisionLog& log;
  FleetMetrics& metrics;
};

class CellKeeper : public std::enable_shared_from_this<CellKeeper>
{
public:
  CellKeeper(const FleetSettings& aSettings,
             std::string aCell,
             KeeperPorts aPorts);

  auto Start() -> void;
  // Gives the cell up for a planned stop; aDone when that is recorded.
  auto Release(std::function<void()> aDone) -> void;
  auto OnSiteChanged() -> void;

  // Null unless this instance owns the cell.
  auto OwnedCell() const -> const cells::Cell*;
  // Adds to the metrics what the owned cell did since the last call.
  auto TellMetrics() -> void;
  // This instance accepted the job or its cancellation itself.
  auto OnAccepted(const cells::JobRow& aRow) -> void;
  auto OnCancelled(const cells::JobId& aJob) -> void;

private:
  struct Load;

  // Watching and taking over (celltakeover.cpp).
  auto Watch() -> void;
  auto OnOwnerRow(const cells::RowsOutcome& aOutcome) -> void;
  // How long the owner's row must be as it is before this instance steps in.
  auto Patience(bool aReleased) const -> Millis;
  auto OwnWorkers() const -> cells::WorkerTable;
  auto TakeOver(std::uint64_t aVersion, std::uint64_t aToken) -> void;
  auto LoadRecords() -> void;
  auto ReadInto(const cells::RowsRange& aRange,
                std::vector<cells::StoredRow> Load::*aWhere) -> void;
  auto OnRead(Load& aLoad,
              const cells::RowsRange& aRange,
              std::vector<cells::StoredRow> Load::*aWhere,
              const cells::RowsOutcome& aOutcome) -> void;
  auto OnLoaded() -> void;

  // Owning.
  auto Step() -> void;
  auto StepSoon() -> void;
  auto StepEvery() -> void;
  auto SendCalls() -> void;
  auto SendQuestions() -> void;
  auto WriteNext() -> void;
  auto Commit(const cells::RowsCommit& aCommit) -> void;
  auto NoteRecording(const cells::CommitOutcome& aOutcome) -> void;
  auto ReadOwner() -> void;
  auto Apply(const cells::RecorderNews& aNews) -> void;
  // What a row says if it is about this cell.
  auto JobOf(const cells::StoredRow& aRow) const
    -> std::optional<cells::JobRow>;
  auto CancelledBy(const cells::StoredRow& aRow) const
    -> std::optional<cells::JobId>;
  auto OnJobRows(const std::vector<cells::StoredRow>& aRows) -> void;
  auto OnCancelRows(const std::vector<cells::StoredRow>& aRows) -> void;
  auto NewSweeper() -> std::shared_ptr<JobSweeper>;
  auto Lose(const char* aWhy) -> void;
  auto Later(TimerHandle& aTimer, Millis aDelay, void (CellKeeper::*aWork)())
    -> void;

  const FleetSettings& settings;
  const cells::CellRows rows;
  KeeperPorts ports;

  // The store's steady clock: at least and at most, at an own time.
  struct StoreClock
  {
    std::int64_t storeMs = 0;
    Time asked{};
    Time answered{};
  };
  auto LeaseGiven() const -> Millis;
  auto NoteStoreClock(std::int64_t aStoreMs, Time aAsked) -> void;
  auto LapsesOf(const cells::OwnerRow& aOwner) const
    -> std::map<WorkerId, Time>;
  auto SilentForRow() -> std::map<std::string, std::int64_t>;
  // About what the store's clock shows; it must have been seen.
  auto StoreMsAt(Time aNow) const -> std::int64_t;
  auto HearLearnt(const cells::StoredRow& aRow,
                  cells::CellTakeover& aTakeover) const -> void;

  // Watching.
  std::optional<StoreClock> storeClock;
  // The owner's row as this instance replaced it.
  std::optional<cells::OwnerRow> earlier;
  std::uint64_t seenVersion = 0;
  Time seenAt{};
  bool seenReleased = false;
  std::size_t rank = 0;
  bool taking = false;
  TimerHandle watchTimer;

  // Owning.
  std::shared_ptr<Load> load;
  std::unique_ptr<cells::Cell> cell;
  cells::CellCounts toldCounts{};
  std::optional<cells::Recorder> recorder;
  std::shared_ptr<JobSweeper> sweeper;
  std::shared_ptr<TableFollower> jobRows;
  std::shared_ptr<TableFollower> cancelRows;
  // Grows with each takeover and loss; late answers of before are dropped.
  std::uint64_t term = 0;
  Time lastWrite{};
  Time toldLearnt{};
  std::optional<Time> notRecordingSince;
  bool readingOwner = false;
  bool stepPosted = false;
  TimerHandle stepTimer;
  std::function<void()> onReleased;
  bool releasing = false;
};

} // namespace gooseberry::fleet

#endif
