#ifndef GOOSEBERRY_CALLERAPI_H
#define GOOSEBERRY_CALLERAPI_H

// Serves the requests of callers: submission and cancellation of jobs, queries
// of a job's state and of the number of pending jobs. A job counts as accepted
// once its row is in the store. Runs on the event loop.

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "admission.h"
#include "callerauth.h"
#include "callermessages.h"
#include "cellmanager.h"
#include "httpserver.h"
#include "pendingcounter.h"

namespace gooseberry::fleet {

using cells::QueueId;

class CallerApi
{
public:
  CallerApi(const FleetSettings& aSettings,
            Loop& aLoop,
            cells::TableClient& aTables,
            SiteWatcher& aSite,
            CellManager& aCellManager,
            FleetView& aView,
            cells::DecisionLog& aLog,
            FleetMetrics& aMetrics);

  auto Handle(std::shared_ptr<HttpExchange> aExchange) -> void;

private:
  struct Submission;
  struct JobRequest;
  struct CountRequest;

  // Where a job is and whose it is, as this version of its row tells. The row
  // is never changed, but removed some time after the job's end.
  struct CachedJob
  {
    std::string cell;
    AccountId account;
    std::uint64_t rowVersion = 0;
  };

  // Answers, and counts the answer by aVerb, aStatus and aReason.
  auto Answer(HttpExchange& aExchange,
              const char* aVerb,
              int aStatus,
              const char* aReason,
              std::string aBody,
              HttpFields aFields) -> void;
  // The caller's account. If the request is refused because of its key, answers
  // it and returns nothing.
  auto Authenticate(HttpExchange& aExchange,
                    const cells::Queue& aQueue,
                    const std::string& aKey) -> std::optional<AccountId>;
  // Answers with 403 and returns false if the job is another account's.
  auto AdmitToJob(HttpExchange& aExchange,
                  const char* aVerb,
                  const AccountId& aCaller,
                  const AccountId& aOwner) -> bool;
  auto AdmitToJob(JobRequest& aJobRequest, const AccountId& aOwner) -> bool;
  // Age of what is known of the configuration.
  auto ConfigAge() const -> Micros;
  // Logs the counts of accountRequests after a delay.
  auto ScheduleRequestReport() -> void;
  auto ReportRequests() -> void;
  auto HandleSubmit(std::shared_ptr<HttpExchange> aExchange,
                    const wire::CallerRequest& aRequest,
                    const cells::Queue& aQueue,
                    const cells::JobId& aJob,
                    const AccountId& aAccount) -> void;
  // Answers that the job is not accepted and never will be as it is.
  auto RejectSubmission(HttpExchange& aExchange,
                        const cells::JobId& aJob,
                        const char* aCode,
                        const std::string& aReason) -> void;
  auto AdmissionFor(const cells::JobRow& aRow) const -> AdmissionDecision;
  // Refuses the job unless its row may be in the store.
  auto RefuseUnlessStored(const std::shared_ptr<Submission>& aSubmission,
                          const AdmissionDecision& aDecision) -> void;
  auto RefuseSubmission(Submission& aSubmission,
                        const AdmissionDecision& aDecision) -> void;
  auto WriteSubmission(const std::shared_ptr<Submission>& aSubmission) -> void;
  auto OnSubmissionWritten(const std::shared_ptr<Submission>& aSubmission,
                           const cells::TableCommitResult& aOutcome) -> void;
  // The store has a submission of this id, or a withdrawal. Returns false if
  // its answer tells neither.
  auto OnSubmissionConflict(const std::shared_ptr<Submission>& aSubmission,
                            const cells::TableCommitResult& aOutcome) -> bool;
  auto FailSubmission(Submission& aSubmission) -> void;
  auto AnswerSubmission(Submission& aSubmission,
                        int aStatus,
                        const char* aReason,
                        std::string aBody,
                        HttpFields aFields) -> void;
  auto HandleStateQuery(const std::shared_ptr<JobRequest>& aJobRequest) -> void;
  auto AnswerState(JobRequest& aJobRequest, cells::JobState aState) -> void;
  // There is no such job.
  auto AnswerGone(JobRequest& aJobRequest) -> void;
  auto ReadRow(const cells::RowKey& aKey,
               const std::shared_ptr<JobRequest>& aJobRequest,
               void (CallerApi::*aRetry)(const std::shared_ptr<JobRequest>&),
               std::function<void(const cells::StoredRow*)> aOnRow) -> void;
  auto ReadRecord(const std::shared_ptr<JobRequest>& aJobRequest) -> void;
  auto ReadSubmission(const std::shared_ptr<JobRequest>& aJobRequest) -> void;
  auto RetryJobRequest(
    const std::shared_ptr<JobRequest>& aJobRequest,
    void (CallerApi::*aRetry)(const std::shared_ptr<JobRequest>&)) -> void;
  auto HandleCancel(const std::shared_ptr<JobRequest>& aJobRequest) -> void;
  auto WriteWithdrawal(const std::shared_ptr<JobRequest>& aJobRequest) -> void;
  auto WriteCancellation(const std::shared_ptr<JobRequest>& aJobRequest)
    -> void;
  auto HandleCountPending(std::shared_ptr<HttpExchange> aExchange,
                          const wire::CallerRequest& aRequest,
                          const cells::Queue& aQueue) -> void;
  // The loads were read from the store, or could not be.
  auto OnLoadsRead(const std::shared_ptr<CountRequest>& aRequest) -> void;
  // aCounts: of cells whose owner does not tell; null if that is not known.
  auto AnswerCount(CountRequest& aRequest,
                   const PendingCounter::Counts* aCounts) -> void;
  // The jobs of the queue that wait. Nothing if the count of some cell is not
  // known; aUncounted gets those cells.
  auto PendingJobsIn(const QueueId& aQueue,
                     const PendingCounter::Counts* aCounts,
                     std::set<std::string>& aUncounted) const
    -> std::optional<std::size_t>;
  // Cache of the jobs that callers asked for most recently.
  auto CacheJob(const cells::JobRow& aRow, std::uint64_t aRowVersion) -> void;
  // Null if the job is not cached.
  auto FindCachedJob(const cells::JobId& aJob) const -> const CachedJob*;
  // Whether the job is cached and the caller may access it. Otherwise its row
  // decides: the id of a job that ended long ago may be in use again, by
  // another account.
  auto IsCachedFor(const JobRequest& aJobRequest) const -> bool;

  Loop& loop;
  cells::TableClient& tables;
  SiteWatcher& siteWatcher;
  CellManager& cellManager;
  FleetView& fleetView;
  cells::DecisionLog& log;
  FleetMetrics& metrics;
  const std::shared_ptr<PendingCounter> pendingCounter;
  std::map<cells::JobId, CachedJob> cachedJobs;
  // The keys of cachedJobs, oldest first.
  std::deque<cells::JobId> cachedJobOrder;
  CallerAuth auth;
  AccountRequests accountRequests;
  TimerHandle requestReportTimer;
  const OverloadSettings overload;
  RecentSubmissions recentSubmissions;
};

} // namespace gooseberry::fleet

#endif
