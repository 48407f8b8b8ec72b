#ifndef GOOSEBERRY_HINT_H
#define GOOSEBERRY_HINT_H

// What instances tell each other. A hint only says where to look in the table
// service sooner than one would have: nothing is decided by it, so a lost, late
// or false one does no harm but a read.

#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace gooseberry {

// Longest encoded hint.
inline constexpr std::size_t kMaxHintBytes = 4096;

struct Hint
{
  // The newest number of the document that the sender knows; 0 for none.
  std::uint64_t document = 0;
  // Shards with something new in their inboxes.
  std::vector<ShardNumber> inboxes;

  auto operator==(const Hint&) const -> bool = default;
};

// As MessagePack: a map, so that either side may know keys the other doesn't.
auto
EncodeHint(const Hint& aHint) -> std::string;

// Nothing, with the reason, if the bytes are no hint.
auto
DecodeHint(const std::string& aBytes, std::string& aReason)
  -> std::optional<Hint>;

} // namespace gooseberry

#endif
