#include "tablefollower.h"

#include <algorithm>

namespace gooseberry::fleet {

namespace {

// Delay before a call that the store refused or did not answer is retried.
constexpr Millis kRetry{ 200 };
constexpr Millis kReadTimeout{ 1500 };

} // namespace

TableFollower::TableFollower(Loop& aLoop,
                             cells::TablePort& aTables,
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
  this->ReadAll();
}

auto
TableFollower::StartAfter(std::uint64_t aVersion) -> void
{
  this->version = aVersion;
  this->Follow();
}

auto
TableFollower::Stop() -> void
{
  this->stopped = true;
  this->timer.reset();
}

auto
TableFollower::FreshAt() const -> Time
{
  return this->freshAt;
}

auto
TableFollower::ReadAll() -> void
{
  this->ReadPart(0, {}, this->loop.Now());
}

// Reads one part after the other, and follows changes from the lowest version
// of these reads, so that no change during them is missed.
auto
TableFollower::ReadPart(std::size_t aPartIndex,
                        cells::RowsOutcome aSoFar,
                        Time aSentAt) -> void
{
  this->tables.Read(
    { this->options.table, this->options.parts.at(aPartIndex), "", "" },
    kReadTimeout,
    [self = this->shared_from_this(),
     aPartIndex,
     soFar = std::move(aSoFar),
     aSentAt](const cells::RowsOutcome& aOutcome) mutable {
      if (self->stopped) {
        return;
      }
      self->NoteEnd(aOutcome.end, aOutcome.reason);
      if (aOutcome.end != cells::TableEnd::Done) {
        self->Later(kRetry, true);
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
        self->OnWhole(soFar, aSentAt);
      }
    });
}

auto
TableFollower::OnWhole(const cells::RowsOutcome& aOutcome, Time aSentAt) -> void
{
  this->version = aOutcome.version;
  this->freshAt = aSentAt;
  this->onRows(aOutcome.rows, true);
  this->Later(this->options.rest, false);
}

auto
TableFollower::Follow() -> void
{
  const auto sentAt = this->loop.Now();
  this->tables.Feed(
    this->options.table,
    this->version,
    this->options.patience,
    [self = this->shared_from_this(),
     sentAt](const cells::FeedOutcome& aOutcome) {
      if (self->stopped) {
        return;
      }
      self->NoteEnd(aOutcome.end, aOutcome.reason);
      switch (aOutcome.end) {
        case cells::TableEnd::Done: {
          self->version = std::max(self->version, aOutcome.version);
          self->freshAt = sentAt;
          auto followedRows = aOutcome.rows;
          std::erase_if(followedRows, [&](const cells::StoredRow& aRow) {
            const auto& parts = self->options.parts;
            return std::find(parts.begin(), parts.end(), aRow.key.part) ==
                   parts.end();
          });
          if (!followedRows.empty()) {
            self->onRows(followedRows, false);
          }
          self->Later(self->options.rest, false);
          return;
        }
        case cells::TableEnd::HistoryGone:
          self->ReadAll();
          return;
        default:
          self->Later(kRetry, false);
          return;
      }
    });
}

auto
TableFollower::NoteEnd(cells::TableEnd aEnd, const std::string& aReason) -> void
{
  const auto now = this->loop.Now();
  if (aEnd == cells::TableEnd::Done) {
    if (this->lostAt) {
      this->log.Write(
        "table_back",
        { { "table", this->options.table },
          { "after_ms", std::to_string(ToMillis(now - *this->lostAt).count()) },
          { "version", std::to_string(this->version) } });
      this->lostAt.reset();
    }
  } else if (!this->lostAt) {
    this->lostAt = now;
    this->log.Write(
      "table_lost",
      { { "table", this->options.table },
        { "end", ToText(aEnd) },
        { "reason", aReason },
        { "known_ms", std::to_string(ToMillis(now - this->freshAt).count()) },
        { "version", std::to_string(this->version) } });
  }
}

auto
TableFollower::Later(Millis aDelay, bool aSnapshot) -> void
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
        self->ReadAll();
      } else {
        self->Follow();
      }
    });
}

} // namespace gooseberry::fleet
