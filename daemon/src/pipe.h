#ifndef GOOSEBERRY_PIPE_H
#define GOOSEBERRY_PIPE_H

// A bounded byte stream from one thread to another.

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "bytebudget.h"

namespace gooseberry {

// Size of the parts in which a stream is forwarded.
constexpr std::size_t kPipeReadBytes = 16384;

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
  // The bytes of a pipe without a budget are not counted, or are counted by its
  // owner.
  explicit Pipe(std::size_t aCapacityBytes,
                std::shared_ptr<ByteBudget> aBudget = nullptr);

  // Lets the pipe hold aBytes, at most its capacity, whether or not the budget
  // has them. Without this call it is kPipeReadBytes: the writer of a pipe that
  // gets no more waits for the reader, and both still make progress.
  auto Guarantee(std::size_t aBytes) -> void;

  // Adds all of aData, in parts if it exceeds the free capacity, and waits for
  // the reader in between. Returns false once the pipe is closed; some of
  // aData may have been added then.
  auto Write(const char* aData, std::size_t aSize) -> bool;
  // Ends the stream as aEnd, Complete or Aborted, and wakes waiting threads.
  // Later calls do not change the state.
  auto Close(PipeState aEnd) -> void;
  // Waits for bytes and copies up to aSize of them. Returns 0 if the stream is
  // complete and all bytes were read, or if it was aborted; State() tells
  // which.
  auto Read(char* aTo, std::size_t aSize) -> std::size_t;
  // Returns all bytes that are buffered, without waiting.
  auto TakeBuffered() -> std::string;
  auto State() const -> PipeState;

private:
  auto BufferedBytes() const -> std::size_t;
  // Number of bytes that can be added now, at most aWanted. Grows the lease if
  // needed and possible.
  auto FreeBytes(std::size_t aWanted) -> std::size_t;
  auto Append(const char* aData, std::size_t aSize) -> void;

  const std::size_t capacityBytes;
  std::size_t guaranteedBytes = kPipeReadBytes;
  mutable std::mutex mutex;
  std::condition_variable changed;
  // The buffer is kept between reads. Handing it to the reader and growing a
  // new one for each read left the allocator with several MB of freed pages
  // per upload.
  std::string bytes;
  // The buffer is never larger than the lease.
  ByteLease lease;
  // Bytes at the begin of the buffer that were read.
  std::size_t readBytes = 0;
  PipeState state = PipeState::Open;
};

} // namespace gooseberry

#endif
