#include "accountsharestore.h"

#include "tunables_fleet.h"

namespace gooseberry::fleet {

AccountShareStore::AccountShareStore(Loop& aLoop,
                                     cells::TableClient& aTables,
                                     cells::DecisionLog& aLog,
                                     FleetMetrics& aMetrics,
                                     std::string aCell,
                                     std::uint64_t aFencingToken,
                                     DemandSource aDemand,
                                     OnShares aOnShares,
                                     Millis aConfigApply)
  : loop(aLoop)
  , tables(aTables)
  , log(aLog)
  , metrics(aMetrics)
  , cell(std::move(aCell))
  , demand(std::move(aDemand))
  , onShares(std::move(aOnShares))
  , shares(this->cell, aFencingToken, aConfigApply)
{
}

auto
AccountShareStore::OnSite(const cells::SiteConfig* aConfig,
                          const std::vector<std::string>& aCells) -> void
{
  if (this->stopped) {
    return;
  }
  this->shares.OnCells(aCells);
  if (aConfig != nullptr) {
    this->shares.OnConfig(*aConfig);
  }
  this->PublishShares();
  if (this->shares.IsNeeded() && !this->follower) {
    this->Start();
  }
}

auto
AccountShareStore::Start() -> void
{
  this->follower = std::make_shared<TableFollower>(
    this->loop,
    this->tables,
    FollowerOptions{ cells::AccountShares::kTable,
                     { cells::AccountShares::kPartition },
                     kShareFeedWait,
                     kShareFeedPause },
    this->log,
    [weak = this->weak_from_this()](const std::vector<cells::StoredRow>& aRows,
                                    bool aIsSnapshot) {
      if (const auto self = weak.lock()) {
        self->OnRows(aRows, aIsSnapshot);
      }
    });
  this->follower->Start();
}

auto
AccountShareStore::Stop() -> void
{
  this->stopped = true;
  this->checkTimer.reset();
  if (this->follower) {
    this->follower->Stop();
    this->follower.reset();
  }
}

auto
AccountShareStore::OnRows(const std::vector<cells::StoredRow>& aRows,
                          bool aIsSnapshot) -> void
{
  if (this->stopped) {
    return;
  }
  for (const auto& row : aRows) {
    if (const auto reason = this->shares.OnRow(row)) {
      this->log.Write("share_unreadable",
                      { { "cell", this->cell },
                        { "row", row.key.key },
                        { "reason", *reason } });
    }
  }
  if (aIsSnapshot) {
    this->shares.OnAllRowsRead();
  }
  this->PublishShares();
  if (aIsSnapshot && !std::exchange(this->rowsRead, true)) {
    this->Check();
  }
}

auto
AccountShareStore::Check() -> void
{
  this->ScheduleCheck(kShareCheckInterval);
  const auto transaction =
    this->shares.NextTransaction(this->loop.Now(), this->demand());
  // Before anything else starts: what is returned can't be used any more.
  this->PublishShares();
  if (std::exchange(this->wasTooLarge, this->shares.IsTooLarge()) !=
        this->shares.IsTooLarge() &&
      this->shares.IsTooLarge()) {
    this->log.Write("shares_too_large", { { "cell", this->cell } });
  }
  if (!transaction) {
    return;
  }
  this->tables.Commit(
    *transaction,
    kStoreTimeout,
    [weak = this->weak_from_this()](const cells::TableCommitResult& aOutcome) {
      const auto self = weak.lock();
      if (self && !self->stopped) {
        self->OnOutcome(aOutcome);
      }
    });
}

auto
AccountShareStore::OnOutcome(const cells::TableCommitResult& aOutcome) -> void
{
  const auto transfers = this->shares.TransferCount();
  this->shares.OnOutcome(aOutcome);
  this->metrics.CountShareTransaction(aOutcome.status);
  if (aOutcome.status == cells::TableStatus::Done) {
    this->conflicts = 0;
    if (this->shares.TransferCount() != transfers) {
      this->log.Write("shares_moved",
                      { { "cell", this->cell },
                        { "row", std::to_string(aOutcome.version) } });
    }
  } else if (aOutcome.status == cells::TableStatus::Conflict &&
             ++this->conflicts <= kMaxShareRetries) {
    // Cells that wrote at the same time retry at different times.
    this->ScheduleCheck(
      kShareRetryDelay +
      Millis{ StableHash(this->cell + std::to_string(this->conflicts)) %
              static_cast<std::uint64_t>(kShareRetryDelay.count()) });
  }
  if (!std::exchange(this->wasClaimed, this->shares.IsClaimed()) &&
      this->shares.IsClaimed()) {
    this->log.Write(
      "shares_claimed",
      { { "cell", this->cell }, { "row", std::to_string(aOutcome.version) } });
  }
  this->PublishShares();
}

auto
AccountShareStore::ScheduleCheck(Millis aDelay) -> void
{
  this->checkTimer = this->loop.After(aDelay, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Check();
    }
  });
}

auto
AccountShareStore::PublishShares() -> void
{
  this->onShares(this->shares.Usable());
}

} // namespace gooseberry::fleet
