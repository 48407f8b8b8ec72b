#ifndef GOOSEBERRY_WORKERMODEL_H
#define GOOSEBERRY_WORKERMODEL_H

// A worker as the platform promises it: runs tasks as timers under a lease that
// it enforces by its own clock. Free of I/O; a stand-in process and a bench in
// virtual time share it.

#include <functional>
#include <map>
#include <string>

#include "workerprotocol.h"

namespace gooseberry {

// What the worker did to one attempt, and when on its own clock.
struct WorkerEvent
{
  // "start", "overcommit", "acknowledged" (a finish that the owner recorded),
  // or the name of the state that it ended in.
  const char* what;
  std::int64_t millis = 0;
  TaskId task;
  std::uint64_t attempt = 0;
  std::uint64_t checkpoint = 0;
};

struct WorkerModelOptions
{
  std::string incarnation;
  Resources capacity;
  // Slowdown that a batch task adds to a service beside it, in percent: the
  // mean over all pairs of classes, each of which has its own.
  int harmPercent = 0;
  // Part of its declared size that a task really uses, in percent.
  int usePercent = 80;
  bool failAll = false;
};

class WorkerModel
{
public:
  WorkerModel(WorkerModelOptions aOptions,
              std::int64_t aNow,
              std::function<void(const WorkerEvent&)> aOnEvent);

  auto Sync(std::int64_t aNow, const SyncRequest& aRequest) -> WorkerReport;
  // Advances all tasks to now; first of all it enforces the lease.
  auto Step(std::int64_t aNow) -> void;
  auto SetFailAll(bool aFailAll) -> void;
  // The machine is gone: all that runs ends now.
  auto EndAll(std::int64_t aNow) -> void;
  // Answer time now of a service of this class over its answer time alone.
  auto Slowdown(const ClassId& aService) const -> double;
  // Tasks of this class that run.
  auto CountRunning(const ClassId& aClass) const -> int;
  // Sum of the declared sizes of what runs.
  auto Given() const -> Resources;

private:
  using Key = std::pair<TaskId, std::uint64_t>;

  struct Running
  {
    StartCommand command;
    AttemptState state = AttemptState::Running;
    double progress = 0.0;
    std::uint64_t checkpoint = 0;
    int percent = 100;
    std::string reason;
  };

  auto Obey(std::int64_t aNow, const SyncRequest& aRequest) -> void;
  auto Start(std::int64_t aNow, const StartCommand& aStart, bool aFresh)
    -> void;
  auto Advance(Running& aTask, std::int64_t aElapsed, std::int64_t aNow)
    -> void;
  auto End(Running& aTask, AttemptState aState, std::int64_t aWhen) -> void;
  auto Report(const Running& aTask) const -> AttemptReport;
  auto Tell(const char* aWhat, const Running& aTask, std::int64_t aWhen)
    -> void;

  WorkerModelOptions options;
  std::function<void(const WorkerEvent&)> onEvent;
  std::map<Key, Running> tasks;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::int64_t leaseEnd = 0;
  std::int64_t lastStep;
};

} // namespace gooseberry

#endif
