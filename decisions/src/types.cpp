#include "types.h"

#include <algorithm>

#include <xxhash.h>

namespace gooseberry {

auto
ElementwiseMax(const Resources& aLeft, const Resources& aRight) -> Resources
{
  return { std::max(aLeft.cpuMillis, aRight.cpuMillis),
           std::max(aLeft.memoryMb, aRight.memoryMb),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

auto
StableHash(const std::string& aText, std::uint64_t aSeed) -> std::uint64_t
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

auto
ShardOf(const std::string& aName, ShardNumber aShardCount) -> ShardNumber
{
  return static_cast<ShardNumber>(StableHash(aName) % aShardCount);
}

} // namespace gooseberry
