#ifndef GOOSEBERRY_CELLKEEPER_H
#define GOOSEBERRY_CELLKEEPER_H

// Controls one cell: monitors its owner's row, takes the cell over when the
// owner has failed or released it, and carries out the cell's decisions while
// this instance owns it. Runs on the event loop.

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
  // Releases the cell for a planned shutdown. Calls aDone once the release is
  // recorded or the cell is lost, at once if this instance does not own it.
  auto Release(std::function<void()> aDone) -> void;
  auto OnSiteChanged() -> void;

  // Null unless this instance owns the cell.
  auto OwnedCell() const -> const cells::Cell*;
  // Adds to the metrics what the owned cell counted since the last call.
  auto TellMetrics() -> void;
  // This instance itself accepted the job or its cancellation; the cell learns
  // of it without waiting for the table feed.
  auto OnAccepted(const cells::JobRow& aRow) -> void;
  auto OnCancelled(const cells::JobId& aJob) -> void;

private:
  struct Load;

  // Monitoring and takeover (celltakeover.cpp).
  auto Watch() -> void;
  auto OnOwnerRow(const cells::RowsOutcome& aOutcome) -> void;
  // How long the owner's row must stay unchanged before this instance takes the
  // cell over. aReleased: the owner has released the cell, or there is none.
  auto Patience(bool aReleased) const -> Millis;
  auto OwnWorkers() const -> cells::WorkerTable;
  // aOwnerRowVersion: of the owner's row to replace, 0 if there is none.
  auto TakeOver(std::uint64_t aOwnerRowVersion, std::uint64_t aFencingToken)
    -> void;
  auto LoadRecords() -> void;
  auto ReadInto(const cells::RowsRange& aRange,
                std::vector<cells::StoredRow> Load::*aTarget) -> void;
  auto OnRead(Load& aRows,
              const cells::RowsRange& aRange,
              std::vector<cells::StoredRow> Load::*aTarget,
              const cells::RowsOutcome& aOutcome) -> void;
  auto OnLoaded() -> void;

  // Ownership.
  auto Step() -> void;
  auto StepSoon() -> void;
  auto StepEvery() -> void;
  auto SendCalls() -> void;
  auto SendQuestions() -> void;
  auto WriteNext() -> void;
  auto Commit(const cells::RowsCommit& aCommit) -> void;
  auto NoteRecording(const cells::CommitOutcome& aOutcome) -> void;
  auto ReadOwner() -> void;
  auto Apply(const cells::RecorderNews& aResult) -> void;
  // Decodes the row; nothing if it belongs to another cell or can't be decoded.
  // An unreadable job row is logged.
  auto JobOf(const cells::StoredRow& aRow) const
    -> std::optional<cells::JobRow>;
  auto CancelledBy(const cells::StoredRow& aRow) const
    -> std::optional<cells::JobId>;
  auto OnJobRows(const std::vector<cells::StoredRow>& aRows) -> void;
  auto OnCancelRows(const std::vector<cells::StoredRow>& aRows) -> void;
  auto NewSweeper() -> std::shared_ptr<JobSweeper>;
  auto Lose(const char* aReason) -> void;
  auto Later(TimerHandle& aTimer,
             Millis aDelay,
             void (CellKeeper::*aCallback)()) -> void;

  const FleetSettings& settings;
  const cells::CellRows rows;
  KeeperPorts ports;

  // A reading of the store's steady clock, in milliseconds. That clock showed
  // at most storeMs at local time sentAt, and at least storeMs at receivedAt.
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
  // Estimates what the store's steady clock shows at aNow, in milliseconds.
  // Requires storeClock.
  auto StoreMsAt(Time aNow) const -> std::int64_t;
  auto HearLearnt(const cells::StoredRow& aRow,
                  cells::CellTakeover& aTakeover) const -> void;

  // Monitoring.
  std::optional<StoreClock> storeClock;
  // The owner's row that the last takeover attempt of this instance replaces;
  // empty if the cell had none.
  std::optional<cells::OwnerRow> earlier;
  std::uint64_t seenVersion = 0;
  Time seenAt{};
  bool seenReleased = false;
  std::size_t rank = 0;
  bool taking = false;
  TimerHandle watchTimer;

  // Ownership.
  std::shared_ptr<Load> load;
  std::unique_ptr<cells::Cell> cell;
  cells::CellCounts toldCounts{};
  std::optional<cells::Recorder> recorder;
  std::shared_ptr<JobSweeper> sweeper;
  std::shared_ptr<TableFollower> jobRows;
  std::shared_ptr<TableFollower> cancelRows;
  // Incremented by each takeover and each loss, so that answers to calls of an
  // earlier ownership are discarded.
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
