#ifndef GOOSEBERRY_DISTURBANCE_H
#define GOOSEBERRY_DISTURBANCE_H

// How tasks that fill idle processors slow down lasting ones that answer users,
// learnt from the tails of the latter.
//
// The model, as measured: a lasting task under load r has the tail
// T * x / (1 - r * x), where T is the tail without any load, and x - 1, the
// pressure, grows with the share of the worker's processors that each
// neighbour uses, by a factor that belongs to the pair of images. Most pairs
// press hardly at all, the others much, and some change within seconds: what is
// known of a pair is how likely each of some levels is.

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "images.h"
#include "learnt.h"
#include "tunables_cells.h"
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

// Load of a lasting job's tasks, which all answer the same users: it swings
// within seconds, so what was seen grows doubtful with its age.
struct LoadEstimate
{
  double mean = kUnknownLoad;
  double variance = kUnknownLoadVariance;
  Time at{};

  auto operator==(const LoadEstimate&) const -> bool = default;

  auto At(Time aNow) const -> LoadEstimate;
  // The estimate with one more observation of the given variance.
  auto Observed(Time aNow, double aLoad, double aError) const -> LoadEstimate;
};

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

    auto operator==(const Estimate&) const -> bool = default;
  };

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

  // What is known of pairs, for the next owner, those that were seen last
  // first; and what an earlier owner told so long ago.
  auto Tell(Time aNow, const Images& aImages) const
    -> std::vector<Learnt::Pair>;
  auto Hear(Time aNow, Millis aAge, const Learnt::Pair& aPair, Images& aImages)
    -> void;

private:
  static constexpr std::size_t kLevels = 6;
  // How likely each level of pressure is.
  using Weights = std::array<double, kLevels>;

  struct Belief
  {
    Weights weights{};
    Time at{};
  };

  static const Weights kPressures;
  static const Weights kGuess;

  auto Weigh(Time aNow, ImageId aServing, ImageId aFilling) const -> Weights;
  static auto Summary(const Weights& aWeights) -> Estimate;

  std::map<std::pair<ImageId, ImageId>, Belief> beliefs;
};

} // namespace gooseberry::cells

#endif
