#ifndef GOOSEBERRY_WORKERCALL_H
#define GOOSEBERRY_WORKERCALL_H

// Calls of a cell's scheduler to its workers, and their results.

#include <cstdint>
#include <string>
#include <vector>

#include "jobname.h"

namespace gooseberry::cells {

enum class CallKind
{
  Start,
  Stop,
  Renew, // renews the worker's lease and gets a report of its runs
  Pace,  // limits the speed of a run
  CallKind_NB
};

auto
ToText(CallKind aKind) -> const char*;

// The pace of a run without a limit, in percent of its speed.
inline constexpr int kFullPace = 100;

struct WorkerCall
{
  // Identifies the call in its answer.
  std::uint64_t number = 0;
  CallKind kind = CallKind::Renew;
  WorkerId worker;
  std::string address;
  std::uint64_t fencingToken = 0;
  // How long to wait for an answer.
  Millis timeout{ 0 };

  // Start, Stop, Pace.
  TaskName task;
  std::uint32_t runNumber = 0;

  // Start, Renew: the end of the lease of all runs there, on the worker's
  // clock; 0 in a renewal extends no lease. A start that arrives later is
  // refused.
  std::int64_t leaseEndMs = 0;
  // Start.
  std::string payload;
  std::string checkpoint;
  std::string ticket;

  // Renew: ends up to this number are recorded; the worker may discard them. 0
  // acknowledges none.
  std::uint64_t lastRecordedEnd = 0;
  // Renew: the call is meant only for the process of the worker that was
  // started then, and is sent only on a connection that leads to it; 0: for
  // any. Each process numbers its ends anew.
  std::int64_t processStartUnixMs = 0;
  // Renew: how long the worker may wait for a run to end before it answers.
  Millis maxWait{ 0 };

  // Pace: the percentage of its speed that the run may use.
  int pacePercent = kFullPace;

  auto operator==(const WorkerCall&) const -> bool = default;
};

// Outcome of a call.
enum class CallOutcome
{
  Done,             // the worker carried it out
  Fenced,           // the worker obeys a newer fencing token
  Superseded,       // the run is not newer than one that ended there
  LeaseExpired,     // the lease in the call was over
  NoRoom,           // the task does not fit on the worker
  InvalidTicket,    // the ticket is missing or has expired
  WorkerRestarted,  // a worker with another id answers at the address; it did
                    // nothing, and its clock is its own
  Unhealthy,        // the worker is unhealthy at present and did nothing
  Malformed,        // the worker could not parse it
  NotSent,          // it certainly was not carried out
  Unanswered,       // it may have been carried out, or may be later
  UnreadableAnswer, // the answer could not be parsed; it may have been carried
                    // out
  CallOutcome_NB
};

auto
ToText(CallOutcome aEnd) -> const char*;

// A run that exists on a worker.
struct RunReport
{
  TaskName task;
  std::uint32_t runNumber = 0;
  // The newest checkpoint; empty for none.
  std::string checkpoint;
  // Progress of the task in percent; for a long-running task, its readiness.
  double percent = 0.0;
  // Long-running tasks with a target: the tail of their response times in
  // milliseconds. Other tasks: thousandths of a core in use.
  double tailMsOrCpuMillis = 0.0;

  auto operator==(const RunReport&) const -> bool = default;
};

enum class RunOutcome
{
  Done,
  Failed,         // by a fault of the task or of the worker
  Stopped,        // by a stop call
  LeaseExpired,   // its lease expired
  GangEnded,      // another member of its gang ended
  GangIncomplete, // the other members of its gang did not start
  RunOutcome_NB
};

auto
ToText(RunOutcome aEnd) -> const char*;

// The end of a run on a worker.
struct EndReport
{
  // Starts at 1 and grows by one with each end; starts again when the worker
  // is restarted.
  std::uint64_t number = 0;
  TaskName task;
  std::uint32_t runNumber = 0;
  RunOutcome outcome = RunOutcome::Failed;
  std::string checkpoint;

  auto operator==(const EndReport&) const -> bool = default;
};

// A report lists at most so many ends, those with the lowest numbers.
inline constexpr std::size_t kMaxListedEnds = 500;

struct WorkerAnswer
{
  std::uint64_t number = 0;
  CallOutcome outcome = CallOutcome::NotSent;
  // The worker's steady clock when it answered; absent if there is no answer.
  std::optional<std::int64_t> clockMs;
  // Renew: when the worker was started, as a time of day; 0 if not reported.
  std::int64_t workerStartUnixMs = 0;
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
  // Number of entries of both lists that could not be parsed.
  std::size_t unreadableEntries = 0;
  // Why there is no answer.
  std::string reason;

  // Whether the report tells of all runs that exist on the worker and of all
  // ends there that are not acknowledged.
  auto IsComplete() const -> bool;

  auto operator==(const WorkerAnswer&) const -> bool = default;
};

} // namespace gooseberry::cells

#endif
