#ifndef GOOSEBERRY_CELLCONTROLLER_H
#define GOOSEBERRY_CELLCONTROLLER_H

// Controls one cell: monitors its owner's row, takes the cell over when the
// owner has failed or released it, and carries out the cell's decisions while
// this instance owns it. Runs on the event loop.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "accountsharestore.h"
#include "cell.h"
#include "fleetmetrics.h"
#include "fleetsettings.h"
#include "fleetview.h"
#include "jobsweeper.h"
#include "loop.h"
#include "recorder.h"
#include "sitewatcher.h"
#include "storeclock.h"
#include "tablefollower.h"
#include "tableport.h"
#include "workerport.h"

namespace gooseberry::fleet {

struct CellControllerPorts
{
  Loop& loop;
  cells::TableClient& tables;
  cells::WorkerPort& workers;
  cells::AdviceClient& advice;
  SiteWatcher& siteWatcher;
  FleetView& fleetView;
  cells::DecisionLog& log;
  FleetMetrics& metrics;
};

class CellController : public std::enable_shared_from_this<CellController>
{
public:
  // aHeldCells: how many cells this instance owns or takes over.
  CellController(const FleetSettings& aSettings,
                 std::string aCell,
                 CellControllerPorts aPorts,
                 std::function<std::size_t()> aHeldCells);

  auto Start() -> void;
  // Releases the cell for a planned shutdown. Calls aDone once the release is
  // recorded or the cell is lost, at once if this instance does not own it.
  auto Release(std::function<void()> aDone) -> void;
  // Releases the cell for another candidate to take over. This instance stays a
  // candidate itself.
  auto HandOver() -> void;
  auto OnSiteChanged() -> void;
  // Whether this instance owns the cell or takes it over.
  auto IsHeld() const -> bool;

  // Null unless this instance owns the cell.
  auto OwnedCell() const -> const cells::Cell*;
  // Whether this instance certainly owned the cell kJobsKnownAfter ago, and
  // knows all jobs that had been accepted by then.
  auto CountsAllJobs() const -> bool;
  // Adds to the metrics what the owned cell counted since the last call.
  auto PublishMetrics() -> void;
  // This instance itself accepted the job or its cancellation; the cell learns
  // of it without waiting for the table feed.
  auto OnJobAccepted(const cells::JobRow& aRow) -> void;
  auto OnJobCancelled(const cells::JobId& aJob) -> void;

private:
  struct TakeoverRows;

  // Monitoring and takeover (celltakeover.cpp).
  auto PollOwner() -> void;
  auto OnOwnerPolled(const cells::TableReadResult& aOutcome) -> void;
  // How long the owner's row must stay unchanged before this instance takes the
  // cell over. aReleased: the owner has released the cell, or there is none.
  auto TakeoverDelay(bool aReleased) const -> Millis;
  auto WorkersOfCell() const -> cells::WorkerTable;
  // aOwnerRowVersion: of the owner's row to replace, 0 if there is none.
  auto TakeOver(std::uint64_t aOwnerRowVersion, std::uint64_t aFencingToken)
    -> void;
  auto ReadTakeoverRows() -> void;
  auto ReadRange(const cells::RowRange& aRange,
                 std::vector<cells::StoredRow> TakeoverRows::*aTarget) -> void;
  auto OnRangeRead(TakeoverRows& aRows,
                   const cells::RowRange& aRange,
                   std::vector<cells::StoredRow> TakeoverRows::*aTarget,
                   const cells::TableReadResult& aOutcome) -> void;
  auto StartOwnership() -> void;
  auto AddDelegations(const TakeoverRows& aRows,
                      cells::CellTakeover& aTakeover) const -> void;

  // Tasks that other cells run for this one, and this one for them
  // (celldelegations.cpp).
  auto NeighbourCells() const -> std::vector<std::string>;
  auto DelegationTableOf(const std::string& aCell) const -> std::string;
  // Starts to follow the rows of the neighbours, if there are any. aVersion:
  // the rows were read at this version, by calls sent at aReadAt or later; 0:
  // they were not read.
  auto FollowDelegations(std::uint64_t aVersion, Time aReadAt) -> void;
  auto FollowDelegationTable(const std::string& aTable,
                             const std::vector<std::string>& aCells,
                             std::uint64_t aVersion,
                             Time aReadAt) -> void;
  // aSnapshotOf: the cells of which these are all rows; else those that
  // changed.
  auto OnDelegationRows(const std::vector<cells::StoredRow>& aRows,
                        const std::vector<std::string>& aSnapshotOf) -> void;
  auto StopFollowingDelegations() -> void;
  auto OnDelegationRow(const cells::StoredRow& aRow,
                       const cells::DelegationKey& aKey) -> void;
  template<class Decoded>
  auto DecodeLogged(const cells::StoredRow& aRow,
                    std::optional<Decoded> (*aDecode)(const std::string&,
                                                      std::string&)) const
    -> std::optional<Decoded>;
  auto AddLoadToCommit(Time aNow) -> void;
  auto AddSharedStateToCommit(Time aNow) -> void;
  auto OnPeerLearned(const cells::StoredRow& aRow) -> void;

  // Ownership.
  auto RunDecisionRound() -> void;
  auto PostDecisionRound() -> void;
  auto RunDecisionRounds() -> void;
  auto SendWorkerCalls() -> void;
  auto SendAdviceRequests() -> void;
  // While the rows are read after a takeover: shows the other candidates that
  // this instance is at work, and gives the cell up if the reads keep failing.
  auto BeatWhileReading() -> void;
  auto CommitNext() -> void;
  // aReleases: the transaction releases the cell.
  auto Commit(const cells::TableTransaction& aCommit, bool aReleases) -> void;
  auto LogRecordingState(const cells::TableCommitResult& aOutcome) -> void;
  auto ReadOwnerRow() -> void;
  auto ApplyRecorderResult(const cells::RecorderResult& aResult) -> void;
  // Decodes the row; nothing if it belongs to another cell or can't be decoded.
  // An unreadable job row is logged.
  auto DecodeJobOfCell(const cells::StoredRow& aRow) const
    -> std::optional<cells::JobRow>;
  auto DecodeCancellationOfCell(const cells::StoredRow& aRow) const
    -> std::optional<cells::JobId>;
  auto OnJobRows(const std::vector<cells::StoredRow>& aRows) -> void;
  auto OnCancellationRows(const std::vector<cells::StoredRow>& aRows) -> void;
  auto CreateSweeper() -> std::shared_ptr<JobSweeper>;
  auto CreateShareStore() -> std::shared_ptr<AccountShareStore>;
  auto EndOwnership(const char* aReason) -> void;
  auto StartTimer(TimerHandle& aTimer,
                  Millis aDelay,
                  void (CellController::*aCallback)()) -> void;

  const FleetSettings& settings;
  const cells::CellRows rows;
  CellControllerPorts ports;
  const std::function<std::size_t()> heldCells;

  auto GrantedLease() const -> Millis;
  // The longest lease that may hold when the owner's row is replaced.
  // aOwnerRowVersion: 0 if there is none.
  auto InheritedLease(std::uint64_t aOwnerRowVersion) const -> Millis;
  auto UpdateStoreClock(std::int64_t aStoreMs, Time aSentAt) -> void;
  auto LeaseExpiries(const cells::OwnerRow& aOwner) const
    -> std::map<WorkerId, Time>;
  auto UnresponsiveWorkerExpiries() -> std::map<std::string, std::int64_t>;
  auto ReadLearnedState(const cells::StoredRow& aRow,
                        cells::CellTakeover& aTakeover) const -> void;

  // Monitoring.
  std::optional<StoreClockReading> storeClock;
  // The owner's row that the last takeover attempt of this instance replaces;
  // empty if the cell had none.
  std::optional<cells::OwnerRow> previousOwner;
  // No earlier owner was confirmed after this time.
  Time previousConfirmedBy{};
  // When the transaction of the last takeover attempt was sent.
  Time takeoverSentAt{};
  std::uint64_t ownerRowVersion = 0;
  Time ownerRowUnchangedSince{};
  std::size_t takeoverRank = 0;
  bool takeoverInFlight = false;
  // After the cell was given up because its rows could not be read: another
  // candidate may read them.
  Time noTakeoverUntil{};
  TimerHandle ownerPollTimer;

  // Ownership.
  std::shared_ptr<TakeoverRows> takeoverRows;
  std::unique_ptr<cells::Cell> cell;
  cells::CellEventCounts publishedCounts{};
  cells::SecondRunCosts publishedCosts;
  std::optional<cells::Recorder> recorder;
  std::shared_ptr<JobSweeper> sweeper;
  std::shared_ptr<AccountShareStore> shareStore;
  std::shared_ptr<TableFollower> submissionFollower;
  std::shared_ptr<TableFollower> cancellationFollower;
  // One for each table of the neighbours.
  std::vector<std::shared_ptr<TableFollower>> delegationFollowers;
  // The cells whose rows these follow.
  std::vector<std::string> followedCells;
  // Those of them that may run tasks for this one.
  std::set<std::string> hostCells;
  Time loadWrittenAt{};
  Time sharedStateWrittenAt{};
  // Incremented by each takeover and each loss, so that answers to calls of an
  // earlier ownership are discarded.
  std::uint64_t ownershipEpoch = 0;
  // Of the transaction that was sent last.
  std::size_t committedRows = 0;
  std::size_t largestCommittedRow = 0;
  // When the last transaction that was written had been sent, and whether the
  // store has rejected a batch since.
  Time lastConfirmedAt{};
  bool batchRejected = false;
  Time lastCommitAt{};
  Time learnedStateWrittenAt{};
  std::optional<Time> recordingFailedSince;
  bool ownerReadInFlight = false;
  bool decisionRoundPosted = false;
  TimerHandle decisionTimer;
  std::function<void()> onReleased;
  bool releasing = false;
  // A release was sent, and its outcome is not known.
  bool mayBeReleased = false;
  // The release is not for a shutdown.
  bool handingOver = false;
};

} // namespace gooseberry::fleet

#endif
