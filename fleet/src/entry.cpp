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
// Jobs whose cell is remembered; callers ask for a job's state many times.
constexpr std::size_t kNotedJobs = 4000;

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
  bool cancels = false;
  // The job's row was seen, so that the job is known.
  bool sawRow = false;
};

Entry::Entry(Loop& aLoop,
             cells::TablePort& aTables,
             SiteWatch& aSite,
             CellBoard& aBoard,
             FleetView& aView,
             cells::DecisionLog& aLog,
             FleetMetrics& aMetrics)
  : loop(aLoop)
  , tables(aTables)
  , site(aSite)
  , board(aBoard)
  , view(aView)
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
  const auto& layout = this->view.Layout();
  if (spec && layout && cells::NeededCells(*layout, *spec).size() > 1) {
    reason = "requires: these racks share no cell, so no one cell can run it";
    spec.reset();
  }
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
  const auto cell =
    layout ? cells::ChooseCell(*layout, this->view.Loads(), submission->row)
           : std::nullopt;
  if (!cell) {
    submission->reason = "no worker was seen yet";
    this->GiveUp(*submission);
    return;
  }
  submission->row.cell = *cell;
  submission->bytes = cells::EncodeJobRow(submission->row);
  this->WriteJob(submission);
}

auto
Entry::WriteJob(const std::shared_ptr<Submission>& aSubmission) -> void
{
  ++aSubmission->tries;
  ++aSubmission->underWay;
  const auto key = cells::CellRows::Submission(aSubmission->row.id);
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
      this->NoteCell(job, aSubmission->row.cell);
      this->board.OnAccepted(aSubmission->row);
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
  if (const auto* const job = this->board.FindJob(aQuestion->job)) {
    this->AnswerState(*aQuestion,
                      IsFinal(job->state) ? job->recorded : job->state);
    return;
  }
  if (this->CellOf(aQuestion->job)) {
    this->ReadRecord(aQuestion);
  } else {
    this->ReadSubmission(aQuestion);
  }
}

auto
Entry::AnswerState(Question& aQuestion, cells::JobState aState) -> void
{
  this->Answer(*aQuestion.exchange,
               kStateVerb,
               kOk,
               ToText(aState),
               wire::StateBody(aState),
               {});
}

// The row of the job tells its cell.
auto
Entry::ReadSubmission(const std::shared_ptr<Question>& aQuestion) -> void
{
  this->ReadRow(cells::CellRows::Submission(aQuestion->job),
                aQuestion,
                &Entry::ReadSubmission,
                [this, aQuestion](const std::string* aRow) {
                  auto reason = std::string{};
                  if (aRow == nullptr) {
                    this->Answer(*aQuestion->exchange,
                                 aQuestion->cancels ? kCancelVerb : kStateVerb,
                                 kGone,
                                 "no_job",
                                 wire::ErrorBody("no such job"),
                                 {});
                  } else if (const auto row =
                               cells::DecodeJobRow(*aRow, reason)) {
                    aQuestion->sawRow = true;
                    this->NoteCell(aQuestion->job, row->cell);
                    if (aQuestion->cancels) {
                      this->WriteCancel(aQuestion);
                    } else {
                      this->ReadRecord(aQuestion);
                    }
                  } else {
                    this->log.Write("job_unreadable",
                                    { { "job", aQuestion->job.Text() },
                                      { "reason", reason } });
                    this->AnswerState(*aQuestion, cells::JobState::Queued);
                  }
                });
}

auto
Entry::ReadRecord(const std::shared_ptr<Question>& aQuestion) -> void
{
  const auto rows =
    cells::CellRows{ this->CellOf(aQuestion->job).value_or("") };
  this->ReadRow(
    rows.Record(aQuestion->job),
    aQuestion,
    &Entry::ReadRecord,
    [this, aQuestion](const std::string* aRow) {
      auto reason = std::string{};
      if (aRow == nullptr && !aQuestion->sawRow) {
        // Nothing was started yet, or the job was forgotten long ago.
        this->ReadSubmission(aQuestion);
        return;
      }
      const auto record =
        aRow == nullptr ? std::nullopt : cells::DecodeRecord(*aRow, reason);
      this->AnswerState(*aQuestion,
                        record ? record->state : cells::JobState::Queued);
    });
}

// aThen gets the row's value, null if there is no row; aAgain is tried later if
// the store does not answer.
auto
Entry::ReadRow(const cells::RowKey& aKey,
               const std::shared_ptr<Question>& aQuestion,
               void (Entry::*aAgain)(const std::shared_ptr<Question>&),
               std::function<void(const std::string*)> aThen) -> void
{
  this->tables.Read(
    cells::RangeOf(aKey),
    kCallTimeout,
    [this, aQuestion, aAgain, then = std::move(aThen)](
      const cells::RowsOutcome& aOutcome) {
      if (aOutcome.end != cells::TableEnd::Done) {
        this->RetryQuestion(aQuestion, aAgain);
      } else {
        then(aOutcome.rows.empty() ? nullptr : &aOutcome.rows.front().value);
      }
    });
}

auto
Entry::NoteCell(const cells::JobId& aJob, const std::string& aCell) -> void
{
  if (!this->cellsOfJobs.insert_or_assign(aJob, aCell).second) {
    return;
  }
  this->notedJobs.push_back(aJob);
  if (this->notedJobs.size() > kNotedJobs) {
    this->cellsOfJobs.erase(this->notedJobs.front());
    this->notedJobs.pop_front();
  }
}

auto
Entry::CellOf(const cells::JobId& aJob) const -> std::optional<std::string>
{
  const auto found = this->cellsOfJobs.find(aJob);
  return found == this->cellsOfJobs.end() ? std::nullopt
                                          : std::optional{ found->second };
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
  aQuestion->cancels = true;
  if (this->CellOf(aQuestion->job)) {
    this->WriteCancel(aQuestion);
  } else {
    this->ReadSubmission(aQuestion);
  }
}

auto
Entry::WriteCancel(const std::shared_ptr<Question>& aQuestion) -> void
{
  const auto key = cells::CellRows::Cancellation(aQuestion->job);
  const auto cell = this->CellOf(aQuestion->job).value_or("");
  this->tables.Commit(
    { {}, { { key, cell } }, {} },
    kCallTimeout,
    [this, aQuestion, cell](const cells::CommitOutcome& aOutcome) {
      if (aOutcome.end != cells::TableEnd::Done) {
        this->RetryQuestion(aQuestion, &Entry::WriteCancel);
        return;
      }
      this->log.Write("job_cancelled", { { "job", aQuestion->job.Text() } });
      this->Answer(
        *aQuestion->exchange, kCancelVerb, kOk, "cancelled", "{}", {});
      this->board.OnCancelled(cell, aQuestion->job);
    });
}

// Counts of owned cells are at hand; the others are told through the store.
auto
Entry::CountPending(const std::shared_ptr<HttpExchange>& aExchange,
                    const cells::Queue& aQueue) -> void
{
  const auto& layout = this->view.Layout();
  const auto ownsAll =
    layout && this->board.OwnedCells().size() == layout->cells.size();
  const auto readAt = this->view.ReadAt();
  if (ownsAll || (readAt && this->loop.Now() < *readAt + kPendingAge)) {
    this->AnswerPending(*aExchange, aQueue.id);
    return;
  }
  this->view.ReadNow([this, aExchange, queue = aQueue.id] {
    if (this->view.ReadAt()) {
      this->AnswerPending(*aExchange, queue);
    } else {
      this->Answer(*aExchange,
                   kCountVerb,
                   kUnavailable,
                   "store_silent",
                   wire::ErrorBody("the count is not known"),
                   RetryAfter(1));
    }
  });
}

auto
Entry::AnswerPending(HttpExchange& aExchange, const QueueId& aQueue) -> void
{
  auto pending = std::size_t{ 0 };
  for (const auto& [cell, load] : this->view.Loads()) {
    if (const auto* const mine = this->board.Owned(cell)) {
      pending += mine->PendingIn(aQueue);
    } else if (const auto found = load.pending.find(aQueue.text);
               found != load.pending.end()) {
      pending += found->second;
    }
  }
  this->Answer(
    aExchange, kCountVerb, kOk, "counted", wire::PendingBody(pending), {});
}

} // namespace gooseberry::fleet
