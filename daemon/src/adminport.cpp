#include "adminport.h"

#include <chrono>

#include "bindserver.h"
#include "bufferedbody.h"
#include "connectionthreadpool.h"
#include "httpplatform.h"
#include "httpstatus.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr std::size_t kMaxAdminConnections = 64;
constexpr std::size_t kMaxAdminBodyBytes = std::size_t{ 2 } << 20U;
// Connections that wait for a thread; further ones are closed at once.
constexpr std::size_t kMaxQueuedAdminConnections = 64;
// Bodies of all calls together: a few of the largest size. They don't share the
// callers' budget, so that operators can act while callers use all of it.
constexpr std::size_t kMaxAdminBytes = 4 * kMaxAdminBodyBytes;
constexpr Millis kAdminIdleTimeout{ 1000 };
constexpr const char* kAllSections = "*";

auto
IsLoopback(const std::string& aAddress) -> bool
{
  return aAddress.starts_with("127.") || aAddress == "::1";
}

} // namespace

AdminPort::AdminPort(const Settings& aSettings,
                     ControlPlane& aControl,
                     TableService& aTable,
                     ObjectStore& aObjects,
                     Metrics& aMetrics)
  : settings(aSettings)
  , controlPlane(aControl)
  , documentStore(aTable)
  , shardStore(aTable, aObjects)
  , metrics(aMetrics)
  , sectionTokens(aSettings.tokensFile)
  , bodyBudget(std::make_shared<ByteBudget>(kMaxAdminBytes))
{
}

AdminPort::~AdminPort()
{
  this->Stop();
}

auto
AdminPort::Start(std::string& aReason) -> bool
{
  auto errors = std::vector<YamlError>{};
  if (!this->sectionTokens.Reload(errors)) {
    aReason = errors.front().ToString();
    return false;
  }
  const auto& port = this->settings.admin;
  this->CreateServer();
  if (!this->server->is_valid()) {
    aReason = "cannot use certificate " + port.certificateFile;
    return false;
  }
  this->server->new_task_queue = [] {
    return new ConnectionThreadPool(kMaxAdminConnections,
                                    kMaxQueuedAdminConnections);
  };
  this->server->set_payload_max_length(kMaxAdminBodyBytes);
  this->server->set_read_timeout(std::chrono::seconds{ 5 });
  this->server->Get("/healthz",
                    [](const httplib::Request&, httplib::Response& aResponse) {
                      aResponse.set_content("ok\n", "text/plain");
                    });
  this->server->Get(
    "/readyz", [this](const httplib::Request&, httplib::Response& aResponse) {
      const auto ready = !this->draining && this->controlPlane.IsReady();
      aResponse.status = ready ? 200 : kUnavailable;
      aResponse.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
  this->server->Get(
    "/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(this->metrics.ToPrometheusText(),
                            "text/plain; version=0.0.4");
    });
  this->AddRoute("GET", "/v1/document", &AdminPort::GetDocument);
  this->AddRoute("GET", "/v1/history", &AdminPort::GetHistory);
  this->AddRoute("PUT", "/v1/sections/([a-z0-9-]+)", &AdminPort::PutSection);
  this->AddRoute(
    "POST", "/v1/sections/([a-z0-9-]+)/validate", &AdminPort::ValidateSection);
  this->AddRoute(
    "POST", "/v1/domains/([a-z0-9-]+)/(in|out)", &AdminPort::SetDomain);
  this->AddRoute("POST", "/v1/jobs", &AdminPort::SubmitJobs);
  this->AddRoute(
    "DELETE", "/v1/tasks/([A-Za-z0-9._-]+)", &AdminPort::CancelTask);
  this->AddRoute(
    "POST", "/v1/tasks/([A-Za-z0-9._-]+)/retry", &AdminPort::RetryTask);
  this->AddRoute("GET", "/v1/tasks", &AdminPort::ListTasks);
  this->AddRoute(
    "GET", "/v1/tasks/([A-Za-z0-9._-]+)/why", &AdminPort::ExplainTask);
  this->AddRoute("GET", "/v1/workers", &AdminPort::ListWorkers);
  this->AddRoute("GET", "/v1/instances", &AdminPort::ListInstances);
  this->AddRoute("GET", "/v1/services", &AdminPort::ListServices);
  this->AddRoute("POST", "/v1/drain", &AdminPort::RequestDrain);
  const auto address = ParseHostPort(port.address);
  if (!address || !BindServer(*this->server, address->host, address->port)) {
    aReason = "cannot bind " + port.address;
    return false;
  }
  this->listenThread =
    std::thread([this] { this->server->listen_after_bind(); });
  return true;
}

auto
AdminPort::CreateServer() -> void
{
  const auto configure = [this](ConnectionHandling& aHandling) {
    aHandling.SetIdleTimeout(kAdminIdleTimeout);
    aHandling.SetOnLimit([this](ConnectionEnd aEnd) {
      this->metrics.CountConnectionEnd("admin", aEnd);
    });
  };
  const auto& port = this->settings.admin;
  if (port.certificateFile.empty()) {
    auto plain = std::make_unique<ConnectionServer>();
    configure(*plain);
    this->server = std::move(plain);
  } else {
    auto tls =
      std::make_unique<TlsConnectionServer>(port.certificateFile, port.keyFile);
    configure(*tls);
    this->server = std::move(tls);
  }
}

auto
AdminPort::Stop() -> void
{
  if (this->listenThread.joinable()) {
    this->server->stop();
    this->listenThread.join();
  }
}

auto
AdminPort::SetDraining() -> void
{
  this->draining = true;
}

auto
AdminPort::IsDrainRequested() const -> bool
{
  return this->drainRequested;
}

auto
AdminPort::ReloadTokens() -> void
{
  auto errors = std::vector<YamlError>{};
  if (this->sectionTokens.Reload(errors)) {
    LogInfo("tokens_reloaded", {});
  } else {
    LogWarn("tokens_not_reloaded", { { "reason", errors.front().ToString() } });
  }
}

auto
AdminPort::AddRoute(const char* aMethod, const char* aPattern, Handler aHandler)
  -> void
{
  const auto method = std::string{ aMethod };
  const auto dispatch = [this, aHandler](const httplib::Request& aRequest,
                                         httplib::Response& aResponse) {
    this->Dispatch(aRequest, aResponse, aHandler, nullptr);
  };
  const auto dispatchWithBody =
    [this, aHandler](const httplib::Request& aRequest,
                     httplib::Response& aResponse,
                     const httplib::ContentReader& aReader) {
      this->Dispatch(aRequest, aResponse, aHandler, &aReader);
    };
  if (method == "GET") {
    this->server->Get(aPattern, dispatch);
  } else if (method == "PUT") {
    this->server->Put(aPattern, dispatchWithBody);
  } else if (method == "POST") {
    this->server->Post(aPattern, dispatchWithBody);
  } else {
    this->server->Delete(aPattern, dispatchWithBody);
  }
}

auto
AdminPort::Dispatch(const httplib::Request& aRequest,
                    httplib::Response& aResponse,
                    Handler aHandler,
                    const httplib::ContentReader* aReader) -> void
{
  auto call = RequestContext{ aRequest, aResponse, {}, {} };
  auto lease = ByteLease{ this->bodyBudget };
  const auto hasBody =
    aReader != nullptr && (aRequest.has_header("Content-Length") ||
                           aRequest.has_header("Transfer-Encoding"));
  if (!this->Authenticate(aRequest, call.ownedSection)) {
    if (hasBody) {
      // What is left of the body must not be taken for the next request.
      ConnectionServer::CloseAfterResponse(
        const_cast<httplib::Request&>(aRequest));
    }
    this->Refuse(call, kUnauthorized, "unauthenticated", nullptr);
    return;
  }
  if (hasBody && !this->ReadBody(call, *aReader, lease)) {
    return;
  }
  try {
    (this->*aHandler)(call);
  } catch (const nlohmann::json::exception& error) {
    this->Refuse(call, kBadRequest, "bad_json", error.what());
  }
}

auto
AdminPort::ReadBody(RequestContext& aContext,
                    const httplib::ContentReader& aReader,
                    ByteLease& aLease) -> bool
{
  const auto declaredBytes =
    aContext.request.get_header_value<std::uint64_t>("Content-Length");
  auto body = BufferedBody{ aLease, declaredBytes, kMaxAdminBodyBytes };
  auto tooLarge = false;
  auto refused = false;
  auto complete = false;
  try {
    complete = aReader([&](const char* aData, std::size_t aSize) {
      tooLarge = body.Size() + aSize > kMaxAdminBodyBytes;
      refused = !tooLarge && !body.Append(aData, aSize);
      return !tooLarge && !refused;
    });
  } catch (const std::bad_function_call&) {
    // Thrown by the library for a multipart body, which it parses itself.
  }
  if (complete) {
    aContext.body = body.Take();
    return true;
  }
  ConnectionServer::CloseAfterResponse(
    const_cast<httplib::Request&>(aContext.request));
  if (refused) {
    aContext.response.set_header("Retry-After", "1");
    this->Refuse(aContext,
                 kUnavailable,
                 "body_memory",
                 "bodies of other calls take all memory for them");
  } else if (tooLarge || declaredBytes > kMaxAdminBodyBytes) {
    this->Refuse(aContext,
                 kContentTooLarge,
                 "body_too_large",
                 "a body may have " + std::to_string(kMaxAdminBodyBytes) +
                   " bytes");
  } else {
    this->Refuse(aContext, kBadRequest, "body_unreadable", nullptr);
  }
  return false;
}

auto
AdminPort::Authenticate(const httplib::Request& aRequest,
                        std::string& aOwnedSection) -> bool
{
  if (!this->sectionTokens.IsConfigured()) {
    aOwnedSection = kAllSections;
    return IsLoopback(aRequest.remote_addr);
  }
  const auto header = aRequest.get_header_value("Authorization");
  const auto prefix = std::string{ "Bearer " };
  if (!header.starts_with(prefix)) {
    return false;
  }
  const auto section =
    this->sectionTokens.FindSection(header.substr(prefix.size()));
  aOwnedSection = section.value_or("");
  return section.has_value();
}

auto
AdminPort::AuthorizeSection(const RequestContext& aContext,
                            const std::string& aSection) -> bool
{
  if (aContext.ownedSection == kAllSections ||
      aContext.ownedSection == aSection) {
    return true;
  }
  this->Refuse(aContext,
               kForbidden,
               "not_the_owner",
               "needs the token of section '" + aSection + "'");
  return false;
}

auto
AdminPort::Reply(const RequestContext& aContext, const nlohmann::json& aBody)
  -> void
{
  aContext.response.set_content(aBody.dump() + "\n", "application/json");
}

auto
AdminPort::Refuse(const RequestContext& aContext,
                  int aStatus,
                  const char* aReason,
                  const nlohmann::json& aDetails) -> void
{
  this->metrics.CountAdminRefusal(aReason);
  aContext.response.status = aStatus;
  Reply(aContext, { { "error", aReason }, { "details", aDetails } });
}

auto
AdminPort::ListWorkers(const RequestContext& aContext) -> void
{
  Reply(aContext, { { "workers", this->controlPlane.WorkerStatuses() } });
}

auto
AdminPort::ListInstances(const RequestContext& aContext) -> void
{
  Reply(aContext,
        { { "instances", this->controlPlane.LiveMembers() },
          { "self", this->controlPlane.OwnId() } });
}

auto
AdminPort::ListServices(const RequestContext& aContext) -> void
{
  const auto now =
    std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
  auto services = nlohmann::json::array();
  const auto table = this->controlPlane.CurrentRoutes();
  for (const auto& [id, route] : table->routes) {
    auto backends = nlohmann::json::array();
    for (const auto& backend : route->backends) {
      backends.push_back({ { "id", backend->id },
                           { "address", backend->address },
                           { "domain", backend->domain },
                           { "in_flight", backend->InFlight() },
                           { "latency_us", backend->LatencyMicros() },
                           { "leaving", backend->IsLeaving(now) },
                           { "ejected", backend->IsEjected(now) } });
    }
    services.push_back({ { "service", id },
                         { "places_per_backend", route->maxInFlightPerBackend },
                         { "backends", backends } });
  }
  Reply(aContext, { { "services", services } });
}

auto
AdminPort::RequestDrain(const RequestContext& aContext) -> void
{
  if (this->AuthorizeSection(aContext, kSiteSection)) {
    this->drainRequested = true;
    Reply(aContext, { { "draining", true } });
  }
}

} // namespace gooseberry
