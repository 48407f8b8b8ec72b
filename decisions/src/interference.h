#ifndef GOOSEBERRY_INTERFERENCE_H
#define GOOSEBERRY_INTERFERENCE_H

// Learns from lagging reports which batch classes slow which services, and how
// strongly to answer on a worker whose services suffer.

#include <map>
#include <utility>
#include <vector>

#include "types.h"

namespace gooseberry {

// Services slower than this times their answer time alone are suffering.
inline constexpr double kSlowdownLimit = 1.5;

// A batch task beside a service, and the share of its speed that it may use.
struct Neighbour
{
  ClassId classId;
  double share = 1.0;
};

class Interference
{
public:
  // One report of a service that ran beside these batch tasks. What a
  // throttled one does counts for as much as it was allowed.
  auto Observe(const ClassId& aService,
               const std::vector<Neighbour>& aNeighbours,
               double aSlowdown) -> void;

  // Expected extra slowdown of the pair at full speed; a small one while
  // nothing is known.
  auto Harm(const ClassId& aService, const ClassId& aBatch) const -> double;

private:
  struct Estimate
  {
    double mean = 0.0;
    double weight = 0.0;
  };

  std::map<std::pair<ClassId, ClassId>, Estimate> pairs;
};

enum class Relief
{
  None,
  Throttle,
  Evict,
  Restore
};

// Answers the suffering on one worker in steps, with hysteresis: it throttles
// one task after the other, evicts only if that did not help, and restores only
// after a calm time.
class ReliefLadder
{
public:
  auto Next(Time aNow, double aWorstSlowdown) -> Relief;

private:
  int suffering = 0;
  int calm = 0;
  bool throttled = false;
  Time lastEviction{};
};

} // namespace gooseberry

#endif
