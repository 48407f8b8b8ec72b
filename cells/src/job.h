#ifndef GOOSEBERRY_JOB_H
#define GOOSEBERRY_JOB_H

// State of a job in its cell's scheduler, and the part of it that is stored.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "imageregistry.h"
#include "interferencemodel.h"
#include "jobspec.h"
#include "outcomes.h"
#include "workercall.h"

namespace gooseberry::cells {

struct AccountState;
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
  Planned,          // resources are reserved; its record is being written
  Starting,         // the start order was sent
  StartUnconfirmed, // the start order got no answer
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
  JobFailed,        // another task of the job failed permanently
  OtherRunFinished, // another run of the task finished first
  MovedForSpeed, // throttled beside long-running tasks; another worker has room
  Stuck,         // makes no progress, or would finish earlier elsewhere
  Unknown,       // not known to the owner
  StartUnanswered, // its start order got no answer
  GangBroken,      // another run of its gang has ended
  StopReason_NB
};

auto
ToText(StopReason aReason) -> const char*;

// One start of a task, from its placement to the report of its end.
struct Run
{
  std::uint32_t number = 0;
  WorkerSlot* worker = nullptr;
  // Start time of the latest worker process that was known when the run was
  // planned, or listed it. Until a process lists it, the run may have been
  // started by any later one.
  std::int64_t workerStartUnixMs = 0;
  RunPhase phase = RunPhase::Planned;
  StopReason stopReason = StopReason::None;
  // When the current phase began.
  Time phaseSince{};
  Time startedAt{};
  // Lease end in the start order, on the worker's clock.
  std::int64_t startLeaseEndMs = 0;
  // The last call that had been sent to any worker when this one confirmed the
  // start and the stop. Only a report that was requested later shows that the
  // run has ended: the answers do not tell which process of the worker gives
  // them, and each process has a clock of its own.
  std::uint64_t startConfirmedAtCall = 0;
  std::optional<std::uint64_t> stopConfirmedAtCall;
  std::string checkpoint;
  double progressPercent = 0.0;
  // Progress in the first report; above 0 if the run resumed from a checkpoint.
  double initialPercent = 0.0;
  bool hasReported = false;
  double lastMeasurement = 0.0;
  // Tail latency in milliseconds between the last two reports, its relative
  // error, and the smoothed value as reported. When the last report came, on
  // the worker's clock and on the local clock, and when the one before came; at
  // first the start of the run.
  double intervalTailMs = 0.0;
  double tailRelativeError = kTailRelativeError;
  double smoothedTailMs = 0.0;
  std::int64_t tailClockMs = 0;
  Time tailReportedAt{};
  Time tailIntervalStart{};
  // When progress last increased.
  Time lastProgressAt{};
  // A stop order is in flight, and when another one may be sent.
  bool stopSent = false;
  Time nextStopAt{};
  // Fraction of its speed that the run may use, in percent, and when that was
  // set.
  int speedPercent = kFullPace;
  Time speedSetAt{};
  // An earlier owner started it.
  bool inherited = false;
  // The worker refused the start.
  bool neverBegan = false;
  // The newest report does not list it as running.
  bool mayHaveEnded = false;
  // The last speed order got no answer, so the actual limit is unknown.
  bool speedUncertain = false;
  // Planned by this owner beside a late run of the task.
  bool isSecond = false;
  // Working time lost to the speed limit before the limit was last changed.
  Micros throttledTime{ 0 };
  // Since when the run is limited to a low speed.
  Time lowSpeedSince{};
  // Second runs: processors that best-effort tasks there lose to it, in
  // thousandths of a core.
  std::int64_t displacedCpuMillis = 0;
};

enum class TaskPhase
{
  Open,
  Done,
  Failed,    // as often as its queue allows
  Elsewhere, // for another cell to start
  TaskPhase_NB
};

// Working time that the run has lost to its speed limits until now.
auto
ThrottledTimeOf(const Run& aRun, Time aNow) -> Micros;

// A run that was dropped although no report told its end.
struct ForgottenRun
{
  std::uint32_t number = 0;
  const char* why = "";
  Time at{};
};

struct Task
{
  TaskPhase phase = TaskPhase::Open;
  std::uint32_t failures = 0;
  // Workers that have crashed with a run of the task and may have done so under
  // it; back to 0 once a run has lasted.
  std::uint32_t losses = 0;
  // The last worker that ran it was lost, or fell silent, soon after the start.
  bool suspected = false;
  std::uint32_t lastRunNumber = 0;
  // The newest checkpoint that a run reported.
  std::string checkpoint;
  // Runs that may exist on some worker.
  std::vector<Run> runs;
  // The last one of the others that an order to start was sent for; for the
  // log.
  std::optional<ForgottenRun> forgotten;
  // The task is not started before this time.
  Time earliestStart{};
  // How often the task was moved off a slow worker.
  int moves = 0;
  // Since when the task is ready but has no worker in this cell, and how long
  // it had waited in its home cell before.
  std::optional<Time> waitingSince;
  Millis waitedAtHome{ 0 };
  // The newest delegation of the task: to another cell, or in a job that this
  // cell hosts, to this one; 0 for none.
  std::uint64_t delegation = 0;

  auto FindRun(std::uint32_t aNumber) -> Run*;
  // For this cell to start, and without a run.
  auto IsOpen() const -> bool
  {
    return this->phase == TaskPhase::Open && this->runs.empty();
  }
  // How long the task has been ready without a worker, in any cell.
  auto WaitedUntil(Time aNow) const -> Millis;
  // For a long-running task: how long it waits until it goes before all others,
  // and whether it has.
  auto MaxWait() const -> Millis;
  auto IsOverdue(Time aNow) const -> bool;
  // The same for one that ran before: its users miss it.
  auto IsOverdueAgain(Time aNow) const -> bool;
};

// A run that completed its task.
struct CompletedRun
{
  WorkerId worker;
  Millis duration{ 0 };
};

struct StepProgress
{
  std::vector<Task> tasks;
  std::uint32_t doneTasks = 0;
  // Duration of the longest run that completed a task, and the same with each
  // duration divided by the relative run time of its worker.
  Millis longestRun{ 0 };
  Millis longestRelativeRun{ 0 };
  // Runs whose durations tell the speeds of their workers. Until all tasks are
  // done, and only if run times are learned.
  std::vector<CompletedRun> completedRuns;
  // Gangs: number of the last run whose failure was counted.
  std::uint32_t lastFailedRun = 0;
  // No task before this one is open; stays 0 for gangs.
  std::uint32_t firstOpen = 0;
  // Tasks that are not started have waited because of their account's limit,
  // and when that was logged last.
  bool limited = false;
  Time limitLoggedAt{};

  auto AllDone() const -> bool { return this->doneTasks == this->tasks.size(); }
  // The task with this index may be open from now on.
  auto Reopen(std::uint32_t aIndex) -> void
  {
    this->firstOpen = std::min(this->firstOpen, aIndex);
  }
  auto MayHaveOpen() const -> bool
  {
    return this->firstOpen < this->tasks.size();
  }
};

struct Occurrence
{
  std::vector<StepProgress> steps;
  // Steps with tasks that are not done.
  std::uint32_t unfinishedSteps = 0;
  // When the occurrence became known to be due.
  Time dueAt{};
  // As last predicted.
  ExpectedOutcome outcome = ExpectedOutcome::OnTime;
  // Remaining work per value, as last predicted.
  std::optional<double> costPerValue;
};

// An end that a worker reported and that is not recorded yet.
struct UnrecordedEnd
{
  JobId job;
  WorkerId worker;
  std::int64_t workerStartUnixMs = 0;
  std::uint64_t number = 0;
};

// State of the rows that the store holds for a job.
enum class JobRowsState
{
  Stored,
  BeingRemoved, // being removed, because the retention time after the job's end
                // is over
  Removed,
  JobRowsState_NB
};

// Tasks of one step that another cell runs for this one (in a job of this
// cell), or this one for another (in a job that it hosts).
struct DelegatedTasks
{
  // The other cell.
  std::string peer;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> indices;
  // The host has to stop and return the tasks.
  bool recalled = false;
  // This cell's row has to be written.
  bool dirty = false;
  // All tasks are settled; this cell's row has to be removed.
  bool closed = false;
};

struct Job
{
  JobRow row;
  // Of the row's account.
  AccountState* account = nullptr;
  // The account had sent more jobs per second than it is entitled to.
  bool beyondRate = false;
  // Of the row as it is stored.
  std::size_t rowBytes = 0;
  // Image of each step.
  std::vector<ImageId> stepImages;
  // Expected time of each step's tasks, as learned; 0: the caller's estimate
  // counts. Empty for a job that this cell hosts.
  std::vector<Millis> expectedDurations;
  JobState state = JobState::Queued;
  // The state as it is stored, which callers may see.
  JobState recordedState = JobState::Queued;
  // When this instance learnt of the job, on its own clock.
  Time arrivedAt{};
  Time endedAt{};
  std::map<std::uint32_t, Occurrence> occurrences;
  // Number of leading occurrences that have all ended.
  std::uint32_t finishedOccurrences = 0;
  // Has changes that are not recorded.
  bool dirty = false;
  // The record must be written without delay.
  bool urgent = false;
  std::vector<UnrecordedEnd> unrecordedEnds;
  // Load of the job's long-running tasks, which all serve the same users.
  LoadEstimate loadEstimate;
  JobRowsState rowsState = JobRowsState::Stored;
  // Home cell of a job of which this cell only runs tasks that were delegated
  // to it; empty for a job of this cell.
  std::string homeCell;
  // By number.
  std::map<std::uint64_t, DelegatedTasks> delegations;
  // Rows after the first one that may be stored of the record.
  std::uint32_t continuationRows = 0;
  // The record has no room for more runs.
  bool recordFull = false;

  auto IsHosted() const -> bool { return !this->homeCell.empty(); }
  auto Id() const -> const JobId& { return this->row.id; }
  auto Spec() const -> const JobSpec& { return this->row.spec; }
};

// The stored state of a job besides its row. Every run in it may exist on its
// worker.
struct JobRecord
{
  struct RunRecord
  {
    std::uint32_t number = 0;
    WorkerId worker;
    std::int64_t workerStartUnixMs = 0;
    MachineId machine;

    auto operator==(const RunRecord&) const -> bool = default;
  };

  struct TaskRecord
  {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Open;
    std::uint32_t failures = 0;
    std::uint32_t lastRunNumber = 0;
    std::string checkpoint;
    std::vector<RunRecord> runs;
    std::uint32_t losses = 0;

    auto operator==(const TaskRecord&) const -> bool = default;
  };

  JobState state = JobState::Queued;
  // Tells the record from one of an earlier job with the same id; 0: unknown.
  std::int64_t acceptedUnixMs = 0;
  std::uint32_t finishedOccurrences = 0;
  // Tasks that differ from their initial state.
  std::vector<TaskRecord> tasks;
  // Rows that hold the tasks, if they do not fit into the first one.
  std::uint32_t continuationRows = 0;

  auto operator==(const JobRecord&) const -> bool = default;
};

auto
MakeRunRecords(const Task& aTask) -> std::vector<JobRecord::RunRecord>;

auto
MakeJobRecord(const Job& aJob) -> JobRecord;

auto
EncodeJobRecord(const JobRecord& aRecord) -> std::string;

// A row of a job's record after the first one; they are numbered from 1.
struct RecordContinuation
{
  JobId job;
  std::uint32_t number = 0;

  auto operator<=>(const RecordContinuation&) const = default;
};

// The rows of the record, each of at most kMaxRowBytes. The first one alone
// tells the state; if it does not hold the tasks, the others do.
auto
EncodeRecordRows(const JobRecord& aRecord) -> std::vector<std::string>;

// Decodes the first row; of a record with several rows, without its tasks.
// Returns nothing and sets aReason if the bytes are not a valid record.
auto
DecodeJobRecord(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRecord>;

// The same for a record with several rows: aContinuations are those after the
// first one, by their numbers.
auto
DecodeRecordRows(const std::string& aFirst,
                 const std::map<std::uint32_t, std::string>& aContinuations,
                 std::string& aReason) -> std::optional<JobRecord>;

// Whether some task of the job has a run that may exist.
auto
HasRuns(const Job& aJob) -> bool;

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
MakeCandidate(const Job& aJob, const Occurrence& aOccurrence)
  -> OutcomeCandidate;

} // namespace gooseberry::cells

#endif
