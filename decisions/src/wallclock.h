#ifndef GOOSEBERRY_WALLCLOCK_H
#define GOOSEBERRY_WALLCLOCK_H

// Wall-clock time, for records that people read. Not for leases or timeouts.

#include "types.h"

namespace gooseberry {

// Milliseconds since the Unix epoch.
inline auto
UnixMillis() -> std::int64_t
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace gooseberry

#endif
