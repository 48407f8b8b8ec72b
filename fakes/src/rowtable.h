#ifndef GOOSEBERRY_ROWTABLE_H
#define GOOSEBERRY_ROWTABLE_H

// The platform's tables as they are promised: transactions, versions from one
// counter, and a history of changes that may be forgotten. Free of I/O.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "tableport.h"

namespace gooseberry::fakes {

class RowTable
{
public:
  auto Commit(const cells::TableTransaction& aCommit)
    -> cells::TableCommitResult;
  // At most aLimit rows of the range; aMore tells whether there are more.
  auto Read(const cells::RowRange& aRange,
            std::size_t aLimit,
            bool& aMore) const -> cells::TableReadResult;
  // What changed after the version; nothing if the history does not reach back.
  auto Changes(const std::string& aTable, std::uint64_t aAfter) const
    -> std::optional<cells::TableFeedResult>;
  auto AllRows() const -> std::vector<cells::StoredRow>;
  // Forgets the history up to now.
  auto Compact() -> void;
  auto Version() const -> std::uint64_t;

private:
  static constexpr std::size_t kMostHistory = 20000;

  std::map<cells::RowKey, cells::StoredRow> rows;
  std::uint64_t version = 0;
  // Changes in order; the version of a removal stands beside the row.
  std::deque<std::pair<std::uint64_t, cells::StoredRow>> history;
  std::uint64_t forgottenTo = 0;
  // Version of the newest change of each table.
  std::map<std::string, std::uint64_t> newestChanges;
};

} // namespace gooseberry::fakes

#endif
