#include "requestsession.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr int kMaxAttempts = 3;
// Answers up to this length are read whole before they are passed on, so that
// a cut one can still be replaced by another attempt.
constexpr std::size_t kSmallAnswerBytes = 65536;
// A reused connection without an answer after this multiple of the usual time
// is raced by a new one.
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
  auto seen = std::uint64_t{ 0 };
  for (;;) {
    if (auto winner = this->Winner()) {
      this->CancelOthers(winner.get());
      this->plan.gate->OnLatency(this->clock.Now() - winner->StartedAt());
      this->outcome.winner = std::move(winner);
      this->outcome.verdict = Verdict::Ran;
      return this->outcome;
    }
    const auto again = this->DropEnded();
    if (this->active.empty() &&
        !(again && this->StartAttempt(ConnectionChoice::New))) {
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
    seen = this->signal->Wait(seen, this->NextWake());
  }
}

auto
RequestSession::StartAttempt(ConnectionChoice aChoice) -> bool
{
  auto place = this->plan.gate->Acquire({ this->plan.route,
                                          this->plan.rank,
                                          this->plan.caller,
                                          this->plan.deadline,
                                          this->tried });
  if (!place.backend) {
    // A refusal does not undo what an earlier attempt may have done.
    if (this->outcome.verdict == Verdict::NotRun) {
      this->outcome.refusal = place.refusal;
      this->outcome.retryAfter = place.retryAfter;
    }
    return false;
  }
  ++this->attempts;
  this->tried.push_back(place.backend.get());
  this->triedOwners.push_back(place.backend);
  auto exchange =
    std::make_shared<Exchange>(this->plan.outgoing,
                               place.backend,
                               this->pools.Of(place.backend->address),
                               this->clock,
                               this->signal);
  this->active.push_back(exchange);
  exchange->Start(this->threads,
                  ToMillis(this->plan.deadline - this->clock.Now()),
                  aChoice,
                  [gate = this->plan.gate] { gate->OnFreed(); });
  return true;
}

auto
RequestSession::Winner() -> std::shared_ptr<Exchange>
{
  // A copy, because another attempt may be started on the way.
  const auto candidates = this->active;
  for (const auto& exchange : candidates) {
    if (exchange->HasHeaders() && this->WorthPassingOn(*exchange) &&
        WholeEnough(*exchange)) {
      return exchange;
    }
  }
  return nullptr;
}

// A backend server that says it is unavailable is left out if another may be
// tried; the last answer is passed on whatever it says.
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

// Small answers are passed on only when they are whole.
auto
RequestSession::WholeEnough(Exchange& aExchange) -> bool
{
  const auto length = aExchange.Headers().find("Content-Length");
  const auto small =
    length != aExchange.Headers().end() &&
    std::strtoull(length->second.c_str(), nullptr, 10) <= kSmallAnswerBytes;
  if (!small) {
    return true;
  }
  return aExchange.Body().End() == PipeEnd::Whole;
}

auto
RequestSession::DropEnded() -> bool
{
  auto again = this->active.empty();
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
    again = this->MayRetry(*end, reason);
    if (VerdictOf(*end) != Verdict::NotRun) {
      this->outcome.verdict = Verdict::MayHaveRun;
    }
    this->outcome.refusal = *end == AttemptEnd::Late ? Refusal::BackendTimeout
                                                     : Refusal::BackendFailed;
    this->outcome.retryAfter = kLeastRetryAfter;
  }
  return again;
}

// A request that surely did not run may be sent again whatever it does; any
// other only if it is repeatable. Uploads are not kept and never sent twice.
auto
RequestSession::MayRetry(AttemptEnd aEnd, RetryReason aReason) -> bool
{
  const auto harmless =
    this->plan.repeatable || VerdictOf(aEnd) == Verdict::NotRun;
  if (!harmless || this->plan.outgoing->upload ||
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

// A reused connection that stays silent for much longer than usual is raced by
// a fresh one, for requests that may run twice.
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

// When to look again without news: at the deadline, or when a lone attempt on
// a reused connection becomes suspect.
auto
RequestSession::NextWake() const -> Time
{
  if (this->raced || this->active.size() != 1 || !this->plan.repeatable) {
    return this->plan.deadline;
  }
  const auto& exchange = *this->active.front();
  const auto usual = Micros{ exchange.Target()->LatencyMicros() };
  const auto patience = std::max<Micros>(kLeastSilence, usual * kSilenceFactor);
  return std::min(this->plan.deadline, exchange.StartedAt() + patience);
}

} // namespace gooseberry
