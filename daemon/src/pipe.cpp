#include "pipe.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

Pipe::Pipe(std::size_t aCapacityBytes, std::shared_ptr<ByteBudget> aBudget)
  : capacityBytes(aCapacityBytes)
  , lease(std::move(aBudget))
{
}

auto
Pipe::Guarantee(std::size_t aBytes) -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  this->guaranteedBytes = std::max(this->guaranteedBytes, aBytes);
  this->changed.notify_all();
}

auto
Pipe::Write(const char* aData, std::size_t aSize) -> bool
{
  auto lock = std::unique_lock{ this->mutex };
  while (aSize > 0) {
    auto added = std::size_t{ 0 };
    this->changed.wait(lock, [&] {
      added = this->state == PipeState::Open ? this->FreeBytes(aSize) : 0;
      return added > 0 || this->state != PipeState::Open;
    });
    if (this->state != PipeState::Open) {
      return false;
    }
    this->Append(aData, added);
    aData += added;
    aSize -= added;
    this->changed.notify_all();
  }
  return true;
}

auto
Pipe::Close(PipeState aEnd) -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  if (this->state == PipeState::Open) {
    this->state = aEnd;
  }
  this->changed.notify_all();
}

auto
Pipe::Read(char* aTo, std::size_t aSize) -> std::size_t
{
  auto lock = std::unique_lock{ this->mutex };
  this->changed.wait(lock, [this] {
    return this->BufferedBytes() > 0 || this->state != PipeState::Open;
  });
  if (this->state == PipeState::Aborted) {
    return 0;
  }
  const auto copied = this->bytes.copy(aTo, aSize, this->readBytes);
  this->readBytes += copied;
  if (this->BufferedBytes() == 0) {
    this->bytes.clear();
    this->readBytes = 0;
  }
  this->changed.notify_all();
  return copied;
}

auto
Pipe::TakeBuffered() -> std::string
{
  const auto lock = std::lock_guard{ this->mutex };
  auto taken = std::string{};
  taken.swap(this->bytes);
  taken.erase(0, this->readBytes);
  this->readBytes = 0;
  this->changed.notify_all();
  return taken;
}

auto
Pipe::State() const -> PipeState
{
  const auto lock = std::lock_guard{ this->mutex };
  return this->state;
}

auto
Pipe::BufferedBytes() const -> std::size_t
{
  return this->bytes.size() - this->readBytes;
}

auto
Pipe::FreeBytes(std::size_t aWanted) -> std::size_t
{
  const auto buffered = this->BufferedBytes();
  const auto needed = std::min(this->capacityBytes, buffered + aWanted);
  if (needed > this->lease.Bytes()) {
    const auto doubled = std::min(this->capacityBytes, 2 * this->lease.Bytes());
    if (!this->lease.TryGrowTo(std::max(needed, doubled))) {
      this->lease.GrowTo(
        std::min(needed, std::min(this->guaranteedBytes, this->capacityBytes)));
    }
  }
  return std::min(aWanted, this->lease.Bytes() - buffered);
}

// The lease has the bytes.
auto
Pipe::Append(const char* aData, std::size_t aSize) -> void
{
  if (this->bytes.size() + aSize > this->bytes.capacity()) {
    this->bytes.erase(0, this->readBytes);
    this->readBytes = 0;
    if (this->bytes.size() + aSize > this->bytes.capacity()) {
      // reserve() of a string that has bytes may allocate twice its capacity.
      auto larger = std::string{};
      larger.reserve(this->lease.Bytes());
      larger = this->bytes;
      this->bytes.swap(larger);
    }
  }
  this->bytes.append(aData, aSize);
}

} // namespace gooseberry
