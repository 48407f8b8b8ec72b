#ifndef GOOSEBERRY_ADVISER_H
#define GOOSEBERRY_ADVISER_H

// What a cell knows from the adviser: tickets, which expire, and refusals,
// which hold for one incarnation of a worker. Also decides what to request
// next: the adviser handles one request after the other and takes longer the
// more workers a request names.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "advice.h"
#include "jobspec.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

// One incarnation of a worker, from its start on.
struct WorkerIncarnation
{
  WorkerId worker;
  std::int64_t startUnixMs = 0;

  auto operator<=>(const WorkerIncarnation&) const = default;
};

// Why a step has not started on any ticket for some time.
struct AdviceStall
{
  // As in the log: "awaited", "queued", "busy", "rejected", "unanswered",
  // "none_allowed", "tickets_useless" or "no_room".
  const char* cause = "";
  Millis waited{ 0 };
  // Of the last request: the workers that it named and those of them that may
  // run the step, how long it took, how long it may take, and the validity of
  // its tickets.
  std::size_t asked = 0;
  std::size_t allowed = 0;
  Millis took{ 0 };
  Millis timeout{ 0 };
  Millis validFor{ 0 };
};

class AdviceCache
{
public:
  // The ticket by which the step's tasks may be placed on the worker; null if
  // there is none that stays valid until a start has arrived.
  auto FindTicket(Time aNow,
                  const StepName& aStep,
                  const WorkerIncarnation& aWorker) const -> const std::string*;
  // The ticket to send with a start; null if there is none that is valid now.
  auto FindTicketForStart(Time aNow,
                          const StepName& aStep,
                          const WorkerIncarnation& aWorker) const
    -> const std::string*;
  // Whether a request for the worker may bring a ticket: it was not refused and
  // has no ticket that is usable at aNow.
  auto MayGainTicket(Time aNow,
                     const StepName& aStep,
                     const WorkerIncarnation& aWorker) const -> bool;
  // Whether the worker had a ticket, which may have expired.
  auto WasAllowed(const StepName& aStep, const WorkerIncarnation& aWorker) const
    -> bool;
  // Whether a request for the step can be sent now. If not and the time is
  // known, lowers aRetryAt to the time at which it can.
  auto CanSendRequest(Time aNow, const StepName& aStep, Time& aRetryAt) const
    -> bool;
  // The step needs advice. What stalls it, if it has not started for long; at
  // most once a second for all steps, and every 10 s for each.
  auto BeginStep(Time aNow, const StepName& aStep)
    -> std::optional<AdviceStall>;
  // How many requests in a row the adviser has rejected for the step.
  auto Rejections(const StepName& aStep) const -> int;
  // How many workers to name in a request so that about aWanted of them may run
  // the step, and others' requests do not wait for long behind it. aTogether:
  // the step's tasks start together or not at all, so that one request has to
  // bring all tickets.
  auto RequestSize(std::size_t aWanted,
                   const AdviceTimes& aTimes,
                   bool aTogether) const -> std::size_t;
  auto MakeRequest(Time aNow,
                   const StepName& aStep,
                   const std::vector<WorkerIncarnation>& aWorkers,
                   const AdviceTimes& aTimes,
                   bool aTogether) -> AdviceRequest;
  // The step that was requested; nothing if it is not known any more.
  auto OnResponse(Time aNow, const AdviceResponse& aResponse)
    -> std::optional<StepName>;
  // The worker rejected the ticket, which is discarded.
  auto OnTicketRejected(Time aNow,
                        const StepName& aStep,
                        const WorkerIncarnation& aWorker) -> void;
  auto OnTicketAccepted(Time aNow, const StepName& aStep) -> void;
  // The ticket expired before a start could be sent with it.
  auto OnTicketExpired(Time aNow, const StepName& aStep) -> void;
  // Forgets a job that has ended.
  auto ForgetJob(const JobId& aJob) -> void;

private:
  struct Ticket
  {
    std::string text;
    Time validUntil{};
    // The same if it was issued when the request was sent.
    Time validAtLeastUntil{};
    // How long before its end it is not used any more to place tasks.
    Millis margin{ 0 };
  };

  struct StepAdvice
  {
    std::map<WorkerIncarnation, Ticket> tickets;
    std::set<WorkerIncarnation> refusedWorkers;
    // Number of the request in flight; 0: none.
    std::uint64_t pendingNumber = 0;
    Time retryAt{};
    // Tickets in a row that were rejected or expired, and when the last one
    // was.
    int uselessTickets = 0;
    Time uselessAt{};
    // Requests in a row that were not answered, and those of them that the
    // adviser rejected.
    int failures = 0;
    int rejections = 0;
    // Since when tasks of the step wait for a start on a ticket, when that was
    // seen last, when it is reported next, and the last request.
    Time waitingSince{};
    Time neededAt{};
    Time reportAt{};
    std::optional<AdviceStatus> lastStatus;
    AdviceStall last;
  };

  struct PendingRequest
  {
    StepName step;
    std::vector<WorkerIncarnation> workers;
    Time sentAt{};
    Millis expected{ 0 };
    Millis timeout{ 0 };
    // Must not be split.
    bool together = false;
  };

  // After a request without a response in time, the next ones name fewer
  // workers or have a longer timeout; both are taken back after quick
  // responses.
  auto LearnFromResponse(const PendingRequest& aRequest, Micros aTook) -> void;
  auto LearnFromTimeout(const PendingRequest& aRequest) -> void;

  auto StoreResponse(Time aNow,
                     StepAdvice& aAdvice,
                     const PendingRequest& aRequest,
                     const AdviceResponse& aResponse) -> void;
  auto FindTicketOf(const StepName& aStep,
                    const WorkerIncarnation& aWorker) const -> const Ticket*;
  auto CauseOf(Time aNow,
               const StepName& aStep,
               const StepAdvice& aAdvice) const -> const char*;
  // Delays the next request for the step if its tickets are of no use again and
  // again.
  static auto CountUselessTicket(Time aNow, StepAdvice& aAdvice) -> void;

  std::map<StepName, StepAdvice> adviceByStep;
  std::map<std::uint64_t, PendingRequest> pendingRequests;
  std::uint64_t lastRequestNumber = 0;
  // While the adviser is overloaded: requests in a row that it did not take,
  // and when the next one is sent.
  int overloads = 0;
  Time overloadedUntil{};
  // No stall is reported before this time.
  Time nextReportAt{};
  // Moving average of the fraction of named workers that may run a step.
  double allowedFraction = 0.5;
  // What requests without a response have taught: how many workers one names,
  // and how many times as long as the adviser tells to wait for it.
  std::size_t maxWorkers = kMaxAdviceWorkers;
  int patience = 1;
  // Workers have rejected tickets that were still valid if they count from the
  // response.
  bool validFromRequest = false;
};

} // namespace gooseberry::cells

#endif
