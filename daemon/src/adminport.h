#ifndef GOOSEBERRY_ADMINPORT_H
#define GOOSEBERRY_ADMINPORT_H

// The administration API, metrics and health, over HTTP and JSON.

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

  auto Start(std::string& aReason) -> bool;
  auto Stop() -> void;
  // From now on /readyz fails.
  auto SetDraining() -> void;
  // An operator asked this instance to leave.
  auto DrainAsked() const -> bool;
  auto ReloadTokens() -> void;

private:
  struct Call
  {
    const httplib::Request& request;
    httplib::Response& response;
    // The section whose owner calls; "*" on loopback without tokens.
    std::string owner;
  };

  using Handler = void (AdminPort::*)(const Call&);

  auto Add(const char* aMethod, const char* aPattern, Handler aHandler) -> void;
  auto Dispatch(const httplib::Request& aRequest,
                httplib::Response& aResponse,
                Handler aHandler) -> void;
  auto Authenticate(const httplib::Request& aRequest, std::string& aOwner)
    -> bool;
  auto Allowed(const Call& aCall, const std::string& aSection) -> bool;
  static auto Reply(const Call& aCall, const nlohmann::json& aBody) -> void;
  auto Refuse(const Call& aCall,
              int aStatus,
              const char* aReason,
              const nlohmann::json& aDetails) -> void;

  auto GetDocument(const Call& aCall) -> void;
  auto GetHistory(const Call& aCall) -> void;
  auto PutSection(const Call& aCall) -> void;
  auto ValidateSection(const Call& aCall) -> void;
  auto SetDomain(const Call& aCall) -> void;
  auto SubmitJobs(const Call& aCall) -> void;
  auto CancelTask(const Call& aCall) -> void;
  auto RetryTask(const Call& aCall) -> void;
  auto SendOrder(const Call& aCall, InboxKind aKind, const char* aWord) -> void;
  auto ListTasks(const Call& aCall) -> void;
  auto ExplainTask(const Call& aCall) -> void;
  auto ListWorkers(const Call& aCall) -> void;
  auto ListInstances(const Call& aCall) -> void;
  auto ListServices(const Call& aCall) -> void;
  auto Drain(const Call& aCall) -> void;

  auto ReplyToEdit(const Call& aCall, const EditResult& aResult) -> void;
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
