#ifndef GOOSEBERRY_INTERFERENCE_H
#define GOOSEBERRY_INTERFERENCE_H

// Estimates from the workers' reports, which arrive with a delay, how much each
// batch class slows each service, and decides what to do on a worker whose
// services are too slow.

#include <map>
#include <utility>
#include <vector>

#include "types.h"

namespace gooseberry {

// A service is too slow if its response time exceeds this many times its
// response time without batch tasks.
inline constexpr double kSlowdownLimit = 1.5;

// A batch task on the same worker as a service, and the share of its full speed
// at which it may run, 0 to 1.
struct ColocatedTask
{
  ClassId classId;
  double speedShare = 1.0;
};

class InterferenceModel
{
public:
  // A service that ran beside these batch tasks reported this slowdown: its
  // response time divided by its response time alone. The effect of a throttled
  // task is taken to be proportional to its share, so that the estimates hold
  // for full speed.
  auto Observe(const ClassId& aService,
               const std::vector<ColocatedTask>& aBatchTasks,
               double aSlowdown) -> void;

  // Expected extra slowdown of the service by one batch task at full speed, as
  // a fraction of the response time alone; a small default without
  // observations.
  auto ExpectedSlowdown(const ClassId& aService, const ClassId& aBatch) const
    -> double;

private:
  // Weighted mean of the extra slowdown, and the sum of the observations'
  // weights.
  struct PairEstimate
  {
    double mean = 0.0;
    double weight = 0.0;
  };

  std::map<std::pair<ClassId, ClassId>, PairEstimate> pairs;
};

enum class MitigationStep
{
  None,
  Throttle,
  Evict,
  Restore
};

// Escalates on one worker whose services are too slow, with hysteresis:
// throttles one batch task after the other, evicts one only if that did not
// help, and restores full speed only after a number of good reports.
class InterferenceMitigation
{
public:
  // The step to take after a report; aWorstSlowdown is that of the slowest
  // service on the worker.
  auto NextStep(Time aNow, double aWorstSlowdown) -> MitigationStep;

private:
  // Reports in a row above kSlowdownLimit, and below the calm limit.
  int slowReports = 0;
  int calmReports = 0;
  bool throttled = false;
  Time lastEvictionAt{};
};

} // namespace gooseberry

#endif
