#ifndef GOOSEBERRY_REQUESTSESSION_H
#define GOOSEBERRY_REQUESTSESSION_H

// One request of a caller, from admission to the start of its answer: attempts
// at backend servers, retries, the race against a silent connection, and the
// verdict if all fails.

#include <memory>
#include <vector>

#include "backendpools.h"
#include "claims.h"
#include "exchange.h"
#include "gate.h"

namespace gooseberry {

// What was learned of a request before its first attempt.
struct RequestPlan
{
  std::shared_ptr<const Route> route;
  std::shared_ptr<Gate> gate;
  std::shared_ptr<const OutgoingRequest> outgoing;
  int rank = 0;
  std::string caller;
  Time deadline;
  // Whether sending it twice does no harm.
  bool repeatable = false;
  // Part of the caller's body stayed unread.
  bool bodyUnread = false;
};

// Either a winner, whose answer may be passed on, or a verdict and reason.
struct RequestOutcome
{
  std::shared_ptr<Exchange> winner;
  Verdict verdict = Verdict::NotRun;
  Refusal refusal = Refusal::NoBackend;
  Millis retryAfter{ 0 };
};

class RequestSession
{
public:
  RequestSession(RequestPlan aPlan,
                 BackendPools& aPools,
                 ConnectionThreads& aThreads,
                 const Clock& aClock);

  // Blocks until there is an outcome, at most until the deadline.
  auto Run() -> RequestOutcome;

private:
  // Starts one attempt; false with the refusal if none can be.
  auto StartAttempt(ConnectionChoice aChoice) -> bool;
  auto Winner() -> std::shared_ptr<Exchange>;
  // Drops attempts that ended without an answer; true if one may follow.
  auto DropEnded() -> bool;
  auto MayRetry(AttemptEnd aEnd, RetryReason aReason) -> bool;
  auto WorthPassingOn(const Exchange& aExchange) -> bool;
  static auto WholeEnough(Exchange& aExchange) -> bool;
  auto RaceSilence() -> void;
  auto CancelOthers(const Exchange* aWinner) -> void;
  auto NextWake() const -> Time;

  const RequestPlan plan;
  BackendPools& pools;
  ConnectionThreads& threads;
  const Clock& clock;
  const std::shared_ptr<Signal> signal;
  std::vector<std::shared_ptr<Exchange>> active;
  std::vector<const Backend*> tried;
  // Keeps the addresses in tried valid.
  std::vector<std::shared_ptr<Backend>> triedOwners;
  int attempts = 0;
  bool raced = false;
  RequestOutcome outcome;
};

} // namespace gooseberry

#endif
