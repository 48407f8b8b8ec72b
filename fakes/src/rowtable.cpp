#include "rowtable.h"

#include <algorithm>

namespace gooseberry::fakes {

namespace {

// The platform ends an answer of a feed after so many rows.
constexpr std::size_t kMaxFeedRows = 500;

} // namespace

using cells::StoredRow;
using cells::TableCommitResult;
using cells::TableFeedResult;
using cells::TableReadResult;
using cells::TableStatus;

auto
RowTable::Commit(const cells::TableTransaction& aCommit) -> TableCommitResult
{
  auto outcome = TableCommitResult{ TableStatus::Done, 0, {}, "" };
  for (const auto& condition : aCommit.conditions) {
    const auto found = this->rows.find(condition.key);
    const auto present = found != this->rows.end();
    outcome.current.push_back(present ? found->second
                                      : StoredRow{ condition.key, "", 0 });
    if (condition.version != outcome.current.back().version) {
      outcome.status = TableStatus::Conflict;
    }
  }
  if (outcome.status == TableStatus::Conflict) {
    outcome.version = this->version;
    return outcome;
  }
  ++this->version;
  for (const auto& put : aCommit.puts) {
    const auto row = StoredRow{ put.key, put.value, this->version };
    this->rows[put.key] = row;
    this->history.emplace_back(this->version, row);
    this->newestChanges[put.key.table] = this->version;
  }
  for (const auto& key : aCommit.removals) {
    if (this->rows.erase(key) > 0) {
      this->history.emplace_back(this->version, StoredRow{ key, "", 0 });
      this->newestChanges[key.table] = this->version;
    }
  }
  while (this->history.size() > kMostHistory) {
    this->forgottenTo = this->history.front().first;
    this->history.pop_front();
  }
  outcome.current.clear();
  outcome.version = this->version;
  return outcome;
}

auto
RowTable::Read(const cells::RowRange& aRange,
               std::size_t aLimit,
               bool& aMore) const -> TableReadResult
{
  auto outcome = TableReadResult{ TableStatus::Done, {}, this->version, "" };
  aMore = false;
  for (auto row = this->rows.lower_bound(
         { aRange.table, aRange.partition, aRange.from });
       row != this->rows.end() && row->first.table == aRange.table &&
       row->first.partition == aRange.partition &&
       (aRange.to.empty() || row->first.key < aRange.to);
       ++row) {
    if (outcome.rows.size() == aLimit) {
      aMore = true;
      break;
    }
    outcome.rows.push_back(row->second);
  }
  return outcome;
}

auto
RowTable::Changes(const std::string& aTable, std::uint64_t aAfter) const
  -> std::optional<TableFeedResult>
{
  if (aAfter < this->forgottenTo) {
    return std::nullopt;
  }
  auto outcome = TableFeedResult{ TableStatus::Done, {}, this->version, "" };
  const auto newest = this->newestChanges.find(aTable);
  if (newest == this->newestChanges.end() || newest->second <= aAfter) {
    return outcome;
  }
  const auto first =
    std::upper_bound(this->history.begin(),
                     this->history.end(),
                     aAfter,
                     [](std::uint64_t aVersion, const auto& aChange) {
                       return aVersion < aChange.first;
                     });
  for (auto change = first; change != this->history.end(); ++change) {
    if (change->second.key.table != aTable) {
      continue;
    }
    if (outcome.rows.size() >= kMaxFeedRows &&
        change->first != outcome.rows.back().version) {
      outcome.version = outcome.rows.back().version;
      break;
    }
    outcome.rows.push_back(change->second);
  }
  return outcome;
}

auto
RowTable::AllRows() const -> std::vector<StoredRow>
{
  auto all = std::vector<StoredRow>{};
  for (const auto& [key, row] : this->rows) {
    all.push_back(row);
  }
  return all;
}

auto
RowTable::Compact() -> void
{
  this->history.clear();
  this->forgottenTo = this->version;
}

auto
RowTable::Version() const -> std::uint64_t
{
  return this->version;
}

} // namespace gooseberry::fakes
