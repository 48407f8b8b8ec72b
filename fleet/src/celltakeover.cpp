// Monitoring a cell's owner and taking the cell over when the owner has failed
// or released it.

#include "cellkeeper.h"
#include "tunables_fleet.h"

namespace gooseberry::fleet {

// The stored rows of the cell, collected after a takeover until all ranges are
// read.
struct CellKeeper::Load
{
  std::vector<cells::StoredRow> records;
  std::vector<cells::StoredRow> submissions;
  std::vector<cells::StoredRow> cancellations;
  // Ranges that are not read yet.
  int missing = 0;
  // The lowest version at which a range was read; changes are followed from it.
  std::uint64_t version = 0;
  std::vector<TimerHandle> retries;
};

auto
CellKeeper::Watch() -> void
{
  if (this->releasing || this->recorder || this->taking) {
    return;
  }
  const auto ownRank =
    this->ports.view.Members().RankOf(this->settings.instance, this->rows.cell);
  if (!ownRank) {
    // This instance is not a candidate owner of the cell.
    this->seenAt = this->ports.loop.Now();
    this->Later(this->watchTimer, kWatchInterval, &CellKeeper::Watch);
    return;
  }
  this->rank = *ownRank;
  const auto owner = this->rows.Owner();
  this->ports.tables.Read(
    { owner.table, owner.part, "", "" },
    kStoreTimeout,
    [weak = this->weak_from_this(),
     sentAt = this->ports.loop.Now()](const cells::RowsOutcome& aOutcome) {
      if (const auto self = weak.lock()) {
        self->NoteStoreClock(aOutcome.storeMs, sentAt);
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
  // A row with this instance's own name was written before a restart.
  const auto ownedBeforeRestart = owner->owner.text == this->settings.instance;
  // The present owner is no candidate: if it ranks above this instance, its
  // place in the order of takeovers is skipped.
  const auto ownerRank =
    this->ports.view.Members().RankOf(owner->owner.text, this->rows.cell);
  if (ownerRank && *ownerRank < this->rank) {
    --this->rank;
  }
  if (ownedBeforeRestart ||
      now >= this->seenAt + this->Patience(owner->released)) {
    this->earlier = owner;
    this->TakeOver(row.version, owner->fencingToken + 1);
  }
}

auto
CellKeeper::Patience(bool aReleased) const -> Millis
{
  const auto rankDelay = kRankDelay * static_cast<Millis::rep>(this->rank);
  return aReleased ? rankDelay : kOwnerSilence + rankDelay;
}

auto
CellKeeper::TakeOver(std::uint64_t aOwnerRowVersion,
                     std::uint64_t aFencingToken) -> void
{
  if (this->releasing) {
    return;
  }
  this->taking = true;
  auto owner = cells::OwnerRow{ { this->settings.instance },
                                this->settings.address,
                                aFencingToken };
  owner.leaseMs = this->LeaseGiven().count();
  if (this->earlier) {
    // Keep the previous owner's list of unresponsive workers until the records
    // are read.
    owner.silent = this->earlier->silent;
  }
  auto commit = cells::RowsCommit{};
  commit.conditions.push_back({ this->rows.Owner(), aOwnerRowVersion });
  commit.puts.push_back({ this->rows.Owner(), cells::EncodeOwner(owner) });
  this->ports.log.Write("cell_taking",
                        { { "cell", this->rows.cell },
                          { "token", std::to_string(aFencingToken) },
                          { "row", std::to_string(aOwnerRowVersion) } });
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
        // The row may have been written although the outcome is unknown. Nobody
        // acts as this owner then, and the row times out like that of a failed
        // owner.
        self->Later(self->watchTimer, kWatchInterval, &CellKeeper::Watch);
        return;
      }
      self->recorder.emplace(self->rows, owner, aOutcome.version);
      ++self->term;
      self->lastWrite = self->ports.loop.Now();
      self->LoadRecords();
    });
}

// Converts the lease ends in the owner's row, by worker, from the store's clock
// to the latest local times that they can stand for. Empty if the store's clock
// is not known.
auto
CellKeeper::LapsesOf(const cells::OwnerRow& aOwner) const
  -> std::map<WorkerId, Time>
{
  auto expiries = std::map<WorkerId, Time>{};
  if (!this->storeClock) {
    return expiries;
  }
  for (const auto& [worker, storeMs] : aOwner.silent) {
    expiries.emplace(WorkerId{ worker },
                     this->storeClock->answered +
                       Millis{ storeMs - this->storeClock->storeMs });
  }
  return expiries;
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
                     std::vector<cells::StoredRow> Load::*aTarget) -> void
{
  this->ports.tables.Read(aRange,
                          kStoreTimeout,
                          [weak = this->weak_from_this(),
                           weakRows = std::weak_ptr<Load>(this->load),
                           aRange,
                           aTarget](const cells::RowsOutcome& aOutcome) {
                            const auto self = weak.lock();
                            const auto readRows = weakRows.lock();
                            if (self && readRows && self->load == readRows) {
                              self->OnRead(
                                *readRows, aRange, aTarget, aOutcome);
                            }
                          });
}

auto
CellKeeper::OnRead(Load& aRows,
                   const cells::RowsRange& aRange,
                   std::vector<cells::StoredRow> Load::*aTarget,
                   const cells::RowsOutcome& aOutcome) -> void
{
  if (aOutcome.end != cells::TableEnd::Done) {
    aRows.retries.push_back(this->ports.loop.After(
      kReadRetry,
      [weak = this->weak_from_this(),
       weakRows = std::weak_ptr<Load>(this->load),
       aRange,
       aTarget] {
        const auto self = weak.lock();
        if (self && self->load && self->load == weakRows.lock()) {
          self->ReadInto(aRange, aTarget);
        }
      }));
    return;
  }
  auto& rows = aRows.*aTarget;
  rows.insert(rows.end(), aOutcome.rows.begin(), aOutcome.rows.end());
  aRows.version = aRows.version == 0
                    ? aOutcome.version
                    : std::min(aRows.version, aOutcome.version);
  if (--aRows.missing == 0) {
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
    if (cells::CellRows::IsLearnt(row.key)) {
      this->HearLearnt(row, takeover);
    } else if (auto record = cells::DecodeRecord(row.value, reason)) {
      records.emplace(row.key.key, std::move(*record));
    } else {
      this->ports.log.Write("record_unreadable",
                            { { "job", row.key.key }, { "reason", reason } });
    }
  }
  for (const auto& row : loaded->submissions) {
    // The record is extracted even if the job row can't be decoded: it is no
    // orphan then.
    auto record = records.extract(row.key.key);
    if (auto job = this->JobOf(row)) {
      takeover.jobs.emplace_back(
        std::move(*job),
        record.empty() ? std::nullopt
                       : std::optional{ std::move(record.mapped()) });
    }
  }
  for (const auto& [text, record] : records) {
    if (const auto id = cells::JobId::Parse(text)) {
      takeover.orphanRecords.push_back(*id);
    }
  }
  for (const auto& row : loaded->cancellations) {
    if (const auto id = this->CancelledBy(row)) {
      takeover.cancelled.push_back(*id);
    }
  }
  this->ports.log.Write(
    "cell_taken",
    { { "cell", this->rows.cell },
      { "token", std::to_string(takeover.fencingToken) },
      { "jobs", std::to_string(takeover.jobs.size()) },
      { "records", std::to_string(loaded->records.size()) } });
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
      [weak = this->weak_from_this(), aHandler](
        const std::vector<cells::StoredRow>& aRows, bool /*aIsSnapshot*/) {
        const auto self = weak.lock();
        if (self && self->cell) {
          (*self.*aHandler)(aRows);
        }
      });
  };
  this->sweeper = this->NewSweeper();
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
CellKeeper::HearLearnt(const cells::StoredRow& aRow,
                       cells::CellTakeover& aTakeover) const -> void
{
  auto reason = std::string{};
  aTakeover.learnt = cells::DecodeLearnt(aRow.value, reason);
  if (!aTakeover.learnt) {
    this->ports.log.Write("learnt_unreadable", { { "reason", reason } });
    return;
  }
  if (this->storeClock && aTakeover.learnt->storeMs > 0) {
    aTakeover.learntAge = std::max(
      Millis{ 0 },
      Millis{ this->StoreMsAt(aTakeover.now) - aTakeover.learnt->storeMs });
  }
  this->ports.log.Write(
    "learnt_heard",
    { { "cell", this->rows.cell },
      { "pairs", std::to_string(aTakeover.learnt->pairs.size()) },
      { "paces", std::to_string(aTakeover.learnt->paces.size()) },
      { "bytes", std::to_string(aRow.value.size()) },
      { "age_ms", std::to_string(aTakeover.learntAge.count()) } });
}

auto
CellKeeper::LeaseGiven() const -> Millis
{
  return std::min(kLeaseGiven, this->settings.bounds.leaseMax - kLeaseReserve);
}

} // namespace gooseberry::fleet
