#include "tablefollower.h"

#include <algorithm>

namespace gooseberry::fleet {

namespace {

// Delay before a call that the store refused or did not answer is retried.
constexpr Millis kRetryDelay{ 200 };
constexpr Millis kReadTimeout{ 1500 };
// A feed's answer of so many rows, or so many bytes of values, may have been
// cut by the store; what was written since then comes with the next one.
constexpr std::size_t kMaxAnswerRows = 500;
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 512 } * 1024;

auto
MayLeaveOutRows(const std::vector<cells::StoredRow>& aRows) -> bool
{
  auto bytes = std::size_t{ 0 };
  for (const auto& row : aRows) {
    bytes += row.value.size();
  }
  return aRows.size() >= kMaxAnswerRows || bytes >= kMaxAnswerBytes;
}

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
TableFollower::StartAfter(std::uint64_t aVersion, Time aReadAt) -> void
{
  this->version = aVersion;
  this->currentAsOf = aReadAt;
  this->ReadFeed();
}

auto
TableFollower::Stop() -> void
{
  this->stopped = true;
  this->timer.reset();
}

auto
TableFollower::SetFeedPause(Millis aPause) -> void
{
  this->options.feedPause = aPause;
}

auto
TableFollower::CurrentAsOf() const -> Time
{
  return this->currentAsOf;
}

// Reads all parts at once, and follows changes from the lowest version of these
// reads, so that no change during them is missed. One after the other, the
// parts of the cancellations would take 16 calls: 11 s while the store is slow.
auto
TableFollower::ReadSnapshot() -> void
{
  const auto snapshot = std::make_shared<Snapshot>();
  snapshot->sentAt = this->loop.Now();
  snapshot->pendingReads = this->options.parts.size();
  for (const auto& part : this->options.parts) {
    this->tables.Read({ this->options.table, part, "", "", true },
                      kReadTimeout,
                      [self = this->shared_from_this(),
                       snapshot](const cells::TableReadResult& aOutcome) {
                        if (!self->stopped) {
                          self->OnPartRead(*snapshot, aOutcome);
                        }
                      });
  }
}

auto
TableFollower::OnPartRead(Snapshot& aSnapshot,
                          const cells::TableReadResult& aOutcome) -> void
{
  this->LogAvailability(aOutcome.status, aOutcome.reason);
  if (aOutcome.status == cells::TableStatus::Done) {
    aSnapshot.version = aSnapshot.version == 0
                          ? aOutcome.version
                          : std::min(aSnapshot.version, aOutcome.version);
    aSnapshot.rows.insert(
      aSnapshot.rows.end(), aOutcome.rows.begin(), aOutcome.rows.end());
  } else {
    aSnapshot.failed = true;
  }
  if (--aSnapshot.pendingReads > 0) {
    return;
  }
  if (aSnapshot.failed) {
    this->ScheduleNext(kRetryDelay, true);
    return;
  }
  this->version = aSnapshot.version;
  this->currentAsOf = aSnapshot.sentAt;
  this->onRows(aSnapshot.rows, true);
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
          const auto behind = MayLeaveOutRows(aOutcome.rows);
          if (!behind) {
            self->currentAsOf = sentAt;
          }
          auto followedRows = aOutcome.rows;
          std::erase_if(followedRows, [&](const cells::StoredRow& aRow) {
            const auto& parts = self->options.parts;
            return std::find(parts.begin(), parts.end(), aRow.key.partition) ==
                   parts.end();
          });
          if (!followedRows.empty()) {
            self->onRows(followedRows, false);
          }
          self->ScheduleNext(behind ? Millis{ 0 } : self->options.feedPause,
                             false);
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
