#include "entry.h"

namespace gooseberry::fleet {

namespace {

// What callers ask, as the metrics name it.
constexpr const char* kAnyVerb = "any";
constexpr const char* kSubmitVerb = "submit";
constexpr const char* kStateVerb = "state";
constexpr const char* kCancelVerb = "cancel";
constexpr const char* kCountVerb = "count";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Callers that don't say how long they wait.
constexpr Millis kDefaultDeadline{ 3000 };
// Left for the answer's way back.
constexpr Millis kAnswerReserve{ 200 };
// A store that refuses is tried again so often and after this.
constexpr int kMaxTries = 4;
constexpr Millis kTryAgain{ 80 };
// A store that was slow answered within 0.8 s; no answer in this time is one.
constexpr Millis kCallTimeout{ 1200 };
// A connection may have gone silent while a new one would work.
constexpr Millis kSecondTry{ 450 };
// A submission without an answer from the store is given up after this part of
// the caller's time: trying again, elsewhere, may do better.
constexpr double kSubmissionPart = 0.42;
// A count may be this old, besides the owner's own beat.
constexpr Millis kPendingAge{ 700 };

auto
RetryAfter(int aSeconds) -> HttpFields
{
  return { { "Retry-After", std::to_string(aSeconds) } };
}

} // namespace

struct Entry::Submission
{
  std::shared_ptr<HttpExchange> exchange;
  cells::JobRow row;
  std::string bytes;
  Time giveUpAt{};
  int tries = 0;
  int underWay = 0;
  // The row may be in the store, though no answer said so.
  bool mayBeStored = false;
  bool answered = false;
  std::string reason;
  TimerHandle timer;
};

struct Entry::Question
{
  std::shared_ptr<HttpExchange> exchange;
  cells::JobId job;
  Time deadline{};
  TimerHandle timer;
};

Entry::Entry(Loop& aLoop,
             cells::TablePort& aTables,
             SiteWatch& aSite,
             CellKeeper& aKeeper,
             cells::DecisionLog& aLog,
             FleetMetrics& aMetrics)
  : loop(aLoop)
  , tables(aTables)
  , site(aSite)
  , keeper(aKeeper)
  , log(aLog)
  , metrics(aMetrics)
{
}

auto
Entry::Answer(HttpExchange& aExchange,
              const char* aVerb,
              int aStatus,
              const char* aReason,
              std::string aBody,
              HttpFields aFields) -> void
{
  this->metrics.CountAnswer(
    aVerb, aStatus, aReason, this->loop.Now() - aExchange.ArrivedAt());
  aExchange.Answer(aStatus, std::move(aBody), std::move(aFields));
}

auto
Entry::Handle(std::shared_ptr<HttpExchange> aExchange) -> void
{
  const auto config = this->site.Config();
  if (!config) {
    this->Answer(*aExchange,
                 kAnyVerb,
                 kUnavailable,
                 "no_configuration",
                 wire::ErrorBody("no configuration yet"),
                 RetryAfter(1));
    return;
  }
  const auto request = wire::ReadCallerRequest(aExchange->Request());
  const auto* const queue = config->FindQueue(request.host, request.path);
  if (queue == nullptr) {
    this->Answer(*aExchange,
                 kAnyVerb,
                 kNotFound,
                 "no_queue",
                 wire::ErrorBody("no such queue"),
                 {});
    return;
  }
  const auto rest = request.path.substr(queue->pathPrefix.size());
  const auto verb = wire::VerbOf(aExchange->Request(), rest);
  if (verb == wire::CallerVerb::CountPending) {
    this->CountPending(aExchange, *queue);
    return;
  }
  const auto job = cells::JobId::Parse(rest);
  if (verb == wire::CallerVerb::Unknown) {
    this->Answer(*aExchange,
                 kAnyVerb,
                 kNotAllowed,
                 "method",
                 wire::ErrorBody("method not known"),
                 {});
    return;
  }
  if (!job) {
    this->Answer(*aExchange,
                 kAnyVerb,
                 kBadRequest,
                 "job_name",
                 wire::ErrorBody("a job's name is 16 hexadecimal digits"),
                 {});
    return;
  }
  if (verb == wire::CallerVerb::Submit) {
    this->Submit(std::move(aExchange), request, *queue, *job);
    return;
  }
  auto question = std::make_shared<Question>();
  question->deadline = aExchange->ArrivedAt() +
                       request.deadline.value_or(kDefaultDeadline) -
                       kAnswerReserve;
  question->exchange = std::move(aExchange);
  question->job = *job;
  if (verb == wire::CallerVerb::Cancel) {
    this->Cancel(question);
  } else {
    this->AskState(question);
  }
}

auto
Entry::Submit(std::shared_ptr<HttpExchange> aExchange,
              const wire::CallerRequest& aRequest,
              const cells::Queue& aQueue,
              const cells::JobId& aJob) -> void
{
  auto reason = std::string{};
  auto spec = wire::ReadJob(aExchange->Request().body, reason);
  if (!spec) {
    this->log.Write("job_refused",
                    { { "job", aJob.Text() }, { "reason", reason } });
    this->Answer(*aExchange,
                 kSubmitVerb,
                 kBadRequest,
                 "malformed",
                 wire::ErrorBody(reason),
                 {});
    return;
  }
  auto submission = std::make_shared<Submission>();
  submission->giveUpAt =
    aExchange->ArrivedAt() + std::chrono::duration_cast<Millis>(
                               std::chrono::duration<double, std::milli>(
                                 aRequest.deadline.value_or(kDefaultDeadline)) *
                               kSubmissionPart);
  submission->exchange = std::move(aExchange);
  submission->row = {
    aJob, aQueue.id, aQueue.policy, std::move(*spec), this->loop.UnixMillis()
  };
  submission->bytes = cells::EncodeJobRow(submission->row);
  this->WriteJob(submission);
}

auto
Entry::WriteJob(const std::shared_ptr<Submission>& aSubmission) -> void
{
  ++aSubmission->tries;
  ++aSubmission->underWay;
  const auto key = this->keeper.Rows().Submission(aSubmission->row.id);
  this->tables.Commit(
    { { { key, 0 } }, { { key, aSubmission->bytes } }, {} },
    ToMillis(aSubmission->giveUpAt - this->loop.Now()),
    [this, aSubmission](const cells::CommitOutcome& aOutcome) {
      --aSubmission->underWay;
      if (!aSubmission->answered) {
        this->OnWritten(aSubmission, aOutcome);
      }
    });
  if (aSubmission->tries == 1) {
    aSubmission->timer = this->loop.After(kSecondTry, [this, aSubmission] {
      if (!aSubmission->answered && aSubmission->underWay > 0) {
        this->WriteJob(aSubmission);
      }
    });
  }
}

auto
Entry::OnWritten(const std::shared_ptr<Submission>& aSubmission,
                 const cells::CommitOutcome& aOutcome) -> void
{
  const auto& job = aSubmission->row.id;
  switch (aOutcome.end) {
    case cells::TableEnd::Done:
      this->log.Write("job_accepted",
                      { { "job", job.Text() },
                        { "queue", aSubmission->row.queue.text },
                        { "row", std::to_string(aOutcome.version) },
                        { "tries", std::to_string(aSubmission->tries) } });
      this->AnswerSubmission(*aSubmission, kOk, "accepted", "{}", {});
      this->keeper.OnAccepted(aSubmission->row);
      return;
    case cells::TableEnd::Conflict:
      // An earlier try of the same job was written.
      this->log.Write("job_known", { { "job", job.Text() } });
      this->AnswerSubmission(*aSubmission, kOk, "known", "{}", {});
      return;
    case cells::TableEnd::Unknown:
      aSubmission->mayBeStored = true;
      break;
    default:
      break;
  }
  aSubmission->reason = aOutcome.reason;
  const auto left = aSubmission->giveUpAt - this->loop.Now();
  if (aSubmission->underWay > 0) {
    return;
  }
  if (aSubmission->tries < kMaxTries && left > kTryAgain * 2) {
    aSubmission->timer = this->loop.After(
      kTryAgain, [this, aSubmission] { this->WriteJob(aSubmission); });
    return;
  }
  this->GiveUp(*aSubmission);
}

auto
Entry::GiveUp(Submission& aSubmission) -> void
{
  this->log.Write("job_not_accepted",
                  { { "job", aSubmission.row.id.Text() },
                    { "may_be_stored", aSubmission.mayBeStored ? "yes" : "no" },
                    { "tries", std::to_string(aSubmission.tries) },
                    { "reason", aSubmission.reason } });
  if (aSubmission.mayBeStored) {
    this->AnswerSubmission(aSubmission,
                           kGatewayTimeout,
                           "store_silent",
                           wire::ErrorBody("the store did not answer"),
                           {});
  } else {
    this->AnswerSubmission(aSubmission,
                           kUnavailable,
                           "store_refuses",
                           wire::ErrorBody("the store takes nothing"),
                           RetryAfter(1));
  }
}

auto
Entry::AnswerSubmission(Submission& aSubmission,
                        int aStatus,
                        const char* aReason,
                        std::string aBody,
                        HttpFields aFields) -> void
{
  aSubmission.answered = true;
  aSubmission.timer.reset();
  this->Answer(*aSubmission.exchange,
               kSubmitVerb,
               aStatus,
               aReason,
               std::move(aBody),
               std::move(aFields));
}

auto
Entry::AskState(const std::shared_ptr<Question>& aQuestion) -> void
{
  if (const auto* const cell = this->keeper.OwnedCell()) {
    if (const auto* const job = cell->FindJob(aQuestion->job)) {
      auto state = IsFinal(job->state) ? job->recorded : job->state;
      this->Answer(*aQuestion->exchange,
                   kStateVerb,
                   kOk,
                   ToText(state),
                   wire::StateBody(state),
                   {});
      return;
    }
  }
  this->ReadRecord(aQuestion);
}

auto
Entry::ReadRecord(const std::shared_ptr<Question>& aQuestion) -> void
{
  const auto key = this->keeper.Rows().Record(aQuestion->job);
  this->tables.Read({ key.table, key.part, key.key, key.key + "!" },
                    kCallTimeout,
                    [this, aQuestion](const cells::RowsOutcome& aOutcome) {
                      if (aOutcome.end != cells::TableEnd::Done) {
                        this->RetryQuestion(aQuestion, &Entry::ReadRecord);
                        return;
                      }
                      auto reason = std::string{};
                      if (!aOutcome.rows.empty()) {
                        if (const auto record = cells::DecodeRecord(
                              aOutcome.rows.front().value, reason)) {
                          this->Answer(*aQuestion->exchange,
                                       kStateVerb,
                                       kOk,
                                       ToText(record->state),
                                       wire::StateBody(record->state),
                                       {});
                          return;
                        }
                      }
                      this->ReadSubmission(aQuestion);
                    });
}

auto
Entry::ReadSubmission(const std::shared_ptr<Question>& aQuestion) -> void
{
  const auto key = this->keeper.Rows().Submission(aQuestion->job);
  this->tables.Read({ key.table, key.part, key.key, key.key + "!" },
                    kCallTimeout,
                    [this, aQuestion](const cells::RowsOutcome& aOutcome) {
                      if (aOutcome.end != cells::TableEnd::Done) {
                        this->RetryQuestion(aQuestion, &Entry::ReadSubmission);
                      } else if (aOutcome.rows.empty()) {
                        this->Answer(*aQuestion->exchange,
                                     kStateVerb,
                                     kGone,
                                     "no_job",
                                     wire::ErrorBody("no such job"),
                                     {});
                      } else {
                        this->Answer(*aQuestion->exchange,
                                     kStateVerb,
                                     kOk,
                                     ToText(cells::JobState::Queued),
                                     wire::StateBody(cells::JobState::Queued),
                                     {});
                      }
                    });
}

auto
Entry::RetryQuestion(const std::shared_ptr<Question>& aQuestion,
                     void (Entry::*aStep)(const std::shared_ptr<Question>&))
  -> void
{
  if (this->loop.Now() + kTryAgain >= aQuestion->deadline) {
    this->Answer(*aQuestion->exchange,
                 kStateVerb,
                 kUnavailable,
                 "store_silent",
                 wire::ErrorBody("the store does not answer"),
                 RetryAfter(1));
    return;
  }
  aQuestion->timer = this->loop.After(
    kTryAgain, [this, aQuestion, aStep] { (this->*aStep)(aQuestion); });
}

auto
Entry::Cancel(const std::shared_ptr<Question>& aQuestion) -> void
{
  const auto key = this->keeper.Rows().Submission(aQuestion->job);
  this->tables.Read({ key.table, key.part, key.key, key.key + "!" },
                    kCallTimeout,
                    [this, aQuestion](const cells::RowsOutcome& aOutcome) {
                      if (aOutcome.end != cells::TableEnd::Done) {
                        this->RetryQuestion(aQuestion, &Entry::Cancel);
                      } else if (aOutcome.rows.empty()) {
                        this->Answer(*aQuestion->exchange,
                                     kCancelVerb,
                                     kGone,
                                     "no_job",
                                     wire::ErrorBody("no such job"),
                                     {});
                      } else {
                        this->WriteCancel(aQuestion);
                      }
                    });
}

auto
Entry::WriteCancel(const std::shared_ptr<Question>& aQuestion) -> void
{
  const auto key = this->keeper.Rows().Cancellation(aQuestion->job);
  this->tables.Commit(
    { {}, { { key, "1" } }, {} },
    kCallTimeout,
    [this, aQuestion](const cells::CommitOutcome& aOutcome) {
      if (aOutcome.end != cells::TableEnd::Done) {
        this->RetryQuestion(aQuestion, &Entry::WriteCancel);
        return;
      }
      this->log.Write("job_cancelled", { { "job", aQuestion->job.Text() } });
      this->Answer(
        *aQuestion->exchange, kCancelVerb, kOk, "cancelled", "{}", {});
      this->keeper.OnCancelled(aQuestion->job);
    });
}

auto
Entry::CountPending(const std::shared_ptr<HttpExchange>& aExchange,
                    const cells::Queue& aQueue) -> void
{
  if (const auto* const cell = this->keeper.OwnedCell()) {
    this->Answer(*aExchange,
                 kCountVerb,
                 kOk,
                 "owner",
                 wire::PendingBody(cell->PendingIn(aQueue.id)),
                 {});
    return;
  }
  if (this->pendingAt && this->loop.Now() < *this->pendingAt + kPendingAge) {
    this->AnswerPending(*aExchange, aQueue.id);
    return;
  }
  this->pendingAskers.emplace_back(aExchange, aQueue.id);
  if (this->pendingAskers.size() == 1) {
    this->ReadPending();
  }
}

auto
Entry::ReadPending() -> void
{
  const auto asked = this->loop.Now();
  const auto owner = this->keeper.Rows().Owner();
  this->tables.Read(
    { owner.table, owner.part, "", "" },
    kCallTimeout,
    [this, asked](const cells::RowsOutcome& aOutcome) {
      auto reason = std::string{};
      const auto row =
        aOutcome.rows.empty()
          ? std::nullopt
          : cells::DecodeOwner(aOutcome.rows.front().value, reason);
      if (row) {
        this->pending = row->pending;
        this->pendingAt = asked;
      }
      for (const auto& [exchange, queue] :
           std::exchange(this->pendingAskers, {})) {
        if (row || this->pendingAt) {
          this->AnswerPending(*exchange, queue);
        } else {
          this->Answer(*exchange,
                       kCountVerb,
                       kUnavailable,
                       "store_silent",
                       wire::ErrorBody("the count is not known"),
                       RetryAfter(1));
        }
      }
    });
}

auto
Entry::AnswerPending(HttpExchange& aExchange, const QueueId& aQueue) -> void
{
  const auto found = this->pending.find(aQueue.text);
  this->Answer(
    aExchange,
    kCountVerb,
    kOk,
    "read",
    wire::PendingBody(found == this->pending.end() ? 0 : found->second),
    {});
}

} // namespace gooseberry::fleet
