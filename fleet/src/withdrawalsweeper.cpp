#include "withdrawalsweeper.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "tunables_fleet.h"

namespace gooseberry::fleet {

namespace {

// A row takes one condition and one removal or put, and the store takes 100
// entries in a transaction.
constexpr std::size_t kRowsPerCommit = 50;

auto
DecodeWithdrawal(const std::string& aValue) -> std::optional<std::int64_t>
{
  auto storeClockMs = std::int64_t{ 0 };
  const auto* const end = aValue.data() + aValue.size();
  const auto [rest, error] = std::from_chars(aValue.data(), end, storeClockMs);
  return error == std::errc{} && rest == end && storeClockMs > 0
           ? std::optional{ storeClockMs }
           : std::nullopt;
}

} // namespace

auto
EncodeWithdrawal(std::int64_t aStoreClockMs) -> std::string
{
  return std::to_string(aStoreClockMs);
}

auto
WithdrawalAge(Millis aKeepEnded) -> Millis
{
  return std::max(aKeepEnded, kMinWithdrawalAge);
}

WithdrawalSweeper::WithdrawalSweeper(Loop& aLoop,
                                     cells::TableClient& aTables,
                                     Millis aAge,
                                     std::function<bool()> aIsResponsible)
  : loop(aLoop)
  , tables(aTables)
  , age(aAge)
  , isResponsible(std::move(aIsResponsible))
{
}

auto
WithdrawalSweeper::Start() -> void
{
  this->ScheduleNext();
}

auto
WithdrawalSweeper::ScheduleNext() -> void
{
  this->timer =
    this->loop.After(kWithdrawalSweepInterval, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->ReadPart();
      }
    });
}

auto
WithdrawalSweeper::ReadPart() -> void
{
  if (!this->isResponsible()) {
    this->ScheduleNext();
    return;
  }
  const auto parts = cells::CellRows::SubmissionParts();
  this->part %= parts.size();
  this->tables.Read(
    { cells::CellRows::kWithdrawalTable, parts[this->part], "", "" },
    kStoreTimeout,
    [weak = this->weak_from_this()](const cells::TableReadResult& aOutcome) {
      if (const auto self = weak.lock()) {
        self->OnPartRead(aOutcome);
      }
    });
}

auto
WithdrawalSweeper::OnPartRead(const cells::TableReadResult& aOutcome) -> void
{
  ++this->part;
  if (aOutcome.status != cells::TableStatus::Done ||
      aOutcome.storeClockMs == 0) {
    this->ScheduleNext();
    return;
  }
  auto commit = cells::TableTransaction{};
  for (const auto& row : aOutcome.rows) {
    const auto writtenAt = DecodeWithdrawal(row.value);
    // A clock that is behind started anew since.
    const auto known = writtenAt && *writtenAt <= aOutcome.storeClockMs;
    if (known && Millis{ aOutcome.storeClockMs - *writtenAt } <= this->age) {
      continue;
    }
    commit.conditions.push_back({ row.key, row.version });
    if (known) {
      commit.removals.push_back(row.key);
    } else {
      commit.puts.push_back(
        { row.key, EncodeWithdrawal(aOutcome.storeClockMs) });
    }
    if (commit.conditions.size() == kRowsPerCommit) {
      this->commits.push_back(std::exchange(commit, {}));
    }
  }
  if (!commit.conditions.empty()) {
    this->commits.push_back(std::move(commit));
  }
  this->CommitNext();
}

auto
WithdrawalSweeper::CommitNext() -> void
{
  if (this->commits.empty()) {
    this->ScheduleNext();
    return;
  }
  const auto commit = std::move(this->commits.back());
  this->commits.pop_back();
  // What fails is left to the next round through the parts.
  this->tables.Commit(commit,
                      kStoreTimeout,
                      [weak = this->weak_from_this()](
                        const cells::TableCommitResult& /*aOutcome*/) {
                        if (const auto self = weak.lock()) {
                          self->CommitNext();
                        }
                      });
}

} // namespace gooseberry::fleet
