#include "adminport.h"

#include <chrono>

#include "bindserver.h"
#include "connectionthreadpool.h"
#include "httpplatform.h"
#include "httpstatus.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr std::size_t kMaxAdminConnections = 64;
constexpr std::size_t kMaxAdminBodyBytes = std::size_t{ 2 } << 20U;
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
  if (port.certificateFile.empty()) {
    this->server = std::make_unique<httplib::Server>();
  } else {
    this->server = std::make_unique<httplib::SSLServer>(
      port.certificateFile.c_str(), port.keyFile.c_str());
  }
  if (!this->server->is_valid()) {
    aReason = "cannot use certificate " + port.certificateFile;
    return false;
  }
  this->server->new_task_queue = [] {
    return new ConnectionThreadPool(kMaxAdminConnections);
  };
  this->server->set_payload_max_length(kMaxAdminBodyBytes);
  this->server->set_keep_alive_timeout(1);
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
    this->Dispatch(aRequest, aResponse, aHandler);
  };
  if (method == "GET") {
    this->server->Get(aPattern, dispatch);
  } else if (method == "PUT") {
    this->server->Put(aPattern, dispatch);
  } else if (method == "POST") {
    this->server->Post(aPattern, dispatch);
  } else {
    this->server->Delete(aPattern, dispatch);
  }
}

auto
AdminPort::Dispatch(const httplib::Request& aRequest,
                    httplib::Response& aResponse,
                    Handler aHandler) -> void
{
  auto call = RequestContext{ aRequest, aResponse, {} };
  if (!this->Authenticate(aRequest, call.ownedSection)) {
    this->Refuse(call, kUnauthorized, "unauthenticated", nullptr);
    return;
  }
  try {
    (this->*aHandler)(call);
  } catch (const nlohmann::json::exception& error) {
    this->Refuse(call, kBadRequest, "bad_json", error.what());
  }
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
