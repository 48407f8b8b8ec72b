#include "prospects.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace gooseberry::cells {

namespace {

// Remaining work per value of the job. Favours jobs that have begun over those
// that have not. The value is the total work plus a fixed part, which gives
// small jobs a little more value for their work.
auto
CostOf(const Candidate& aCandidate, double aMeanWork) -> double
{
  constexpr double kFixedPart = 0.3;
  return aCandidate.workLeft /
         (kFixedPart * aMeanWork + (1.0 - kFixedPart) * aCandidate.work);
}

auto
ProspectAfter(Time aNow, const Candidate& aCandidate) -> Prospect
{
  return aNow + aCandidate.chainLeft <= aCandidate.lateObjective
           ? Prospect::Late
           : Prospect::Hopeless;
}

} // namespace

// Weighted variant of the Moore-Hodgson algorithm: jobs are added by objective;
// whenever one would miss it, the job with the highest cost among those added
// is dropped.
auto
ProspectsOf(Time aNow, double aCores, const std::vector<Candidate>& aCandidates)
  -> std::vector<Prospect>
{
  auto prospects = std::vector<Prospect>(aCandidates.size(), Prospect::InTime);
  auto order = std::vector<std::size_t>(aCandidates.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aCandidates[aLeft].objective < aCandidates[aRight].objective;
  });
  const auto meanWork =
    std::accumulate(aCandidates.begin(),
                    aCandidates.end(),
                    0.0,
                    [](double aSum, const Candidate& aCandidate) {
                      return aSum + aCandidate.work;
                    }) /
    std::max(1.0, static_cast<double>(aCandidates.size()));
  auto kept = std::set<std::pair<double, std::size_t>>{};
  auto work = 0.0;
  for (const auto index : order) {
    const auto& candidate = aCandidates[index];
    if (aNow + candidate.chainLeft > candidate.objective) {
      prospects[index] = ProspectAfter(aNow, candidate);
      continue;
    }
    kept.emplace(CostOf(candidate, meanWork), index);
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
    prospects[dropped] = ProspectAfter(aNow, aCandidates[dropped]);
  }
  return prospects;
}

} // namespace gooseberry::cells
