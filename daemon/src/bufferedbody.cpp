#include "bufferedbody.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

BufferedBody::BufferedBody(ByteLease& aLease,
                           std::size_t aDeclaredBytes,
                           std::size_t aMaxBytes)
  : lease(aLease)
  , declaredBytes(aDeclaredBytes)
  , maxBytes(aMaxBytes)
{
}

auto
BufferedBody::Append(const char* aData, std::size_t aSize) -> bool
{
  const auto needed = this->bytes.size() + aSize;
  if (needed > this->lease.Bytes()) {
    // Takes the declared length at once: growing in steps leaves the allocator
    // with as many freed bytes again.
    const auto capacity = std::min(
      this->maxBytes,
      std::max({ needed, this->declaredBytes, 2 * this->bytes.size() }));
    if (!this->lease.TryGrowTo(capacity)) {
      return false;
    }
    // reserve() of a string that has bytes may allocate twice its capacity.
    auto larger = std::string{};
    larger.reserve(capacity);
    larger = this->bytes;
    this->bytes.swap(larger);
  }
  this->bytes.append(aData, aSize);
  return true;
}

auto
BufferedBody::Size() const -> std::size_t
{
  return this->bytes.size();
}

auto
BufferedBody::Take() -> std::string
{
  return std::exchange(this->bytes, {});
}

} // namespace gooseberry
