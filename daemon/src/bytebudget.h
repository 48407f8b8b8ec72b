#ifndef GOOSEBERRY_BYTEBUDGET_H
#define GOOSEBERRY_BYTEBUDGET_H

// Counts the bytes that the bodies of an instance take, against one limit.

#include <atomic>
#include <cstddef>
#include <memory>

namespace gooseberry {

// May be used from several threads.
class ByteBudget
{
public:
  explicit ByteBudget(std::size_t aLimitBytes);

  // Takes the bytes, or none of them and returns false if they exceed the limit
  // together with those that are held.
  auto TryTake(std::size_t aBytes) -> bool;
  // Takes the bytes even beyond the limit.
  auto Take(std::size_t aBytes) -> void;
  auto Return(std::size_t aBytes) -> void;
  auto HeldBytes() const -> std::size_t;

private:
  const std::size_t limitBytes;
  std::atomic<std::size_t> heldBytes = 0;
};

// Bytes of a budget that one holder has taken. They are returned when the lease
// is destroyed. To be used from one thread at a time.
class ByteLease
{
public:
  // Without a budget, the lease grows without limit.
  explicit ByteLease(std::shared_ptr<ByteBudget> aBudget);
  ByteLease(const ByteLease&) = delete;
  auto operator=(const ByteLease&) -> ByteLease& = delete;
  ~ByteLease();

  // Takes bytes until the lease has aBytes; a lease that has more keeps them.
  // Returns false and takes none if the budget does not have them.
  auto TryGrowTo(std::size_t aBytes) -> bool;
  // The same, even beyond the budget's limit.
  auto GrowTo(std::size_t aBytes) -> void;
  auto Bytes() const -> std::size_t;

private:
  const std::shared_ptr<ByteBudget> budget;
  std::size_t bytes = 0;
};

} // namespace gooseberry

#endif
