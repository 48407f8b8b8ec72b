#ifndef GOOSEBERRY_DRAWNFAULTS_H
#define GOOSEBERRY_DRAWNFAULTS_H

// Jobs and faults drawn from a fleet's seed.

#include <string>
#include <vector>

#include "faultyfleet.h"

namespace gooseberry::fakes {

// Submits jobs now and then for this time: batch jobs of steps, some of them
// cancelled, and a few that last.
auto
DrawJobs(FaultyFleet& aFleet, Millis aTime) -> void;

// Draws two to six faults that strike within this time; they are over within
// some seconds. Tells them in words.
auto
DrawFaults(FaultyFleet& aFleet, Millis aTime) -> std::vector<std::string>;

} // namespace gooseberry::fakes

#endif
