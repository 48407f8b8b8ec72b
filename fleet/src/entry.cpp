#include "entry.h"

namespace gooseberry::fleet {

namespace {

// Values of the label "verb" in the metrics.
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

// Deadline of requests that state none.
constexpr Millis kDefaultDeadline{ 3000 };
// Part of the deadline that is reserved for the answer to travel back.
constexpr Millis kAnswerReserve{ 200 };
// Most attempts to write one submission, and the delay before a call that the
// store refused or did not answer is retried.
constexpr int kMaxTries = 4;
constexpr Millis kTryAgain{ 80 };
// Timeout of a call to the store. A slow store answers within 0.8 s, so no
// answer in this time counts as a failure.
constexpr Millis kCallTimeout{ 1200 };
// Delay before a submission without an answer is sent a second time: the first
// connection may be dead while a new one works.
constexpr Millis kSecondTry{ 450 };
// Fraction of the caller's deadline after which a submission that the store has
// not confirmed is given up: the caller then has time to retry, which may
// succeed at another instance.
constexpr double kSubmissionPart = 0.42;
// Largest age of the data behind a count of pending jobs, in addition to the
// interval at which owners write their loads.
constexpr Millis kPendingAge{ 700 };
// Most jobs whose cell is cached; callers ask for a job's state many times.
constexpr std::size_t kNotedJobs = 4000;

auto
RetryAfter(int aSeconds) -> HttpFields
{
  return { { "Retry-After", std::to_string(aSeconds) } };
}

} // namespace

// A job that a caller submits, until it is answered and no write is in flight.
struct Entry::Submission
{
  std::shared_ptr<HttpExchange> exchange;
  cells::JobRow row;
  std::string bytes;
  Time giveUpAt{};
  int tries = 0;
  int underWay = 0;
  // The row may be in the store although no answer confirmed it.
  bool mayBeStored = false;
  bool answered = false;
  std::string reason;
  TimerHandle timer;
};

// A query of a job's state, or the cancellation of a job.
struct Entry::Question
{
  std::shared_ptr<HttpExchange> exchange;
  cells::JobId job;
  Time deadline{};
  TimerHandle timer;
  bool cancels = false;
  // The job's submission row was read, so the job exists.
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
  const auto jobPath = request.path.substr(queue->pathPrefix.size());
  const auto verb = wire::VerbOf(aExchange->Request(), jobPath);
  if (verb == wire::CallerVerb::CountPending) {
    this->CountPending(aExchange, *queue);
    return;
  }
  const auto job = cells::JobId::Parse(jobPath);
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
  auto jobRequest = std::make_shared<Question>();
  jobRequest->deadline = aExchange->ArrivedAt() +
                         request.deadline.value_or(kDefaultDeadline) -
                         kAnswerReserve;
  jobRequest->exchange = std::move(aExchange);
  jobRequest->job = *job;
  if (verb == wire::CallerVerb::Cancel) {
    this->Cancel(jobRequest);
  } else {
    this->AskState(jobRequest);
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
    submission->reason = "no layout of cells is known yet";
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
      // The row exists already: an earlier attempt to submit the job wrote it.
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
  const auto timeLeft = aSubmission->giveUpAt - this->loop.Now();
  if (aSubmission->underWay > 0) {
    return;
  }
  if (aSubmission->tries < kMaxTries && timeLeft > kTryAgain * 2) {
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
Entry::AskState(const std::shared_ptr<Question>& aJobRequest) -> void
{
  if (const auto* const job = this->board.FindJob(aJobRequest->job)) {
    this->AnswerState(*aJobRequest,
                      IsFinal(job->state) ? job->recorded : job->state);
    return;
  }
  if (this->CellOf(aJobRequest->job)) {
    this->ReadRecord(aJobRequest);
  } else {
    this->ReadSubmission(aJobRequest);
  }
}

auto
Entry::AnswerState(Question& aJobRequest, cells::JobState aState) -> void
{
  this->Answer(*aJobRequest.exchange,
               kStateVerb,
               kOk,
               ToText(aState),
               wire::StateBody(aState),
               {});
}

// The submission row holds the job's cell.
auto
Entry::ReadSubmission(const std::shared_ptr<Question>& aJobRequest) -> void
{
  this->ReadRow(
    cells::CellRows::Submission(aJobRequest->job),
    aJobRequest,
    &Entry::ReadSubmission,
    [this, aJobRequest](const std::string* aRow) {
      auto reason = std::string{};
      if (aRow == nullptr) {
        this->Answer(*aJobRequest->exchange,
                     aJobRequest->cancels ? kCancelVerb : kStateVerb,
                     kGone,
                     "no_job",
                     wire::ErrorBody("no such job"),
                     {});
      } else if (const auto row = cells::DecodeJobRow(*aRow, reason)) {
        aJobRequest->sawRow = true;
        this->NoteCell(aJobRequest->job, row->cell);
        if (aJobRequest->cancels) {
          this->WriteCancel(aJobRequest);
        } else {
          this->ReadRecord(aJobRequest);
        }
      } else {
        this->log.Write(
          "job_unreadable",
          { { "job", aJobRequest->job.Text() }, { "reason", reason } });
        this->AnswerState(*aJobRequest, cells::JobState::Queued);
      }
    });
}

auto
Entry::ReadRecord(const std::shared_ptr<Question>& aJobRequest) -> void
{
  const auto rows =
    cells::CellRows{ this->CellOf(aJobRequest->job).value_or("") };
  this->ReadRow(
    rows.Record(aJobRequest->job),
    aJobRequest,
    &Entry::ReadRecord,
    [this, aJobRequest](const std::string* aRow) {
      auto reason = std::string{};
      if (aRow == nullptr && !aJobRequest->sawRow) {
        // No task was started yet, or the job ended long ago and its rows were
        // removed.
        this->ReadSubmission(aJobRequest);
        return;
      }
      const auto record =
        aRow == nullptr ? std::nullopt : cells::DecodeRecord(*aRow, reason);
      this->AnswerState(*aJobRequest,
                        record ? record->state : cells::JobState::Queued);
    });
}

// Calls aOnValue with the row's value, null if there is no row. If the read
// fails, aRetry is called after a delay, or the request is answered with an
// error if its deadline is too close.
auto
Entry::ReadRow(const cells::RowKey& aKey,
               const std::shared_ptr<Question>& aJobRequest,
               void (Entry::*aRetry)(const std::shared_ptr<Question>&),
               std::function<void(const std::string*)> aOnValue) -> void
{
  this->tables.Read(
    cells::RangeOf(aKey),
    kCallTimeout,
    [this, aJobRequest, aRetry, onValue = std::move(aOnValue)](
      const cells::RowsOutcome& aOutcome) {
      if (aOutcome.end != cells::TableEnd::Done) {
        this->RetryQuestion(aJobRequest, aRetry);
      } else {
        onValue(aOutcome.rows.empty() ? nullptr : &aOutcome.rows.front().value);
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
Entry::RetryQuestion(const std::shared_ptr<Question>& aJobRequest,
                     void (Entry::*aRetry)(const std::shared_ptr<Question>&))
  -> void
{
  if (this->loop.Now() + kTryAgain >= aJobRequest->deadline) {
    this->Answer(*aJobRequest->exchange,
                 kStateVerb,
                 kUnavailable,
                 "store_silent",
                 wire::ErrorBody("the store does not answer"),
                 RetryAfter(1));
    return;
  }
  aJobRequest->timer = this->loop.After(
    kTryAgain, [this, aJobRequest, aRetry] { (this->*aRetry)(aJobRequest); });
}

auto
Entry::Cancel(const std::shared_ptr<Question>& aJobRequest) -> void
{
  aJobRequest->cancels = true;
  if (this->CellOf(aJobRequest->job)) {
    this->WriteCancel(aJobRequest);
  } else {
    this->ReadSubmission(aJobRequest);
  }
}

auto
Entry::WriteCancel(const std::shared_ptr<Question>& aJobRequest) -> void
{
  const auto key = cells::CellRows::Cancellation(aJobRequest->job);
  const auto cell = this->CellOf(aJobRequest->job).value_or("");
  this->tables.Commit(
    { {}, { { key, cell } }, {} },
    kCallTimeout,
    [this, aJobRequest, cell](const cells::CommitOutcome& aOutcome) {
      if (aOutcome.end != cells::TableEnd::Done) {
        this->RetryQuestion(aJobRequest, &Entry::WriteCancel);
        return;
      }
      this->log.Write("job_cancelled", { { "job", aJobRequest->job.Text() } });
      this->Answer(
        *aJobRequest->exchange, kCancelVerb, kOk, "cancelled", "{}", {});
      this->board.OnCancelled(cell, aJobRequest->job);
    });
}

// Counts of owned cells are taken from the cells themselves, those of other
// cells from the loads that their owners write to the store.
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
    if (const auto* const ownedCell = this->board.Owned(cell)) {
      pending += ownedCell->PendingIn(aQueue);
    } else if (const auto found = load.pending.find(aQueue.text);
               found != load.pending.end()) {
      pending += found->second;
    }
  }
  this->Answer(
    aExchange, kCountVerb, kOk, "counted", wire::PendingBody(pending), {});
}

} // namespace gooseberry::fleet
