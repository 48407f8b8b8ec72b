#ifndef GOOSEBERRY_OUTCOMES_H
#define GOOSEBERRY_OUTCOMES_H

// Predicts which jobs can still end on time under overload. Scheduling all of
// them by deadline alone makes all of them late, so as many as possible are
// kept on time and the others run after them.

#include <vector>

#include "types.h"

namespace gooseberry::cells {

enum class ExpectedOutcome
{
  OnTime,
  Late,  // ends too late, but the result is still of use
  NoUse, // the result is of no use any more
  ExpectedOutcome_NB
};

// The properties of a job that the prediction depends on.
struct OutcomeCandidate
{
  // By when the job should end, and by when its result is still of use.
  Time objective{};
  Time lateObjective{};
  // Remaining and total work, in core-milliseconds.
  double workLeft = 0.0;
  double totalWork = 0.0;
  // Critical path of the remaining work.
  Millis criticalPathLeft{ 0 };

  auto operator==(const OutcomeCandidate&) const -> bool = default;
};

// Predicts the outcome of each candidate if aCores processors work on all of
// them.
auto
PredictOutcomes(Time aNow,
                double aCores,
                const std::vector<OutcomeCandidate>& aCandidates)
  -> std::vector<ExpectedOutcome>;

} // namespace gooseberry::cells

#endif
