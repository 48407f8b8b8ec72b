#ifndef GOOSEBERRY_RETRYBUDGET_H
#define GOOSEBERRY_RETRYBUDGET_H

// Limits retries to a share of a service's recent successes, so that retries do
// not amplify an overload.

#include <atomic>
#include <cstdint>

#include "types.h"

namespace gooseberry {

// Thread-safe.
class RetryBudget
{
public:
  auto OnSuccess() -> void;
  // Whether one retry may be made now; if so, its cost is deducted from the
  // budget, or it is the retry that each interval grants without any budget.
  auto TrySpend(Time aNow) -> bool;

private:
  // Balance in thousandths of a retry, and the time of the last retry that was
  // granted without budget.
  std::atomic<std::int64_t> balanceThousandths = 10000;
  std::atomic<std::int64_t> lastFloorRetryMs = 0;
};

} // namespace gooseberry

#endif
