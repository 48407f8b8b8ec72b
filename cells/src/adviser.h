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

namespace gooseberry::cells {

// One incarnation of a worker, from its start on.
struct WorkerLife
{
  WorkerId worker;
  std::int64_t bornUnixMs = 0;

  auto operator<=>(const WorkerLife&) const = default;
};

class Adviser
{
public:
  // The ticket to send with starts of the step's tasks on the worker; null if
  // there is none that stays valid until a start has arrived.
  auto TicketFor(Time aNow,
                 const StepName& aStep,
                 const WorkerLife& aWorker) const -> const std::string*;
  // Whether a request for the worker may bring a ticket: it was not refused and
  // has no usable ticket.
  auto MayAsk(Time aNow, const StepName& aStep, const WorkerLife& aWorker) const
    -> bool;
  // Whether a request for the step can be sent now. If not and the time is
  // known, lowers aRetryAt to the time at which it can.
  auto CanAsk(Time aNow, const StepName& aStep, Time& aRetryAt) const -> bool;
  // How many workers to name in a request so that about aWanted of them may run
  // the step.
  auto WorkersFor(std::size_t aWanted) const -> std::size_t;
  auto Ask(Time aNow,
           const StepName& aStep,
           const std::vector<WorkerLife>& aWorkers) -> AdviceQuestion;
  // The step that was requested; nothing if it is not known any more.
  auto OnAnswer(Time aNow, const AdviceAnswer& aResponse)
    -> std::optional<StepName>;
  // The worker rejected the ticket, which is discarded.
  auto OnRefused(const StepName& aStep, const WorkerLife& aWorker) -> void;
  // Forgets a job that has ended.
  auto Drop(const JobId& aJob) -> void;

private:
  struct Ticket
  {
    std::string text;
    Time until{};
  };

  struct Knowledge
  {
    std::map<WorkerLife, Ticket> tickets;
    std::set<WorkerLife> refused;
    // Number of the request in flight; 0: none.
    std::uint64_t asked = 0;
    Time notBefore{};
  };

  struct Asked
  {
    StepName step;
    std::vector<WorkerLife> workers;
    Time at{};
  };

  auto Learn(Knowledge& aAdvice,
             const Asked& aRequest,
             const AdviceAnswer& aResponse) -> void;

  std::map<StepName, Knowledge> steps;
  std::map<std::uint64_t, Asked> underWay;
  std::uint64_t lastQuestion = 0;
  // Moving average of the fraction of named workers that may run a step.
  double allowedPart = 0.5;
};

} // namespace gooseberry::cells

#endif
