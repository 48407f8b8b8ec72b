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

#include "bytebudget.h"
#include "connectionserver.h"
#include "controlplane.h"
#include "sectiontokens.h"

namespace gooseberry {

class AdminPort
{
public:
  AdminPort(const Settings& aSettings,
            ControlPlane& aControl,
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
  // Whether an operator has requested by POST /v1/drain that this instance
  // drain and end.
  auto IsDrainRequested() const -> bool;
  // Reads the token file again and logs whether that succeeded; on an error the
  // old tokens stay in force.
  auto ReloadTokens() -> void;

private:
  struct RequestContext
  {
    const httplib::Request& request;
    httplib::Response& response;
    std::string body;
    // The section of the operators' document that the caller may change: the
    // one that its token belongs to. "*", which stands for all sections, if no
    // tokens are configured and the caller is on loopback.
    std::string ownedSection;
  };

  using Handler = void (AdminPort::*)(const RequestContext&);

  auto AddRoute(const char* aMethod, const char* aPattern, Handler aHandler)
    -> void;
  // aReader is null for methods without a body.
  auto Dispatch(const httplib::Request& aRequest,
                httplib::Response& aResponse,
                Handler aHandler,
                const httplib::ContentReader* aReader) -> void;
  // Reads the body of the call into it, in memory of aLease. On failure,
  // answers and returns false.
  auto ReadBody(RequestContext& aContext,
                const httplib::ContentReader& aReader,
                ByteLease& aLease) -> bool;
  // Creates the server, with TLS if a certificate is set.
  auto CreateServer() -> void;
  // Sets aOwnedSection to the section that the caller's token belongs to.
  // Returns false if the token is missing or unknown. If no tokens are
  // configured, sets "*" and returns true only for callers on loopback.
  auto Authenticate(const httplib::Request& aRequest,
                    std::string& aOwnedSection) -> bool;
  // Returns true if the caller may change the section; otherwise answers with
  // status 403 and returns false.
  auto AuthorizeSection(const RequestContext& aContext,
                        const std::string& aSection) -> bool;
  static auto Reply(const RequestContext& aContext, const nlohmann::json& aBody)
    -> void;
  // Answers with a JSON error and counts the refusal.
  auto Refuse(const RequestContext& aContext,
              int aStatus,
              const char* aReason,
              const nlohmann::json& aDetails) -> void;

  auto GetDocument(const RequestContext& aContext) -> void;
  auto GetHistory(const RequestContext& aContext) -> void;
  auto PutSection(const RequestContext& aContext) -> void;
  auto ValidateSection(const RequestContext& aContext) -> void;
  // Edits the site section to take a failure domain in or out.
  auto SetDomain(const RequestContext& aContext) -> void;
  auto SubmitJobs(const RequestContext& aContext) -> void;
  auto CancelTask(const RequestContext& aContext) -> void;
  auto RetryTask(const RequestContext& aContext) -> void;
  // Puts a cancellation or a retry into the inbox of the task's shard.
  // aReplyKey is the JSON key under which the reply gives the task's id.
  auto SubmitTaskCommand(const RequestContext& aContext,
                         InboxItemKind aKind,
                         const char* aReplyKey) -> void;
  auto ListTasks(const RequestContext& aContext) -> void;
  auto ExplainTask(const RequestContext& aContext) -> void;
  auto ListWorkers(const RequestContext& aContext) -> void;
  auto ListInstances(const RequestContext& aContext) -> void;
  auto ListServices(const RequestContext& aContext) -> void;
  auto RequestDrain(const RequestContext& aContext) -> void;

  // Answers with the result of an edit. An accepted edit is also logged, and
  // the control plane is told the document's new number.
  auto ReplyToEdit(const RequestContext& aContext, const EditResult& aResult)
    -> void;
  // A new unique id for an edit.
  auto NewEditIdentity() -> std::string;

  const Settings& settings;
  ControlPlane& controlPlane;
  DocumentStore documentStore;
  ShardStore shardStore;
  Metrics& metrics;
  SectionTokens sectionTokens;
  // Set by SetDraining(), which Instance calls when it shuts down.
  std::atomic<bool> draining = false;
  // Set by POST /v1/drain. Instance polls it and then shuts down.
  std::atomic<bool> drainRequested = false;
  std::atomic<std::uint64_t> nextEditNumber = 0;
  const std::shared_ptr<ByteBudget> bodyBudget;
  std::unique_ptr<httplib::Server> server;
  std::thread listenThread;
};

} // namespace gooseberry

#endif
