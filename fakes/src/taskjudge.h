#ifndef GOOSEBERRY_TASKJUDGE_H
#define GOOSEBERRY_TASKJUDGE_H

// Judges the promises about tasks from what workers did, and from nothing that
// the scheduler says.

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

struct TaskEvent
{
  std::int64_t millis = 0;
  std::string what;
  std::string worker;
  std::string task;
  std::uint64_t attempt = 0;
  std::uint64_t checkpoint = 0;
};

struct TaskVerdicts
{
  // Broken promises, in words.
  std::vector<std::string> violations;
  std::size_t starts = 0;
  std::size_t finishes = 0;
  // Work that was lost: progress beyond the checkpoint that was resumed from.
  std::uint64_t lostMillis = 0;
};

// Never two at once; attempts only grow; nothing starts after a finish that the
// owner acknowledged; no worker holds more than it has. Tasks whose name starts
// with one of aAtMostOnce do not start after any finish. A finish that nobody
// heard of, because its worker was lost, does not bind the others. Events need
// not be in order.
auto
JudgeTaskEvents(std::vector<TaskEvent> aEvents,
                const std::vector<std::string>& aAtMostOnce) -> TaskVerdicts;

} // namespace gooseberry

#endif
