#ifndef GOOSEBERRY_HINT_H
#define GOOSEBERRY_HINT_H

// Hints between instances. A hint makes the receiver read a part of the table
// service earlier than its polling would. No decision depends on a hint, so a
// lost or late one does no harm, and a false one costs only an unneeded read.

#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace gooseberry {

// Maximum size of an encoded hint.
inline constexpr std::size_t kMaxHintBytes = 4096;

struct Hint
{
  // Newest document number that the sender knows; 0 if it knows none.
  std::uint64_t document = 0;
  // Shards whose inboxes have new entries.
  std::vector<ShardNumber> inboxes;

  auto operator==(const Hint&) const -> bool = default;
};

// Encodes the hint as a MessagePack map, so that versions with different keys
// can read each other's hints.
auto
EncodeHint(const Hint& aHint) -> std::string;

// Returns nullopt, with the reason in aReason, if the bytes are not a valid
// hint or longer than kMaxHintBytes. Unknown keys are ignored.
auto
DecodeHint(const std::string& aBytes, std::string& aReason)
  -> std::optional<Hint>;

} // namespace gooseberry

#endif
