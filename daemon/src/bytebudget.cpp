#include "bytebudget.h"

#include <utility>

namespace gooseberry {

ByteBudget::ByteBudget(std::size_t aLimitBytes)
  : limitBytes(aLimitBytes)
{
}

auto
ByteBudget::TryTake(std::size_t aBytes) -> bool
{
  auto held = this->heldBytes.load();
  do {
    // Take() may have exceeded the limit.
    if (held > this->limitBytes || aBytes > this->limitBytes - held) {
      return false;
    }
  } while (!this->heldBytes.compare_exchange_weak(held, held + aBytes));
  return true;
}

auto
ByteBudget::Take(std::size_t aBytes) -> void
{
  this->heldBytes += aBytes;
}

auto
ByteBudget::Return(std::size_t aBytes) -> void
{
  this->heldBytes -= aBytes;
}

auto
ByteBudget::HeldBytes() const -> std::size_t
{
  return this->heldBytes;
}

ByteLease::ByteLease(std::shared_ptr<ByteBudget> aBudget)
  : budget(std::move(aBudget))
{
}

ByteLease::~ByteLease()
{
  if (this->budget) {
    this->budget->Return(this->bytes);
  }
}

auto
ByteLease::TryGrowTo(std::size_t aBytes) -> bool
{
  if (aBytes <= this->bytes) {
    return true;
  }
  if (this->budget && !this->budget->TryTake(aBytes - this->bytes)) {
    return false;
  }
  this->bytes = aBytes;
  return true;
}

auto
ByteLease::GrowTo(std::size_t aBytes) -> void
{
  if (aBytes <= this->bytes) {
    return;
  }
  if (this->budget) {
    this->budget->Take(aBytes - this->bytes);
  }
  this->bytes = aBytes;
}

auto
ByteLease::Bytes() const -> std::size_t
{
  return this->bytes;
}

} // namespace gooseberry
