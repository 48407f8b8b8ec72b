#ifndef GOOSEBERRY_WALLCLOCK_H
#define GOOSEBERRY_WALLCLOCK_H

// Time of day, for records that people read; never for leases or timeouts.

#include "types.h"

namespace gooseberry {

// Milliseconds since 1970.
inline auto
UnixMillis() -> std::int64_t
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace gooseberry

#endif
