#ifndef GOOSEBERRY_PROSPECTS_H
#define GOOSEBERRY_PROSPECTS_H

// Predicts which jobs can still end on time under overload. Scheduling all of
// them by deadline alone makes all of them late, so as many as possible are
// kept on time and the others run after them.

#include <vector>

#include "types.h"

namespace gooseberry::cells {

enum class Prospect
{
  InTime,
  Late,     // ends too late, but the result is still of use
  Hopeless, // the result is of no use any more
  Prospect_NB
};

// The properties of a job that the prediction depends on.
struct Candidate
{
  // By when the job should end, and by when its result is still of use.
  Time objective{};
  Time lateObjective{};
  // Remaining and total work, in core-milliseconds.
  double workLeft = 0.0;
  double work = 0.0;
  // Critical path of the remaining work.
  Millis chainLeft{ 0 };

  auto operator==(const Candidate&) const -> bool = default;
};

// Predicts the outcome of each candidate if aCores processors work on all of
// them.
auto
ProspectsOf(Time aNow, double aCores, const std::vector<Candidate>& aCandidates)
  -> std::vector<Prospect>;

} // namespace gooseberry::cells

#endif
