#ifndef GOOSEBERRY_TASKCONTEXT_H
#define GOOSEBERRY_TASKCONTEXT_H

// References to a task and to what it belongs to, valid for one decision.

#include "job.h"
#include "overload.h"

namespace gooseberry::cells {

// A task and what it belongs to; task is null if the task is not known.
struct TaskContext
{
  Job* job = nullptr;
  Occurrence* occurrence = nullptr;
  StepProgress* step = nullptr;
  const StepSpec* spec = nullptr;
  Task* task = nullptr;
  ImageId image = 0;
};

// A step with tasks that may start now, and its place in the order of starts.
struct ReadyStep
{
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  StartRank rank;
  // A long-running task has waited for so long that the step goes before all
  // others.
  bool overdue = false;
  // Nothing of the job is running, and it has waited for longer than its
  // result is of use.
  bool starved = false;
};

} // namespace gooseberry::cells

#endif
