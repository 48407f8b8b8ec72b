#ifndef GOOSEBERRY_REPEATEDFAULTS_H
#define GOOSEBERRY_REPEATEDFAULTS_H

// Single faults that strike a fleet of real processes again and again, alone or
// in a mix.

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "realfleet.h"

namespace gooseberry::soak {

using FaultGenerator = std::mt19937_64;

struct RepeatedFault
{
  const char* name;
  void (*strike)(RealFleet&, FaultGenerator&);
};

// Names of all faults, with commas between them.
auto
RepeatedFaultNames() -> std::string;

// Reads such a list; "all" stands for all faults. Returns nothing and sets
// aReason if a name is not known.
auto
ParseRepeatedFaults(const std::string& aNames, std::string& aReason)
  -> std::optional<std::vector<RepeatedFault>>;

// Lets one of the faults, drawn from the seed, strike at each interval for this
// time.
auto
RepeatFaults(RealFleet& aFleet,
             const std::vector<RepeatedFault>& aFaults,
             std::uint64_t aSeed,
             Millis aInterval,
             Millis aTime) -> void;

} // namespace gooseberry::soak

#endif
