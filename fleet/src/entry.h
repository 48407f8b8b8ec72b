#ifndef GOOSEBERRY_ENTRY_H
#define GOOSEBERRY_ENTRY_H

// Serves the requests of callers: submission and cancellation of jobs, queries
// of a job's state and of the number of pending jobs. A job counts as accepted
// once its row is in the store. Runs on the event loop.

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "cellboard.h"
#include "httpserver.h"
#include "wirecallers.h"

namespace gooseberry::fleet {

using cells::QueueId;

class Entry
{
public:
  Entry(Loop& aLoop,
        cells::TablePort& aTables,
        SiteWatch& aSite,
        CellBoard& aBoard,
        FleetView& aView,
        cells::DecisionLog& aLog,
        FleetMetrics& aMetrics);

  auto Handle(std::shared_ptr<HttpExchange> aExchange) -> void;

private:
  struct Submission;
  struct Question;

  // Answers, and counts the answer by aVerb, aStatus and aReason.
  auto Answer(HttpExchange& aExchange,
              const char* aVerb,
              int aStatus,
              const char* aReason,
              std::string aBody,
              HttpFields aFields) -> void;
  auto Submit(std::shared_ptr<HttpExchange> aExchange,
              const wire::CallerRequest& aRequest,
              const cells::Queue& aQueue,
              const cells::JobId& aJob) -> void;
  auto WriteJob(const std::shared_ptr<Submission>& aSubmission) -> void;
  auto OnWritten(const std::shared_ptr<Submission>& aSubmission,
                 const cells::CommitOutcome& aOutcome) -> void;
  auto GiveUp(Submission& aSubmission) -> void;
  auto AnswerSubmission(Submission& aSubmission,
                        int aStatus,
                        const char* aReason,
                        std::string aBody,
                        HttpFields aFields) -> void;
  auto AskState(const std::shared_ptr<Question>& aJobRequest) -> void;
  auto AnswerState(Question& aJobRequest, cells::JobState aState) -> void;
  auto ReadRow(const cells::RowKey& aKey,
               const std::shared_ptr<Question>& aJobRequest,
               void (Entry::*aRetry)(const std::shared_ptr<Question>&),
               std::function<void(const std::string*)> aOnValue) -> void;
  auto ReadRecord(const std::shared_ptr<Question>& aJobRequest) -> void;
  auto ReadSubmission(const std::shared_ptr<Question>& aJobRequest) -> void;
  auto RetryQuestion(const std::shared_ptr<Question>& aJobRequest,
                     void (Entry::*aRetry)(const std::shared_ptr<Question>&))
    -> void;
  auto Cancel(const std::shared_ptr<Question>& aJobRequest) -> void;
  auto WriteCancel(const std::shared_ptr<Question>& aJobRequest) -> void;
  auto CountPending(const std::shared_ptr<HttpExchange>& aExchange,
                    const cells::Queue& aQueue) -> void;
  auto AnswerPending(HttpExchange& aExchange, const QueueId& aQueue) -> void;
  // Cache of the cells of the jobs that callers asked for most recently.
  auto NoteCell(const cells::JobId& aJob, const std::string& aCell) -> void;
  auto CellOf(const cells::JobId& aJob) const -> std::optional<std::string>;

  Loop& loop;
  cells::TablePort& tables;
  SiteWatch& site;
  CellBoard& board;
  FleetView& view;
  cells::DecisionLog& log;
  FleetMetrics& metrics;
  std::map<cells::JobId, std::string> cellsOfJobs;
  std::deque<cells::JobId> notedJobs;
};

} // namespace gooseberry::fleet

#endif
