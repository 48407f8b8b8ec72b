#include "pipe.h"

namespace gooseberry {

Pipe::Pipe(std::size_t aCapacityBytes)
  : mostBytes(aCapacityBytes)
{
}

auto
Pipe::Write(const char* aData, std::size_t aSize) -> bool
{
  auto lock = std::unique_lock{ this->mutex };
  this->changed.wait(lock, [this] {
    return this->bytes.size() < this->mostBytes || this->end != PipeEnd::Open;
  });
  if (this->end != PipeEnd::Open) {
    return false;
  }
  this->bytes.append(aData, aSize);
  this->changed.notify_all();
  return true;
}

auto
Pipe::Close(PipeEnd aEnd) -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  if (this->end == PipeEnd::Open) {
    this->end = aEnd;
  }
  this->changed.notify_all();
}

auto
Pipe::Read() -> std::string
{
  auto lock = std::unique_lock{ this->mutex };
  this->changed.wait(lock, [this] {
    return !this->bytes.empty() || this->end != PipeEnd::Open;
  });
  auto taken = std::string{};
  if (this->end != PipeEnd::Cut) {
    taken.swap(this->bytes);
  }
  this->changed.notify_all();
  return taken;
}

auto
Pipe::End() const -> PipeEnd
{
  const auto lock = std::lock_guard{ this->mutex };
  return this->end;
}

} // namespace gooseberry
