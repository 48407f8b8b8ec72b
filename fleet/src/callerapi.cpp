#include "callerapi.h"

#include <algorithm>

#include "tunables_fleet.h"
#include "withdrawalsweeper.h"

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
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Deadline of requests that state none.
constexpr Millis kDefaultDeadline{ 3000 };
// Part of the deadline that is reserved for the answer to travel back.
constexpr Millis kAnswerReserve{ 200 };
// Most attempts to write one submission, and the delay before a call that the
// store refused or did not answer is retried.
constexpr int kMaxWriteAttempts = 4;
constexpr Millis kRetryDelay{ 80 };
// Timeout of a call to the store. A slow store answers within 0.8 s, so no
// answer in this time counts as a failure.
constexpr Millis kStoreCallTimeout{ 1200 };
// Delay before a submission without an answer is sent a second time: the first
// connection may be dead while a new one works.
constexpr Millis kSecondAttemptDelay{ 450 };
// Fraction of the caller's deadline after which a submission that the store has
// not confirmed is given up: the caller then has time to retry, which may
// succeed at another instance.
constexpr double kSubmissionDeadlineFraction = 0.42;
// A refusal for lack of capacity is given within this part of the target
// latency, or not at all.
constexpr int kRefusalPart = 4;
// Most jobs whose cell and account are cached; callers ask for a job's state
// many times.
constexpr std::size_t kMaxCachedJobs = 4000;
// Interval at which the requests of each account are logged. 280 accounts take
// 28 lines of the log per second, of 500 that it may write.
constexpr Millis kRequestReportInterval{ 10000 };

auto
RetryAfterHeader(int aSeconds) -> HttpFields
{
  return { { "Retry-After", std::to_string(aSeconds) } };
}

// Null if the row does not exist.
auto
FindRow(const std::vector<cells::StoredRow>& aRows, const cells::RowKey& aKey)
  -> const cells::StoredRow*
{
  const auto found =
    std::find_if(aRows.begin(), aRows.end(), [&](const cells::StoredRow& aRow) {
      return aRow.key == aKey && aRow.version != 0;
    });
  return found == aRows.end() ? nullptr : &*found;
}

} // namespace

// A job that a caller submits, until it is answered and no write is in flight.
struct CallerApi::Submission
{
  std::shared_ptr<HttpExchange> exchange;
  cells::JobRow row;
  std::string encodedRow;
  Time giveUpAt{};
  int attempts = 0;
  int writesInFlight = 0;
  // The row may be in the store although no answer confirmed it.
  bool mayBeStored = false;
  bool answered = false;
  std::string reason;
  TimerHandle timer;
};

// A query of a job's state, or the cancellation of a job.
struct CallerApi::JobRequest
{
  std::shared_ptr<HttpExchange> exchange;
  cells::JobId job;
  // Of the caller.
  AccountId account;
  Time deadline{};
  TimerHandle timer;
  bool isCancellation = false;
  // The job's submission row was read, so the job exists.
  bool submissionRead = false;
  // The store's steady clock when it answered last; 0: unknown.
  std::int64_t storeClockMs = 0;
};

// A question for the number of pending jobs in a queue.
struct CallerApi::CountRequest
{
  std::shared_ptr<HttpExchange> exchange;
  QueueId queue;
  bool answered = false;
  // Answers at the caller's deadline.
  TimerHandle timer;
};

CallerApi::CallerApi(const FleetSettings& aSettings,
                     Loop& aLoop,
                     cells::TableClient& aTables,
                     SiteWatcher& aSite,
                     CellManager& aCellManager,
                     FleetView& aView,
                     cells::DecisionLog& aLog,
                     FleetMetrics& aMetrics)
  : loop(aLoop)
  , tables(aTables)
  , siteWatcher(aSite)
  , cellManager(aCellManager)
  , fleetView(aView)
  , log(aLog)
  , metrics(aMetrics)
  , pendingCounter(std::make_shared<PendingCounter>(aLoop, aTables, aLog))
  , auth(aSettings.bounds)
  , overload(aSettings.overload)
{
}

auto
CallerApi::Answer(HttpExchange& aExchange,
                  const char* aVerb,
                  int aStatus,
                  const char* aReason,
                  std::string aBody,
                  HttpFields aFields) -> void
{
  this->metrics.CountAnswer(
    aVerb, aStatus, aReason, this->loop.Now() - aExchange.ArrivedAt());
  aExchange.Respond(aStatus, std::move(aBody), std::move(aFields));
}

auto
CallerApi::Handle(std::shared_ptr<HttpExchange> aExchange) -> void
{
  const auto config = this->siteWatcher.Config();
  if (!config) {
    this->Answer(*aExchange,
                 kAnyVerb,
                 kUnavailable,
                 "no_configuration",
                 wire::ErrorBody("no configuration yet"),
                 RetryAfterHeader(1));
    return;
  }
  const auto request = wire::ParseCallerRequest(aExchange->Request());
  const auto* const queue = config->FindQueue(request.host, request.path);
  if (queue == nullptr) {
    if (this->auth.MayQueueBeNew(*config, this->ConfigAge())) {
      this->Answer(*aExchange,
                   kAnyVerb,
                   kUnavailable,
                   "stale_configuration",
                   wire::ErrorBody("no such queue is known yet"),
                   RetryAfterHeader(1));
      return;
    }
    this->Answer(*aExchange,
                 kAnyVerb,
                 kNotFound,
                 "no_queue",
                 wire::ErrorBody("no such queue"),
                 {});
    return;
  }
  const auto account =
    this->Authenticate(*aExchange, *queue, request.credential);
  if (!account) {
    return;
  }
  const auto jobPath = request.path.substr(queue->pathPrefix.size());
  const auto verb = wire::ParseCallerOperation(aExchange->Request(), jobPath);
  if (verb == wire::CallerOperation::CountPending) {
    this->HandleCountPending(std::move(aExchange), request, *queue);
    return;
  }
  const auto job = cells::JobId::Parse(jobPath);
  if (verb == wire::CallerOperation::Unknown) {
    this->Answer(*aExchange,
                 kAnyVerb,
                 kMethodNotAllowed,
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
  if (verb == wire::CallerOperation::Submit) {
    this->HandleSubmit(std::move(aExchange), request, *queue, *job, *account);
    return;
  }
  auto jobRequest = std::make_shared<JobRequest>();
  jobRequest->deadline = aExchange->ArrivedAt() +
                         request.deadline.value_or(kDefaultDeadline) -
                         kAnswerReserve;
  jobRequest->exchange = std::move(aExchange);
  jobRequest->job = *job;
  jobRequest->account = *account;
  if (verb == wire::CallerOperation::Cancel) {
    this->HandleCancel(jobRequest);
  } else {
    this->HandleStateQuery(jobRequest);
  }
}

auto
CallerApi::Authenticate(HttpExchange& aExchange,
                        const cells::Queue& aQueue,
                        const std::string& aKey) -> std::optional<AccountId>
{
  auto decision = this->auth.Decide(
    this->siteWatcher.Config(), aQueue, aKey, this->ConfigAge());
  switch (decision.outcome) {
    case AuthOutcome::Allowed:
      if (!decision.account.Empty()) {
        ++this->accountRequests.byAccount[decision.account].requests;
        this->ScheduleRequestReport();
      }
      return decision.account;
    case AuthOutcome::StaleKey:
      ++this->accountRequests.staleKeys;
      this->Answer(aExchange,
                   kAnyVerb,
                   kUnavailable,
                   "stale_key",
                   wire::ErrorBody("the key can't be checked at present"),
                   RetryAfterHeader(1));
      break;
    default:
      ++this->accountRequests.unknownKeys;
      this->Answer(aExchange,
                   kAnyVerb,
                   kUnauthorized,
                   "unknown_key",
                   wire::ErrorBody("the Credential field has no valid key"),
                   {});
      break;
  }
  this->ScheduleRequestReport();
  return std::nullopt;
}

auto
CallerApi::AdmitToJob(HttpExchange& aExchange,
                      const char* aVerb,
                      const AccountId& aCaller,
                      const AccountId& aOwner) -> bool
{
  const auto config = this->siteWatcher.Config();
  if (!config || MayAccessJob(*config, aCaller, aOwner)) {
    return true;
  }
  if (!aCaller.Empty()) {
    ++this->accountRequests.byAccount[aCaller].foreign;
    this->ScheduleRequestReport();
  }
  this->Answer(aExchange,
               aVerb,
               kForbidden,
               "foreign_job",
               wire::ErrorBody("the job belongs to another account"),
               {});
  return false;
}

auto
CallerApi::AdmitToJob(JobRequest& aJobRequest, const AccountId& aOwner) -> bool
{
  return this->AdmitToJob(*aJobRequest.exchange,
                          aJobRequest.isCancellation ? kCancelVerb : kStateVerb,
                          aJobRequest.account,
                          aOwner);
}

auto
CallerApi::ConfigAge() const -> Micros
{
  return this->loop.Now() - this->siteWatcher.ConfigCurrentAsOf();
}

auto
CallerApi::ScheduleRequestReport() -> void
{
  if (!this->requestReportTimer) {
    this->requestReportTimer = this->loop.After(
      kRequestReportInterval, [this] { this->ReportRequests(); });
  }
}

auto
CallerApi::ReportRequests() -> void
{
  this->requestReportTimer.reset();
  const auto report = std::exchange(this->accountRequests, {});
  if (report.unknownKeys + report.staleKeys > 0) {
    this->log.Write("keys_refused",
                    { { "unknown", std::to_string(report.unknownKeys) },
                      { "stale", std::to_string(report.staleKeys) } });
  }
  for (const auto& [account, counts] : report.byAccount) {
    this->log.Write("account_requests",
                    { { "account", account.text },
                      { "requests", std::to_string(counts.requests) },
                      { "foreign", std::to_string(counts.foreign) } });
  }
}

auto
CallerApi::HandleSubmit(std::shared_ptr<HttpExchange> aExchange,
                        const wire::CallerRequest& aRequest,
                        const cells::Queue& aQueue,
                        const cells::JobId& aJob,
                        const AccountId& aAccount) -> void
{
  auto reason = std::string{};
  auto spec = wire::ParseJob(aExchange->Request().body, reason);
  const auto& layout = this->fleetView.Layout();
  if (spec && layout && cells::RequiredCells(*layout, *spec).size() > 1) {
    reason = "requires: these racks share no cell, so no one cell can run it";
    spec.reset();
  }
  if (!spec) {
    this->RejectSubmission(*aExchange, aJob, "malformed", reason);
    return;
  }
  auto submission = std::make_shared<Submission>();
  submission->giveUpAt =
    aExchange->ArrivedAt() + std::chrono::duration_cast<Millis>(
                               std::chrono::duration<double, std::milli>(
                                 aRequest.deadline.value_or(kDefaultDeadline)) *
                               kSubmissionDeadlineFraction);
  submission->exchange = std::move(aExchange);
  submission->row = {
    aJob, aQueue.id, aQueue.policy, std::move(*spec), this->loop.UnixMillis()
  };
  submission->row.account = aAccount;
  const auto cell =
    layout
      ? cells::ChooseCell(*layout, this->fleetView.Loads(), submission->row)
      : std::nullopt;
  if (!cell) {
    submission->reason = "no layout of cells is known yet";
    this->FailSubmission(*submission);
    return;
  }
  submission->row.cell = *cell;
  submission->encodedRow = cells::EncodeJobRow(submission->row);
  if (const auto error =
        cells::FindStorageError(submission->row.spec, submission->encodedRow)) {
    this->RejectSubmission(*submission->exchange, aJob, "too_large", *error);
    return;
  }
  const auto decision = this->AdmissionFor(submission->row);
  if (decision.verdict != AdmissionVerdict::Accept) {
    this->RefuseUnlessStored(submission, decision);
    return;
  }
  this->WriteSubmission(submission);
}

auto
CallerApi::AdmissionFor(const cells::JobRow& aRow) const -> AdmissionDecision
{
  const auto& layout = this->fleetView.Layout();
  if (!this->overload.admission || !layout) {
    return {};
  }
  auto loads = std::vector<const cells::CellLoad*>{};
  for (const auto& cell : layout->cells) {
    loads.push_back(
      this->fleetView.LoadSince(cell, this->loop.Now() - kMaxLoadAge));
  }
  return DecideAdmission(*layout, loads, aRow);
}

// An earlier attempt to submit the job, to this instance or another one, may
// have stored it although the caller got no answer.
auto
CallerApi::RefuseUnlessStored(const std::shared_ptr<Submission>& aSubmission,
                              const AdmissionDecision& aDecision) -> void
{
  const auto& job = aSubmission->row.id;
  if (this->recentSubmissions.Contains(job) ||
      this->cellManager.FindJob(job) != nullptr ||
      this->FindCachedJob(job) != nullptr) {
    this->WriteSubmission(aSubmission);
    return;
  }
  // A refusal that comes later than a quarter of the target latency is worth
  // less to the caller than none.
  const auto timeout = std::min(
    kStoreCallTimeout, aSubmission->row.policy.targetLatency / kRefusalPart);
  this->tables.Read(
    cells::SingleRowRange(cells::CellRows::Submission(job)),
    timeout,
    [this, aSubmission, aDecision](const cells::TableReadResult& aOutcome) {
      if (aOutcome.status != cells::TableStatus::Done ||
          !aOutcome.rows.empty() ||
          this->recentSubmissions.Contains(aSubmission->row.id)) {
        this->WriteSubmission(aSubmission);
      } else {
        this->RefuseSubmission(*aSubmission, aDecision);
      }
    });
}

auto
CallerApi::RefuseSubmission(Submission& aSubmission,
                            const AdmissionDecision& aDecision) -> void
{
  const auto overloaded = aDecision.verdict == AdmissionVerdict::Overloaded;
  this->log.Write(
    "job_turned_away",
    { { "job", aSubmission.row.id.Text() },
      { "reason", aDecision.reason },
      { "expected_ms", std::to_string(aDecision.expectedEnd.count()) },
      { "limit_ms", std::to_string(aDecision.limit.count()) },
      { "retry_s", std::to_string(aDecision.retryAfter.count()) } });
  this->AnswerSubmission(
    aSubmission,
    overloaded ? kTooManyRequests : kUnavailable,
    overloaded ? "overloaded" : "no_worker",
    wire::ErrorBody(aDecision.reason),
    RetryAfterHeader(static_cast<int>(aDecision.retryAfter.count())));
}

auto
CallerApi::RejectSubmission(HttpExchange& aExchange,
                            const cells::JobId& aJob,
                            const char* aCode,
                            const std::string& aReason) -> void
{
  this->log.Write("job_refused",
                  { { "job", aJob.Text() }, { "reason", aReason } });
  this->Answer(
    aExchange, kSubmitVerb, kBadRequest, aCode, wire::ErrorBody(aReason), {});
}

auto
CallerApi::WriteSubmission(const std::shared_ptr<Submission>& aSubmission)
  -> void
{
  this->recentSubmissions.Add(aSubmission->row.id);
  ++aSubmission->attempts;
  ++aSubmission->writesInFlight;
  const auto& row = aSubmission->row;
  const auto key = cells::CellRows::Submission(row.id);
  // The store may carry this out long after the caller has cancelled the job.
  const auto withdrawal = cells::CellRows::Withdrawal(row.id, row.account);
  this->tables.Commit(
    { { { key, 0 }, { withdrawal, 0 } },
      { { key, aSubmission->encodedRow } },
      {} },
    ToMillis(aSubmission->giveUpAt - this->loop.Now()),
    [this, aSubmission](const cells::TableCommitResult& aOutcome) {
      --aSubmission->writesInFlight;
      if (!aSubmission->answered) {
        this->OnSubmissionWritten(aSubmission, aOutcome);
      }
    });
  if (aSubmission->attempts == 1) {
    aSubmission->timer =
      this->loop.After(kSecondAttemptDelay, [this, aSubmission] {
        if (!aSubmission->answered && aSubmission->writesInFlight > 0) {
          this->WriteSubmission(aSubmission);
        }
      });
  }
}

auto
CallerApi::OnSubmissionWritten(const std::shared_ptr<Submission>& aSubmission,
                               const cells::TableCommitResult& aOutcome) -> void
{
  const auto& job = aSubmission->row.id;
  switch (aOutcome.status) {
    case cells::TableStatus::Done:
      this->log.Write("job_accepted",
                      { { "job", job.Text() },
                        { "queue", aSubmission->row.queue.text },
                        { "account", aSubmission->row.account.text },
                        { "row", std::to_string(aOutcome.version) },
                        { "tries", std::to_string(aSubmission->attempts) } });
      this->AnswerSubmission(*aSubmission, kOk, "accepted", "{}", {});
      this->CacheJob(aSubmission->row, aOutcome.version);
      this->cellManager.OnJobAccepted(aSubmission->row);
      return;
    case cells::TableStatus::Conflict:
      if (this->OnSubmissionConflict(aSubmission, aOutcome)) {
        return;
      }
      aSubmission->mayBeStored = true;
      break;
    case cells::TableStatus::Unknown:
      aSubmission->mayBeStored = true;
      break;
    case cells::TableStatus::Rejected:
      if (!aSubmission->mayBeStored && aSubmission->writesInFlight == 0) {
        aSubmission->answered = true;
        aSubmission->timer.reset();
        this->RejectSubmission(*aSubmission->exchange,
                               job,
                               "not_storable",
                               "the store does not accept the job: " +
                                 aOutcome.reason);
        return;
      }
      break;
    default:
      break;
  }
  aSubmission->reason = aOutcome.reason;
  const auto timeLeft = aSubmission->giveUpAt - this->loop.Now();
  if (aSubmission->writesInFlight > 0) {
    return;
  }
  if (aSubmission->attempts < kMaxWriteAttempts && timeLeft > kRetryDelay * 2) {
    aSubmission->timer = this->loop.After(
      kRetryDelay, [this, aSubmission] { this->WriteSubmission(aSubmission); });
    return;
  }
  this->FailSubmission(*aSubmission);
}

// An earlier attempt to submit the job wrote the row, another account has
// submitted a job of the same id, or the caller has cancelled the job before it
// was stored. Returns false if the store's answer does not tell which.
auto
CallerApi::OnSubmissionConflict(const std::shared_ptr<Submission>& aSubmission,
                                const cells::TableCommitResult& aOutcome)
  -> bool
{
  const auto& job = aSubmission->row.id;
  const auto stored =
    FindRow(aOutcome.current, cells::CellRows::Submission(job));
  if (stored == nullptr) {
    const auto withdrawal =
      cells::CellRows::Withdrawal(job, aSubmission->row.account);
    if (FindRow(aOutcome.current, withdrawal) == nullptr) {
      return false;
    }
    const auto reason = std::string{ "cancelled before it was stored" };
    this->log.Write("job_refused",
                    { { "job", job.Text() }, { "reason", reason } });
    this->AnswerSubmission(*aSubmission,
                           kGone,
                           "withdrawn",
                           wire::ErrorBody("the job was " + reason),
                           {});
    return true;
  }
  const auto config = this->siteWatcher.Config();
  auto reason = std::string{};
  const auto row = config && !config->accounts.empty()
                     ? cells::DecodeJobRow(stored->value, reason)
                     : std::nullopt;
  if (row && !this->AdmitToJob(*aSubmission->exchange,
                               kSubmitVerb,
                               aSubmission->row.account,
                               row->account)) {
    aSubmission->answered = true;
    aSubmission->timer.reset();
    return true;
  }
  this->log.Write("job_known", { { "job", job.Text() } });
  this->AnswerSubmission(*aSubmission, kOk, "known", "{}", {});
  return true;
}

auto
CallerApi::FailSubmission(Submission& aSubmission) -> void
{
  this->log.Write("job_not_accepted",
                  { { "job", aSubmission.row.id.Text() },
                    { "may_be_stored", aSubmission.mayBeStored ? "yes" : "no" },
                    { "tries", std::to_string(aSubmission.attempts) },
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
                           RetryAfterHeader(1));
  }
}

auto
CallerApi::AnswerSubmission(Submission& aSubmission,
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
CallerApi::HandleStateQuery(const std::shared_ptr<JobRequest>& aJobRequest)
  -> void
{
  if (const auto* const job = this->cellManager.FindJob(aJobRequest->job)) {
    if (this->AdmitToJob(*aJobRequest, job->row.account)) {
      this->AnswerState(*aJobRequest,
                        IsFinal(job->state) ? job->recordedState : job->state);
    }
    return;
  }
  if (this->IsCachedFor(*aJobRequest)) {
    this->ReadRecord(aJobRequest);
  } else {
    this->ReadSubmission(aJobRequest);
  }
}

auto
CallerApi::AnswerState(JobRequest& aJobRequest, cells::JobState aState) -> void
{
  this->Answer(*aJobRequest.exchange,
               kStateVerb,
               kOk,
               ToText(aState),
               wire::JobStateBody(aState),
               {});
}

auto
CallerApi::AnswerGone(JobRequest& aJobRequest) -> void
{
  this->Answer(*aJobRequest.exchange,
               aJobRequest.isCancellation ? kCancelVerb : kStateVerb,
               kGone,
               "no_job",
               wire::ErrorBody("no such job"),
               {});
}

// The submission row holds the job's cell.
auto
CallerApi::ReadSubmission(const std::shared_ptr<JobRequest>& aJobRequest)
  -> void
{
  this->ReadRow(
    cells::CellRows::Submission(aJobRequest->job),
    aJobRequest,
    &CallerApi::ReadSubmission,
    [this, aJobRequest](const cells::StoredRow* aRow) {
      auto reason = std::string{};
      if (aRow == nullptr && aJobRequest->isCancellation) {
        this->WriteWithdrawal(aJobRequest);
      } else if (aRow == nullptr) {
        this->AnswerGone(*aJobRequest);
      } else if (const auto row = cells::DecodeJobRow(aRow->value, reason)) {
        aJobRequest->submissionRead = true;
        this->CacheJob(*row, aRow->version);
        if (!this->AdmitToJob(*aJobRequest, row->account)) {
          return;
        }
        if (aJobRequest->isCancellation) {
          this->WriteCancellation(aJobRequest);
        } else {
          this->ReadRecord(aJobRequest);
        }
      } else {
        this->log.Write(
          "job_unreadable",
          { { "job", aJobRequest->job.Text() }, { "reason", reason } });
        if (aJobRequest->isCancellation) {
          this->Answer(*aJobRequest->exchange,
                       kCancelVerb,
                       kUnavailable,
                       "unreadable",
                       wire::ErrorBody("the job can't be read: " + reason),
                       RetryAfterHeader(1));
        } else {
          this->AnswerState(*aJobRequest, cells::JobState::Queued);
        }
      }
    });
}

auto
CallerApi::ReadRecord(const std::shared_ptr<JobRequest>& aJobRequest) -> void
{
  const auto* const cached = this->FindCachedJob(aJobRequest->job);
  const auto rows =
    cells::CellRows{ cached == nullptr ? std::string{} : cached->cell };
  this->ReadRow(
    rows.Record(aJobRequest->job),
    aJobRequest,
    &CallerApi::ReadRecord,
    [this, aJobRequest](const cells::StoredRow* aRow) {
      auto reason = std::string{};
      if (aRow == nullptr && !aJobRequest->submissionRead) {
        // No task was started yet, or the job ended long ago and its rows were
        // removed.
        this->ReadSubmission(aJobRequest);
        return;
      }
      const auto record = aRow == nullptr
                            ? std::nullopt
                            : cells::DecodeJobRecord(aRow->value, reason);
      this->AnswerState(*aJobRequest,
                        record ? record->state : cells::JobState::Queued);
    });
}

// Calls aOnRow with the row, null if there is none. If the read fails, aRetry
// is called after a delay, or the request is answered with an error if its
// deadline is too close.
auto
CallerApi::ReadRow(
  const cells::RowKey& aKey,
  const std::shared_ptr<JobRequest>& aJobRequest,
  void (CallerApi::*aRetry)(const std::shared_ptr<JobRequest>&),
  std::function<void(const cells::StoredRow*)> aOnRow) -> void
{
  this->tables.Read(cells::SingleRowRange(aKey),
                    kStoreCallTimeout,
                    [this, aJobRequest, aRetry, onRow = std::move(aOnRow)](
                      const cells::TableReadResult& aOutcome) {
                      if (aOutcome.status != cells::TableStatus::Done) {
                        this->RetryJobRequest(aJobRequest, aRetry);
                      } else {
                        aJobRequest->storeClockMs = aOutcome.storeClockMs;
                        onRow(aOutcome.rows.empty() ? nullptr
                                                    : &aOutcome.rows.front());
                      }
                    });
}

auto
CallerApi::CacheJob(const cells::JobRow& aRow, std::uint64_t aRowVersion)
  -> void
{
  if (!this->cachedJobs
         .insert_or_assign(aRow.id,
                           CachedJob{ aRow.cell, aRow.account, aRowVersion })
         .second) {
    return;
  }
  this->cachedJobOrder.push_back(aRow.id);
  if (this->cachedJobOrder.size() > kMaxCachedJobs) {
    this->cachedJobs.erase(this->cachedJobOrder.front());
    this->cachedJobOrder.pop_front();
  }
}

auto
CallerApi::FindCachedJob(const cells::JobId& aJob) const -> const CachedJob*
{
  const auto found = this->cachedJobs.find(aJob);
  return found == this->cachedJobs.end() ? nullptr : &found->second;
}

auto
CallerApi::IsCachedFor(const JobRequest& aJobRequest) const -> bool
{
  const auto* const cached = this->FindCachedJob(aJobRequest.job);
  const auto config = this->siteWatcher.Config();
  return cached != nullptr && config &&
         MayAccessJob(*config, aJobRequest.account, cached->account);
}

auto
CallerApi::RetryJobRequest(
  const std::shared_ptr<JobRequest>& aJobRequest,
  void (CallerApi::*aRetry)(const std::shared_ptr<JobRequest>&)) -> void
{
  if (this->loop.Now() + kRetryDelay >= aJobRequest->deadline) {
    this->Answer(*aJobRequest->exchange,
                 aJobRequest->isCancellation ? kCancelVerb : kStateVerb,
                 kUnavailable,
                 "store_silent",
                 wire::ErrorBody("the store does not answer"),
                 RetryAfterHeader(1));
    return;
  }
  aJobRequest->timer = this->loop.After(
    kRetryDelay, [this, aJobRequest, aRetry] { (this->*aRetry)(aJobRequest); });
}

auto
CallerApi::HandleCancel(const std::shared_ptr<JobRequest>& aJobRequest) -> void
{
  aJobRequest->isCancellation = true;
  if (this->IsCachedFor(*aJobRequest)) {
    this->WriteCancellation(aJobRequest);
  } else {
    this->ReadSubmission(aJobRequest);
  }
}

// A write of the submission may still be on its way to the store. The row makes
// its condition false, so that the answer holds whenever it arrives.
auto
CallerApi::WriteWithdrawal(const std::shared_ptr<JobRequest>& aJobRequest)
  -> void
{
  const auto& job = aJobRequest->job;
  const auto value = EncodeWithdrawal(aJobRequest->storeClockMs);
  auto commit = cells::TableTransaction{};
  commit.conditions.push_back({ cells::CellRows::Submission(job), 0 });
  // Jobs without an account are accessible to every caller.
  commit.puts.push_back({ cells::CellRows::Withdrawal(job, {}), value });
  if (!aJobRequest->account.Empty()) {
    commit.puts.push_back(
      { cells::CellRows::Withdrawal(job, aJobRequest->account), value });
  }
  this->tables.Commit(
    commit,
    kStoreCallTimeout,
    [this, aJobRequest](const cells::TableCommitResult& aOutcome) {
      if (aOutcome.status == cells::TableStatus::Conflict) {
        this->ReadSubmission(aJobRequest);
        return;
      }
      if (aOutcome.status != cells::TableStatus::Done) {
        this->RetryJobRequest(aJobRequest, &CallerApi::ReadSubmission);
        return;
      }
      this->log.Write("job_withdrawn", { { "job", aJobRequest->job.Text() } });
      this->AnswerGone(*aJobRequest);
    });
}

auto
CallerApi::WriteCancellation(const std::shared_ptr<JobRequest>& aJobRequest)
  -> void
{
  const auto* const cached = this->FindCachedJob(aJobRequest->job);
  if (cached == nullptr) {
    this->ReadSubmission(aJobRequest);
    return;
  }
  const auto cell = cached->cell;
  // The job that is cached may be gone, and its id that of another one.
  this->tables.Commit(
    { { { cells::CellRows::Submission(aJobRequest->job), cached->rowVersion } },
      { { cells::CellRows::Cancellation(aJobRequest->job), cell } },
      {} },
    kStoreCallTimeout,
    [this, aJobRequest, cell](const cells::TableCommitResult& aOutcome) {
      if (aOutcome.status == cells::TableStatus::Conflict) {
        this->ReadSubmission(aJobRequest);
        return;
      }
      if (aOutcome.status != cells::TableStatus::Done) {
        this->RetryJobRequest(aJobRequest, &CallerApi::WriteCancellation);
        return;
      }
      this->log.Write("job_cancelled", { { "job", aJobRequest->job.Text() } });
      this->Answer(
        *aJobRequest->exchange, kCancelVerb, kOk, "cancelled", "{}", {});
      this->cellManager.OnJobCancelled(cell, aJobRequest->job);
    });
}

// Counts of owned cells are taken from the cells themselves, those of other
// cells from the loads that their owners write to the store, and those of cells
// whose owner does not tell from the rows of the jobs.
auto
CallerApi::HandleCountPending(std::shared_ptr<HttpExchange> aExchange,
                              const wire::CallerRequest& aRequest,
                              const cells::Queue& aQueue) -> void
{
  const auto request = std::make_shared<CountRequest>();
  request->exchange = std::move(aExchange);
  request->queue = aQueue.id;
  const auto now = this->loop.Now();
  const auto& layout = this->fleetView.Layout();
  const auto ownsAll =
    layout && this->cellManager.OwnedCells().size() == layout->cells.size();
  auto uncounted = std::set<std::string>{};
  if ((ownsAll || this->fleetView.ReadAt() > now - kMaxLoadsReadAge) &&
      this->PendingJobsIn(request->queue, nullptr, uncounted)) {
    this->AnswerCount(*request, nullptr);
    return;
  }
  const auto deadline = request->exchange->ArrivedAt() +
                        aRequest.deadline.value_or(kDefaultDeadline) -
                        kAnswerReserve;
  request->timer =
    this->loop.After(std::max<Micros>(deadline - now, Micros{ 0 }),
                     [this, request] { this->AnswerCount(*request, nullptr); });
  this->fleetView.ReadNow([this, request] { this->OnLoadsRead(request); });
}

auto
CallerApi::OnLoadsRead(const std::shared_ptr<CountRequest>& aRequest) -> void
{
  auto uncounted = std::set<std::string>{};
  const auto isReadable =
    this->fleetView.ReadAt() > this->loop.Now() - kMaxCountAge;
  if (aRequest->answered || !isReadable ||
      this->PendingJobsIn(aRequest->queue, nullptr, uncounted)) {
    this->AnswerCount(*aRequest, nullptr);
    return;
  }
  this->pendingCounter->Count(
    uncounted,
    this->fleetView.ReadsPerSecond(),
    [this, aRequest](const PendingCounter::Counts* aCounts) {
      this->AnswerCount(*aRequest, aCounts);
    });
}

auto
CallerApi::AnswerCount(CountRequest& aRequest,
                       const PendingCounter::Counts* aCounts) -> void
{
  if (std::exchange(aRequest.answered, true)) {
    return;
  }
  aRequest.timer.reset();
  auto uncounted = std::set<std::string>{};
  const auto pending = this->PendingJobsIn(aRequest.queue, aCounts, uncounted);
  if (pending) {
    this->Answer(*aRequest.exchange,
                 kCountVerb,
                 kOk,
                 aCounts == nullptr ? "counted" : "counted_from_store",
                 wire::PendingCountBody(*pending),
                 {});
  } else {
    this->Answer(*aRequest.exchange,
                 kCountVerb,
                 kUnavailable,
                 "not_counted",
                 wire::ErrorBody("the count is not known"),
                 RetryAfterHeader(1));
  }
}

auto
CallerApi::PendingJobsIn(const QueueId& aQueue,
                         const PendingCounter::Counts* aCounts,
                         std::set<std::string>& aUncounted) const
  -> std::optional<std::size_t>
{
  const auto since = this->loop.Now() - kMaxCountAge;
  const auto& layout = this->fleetView.Layout();
  if (!layout) {
    // Without a layout no job has ever been accepted.
    return this->fleetView.ReadAt() > since ? std::optional<std::size_t>{ 0 }
                                            : std::nullopt;
  }
  auto pending = std::size_t{ 0 };
  const auto add = [&](const auto& aByQueue) {
    const auto found = aByQueue.find(aQueue.text);
    pending += found == aByQueue.end() ? 0 : found->second;
  };
  for (const auto& cell : layout->cells) {
    const auto* const load = this->fleetView.LoadSince(cell, since);
    if (const auto* const owned = this->cellManager.FindCountingCell(cell)) {
      pending += owned->PendingJobsIn(aQueue);
    } else if (load != nullptr && load->countsAllJobs) {
      add(load->pending);
    } else if (aCounts != nullptr && aCounts->contains(cell)) {
      add(aCounts->at(cell));
    } else {
      aUncounted.insert(cell);
    }
  }
  return aUncounted.empty() ? std::optional{ pending } : std::nullopt;
}

} // namespace gooseberry::fleet
