#ifndef GOOSEBERRY_JOBSPEC_H
#define GOOSEBERRY_JOBSPEC_H

// What a caller submits: a job of steps, each of which has a number of equal
// tasks.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobname.h"

namespace gooseberry::cells {

struct StepSpec
{
  std::uint32_t taskCount = 0;
  // Resources of one task.
  Resources taskResources;
  // The caller's estimate of how long a task runs; often far off.
  Millis estimate{ 0 };
  // Earlier steps that must be complete before this one starts.
  std::vector<std::uint32_t> dependencies;
  bool savesCheckpoints = false;
  // All tasks run at the same time and end together.
  bool gang = false;
  // Tasks run slower unless all of them are in one rack.
  bool rackLocal = false;
  // A label that the worker must have; empty for none.
  std::string requiredLabel;
  // The rack that holds the data; tasks run slower in any other. Empty for
  // none.
  std::string dataRack;
  // Most tasks of the step on one worker; 0 for no limit.
  std::uint32_t maxPerWorker = 0;
  // Several runs of one task may execute at the same time; the first to finish
  // counts.
  bool speculative = false;
  // Runs until the job is cancelled; restarted whenever a run ends, for any
  // reason.
  bool longRunning = false;
  // Name of the program that the tasks run. Tasks of one image behave alike.
  std::string image;
  // Long-running tasks: upper limit for their tail latency; 0 for none.
  Millis tailLatencyTarget{ 0 };
  // Best effort: uses processors that other tasks leave idle and reserves none.
  bool bestEffort = false;
  // Long-running tasks: most tasks of the step that the scheduler may take down
  // at once.
  std::optional<std::uint32_t> maxUnavailable;

  auto operator==(const StepSpec&) const -> bool = default;
};

struct JobSpec
{
  // Passed unchanged to each task.
  std::string payload;
  std::vector<StepSpec> steps;
  // Timed jobs: number of executions of the steps, the time of the first one
  // and the interval between them. 0 occurrences: executed once, immediately.
  std::uint32_t occurrences = 0;
  std::int64_t firstDueUnixMs = 0;
  std::int64_t intervalMs = 0;

  auto operator==(const JobSpec&) const -> bool = default;
  auto IsTimed() const -> bool;
  // Whether the job runs until it is cancelled.
  auto IsLongRunning() const -> bool;
};

// The record of a job has to fit into one row of the store.
inline constexpr std::uint32_t kMaxTasksPerJob = 2000;

// The first error in a specification, worded for the caller; nothing if it is
// valid.
auto
FindSpecError(const JobSpec& aSpec) -> std::optional<std::string>;

// Most tasks of a job that have to run at the same time, long-running ones and
// those of gangs: its record has to hold all their runs, each with the names of
// a worker and its machine of up to 200 bytes.
inline constexpr std::uint32_t kMaxSimultaneousTasks = 1000;

// What the adviser of a queue needs and grants, as the configuration tells.
struct AdviceTimes
{
  // Time of one request, and more of it for each worker that it names.
  Millis decide{ 0 };
  Millis each{ 0 };
  // How long tickets are valid; 0: not told.
  Millis valid{ 0 };

  auto operator==(const AdviceTimes&) const -> bool = default;
  auto TimeFor(std::size_t aWorkers) const -> Millis;
};

// How the job's queue treats it, as of its acceptance or later.
struct QueuePolicy
{
  ServiceId service;
  // 0 is the highest priority.
  int priority = 0;
  std::uint32_t maxAttempts = 1;
  // Objective of a job: slackFactor times its critical path, plus the target
  // latency.
  double slackFactor = 1.0;
  Millis targetLatency{ 0 };
  // Only some workers may run a step; an adviser service decides which.
  bool requiresAdvice = false;
  // Of the configuration only; not stored with a job.
  AdviceTimes adviceTimes;

  auto operator==(const QueuePolicy&) const -> bool = default;
};

// A job as stored from its acceptance on.
struct JobRow
{
  JobId id;
  QueueId queue;
  QueuePolicy policy;
  JobSpec spec;
  // Wall-clock time of the accepting instance.
  std::int64_t acceptedUnixMs = 0;
  // The cell that runs the job, chosen on acceptance.
  std::string cell = "c0";
  // The client account that submitted the job; empty if its queue is public.
  AccountId account;

  auto operator==(const JobRow&) const -> bool = default;
};

auto
EncodeJobRow(const JobRow& aRow) -> std::string;

// Why the store can't hold a job or its record, worded for the caller; nothing
// if it can. aEncodedRow: its row.
auto
FindStorageError(const JobSpec& aSpec, const std::string& aEncodedRow)
  -> std::optional<std::string>;

// Returns nothing and sets aReason if the bytes are not a valid row.
auto
DecodeJobRow(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRow>;

} // namespace gooseberry::cells

#endif
