#ifndef GOOSEBERRY_OUTCOMES_H
#define GOOSEBERRY_OUTCOMES_H

// Predicts which jobs can still end on time under overload. Scheduling all of
// them by objective alone makes all of them late. Therefore, whenever a job
// would miss its objective, the job with the most remaining work per value is
// dropped, so that as many as possible of the others end on time. The same is
// repeated with the dropped jobs for the time until which their results are of
// use. This file only predicts; overload.h orders the starts by the result.

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
  // 0 is the highest.
  int priority = 0;
  // The last prediction dropped it. It returns only with a margin, since a job
  // that alternates begins work that then waits.
  bool wasDropped = false;

  auto operator==(const OutcomeCandidate&) const -> bool = default;
};

// Remaining work per value of the job. Favours jobs that have begun over those
// that have not. The value is the total work plus a fixed part, which gives
// small jobs a little more value for their work. aMeanWork: of the jobs that it
// is compared with.
auto
CostPerValue(const OutcomeCandidate& aCandidate, double aMeanWork) -> double;

// Mean of the total work.
auto
MeanWork(const std::vector<OutcomeCandidate>& aCandidates) -> double;

// When the result of an occurrence is of no use any more: after three times the
// time that its objective allows.
auto
LateObjective(Time aDueAt, Time aObjective) -> Time;

// Predicts the outcome of each candidate if aCores processors (at least one)
// work on all of them, those of higher priority first.
auto
PredictOutcomes(Time aNow,
                double aCores,
                const std::vector<OutcomeCandidate>& aCandidates)
  -> std::vector<ExpectedOutcome>;

// Whether the candidate's result will be of no use although its critical path
// alone would allow it to end in time: capacity is insufficient.
auto
LacksCapacity(Time aNow,
              const OutcomeCandidate& aCandidate,
              ExpectedOutcome aOutcome) -> bool;

} // namespace gooseberry::cells

#endif
