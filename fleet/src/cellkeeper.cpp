#include "cellkeeper.h"

#include "tunables_fleet.h"

namespace gooseberry::fleet {

CellKeeper::CellKeeper(const FleetSettings& aSettings,
                       std::string aCell,
                       KeeperPorts aPorts)
  : settings(aSettings)
  , rows{ std::move(aCell) }
  , ports(aPorts)
{
}

auto
CellKeeper::Start() -> void
{
  this->Watch();
}

auto
CellKeeper::Later(TimerHandle& aTimer,
                  Millis aDelay,
                  void (CellKeeper::*aCallback)()) -> void
{
  aTimer =
    this->ports.loop.After(aDelay, [weak = this->weak_from_this(), aCallback] {
      if (const auto self = weak.lock()) {
        (*self.*aCallback)();
      }
    });
}

auto
CellKeeper::NoteStoreClock(std::int64_t aStoreMs, Time aSentAt) -> void
{
  if (aStoreMs > 0) {
    this->storeClock = StoreClock{ aStoreMs, aSentAt, this->ports.loop.Now() };
  }
}

auto
CellKeeper::SilentForRow() -> std::map<std::string, std::int64_t>
{
  auto expiries = std::map<std::string, std::int64_t>{};
  if (!this->storeClock) {
    return expiries;
  }
  for (const auto& [worker, leaseEnd] : this->cell->SilentWorkers()) {
    expiries.emplace(worker.text,
                     this->storeClock->storeMs +
                       ToMillis(leaseEnd - this->storeClock->asked).count());
  }
  return expiries;
}

auto
CellKeeper::StoreMsAt(Time aNow) const -> std::int64_t
{
  return this->storeClock->storeMs +
         ToMillis(aNow - this->storeClock->answered).count();
}

auto
CellKeeper::OnSiteChanged() -> void
{
  if (!this->cell) {
    return;
  }
  const auto now = this->ports.loop.Now();
  this->cell->OnConfig(this->ports.site.Config());
  this->cell->OnEvacuations(now, this->ports.site.Evacuated());
  if (this->ports.site.WorkersKnown()) {
    this->cell->OnWorkers(now, this->OwnWorkers());
  }
  this->StepSoon();
}

auto
CellKeeper::OwnWorkers() const -> cells::WorkerTable
{
  const auto& layout = this->ports.view.Layout();
  auto workers = cells::WorkerTable{};
  for (const auto& [id, worker] : this->ports.site.Workers()) {
    if (layout && layout->CellOf(worker) == this->rows.cell) {
      workers.emplace(id, worker);
    }
  }
  return workers;
}

auto
CellKeeper::OwnedCell() const -> const cells::Cell*
{
  return this->cell.get();
}

auto
CellKeeper::TellMetrics() -> void
{
  if (!this->cell) {
    return;
  }
  const auto counts = this->cell->Counts();
  this->ports.metrics.AddCounts(this->toldCounts, counts);
  this->ports.metrics.AddSpans(this->cell->TakeSpans());
  this->toldCounts = counts;
}

auto
CellKeeper::OnAccepted(const cells::JobRow& aRow) -> void
{
  if (this->cell) {
    this->cell->OnJob(
      this->ports.loop.Now(), this->ports.loop.UnixMillis(), aRow);
    this->StepSoon();
  }
}

auto
CellKeeper::OnCancelled(const cells::JobId& aJob) -> void
{
  if (this->cell) {
    this->cell->OnCancel(this->ports.loop.Now(), aJob);
    this->StepSoon();
  }
}

auto
CellKeeper::JobOf(const cells::StoredRow& aRow) const
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
CellKeeper::CancelledBy(const cells::StoredRow& aRow) const
  -> std::optional<cells::JobId>
{
  return aRow.value == this->rows.cell ? cells::JobId::Parse(aRow.key.key)
                                       : std::nullopt;
}

auto
CellKeeper::OnJobRows(const std::vector<cells::StoredRow>& aRows) -> void
{
  for (const auto& row : aRows) {
    if (row.version == 0) {
      continue;
    }
    if (const auto job = this->JobOf(row)) {
      this->OnAccepted(*job);
    }
  }
}

auto
CellKeeper::OnCancelRows(const std::vector<cells::StoredRow>& aRows) -> void
{
  for (const auto& row : aRows) {
    if (row.version == 0) {
      continue;
    }
    if (const auto id = this->CancelledBy(row)) {
      this->OnCancelled(*id);
    }
  }
}

auto
CellKeeper::StepSoon() -> void
{
  if (std::exchange(this->stepPosted, true)) {
    return;
  }
  this->ports.loop.Post([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->stepPosted = false;
      self->Step();
    }
  });
}

auto
CellKeeper::StepEvery() -> void
{
  if (!this->cell) {
    return;
  }
  this->Step();
  this->Later(this->stepTimer, kStepInterval, &CellKeeper::StepEvery);
}

auto
CellKeeper::Step() -> void
{
  if (!this->cell) {
    return;
  }
  this->cell->OnSiteFresh(this->ports.site.FreshAt());
  this->cell->OnTick(this->ports.loop.Now(), this->ports.loop.UnixMillis());
  this->WriteNext();
  this->SendCalls();
  this->SendQuestions();
  this->sweeper->Add(this->cell->TakeForgotten());
}

auto
CellKeeper::NewSweeper() -> std::shared_ptr<JobSweeper>
{
  return std::make_shared<JobSweeper>(
    this->ports.loop,
    this->ports.tables,
    this->rows,
    [weak = this->weak_from_this()](const cells::EndedJob& aJob) {
      const auto self = weak.lock();
      if (self && self->cell) {
        self->cell->OnSwept(self->ports.loop.Now(), aJob);
        self->ports.metrics.CountSweptJob();
      }
    });
}

auto
CellKeeper::SendCalls() -> void
{
  for (const auto& call : this->cell->TakeCalls(this->ports.loop.Now())) {
    this->ports.workers.Call(
      call,
      [weak = this->weak_from_this(),
       epoch = this->term](const cells::WorkerAnswer& aAnswer) {
        const auto self = weak.lock();
        if (self && self->cell && self->term == epoch) {
          self->cell->OnAnswer(self->ports.loop.Now(), aAnswer);
          if (self->cell->SeenFenced()) {
            // Only a newer owner can have given the
            // worker a higher fencing token.
            self->Lose("a worker obeys a newer owner");
            return;
          }
          self->StepSoon();
        }
      });
  }
}

auto
CellKeeper::SendQuestions() -> void
{
  for (const auto& question : this->cell->TakeQuestions()) {
    this->ports.advice.Ask(question,
                           [weak = this->weak_from_this(), epoch = this->term](
                             const cells::AdviceAnswer& aAnswer) {
                             const auto self = weak.lock();
                             if (self && self->cell && self->term == epoch) {
                               self->ports.metrics.CountAdvice(aAnswer.end);
                               self->cell->OnAdvice(self->ports.loop.Now(),
                                                    aAnswer);
                               self->StepSoon();
                             }
                           });
  }
}

auto
CellKeeper::WriteNext() -> void
{
  if (this->recorder->InFlight() || this->readingOwner) {
    return;
  }
  if (this->recorder->MustRead()) {
    this->ReadOwner();
    return;
  }
  const auto now = this->ports.loop.Now();
  this->recorder->SetSilent(this->SilentForRow());
  if (now > this->toldLearnt + kLearntInterval && this->storeClock) {
    this->toldLearnt = now;
    auto learnt = this->cell->Tell(now);
    learnt.storeMs = this->StoreMsAt(now);
    this->recorder->SetLearnt(cells::EncodeLearnt(learnt));
  }
  if (const auto batch = this->cell->NextBatch(now)) {
    this->Commit(this->recorder->Write(*batch));
  } else if (this->releasing || now > this->lastWrite + kBeatInterval) {
    this->Commit(this->recorder->WriteBeat(this->releasing));
  }
}

auto
CellKeeper::Commit(const cells::RowsCommit& aCommit) -> void
{
  this->lastWrite = this->ports.loop.Now();
  this->ports.tables.Commit(
    aCommit,
    kStoreTimeout,
    [weak = this->weak_from_this(),
     epoch = this->term,
     sentAt = this->lastWrite](const cells::CommitOutcome& aOutcome) {
      const auto self = weak.lock();
      if (!self || !self->cell || self->term != epoch) {
        return;
      }
      self->NoteStoreClock(aOutcome.storeMs, sentAt);
      if (aOutcome.end == cells::TableEnd::Done) {
        self->cell->OnConfirmed(sentAt);
      }
      self->NoteRecording(aOutcome);
      self->Apply(self->recorder->OnOutcome(aOutcome));
      if (self->cell && aOutcome.end == cells::TableEnd::Done) {
        self->cell->OnSilentWritten(self->recorder->Owner().silent);
      }
    });
}

// Logs one line when the store starts to reject records and one when it accepts
// them again.
auto
CellKeeper::NoteRecording(const cells::CommitOutcome& aOutcome) -> void
{
  const auto now = this->ports.loop.Now();
  if (aOutcome.end != cells::TableEnd::Done) {
    if (!this->notRecordingSince) {
      this->notRecordingSince = now;
      this->ports.log.Write(
        "records_refused",
        { { "end", ToText(aOutcome.end) }, { "reason", aOutcome.reason } });
    }
    return;
  }
  if (this->notRecordingSince) {
    this->ports.log.Write(
      "records_taken",
      { { "after_ms",
          std::to_string(ToMillis(now - *this->notRecordingSince).count()) } });
    this->notRecordingSince.reset();
  }
}

auto
CellKeeper::ReadOwner() -> void
{
  this->readingOwner = true;
  const auto owner = this->rows.Owner();
  this->ports.tables.Read(
    { owner.table, owner.part, "", "" },
    kStoreTimeout,
    [weak = this->weak_from_this(),
     epoch = this->term](const cells::RowsOutcome& aOutcome) {
      const auto self = weak.lock();
      if (!self || !self->cell || self->term != epoch) {
        return;
      }
      self->readingOwner = false;
      if (aOutcome.end == cells::TableEnd::Done && !aOutcome.rows.empty()) {
        self->Apply(self->recorder->OnOwnerRead(aOutcome.rows.front()));
      }
    });
}

auto
CellKeeper::Apply(const cells::RecorderNews& aResult) -> void
{
  const auto now = this->ports.loop.Now();
  if (aResult.lost) {
    this->Lose("another instance owns the cell");
    return;
  }
  if (aResult.recorded) {
    this->cell->OnRecorded(now, *aResult.recorded);
  }
  if (aResult.notRecorded) {
    this->cell->OnNotRecorded(now, *aResult.notRecorded);
  }
  if (aResult.unknown) {
    this->cell->OnRecordUnknown(now, *aResult.unknown);
  }
  if (this->releasing && this->recorder->Owner().released) {
    this->Lose("released");
    return;
  }
  this->StepSoon();
}

auto
CellKeeper::Lose(const char* aReason) -> void
{
  this->ports.log.Write("cell_lost",
                        { { "cell", this->rows.cell }, { "why", aReason } });
  this->TellMetrics();
  this->ports.metrics.CountOwnership(this->releasing ? "released" : "lost");
  ++this->term;
  this->cell.reset();
  this->recorder.reset();
  this->load.reset();
  this->sweeper.reset();
  this->stepTimer.reset();
  this->readingOwner = false;
  for (auto* const follower : { &this->jobRows, &this->cancelRows }) {
    if (*follower) {
      (*follower)->Stop();
      follower->reset();
    }
  }
  this->ports.site.FollowWorkers(false);
  if (const auto released = std::exchange(this->onReleased, nullptr)) {
    released();
  }
  this->seenAt = this->ports.loop.Now();
  this->Later(this->watchTimer, kWatchInterval, &CellKeeper::Watch);
}

auto
CellKeeper::Release(std::function<void()> aDone) -> void
{
  this->releasing = true;
  if (!this->cell) {
    aDone();
    return;
  }
  this->onReleased = std::move(aDone);
  this->StepSoon();
}

} // namespace gooseberry::fleet
