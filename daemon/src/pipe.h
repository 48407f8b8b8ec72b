#ifndef GOOSEBERRY_PIPE_H
#define GOOSEBERRY_PIPE_H

// A bounded byte stream from one thread to another.

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

#include "types.h"

namespace gooseberry {

enum class PipeState
{
  Open,
  Complete, // all bytes were written
  Aborted   // the writer or the reader aborted
};

class Pipe
{
public:
  explicit Pipe(std::size_t aCapacityBytes);

  // Waits while the pipe holds its capacity or more; one write may exceed it.
  // Returns false once the pipe is closed.
  auto Write(const char* aData, std::size_t aSize) -> bool;
  // Only the first call has an effect.
  auto Close(PipeState aEnd) -> void;
  // Waits for bytes and returns all that are buffered. Empty once the pipe is
  // closed and drained, or aborted; State() tells which.
  auto Read() -> std::string;
  auto State() const -> PipeState;

private:
  const std::size_t capacityBytes;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::string bytes;
  PipeState state = PipeState::Open;
};

} // namespace gooseberry

#endif
