#ifndef GOOSEBERRY_TABLEPORT_H
#define GOOSEBERRY_TABLEPORT_H

// The platform's transactional tables as the cells need them. Calls return at
// once; the answer comes later on the loop of the implementation.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "types.h"

namespace gooseberry::cells {

struct RowKey
{
  std::string table;
  // Rows of one part are written one transaction after the other.
  std::string part;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

struct StoredRow
{
  RowKey key;
  std::string value;
  // Grows with each write of any row; 0 if the row is absent.
  std::uint64_t version = 0;

  auto operator==(const StoredRow&) const -> bool = default;
};

struct RowCondition
{
  RowKey key;
  // Version that the row must have; 0: it must be absent.
  std::uint64_t version = 0;

  auto operator==(const RowCondition&) const -> bool = default;
};

struct RowPut
{
  RowKey key;
  std::string value;

  auto operator==(const RowPut&) const -> bool = default;
};

// Happens as a whole if all conditions hold, else not at all.
struct RowsCommit
{
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<RowKey> removals;

  auto operator==(const RowsCommit&) const -> bool = default;
};

enum class TableEnd
{
  Done,
  Conflict,    // a condition did not hold; nothing was done
  Refused,     // surely nothing was done
  HistoryGone, // a feed's past is not kept any more: read everything again
  Unknown,     // a write may have been done, or may be done later
  TableEnd_NB
};

auto
ToText(TableEnd aEnd) -> const char*;

struct CommitOutcome
{
  TableEnd end = TableEnd::Unknown;
  // Of all rows written.
  std::uint64_t version = 0;
  // Conflict: the rows of the conditions as they are.
  std::vector<StoredRow> current;
  std::string reason;
  // The store's own steady clock when it answered; 0 if it does not say.
  std::int64_t storeMs = 0;
};

struct RowsRange
{
  std::string table;
  std::string part;
  // The first key, and the first one beyond the range; empty for no bound.
  std::string from;
  std::string to;
};

// The range that holds this row and no other.
auto
RangeOf(const RowKey& aKey) -> RowsRange;

struct RowsOutcome
{
  TableEnd end = TableEnd::Unknown;
  std::vector<StoredRow> rows;
  // The newest version of any row when this was read.
  std::uint64_t version = 0;
  std::string reason;
  // The store's own steady clock when it answered; 0 if it does not say.
  std::int64_t storeMs = 0;
};

struct FeedOutcome
{
  TableEnd end = TableEnd::Unknown;
  // In the order of their changes; removed rows have version 0.
  std::vector<StoredRow> rows;
  // From where to go on.
  std::uint64_t version = 0;
  std::string reason;
};

class TablePort
{
public:
  virtual ~TablePort() = default;
  virtual auto Commit(const RowsCommit& aCommit,
                      Millis aTimeout,
                      std::function<void(CommitOutcome)> aDone) -> void = 0;
  // All rows of the range, read page after page.
  virtual auto Read(const RowsRange& aRange,
                    Millis aTimeout,
                    std::function<void(RowsOutcome)> aDone) -> void = 0;
  // Waits for changes of a table after the version, at most aPatience.
  virtual auto Feed(const std::string& aTable,
                    std::uint64_t aAfter,
                    Millis aPatience,
                    std::function<void(FeedOutcome)> aDone) -> void = 0;
};

} // namespace gooseberry::cells

#endif
