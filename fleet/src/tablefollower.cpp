#include "tablefollower.h"

#include <algorithm>

namespace gooseberry::fleet {

namespace {

// Delay before a call that the store refused or did not answer is retried.
constexpr Millis kRetryDelay{ 200 };
constexpr Millis kReadTimeout{ 1500 };

} // namespace

TableFollower::TableFollower(Loop& aLoop,
                             cells::TableClient& aTables,
                             FollowerOptions aOptions,
                             cells::DecisionLog& aLog,
                             OnRows aOnRows)
  : loop(aLoop)
  , tables(aTables)
  , options(std::move(aOptions))
  , log(aLog)
  , onRows(std::move(aOnRows))
{
}

auto
TableFollower::Start() -> void
{
  this->ReadSnapshot();
}

auto
TableFollower::StartAfter(std::uint64_t aVersion) -> void
{
  this->version = aVersion;
  this->ReadFeed();
}

auto
TableFollower::Stop() -> void
{
  this->stopped = true;
  this->timer.reset();
}

auto
TableFollower::CurrentAsOf() const -> Time
{
  return this->currentAsOf;
}

auto
TableFollower::ReadSnapshot() -> void
{
  this->ReadPart(0, {}, this->loop.Now());
}

// Reads one part after the other, and follows changes from the lowest version
// of these reads, so that no change during them is missed.
auto
TableFollower::ReadPart(std::size_t aPartIndex,
                        cells::TableReadResult aSoFar,
                        Time aSentAt) -> void
{
  this->tables.Read(
    { this->options.table, this->options.parts.at(aPartIndex), "", "" },
    kReadTimeout,
    [self = this->shared_from_this(),
     aPartIndex,
     soFar = std::move(aSoFar),
     aSentAt](const cells::TableReadResult& aOutcome) mutable {
      if (self->stopped) {
        return;
      }
      self->LogAvailability(aOutcome.status, aOutcome.reason);
      if (aOutcome.status != cells::TableStatus::Done) {
        self->ScheduleNext(kRetryDelay, true);
        return;
      }
      soFar.version = soFar.version == 0
                        ? aOutcome.version
                        : std::min(soFar.version, aOutcome.version);
      soFar.rows.insert(
        soFar.rows.end(), aOutcome.rows.begin(), aOutcome.rows.end());
      if (aPartIndex + 1 < self->options.parts.size()) {
        self->ReadPart(aPartIndex + 1, std::move(soFar), aSentAt);
      } else {
        self->OnSnapshotRead(soFar, aSentAt);
      }
    });
}

auto
TableFollower::OnSnapshotRead(const cells::TableReadResult& aOutcome,
                              Time aSentAt) -> void
{
  this->version = aOutcome.version;
  this->currentAsOf = aSentAt;
  this->onRows(aOutcome.rows, true);
  this->ScheduleNext(this->options.feedPause, false);
}

auto
TableFollower::ReadFeed() -> void
{
  const auto sentAt = this->loop.Now();
  this->tables.Feed(
    this->options.table,
    this->version,
    this->options.maxFeedWait,
    [self = this->shared_from_this(),
     sentAt](const cells::TableFeedResult& aOutcome) {
      if (self->stopped) {
        return;
      }
      self->LogAvailability(aOutcome.status, aOutcome.reason);
      switch (aOutcome.status) {
        case cells::TableStatus::Done: {
          self->version = std::max(self->version, aOutcome.version);
          self->currentAsOf = sentAt;
          auto followedRows = aOutcome.rows;
          std::erase_if(followedRows, [&](const cells::StoredRow& aRow) {
            const auto& parts = self->options.parts;
            return std::find(parts.begin(), parts.end(), aRow.key.partition) ==
                   parts.end();
          });
          if (!followedRows.empty()) {
            self->onRows(followedRows, false);
          }
          self->ScheduleNext(self->options.feedPause, false);
          return;
        }
        case cells::TableStatus::FeedTruncated:
          self->ReadSnapshot();
          return;
        default:
          self->ScheduleNext(kRetryDelay, false);
          return;
      }
    });
}

auto
TableFollower::LogAvailability(cells::TableStatus aEnd,
                               const std::string& aReason) -> void
{
  const auto now = this->loop.Now();
  if (aEnd == cells::TableStatus::Done) {
    if (this->unavailableSince) {
      this->log.Write(
        "table_back",
        { { "table", this->options.table },
          { "after_ms",
            std::to_string(ToMillis(now - *this->unavailableSince).count()) },
          { "version", std::to_string(this->version) } });
      this->unavailableSince.reset();
    }
  } else if (!this->unavailableSince) {
    this->unavailableSince = now;
    this->log.Write(
      "table_lost",
      { { "table", this->options.table },
        { "end", ToText(aEnd) },
        { "reason", aReason },
        { "known_ms",
          std::to_string(ToMillis(now - this->currentAsOf).count()) },
        { "version", std::to_string(this->version) } });
  }
}

auto
TableFollower::ScheduleNext(Millis aDelay, bool aSnapshot) -> void
{
  if (this->stopped) {
    return;
  }
  this->timer =
    this->loop.After(aDelay, [weak = this->weak_from_this(), aSnapshot] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aSnapshot) {
        self->ReadSnapshot();
      } else {
        self->ReadFeed();
      }
    });
}

} // namespace gooseberry::fleet
