#ifndef GOOSEBERRY_ADMINPORT_H
#define GOOSEBERRY_ADMINPORT_H

// The HTTP server for operators: the administration API in JSON, metrics, and
// health and readiness checks.

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <httplib.h>

#include "control.h"
#include "tokens.h"

namespace gooseberry {

class AdminPort
{
public:
  AdminPort(const Settings& aSettings,
            Control& aControl,
            TableService& aTable,
            ObjectStore& aObjects,
            Metrics& aMetrics);
  AdminPort(const AdminPort&) = delete;
  auto operator=(const AdminPort&) -> AdminPort& = delete;
  ~AdminPort();

  // False with the reason in aReason if the token file, the certificate or the
  // address can't be used.
  auto Start(std::string& aReason) -> bool;
  auto Stop() -> void;
  // Makes /readyz fail from now on.
  auto SetDraining() -> void;
  // Whether an operator has requested that this instance drain and end.
  auto DrainAsked() const -> bool;
  // Logs the result; on an error the old tokens stay in force.
  auto ReloadTokens() -> void;

private:
  struct Call
  {
    const httplib::Request& request;
    httplib::Response& response;
    // The section that the caller's token belongs to. "*", which stands for all
    // sections, if no tokens are configured and the caller is on loopback.
    std::string owner;
  };

  using Handler = void (AdminPort::*)(const Call&);

  auto Add(const char* aMethod, const char* aPattern, Handler aHandler) -> void;
  auto Dispatch(const httplib::Request& aRequest,
                httplib::Response& aResponse,
                Handler aHandler) -> void;
  // Finds the section of the caller's token; false if there is none.
  auto Authenticate(const httplib::Request& aRequest,
                    std::string& aOwnedSection) -> bool;
  // True if the caller may change the section; else refuses the call.
  auto Allowed(const Call& aContext, const std::string& aSection) -> bool;
  static auto Reply(const Call& aContext, const nlohmann::json& aBody) -> void;
  // Answers with a JSON error and counts the refusal.
  auto Refuse(const Call& aContext,
              int aStatus,
              const char* aReason,
              const nlohmann::json& aDetails) -> void;

  auto GetDocument(const Call& aContext) -> void;
  auto GetHistory(const Call& aContext) -> void;
  auto PutSection(const Call& aContext) -> void;
  auto ValidateSection(const Call& aContext) -> void;
  auto SetDomain(const Call& aContext) -> void;
  auto SubmitJobs(const Call& aContext) -> void;
  auto CancelTask(const Call& aContext) -> void;
  auto RetryTask(const Call& aContext) -> void;
  // Puts a cancellation or a retry into the inbox of the task's shard.
  // aReplyKey is the key of the task's id in the reply.
  auto SendOrder(const Call& aContext, InboxKind aKind, const char* aReplyKey)
    -> void;
  auto ListTasks(const Call& aContext) -> void;
  auto ExplainTask(const Call& aContext) -> void;
  auto ListWorkers(const Call& aContext) -> void;
  auto ListInstances(const Call& aContext) -> void;
  auto ListServices(const Call& aContext) -> void;
  auto Drain(const Call& aContext) -> void;

  auto ReplyToEdit(const Call& aContext, const EditResult& aResult) -> void;
  // A new unique id for an edit.
  auto EditIdentity() -> std::string;

  const Settings& settings;
  Control& control;
  DocumentStore documents;
  ShardStore shards;
  Metrics& metrics;
  Tokens tokens;
  std::atomic<bool> draining = false;
  std::atomic<bool> drainAsked = false;
  std::atomic<std::uint64_t> nextEdit = 0;
  std::unique_ptr<httplib::Server> server;
  std::thread listener;
};

} // namespace gooseberry

#endif
