#ifndef GOOSEBERRY_LEARNEDSTATE_H
#define GOOSEBERRY_LEARNEDSTATE_H

// State that the owner of a cell has learnt from reports and passes on to the
// next owner. Without it a new owner knows neither which images interfere with
// each other nor to which speed runs are limited nor how long runs take. It is
// stored in the records' partition under a key that is no valid job id;
// correctness does not depend on it.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workercall.h"

namespace gooseberry::cells {

struct LearnedState
{
  // Probabilities of the interference levels for a latency-critical image and a
  // best-effort image beside it.
  struct InterferencePair
  {
    std::string criticalImage;
    std::string bestEffortImage;
    std::vector<double> levelWeights;
    // Age of the last observation at the time of writing.
    Millis age{ 0 };

    auto operator==(const InterferencePair&) const -> bool = default;
  };

  // A run that is limited to less than its full speed.
  struct RunSpeed
  {
    RunRef run;
    int percent = kFullPace;

    auto operator==(const RunSpeed&) const -> bool = default;
  };

  // Run times of the steps of one queue.
  struct QueueRunTimes
  {
    static constexpr std::size_t kSumCount = 6;

    std::string queue;
    // As DurationModel keeps them.
    std::array<double, kSumCount> sums{};

    auto operator==(const QueueRunTimes&) const -> bool = default;
  };

  // Time of writing on the store's steady clock; 0: unknown.
  std::int64_t storeClockMs = 0;
  std::vector<InterferencePair> pairs;
  std::vector<RunSpeed> runSpeeds;
  // Lowest tail latency observed for each latency-critical image, in
  // milliseconds.
  std::map<std::string, double> lowestTailsMs;
  // The queues with the most observations first.
  std::vector<QueueRunTimes> runTimes;

  auto operator==(const LearnedState&) const -> bool = default;
};

// Weights and tail latencies are rounded to thousandths. The last ones of the
// run times are left out if a row of the store has no room for them.
auto
EncodeLearnedState(const LearnedState& aLearnt) -> std::string;

// Returns nothing and sets aReason if the bytes are not valid. If only the run
// times are not, sets aReason and returns the rest.
auto
DecodeLearnedState(const std::string& aBytes, std::string& aReason)
  -> std::optional<LearnedState>;

} // namespace gooseberry::cells

#endif
