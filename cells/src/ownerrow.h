#ifndef GOOSEBERRY_OWNERROW_H
#define GOOSEBERRY_OWNERROW_H

// The row of the store that says who owns a cell. Every record of the owner is
// written under the condition that the row is as the owner last wrote it, so an
// owner that was replaced can record nothing, and start nothing new.

#include <map>
#include <optional>
#include <string>

#include "tableport.h"

namespace gooseberry::cells {

struct OwnerRow
{
  InstanceId owner;
  // Where other instances reach it.
  std::string peerAddress;
  // Grows with each takeover; workers refuse orders under an older one.
  std::uint64_t fencingToken = 0;
  // The last batch of records that this owner has written.
  std::uint64_t batch = 0;
  // Grows while nothing else is written, so that others see it alive.
  std::uint64_t beat = 0;
  // Leases that this owner gives to workers.
  std::int64_t leaseMs = 0;
  // Workers that do not answer, and the time on the store's steady clock by
  // which their leases are surely over. The owner gives such a worker no longer
  // lease before it has written a row without it.
  std::map<std::string, std::int64_t> silent;
  // The owner has given the cell up: anybody may take it at once.
  bool released = false;

  auto operator==(const OwnerRow&) const -> bool = default;
};

auto
EncodeOwner(const OwnerRow& aRow) -> std::string;

// Nothing with the reason if the bytes are no such row.
auto
DecodeOwner(const std::string& aBytes, std::string& aReason)
  -> std::optional<OwnerRow>;

} // namespace gooseberry::cells

#endif
