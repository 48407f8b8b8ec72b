#ifndef GOOSEBERRY_JOBWORKER_H
#define GOOSEBERRY_JOBWORKER_H

// A worker as the platform promises it: runs tasks under leases on its own
// clock, obeys the newest fencing token, lists ends until they are recorded.
// Free of I/O; a stand-in process and worlds in virtual time share it.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "site.h"
#include "workercall.h"

namespace gooseberry::fakes {

using cells::EndReport;
using cells::RunOutcome;
using cells::TaskName;
using cells::WorkerAnswer;
using cells::WorkerCall;

// What a task would do on a sound worker.
struct WorkPlan
{
  Millis duration{ 0 };
  // Ends as failed instead of done, after that time.
  bool fails = false;
  bool lasting = false;
  // The worker crashes under it after that time.
  bool crashes = false;
  bool checkpoints = false;
  Resources size;
  // Processors are not counted against the worker's room.
  bool fillsIdle = false;
  // The tail of a lasting task's response times, whatever runs beside it; 0: it
  // reports none.
  double tailMs = 0.0;

  auto operator==(const WorkPlan&) const -> bool = default;
};

enum class JobEventKind
{
  Start,
  End,
  Noted,     // the scheduler recorded the end
  EarlyNote, // ends were acknowledged that this process has not listed
  Crash,     // the worker crashed under the task; Gone follows
  Gone,      // the worker died and its runs with it
};

// What happened on a worker, in the world's time.
struct JobEvent
{
  JobEventKind kind = JobEventKind::Start;
  Time at{};
  WorkerId worker;
  TaskName task;
  std::uint32_t run = 0;
  RunOutcome how = RunOutcome::Done;
  std::string payload;
  std::string checkpoint;
  std::uint64_t fencingToken = 0;
  // The lease lapsed between the end and its note.
  bool lapsedBetween = false;
};

struct JobWorkerOptions
{
  Millis leaseMax{ 6000 };
  Millis stopTakes{ 100 };
  Millis checkpointEvery{ 1000 };
  // What its clock shows at the start.
  Millis firstClock{ 100'000 };
  // Rate of its clock in parts of 1,000.
  std::int64_t clockRate = 1000;
  bool guardsCapacity = true;
};

class JobWorker
{
public:
  using Plan = std::function<WorkPlan(const TaskName&, std::uint32_t aRun)>;
  using Sink = std::function<void(const JobEvent&)>;

  JobWorker(cells::WorkerEntry aEntry,
            JobWorkerOptions aOptions,
            Time aBorn,
            Plan aPlan,
            Sink aSink);

  // Carries the call out now. A renewal that may wait and has nothing to tell
  // gets no answer yet: ask again.
  auto Handle(Time aNow, const WorkerCall& aCall, bool aMayWait)
    -> std::optional<WorkerAnswer>;
  // Lets time pass.
  auto Advance(Time aNow) -> void;
  // The machine lost power: nothing runs any more.
  auto Die(Time aNow) -> void;
  auto Entry(Time aNow) const -> cells::WorkerEntry;
  auto SetLeaving(bool aLeaving) -> void;
  // Everything started from now on fails at once.
  auto SetFailing(bool aFailing) -> void;
  // Work takes so many times as long; 0: it stands still.
  auto SetSlowness(double aTimes) -> void;
  // A task has crashed the worker; the caller has to let it Die().
  auto HasCrashed() const -> bool;
  auto Running() const -> std::size_t;
  // What is not reserved by running tasks.
  auto Room() const -> Resources;
  auto Runs(const TaskName& aTask) const -> bool;
  // Orders to start, stop or pace under an older token than one seen before,
  // and starts of a run that had been started already.
  auto StaleOrders() const -> std::size_t;
  auto RepeatedStarts() const -> std::size_t;

private:
  struct RunKey
  {
    TaskName task;
    std::uint32_t run = 0;
    auto operator<=>(const RunKey&) const = default;
  };

  struct LiveRun
  {
    WorkPlan plan;
    // Work done, in milliseconds.
    double worked = 0.0;
    int pace = 100;
    std::optional<Time> stopAt;
  };

  auto ClockMs(Time aNow) const -> std::int64_t;
  auto Start(Time aNow, const WorkerCall& aCall) -> cells::CallOutcome;
  auto Stop(Time aNow, const WorkerCall& aCall) -> cells::CallOutcome;
  auto Finish(Time aNow, const RunKey& aKey, RunOutcome aHow) -> void;
  auto Lapse(Time aNow) -> void;
  auto Report(Time aNow, const WorkerCall& aCall) -> WorkerAnswer;
  auto CheckpointOf(const LiveRun& aRunning) const -> std::string;

  cells::WorkerEntry entry;
  const JobWorkerOptions options;
  const Time born;
  const Plan plan;
  const Sink sink;
  std::uint64_t token = 0;
  std::int64_t leaseEndMs = 0;
  std::map<RunKey, LiveRun> running;
  // The newest run of each task that was stopped or ended here.
  std::map<TaskName, std::uint32_t> passed;
  std::vector<EndReport> ends;
  std::uint64_t lastEnd = 0;
  std::uint64_t noted = 0;
  // The last end that a report listed, and the last one beyond those listed
  // that was acknowledged.
  std::uint64_t lastListed = 0;
  std::uint64_t lastEarlyNote = 0;
  // Ends before this one happened before the last lapse.
  std::uint64_t lapsedUpTo = 0;
  Time last{};
  double slowness = 1.0;
  bool failing = false;
  bool crashed = false;
  std::size_t staleOrders = 0;
  std::size_t repeatedStarts = 0;
};

} // namespace gooseberry::fakes

#endif
