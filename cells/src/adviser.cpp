#include "adviser.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

auto
ToText(AdviceStatus aStatus) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<int>(AdviceStatus::AdviceStatus_NB)>
    kNames{ "answered", "busy", "rejected", "unanswered" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

auto
AdviceCache::FindTicket(Time aNow,
                        const StepName& aStep,
                        const WorkerIncarnation& aWorker) const
  -> const std::string*
{
  const auto advice = this->adviceByStep.find(aStep);
  if (advice == this->adviceByStep.end()) {
    return nullptr;
  }
  const auto ticket = advice->second.tickets.find(aWorker);
  return ticket == advice->second.tickets.end() ||
             aNow + kMinTicketValidity > ticket->second.validUntil
           ? nullptr
           : &ticket->second.text;
}

auto
AdviceCache::MayGainTicket(Time aNow,
                           const StepName& aStep,
                           const WorkerIncarnation& aWorker) const -> bool
{
  const auto advice = this->adviceByStep.find(aStep);
  return advice == this->adviceByStep.end() ||
         (!advice->second.refusedWorkers.contains(aWorker) &&
          this->FindTicket(aNow, aStep, aWorker) == nullptr);
}

auto
AdviceCache::CanSendRequest(Time aNow,
                            const StepName& aStep,
                            Time& aRetryAt) const -> bool
{
  if (this->pendingRequests.size() >= kMaxAdviceRequests) {
    return false;
  }
  const auto advice = this->adviceByStep.find(aStep);
  if (advice == this->adviceByStep.end()) {
    return true;
  }
  if (advice->second.retryAt > aNow) {
    aRetryAt = std::min(aRetryAt, advice->second.retryAt);
    return false;
  }
  return advice->second.pendingNumber == 0;
}

auto
AdviceCache::RequestSize(std::size_t aWanted,
                         const AdviceTimes& aTimes,
                         bool aTogether) const -> std::size_t
{
  const auto count = static_cast<std::size_t>(
    std::ceil(static_cast<double>(aWanted) /
              std::max(this->allowedFraction, kMinAllowedFraction)));
  const auto wanted = std::clamp(count, kMinAdviceWorkers, kMaxAdviceWorkers);
  if (aTogether) {
    return wanted;
  }
  auto most = this->maxWorkers;
  if (aTimes.each.count() > 0) {
    // At least as long as the part that each request costs again.
    const auto time = std::max(kMaxAdviceTime - aTimes.decide, aTimes.decide);
    most = std::min(most,
                    std::max(kMinAdviceWorkers,
                             static_cast<std::size_t>(time / aTimes.each)));
  }
  return std::min(wanted, most);
}

auto
AdviceCache::MakeRequest(Time aNow,
                         const StepName& aStep,
                         const std::vector<WorkerIncarnation>& aWorkers,
                         const AdviceTimes& aTimes,
                         bool aTogether) -> AdviceRequest
{
  auto request = AdviceRequest{ ++this->lastRequestNumber, aStep };
  request.expected = aTimes.TimeFor(aWorkers.size());
  request.timeout = (request.expected + kAdviceSlack) * this->patience;
  for (const auto& incarnation : aWorkers) {
    request.workers.push_back(incarnation.worker);
  }
  this->adviceByStep[aStep].pendingNumber = request.number;
  this->pendingRequests.emplace(
    request.number,
    PendingRequest{
      aStep, aWorkers, aNow, request.expected, request.timeout, aTogether });
  return request;
}

auto
AdviceCache::LearnFromResponse(const PendingRequest& aRequest, Micros aTook)
  -> void
{
  if (aTook * 2 > aRequest.timeout) {
    return;
  }
  this->patience = std::max(this->patience / 2, 1);
  this->maxWorkers = std::min(this->maxWorkers * 2, kMaxAdviceWorkers);
}

// The adviser may still be at work on the request, and its answer is lost. The
// same request again would end likewise.
auto
AdviceCache::LearnFromTimeout(const PendingRequest& aRequest) -> void
{
  const auto asked = aRequest.workers.size();
  if (!aRequest.together && asked > kMinAdviceWorkers) {
    this->maxWorkers =
      std::max(std::min(asked, this->maxWorkers) / 2, kMinAdviceWorkers);
  } else {
    this->patience = std::min(this->patience * 2, kMaxAdvicePatience);
  }
}

auto
AdviceCache::OnResponse(Time aNow, const AdviceResponse& aResponse)
  -> std::optional<StepName>
{
  const auto found = this->pendingRequests.find(aResponse.number);
  if (found == this->pendingRequests.end()) {
    return std::nullopt;
  }
  const auto request = std::move(found->second);
  this->pendingRequests.erase(found);
  const auto took = aNow - request.sentAt;
  if (aResponse.status == AdviceStatus::Answered) {
    this->LearnFromResponse(request, took);
  } else if (aResponse.status == AdviceStatus::NoResponse &&
             took >= request.timeout) {
    this->LearnFromTimeout(request);
  }
  const auto advice = this->adviceByStep.find(request.step);
  if (advice == this->adviceByStep.end() ||
      advice->second.pendingNumber != aResponse.number) {
    return std::nullopt;
  }
  advice->second.pendingNumber = 0;
  if (aResponse.status == AdviceStatus::Answered) {
    this->StoreResponse(advice->second, request, aResponse);
  } else {
    advice->second.retryAt = aNow + kAdviceRetryDelay;
  }
  return request.step;
}

// Validity is counted from the request, because it is not known when the
// response was made.
auto
AdviceCache::StoreResponse(StepAdvice& aAdvice,
                           const PendingRequest& aRequest,
                           const AdviceResponse& aResponse) -> void
{
  auto tickets = std::map<WorkerId, std::string>{ aResponse.allowed.begin(),
                                                  aResponse.allowed.end() };
  auto allowedCount = 0;
  for (const auto& incarnation : aRequest.workers) {
    const auto ticket = tickets.find(incarnation.worker);
    if (ticket == tickets.end()) {
      aAdvice.refusedWorkers.insert(incarnation);
      continue;
    }
    ++allowedCount;
    aAdvice.tickets[incarnation] = { ticket->second,
                                     aRequest.sentAt + aResponse.validFor };
  }
  const auto fraction =
    static_cast<double>(allowedCount) /
    static_cast<double>(std::max<std::size_t>(aRequest.workers.size(), 1));
  this->allowedFraction +=
    (fraction - this->allowedFraction) * kAllowedFractionGain;
}

auto
AdviceCache::OnTicketRejected(const StepName& aStep,
                              const WorkerIncarnation& aWorker) -> void
{
  if (const auto advice = this->adviceByStep.find(aStep);
      advice != this->adviceByStep.end()) {
    advice->second.tickets.erase(aWorker);
  }
}

auto
AdviceCache::ForgetJob(const JobId& aJob) -> void
{
  const auto first = this->adviceByStep.lower_bound({ aJob });
  auto end = first;
  while (end != this->adviceByStep.end() && end->first.job == aJob) {
    ++end;
  }
  this->adviceByStep.erase(first, end);
}

} // namespace gooseberry::cells
