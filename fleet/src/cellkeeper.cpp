#include "cellkeeper.h"

namespace gooseberry::fleet {

namespace {

// How often the owner's row is looked at, and how long it may stay unchanged.
constexpr Millis kWatchInterval{ 400 };
constexpr Millis kOwnerSilence{ 1500 };
// Instances step in one after the other, by their rank.
constexpr Millis kRankDelay{ 150 };
// An owner with nothing to record shows this often that it is alive.
constexpr Millis kBeatInterval{ 500 };
// Lease that workers are given: longer ones outlive longer cuts and outages,
// shorter ones free the tasks of a lost worker sooner.
constexpr Millis kLeaseGiven{ 5000 };
// Kept below the longest lease that workers accept, so that none is shortened.
constexpr Millis kLeaseReserve{ 200 };
// Longest rest between two rounds of decisions.
constexpr Millis kStepInterval{ 25 };
constexpr Millis kStoreTimeout{ 1000 };
// A read that failed is tried again after this.
constexpr Millis kReadRetry{ 150 };
constexpr Millis kJobPatience{ 1000 };

} // namespace

// Rows read after a takeover.
struct CellKeeper::Load
{
  std::vector<cells::StoredRow> records;
  std::vector<cells::StoredRow> submissions;
  std::vector<cells::StoredRow> cancellations;
  int missing = 0;
  std::uint64_t version = 0;
  std::vector<TimerHandle> retries;
};

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
                  void (CellKeeper::*aWork)()) -> void
{
  aTimer =
    this->ports.loop.After(aDelay, [weak = this->weak_from_this(), aWork] {
      if (const auto self = weak.lock()) {
        (*self.*aWork)();
      }
    });
}

auto
CellKeeper::Watch() -> void
{
  if (this->releasing || this->recorder || this->taking) {
    return;
  }
  const auto mine =
    this->ports.view.Members().RankOf(this->settings.instance, this->rows.cell);
  if (!mine) {
    // Others look after it.
    this->seenAt = this->ports.loop.Now();
    this->Later(this->watchTimer, kWatchInterval, &CellKeeper::Watch);
    return;
  }
  this->rank = *mine;
  const auto owner = this->rows.Owner();
  this->ports.tables.Read(
    { owner.table, owner.part, "", "" },
    kStoreTimeout,
    [weak = this->weak_from_this(),
     asked = this->ports.loop.Now()](const cells::RowsOutcome& aOutcome) {
      if (const auto self = weak.lock()) {
        self->NoteStoreClock(aOutcome.storeMs, asked);
        self->OnOwnerRow(aOutcome);
      }
    });
}

auto
CellKeeper::OnOwnerRow(const cells::RowsOutcome& aOutcome) -> void
{
  const auto now = this->ports.loop.Now();
  this->Later(this->watchTimer, kWatchInterval, &CellKeeper::Watch);
  if (aOutcome.end != cells::TableEnd::Done || !this->ports.site.Config()) {
    return;
  }
  if (aOutcome.rows.empty()) {
    if (this->seenAt == Time{}) {
      this->seenAt = now;
    }
    if (now >= this->seenAt + this->Patience(true)) {
      this->earlier.reset();
      this->TakeOver(0, 1);
    }
    return;
  }
  const auto& row = aOutcome.rows.front();
  auto reason = std::string{};
  const auto owner = cells::DecodeOwner(row.value, reason);
  if (!owner) {
    this->ports.log.Write("owner_unreadable", { { "reason", reason } });
    return;
  }
  if (row.version != this->seenVersion) {
    this->seenVersion = row.version;
    this->seenAt = now;
  }
  // A row with the own name is of an earlier life of this process.
  const auto ownEarlier = owner->owner.text == this->settings.instance;
  // The silent owner does not take its turn.
  const auto ahead =
    this->ports.view.Members().RankOf(owner->owner.text, this->rows.cell);
  if (ahead && *ahead < this->rank) {
    --this->rank;
  }
  if (ownEarlier || now >= this->seenAt + this->Patience(owner->released)) {
    this->earlier = owner;
    this->TakeOver(row.version, owner->fencingToken + 1);
  }
}

auto
CellKeeper::Patience(bool aReleased) const -> Millis
{
  const auto turn = kRankDelay * static_cast<Millis::rep>(this->rank);
  return aReleased ? turn : kOwnerSilence + turn;
}

auto
CellKeeper::TakeOver(std::uint64_t aVersion, std::uint64_t aToken) -> void
{
  if (this->releasing) {
    return;
  }
  this->taking = true;
  auto owner = cells::OwnerRow{ { this->settings.instance },
                                this->settings.address,
                                aToken };
  owner.leaseMs = this->LeaseGiven().count();
  if (this->earlier) {
    // Not known better before the records are read.
    owner.silent = this->earlier->silent;
  }
  auto commit = cells::RowsCommit{};
  commit.conditions.push_back({ this->rows.Owner(), aVersion });
  commit.puts.push_back({ this->rows.Owner(), cells::EncodeOwner(owner) });
  this->ports.log.Write("cell_taking",
                        { { "cell", this->rows.cell },
                          { "token", std::to_string(aToken) },
                          { "row", std::to_string(aVersion) } });
  this->ports.tables.Commit(
    commit,
    kStoreTimeout,
    [weak = this->weak_from_this(),
     owner](const cells::CommitOutcome& aOutcome) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->taking = false;
      if (aOutcome.end != cells::TableEnd::Done) {
        // If it was done after all, nobody acts under it: it falls silent.
        self->Later(self->watchTimer, kWatchInterval, &CellKeeper::Watch);
        return;
      }
      self->recorder.emplace(self->rows, owner, aOutcome.version);
      ++self->term;
      self->lastWrite = self->ports.loop.Now();
      self->LoadRecords();
    });
}

auto
CellKeeper::LeaseGiven() const -> Millis
{
  return std::min(kLeaseGiven, this->settings.bounds.leaseMax - kLeaseReserve);
}

auto
CellKeeper::NoteStoreClock(std::int64_t aStoreMs, Time aAsked) -> void
{
  if (aStoreMs > 0) {
    this->storeClock = StoreClock{ aStoreMs, aAsked, this->ports.loop.Now() };
  }
}

// The latest own times at which leases are over that the row tells.
auto
CellKeeper::LapsesOf(const cells::OwnerRow& aOwner) const
  -> std::map<WorkerId, Time>
{
  auto lapses = std::map<WorkerId, Time>{};
  if (!this->storeClock) {
    return lapses;
  }
  for (const auto& [worker, storeMs] : aOwner.silent) {
    lapses.emplace(WorkerId{ worker },
                   this->storeClock->answered +
                     Millis{ storeMs - this->storeClock->storeMs });
  }
  return lapses;
}

auto
CellKeeper::SilentForRow() -> std::map<std::string, std::int64_t>
{
  auto silent = std::map<std::string, std::int64_t>{};
  if (!this->storeClock) {
    return silent;
  }
  for (const auto& [worker, lapse] : this->cell->SilentWorkers()) {
    silent.emplace(worker.text,
                   this->storeClock->storeMs +
                     ToMillis(lapse - this->storeClock->asked).count());
  }
  return silent;
}

auto
CellKeeper::LoadRecords() -> void
{
  this->ports.site.FollowWorkers(true);
  this->load = std::make_shared<Load>();
  const auto parts = cells::CellRows::CallerParts();
  this->load->missing = 1 + 2 * static_cast<int>(parts.size());
  this->ReadInto(this->rows.RecordRange(), &Load::records);
  for (const auto& part : parts) {
    this->ReadInto({ cells::CellRows::kSubmissionTable, part, "", "" },
                   &Load::submissions);
    this->ReadInto({ cells::CellRows::kCancellationTable, part, "", "" },
                   &Load::cancellations);
  }
}

auto
CellKeeper::ReadInto(const cells::RowsRange& aRange,
                     std::vector<cells::StoredRow> Load::*aWhere) -> void
{
  this->ports.tables.Read(aRange,
                          kStoreTimeout,
                          [weak = this->weak_from_this(),
                           held = std::weak_ptr<Load>(this->load),
                           aRange,
                           aWhere](const cells::RowsOutcome& aOutcome) {
                            const auto self = weak.lock();
                            const auto loading = held.lock();
                            if (self && loading && self->load == loading) {
                              self->OnRead(*loading, aRange, aWhere, aOutcome);
                            }
                          });
}

auto
CellKeeper::OnRead(Load& aLoad,
                   const cells::RowsRange& aRange,
                   std::vector<cells::StoredRow> Load::*aWhere,
                   const cells::RowsOutcome& aOutcome) -> void
{
  if (aOutcome.end != cells::TableEnd::Done) {
    aLoad.retries.push_back(this->ports.loop.After(
      kReadRetry,
      [weak = this->weak_from_this(),
       held = std::weak_ptr<Load>(this->load),
       aRange,
       aWhere] {
        const auto self = weak.lock();
        if (self && self->load && self->load == held.lock()) {
          self->ReadInto(aRange, aWhere);
        }
      }));
    return;
  }
  auto& rows = aLoad.*aWhere;
  rows.insert(rows.end(), aOutcome.rows.begin(), aOutcome.rows.end());
  aLoad.version = aLoad.version == 0
                    ? aOutcome.version
                    : std::min(aLoad.version, aOutcome.version);
  if (--aLoad.missing == 0) {
    this->OnLoaded();
  }
}

auto
CellKeeper::OnLoaded() -> void
{
  const auto loaded = std::exchange(this->load, nullptr);
  auto takeover = cells::CellTakeover{};
  takeover.fencingToken = this->recorder->Owner().fencingToken;
  takeover.now = this->ports.loop.Now();
  takeover.nowUnixMs = this->ports.loop.UnixMillis();
  if (this->earlier) {
    takeover.earlierLease = Millis{ this->earlier->leaseMs };
    takeover.lapses = this->LapsesOf(*this->earlier);
  }
  auto reason = std::string{};
  auto records = std::map<std::string, cells::JobRecord>{};
  for (const auto& row : loaded->records) {
    if (auto record = cells::DecodeRecord(row.value, reason)) {
      records.emplace(row.key.key, std::move(*record));
    } else {
      this->ports.log.Write("record_unreadable",
                            { { "job", row.key.key }, { "reason", reason } });
    }
  }
  for (const auto& row : loaded->submissions) {
    if (auto job = this->JobOf(row)) {
      const auto record = records.find(row.key.key);
      takeover.jobs.emplace_back(std::move(*job),
                                 record == records.end()
                                   ? std::nullopt
                                   : std::optional{ record->second });
    }
  }
  for (const auto& row : loaded->cancellations) {
    if (const auto id = this->CancelledBy(row)) {
      takeover.cancelled.push_back(*id);
    }
  }
  this->ports.log.Write("cell_taken",
                        { { "cell", this->rows.cell },
                          { "token", std::to_string(takeover.fencingToken) },
                          { "jobs", std::to_string(takeover.jobs.size()) },
                          { "records", std::to_string(records.size()) } });
  this->toldCounts = {};
  this->ports.metrics.CountOwnership("taken");
  auto options = cells::CellOptions{};
  options.leaseMax = this->settings.bounds.leaseMax;
  options.lease = this->LeaseGiven();
  options.stopBound = this->settings.bounds.stop;
  options.keepEnded = this->settings.bounds.keepEnded;
  options.remoteFactor = this->settings.bounds.remoteFactor;
  this->cell = std::make_unique<cells::Cell>(
    options, std::move(takeover), this->ports.log);
  const auto follow = [this](const char* aTable, auto aHandler) {
    return std::make_shared<TableFollower>(
      this->ports.loop,
      this->ports.tables,
      FollowerOptions{
        aTable, cells::CellRows::CallerParts(), kJobPatience, Millis{ 0 } },
      this->ports.log,
      [weak = this->weak_from_this(),
       aHandler](const std::vector<cells::StoredRow>& aRows, bool /*aWhole*/) {
        const auto self = weak.lock();
        if (self && self->cell) {
          (*self.*aHandler)(aRows);
        }
      });
  };
  this->jobRows =
    follow(cells::CellRows::kSubmissionTable, &CellKeeper::OnJobRows);
  this->cancelRows =
    follow(cells::CellRows::kCancellationTable, &CellKeeper::OnCancelRows);
  this->jobRows->StartAfter(loaded->version);
  this->cancelRows->StartAfter(loaded->version);
  this->OnSiteChanged();
  this->StepEvery();
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
  auto own = cells::WorkerTable{};
  for (const auto& [id, worker] : this->ports.site.Workers()) {
    if (layout && layout->CellOf(worker) == this->rows.cell) {
      own.emplace(id, worker);
    }
  }
  return own;
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
  const auto now = this->cell->Counts();
  this->ports.metrics.AddCounts(this->toldCounts, now);
  this->ports.metrics.AddSpans(this->cell->TakeSpans());
  this->toldCounts = now;
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
}

auto
CellKeeper::SendCalls() -> void
{
  for (const auto& call : this->cell->TakeCalls(this->ports.loop.Now())) {
    this->ports.workers.Call(call,
                             [weak = this->weak_from_this(), at = this->term](
                               const cells::WorkerAnswer& aAnswer) {
                               const auto self = weak.lock();
                               if (self && self->cell && self->term == at) {
                                 self->cell->OnAnswer(self->ports.loop.Now(),
                                                      aAnswer);
                                 if (self->cell->SeenFenced()) {
                                   // Only a newer owner can have told it so.
                                   self->Lose("fenced at a worker");
                                   return;
                                 }
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
    [weak = this->weak_from_this(), at = this->term, asked = this->lastWrite](
      const cells::CommitOutcome& aOutcome) {
      const auto self = weak.lock();
      if (!self || !self->cell || self->term != at) {
        return;
      }
      self->NoteStoreClock(aOutcome.storeMs, asked);
      if (aOutcome.end == cells::TableEnd::Done) {
        self->cell->OnConfirmed(asked);
      }
      self->NoteRecording(aOutcome);
      self->Apply(self->recorder->OnOutcome(aOutcome));
      if (self->cell && aOutcome.end == cells::TableEnd::Done) {
        self->cell->OnSilentWritten(self->recorder->Owner().silent);
      }
    });
}

// One line when the store stops taking records, and one when it takes them.
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
     at = this->term](const cells::RowsOutcome& aOutcome) {
      const auto self = weak.lock();
      if (!self || !self->cell || self->term != at) {
        return;
      }
      self->readingOwner = false;
      if (aOutcome.end == cells::TableEnd::Done && !aOutcome.rows.empty()) {
        self->Apply(self->recorder->OnOwnerRead(aOutcome.rows.front()));
      }
    });
}

auto
CellKeeper::Apply(const cells::RecorderNews& aNews) -> void
{
  const auto now = this->ports.loop.Now();
  if (aNews.lost) {
    this->Lose("another owner has it");
    return;
  }
  if (aNews.recorded) {
    this->cell->OnRecorded(now, *aNews.recorded);
  }
  if (aNews.notRecorded) {
    this->cell->OnNotRecorded(now, *aNews.notRecorded);
  }
  if (aNews.unknown) {
    this->cell->OnRecordUnknown(now, *aNews.unknown);
  }
  if (this->releasing && this->recorder->Owner().released) {
    this->Lose("released");
    return;
  }
  this->StepSoon();
}

auto
CellKeeper::Lose(const char* aWhy) -> void
{
  this->ports.log.Write("cell_lost",
                        { { "cell", this->rows.cell }, { "why", aWhy } });
  this->TellMetrics();
  this->ports.metrics.CountOwnership(this->releasing ? "released" : "lost");
  ++this->term;
  this->cell.reset();
  this->recorder.reset();
  this->load.reset();
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
