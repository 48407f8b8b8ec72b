#ifndef GOOSEBERRY_DAYPLAN_H
#define GOOSEBERRY_DAYPLAN_H

// What happens on a day besides the drawn jobs, and the checks that belong to
// it. Broken rules are reported to the fleet.

#include <memory>
#include <string>
#include <vector>

#include "realfleet.h"

namespace gooseberry::soak {

class DayPlan
{
public:
  DayPlan() = default;
  DayPlan(const DayPlan&) = delete;
  auto operator=(const DayPlan&) -> DayPlan& = delete;
  virtual ~DayPlan() = default;

  // Jobs and faults begin, and last for this time. Returns the faults in words.
  virtual auto Begin(Millis aTime) -> std::vector<std::string> = 0;
  // Called several times a second from then on, until the day ends.
  virtual auto Check() -> void = 0;
  // The faults are over. What is checked afterwards needs no bound on time.
  virtual auto OnFaultsOver() -> void = 0;
  // Whether the checks that OnFaultsOver has started are complete.
  virtual auto IsComplete() const -> bool = 0;
  // The day is over: reports what is missing, and returns counts for the
  // reader.
  virtual auto Finish() -> std::string = 0;
};

} // namespace gooseberry::soak

#endif
