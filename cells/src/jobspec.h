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
  std::uint32_t tasks = 0;
  // Of one task.
  Resources size;
  // The caller's guess of how long a task runs; often far off.
  Millis estimate{ 0 };
  // Earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> after;
  bool checkpoints = false;
  // All tasks run together and end together.
  bool gang = false;
  // Slower unless all tasks run in one rack.
  bool rackLocal = false;
  // A label that the worker must have; empty for none.
  std::string neededLabel;
  // Slower in any other rack; empty for none.
  std::string dataRack;
  // Most tasks of the step on one worker; 0 for any number.
  std::uint32_t maxPerWorker = 0;
  // Several runs of one task may be under way; the first that is done counts.
  bool speculative = false;
  // Runs until the job is cancelled; started again however a run ends.
  bool lasting = false;
  // What the tasks run; tasks of one image behave alike.
  std::string image;
  // Lasting tasks: the tail of their answer times must stay below; 0 for none.
  Millis tailTarget{ 0 };
  // Uses processors that others leave idle; they are not reserved for it.
  bool fillsIdle = false;
  // Lasting tasks: most of the step that the scheduler may take away at once.
  std::optional<std::uint32_t> maxUnavailable;

  auto operator==(const StepSpec&) const -> bool = default;
};

struct JobSpec
{
  // Given to each task as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  // Timed jobs: the steps run so often, first at firstDue; 0 for once, at once.
  std::uint32_t occurrences = 0;
  std::int64_t firstDueUnixMs = 0;
  std::int64_t intervalMs = 0;

  auto operator==(const JobSpec&) const -> bool = default;
  auto Timed() const -> bool;
  // Runs until it is cancelled.
  auto Lasting() const -> bool;
};

// What is wrong with a job, as a caller can read it; nothing if it is good.
auto
FaultOf(const JobSpec& aSpec) -> std::optional<std::string>;

// How a job's queue treats it, as it was when the job was accepted or later.
struct QueuePolicy
{
  ServiceId service;
  // 0 goes first and may displace others.
  int priority = 0;
  std::uint32_t maxAttempts = 1;
  // The objective: so many times the job's longest chain of work, and a fixed
  // time.
  double slackFactor = 1.0;
  Millis target{ 0 };
  // Only some workers may run a step; an adviser knows which.
  bool advised = false;

  auto operator==(const QueuePolicy&) const -> bool = default;
};

// A job as the store keeps it from its acceptance on.
struct JobRow
{
  JobId id;
  QueueId queue;
  QueuePolicy policy;
  JobSpec spec;
  // Time of day of the accepting instance.
  std::int64_t acceptedUnixMs = 0;
  // The cell that runs it, chosen when it was accepted.
  std::string cell = "c0";

  auto operator==(const JobRow&) const -> bool = default;
};

auto
EncodeJobRow(const JobRow& aRow) -> std::string;

// Nothing with the reason if the bytes are no such row.
auto
DecodeJobRow(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRow>;

} // namespace gooseberry::cells

#endif
