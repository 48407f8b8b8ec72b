// Steps that may run only where an adviser allows it: a task starts only on a
// worker for which the adviser issued a ticket, and the adviser is asked about
// the workers on which tasks would start.

#include <algorithm>
#include <tuple>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
IncarnationOf(const WorkerSlot& aSlot) -> WorkerIncarnation
{
  return { aSlot.entry.id, aSlot.entry.startUnixMs };
}

// Each rejection halves the request.
auto
SizeAfterRejections(std::size_t aSize, int aRejections) -> std::size_t
{
  constexpr int kMaxHalvings = 7;
  return std::max<std::size_t>(aSize >> std::min(aRejections, kMaxHalvings), 1);
}

} // namespace

auto
Cell::IsAllowedByAdviser(Time aNow,
                         const WorkerSlot& aSlot,
                         const PlacementQuery& aQuery) const -> bool
{
  return !aQuery.job->row.policy.requiresAdvice ||
         this->adviser.FindTicket(
           aNow, aQuery.stepName, IncarnationOf(aSlot)) != nullptr;
}

// Asks about the workers with the highest score, of those without an answer or
// with an expired ticket.
auto
Cell::RequestAdvice(PlacementRound& aRound,
                    const PlacementQuery& aQuery,
                    std::size_t aTasks) -> void
{
  if (const auto stall = this->adviser.BeginStep(aRound.now, aQuery.stepName)) {
    this->ReportAdviceStall(aQuery.stepName, *stall);
  }
  if (!this->adviser.CanSendRequest(
        aRound.now, aQuery.stepName, this->nextPlanAt)) {
    return;
  }
  const auto times = this->AdviceTimesOf(*aQuery.job);
  const auto together = aQuery.step->gang;
  const auto rejections = this->adviser.Rejections(aQuery.stepName);
  const auto size = SizeAfterRejections(
    this->adviser.RequestSize(aTasks, times, together), rejections);
  // The tickets of a gang have to be valid at the same time, so that those that
  // expire before the response are requested again with it.
  const auto neededAt =
    together ? aRound.now + times.TimeFor(size) : aRound.now;
  struct Candidate
  {
    bool wasAllowed = false;
    double score = 0.0;
    const WorkerSlot* slot = nullptr;
  };
  auto candidates = std::vector<Candidate>{};
  for (const auto* const slot : aRound.usableWorkers) {
    if (!this->adviser.MayGainTicket(
          neededAt, aQuery.stepName, IncarnationOf(*slot))) {
      continue;
    }
    if (const auto pace = this->FeasiblePace(aRound, *slot, aQuery)) {
      candidates.push_back(
        { together &&
            this->adviser.WasAllowed(aQuery.stepName, IncarnationOf(*slot)),
          this->ScoreWorker(*slot, aQuery, *pace),
          slot });
    }
  }
  if (candidates.empty()) {
    this->nextPlanAt =
      std::min(this->nextPlanAt, aRound.now + kAdviceRetryDelay);
    return;
  }
  const auto count = std::min(candidates.size(), size);
  // The adviser may reject a request because of one worker that it names.
  const auto first =
    static_cast<std::size_t>(rejections) % (candidates.size() - count + 1);
  std::partial_sort(candidates.begin(),
                    candidates.begin() +
                      static_cast<std::ptrdiff_t>(first + count),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return std::tie(aLeft.wasAllowed, aLeft.score) >
                             std::tie(aRight.wasAllowed, aRight.score);
                    });
  auto lives = std::vector<WorkerIncarnation>{};
  for (auto index = first; index < first + count; ++index) {
    lives.push_back(IncarnationOf(*candidates[index].slot));
  }
  this->adviceRequests.push_back(this->adviser.MakeRequest(
    aRound.now, aQuery.stepName, lives, times, together));
}

auto
Cell::ReportAdviceStall(const StepName& aStep, const AdviceStall& aStall)
  -> void
{
  this->CountEvent(CellEvent::AdviceStalled);
  this->log.Write("advice_stalled",
                  { { "step", ToText(aStep) },
                    { "why", aStall.cause },
                    { "waited_ms", std::to_string(aStall.waited.count()) },
                    { "asked", std::to_string(aStall.asked) },
                    { "allowed", std::to_string(aStall.allowed) },
                    { "took_ms", std::to_string(aStall.took.count()) },
                    { "limit_ms", std::to_string(aStall.timeout.count()) },
                    { "valid_ms", std::to_string(aStall.validFor.count()) } });
}

// Those of the configuration in force, which a job's row does not have.
auto
Cell::AdviceTimesOf(const Job& aJob) const -> AdviceTimes
{
  const auto* const queue =
    this->config ? this->config->FindQueue(aJob.row.queue) : nullptr;
  return queue == nullptr ? AdviceTimes{} : queue->policy.adviceTimes;
}

auto
Cell::TakeAdviceRequests() -> std::vector<AdviceRequest>
{
  return std::exchange(this->adviceRequests, {});
}

auto
Cell::OnAdvice(Time aNow, const AdviceResponse& aAnswer) -> void
{
  const auto step = this->adviser.OnResponse(aNow, aAnswer);
  if (!step) {
    return;
  }
  this->planNeeded = true;
  if (aAnswer.status != AdviceStatus::Answered ||
      this->log.IsSampled(step->job)) {
    this->log.Write("advised",
                    { { "step", ToText(*step) },
                      { "end", ToText(aAnswer.status) },
                      { "allowed", std::to_string(aAnswer.allowed.size()) },
                      { "valid_ms", std::to_string(aAnswer.validFor.count()) },
                      { "reason", aAnswer.reason } });
  }
}

auto
Cell::TicketForStart(Time aNow, const TaskName& aTask, const WorkerSlot& aSlot)
  -> std::optional<std::string>
{
  const auto* const ticket =
    this->adviser.FindTicketForStart(aNow, StepOf(aTask), IncarnationOf(aSlot));
  if (ticket == nullptr) {
    this->adviser.OnTicketExpired(aNow, StepOf(aTask));
    return std::nullopt;
  }
  return *ticket;
}

auto
Cell::OnTicketRefused(Time aNow, const TaskName& aTask, const WorkerSlot& aSlot)
  -> void
{
  this->adviser.OnTicketRejected(aNow, StepOf(aTask), IncarnationOf(aSlot));
}

} // namespace gooseberry::cells
