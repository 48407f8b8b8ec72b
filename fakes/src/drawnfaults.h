#ifndef GOOSEBERRY_DRAWNFAULTS_H
#define GOOSEBERRY_DRAWNFAULTS_H

// Jobs and faults drawn from a fleet's seed.

#include <string>
#include <vector>

#include "faultyfleet.h"

namespace gooseberry::fakes {

// How many jobs are drawn.
struct JobDensity
{
  // The longest pause between two jobs.
  Millis longestGap{ 700 };
  // Most jobs that last, and the chance that a job is one of them.
  int lastingJobs = 4;
  double lastingChance = 0.08;
  // Whether some steps need a certain rack. Where lasting tasks may fill a
  // rack, such steps need not end.
  bool needsRacks = true;

  auto operator==(const JobDensity&) const -> bool = default;
};

// Submits jobs now and then for this time: batch jobs of steps, some of them
// cancelled, and a few that last.
auto
DrawJobs(FaultyFleet& aFleet, Millis aTime, JobDensity aDensity = {}) -> void;

// Draws two to six faults that strike within this time; they are over within
// some seconds. Tells them in words.
auto
DrawFaults(FaultyFleet& aFleet, Millis aTime) -> std::vector<std::string>;

} // namespace gooseberry::fakes

#endif
