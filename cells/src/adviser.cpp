#include "adviser.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
ToText(AdviceEnd aEnd) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(AdviceEnd::AdviceEnd_NB)>
    kNames{ "answered", "busy", "rejected", "unanswered" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

auto
Adviser::TicketFor(Time aNow,
                   const StepName& aStep,
                   const WorkerLife& aWorker) const -> const std::string*
{
  const auto known = this->steps.find(aStep);
  if (known == this->steps.end()) {
    return nullptr;
  }
  const auto ticket = known->second.tickets.find(aWorker);
  return ticket == known->second.tickets.end() ||
             aNow + kTicketReserve > ticket->second.until
           ? nullptr
           : &ticket->second.text;
}

auto
Adviser::MayAsk(Time aNow,
                const StepName& aStep,
                const WorkerLife& aWorker) const -> bool
{
  const auto known = this->steps.find(aStep);
  return known == this->steps.end() ||
         (!known->second.refused.contains(aWorker) &&
          this->TicketFor(aNow, aStep, aWorker) == nullptr);
}

auto
Adviser::CanAsk(Time aNow, const StepName& aStep, Time& aAgain) const -> bool
{
  if (this->underWay.size() >= kMostQuestions) {
    return false;
  }
  const auto known = this->steps.find(aStep);
  if (known == this->steps.end()) {
    return true;
  }
  if (known->second.notBefore > aNow) {
    aAgain = std::min(aAgain, known->second.notBefore);
    return false;
  }
  return known->second.asked == 0;
}

auto
Adviser::WorkersFor(std::size_t aWanted) const -> std::size_t
{
  const auto named = std::ceil(static_cast<double>(aWanted) /
                               std::max(this->allowedPart, kLeastAllowedPart));
  return std::clamp(
    static_cast<std::size_t>(named), kLeastAdvised, kMostAdvised);
}

auto
Adviser::Ask(Time aNow,
             const StepName& aStep,
             const std::vector<WorkerLife>& aWorkers) -> AdviceQuestion
{
  auto question = AdviceQuestion{ ++this->lastQuestion, aStep };
  question.timeout = kAdviceTimeout;
  for (const auto& life : aWorkers) {
    question.workers.push_back(life.worker);
  }
  this->steps[aStep].asked = question.number;
  this->underWay.emplace(question.number, Asked{ aStep, aWorkers, aNow });
  return question;
}

auto
Adviser::OnAnswer(Time aNow, const AdviceAnswer& aAnswer)
  -> std::optional<StepName>
{
  const auto found = this->underWay.find(aAnswer.number);
  if (found == this->underWay.end()) {
    return std::nullopt;
  }
  const auto asked = std::move(found->second);
  this->underWay.erase(found);
  const auto known = this->steps.find(asked.step);
  if (known == this->steps.end() || known->second.asked != aAnswer.number) {
    return std::nullopt;
  }
  known->second.asked = 0;
  if (aAnswer.end == AdviceEnd::Answered) {
    this->Learn(known->second, asked, aAnswer);
  } else {
    known->second.notBefore = aNow + kAdviceRetry;
  }
  return asked.step;
}

// Validity counts from the question on: when the answer was made is not known.
auto
Adviser::Learn(Knowledge& aKnown,
               const Asked& aAsked,
               const AdviceAnswer& aAnswer) -> void
{
  auto allowed = std::map<WorkerId, std::string>{ aAnswer.allowed.begin(),
                                                  aAnswer.allowed.end() };
  auto count = 0;
  for (const auto& life : aAsked.workers) {
    const auto ticket = allowed.find(life.worker);
    if (ticket == allowed.end()) {
      aKnown.refused.insert(life);
      continue;
    }
    ++count;
    aKnown.tickets[life] = { ticket->second, aAsked.at + aAnswer.validFor };
  }
  const auto part =
    static_cast<double>(count) /
    static_cast<double>(std::max<std::size_t>(aAsked.workers.size(), 1));
  this->allowedPart += (part - this->allowedPart) * kAllowedGain;
}

auto
Adviser::OnRefused(const StepName& aStep, const WorkerLife& aWorker) -> void
{
  if (const auto known = this->steps.find(aStep); known != this->steps.end()) {
    known->second.tickets.erase(aWorker);
  }
}

auto
Adviser::Drop(const JobId& aJob) -> void
{
  const auto first = this->steps.lower_bound({ aJob });
  auto end = first;
  while (end != this->steps.end() && end->first.job == aJob) {
    ++end;
  }
  this->steps.erase(first, end);
}

} // namespace gooseberry::cells
