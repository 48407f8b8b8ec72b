#ifndef GOOSEBERRY_LOOP_H
#define GOOSEBERRY_LOOP_H

// Interface of the event loop: time and deferred calls. All parts of an
// instance run on one thread. The daemon implements it with sockets, tests with
// virtual time.

#include <cstdint>
#include <functional>
#include <memory>

#include "types.h"

namespace gooseberry {

// A deferred call; cancelled when the last reference to it is released.
using TimerHandle = std::shared_ptr<void>;

class Loop : public Clock
{
public:
  using Work = std::function<void()>;

  // Wall-clock time in milliseconds since 1970; may jump.
  virtual auto UnixMillis() const -> std::int64_t = 0;
  // Runs the work in one of the next iterations of the loop.
  virtual auto Post(Work aWork) -> void = 0;
  virtual auto After(Micros aDelay, Work aWork) -> TimerHandle = 0;
};

} // namespace gooseberry

#endif
