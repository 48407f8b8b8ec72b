#ifndef GOOSEBERRY_LEARNT_H
#define GOOSEBERRY_LEARNT_H

// State that the owner of a cell has learnt from reports and passes on to the
// next owner. Without it a new owner knows neither which images interfere with
// each other nor to which speed runs are limited. It is stored beside the
// records; correctness does not depend on it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workercall.h"

namespace gooseberry::cells {

struct Learnt
{
  // Probabilities of the interference levels for a latency-critical image and a
  // best-effort image beside it.
  struct Pair
  {
    std::string serving;
    std::string filling;
    std::vector<double> weights;
    // Age of the last observation at the time of writing.
    Millis age{ 0 };

    auto operator==(const Pair&) const -> bool = default;
  };

  // A run that is limited to less than its full speed.
  struct Pace
  {
    RunRef run;
    int percent = kFullPace;

    auto operator==(const Pace&) const -> bool = default;
  };

  // Time of writing on the store's steady clock; 0: unknown.
  std::int64_t storeMs = 0;
  std::vector<Pair> pairs;
  std::vector<Pace> paces;
  // Lowest tail latency observed for each latency-critical image, in
  // milliseconds.
  std::map<std::string, double> tailFloors;

  auto operator==(const Learnt&) const -> bool = default;
};

// Weights and tail latencies are rounded to thousandths.
auto
EncodeLearnt(const Learnt& aLearnt) -> std::string;

// Returns nothing and sets aReason if the bytes are not valid.
auto
DecodeLearnt(const std::string& aBytes, std::string& aReason)
  -> std::optional<Learnt>;

} // namespace gooseberry::cells

#endif
