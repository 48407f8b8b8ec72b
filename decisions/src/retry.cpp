#include "retry.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::int64_t kRetryCost = 1000;
// Credit in thousandths of a retry: one retry for ten successes.
constexpr std::int64_t kPerSuccess = 100;
// Largest balance: 50 retries.
constexpr std::int64_t kMostThousandths = 50000;
// One retry per second is granted even if the budget is empty.
constexpr std::int64_t kFloorIntervalMs = 1000;

} // namespace

auto
RetryBudget::OnSuccess() -> void
{
  if (this->thousandths < kMostThousandths) {
    this->thousandths += kPerSuccess;
  }
}

auto
RetryBudget::Take(Time aNow) -> bool
{
  auto balance = this->thousandths.load();
  while (balance >= kRetryCost) {
    if (this->thousandths.compare_exchange_weak(balance,
                                                balance - kRetryCost)) {
      return true;
    }
  }
  const auto now = MillisOf(aNow);
  auto last = this->lastFloorMs.load();
  return now - last >= kFloorIntervalMs &&
         this->lastFloorMs.compare_exchange_strong(last, now);
}

} // namespace gooseberry
