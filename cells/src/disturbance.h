#ifndef GOOSEBERRY_DISTURBANCE_H
#define GOOSEBERRY_DISTURBANCE_H

// Learns from the tails of lasting tasks which images that fill idle processors
// disturb which images that answer users, and how strongly.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "types.h"

namespace gooseberry::cells {

// What ran beside a lasting task since its report before.
struct Beside
{
  std::string image;
  // Of that time and of its full speed, from 0 to 1.
  double share = 1.0;
};

class Disturbance
{
public:
  struct Estimate
  {
    double mean = 0.0;
    // Grows with each report and fades with time, since pairs change.
    double weight = 0.0;
    Time at{};

    auto operator==(const Estimate&) const -> bool = default;
  };

  using Table = std::map<std::pair<std::string, std::string>, Estimate>;

  // One report of a lasting task: by how much its tail was worse than calm, as
  // a part of its target.
  auto Observe(Time aNow,
               const std::string& aServing,
               const std::vector<Beside>& aBeside,
               double aExcess) -> void;
  // Expected excess at full speed; a guess while little is known.
  auto Between(Time aNow,
               const std::string& aServing,
               const std::string& aFilling) const -> double;

  auto Estimates() const -> const Table&;
  auto Restore(Table aEstimates) -> void;

private:
  auto Weight(Time aNow,
              const std::string& aServing,
              const std::string& aFilling) const -> double;

  Table estimates;
};

} // namespace gooseberry::cells

#endif
