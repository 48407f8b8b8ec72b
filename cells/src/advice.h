#ifndef GOOSEBERRY_ADVICE_H
#define GOOSEBERRY_ADVICE_H

// Questions to the service that knows which workers may run a step, for queues
// whose policy leaves that to it, and its answers.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jobname.h"

namespace gooseberry::cells {

struct AdviceQuestion
{
  // Names the question in its answer.
  std::uint64_t number = 0;
  StepName step;
  std::vector<WorkerId> workers;
  // How long to wait for the answer.
  Millis timeout{ 0 };

  auto operator==(const AdviceQuestion&) const -> bool = default;
};

enum class AdviceEnd
{
  Answered,
  Busy,       // asked too much; nothing was decided
  Rejected,   // it does not take the question
  Unanswered, // lost, or no such service
  AdviceEnd_NB
};

auto
ToText(AdviceEnd aEnd) -> const char*;

struct AdviceAnswer
{
  std::uint64_t number = 0;
  AdviceEnd end = AdviceEnd::Unanswered;
  // Those of the workers that may run the step, each with its ticket.
  std::vector<std::pair<WorkerId, std::string>> allowed;
  // The tickets are valid for so long from the answer on.
  Millis validFor{ 0 };
  std::string reason;
};

// Returns at once; the answer comes later on the loop of the implementation,
// once for each question.
class AdvicePort
{
public:
  virtual ~AdvicePort() = default;
  virtual auto Ask(const AdviceQuestion& aQuestion,
                   std::function<void(AdviceAnswer)> aDone) -> void = 0;
};

} // namespace gooseberry::cells

#endif
