#include "adviser.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
ToText(AdviceEnd aStatus) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(AdviceEnd::AdviceEnd_NB)>
    kNames{ "answered", "busy", "rejected", "unanswered" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

auto
Adviser::TicketFor(Time aNow,
                   const StepName& aStep,
                   const WorkerLife& aWorker) const -> const std::string*
{
  const auto advice = this->steps.find(aStep);
  if (advice == this->steps.end()) {
    return nullptr;
  }
  const auto ticket = advice->second.tickets.find(aWorker);
  return ticket == advice->second.tickets.end() ||
             aNow + kTicketReserve > ticket->second.until
           ? nullptr
           : &ticket->second.text;
}

auto
Adviser::MayAsk(Time aNow,
                const StepName& aStep,
                const WorkerLife& aWorker) const -> bool
{
  const auto advice = this->steps.find(aStep);
  return advice == this->steps.end() ||
         (!advice->second.refused.contains(aWorker) &&
          this->TicketFor(aNow, aStep, aWorker) == nullptr);
}

auto
Adviser::CanAsk(Time aNow, const StepName& aStep, Time& aRetryAt) const -> bool
{
  if (this->underWay.size() >= kMostQuestions) {
    return false;
  }
  const auto advice = this->steps.find(aStep);
  if (advice == this->steps.end()) {
    return true;
  }
  if (advice->second.notBefore > aNow) {
    aRetryAt = std::min(aRetryAt, advice->second.notBefore);
    return false;
  }
  return advice->second.asked == 0;
}

auto
Adviser::WorkersFor(std::size_t aWanted) const -> std::size_t
{
  const auto count = std::ceil(static_cast<double>(aWanted) /
                               std::max(this->allowedPart, kLeastAllowedPart));
  return std::clamp(
    static_cast<std::size_t>(count), kLeastAdvised, kMostAdvised);
}

auto
Adviser::Ask(Time aNow,
             const StepName& aStep,
             const std::vector<WorkerLife>& aWorkers) -> AdviceQuestion
{
  auto request = AdviceQuestion{ ++this->lastQuestion, aStep };
  request.timeout = kAdviceTimeout;
  for (const auto& incarnation : aWorkers) {
    request.workers.push_back(incarnation.worker);
  }
  this->steps[aStep].asked = request.number;
  this->underWay.emplace(request.number, Asked{ aStep, aWorkers, aNow });
  return request;
}

auto
Adviser::OnAnswer(Time aNow, const AdviceAnswer& aResponse)
  -> std::optional<StepName>
{
  const auto found = this->underWay.find(aResponse.number);
  if (found == this->underWay.end()) {
    return std::nullopt;
  }
  const auto request = std::move(found->second);
  this->underWay.erase(found);
  const auto advice = this->steps.find(request.step);
  if (advice == this->steps.end() || advice->second.asked != aResponse.number) {
    return std::nullopt;
  }
  advice->second.asked = 0;
  if (aResponse.end == AdviceEnd::Answered) {
    this->Learn(advice->second, request, aResponse);
  } else {
    advice->second.notBefore = aNow + kAdviceRetry;
  }
  return request.step;
}

// Validity is counted from the request, because it is not known when the
// response was made.
auto
Adviser::Learn(Knowledge& aAdvice,
               const Asked& aRequest,
               const AdviceAnswer& aResponse) -> void
{
  auto tickets = std::map<WorkerId, std::string>{ aResponse.allowed.begin(),
                                                  aResponse.allowed.end() };
  auto allowedCount = 0;
  for (const auto& incarnation : aRequest.workers) {
    const auto ticket = tickets.find(incarnation.worker);
    if (ticket == tickets.end()) {
      aAdvice.refused.insert(incarnation);
      continue;
    }
    ++allowedCount;
    aAdvice.tickets[incarnation] = { ticket->second,
                                     aRequest.at + aResponse.validFor };
  }
  const auto fraction =
    static_cast<double>(allowedCount) /
    static_cast<double>(std::max<std::size_t>(aRequest.workers.size(), 1));
  this->allowedPart += (fraction - this->allowedPart) * kAllowedGain;
}

auto
Adviser::OnRefused(const StepName& aStep, const WorkerLife& aWorker) -> void
{
  if (const auto advice = this->steps.find(aStep);
      advice != this->steps.end()) {
    advice->second.tickets.erase(aWorker);
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
