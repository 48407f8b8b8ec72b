#include "requestsession.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr int kMaxAttempts = 3;
// A request on a reused connection is hedged over a new connection if there is
// no response within this multiple of the backend server's usual latency, but
// not before kMinHedgeDelay.
constexpr int kHedgeLatencyFactor = 8;
constexpr Millis kMinHedgeDelay{ 100 };
constexpr Millis kMinRetryAfter{ 100 };

} // namespace

RequestSession::RequestSession(RequestPlan aPlan,
                               BackendPools& aPools,
                               ConnectionThreadPool& aThreads,
                               const Clock& aClock,
                               std::shared_ptr<ByteBudget> aBodyBudget)
  : plan(std::move(aPlan))
  , backendPools(aPools)
  , exchangeThreads(aThreads)
  , clock(aClock)
  , bodyBudget(std::move(aBodyBudget))
  , changeNotifier(std::make_shared<ChangeNotifier>())
{
}

auto
RequestSession::Run() -> RequestOutcome
{
  if (!this->StartAttempt(this->plan.idempotent
                            ? ConnectionChoice::Any
                            : ConnectionChoice::RecentlyUsed)) {
    return this->outcome;
  }
  auto seenChanges = std::uint64_t{ 0 };
  for (;;) {
    if (auto winner = this->FindForwardableExchange()) {
      this->CancelAllExcept(winner.get());
      this->plan.admission->OnLatency(this->clock.Now() - winner->StartedAt());
      this->outcome.winner = std::move(winner);
      this->outcome.verdict = Verdict::Ran;
      return this->outcome;
    }
    const auto retryAllowed = this->RemoveFailedExchanges();
    if (this->activeExchanges.empty() &&
        !(retryAllowed && this->StartAttempt(ConnectionChoice::New))) {
      return this->outcome;
    }
    if (this->clock.Now() >= this->plan.deadline) {
      this->CancelAllExcept(nullptr);
      this->plan.admission->OnLatency(
        this->clock.Now() - this->activeExchanges.front()->StartedAt());
      this->outcome.verdict = Verdict::MayHaveRun;
      this->outcome.refusal = Refusal::BackendTimeout;
      return this->outcome;
    }
    this->HedgeSilentConnection();
    seenChanges =
      this->changeNotifier->Wait(seenChanges, this->NextCheckTime());
  }
}

auto
RequestSession::StartAttempt(ConnectionChoice aConnectionChoice) -> bool
{
  auto admission = this->plan.admission->Acquire({ this->plan.route,
                                                   this->plan.rank,
                                                   this->plan.callerId,
                                                   this->plan.deadline,
                                                   this->triedBackends });
  if (!admission.backend) {
    // A refused retry does not change that an earlier attempt may have run.
    if (this->outcome.verdict == Verdict::NotRun) {
      this->outcome.refusal = admission.refusal;
      this->outcome.retryAfter = admission.retryAfter;
    }
    return false;
  }
  ++this->attemptCount;
  this->triedBackends.push_back(admission.backend.get());
  this->triedBackendOwners.push_back(admission.backend);
  auto exchange = std::make_shared<Exchange>(
    this->plan.outgoing,
    admission.backend,
    this->backendPools.PoolFor(admission.backend->address),
    this->clock,
    this->changeNotifier,
    this->bodyBudget);
  this->activeExchanges.push_back(exchange);
  exchange->Start(
    this->exchangeThreads,
    ToMillis(this->plan.deadline - this->clock.Now()),
    aConnectionChoice,
    [controller = this->plan.admission] { controller->OnSlotReleased(); });
  return true;
}

auto
RequestSession::FindForwardableExchange() -> std::shared_ptr<Exchange>
{
  // Copied, because AcceptOrRetry may start another attempt, which changes the
  // list.
  const auto candidates = this->activeExchanges;
  for (const auto& exchange : candidates) {
    if (exchange->HasHeaders() && this->AcceptOrRetry(*exchange) &&
        IsReadyToForward(*exchange)) {
      return exchange;
    }
  }
  return nullptr;
}

// Decides whether the response is accepted. If the backend server reports that
// it is unavailable, the request is retried at another one where that is
// allowed; the response of the last attempt is accepted whatever its status.
auto
RequestSession::AcceptOrRetry(const Exchange& aExchange) -> bool
{
  if (!aExchange.IsUnavailableResponse() || !this->plan.idempotent ||
      this->attemptCount >= kMaxAttempts || this->plan.outgoing->upload) {
    return true;
  }
  if (!aExchange.Outcome() || this->activeExchanges.size() > 1) {
    return false;
  }
  return !this->TryConsumeRetry(AttemptEnd::ConnectionBroken,
                                RetryReason::Unavailable) ||
         !this->StartAttempt(ConnectionChoice::New);
}

// Short responses are forwarded only once they are complete.
auto
RequestSession::IsReadyToForward(Exchange& aExchange) -> bool
{
  const auto length = aExchange.DeclaredLength();
  if (!length || *length > kMaxBufferedResponseBytes) {
    return true;
  }
  return aExchange.Body().State() == PipeState::Complete;
}

auto
RequestSession::RemoveFailedExchanges() -> bool
{
  auto retryAllowed = this->activeExchanges.empty();
  for (auto item = this->activeExchanges.begin();
       item != this->activeExchanges.end();) {
    const auto end = (*item)->Outcome();
    if (!end || *end == AttemptEnd::Answered) {
      ++item;
      continue;
    }
    item = this->activeExchanges.erase(item);
    const auto reason =
      *end == AttemptEnd::ConnectFailed ? RetryReason::ConnectFailed
      : *end == AttemptEnd::TimedOut    ? RetryReason::ResponseTimeout
                                        : RetryReason::ResponseTruncated;
    retryAllowed = this->TryConsumeRetry(*end, reason);
    if (VerdictOf(*end) != Verdict::NotRun) {
      this->outcome.verdict = Verdict::MayHaveRun;
    }
    this->outcome.refusal = *end == AttemptEnd::TimedOut
                              ? Refusal::BackendTimeout
                              : Refusal::BackendFailed;
    this->outcome.retryAfter = kMinRetryAfter;
  }
  return retryAllowed;
}

// A request that certainly did not run may be sent again in any case, any other
// only if it is idempotent. Streamed uploads are not kept, so they are never
// sent twice.
auto
RequestSession::TryConsumeRetry(AttemptEnd aEnd, RetryReason aReason) -> bool
{
  const auto safeToRepeat =
    this->plan.idempotent || VerdictOf(aEnd) == Verdict::NotRun;
  if (!safeToRepeat || this->plan.outgoing->upload ||
      !this->plan.route->spec.retriesEnabled ||
      this->attemptCount >= kMaxAttempts ||
      this->clock.Now() >= this->plan.deadline) {
    return false;
  }
  const auto& counters = this->plan.admission->Counters();
  if (!this->plan.admission->GetRetryBudget().TrySpend(this->clock.Now())) {
    counters.Count(RetryReason::BudgetSpent);
    return false;
  }
  counters.Count(aReason);
  return true;
}

// Starts a hedged attempt over a new connection if a reused connection stays
// silent for much longer than usual. Only for idempotent requests, and once per
// request.
auto
RequestSession::HedgeSilentConnection() -> void
{
  if (this->hedged || this->activeExchanges.size() != 1 ||
      !this->plan.idempotent) {
    return;
  }
  const auto exchange = this->activeExchanges.front();
  if (!exchange->UsesReusedConnection() || exchange->HasHeaders() ||
      this->clock.Now() < this->NextCheckTime()) {
    return;
  }
  this->hedged = true;
  if (this->TryConsumeRetry(AttemptEnd::ConnectionBroken,
                            RetryReason::SilentConnection)) {
    this->StartAttempt(ConnectionChoice::New);
  }
}

auto
RequestSession::CancelAllExcept(const Exchange* aWinner) -> void
{
  for (const auto& exchange : this->activeExchanges) {
    if (exchange.get() != aWinner) {
      exchange->Cancel();
    }
  }
}

// When Run has to check again without a notification: at the deadline, or when
// a hedged attempt for the only active exchange becomes due.
auto
RequestSession::NextCheckTime() const -> Time
{
  if (this->hedged || this->activeExchanges.size() != 1 ||
      !this->plan.idempotent) {
    return this->plan.deadline;
  }
  const auto& exchange = *this->activeExchanges.front();
  const auto usualLatency = Micros{ exchange.TargetBackend()->LatencyMicros() };
  const auto hedgeDelay =
    std::max<Micros>(kMinHedgeDelay, usualLatency * kHedgeLatencyFactor);
  return std::min(this->plan.deadline, exchange.StartedAt() + hedgeDelay);
}

} // namespace gooseberry
