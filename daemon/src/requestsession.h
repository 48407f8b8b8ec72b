#ifndef GOOSEBERRY_REQUESTSESSION_H
#define GOOSEBERRY_REQUESTSESSION_H

// Processes one request of a caller, from admission until its response may be
// forwarded: attempts at backend servers, retries, a hedged attempt when a
// reused connection stays silent, and the verdict if every attempt fails.

#include <memory>
#include <vector>

#include "backendpools.h"
#include "claims.h"
#include "exchange.h"
#include "gate.h"

namespace gooseberry {

// What the caller port determines about a request before its first attempt.
struct RequestPlan
{
  std::shared_ptr<const Route> route;
  std::shared_ptr<AdmissionController> admission;
  std::shared_ptr<const OutgoingRequest> outgoing;
  // Priority of the caller's class; lower ranks are served first.
  int rank = 0;
  // Identifies the caller for fair queueing.
  std::string callerId;
  Time deadline;
  // Whether the request may safely run more than once.
  bool idempotent = false;
  // Part of the caller's request body was not read.
  bool bodyUnread = false;
};

// Either an exchange whose response may be forwarded (winner), or null with the
// verdict, the reason and the time after which the caller may retry.
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
                 ConnectionThreadPool& aThreads,
                 const Clock& aClock,
                 std::shared_ptr<ByteBudget> aBodyBudget);

  // Blocks until there is an outcome, at most until the request's deadline.
  auto Run() -> RequestOutcome;

private:
  // Starts one attempt. Returns false if the request is not admitted; the
  // outcome then holds the refusal, unless an earlier attempt may have run.
  auto StartAttempt(ConnectionChoice aConnectionChoice) -> bool;
  // The first exchange whose response may be forwarded, or null.
  auto FindForwardableExchange() -> std::shared_ptr<Exchange>;
  // Removes exchanges that ended without a response. Returns true if another
  // attempt may follow.
  auto RemoveFailedExchanges() -> bool;
  // Returns whether a retry is allowed, and if so takes it from the budget.
  auto TryConsumeRetry(AttemptEnd aEnd, RetryReason aReason) -> bool;
  auto AcceptOrRetry(const Exchange& aExchange) -> bool;
  static auto IsReadyToForward(Exchange& aExchange) -> bool;
  auto HedgeSilentConnection() -> void;
  auto CancelAllExcept(const Exchange* aWinner) -> void;
  auto NextCheckTime() const -> Time;

  const RequestPlan plan;
  BackendPools& backendPools;
  ConnectionThreadPool& exchangeThreads;
  const Clock& clock;
  const std::shared_ptr<ByteBudget> bodyBudget;
  const std::shared_ptr<ChangeNotifier> changeNotifier;
  std::vector<std::shared_ptr<Exchange>> activeExchanges;
  std::vector<const Backend*> triedBackends;
  // Keeps the pointers in triedBackends valid.
  std::vector<std::shared_ptr<Backend>> triedBackendOwners;
  int attemptCount = 0;
  bool hedged = false;
  RequestOutcome outcome;
};

} // namespace gooseberry

#endif
