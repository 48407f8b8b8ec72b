#ifndef GOOSEBERRY_WORKERCALL_H
#define GOOSEBERRY_WORKERCALL_H

// Calls of a cell's scheduler to its workers, and what is known afterwards.

#include <cstdint>
#include <string>
#include <vector>

#include "jobname.h"

namespace gooseberry::cells {

enum class CallKind
{
  Start,
  Stop,
  Renew, // the worker's lease, and a report of what runs and what has ended
  Pace,
  CallKind_NB
};

auto
ToText(CallKind aKind) -> const char*;

// The pace of a run that may use all of its speed, in percent.
inline constexpr int kFullPace = 100;

struct WorkerCall
{
  // Names the call in its answer.
  std::uint64_t number = 0;
  CallKind kind = CallKind::Renew;
  WorkerId worker;
  std::string address;
  std::uint64_t fencingToken = 0;
  // How long to wait for an answer.
  Millis timeout{ 0 };

  // Start, Stop, Pace.
  TaskName task;
  std::uint32_t run = 0;

  // Start. The lease of all that runs there, on the worker's clock; a start
  // that arrives later is refused.
  std::int64_t leaseEndMs = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;

  // Renew: ends up to this number are recorded; the worker may forget them.
  std::uint64_t recordedEnds = 0;
  // Renew: how long the worker may wait for an end before it answers.
  Millis patience{ 0 };

  // Pace: the share of its speed that the task may use.
  int percent = kFullPace;

  auto operator==(const WorkerCall&) const -> bool = default;
};

// How a call ended.
enum class CallEnd
{
  Done,       // the worker took it
  Fenced,     // the worker obeys a newer fencing token
  Superseded, // the run is not newer than one that ended there
  TooLate,    // the lease in the call was over
  NoRoom,     // does not fit
  NoTicket,   // the ticket is missing or over
  OtherLife,  // the worker was started anew since
  Unhealthy,  // the worker did nothing, for now
  Malformed,  // the worker does not understand it
  NotSent,    // it surely did not run
  Unanswered, // it may have run, or may run later
  Unreadable, // answered, but with what can't be read: may have run
  CallEnd_NB
};

auto
ToText(CallEnd aEnd) -> const char*;

struct RunReport
{
  TaskName task;
  std::uint32_t run = 0;
  // The newest checkpoint; empty for none.
  std::string checkpoint;
  // Progress of a task, or the readiness of a lasting one.
  double percent = 0.0;
  // Lasting tasks with a target: the tail of their answer times in
  // milliseconds. Others: thousandths of a core in use.
  double measured = 0.0;

  auto operator==(const RunReport&) const -> bool = default;
};

enum class RunEnd
{
  Done,
  Failed,  // through its own fault or the worker's
  Stopped, // as it was told to
  Lapsed,  // its lease was over
  Broken,  // another member of its gang ended
  Alone,   // the other members of its gang did not come
  RunEnd_NB
};

auto
ToText(RunEnd aEnd) -> const char*;

struct EndReport
{
  // Grows by one with each end in one life of the worker, from 1 on.
  std::uint64_t number = 0;
  TaskName task;
  std::uint32_t run = 0;
  RunEnd how = RunEnd::Failed;
  std::string checkpoint;

  auto operator==(const EndReport&) const -> bool = default;
};

struct WorkerAnswer
{
  std::uint64_t number = 0;
  CallEnd end = CallEnd::NotSent;
  // The worker's own steady clock when it answered; absent without an answer.
  std::optional<std::int64_t> clockMs;
  // Renew: the worker's start as a time of day; 0 if it does not say.
  std::int64_t bornUnixMs = 0;
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
  // Entries of both lists that could not be read.
  std::size_t unreadable = 0;
  // Why there is no answer.
  std::string reason;

  auto operator==(const WorkerAnswer&) const -> bool = default;
};

} // namespace gooseberry::cells

#endif
