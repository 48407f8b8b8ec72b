#include "retrybudget.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::int64_t kRetryCost = 1000;
// Credit in thousandths of a retry: one retry for ten successes.
constexpr std::int64_t kCreditPerSuccess = 100;
// Largest balance: 50 retries.
constexpr std::int64_t kMaxBalance = 50000;
// One retry per second is granted even if the budget is empty.
constexpr std::int64_t kFloorIntervalMs = 1000;

} // namespace

auto
RetryBudget::OnSuccess() -> void
{
  if (this->balanceThousandths < kMaxBalance) {
    this->balanceThousandths += kCreditPerSuccess;
  }
}

auto
RetryBudget::TrySpend(Time aNow) -> bool
{
  auto balance = this->balanceThousandths.load();
  while (balance >= kRetryCost) {
    if (this->balanceThousandths.compare_exchange_weak(balance,
                                                       balance - kRetryCost)) {
      return true;
    }
  }
  const auto now = SteadyMillis(aNow);
  auto last = this->lastFloorRetryMs.load();
  return now - last >= kFloorIntervalMs &&
         this->lastFloorRetryMs.compare_exchange_strong(last, now);
}

} // namespace gooseberry
