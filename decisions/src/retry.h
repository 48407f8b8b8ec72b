#ifndef GOOSEBERRY_RETRY_H
#define GOOSEBERRY_RETRY_H

// Limits retries to a share of the recent successes of a service, so that an
// overloaded service never sees them multiply.

#include <atomic>
#include <cstdint>

#include "types.h"

namespace gooseberry {

class RetryBudget
{
public:
  auto OnSuccess() -> void;
  // Takes the cost of one retry, if the budget holds it.
  auto Take(Time aNow) -> bool;

private:
  // In thousandths of a retry.
  std::atomic<std::int64_t> thousandths = 10000;
  std::atomic<std::int64_t> lastFloorMs = 0;
};

} // namespace gooseberry

#endif
