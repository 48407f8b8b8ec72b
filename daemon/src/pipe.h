#ifndef GOOSEBERRY_PIPE_H
#define GOOSEBERRY_PIPE_H

// A bounded stream of bytes from one thread to another.

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

#include "types.h"

namespace gooseberry {

enum class PipeEnd
{
  Open,
  Whole, // everything was written
  Cut    // the writer or the reader gave up
};

class Pipe
{
public:
  explicit Pipe(std::size_t aMostBytes);

  // Waits while the pipe is full; false once it is cut.
  auto Write(const char* aData, std::size_t aSize) -> bool;
  auto Close(PipeEnd aEnd) -> void;
  // Waits for bytes; empty at the end, which End() then tells.
  auto Read() -> std::string;
  auto End() const -> PipeEnd;

private:
  const std::size_t mostBytes;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::string bytes;
  PipeEnd end = PipeEnd::Open;
};

} // namespace gooseberry

#endif
