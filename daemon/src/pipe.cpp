#include "pipe.h"

namespace gooseberry {

Pipe::Pipe(std::size_t aCapacityBytes)
  : capacityBytes(aCapacityBytes)
{
}

auto
Pipe::Write(const char* aData, std::size_t aSize) -> bool
{
  auto lock = std::unique_lock{ this->mutex };
  this->changed.wait(lock, [this] {
    return this->bytes.size() < this->capacityBytes ||
           this->state != PipeState::Open;
  });
  if (this->state != PipeState::Open) {
    return false;
  }
  this->bytes.append(aData, aSize);
  this->changed.notify_all();
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
Pipe::Read() -> std::string
{
  auto lock = std::unique_lock{ this->mutex };
  this->changed.wait(lock, [this] {
    return !this->bytes.empty() || this->state != PipeState::Open;
  });
  auto taken = std::string{};
  if (this->state != PipeState::Aborted) {
    taken.swap(this->bytes);
  }
  this->changed.notify_all();
  return taken;
}

auto
Pipe::State() const -> PipeState
{
  const auto lock = std::lock_guard{ this->mutex };
  return this->state;
}

} // namespace gooseberry
