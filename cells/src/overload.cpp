#include "overload.h"

#include <tuple>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
StartRank::operator<=>(const StartRank& aOther) const -> std::partial_ordering
{
  const auto key = [](const StartRank& aRank) {
    return std::tuple{ aRank.startClass,
                       aRank.priority,
                       aRank.account.beyondRate,
                       aRank.outcome,
                       aRank.account.relativeUse,
                       aRank.costPerValue,
                       aRank.objective };
  };
  return key(*this) <=> key(aOther);
}

auto
StarvationTurns::Next(Time aNow, const std::set<JobId>& aStarved)
  -> std::optional<JobId>
{
  if (aStarved.empty()) {
    return std::nullopt;
  }
  if (this->last && aNow < this->beganAt + kStarvationTurnInterval) {
    // The turn ends early once something of the job is running.
    return aStarved.contains(*this->last) ? this->last : std::nullopt;
  }
  auto next = this->last ? aStarved.upper_bound(*this->last) : aStarved.begin();
  if (next == aStarved.end()) {
    next = aStarved.begin();
  }
  this->last = *next;
  this->beganAt = aNow;
  return this->last;
}

auto
OverloadState::Update(Time aNow, bool aLacksCapacity) -> void
{
  if (aLacksCapacity) {
    this->since = this->since.value_or(aNow);
    this->lastLack = aNow;
  } else if (aNow >= this->lastLack + kOverloadExitTime) {
    this->since.reset();
  }
}

auto
OverloadState::IsOverloaded(Time aNow) const -> bool
{
  return this->since && aNow >= *this->since + kOverloadEntryTime;
}

} // namespace gooseberry::cells
