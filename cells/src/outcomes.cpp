#include "outcomes.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace gooseberry::cells {

namespace {

// A dropped job is kept again only if it would end in time with this much more
// work ahead of it. Estimates of the remaining work change with each report.
constexpr double kReturnMargin = 1.1;

auto
CanEndBy(Time aNow, const OutcomeCandidate& aCandidate, Time aDeadline) -> bool
{
  return aNow + aCandidate.criticalPathLeft <= aDeadline;
}

// State of one prediction.
struct Prediction
{
  Time now{};
  double cores = 1.0;
  double meanWork = 0.0;
  const std::vector<OutcomeCandidate>& candidates;
  // Work that runs before that of the candidates that are looked at next.
  double work = 0.0;

  auto TimeFor(double aWork) const -> Micros
  {
    return std::chrono::duration_cast<Micros>(
      std::chrono::duration<double, std::milli>(aWork / this->cores));
  }

  // Weighted variant of the Moore-Hodgson algorithm: jobs are added by
  // deadline; whenever one would miss it, the job with the highest cost among
  // those added is dropped. Returns the dropped ones. The work of the others is
  // added to this->work.
  auto Keep(std::vector<std::size_t> aIndices,
            Time OutcomeCandidate::*aDeadline) -> std::vector<std::size_t>
  {
    std::sort(aIndices.begin(), aIndices.end(), [&](auto aLeft, auto aRight) {
      return this->candidates[aLeft].*aDeadline <
             this->candidates[aRight].*aDeadline;
    });
    auto dropped = std::vector<std::size_t>{};
    auto kept = std::set<std::pair<double, std::size_t>>{};
    for (const auto index : aIndices) {
      const auto& candidate = this->candidates[index];
      const auto deadline = candidate.*aDeadline;
      if (!CanEndBy(this->now, candidate, deadline)) {
        dropped.push_back(index);
        continue;
      }
      const auto total = this->work + candidate.workLeft;
      if (candidate.wasDropped &&
          this->now + this->TimeFor(total * kReturnMargin) > deadline) {
        dropped.push_back(index);
        continue;
      }
      kept.emplace(CostPerValue(candidate, this->meanWork), index);
      this->work = total;
      if (this->now + this->TimeFor(this->work) <= deadline) {
        continue;
      }
      const auto costliest = std::prev(kept.end());
      dropped.push_back(costliest->second);
      this->work -= this->candidates[costliest->second].workLeft;
      kept.erase(costliest);
    }
    return dropped;
  }
};

} // namespace

auto
CostPerValue(const OutcomeCandidate& aCandidate, double aMeanWork) -> double
{
  constexpr double kFixedPart = 0.3;
  return aCandidate.workLeft /
         std::max(1.0,
                  kFixedPart * aMeanWork +
                    (1.0 - kFixedPart) * aCandidate.totalWork);
}

auto
MeanWork(const std::vector<OutcomeCandidate>& aCandidates) -> double
{
  const auto total =
    std::accumulate(aCandidates.begin(),
                    aCandidates.end(),
                    0.0,
                    [](double aSum, const OutcomeCandidate& aCandidate) {
                      return aSum + aCandidate.totalWork;
                    });
  return total / std::max(1.0, static_cast<double>(aCandidates.size()));
}

auto
LateObjective(Time aDueAt, Time aObjective) -> Time
{
  constexpr int kLateFactor = 3;
  return aDueAt + (aObjective - aDueAt) * kLateFactor;
}

auto
PredictOutcomes(Time aNow,
                double aCores,
                const std::vector<OutcomeCandidate>& aCandidates)
  -> std::vector<ExpectedOutcome>
{
  auto outcomes =
    std::vector<ExpectedOutcome>(aCandidates.size(), ExpectedOutcome::OnTime);
  auto byPriority = std::map<int, std::vector<std::size_t>>{};
  for (auto index = std::size_t{ 0 }; index < aCandidates.size(); ++index) {
    byPriority[aCandidates[index].priority].push_back(index);
  }
  auto prediction = Prediction{
    aNow, std::max(1.0, aCores), MeanWork(aCandidates), aCandidates
  };
  for (auto& [priority, indices] : byPriority) {
    const auto late =
      prediction.Keep(std::move(indices), &OutcomeCandidate::objective);
    for (const auto index : late) {
      outcomes[index] = ExpectedOutcome::Late;
    }
    for (const auto index :
         prediction.Keep(late, &OutcomeCandidate::lateObjective)) {
      outcomes[index] = ExpectedOutcome::NoUse;
    }
  }
  return outcomes;
}

auto
LacksCapacity(Time aNow,
              const OutcomeCandidate& aCandidate,
              ExpectedOutcome aOutcome) -> bool
{
  return aOutcome == ExpectedOutcome::NoUse &&
         CanEndBy(aNow, aCandidate, aCandidate.lateObjective);
}

} // namespace gooseberry::cells
