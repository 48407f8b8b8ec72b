#include "outcomes.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace gooseberry::cells {

namespace {

// Remaining work per value of the job. Favours jobs that have begun over those
// that have not. The value is the total work plus a fixed part, which gives
// small jobs a little more value for their work.
auto
CostPerValue(const OutcomeCandidate& aCandidate, double aMeanWork) -> double
{
  constexpr double kFixedPart = 0.3;
  return aCandidate.workLeft /
         (kFixedPart * aMeanWork + (1.0 - kFixedPart) * aCandidate.totalWork);
}

auto
OutcomeIfDropped(Time aNow, const OutcomeCandidate& aCandidate)
  -> ExpectedOutcome
{
  return aNow + aCandidate.criticalPathLeft <= aCandidate.lateObjective
           ? ExpectedOutcome::Late
           : ExpectedOutcome::NoUse;
}

} // namespace

// Weighted variant of the Moore-Hodgson algorithm: jobs are added by objective;
// whenever one would miss it, the job with the highest cost among those added
// is dropped.
auto
PredictOutcomes(Time aNow,
                double aCores,
                const std::vector<OutcomeCandidate>& aCandidates)
  -> std::vector<ExpectedOutcome>
{
  auto prospects =
    std::vector<ExpectedOutcome>(aCandidates.size(), ExpectedOutcome::OnTime);
  auto order = std::vector<std::size_t>(aCandidates.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aCandidates[aLeft].objective < aCandidates[aRight].objective;
  });
  const auto meanWork =
    std::accumulate(aCandidates.begin(),
                    aCandidates.end(),
                    0.0,
                    [](double aSum, const OutcomeCandidate& aCandidate) {
                      return aSum + aCandidate.totalWork;
                    }) /
    std::max(1.0, static_cast<double>(aCandidates.size()));
  auto kept = std::set<std::pair<double, std::size_t>>{};
  auto work = 0.0;
  for (const auto index : order) {
    const auto& candidate = aCandidates[index];
    if (aNow + candidate.criticalPathLeft > candidate.objective) {
      prospects[index] = OutcomeIfDropped(aNow, candidate);
      continue;
    }
    kept.emplace(CostPerValue(candidate, meanWork), index);
    work += candidate.workLeft;
    const auto duration = std::chrono::duration_cast<Micros>(
      std::chrono::duration<double, std::milli>(work / std::max(1.0, aCores)));
    if (aNow + duration <= candidate.objective) {
      continue;
    }
    const auto costliest = std::prev(kept.end());
    const auto dropped = costliest->second;
    kept.erase(costliest);
    work -= aCandidates[dropped].workLeft;
    prospects[dropped] = OutcomeIfDropped(aNow, aCandidates[dropped]);
  }
  return prospects;
}

} // namespace gooseberry::cells
