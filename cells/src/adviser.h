#ifndef GOOSEBERRY_ADVISER_H
#define GOOSEBERRY_ADVISER_H

// What a cell knows from the service that says which workers may run a step:
// tickets, which end, and refusals, which last as long as a worker's life. And
// what it asks next: the service decides one question after the other, and
// takes longer the more workers a question names.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "advice.h"

namespace gooseberry::cells {

// One life of a worker.
struct WorkerLife
{
  WorkerId worker;
  std::int64_t bornUnixMs = 0;

  auto operator<=>(const WorkerLife&) const = default;
};

class Adviser
{
public:
  // The ticket with which the worker may be told to run tasks of the step; null
  // if there is none that stays valid for the time of a start.
  auto TicketFor(Time aNow,
                 const StepName& aStep,
                 const WorkerLife& aWorker) const -> const std::string*;
  // Whether asking for the worker may bring a ticket.
  auto MayAsk(Time aNow, const StepName& aStep, const WorkerLife& aWorker) const
    -> bool;
  // Whether a question for the step can be sent now; else aAgain falls to the
  // time at which to look again, if that is known.
  auto CanAsk(Time aNow, const StepName& aStep, Time& aAgain) const -> bool;
  // How many workers to name so that about this many may run the step.
  auto WorkersFor(std::size_t aWanted) const -> std::size_t;
  auto Ask(Time aNow,
           const StepName& aStep,
           const std::vector<WorkerLife>& aWorkers) -> AdviceQuestion;
  // The step that was asked for; nothing if that is not known any more.
  auto OnAnswer(Time aNow, const AdviceAnswer& aAnswer)
    -> std::optional<StepName>;
  // A worker did not take the ticket.
  auto OnRefused(const StepName& aStep, const WorkerLife& aWorker) -> void;
  // The job has ended.
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
    // Number of the question under way; 0: none.
    std::uint64_t asked = 0;
    Time notBefore{};
  };

  struct Asked
  {
    StepName step;
    std::vector<WorkerLife> workers;
    Time at{};
  };

  auto Learn(Knowledge& aKnown,
             const Asked& aAsked,
             const AdviceAnswer& aAnswer) -> void;

  std::map<StepName, Knowledge> steps;
  std::map<std::uint64_t, Asked> underWay;
  std::uint64_t lastQuestion = 0;
  // Part of the named workers that may run a step, as of late.
  double allowedPart = 0.5;
};

} // namespace gooseberry::cells

#endif
