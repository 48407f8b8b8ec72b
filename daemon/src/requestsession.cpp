#include "requestsession.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr int kMaxAttempts = 3;
// Responses up to this length are buffered completely before they are
// forwarded, so that another attempt can still replace a truncated one.
constexpr std::size_t kSmallAnswerBytes = 65536;
// A request on a reused connection is hedged over a new connection if there is
// no response within this multiple of the backend server's usual latency, but
// not before kMinHedgeDelay.
constexpr int kSilenceFactor = 8;
constexpr Millis kLeastSilence{ 100 };
constexpr Millis kLeastRetryAfter{ 100 };

} // namespace

RequestSession::RequestSession(RequestPlan aPlan,
                               BackendPools& aPools,
                               ConnectionThreads& aThreads,
                               const Clock& aClock)
  : plan(std::move(aPlan))
  , pools(aPools)
  , threads(aThreads)
  , clock(aClock)
  , signal(std::make_shared<Signal>())
{
}

auto
RequestSession::Run() -> RequestOutcome
{
  if (!this->StartAttempt(this->plan.repeatable ? ConnectionChoice::Any
                                                : ConnectionChoice::Proved)) {
    return this->outcome;
  }
  auto seenChanges = std::uint64_t{ 0 };
  for (;;) {
    if (auto winner = this->Winner()) {
      this->CancelOthers(winner.get());
      this->plan.gate->OnLatency(this->clock.Now() - winner->StartedAt());
      this->outcome.winner = std::move(winner);
      this->outcome.verdict = Verdict::Ran;
      return this->outcome;
    }
    const auto retryAllowed = this->DropEnded();
    if (this->active.empty() &&
        !(retryAllowed && this->StartAttempt(ConnectionChoice::New))) {
      return this->outcome;
    }
    if (this->clock.Now() >= this->plan.deadline) {
      this->CancelOthers(nullptr);
      this->plan.gate->OnLatency(this->clock.Now() -
                                 this->active.front()->StartedAt());
      this->outcome.verdict = Verdict::MayHaveRun;
      this->outcome.refusal = Refusal::BackendTimeout;
      return this->outcome;
    }
    this->RaceSilence();
    seenChanges = this->signal->Wait(seenChanges, this->NextWake());
  }
}

auto
RequestSession::StartAttempt(ConnectionChoice aConnectionChoice) -> bool
{
  auto admission = this->plan.gate->Acquire({ this->plan.route,
                                              this->plan.rank,
                                              this->plan.caller,
                                              this->plan.deadline,
                                              this->tried });
  if (!admission.backend) {
    // A refused retry does not change that an earlier attempt may have run.
    if (this->outcome.verdict == Verdict::NotRun) {
      this->outcome.refusal = admission.refusal;
      this->outcome.retryAfter = admission.retryAfter;
    }
    return false;
  }
  ++this->attempts;
  this->tried.push_back(admission.backend.get());
  this->triedOwners.push_back(admission.backend);
  auto exchange =
    std::make_shared<Exchange>(this->plan.outgoing,
                               admission.backend,
                               this->pools.Of(admission.backend->address),
                               this->clock,
                               this->signal);
  this->active.push_back(exchange);
  exchange->Start(this->threads,
                  ToMillis(this->plan.deadline - this->clock.Now()),
                  aConnectionChoice,
                  [controller = this->plan.gate] { controller->OnFreed(); });
  return true;
}

auto
RequestSession::Winner() -> std::shared_ptr<Exchange>
{
  // Copied, because AcceptOrRetry may start another attempt, which changes the
  // list.
  const auto candidates = this->active;
  for (const auto& exchange : candidates) {
    if (exchange->HasHeaders() && this->WorthPassingOn(*exchange) &&
        WholeEnough(*exchange)) {
      return exchange;
    }
  }
  return nullptr;
}

// Decides whether the response is accepted. If the backend server reports that
// it is unavailable, the request is retried at another one where that is
// allowed; the response of the last attempt is accepted whatever its status.
auto
RequestSession::WorthPassingOn(const Exchange& aExchange) -> bool
{
  if (!aExchange.SaysUnavailable() || !this->plan.repeatable ||
      this->attempts >= kMaxAttempts || this->plan.outgoing->upload) {
    return true;
  }
  if (!aExchange.End() || this->active.size() > 1) {
    return false;
  }
  return !this->MayRetry(AttemptEnd::Broken, RetryReason::Unavailable) ||
         !this->StartAttempt(ConnectionChoice::New);
}

// Short responses are forwarded only once they are complete.
auto
RequestSession::WholeEnough(Exchange& aExchange) -> bool
{
  const auto length = aExchange.Headers().find("Content-Length");
  const auto isShort =
    length != aExchange.Headers().end() &&
    std::strtoull(length->second.c_str(), nullptr, 10) <= kSmallAnswerBytes;
  if (!isShort) {
    return true;
  }
  return aExchange.Body().End() == PipeEnd::Whole;
}

auto
RequestSession::DropEnded() -> bool
{
  auto retryAllowed = this->active.empty();
  for (auto item = this->active.begin(); item != this->active.end();) {
    const auto end = (*item)->End();
    if (!end || *end == AttemptEnd::Answered) {
      ++item;
      continue;
    }
    item = this->active.erase(item);
    const auto reason = *end == AttemptEnd::ConnectFailed
                          ? RetryReason::ConnectFailed
                        : *end == AttemptEnd::Late ? RetryReason::AnswerLate
                                                   : RetryReason::AnswerCut;
    retryAllowed = this->MayRetry(*end, reason);
    if (VerdictOf(*end) != Verdict::NotRun) {
      this->outcome.verdict = Verdict::MayHaveRun;
    }
    this->outcome.refusal = *end == AttemptEnd::Late ? Refusal::BackendTimeout
                                                     : Refusal::BackendFailed;
    this->outcome.retryAfter = kLeastRetryAfter;
  }
  return retryAllowed;
}

// A request that certainly did not run may be sent again in any case, any other
// only if it is idempotent. Streamed uploads are not kept, so they are never
// sent twice.
auto
RequestSession::MayRetry(AttemptEnd aEnd, RetryReason aReason) -> bool
{
  const auto safeToRepeat =
    this->plan.repeatable || VerdictOf(aEnd) == Verdict::NotRun;
  if (!safeToRepeat || this->plan.outgoing->upload ||
      !this->plan.route->spec.retries || this->attempts >= kMaxAttempts ||
      this->clock.Now() >= this->plan.deadline) {
    return false;
  }
  const auto& counters = this->plan.gate->Counters();
  if (!this->plan.gate->Retries().Take(this->clock.Now())) {
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
RequestSession::RaceSilence() -> void
{
  if (this->raced || this->active.size() != 1 || !this->plan.repeatable) {
    return;
  }
  const auto exchange = this->active.front();
  if (!exchange->OnReusedConnection() || exchange->HasHeaders() ||
      this->clock.Now() < this->NextWake()) {
    return;
  }
  this->raced = true;
  if (this->MayRetry(AttemptEnd::Broken, RetryReason::SilentConnection)) {
    this->StartAttempt(ConnectionChoice::New);
  }
}

auto
RequestSession::CancelOthers(const Exchange* aWinner) -> void
{
  for (const auto& exchange : this->active) {
    if (exchange.get() != aWinner) {
      exchange->Cancel();
    }
  }
}

// When Run has to check again without a notification: at the deadline, or when
// a hedged attempt for the only active exchange becomes due.
auto
RequestSession::NextWake() const -> Time
{
  if (this->raced || this->active.size() != 1 || !this->plan.repeatable) {
    return this->plan.deadline;
  }
  const auto& exchange = *this->active.front();
  const auto usualLatency = Micros{ exchange.Target()->LatencyMicros() };
  const auto hedgeDelay =
    std::max<Micros>(kLeastSilence, usualLatency * kSilenceFactor);
  return std::min(this->plan.deadline, exchange.StartedAt() + hedgeDelay);
}

} // namespace gooseberry
