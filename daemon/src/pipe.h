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
  Aborted   // the writer ended before all bytes were written, or the reader
            // stopped reading
};

class Pipe
{
public:
  explicit Pipe(std::size_t aCapacityBytes);

  // Waits until the pipe holds less than its capacity, then adds all of aData,
  // even if that exceeds the capacity. Returns false, and adds nothing, once
  // the pipe is closed.
  auto Write(const char* aData, std::size_t aSize) -> bool;
  // Ends the stream as aEnd, Complete or Aborted, and wakes waiting threads.
  // Later calls do not change the state.
  auto Close(PipeState aEnd) -> void;
  // Waits for bytes and returns all that are buffered. Returns an empty string
  // if the stream is complete and all bytes were read, or if it was aborted;
  // State() tells which.
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
