#ifndef GOOSEBERRY_STORECLOCK_H
#define GOOSEBERRY_STORECLOCK_H

// A reading of the store's steady clock, by which an instance tells the age of
// what another one has written.

#include <cstdint>

#include "types.h"

namespace gooseberry::fleet {

// The clock showed at most storeMs at local time sentAt, and at least storeMs
// at receivedAt.
struct StoreClockReading
{
  std::int64_t storeMs = 0;
  Time sentAt{};
  Time receivedAt{};

  // The least that the clock can show at this local time, in milliseconds.
  auto EarliestAt(Time aNow) const -> std::int64_t
  {
    return this->storeMs + ToMillis(aNow - this->receivedAt).count();
  }
  // The first and the last local time at which it can have shown aStoreMs.
  auto FirstTimeOf(std::int64_t aStoreMs) const -> Time
  {
    return this->sentAt + Millis{ aStoreMs - this->storeMs };
  }
  auto LastTimeOf(std::int64_t aStoreMs) const -> Time
  {
    return this->receivedAt + Millis{ aStoreMs - this->storeMs };
  }

  auto operator==(const StoreClockReading&) const -> bool = default;
};

} // namespace gooseberry::fleet

#endif
