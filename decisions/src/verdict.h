#ifndef GOOSEBERRY_VERDICT_H
#define GOOSEBERRY_VERDICT_H

// Outcomes of requests: whether one may have run, and why one was refused or
// retried.

namespace gooseberry {

// Whether a request without a complete response may have run.
enum class Verdict
{
  NotRun,     // it certainly did not run; the caller may safely repeat it
  MayHaveRun, // unknown
  Ran,        // a backend server answered it
  Verdict_NB
};

auto
ToText(Verdict aVerdict) -> const char*;

// Why a request was refused or failed.
enum class Refusal
{
  UnknownService,
  QueueFull,
  DeadlinePassed,
  NoBackend,
  Draining,
  ClaimTaken,
  ClaimUnavailable,
  ClaimMissing,
  BadRequest,
  NotReady,
  BackendFailed,
  BackendTimeout,
  CallerDisconnected,
  BodyMemory, // the bodies that the instance holds take all memory for them
  Refusal_NB
};

auto
ToText(Refusal aRefusal) -> const char*;

// Why a request was sent again.
enum class RetryReason
{
  ConnectFailed,
  ResponseTruncated,
  ResponseTimeout,
  Unavailable,
  SilentConnection,
  BudgetSpent, // counts retries that were not made because of the retry budget
  RetryReason_NB
};

auto
ToText(RetryReason aReason) -> const char*;

// How one attempt at a backend server ended.
enum class AttemptEnd
{
  Answered,
  ConnectFailed,    // no byte of the request was sent
  ConnectionBroken, // the connection failed after bytes were sent
  TimedOut,         // no complete response within the timeout
  Cancelled,
  AttemptEnd_NB
};

// Only a failure to connect proves that the request did not run.
auto
VerdictOf(AttemptEnd aEnd) -> Verdict;

} // namespace gooseberry

#endif
