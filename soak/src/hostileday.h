#ifndef GOOSEBERRY_HOSTILEDAY_H
#define GOOSEBERRY_HOSTILEDAY_H

// A day on which clients misuse the ports for callers, beside drawn jobs and
// faults. No process may end, memory and descriptors stay within what the
// settings tell, and ordinary jobs are accepted and completed.

#include <future>
#include <set>

#include "dayplan.h"

namespace gooseberry::soak {

// Sets the memory and the descriptors of the instances.
auto
SetHostileOptions(RealFleetOptions& aOptions) -> void;

class HostileDay : public DayPlan
{
public:
  explicit HostileDay(RealFleet& aFleet);

  auto Begin(Millis aTime) -> std::vector<std::string> override;
  auto Check() -> void override;
  auto OnFaultsOver() -> void override;
  auto IsComplete() const -> bool override;
  auto Finish() -> std::string override;

private:
  auto KeepAttacking() -> void;
  auto SubmitUntilAccepted(int aInstance) -> void;

  RealFleet& fleet;
  // Threads of the clients, each of which blocks on its connections.
  std::vector<std::future<std::size_t>> attacks;
  std::size_t begun = 0;
  std::size_t sentBytes = 0;
  bool faultsOver = false;
  // Instances that have not accepted an ordinary job after the faults.
  std::set<int> unanswered;
  int peakMb = 0;
  int peakDescriptors = 0;
};

} // namespace gooseberry::soak

#endif
