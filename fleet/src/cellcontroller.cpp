#include "cellcontroller.h"

#include <algorithm>

#include "tunables_fleet.h"

namespace gooseberry::fleet {

CellController::CellController(const FleetSettings& aSettings,
                               std::string aCell,
                               CellControllerPorts aPorts,
                               std::function<std::size_t()> aHeldCells)
  : settings(aSettings)
  , rows{ std::move(aCell) }
  , ports(aPorts)
  , heldCells(std::move(aHeldCells))
{
}

auto
CellController::Start() -> void
{
  this->PollOwner();
}

auto
CellController::StartTimer(TimerHandle& aTimer,
                           Millis aDelay,
                           void (CellController::*aCallback)()) -> void
{
  aTimer =
    this->ports.loop.After(aDelay, [weak = this->weak_from_this(), aCallback] {
      if (const auto self = weak.lock()) {
        (*self.*aCallback)();
      }
    });
}

auto
CellController::UpdateStoreClock(std::int64_t aStoreMs, Time aSentAt) -> void
{
  if (aStoreMs > 0) {
    this->storeClock =
      StoreClockReading{ aStoreMs, aSentAt, this->ports.loop.Now() };
  }
}

auto
CellController::UnresponsiveWorkerExpiries()
  -> std::map<std::string, std::int64_t>
{
  auto expiries = std::map<std::string, std::int64_t>{};
  if (!this->storeClock) {
    return expiries;
  }
  for (const auto& [worker, leaseEnd] : this->cell->SilentWorkers()) {
    expiries.emplace(worker.text,
                     this->storeClock->storeMs +
                       ToMillis(leaseEnd - this->storeClock->sentAt).count());
  }
  return expiries;
}

auto
CellController::OnSiteChanged() -> void
{
  if (!this->cell) {
    return;
  }
  const auto now = this->ports.loop.Now();
  const auto config = this->ports.siteWatcher.Config();
  const auto& layout = this->ports.fleetView.Layout();
  this->cell->OnConfig(config);
  this->shareStore->OnSite(config.get(),
                           layout ? layout->cells : std::vector<std::string>{});
  this->cell->OnEvacuations(now, this->ports.siteWatcher.EvacuatedDomains());
  if (this->ports.siteWatcher.AreWorkersKnown()) {
    this->cell->OnWorkers(now, this->WorkersOfCell());
  }
  if (this->NeighbourCells() != this->followedCells) {
    this->FollowDelegations(0, {});
  }
  this->PostDecisionRound();
}

auto
CellController::WorkersOfCell() const -> cells::WorkerTable
{
  const auto& layout = this->ports.fleetView.Layout();
  auto workers = cells::WorkerTable{};
  for (const auto& [id, worker] : this->ports.siteWatcher.Workers()) {
    if (layout && layout->CellOf(worker) == this->rows.cell) {
      workers.emplace(id, worker);
    }
  }
  return workers;
}

auto
CellController::IsHeld() const -> bool
{
  return this->takeoverInFlight || this->recorder.has_value();
}

auto
CellController::OwnedCell() const -> const cells::Cell*
{
  return this->cell.get();
}

auto
CellController::CountsAllJobs() const -> bool
{
  return this->cell &&
         this->ports.loop.Now() <=
           std::min({ this->lastConfirmedAt,
                      this->submissionFollower->CurrentAsOf(),
                      this->cancellationFollower->CurrentAsOf() }) +
             kJobsKnownAfter;
}

auto
CellController::PublishMetrics() -> void
{
  if (!this->cell) {
    return;
  }
  const auto counts = this->cell->EventCounts();
  this->ports.metrics.AddCellCounts(this->publishedCounts, counts);
  this->ports.metrics.AddSpans(this->cell->TakeLatencySamples());
  this->publishedCounts = counts;
  const auto costs = this->cell->CostsOfSecondRuns();
  this->ports.metrics.AddSecondRunCosts(this->publishedCosts, costs);
  this->publishedCosts = costs;
}

auto
CellController::OnJobAccepted(const cells::JobRow& aRow) -> void
{
  if (this->cell) {
    this->cell->OnSubmission(
      this->ports.loop.Now(), this->ports.loop.UnixMillis(), aRow);
    this->PostDecisionRound();
  }
}

auto
CellController::OnJobCancelled(const cells::JobId& aJob) -> void
{
  if (this->cell) {
    this->cell->OnCancel(this->ports.loop.Now(), aJob);
    this->PostDecisionRound();
  }
}

auto
CellController::DecodeJobOfCell(const cells::StoredRow& aRow) const
  -> std::optional<cells::JobRow>
{
  auto reason = std::string{};
  auto job = cells::DecodeJobRow(aRow.value, reason);
  if (!job) {
    this->ports.log.Write("job_unreadable",
                          { { "job", aRow.key.key }, { "reason", reason } });
  } else if (job->cell != this->rows.cell) {
    job.reset();
  }
  return job;
}

auto
CellController::DecodeCancellationOfCell(const cells::StoredRow& aRow) const
  -> std::optional<cells::JobId>
{
  return aRow.value == this->rows.cell ? cells::JobId::Parse(aRow.key.key)
                                       : std::nullopt;
}

auto
CellController::OnJobRows(const std::vector<cells::StoredRow>& aRows) -> void
{
  for (const auto& row : aRows) {
    if (row.version == 0) {
      continue;
    }
    if (const auto job = this->DecodeJobOfCell(row)) {
      this->OnJobAccepted(*job);
    }
  }
}

auto
CellController::OnCancellationRows(const std::vector<cells::StoredRow>& aRows)
  -> void
{
  for (const auto& row : aRows) {
    if (row.version == 0) {
      continue;
    }
    if (const auto id = this->DecodeCancellationOfCell(row)) {
      this->OnJobCancelled(*id);
    } else if (const auto other = cells::JobId::Parse(row.key.key)) {
      this->cell->OnCancelElsewhere(this->ports.loop.Now(), *other);
    }
  }
}

auto
CellController::PostDecisionRound() -> void
{
  if (std::exchange(this->decisionRoundPosted, true)) {
    return;
  }
  this->ports.loop.Post([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->decisionRoundPosted = false;
      self->RunDecisionRound();
    }
  });
}

auto
CellController::RunDecisionRounds() -> void
{
  if (!this->cell) {
    return;
  }
  this->RunDecisionRound();
  this->StartTimer(this->decisionTimer,
                   kMaxDecisionInterval,
                   &CellController::RunDecisionRounds);
}

auto
CellController::RunDecisionRound() -> void
{
  if (!this->cell) {
    return;
  }
  this->cell->OnSiteUpToDate(
    std::min(this->ports.siteWatcher.CurrentAsOf(),
             this->cancellationFollower->CurrentAsOf()));
  this->cell->OnTick(this->ports.loop.Now(), this->ports.loop.UnixMillis());
  this->CommitNext();
  this->SendWorkerCalls();
  this->SendAdviceRequests();
  this->sweeper->Add(this->cell->TakeRemovableJobs());
}

auto
CellController::CreateSweeper() -> std::shared_ptr<JobSweeper>
{
  return std::make_shared<JobSweeper>(
    this->ports.loop,
    this->ports.tables,
    this->rows,
    [weak = this->weak_from_this()](const cells::EndedJob& aJob) {
      const auto self = weak.lock();
      if (self && self->cell) {
        self->cell->OnJobRowsRemoved(self->ports.loop.Now(), aJob);
        self->ports.metrics.CountSweptJob();
      }
    });
}

auto
CellController::CreateShareStore() -> std::shared_ptr<AccountShareStore>
{
  return std::make_shared<AccountShareStore>(
    this->ports.loop,
    this->ports.tables,
    this->ports.log,
    this->ports.metrics,
    this->rows.cell,
    this->recorder->Owner().fencingToken,
    [weak = this->weak_from_this()] {
      const auto self = weak.lock();
      return self && self->cell ? self->cell->AccountDemands()
                                : std::map<AccountId, cells::AccountDemand>{};
    },
    [weak =
       this->weak_from_this()](const std::map<AccountId, Resources>& aShares) {
      const auto self = weak.lock();
      if (self && self->cell) {
        self->cell->SetAccountShares(aShares);
      }
    },
    this->settings.bounds.configApply);
}

auto
CellController::SendWorkerCalls() -> void
{
  for (const auto& call : this->cell->TakeCalls(this->ports.loop.Now())) {
    this->ports.workers.Call(
      call,
      [weak = this->weak_from_this(),
       epoch = this->ownershipEpoch](const cells::WorkerAnswer& aAnswer) {
        const auto self = weak.lock();
        if (self && self->cell && self->ownershipEpoch == epoch) {
          self->cell->OnWorkerAnswer(self->ports.loop.Now(), aAnswer);
          if (self->cell->IsFenced()) {
            // Only a newer owner can have given the
            // worker a higher fencing token.
            self->EndOwnership("a worker obeys a newer owner");
            return;
          }
          self->PostDecisionRound();
        }
      });
  }
}

auto
CellController::SendAdviceRequests() -> void
{
  for (const auto& question : this->cell->TakeAdviceRequests()) {
    this->ports.advice.Send(
      question,
      [weak = this->weak_from_this(),
       epoch = this->ownershipEpoch](const cells::AdviceResponse& aAnswer) {
        const auto self = weak.lock();
        if (self && self->cell && self->ownershipEpoch == epoch) {
          self->ports.metrics.CountAdvice(aAnswer.status);
          self->cell->OnAdvice(self->ports.loop.Now(), aAnswer);
          self->PostDecisionRound();
        }
      });
  }
}

auto
CellController::CommitNext() -> void
{
  if (this->recorder->IsCommitInFlight() || this->ownerReadInFlight) {
    return;
  }
  if (this->recorder->MustReadOwner()) {
    this->ReadOwnerRow();
    return;
  }
  const auto now = this->ports.loop.Now();
  // Batches that the store rejects don't show that the owner is alive.
  const auto heartbeatOverdue =
    this->batchRejected && now > this->lastConfirmedAt + kHeartbeatInterval;
  const auto batch =
    heartbeatOverdue ? std::nullopt : this->cell->NextBatch(now);
  const auto releases = this->releasing && !batch && !heartbeatOverdue;
  this->cell->SetReleasing(releases || this->mayBeReleased);
  const auto silent = this->UnresponsiveWorkerExpiries();
  const auto& written = this->recorder->Owner().silent;
  const auto workerIsBack =
    std::any_of(written.begin(), written.end(), [&](const auto& aWorker) {
      return !silent.contains(aWorker.first);
    });
  this->recorder->SetSilentWorkers(silent);
  this->recorder->SetLongestLease(this->cell->LongestLease(now));
  if (now > this->learnedStateWrittenAt + kLearnedStateInterval &&
      this->storeClock) {
    this->learnedStateWrittenAt = now;
    auto learnt = this->cell->ExportLearnedState(now);
    learnt.storeClockMs = this->storeClock->EarliestAt(now);
    this->recorder->SetLearnedState(cells::EncodeLearnedState(learnt));
  }
  this->AddLoadToCommit(now);
  this->AddSharedStateToCommit(now);
  if (batch) {
    this->Commit(this->recorder->BatchCommit(*batch), false);
  } else if (releases || heartbeatOverdue ||
             now > this->lastCommitAt +
                     (workerIsBack ? kSilentRowInterval : kHeartbeatInterval)) {
    this->Commit(this->recorder->HeartbeatCommit(releases), releases);
  }
}

auto
CellController::Commit(const cells::TableTransaction& aCommit, bool aReleases)
  -> void
{
  this->lastCommitAt = this->ports.loop.Now();
  this->committedRows = aCommit.puts.size() + aCommit.removals.size();
  this->largestCommittedRow = 0;
  for (const auto& put : aCommit.puts) {
    this->largestCommittedRow =
      std::max(this->largestCommittedRow, put.value.size());
  }
  this->ports.tables.Commit(
    aCommit,
    kStoreTimeout,
    [weak = this->weak_from_this(),
     epoch = this->ownershipEpoch,
     sentAt = this->lastCommitAt,
     aReleases](const cells::TableCommitResult& aOutcome) {
      const auto self = weak.lock();
      if (!self || !self->recorder || self->ownershipEpoch != epoch) {
        return;
      }
      self->UpdateStoreClock(aOutcome.storeClockMs, sentAt);
      if (aOutcome.status == cells::TableStatus::Done) {
        if (self->cell) {
          self->cell->OnOwnershipConfirmed(sentAt);
        }
        self->lastConfirmedAt = sentAt;
        self->batchRejected = false;
        // A release with an unknown outcome can't take effect any more.
        self->mayBeReleased = false;
      } else if (aOutcome.status == cells::TableStatus::Unknown && aReleases) {
        self->mayBeReleased = true;
      }
      if (self->cell) {
        self->cell->SetReleasing(self->mayBeReleased);
      }
      self->LogRecordingState(aOutcome);
      self->ApplyRecorderResult(self->recorder->OnOutcome(aOutcome));
      if (self->cell && aOutcome.status == cells::TableStatus::Done) {
        self->cell->OnSilentWorkersWritten(self->recorder->Owner().silent);
      }
    });
}

// Logs one line when the store starts to reject records and one when it accepts
// them again.
auto
CellController::LogRecordingState(const cells::TableCommitResult& aOutcome)
  -> void
{
  const auto now = this->ports.loop.Now();
  if (aOutcome.status != cells::TableStatus::Done) {
    if (!this->recordingFailedSince) {
      this->recordingFailedSince = now;
      this->ports.log.Write(
        "records_refused",
        { { "end", ToText(aOutcome.status) },
          { "reason", aOutcome.reason },
          { "rows", std::to_string(this->committedRows) },
          { "largest_bytes", std::to_string(this->largestCommittedRow) } });
    }
    return;
  }
  if (this->recordingFailedSince) {
    this->ports.log.Write(
      "records_taken",
      { { "after_ms",
          std::to_string(
            ToMillis(now - *this->recordingFailedSince).count()) } });
    this->recordingFailedSince.reset();
  }
}

auto
CellController::ReadOwnerRow() -> void
{
  this->ownerReadInFlight = true;
  const auto owner = this->rows.Owner();
  this->ports.tables.Read(
    { owner.table, owner.partition, "", "" },
    kStoreTimeout,
    [weak = this->weak_from_this(),
     epoch = this->ownershipEpoch](const cells::TableReadResult& aOutcome) {
      const auto self = weak.lock();
      if (!self || !self->recorder || self->ownershipEpoch != epoch) {
        return;
      }
      self->ownerReadInFlight = false;
      if (aOutcome.status == cells::TableStatus::Done &&
          !aOutcome.rows.empty()) {
        self->ApplyRecorderResult(
          self->recorder->OnOwnerRead(aOutcome.rows.front()));
      }
    });
}

auto
CellController::ApplyRecorderResult(const cells::RecorderResult& aResult)
  -> void
{
  const auto now = this->ports.loop.Now();
  if (aResult.ownershipLost) {
    this->EndOwnership("another instance owns the cell");
    return;
  }
  if (!this->cell) {
    // Only heartbeats are written before the rows are read.
    return;
  }
  if (aResult.recorded) {
    this->cell->OnBatchRecorded(now, *aResult.recorded);
  }
  if (aResult.notRecorded) {
    this->cell->OnBatchNotRecorded(now, *aResult.notRecorded);
  }
  if (aResult.rejected) {
    this->batchRejected = true;
    this->cell->OnBatchRejected(now, *aResult.rejected);
  }
  if (aResult.outcomeUnknown) {
    this->cell->OnBatchOutcomeUnknown(now, *aResult.outcomeUnknown);
  }
  if (this->releasing && this->recorder->Owner().released) {
    this->EndOwnership("released");
    return;
  }
  this->PostDecisionRound();
}

auto
CellController::EndOwnership(const char* aReason) -> void
{
  this->ports.log.Write("cell_lost",
                        { { "cell", this->rows.cell }, { "why", aReason } });
  this->PublishMetrics();
  this->ports.metrics.CountOwnership(this->releasing ? "released" : "lost");
  ++this->ownershipEpoch;
  this->cell.reset();
  this->recorder.reset();
  this->takeoverRows.reset();
  this->sweeper.reset();
  if (const auto store = std::exchange(this->shareStore, nullptr)) {
    store->Stop();
  }
  this->decisionTimer.reset();
  this->ownerReadInFlight = false;
  this->mayBeReleased = false;
  this->StopFollowingDelegations();
  for (auto* const follower :
       { &this->submissionFollower, &this->cancellationFollower }) {
    if (*follower) {
      (*follower)->Stop();
      follower->reset();
    }
  }
  this->ports.siteWatcher.FollowWorkers(false);
  if (const auto released = std::exchange(this->onReleased, nullptr)) {
    released();
  }
  if (std::exchange(this->handingOver, false)) {
    this->releasing = false;
  }
  this->ownerRowUnchangedSince = this->ports.loop.Now();
  this->StartTimer(
    this->ownerPollTimer, kOwnerPollInterval, &CellController::PollOwner);
}

auto
CellController::HandOver() -> void
{
  if (!this->cell || this->releasing) {
    return;
  }
  this->releasing = true;
  this->handingOver = true;
  this->PostDecisionRound();
}

auto
CellController::Release(std::function<void()> aDone) -> void
{
  this->releasing = true;
  this->handingOver = false;
  if (!this->cell) {
    aDone();
    return;
  }
  this->onReleased = std::move(aDone);
  this->PostDecisionRound();
}

} // namespace gooseberry::fleet
