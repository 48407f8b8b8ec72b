#ifndef GOOSEBERRY_VERDICT_H
#define GOOSEBERRY_VERDICT_H

// Whether a request may have run, and why it was refused or tried again.

namespace gooseberry {

// What is known of a request that did not get a whole answer.
enum class Verdict
{
  NotRun,     // it surely did not run; the caller may repeat it
  MayHaveRun, // nobody knows
  Ran,        // a backend server answered it
  Verdict_NB
};

auto
ToText(Verdict aVerdict) -> const char*;

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
  CallerGone,
  Refusal_NB
};

auto
ToText(Refusal aRefusal) -> const char*;

enum class RetryReason
{
  ConnectFailed,
  AnswerCut,
  AnswerLate,
  Unavailable,
  SilentConnection,
  BudgetSpent, // a retry that was not made
  RetryReason_NB
};

auto
ToText(RetryReason aReason) -> const char*;

// How one attempt at a backend server ended.
enum class AttemptEnd
{
  Answered,
  ConnectFailed, // no byte of the request was sent
  Broken,        // the connection failed after bytes were sent
  Late,          // no answer in time
  Cancelled,
  AttemptEnd_NB
};

// Only a connection that was never made proves that nothing ran.
auto
VerdictOf(AttemptEnd aEnd) -> Verdict;

} // namespace gooseberry

#endif
