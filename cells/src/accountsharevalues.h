#ifndef GOOSEBERRY_ACCOUNTSHAREVALUES_H
#define GOOSEBERRY_ACCOUNTSHAREVALUES_H

// What the files of AccountShares have in common: amounts of resources, and the
// numbers by which cells take turns.

#include <algorithm>
#include <array>

#include "accountshares.h"

namespace gooseberry::cells {

using Amount = std::int64_t;
using Member = Amount Resources::*;

inline constexpr std::array<Member, 3> kMembers{ &Resources::cpuMillis,
                                                 &Resources::memoryMb,
                                                 &Resources::accelerators };

// Checks during which tasks wait while none runs, before other cells give up
// more than they have above an even part.
inline constexpr std::uint32_t kStarvedAfterChecks = 2;
// The previous version wrote the number of checks, up to 9, and reads larger
// numbers as 9.
inline constexpr std::uint64_t kFirstTurn = 10;
// Bounds the shift of amounts that grow with each check of a turn.
inline constexpr std::uint32_t kMaxTurnShift = 9;

inline auto
WaitsForTurn(std::uint64_t aTurn) -> bool
{
  return aTurn >= kStarvedAfterChecks;
}

inline auto
ShareAt(const CellShares& aRow, const AccountId& aAccount) -> CellShare
{
  const auto found = aRow.accounts.find(aAccount);
  return found == aRow.accounts.end() ? CellShare{} : found->second;
}

} // namespace gooseberry::cells

#endif
