#ifndef GOOSEBERRY_JOB_H
#define GOOSEBERRY_JOB_H

// A job as its cell's scheduler follows it, and the part of it that is kept in
// the store.

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
  Queued,  // nothing has been started
  Running, // something was started
  Completed,
  Failed, // a task failed as often as it may
  Cancelled,
  JobState_NB
};

auto
ToText(JobState aState) -> const char*;

// Nothing more will be started.
auto
IsFinal(JobState aState) -> bool;

enum class RunPhase
{
  Planned,   // has room; its record is on the way
  Starting,  // the order is on the way
  Unsettled, // the order got no answer
  Inherited, // started by an earlier owner; its worker was not asked yet
  Running,
  Stopping, // told to stop; its end is not listed yet
  RunPhase_NB
};

auto
ToText(RunPhase aPhase) -> const char*;

// Why a run is stopped.
enum class StopReason
{
  None,
  Cancelled, // the job was cancelled
  JobFailed, // another task of the job failed for good
  Beaten,    // another run of the task was done first
  Displaced, // more urgent work needs the room
  Stuck,     // makes no progress
  Unknown,   // nobody knows of it
  Settled,   // its start got no answer
  Broken,    // another run of its gang is over
  StopReason_NB
};

auto
ToText(StopReason aReason) -> const char*;

// One start of a task, from its planning to its listed end.
struct Run
{
  std::uint32_t number = 0;
  WorkerSlot* worker = nullptr;
  // The worker's life in which it was started.
  std::int64_t bornUnixMs = 0;
  RunPhase phase = RunPhase::Planned;
  StopReason stopping = StopReason::None;
  // When the phase began.
  Time since{};
  Time startedAt{};
  // Lease end in the start order, on the worker's clock.
  std::int64_t startLeaseEndMs = 0;
  // The worker's clock when it confirmed the start, and the stop; 0: not yet.
  std::int64_t confirmedMs = 0;
  std::int64_t stopConfirmedMs = 0;
  std::string checkpoint;
  double percent = 0.0;
  // What it reported first: it may have begun from a checkpoint.
  double startPercent = 0.0;
  bool reported = false;
  double measured = 0.0;
  // Tail between the last two reports, and when the last one came, on the
  // worker's clock and on the own.
  double tailNow = 0.0;
  // Part of it that it may be off by.
  double tailError = kTailError;
  double smoothed = 0.0;
  std::int64_t measuredMs = 0;
  Time measuredAt{};
  Time measuredBefore{};
  // When progress was last seen to grow.
  Time progressAt{};
  // A stop order is under way.
  bool stopSent = false;
  // Share of its speed that it may use, and since when.
  int pace = kFullPace;
  Time pacedAt{};
  // The last order on it got no answer.
  bool paceUnsure = false;
  // Time that it was kept from working by its pace.
  Micros rested{ 0 };
  // Since when it is held to a low pace.
  Time lowSince{};
};

enum class TaskPhase
{
  Open,
  Done,
  Failed, // as often as it may
  TaskPhase_NB
};

// Time that the run was kept from working until now.
auto
RestOf(const Run& aRun, Time aNow) -> Micros;

struct Task
{
  TaskPhase phase = TaskPhase::Open;
  std::uint32_t failures = 0;
  std::uint32_t lastRun = 0;
  // The newest one that a run reported.
  std::string checkpoint;
  // Runs that may exist on some worker.
  std::vector<Run> runs;
  // No start before.
  Time notBefore{};
  // How often it was moved off a worker that was too slow for it.
  int moves = 0;
  // Since when it could start but for a place.
  std::optional<Time> waitingSince;

  auto FindRun(std::uint32_t aNumber) -> Run*;
};

struct StepProgress
{
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  // The longest run of a task that is done.
  Millis longest{ 0 };
  // Gangs: the last run of which a failure was counted.
  std::uint32_t failedRun = 0;

  auto AllDone() const -> bool { return this->done == this->tasks.size(); }
};

struct Occurrence
{
  std::vector<StepProgress> steps;
  // Steps whose tasks are not all done.
  std::uint32_t openSteps = 0;
  // When it became known that it is due.
  Time due{};
  // As last judged, see prospects.h.
  Prospect prospect = Prospect::InTime;
};

// An end that was taken note of and is not recorded yet.
struct PendingEnd
{
  JobId job;
  WorkerId worker;
  std::int64_t bornUnixMs = 0;
  std::uint64_t number = 0;
};

// What becomes of the rows that the store holds of a job.
enum class JobRows
{
  Kept,
  Leaving, // nobody asks for the job any more; they are being removed
  Gone,
  JobRows_NB
};

struct Job
{
  JobRow row;
  // Of each step.
  std::vector<ImageId> images;
  JobState state = JobState::Queued;
  // The state that the store holds, which callers may see.
  JobState recorded = JobState::Queued;
  // When the job became known here, by this instance's clock.
  Time arrivedAt{};
  Time endedAt{};
  std::map<std::uint32_t, Occurrence> occurrences;
  // Occurrences that all have ended, counted from the first.
  std::uint32_t finishedOccurrences = 0;
  // Something of it is not recorded.
  bool dirty = false;
  // The record must not wait.
  bool hasty = false;
  std::vector<PendingEnd> unrecordedEnds;
  // Load of its lasting tasks, all of which answer the same users.
  LoadEstimate load;
  JobRows rows = JobRows::Kept;

  auto Id() const -> const JobId& { return this->row.id; }
  auto Spec() const -> const JobSpec& { return this->row.spec; }
};

// What the store keeps of a job besides its row. A run that is in it may exist.
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
  // Tells it from a record of an earlier job of the same id; 0: not known.
  std::int64_t acceptedUnixMs = 0;
  std::uint32_t finishedOccurrences = 0;
  // Tasks that are not as they were at first.
  std::vector<TaskMark> tasks;

  auto operator==(const JobRecord&) const -> bool = default;
};

auto
RecordOf(const Job& aJob) -> JobRecord;

auto
EncodeRecord(const JobRecord& aRecord) -> std::string;

// Nothing with the reason if the bytes are no such record.
auto
DecodeRecord(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRecord>;

// A fresh occurrence of the job's steps.
auto
NewOccurrence(const JobSpec& aSpec) -> Occurrence;

// The time by which callers hope for the end of an occurrence: estimates give
// way to what its steps really took.
auto
ObjectiveOf(const Job& aJob, const Occurrence& aOccurrence) -> Time;

// What is left of an occurrence, by the caller's estimates and by what its
// tasks have shown.
auto
CandidateOf(const Job& aJob, const Occurrence& aOccurrence) -> Candidate;

} // namespace gooseberry::cells

#endif
