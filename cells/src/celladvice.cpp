// Steps that may run only where an adviser allows it: a task starts only on a
// worker for which the adviser issued a ticket, and the adviser is asked about
// the workers on which tasks would start.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
LifeOf(const WorkerSlot& aSlot) -> WorkerLife
{
  return { aSlot.entry.id, aSlot.entry.bornUnixMs };
}

} // namespace

auto
Cell::IsAllowed(Time aNow,
                const WorkerSlot& aSlot,
                const PlacementQuery& aQuery) const -> bool
{
  return !aQuery.job->row.policy.advised ||
         this->adviser.TicketFor(aNow, aQuery.name, LifeOf(aSlot)) != nullptr;
}

// Asks about the workers with the highest score, of those without an answer or
// with an expired ticket.
auto
Cell::AskAdvice(PlacementRound& aRound,
                const PlacementQuery& aQuery,
                std::size_t aTasks) -> void
{
  if (!this->adviser.CanAsk(aRound.now, aQuery.name, this->planAgain)) {
    return;
  }
  auto candidates = std::vector<std::pair<double, const WorkerSlot*>>{};
  for (const auto* const slot : aRound.open) {
    if (!this->adviser.MayAsk(aRound.now, aQuery.name, LifeOf(*slot))) {
      continue;
    }
    if (const auto pace = this->PaceThere(aRound, *slot, aQuery)) {
      candidates.emplace_back(this->Score(*slot, aQuery, *pace), slot);
    }
  }
  if (candidates.empty()) {
    this->planAgain = std::min(this->planAgain, aRound.now + kAdviceRetry);
    return;
  }
  const auto count =
    std::min(candidates.size(), this->adviser.WorkersFor(aTasks));
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  auto lives = std::vector<WorkerLife>{};
  for (auto index = std::size_t{ 0 }; index < count; ++index) {
    lives.push_back(LifeOf(*candidates[index].second));
  }
  this->questions.push_back(this->adviser.Ask(aRound.now, aQuery.name, lives));
}

auto
Cell::TakeQuestions() -> std::vector<AdviceQuestion>
{
  return std::exchange(this->questions, {});
}

auto
Cell::OnAdvice(Time aNow, const AdviceAnswer& aAnswer) -> void
{
  const auto step = this->adviser.OnAnswer(aNow, aAnswer);
  if (!step) {
    return;
  }
  this->planNeeded = true;
  if (aAnswer.end != AdviceEnd::Answered || this->log.Follows(step->job)) {
    this->log.Write("advised",
                    { { "step", ToText(*step) },
                      { "end", ToText(aAnswer.end) },
                      { "allowed", std::to_string(aAnswer.allowed.size()) },
                      { "valid_ms", std::to_string(aAnswer.validFor.count()) },
                      { "reason", aAnswer.reason } });
  }
}

auto
Cell::TicketOf(Time aNow, const TaskName& aTask, const WorkerSlot& aSlot) const
  -> std::string
{
  const auto* const ticket =
    this->adviser.TicketFor(aNow, StepOf(aTask), LifeOf(aSlot));
  return ticket == nullptr ? std::string{} : *ticket;
}

auto
Cell::OnTicketRefused(const TaskName& aTask, const WorkerSlot& aSlot) -> void
{
  this->adviser.OnRefused(StepOf(aTask), LifeOf(aSlot));
}

} // namespace gooseberry::cells
