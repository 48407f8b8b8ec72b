#include "durations.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::cells {

namespace {

// Observations that an estimate needs. With fewer, one odd job would shift the
// objectives of all others.
constexpr double kMinObservations = 20.0;
// Weight that earlier observations keep with each new one: work changes over a
// day, and some hundred steps describe a queue.
constexpr double kKeptWeight = 0.995;
// A configuration may hold thousands of queues; those beyond this number are
// served by the callers' estimates.
constexpr std::size_t kMaxQueues = 256;
// Smaller variances of the estimates show nothing about their use.
constexpr double kMinVariance = 1e-4;
// Greatest logarithm of a time in milliseconds, of 34 years.
constexpr double kMaxLog = 27.7;
// Time in which observations of a worker's speed lose half of their weight. A
// worker ends a few runs a second and is slow for some seconds.
constexpr std::chrono::duration<double> kSpeedHalfLife{ 10.0 };
// Observations that count as much as the assumption of an average speed. Tasks
// of one step differ by 0.3 of their mean.
constexpr double kPriorWeight = 4.0;
// A worker that differs by more is at fault, and its runs are moved.
constexpr double kMaxFactor = 2.2;

auto
LogMillis(Millis aTime) -> double
{
  return std::min(
    kMaxLog,
    std::log(static_cast<double>(std::max<Millis::rep>(aTime.count(), 1))));
}

} // namespace

auto
DurationModel::Observe(const QueueId& aQueue, Millis aEstimate, Millis aActual)
  -> void
{
  if (aActual.count() <= 0 ||
      (this->queues.size() >= kMaxQueues && !this->queues.contains(aQueue))) {
    return;
  }
  auto& sums = this->queues[aQueue];
  for (auto Sums::*sum :
       { &Sums::weight, &Sums::x, &Sums::y, &Sums::xx, &Sums::xy, &Sums::yy }) {
    sums.*sum *= kKeptWeight;
  }
  const auto x = LogMillis(aEstimate);
  const auto y = LogMillis(aActual);
  sums.weight += 1.0;
  sums.x += x;
  sums.y += y;
  sums.xx += x * x;
  sums.xy += x * y;
  sums.yy += y * y;
}

// Linear regression of the logarithms.
auto
DurationModel::Expect(const QueueId& aQueue, Millis aEstimate) const
  -> std::optional<ExpectedDuration>
{
  const auto found = this->queues.find(aQueue);
  if (found == this->queues.end() || found->second.weight < kMinObservations) {
    return std::nullopt;
  }
  const auto& sums = found->second;
  const auto meanX = sums.x / sums.weight;
  const auto meanY = sums.y / sums.weight;
  const auto varianceX = std::max(0.0, sums.xx / sums.weight - meanX * meanX);
  const auto varianceY = std::max(0.0, sums.yy / sums.weight - meanY * meanY);
  const auto covariance = sums.xy / sums.weight - meanX * meanY;
  const auto slope = varianceX < kMinVariance
                       ? 0.0
                       : std::clamp(covariance / varianceX, 0.0, 1.0);
  const auto rest =
    varianceY - 2.0 * slope * covariance + slope * slope * varianceX;
  const auto logMedian =
    std::clamp(meanY + slope * (LogMillis(aEstimate) - meanX), 0.0, kMaxLog);
  return ExpectedDuration{ Millis{ std::llround(std::exp(logMedian)) },
                           std::sqrt(std::max(0.0, rest)) };
}

auto
DurationModel::Export() const -> std::vector<LearnedState::QueueRunTimes>
{
  return this->ExportFrom(0.0);
}

auto
DurationModel::ExportKnown() const -> std::vector<LearnedState::QueueRunTimes>
{
  return this->ExportFrom(kMinObservations);
}

auto
DurationModel::ExportFrom(double aMinWeight) const
  -> std::vector<LearnedState::QueueRunTimes>
{
  auto exported = std::vector<LearnedState::QueueRunTimes>{};
  for (const auto& [queue, sums] : this->queues) {
    if (sums.weight >= aMinWeight) {
      exported.push_back(
        { queue.text,
          { sums.weight, sums.x, sums.y, sums.xx, sums.xy, sums.yy } });
    }
  }
  std::stable_sort(exported.begin(),
                   exported.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.sums.front() > aRight.sums.front();
                   });
  return exported;
}

auto
DurationModel::Import(const LearnedState::QueueRunTimes& aTimes) -> void
{
  const auto& [weight, x, y, xx, xy, yy] = aTimes.sums;
  const auto imported = Sums{ weight, x, y, xx, xy, yy };
  const auto queue = QueueId{ aTimes.queue };
  const auto known = this->queues.find(queue);
  if (!AreValid(imported) ||
      (known == this->queues.end() && this->queues.size() >= kMaxQueues)) {
    return;
  }
  if (known == this->queues.end()) {
    this->queues.emplace(queue, imported);
  } else if (known->second.weight < kMinObservations &&
             known->second.weight < weight) {
    known->second = imported;
  }
}

// Each observation adds a logarithm between 0 and kMaxLog to the sums.
auto
DurationModel::AreValid(const Sums& aSums) -> bool
{
  constexpr double kMaxWeight = 1.0 / (1.0 - kKeptWeight);
  constexpr double kRounding = 1.001;
  const auto isSum = [&aSums](double aSum, double aMax) {
    return std::isfinite(aSum) && aSum >= 0.0 &&
           aSum <= aMax * aSums.weight * kRounding;
  };
  return std::isfinite(aSums.weight) && aSums.weight > 0.0 &&
         aSums.weight <= kMaxWeight * kRounding && isSum(aSums.x, kMaxLog) &&
         isSum(aSums.y, kMaxLog) && isSum(aSums.xx, kMaxLog * kMaxLog) &&
         isSum(aSums.xy, kMaxLog * kMaxLog) &&
         isSum(aSums.yy, kMaxLog * kMaxLog);
}

// The part of the earlier observations' weight that is left.
auto
RelativeRunTime::KeptAt(Time aNow) const -> double
{
  return std::exp2(-std::max(
    0.0,
    std::chrono::duration<double>(aNow - this->updatedAt) / kSpeedHalfLife));
}

auto
RelativeRunTime::Observe(Time aNow, double aLogRatio) -> void
{
  const auto kept = this->KeptAt(aNow);
  this->weight = this->weight * kept + 1.0;
  this->sum = this->sum * kept + aLogRatio;
  this->updatedAt = aNow;
}

auto
RelativeRunTime::FactorAt(Time aNow) const -> double
{
  const auto kept = this->KeptAt(aNow);
  return std::clamp(
    std::exp(this->sum * kept / (this->weight * kept + kPriorWeight)),
    1.0 / kMaxFactor,
    kMaxFactor);
}

} // namespace gooseberry::cells
