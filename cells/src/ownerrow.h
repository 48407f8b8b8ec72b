#ifndef GOOSEBERRY_OWNERROW_H
#define GOOSEBERRY_OWNERROW_H

// The stored row that names the owner of a cell. All records of the owner are
// written under the condition that the row is as the owner last wrote it. So an
// owner that was replaced can neither record nor start anything.

#include <map>
#include <optional>
#include <string>

#include "tableport.h"

namespace gooseberry::cells {

struct OwnerRow
{
  InstanceId owner;
  // Address at which other instances reach the owner.
  std::string peerAddress;
  // Incremented with each takeover; workers refuse orders with an older token.
  std::uint64_t fencingToken = 0;
  // Number of the last batch of records that this owner wrote.
  std::uint64_t batch = 0;
  // Incremented when there is nothing else to write, as a heartbeat for other
  // instances.
  std::uint64_t beat = 0;
  // The longest lease that this owner or an earlier one may have granted to a
  // worker and that may still hold, in milliseconds; 0 if that is not known.
  std::int64_t leaseMs = 0;
  // Workers that do not answer, each with the time on the store's steady clock,
  // in milliseconds, at which its lease has certainly expired. The owner does
  // not extend the lease of such a worker before it has written a row without
  // it.
  std::map<std::string, std::int64_t> silent;
  // The owner has released the cell; any instance may take it over at once.
  bool released = false;

  auto operator==(const OwnerRow&) const -> bool = default;
};

auto
EncodeOwnerRow(const OwnerRow& aRow) -> std::string;

// Returns nothing and sets aReason if the bytes are not a valid row.
auto
DecodeOwnerRow(const std::string& aBytes, std::string& aReason)
  -> std::optional<OwnerRow>;

} // namespace gooseberry::cells

#endif
