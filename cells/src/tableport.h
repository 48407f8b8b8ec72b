#ifndef GOOSEBERRY_TABLEPORT_H
#define GOOSEBERRY_TABLEPORT_H

// Asynchronous interface to the platform's transactional tables. Calls return
// at once; the result is delivered later on the implementation's event loop.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "types.h"

namespace gooseberry::cells {

// Largest value of a row, in bytes. The protocol accepts 65,536.
inline constexpr std::size_t kMaxRowBytes = 64000;

struct RowKey
{
  std::string table;
  // Transactions on one partition are executed one after the other.
  std::string partition;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

struct StoredRow
{
  RowKey key;
  std::string value;
  // Increases with each write of any row; 0 if the row does not exist.
  std::uint64_t version = 0;

  auto operator==(const StoredRow&) const -> bool = default;
};

struct RowCondition
{
  RowKey key;
  // Version that the row must have; 0: it must not exist.
  std::uint64_t version = 0;

  auto operator==(const RowCondition&) const -> bool = default;
};

struct RowPut
{
  RowKey key;
  std::string value;

  auto operator==(const RowPut&) const -> bool = default;
};

// Transaction: applied completely if all conditions hold, else not at all.
struct TableTransaction
{
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<RowKey> removals;

  auto operator==(const TableTransaction&) const -> bool = default;
};

enum class TableStatus
{
  Done,
  Conflict,      // a condition did not hold; nothing was written
  Refused,       // nothing was written
  Rejected,      // nothing was written, and the same transaction never will be
  FeedTruncated, // the feed no longer holds the changes since that version;
                 // read all rows again
  Unknown,       // a write may have taken effect, or may still do so
  TableStatus_NB
};

auto
ToText(TableStatus aStatus) -> const char*;

struct TableCommitResult
{
  TableStatus status = TableStatus::Unknown;
  // New version of all rows written.
  std::uint64_t version = 0;
  // Conflict: the current rows of the conditions.
  std::vector<StoredRow> current;
  std::string reason;
  // The store's steady clock in milliseconds when it answered; 0: unknown.
  std::int64_t storeClockMs = 0;
};

struct RowRange
{
  std::string table;
  std::string partition;
  // The first key, and the first key after the range; empty for no bound.
  std::string from;
  std::string to;
  // The rows may take a slow link seconds. The timeout of a read then bounds
  // the wait for the next bytes, not for all of them.
  bool isLarge = false;
};

// The range that contains only this row.
auto
SingleRowRange(const RowKey& aKey) -> RowRange;

struct TableReadResult
{
  TableStatus status = TableStatus::Unknown;
  std::vector<StoredRow> rows;
  // The newest version of any row at the time of the read.
  std::uint64_t version = 0;
  std::string reason;
  // The store's steady clock in milliseconds when it answered; 0: unknown.
  std::int64_t storeClockMs = 0;
};

struct TableFeedResult
{
  TableStatus status = TableStatus::Unknown;
  // In order of their changes; removed rows have version 0.
  std::vector<StoredRow> rows;
  // Version from which to continue.
  std::uint64_t version = 0;
  std::string reason;
};

class TableClient
{
public:
  virtual ~TableClient() = default;
  virtual auto Commit(const TableTransaction& aCommit,
                      Millis aTimeout,
                      std::function<void(TableCommitResult)> aDone) -> void = 0;
  // Reads all rows of the range, page by page.
  virtual auto Read(const RowRange& aRange,
                    Millis aTimeout,
                    std::function<void(TableReadResult)> aDone) -> void = 0;
  // Waits at most aMaxWait for changes of the table after the version aAfter.
  virtual auto Feed(const std::string& aTable,
                    std::uint64_t aAfter,
                    Millis aMaxWait,
                    std::function<void(TableFeedResult)> aDone) -> void = 0;
};

} // namespace gooseberry::cells

#endif
