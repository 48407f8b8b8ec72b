// Monitoring a cell's owner and taking the cell over when the owner has failed
// or released it.

#include <algorithm>

#include "cellcontroller.h"
#include "tunables_cells.h"
#include "tunables_fleet.h"

namespace gooseberry::fleet {

// The stored rows of the cell, collected after a takeover until all ranges are
// read.
struct CellController::TakeoverRows
{
  Time readAt{};
  std::vector<cells::StoredRow> records;
  std::vector<cells::StoredRow> submissions;
  std::vector<cells::StoredRow> cancellations;
  // Rows of the table of delegations, of this cell and of the others.
  std::vector<cells::StoredRow> ownDelegations;
  std::vector<cells::StoredRow> peerDelegations;
  // The other cells whose rows are read.
  std::vector<std::string> neighbours;
  // Ranges that are not read yet.
  int pendingReads = 0;
  // The lowest version at which a range was read; changes are followed from it.
  std::uint64_t readVersion = 0;
  // When a range was read last, and whether a read has failed since.
  Time progressAt{};
  bool failing = false;
  std::vector<TimerHandle> retryTimers;
};

auto
CellController::PollOwner() -> void
{
  if (this->releasing || this->recorder || this->takeoverInFlight) {
    return;
  }
  const auto ownRank = this->ports.fleetView.Members().OwnerRank(
    this->settings.instance, this->rows.cell);
  if (!ownRank) {
    // This instance is not a candidate owner of the cell.
    this->ownerRowUnchangedSince = this->ports.loop.Now();
    this->StartTimer(
      this->ownerPollTimer, kOwnerPollInterval, &CellController::PollOwner);
    return;
  }
  this->takeoverRank = *ownRank;
  const auto owner = this->rows.Owner();
  this->ports.tables.Read(
    { owner.table, owner.partition, "", "" },
    kStoreTimeout,
    [weak = this->weak_from_this(),
     sentAt = this->ports.loop.Now()](const cells::TableReadResult& aOutcome) {
      if (const auto self = weak.lock()) {
        self->UpdateStoreClock(aOutcome.storeClockMs, sentAt);
        self->OnOwnerPolled(aOutcome);
      }
    });
}

auto
CellController::OnOwnerPolled(const cells::TableReadResult& aOutcome) -> void
{
  const auto now = this->ports.loop.Now();
  this->StartTimer(this->ownerPollTimer,
                   this->takeoverRank < kSecondaryOwnerRank
                     ? kOwnerPollInterval
                     : kSecondaryPollInterval,
                   &CellController::PollOwner);
  if (aOutcome.status != cells::TableStatus::Done ||
      !this->ports.siteWatcher.Config() || now < this->noTakeoverUntil) {
    return;
  }
  if (aOutcome.rows.empty()) {
    if (this->ownerRowUnchangedSince == Time{}) {
      this->ownerRowUnchangedSince = now;
    }
    if (now >= this->ownerRowUnchangedSince + this->TakeoverDelay(true)) {
      this->previousOwner.reset();
      this->TakeOver(0, 1);
    }
    return;
  }
  const auto& row = aOutcome.rows.front();
  auto reason = std::string{};
  const auto owner = cells::DecodeOwnerRow(row.value, reason);
  if (row.version != this->ownerRowVersion) {
    this->ownerRowVersion = row.version;
    this->ownerRowUnchangedSince = now;
    if (!owner) {
      this->ports.log.Write(
        "owner_unreadable",
        { { "cell", this->rows.cell }, { "reason", reason } });
    }
  }
  if (!owner) {
    // Nobody can be the owner: its next write finds a row that is not its own.
    if (now >= this->ownerRowUnchangedSince + this->TakeoverDelay(false)) {
      this->previousOwner.reset();
      this->TakeOver(row.version, row.version);
    }
    return;
  }
  // A row with this instance's own name was written before a restart.
  const auto ownedBeforeRestart = owner->owner.text == this->settings.instance;
  // The present owner is no candidate: if it ranks above this instance, its
  // place in the order of takeovers is skipped.
  const auto ownerRank = this->ports.fleetView.Members().OwnerRank(
    owner->owner.text, this->rows.cell);
  if (ownerRank && *ownerRank < this->takeoverRank) {
    --this->takeoverRank;
  }
  if (ownedBeforeRestart || now >= this->ownerRowUnchangedSince +
                                     this->TakeoverDelay(owner->released)) {
    this->previousOwner = owner;
    // A token is never above the version of the row that it is written to, so
    // that this one is the highest even if the row has lost its token.
    this->TakeOver(row.version, std::max(owner->fencingToken + 1, row.version));
  }
}

auto
CellController::TakeoverDelay(bool aReleased) const -> Millis
{
  // Behind every candidate that owns fewer cells.
  const auto rank =
    this->takeoverRank + cells::kOwnerCandidates * this->heldCells();
  const auto rankDelay = kTakeoverRankDelay * static_cast<Millis::rep>(rank);
  return aReleased ? rankDelay : kOwnerTimeout + rankDelay;
}

auto
CellController::TakeOver(std::uint64_t aOwnerRowVersion,
                         std::uint64_t aFencingToken) -> void
{
  if (this->releasing) {
    return;
  }
  this->takeoverInFlight = true;
  this->previousConfirmedBy = this->ownerRowUnchangedSince;
  this->takeoverSentAt = this->ports.loop.Now();
  auto owner = cells::OwnerRow{ { this->settings.instance },
                                this->settings.address,
                                aFencingToken };
  owner.leaseMs =
    std::max(this->GrantedLease(), this->InheritedLease(aOwnerRowVersion))
      .count();
  if (this->previousOwner) {
    // Keep the previous owner's list of unresponsive workers until the records
    // are read.
    owner.silent = this->previousOwner->silent;
  }
  auto commit = cells::TableTransaction{};
  commit.conditions.push_back({ this->rows.Owner(), aOwnerRowVersion });
  commit.puts.push_back({ this->rows.Owner(), cells::EncodeOwnerRow(owner) });
  this->ports.log.Write("cell_taking",
                        { { "cell", this->rows.cell },
                          { "token", std::to_string(aFencingToken) },
                          { "row", std::to_string(aOwnerRowVersion) } });
  this->ports.tables.Commit(
    commit,
    kStoreTimeout,
    [weak = this->weak_from_this(),
     owner](const cells::TableCommitResult& aOutcome) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->takeoverInFlight = false;
      if (aOutcome.status != cells::TableStatus::Done) {
        // The row may have been written although the outcome is unknown. Nobody
        // acts as this owner then, and the row times out like that of a failed
        // owner.
        self->StartTimer(
          self->ownerPollTimer, kOwnerPollInterval, &CellController::PollOwner);
        return;
      }
      self->recorder.emplace(self->rows, owner, aOutcome.version);
      ++self->ownershipEpoch;
      self->lastCommitAt = self->ports.loop.Now();
      self->lastConfirmedAt = self->takeoverSentAt;
      self->batchRejected = false;
      self->ReadTakeoverRows();
    });
}

// Converts the lease ends in the owner's row, by worker, from the store's clock
// to the latest local times that they can stand for. Empty if the store's clock
// is not known.
auto
CellController::LeaseExpiries(const cells::OwnerRow& aOwner) const
  -> std::map<WorkerId, Time>
{
  auto expiries = std::map<WorkerId, Time>{};
  if (!this->storeClock) {
    return expiries;
  }
  for (const auto& [worker, storeMs] : aOwner.silent) {
    expiries.emplace(WorkerId{ worker }, this->storeClock->LastTimeOf(storeMs));
  }
  return expiries;
}

auto
CellController::ReadTakeoverRows() -> void
{
  this->ports.siteWatcher.FollowWorkers(true);
  this->takeoverRows = std::make_shared<TakeoverRows>();
  this->takeoverRows->readAt = this->ports.loop.Now();
  this->takeoverRows->progressAt = this->takeoverRows->readAt;
  const auto parts = cells::CellRows::SubmissionParts();
  this->takeoverRows->neighbours = this->NeighbourCells();
  const auto& neighbours = this->takeoverRows->neighbours;
  this->takeoverRows->pendingReads =
    1 + 2 * static_cast<int>(parts.size()) +
    (neighbours.empty() ? 0 : 1 + static_cast<int>(neighbours.size()));
  this->ReadRange(this->rows.RecordRange(), &TakeoverRows::records);
  if (!neighbours.empty()) {
    this->ReadRange(
      { this->DelegationTableOf(this->rows.cell), this->rows.cell, "", "" },
      &TakeoverRows::ownDelegations);
  }
  for (const auto& part : parts) {
    this->ReadRange({ cells::CellRows::kSubmissionTable, part, "", "" },
                    &TakeoverRows::submissions);
    this->ReadRange({ cells::CellRows::kCancellationTable, part, "", "" },
                    &TakeoverRows::cancellations);
  }
  this->BeatWhileReading();
}

auto
CellController::BeatWhileReading() -> void
{
  if (!this->takeoverRows || !this->recorder) {
    return;
  }
  const auto now = this->ports.loop.Now();
  if (this->takeoverRows->failing &&
      now > this->takeoverRows->progressAt + kTakeoverReadLimit) {
    this->noTakeoverUntil = now + kTakeoverReadLimit;
    this->EndOwnership("the cell's rows can't be read");
    return;
  }
  if (!this->recorder->IsCommitInFlight() && !this->ownerReadInFlight) {
    if (this->recorder->MustReadOwner()) {
      this->ReadOwnerRow();
    } else if (now >= this->lastCommitAt + kHeartbeatInterval) {
      this->Commit(this->recorder->HeartbeatCommit(false), false);
    }
  }
  this->StartTimer(this->decisionTimer,
                   kHeartbeatInterval / 2,
                   &CellController::BeatWhileReading);
}

auto
CellController::ReadRange(const cells::RowRange& aRange,
                          std::vector<cells::StoredRow> TakeoverRows::*aTarget)
  -> void
{
  auto range = aRange;
  range.isLarge = true;
  this->ports.tables.Read(
    range,
    kStoreTimeout,
    [weak = this->weak_from_this(),
     weakRows = std::weak_ptr<TakeoverRows>(this->takeoverRows),
     aRange,
     aTarget](const cells::TableReadResult& aOutcome) {
      const auto self = weak.lock();
      const auto readRows = weakRows.lock();
      if (self && readRows && self->takeoverRows == readRows) {
        self->OnRangeRead(*readRows, aRange, aTarget, aOutcome);
      }
    });
}

auto
CellController::OnRangeRead(
  TakeoverRows& aRows,
  const cells::RowRange& aRange,
  std::vector<cells::StoredRow> TakeoverRows::*aTarget,
  const cells::TableReadResult& aOutcome) -> void
{
  aRows.failing = aOutcome.status != cells::TableStatus::Done;
  if (aRows.failing) {
    aRows.retryTimers.push_back(this->ports.loop.After(
      kReadRetryDelay,
      [weak = this->weak_from_this(),
       weakRows = std::weak_ptr<TakeoverRows>(this->takeoverRows),
       aRange,
       aTarget] {
        const auto self = weak.lock();
        if (self && self->takeoverRows &&
            self->takeoverRows == weakRows.lock()) {
          self->ReadRange(aRange, aTarget);
        }
      }));
    return;
  }
  aRows.progressAt = this->ports.loop.Now();
  auto& rows = aRows.*aTarget;
  rows.insert(rows.end(), aOutcome.rows.begin(), aOutcome.rows.end());
  aRows.readVersion = aRows.readVersion == 0
                        ? aOutcome.version
                        : std::min(aRows.readVersion, aOutcome.version);
  if (aTarget == &TakeoverRows::ownDelegations) {
    // Only now: a delegation that was closed before this read must not look
    // like a new one.
    for (const auto& cell : aRows.neighbours) {
      this->ReadRange({ this->DelegationTableOf(cell), cell, "", "" },
                      &TakeoverRows::peerDelegations);
    }
  }
  if (--aRows.pendingReads == 0) {
    this->StartOwnership();
  }
}

auto
CellController::StartOwnership() -> void
{
  const auto loaded = std::exchange(this->takeoverRows, nullptr);
  auto takeover = cells::CellTakeover{};
  takeover.fencingToken = this->recorder->Owner().fencingToken;
  takeover.now = this->ports.loop.Now();
  takeover.nowUnixMs = this->ports.loop.UnixMillis();
  takeover.previousLease = Millis{ this->recorder->Owner().leaseMs };
  takeover.previousConfirmedBy = this->previousConfirmedBy;
  takeover.confirmedAt = this->lastConfirmedAt;
  if (this->previousOwner) {
    takeover.previousReleased = this->previousOwner->released;
    takeover.leaseEnds = this->LeaseExpiries(*this->previousOwner);
  }
  auto reason = std::string{};
  auto continuations =
    std::map<std::string, std::map<std::uint32_t, std::string>>{};
  for (const auto& row : loaded->records) {
    if (const auto key = cells::CellRows::ParseContinuation(row.key.key)) {
      continuations[key->job.Text()].emplace(key->number, row.value);
    }
  }
  auto records = std::map<std::string, cells::JobRecord>{};
  for (const auto& row : loaded->records) {
    if (cells::CellRows::ParseContinuation(row.key.key)) {
      continue;
    }
    if (cells::CellRows::IsLearnedStateRow(row.key)) {
      this->ReadLearnedState(row, takeover);
    } else if (auto record = cells::DecodeRecordRows(
                 row.value, continuations[row.key.key], reason)) {
      records.emplace(row.key.key, std::move(*record));
    } else {
      this->ports.log.Write("record_unreadable",
                            { { "job", row.key.key }, { "reason", reason } });
    }
  }
  for (const auto& [text, rows] : continuations) {
    const auto record = records.find(text);
    const auto used =
      record == records.end() ? 0 : record->second.continuationRows;
    for (const auto& [number, bytes] : rows) {
      if (number > used) {
        takeover.orphanContinuations.push_back(
          { *cells::JobId::Parse(text), number });
      }
    }
  }
  for (const auto& row : loaded->submissions) {
    // The record is extracted even if the job row can't be decoded: it is no
    // orphan then.
    auto record = records.extract(row.key.key);
    if (auto job = this->DecodeJobOfCell(row)) {
      takeover.jobs.emplace_back(
        std::move(*job),
        record.empty() ? std::nullopt
                       : std::optional{ std::move(record.mapped()) });
    }
  }
  for (const auto& [text, record] : records) {
    if (const auto id = cells::JobId::Parse(text)) {
      takeover.orphanRecords.push_back(*id);
      for (auto number = std::uint32_t{ 1 }; number <= record.continuationRows;
           ++number) {
        takeover.orphanContinuations.push_back({ *id, number });
      }
    }
  }
  for (const auto& row : loaded->cancellations) {
    if (const auto id = this->DecodeCancellationOfCell(row)) {
      takeover.cancelled.push_back(*id);
    }
  }
  this->AddDelegations(*loaded, takeover);
  this->ports.log.Write(
    "cell_taken",
    { { "cell", this->rows.cell },
      { "token", std::to_string(takeover.fencingToken) },
      { "jobs", std::to_string(takeover.jobs.size()) },
      { "records", std::to_string(loaded->records.size()) } });
  this->publishedCounts = {};
  this->publishedCosts = {};
  this->ports.metrics.CountOwnership("taken");
  auto options = cells::CellOptions{};
  options.maxLease = this->settings.bounds.leaseMax;
  options.lease = this->GrantedLease();
  options.maxStopTime = this->settings.bounds.stop;
  options.endedJobRetention = this->settings.bounds.keepEnded;
  options.remoteSlowdown = this->settings.bounds.remoteFactor;
  options.quotaOverage = this->settings.bounds.quotaOverage;
  options.configApply = this->settings.bounds.configApply;
  options.usesHeadroom = this->settings.colocation.headroom;
  options.learnedRunTimes = this->settings.runTimes.learned;
  options.secondRuns = this->settings.runTimes.secondRuns;
  this->cell = std::make_unique<cells::Cell>(
    options, std::move(takeover), this->ports.log);
  const auto follow = [this](const char* aTable, auto aHandler) {
    return std::make_shared<TableFollower>(
      this->ports.loop,
      this->ports.tables,
      FollowerOptions{
        aTable, cells::CellRows::SubmissionParts(), kJobFeedWait, Millis{ 0 } },
      this->ports.log,
      [weak = this->weak_from_this(), aHandler](
        const std::vector<cells::StoredRow>& aRows, bool /*aIsSnapshot*/) {
        const auto self = weak.lock();
        if (self && self->cell) {
          (*self.*aHandler)(aRows);
        }
      });
  };
  this->sweeper = this->CreateSweeper();
  this->shareStore = this->CreateShareStore();
  this->submissionFollower =
    follow(cells::CellRows::kSubmissionTable, &CellController::OnJobRows);
  this->cancellationFollower = follow(cells::CellRows::kCancellationTable,
                                      &CellController::OnCancellationRows);
  this->FollowDelegations(loaded->readVersion, loaded->readAt);
  for (const auto& row : loaded->peerDelegations) {
    if (const auto key = cells::ParseDelegationKey(row.key.key);
        key && (key->kind == cells::DelegationKey::Kind::Load ||
                key->kind == cells::DelegationKey::Kind::Learned)) {
      this->OnDelegationRow(row, *key);
    }
  }
  this->submissionFollower->StartAfter(loaded->readVersion, loaded->readAt);
  this->cancellationFollower->StartAfter(loaded->readVersion, loaded->readAt);
  this->OnSiteChanged();
  this->RunDecisionRounds();
}

auto
CellController::AddDelegations(const TakeoverRows& aRows,
                               cells::CellTakeover& aTakeover) const -> void
{
  const auto add = [this](const cells::StoredRow& aRow,
                          const cells::DelegationKey& aKey,
                          const std::string& aPeer,
                          std::vector<cells::PeerDelegation>& aDelegations,
                          std::vector<cells::PeerReport>& aReports) {
    if (aKey.kind == cells::DelegationKey::Kind::Delegation) {
      if (auto row = this->DecodeLogged(aRow, cells::DecodeDelegation)) {
        aDelegations.emplace_back(aPeer, std::move(*row));
      }
    } else if (aKey.kind == cells::DelegationKey::Kind::Report) {
      if (auto row = this->DecodeLogged(aRow, cells::DecodeDelegationReport)) {
        aReports.emplace_back(aPeer, std::move(*row));
      }
    }
  };
  for (const auto& row : aRows.ownDelegations) {
    if (const auto key = cells::ParseDelegationKey(row.key.key)) {
      add(row, *key, key->peer, aTakeover.delegated, aTakeover.ownReports);
    }
  }
  for (const auto& row : aRows.peerDelegations) {
    const auto key = cells::ParseDelegationKey(row.key.key);
    if (key && key->peer == this->rows.cell) {
      add(row, *key, row.key.partition, aTakeover.hosted, aTakeover.reports);
    }
  }
}

auto
CellController::ReadLearnedState(const cells::StoredRow& aRow,
                                 cells::CellTakeover& aTakeover) const -> void
{
  auto reason = std::string{};
  aTakeover.learnedState = cells::DecodeLearnedState(aRow.value, reason);
  if (!aTakeover.learnedState) {
    this->ports.log.Write("learnt_unreadable", { { "reason", reason } });
    return;
  }
  if (!reason.empty()) {
    this->ports.log.Write("learnt_unreadable", { { "reason", reason } });
  }
  if (this->storeClock && aTakeover.learnedState->storeClockMs > 0) {
    aTakeover.learnedStateAge =
      std::max(Millis{ 0 },
               Millis{ this->storeClock->EarliestAt(aTakeover.now) -
                       aTakeover.learnedState->storeClockMs });
  }
  this->ports.log.Write(
    "learnt_heard",
    { { "cell", this->rows.cell },
      { "pairs", std::to_string(aTakeover.learnedState->pairs.size()) },
      { "paces", std::to_string(aTakeover.learnedState->runSpeeds.size()) },
      { "queues", std::to_string(aTakeover.learnedState->runTimes.size()) },
      { "bytes", std::to_string(aRow.value.size()) },
      { "age_ms", std::to_string(aTakeover.learnedStateAge.count()) } });
}

auto
CellController::InheritedLease(std::uint64_t aOwnerRowVersion) const -> Millis
{
  if (aOwnerRowVersion == 0) {
    return Millis{ 0 };
  }
  const auto leaseMax = this->settings.bounds.leaseMax;
  const auto known = this->previousOwner && this->previousOwner->leaseMs > 0;
  return known ? std::min(Millis{ this->previousOwner->leaseMs }, leaseMax)
               : leaseMax;
}

auto
CellController::GrantedLease() const -> Millis
{
  return std::min(kGrantedLease, this->settings.bounds.leaseMax - kLeaseMargin);
}

} // namespace gooseberry::fleet
