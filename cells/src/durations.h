#ifndef GOOSEBERRY_DURATIONS_H
#define GOOSEBERRY_DURATIONS_H

// Learns how long steps really take from what callers estimate. An estimate is
// off by a factor that differs from job to job, but jobs of one queue resemble
// each other: the expected time lies between the caller's estimate and the mean
// of the queue, nearer to the one that tells more.

#include <map>
#include <optional>
#include <vector>

#include "jobspec.h"
#include "learnedstate.h"

namespace gooseberry::cells {

struct ExpectedDuration
{
  // As many steps take longer as take less time.
  Millis median{ 0 };
  // Standard deviation of the logarithm of the real time.
  double logDeviation = 0.0;

  auto operator==(const ExpectedDuration&) const -> bool = default;
};

class DurationModel
{
public:
  // The longest task of a step of the queue took aActual.
  auto Observe(const QueueId& aQueue, Millis aEstimate, Millis aActual) -> void;
  // Nothing until enough steps of the queue were observed.
  auto Expect(const QueueId& aQueue, Millis aEstimate) const
    -> std::optional<ExpectedDuration>;

  // Exports the sums of all queues for the next owner, those with the most
  // observations first.
  auto Export() const -> std::vector<LearnedState::QueueRunTimes>;
  // The same for the owners of other cells: only queues of which enough is
  // known for an expectation.
  auto ExportKnown() const -> std::vector<LearnedState::QueueRunTimes>;
  // Takes over what an earlier owner or the owner of another cell exported, if
  // too little was observed here for an expectation, and less than there.
  // Ignores sums that no observations lead to.
  auto Import(const LearnedState::QueueRunTimes& aTimes) -> void;

private:
  // Weighted sums of the logarithms x of estimates and y of real times.
  struct Sums
  {
    double weight = 0.0;
    double x = 0.0;
    double y = 0.0;
    double xx = 0.0;
    double xy = 0.0;
    double yy = 0.0;
  };

  auto ExportFrom(double aMinWeight) const
    -> std::vector<LearnedState::QueueRunTimes>;
  static auto AreValid(const Sums& aSums) -> bool;

  std::map<QueueId, Sums> queues;
};

// How long runs take on one worker compared with those of the same steps on
// other workers. Workers are slow for seconds, so older observations fade.
class RelativeRunTime
{
public:
  // A run took exp(aLogRatio) times as long there as others elsewhere.
  auto Observe(Time aNow, double aLogRatio) -> void;
  // Time that work takes there, as a multiple of the time elsewhere; near 1
  // while little is known.
  auto FactorAt(Time aNow) const -> double;

private:
  auto KeptAt(Time aNow) const -> double;

  double weight = 0.0;
  double sum = 0.0;
  Time updatedAt{};
};

} // namespace gooseberry::cells

#endif
