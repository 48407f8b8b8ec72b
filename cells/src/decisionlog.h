#ifndef GOOSEBERRY_DECISIONLOG_H
#define GOOSEBERRY_DECISIONLOG_H

// Where decisions are explained: one structured line for each that touches a
// job or changes what the process believes.

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
  // Whether lines about this job are kept; the same jobs on all instances.
  virtual auto Follows(const JobId& aJob) const -> bool = 0;
  virtual auto Write(const char* aEvent,
                     std::initializer_list<DecisionField> aFields) -> void = 0;
};

// Keeps nothing.
class NoDecisionLog : public DecisionLog
{
public:
  auto Follows(const JobId& /*aJob*/) const -> bool override { return false; }
  auto Write(const char* /*aEvent*/,
             std::initializer_list<DecisionField> /*aFields*/) -> void override
  {
  }
};

} // namespace gooseberry::cells

#endif
