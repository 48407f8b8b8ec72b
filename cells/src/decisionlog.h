#ifndef GOOSEBERRY_DECISIONLOG_H
#define GOOSEBERRY_DECISIONLOG_H

// Log of decisions: one structured line for each decision on a job and for each
// change of the process's view of its environment.

#include <initializer_list>
#include <string>

#include "jobname.h"

namespace gooseberry::cells {

struct DecisionField
{
  const char* key;
  std::string value;
};

class DecisionLog
{
public:
  virtual ~DecisionLog() = default;
  // Whether lines about this job are written. All instances choose the same
  // jobs.
  virtual auto IsSampled(const JobId& aJob) const -> bool = 0;
  virtual auto Write(const char* aEvent,
                     std::initializer_list<DecisionField> aFields) -> void = 0;
};

// Discards everything.
class NullDecisionLog : public DecisionLog
{
public:
  auto IsSampled(const JobId& /*aJob*/) const -> bool override { return false; }
  auto Write(const char* /*aEvent*/,
             std::initializer_list<DecisionField> /*aFields*/) -> void override
  {
  }
};

} // namespace gooseberry::cells

#endif
