#include "adviser.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Delay of a request after so many in a row were of no use.
auto
AdviceRetryDelay(int aFailures) -> Millis
{
  constexpr int kMaxDoublings = 10;
  return std::min(kAdviceRetryDelay *
                    (1 << std::clamp(aFailures - 1, 0, kMaxDoublings)),
                  kMaxAdviceRetryDelay);
}

// How long before its end a ticket is not used any more to place tasks.
auto
MarginOf(Millis aValidFor) -> Millis
{
  return std::min(kMinTicketValidity, aValidFor / 2);
}

} // namespace

auto
ToText(AdviceStatus aStatus) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<int>(AdviceStatus::AdviceStatus_NB)>
    kNames{ "answered", "busy", "rejected", "unanswered" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

auto
AdviceCache::FindTicketOf(const StepName& aStep,
                          const WorkerIncarnation& aWorker) const
  -> const Ticket*
{
  const auto advice = this->adviceByStep.find(aStep);
  if (advice == this->adviceByStep.end()) {
    return nullptr;
  }
  const auto ticket = advice->second.tickets.find(aWorker);
  return ticket == advice->second.tickets.end() ? nullptr : &ticket->second;
}

auto
AdviceCache::FindTicket(Time aNow,
                        const StepName& aStep,
                        const WorkerIncarnation& aWorker) const
  -> const std::string*
{
  const auto* const ticket = this->FindTicketOf(aStep, aWorker);
  return ticket == nullptr || aNow + ticket->margin > ticket->validUntil
           ? nullptr
           : &ticket->text;
}

auto
AdviceCache::FindTicketForStart(Time aNow,
                                const StepName& aStep,
                                const WorkerIncarnation& aWorker) const
  -> const std::string*
{
  const auto* const ticket = this->FindTicketOf(aStep, aWorker);
  return ticket == nullptr || aNow >= ticket->validUntil ? nullptr
                                                         : &ticket->text;
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
AdviceCache::WasAllowed(const StepName& aStep,
                        const WorkerIncarnation& aWorker) const -> bool
{
  return this->FindTicketOf(aStep, aWorker) != nullptr;
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
  const auto retryAt =
    advice == this->adviceByStep.end()
      ? this->overloadedUntil
      : std::max(this->overloadedUntil, advice->second.retryAt);
  if (retryAt > aNow) {
    aRetryAt = std::min(aRetryAt, retryAt);
    return false;
  }
  return advice == this->adviceByStep.end() ||
         advice->second.pendingNumber == 0;
}

auto
AdviceCache::BeginStep(Time aNow, const StepName& aStep)
  -> std::optional<AdviceStall>
{
  auto& advice = this->adviceByStep[aStep];
  // Not asked for in between: its tasks ran.
  if (advice.pendingNumber == 0 &&
      aNow > advice.neededAt + 2 * kMaxAdviceRetryDelay) {
    advice.waitingSince = aNow;
  }
  advice.neededAt = aNow;
  if (aNow < advice.waitingSince + kAdviceStallTime || aNow < advice.reportAt ||
      aNow < this->nextReportAt) {
    return std::nullopt;
  }
  advice.reportAt = aNow + kAdviceStallInterval;
  this->nextReportAt = aNow + kAdviceReportPause;
  auto stall = advice.last;
  stall.cause = this->CauseOf(aNow, aStep, advice);
  stall.waited = ToMillis(aNow - advice.waitingSince);
  return stall;
}

auto
AdviceCache::CauseOf(Time aNow,
                     const StepName& aStep,
                     const StepAdvice& aAdvice) const -> const char*
{
  if (!aAdvice.lastStatus) {
    return aAdvice.pendingNumber != 0 ? "awaited" : "queued";
  }
  if (*aAdvice.lastStatus != AdviceStatus::Answered) {
    return ToText(*aAdvice.lastStatus);
  }
  const auto& tickets = aAdvice.tickets;
  if (std::any_of(tickets.begin(), tickets.end(), [&](const auto& aItem) {
        return this->FindTicket(aNow, aStep, aItem.first) != nullptr;
      })) {
    return "no_room";
  }
  return tickets.empty() && aAdvice.uselessTickets == 0 ? "none_allowed"
                                                        : "tickets_useless";
}

auto
AdviceCache::Rejections(const StepName& aStep) const -> int
{
  const auto advice = this->adviceByStep.find(aStep);
  return advice == this->adviceByStep.end() ? 0 : advice->second.rejections;
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
  if (this->validFromRequest && aTimes.each.count() > 0) {
    // A quarter of the tickets' time is left to place tasks when they arrive.
    const auto time =
      std::max(aTimes.valid * 3 / 4 - MarginOf(aTimes.valid) - aTimes.decide,
               aTimes.each);
    most = std::min(most, static_cast<std::size_t>(time / aTimes.each));
  } else if (aTimes.each.count() > 0) {
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
  if (aResponse.status == AdviceStatus::Overloaded) {
    this->overloadedUntil = aNow + AdviceRetryDelay(++this->overloads);
  } else if (aResponse.status != AdviceStatus::NoResponse) {
    this->overloads = 0;
  }
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
  advice->second.neededAt = aNow;
  advice->second.lastStatus = aResponse.status;
  advice->second.last = { "",
                          Millis{ 0 },
                          request.workers.size(),
                          aResponse.allowed.size(),
                          ToMillis(took),
                          request.timeout,
                          aResponse.validFor };
  if (aResponse.status == AdviceStatus::Answered) {
    advice->second.failures = 0;
    advice->second.rejections = 0;
    this->StoreResponse(aNow, advice->second, request, aResponse);
  } else {
    advice->second.rejections +=
      aResponse.status == AdviceStatus::Rejected ? 1 : 0;
    advice->second.retryAt = aNow + AdviceRetryDelay(++advice->second.failures);
  }
  return request.step;
}

// Tickets are valid from the response on, which was made some time before it
// arrived: after the request, and if the adviser has taken its own time, after
// that. If they would be of no use by this count they may still be by the
// latest one; the workers tell.
auto
AdviceCache::StoreResponse(Time aNow,
                           StepAdvice& aAdvice,
                           const PendingRequest& aRequest,
                           const AdviceResponse& aResponse) -> void
{
  auto tickets = std::map<WorkerId, std::string>{ aResponse.allowed.begin(),
                                                  aResponse.allowed.end() };
  const auto margin = MarginOf(aResponse.validFor);
  const auto validAtLeastUntil = aRequest.sentAt + aResponse.validFor;
  auto validUntil = validAtLeastUntil;
  if (!this->validFromRequest) {
    if (aNow >= aRequest.sentAt + aRequest.expected) {
      validUntil += aRequest.expected;
    }
    if (validUntil < aNow + margin) {
      validUntil = aNow + aResponse.validFor;
    }
  } else if (validUntil < aNow + margin && !tickets.empty()) {
    CountUselessTicket(aNow, aAdvice);
  }
  auto allowedCount = 0;
  for (const auto& incarnation : aRequest.workers) {
    const auto ticket = tickets.find(incarnation.worker);
    if (ticket == tickets.end()) {
      aAdvice.refusedWorkers.insert(incarnation);
      continue;
    }
    ++allowedCount;
    aAdvice.tickets[incarnation] = {
      ticket->second, validUntil, validAtLeastUntil, margin
    };
  }
  const auto fraction =
    static_cast<double>(allowedCount) /
    static_cast<double>(std::max<std::size_t>(aRequest.workers.size(), 1));
  this->allowedFraction +=
    (fraction - this->allowedFraction) * kAllowedFractionGain;
}

auto
AdviceCache::CountUselessTicket(Time aNow, StepAdvice& aAdvice) -> void
{
  if (aNow > aAdvice.uselessAt + 2 * kMaxAdviceRetryDelay) {
    aAdvice.uselessTickets = 0;
  }
  aAdvice.uselessAt = aNow;
  ++aAdvice.uselessTickets;
  // A few are rejected because their worker was restarted.
  constexpr int kFree = 3;
  if (aAdvice.uselessTickets > kFree) {
    aAdvice.retryAt = std::max(
      aAdvice.retryAt, aNow + AdviceRetryDelay(aAdvice.uselessTickets - kFree));
  }
}

auto
AdviceCache::OnTicketRejected(Time aNow,
                              const StepName& aStep,
                              const WorkerIncarnation& aWorker) -> void
{
  const auto advice = this->adviceByStep.find(aStep);
  if (advice == this->adviceByStep.end()) {
    return;
  }
  if (const auto ticket = advice->second.tickets.find(aWorker);
      ticket != advice->second.tickets.end()) {
    this->validFromRequest =
      this->validFromRequest || (aNow > ticket->second.validAtLeastUntil &&
                                 aNow <= ticket->second.validUntil);
    advice->second.tickets.erase(ticket);
  }
  CountUselessTicket(aNow, advice->second);
}

auto
AdviceCache::OnTicketAccepted(Time aNow, const StepName& aStep) -> void
{
  if (const auto advice = this->adviceByStep.find(aStep);
      advice != this->adviceByStep.end()) {
    advice->second.waitingSince = aNow;
    advice->second.uselessTickets = 0;
  }
}

auto
AdviceCache::OnTicketExpired(Time aNow, const StepName& aStep) -> void
{
  if (const auto advice = this->adviceByStep.find(aStep);
      advice != this->adviceByStep.end()) {
    CountUselessTicket(aNow, advice->second);
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
