#ifndef GOOSEBERRY_OUTCOMES_H
#define GOOSEBERRY_OUTCOMES_H

// Predicts which jobs can still end on time under overload. Scheduling all of
// them by objective alone makes all of them late. Therefore, whenever a job
// would miss its objective, the job with the most remaining work per value is
// dropped, so that as many as possible of the others end on time. This file
// only predicts; placement puts dropped jobs after the others of the same
// priority.

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

// The properties of one occurrence of a job that the prediction depends on.
struct OutcomeCandidate
{
  // The occurrence is on time if it ends by then.
  Time objective{};
  // The result of an occurrence that ends later than this is of no use.
  Time lateObjective{};
  // Remaining and total work, in core-milliseconds.
  double workLeft = 0.0;
  double totalWork = 0.0;
  // Duration of the critical path of the remaining work.
  Millis criticalPathLeft{ 0 };

  auto operator==(const OutcomeCandidate&) const -> bool = default;
};

// Predicts the outcome of each candidate if aCores processors (at least one)
// work on all of them. Whether a dropped candidate is Late or NoUse depends on
// its critical path alone.
auto
PredictOutcomes(Time aNow,
                double aCores,
                const std::vector<OutcomeCandidate>& aCandidates)
  -> std::vector<ExpectedOutcome>;

} // namespace gooseberry::cells

#endif
