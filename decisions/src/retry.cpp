#include "retry.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::int64_t kRetryCost = 1000;
// One retry for ten successes.
constexpr std::int64_t kPerSuccess = 100;
constexpr std::int64_t kMostThousandths = 50000;
// The floor: one retry per second, however few successes there are.
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
  auto left = this->thousandths.load();
  while (left >= kRetryCost) {
    if (this->thousandths.compare_exchange_weak(left, left - kRetryCost)) {
      return true;
    }
  }
  const auto now = MillisOf(aNow);
  auto last = this->lastFloorMs.load();
  return now - last >= kFloorIntervalMs &&
         this->lastFloorMs.compare_exchange_strong(last, now);
}

} // namespace gooseberry
