#ifndef GOOSEBERRY_LEARNT_H
#define GOOSEBERRY_LEARNT_H

// What the owner of a cell has learnt from reports and tells the owner after
// it: without it a new owner knows neither which images disturb each other nor
// at which pace runs are held. Lies in the store beside the records; nothing
// that must hold depends on it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "workercall.h"

namespace gooseberry::cells {

struct Learnt
{
  // How likely each level of pressure is that one image puts on another.
  struct Pair
  {
    std::string serving;
    std::string filling;
    std::vector<double> weights;
    // Time from the last report on it to the writing.
    Millis age{ 0 };

    auto operator==(const Pair&) const -> bool = default;
  };

  // A run that is held to less than its full speed.
  struct Pace
  {
    RunRef run;
    int percent = kFullPace;

    auto operator==(const Pace&) const -> bool = default;
  };

  // When it was written, on the store's steady clock; 0: not known.
  std::int64_t storeMs = 0;
  std::vector<Pair> pairs;
  std::vector<Pace> paces;
  // Lowest tail seen of each serving image, in milliseconds.
  std::map<std::string, double> tailFloors;

  auto operator==(const Learnt&) const -> bool = default;
};

// Weights and tails are rounded to thousandths.
auto
EncodeLearnt(const Learnt& aLearnt) -> std::string;

// Nothing with the reason if the bytes tell nothing of the kind.
auto
DecodeLearnt(const std::string& aBytes, std::string& aReason)
  -> std::optional<Learnt>;

} // namespace gooseberry::cells

#endif
