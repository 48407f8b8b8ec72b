#ifndef GOOSEBERRY_LOOP_H
#define GOOSEBERRY_LOOP_H

// Time, and work that is due later, as the parts of an instance see them: one
// thread runs everything. Sockets carry it in the daemon, virtual time in
// tests.

#include <cstdint>
#include <functional>
#include <memory>

#include "types.h"

namespace gooseberry {

// A call that is due later; it is cancelled when the last holder lets it go.
using TimerHandle = std::shared_ptr<void>;

class Loop : public Clock
{
public:
  using Work = std::function<void()>;

  // Time of day in milliseconds since 1970; may jump.
  virtual auto UnixMillis() const -> std::int64_t = 0;
  // Runs the work soon.
  virtual auto Post(Work aWork) -> void = 0;
  virtual auto After(Micros aDelay, Work aWork) -> TimerHandle = 0;
};

} // namespace gooseberry

#endif
