#ifndef GOOSEBERRY_DISTURBANCE_H
#define GOOSEBERRY_DISTURBANCE_H

// How tasks that fill idle processors slow down lasting ones that answer users,
// learnt from the tails of the latter.
//
// The model, as measured: a lasting task under load r has the tail
// T * x / (1 - r * x), where T is the tail without any load, and x - 1, the
// pressure, grows with the share of the worker's processors that each
// neighbour uses, by a factor that belongs to the pair of images.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "images.h"
#include "types.h"

namespace gooseberry::cells {

// The tail of a task under load and pressure, in units of its tail without.
auto
TailUnder(double aLoad, double aPressure) -> double;
// The pressure under which a task with this load has this tail.
auto
PressureFrom(double aTail, double aLoad) -> double;
// The load with which a task under this pressure has this tail.
auto
LoadFrom(double aTail, double aPressure) -> double;
// The most pressure under which the tail stays within a limit.
auto
MostPressure(double aLimit, double aLoad) -> double;

// What runs beside a lasting task: an image and the share of the worker's
// processors that it uses.
struct Beside
{
  ImageId image = 0;
  double share = 0.0;
};

class Disturbance
{
public:
  // Pressure for each full share of the processors: mean and variance.
  struct Estimate
  {
    double mean = 0.0;
    double variance = 0.0;
    Time at{};

    auto operator==(const Estimate&) const -> bool = default;
  };

  using Table = std::map<std::pair<ImageId, ImageId>, Estimate>;

  // One report: the pressure that a task of the image was under.
  // aError: variance of what was observed.
  auto Observe(Time aNow,
               ImageId aServing,
               const std::vector<Beside>& aBeside,
               double aPressure,
               double aError) -> void;
  // What is known of a pair by now; fades into a guess, since pairs change.
  auto Between(Time aNow, ImageId aServing, ImageId aFilling) const -> Estimate;
  // Pressure and its variance from all that runs beside.
  auto Sum(Time aNow,
           ImageId aServing,
           const std::vector<Beside>& aBeside) const -> Estimate;

  // Expected pressure at full use; none for a pair that is known to be
  // harmless.
  auto Pressure(Time aNow, ImageId aServing, ImageId aFilling) const -> double;

  auto Estimates() const -> const Table&;
  auto Restore(Table aEstimates) -> void;

private:
  Table estimates;
};

} // namespace gooseberry::cells

#endif
