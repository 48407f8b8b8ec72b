#ifndef GOOSEBERRY_JOB_H
#define GOOSEBERRY_JOB_H

// State of a job in its cell's scheduler, and the part of it that is stored.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "disturbance.h"
#include "images.h"
#include "jobspec.h"
#include "prospects.h"
#include "workercall.h"

namespace gooseberry::cells {

struct WorkerSlot;

enum class JobState
{
  Queued,  // no task was started yet
  Running, // at least one task was started
  Completed,
  Failed, // a task failed as often as its queue allows
  Cancelled,
  JobState_NB
};

auto
ToText(JobState aState) -> const char*;

// Whether the state is final: no further task will be started.
auto
IsFinal(JobState aState) -> bool;

enum class RunPhase
{
  Planned,   // resources are reserved; its record is being written
  Starting,  // the start order was sent
  Unsettled, // the start order got no answer
  Inherited, // started by an earlier owner; the worker has not reported it yet
  Running,
  Stopping, // told to stop; the worker has not reported its end yet
  RunPhase_NB
};

auto
ToText(RunPhase aPhase) -> const char*;

// Why a run is stopped.
enum class StopReason
{
  None,
  Cancelled,
  JobFailed, // another task of the job failed permanently
  Beaten,    // another run of the task finished first
  Displaced, // throttled beside long-running tasks; another worker has room
  Stuck,     // makes no progress, or would finish earlier elsewhere
  Unknown,   // not known to the owner
  Settled,   // its start order got no answer
  Broken,    // another run of its gang has ended
  StopReason_NB
};

auto
ToText(StopReason aReason) -> const char*;

// One start of a task, from its placement to the report of its end.
struct Run
{
  std::uint32_t number = 0;
  WorkerSlot* worker = nullptr;
  // Start time of the worker process in which the run was started; tells the
  // worker's incarnations apart.
  std::int64_t bornUnixMs = 0;
  RunPhase phase = RunPhase::Planned;
  StopReason stopping = StopReason::None;
  // When the current phase began.
  Time since{};
  Time startedAt{};
  // Lease end in the start order, on the worker's clock.
  std::int64_t startLeaseEndMs = 0;
  // The worker's clock when it confirmed the start and the stop; 0: not yet.
  std::int64_t confirmedMs = 0;
  std::int64_t stopConfirmedMs = 0;
  std::string checkpoint;
  double percent = 0.0;
  // Progress in the first report; above 0 if the run resumed from a checkpoint.
  double startPercent = 0.0;
  bool reported = false;
  double measured = 0.0;
  // Tail latency in milliseconds between the last two reports, its relative
  // error, and the smoothed value as reported. When the last report came, on
  // the worker's clock and on the local clock, and when the one before came; at
  // first the start of the run.
  double tailNow = 0.0;
  double tailError = kTailError;
  double smoothed = 0.0;
  std::int64_t measuredMs = 0;
  Time measuredAt{};
  Time measuredBefore{};
  // When progress last increased.
  Time progressAt{};
  // A stop order is in flight.
  bool stopSent = false;
  // Fraction of its speed that the run may use, in percent, and when that was
  // set.
  int pace = kFullPace;
  Time pacedAt{};
  // The last speed order got no answer, so the actual limit is unknown.
  bool paceUnsure = false;
  // Working time lost to the speed limit before the limit was last changed.
  Micros rested{ 0 };
  // Since when the run is limited to a low speed.
  Time lowSince{};
};

enum class TaskPhase
{
  Open,
  Done,
  Failed, // as often as its queue allows
  TaskPhase_NB
};

// Working time that the run has lost to its speed limits until now.
auto
RestOf(const Run& aRun, Time aNow) -> Micros;

struct Task
{
  TaskPhase phase = TaskPhase::Open;
  std::uint32_t failures = 0;
  std::uint32_t lastRun = 0;
  // The newest checkpoint that a run reported.
  std::string checkpoint;
  // Runs that may exist on some worker.
  std::vector<Run> runs;
  // The task is not started before this time.
  Time notBefore{};
  // How often the task was moved off a slow worker.
  int moves = 0;
  // Since when the task is ready but has no worker.
  std::optional<Time> waitingSince;

  auto FindRun(std::uint32_t aNumber) -> Run*;
};

struct StepProgress
{
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  // Duration of the longest run that completed a task.
  Millis longest{ 0 };
  // Gangs: number of the last run whose failure was counted.
  std::uint32_t failedRun = 0;

  auto AllDone() const -> bool { return this->done == this->tasks.size(); }
};

struct Occurrence
{
  std::vector<StepProgress> steps;
  // Steps with tasks that are not done.
  std::uint32_t openSteps = 0;
  // When the occurrence became known to be due.
  Time due{};
  // As last predicted.
  Prospect prospect = Prospect::InTime;
};

// An end that a worker reported and that is not recorded yet.
struct PendingEnd
{
  JobId job;
  WorkerId worker;
  std::int64_t bornUnixMs = 0;
  std::uint64_t number = 0;
};

// State of the rows that the store holds for a job.
enum class JobRows
{
  Kept,
  Leaving, // being removed, because the retention time after the job's end is
           // over
  Gone,
  JobRows_NB
};

struct Job
{
  JobRow row;
  // Image of each step.
  std::vector<ImageId> images;
  JobState state = JobState::Queued;
  // The state as it is stored, which callers may see.
  JobState recorded = JobState::Queued;
  // When this instance learnt of the job, on its own clock.
  Time arrivedAt{};
  Time endedAt{};
  std::map<std::uint32_t, Occurrence> occurrences;
  // Number of leading occurrences that have all ended.
  std::uint32_t finishedOccurrences = 0;
  // Has changes that are not recorded.
  bool dirty = false;
  // The record must be written without delay.
  bool hasty = false;
  std::vector<PendingEnd> unrecordedEnds;
  // Load of the job's long-running tasks, which all serve the same users.
  LoadEstimate load;
  JobRows rows = JobRows::Kept;

  auto Id() const -> const JobId& { return this->row.id; }
  auto Spec() const -> const JobSpec& { return this->row.spec; }
};

// The stored state of a job besides its row. Every run in it may exist on its
// worker.
struct JobRecord
{
  struct RunMark
  {
    std::uint32_t number = 0;
    WorkerId worker;
    std::int64_t bornUnixMs = 0;
    MachineId machine;

    auto operator==(const RunMark&) const -> bool = default;
  };

  struct TaskMark
  {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Open;
    std::uint32_t failures = 0;
    std::uint32_t lastRun = 0;
    std::string checkpoint;
    std::vector<RunMark> runs;

    auto operator==(const TaskMark&) const -> bool = default;
  };

  JobState state = JobState::Queued;
  // Tells the record from one of an earlier job with the same id; 0: unknown.
  std::int64_t acceptedUnixMs = 0;
  std::uint32_t finishedOccurrences = 0;
  // Tasks that differ from their initial state.
  std::vector<TaskMark> tasks;

  auto operator==(const JobRecord&) const -> bool = default;
};

auto
RecordOf(const Job& aJob) -> JobRecord;

auto
EncodeRecord(const JobRecord& aRecord) -> std::string;

// Returns nothing and sets aReason if the bytes are not a valid record.
auto
DecodeRecord(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRecord>;

// A new occurrence with all tasks of the job's steps open.
auto
NewOccurrence(const JobSpec& aSpec) -> Occurrence;

// The time by which an occurrence should end: its due time, the queue's target
// latency, and the critical path of its steps times the queue's slack factor.
// The observed durations of steps replace their estimates.
auto
ObjectiveOf(const Job& aJob, const Occurrence& aOccurrence) -> Time;

// The remaining work of an occurrence, by the caller's estimates and the
// observed progress of its tasks.
auto
CandidateOf(const Job& aJob, const Occurrence& aOccurrence) -> Candidate;

} // namespace gooseberry::cells

#endif
