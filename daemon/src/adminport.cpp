#include "adminport.h"

#include <chrono>

#include "connectionthreads.h"
#include "httpplatform.h"
#include "httpstatus.h"
#include "listening.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr std::size_t kMaxAdminConnections = 64;
constexpr std::size_t kMaxAdminBody = std::size_t{ 2 } << 20U;
constexpr const char* kAnyOwner = "*";

auto
IsLoopback(const std::string& aAddress) -> bool
{
  return aAddress.starts_with("127.") || aAddress == "::1";
}

} // namespace

AdminPort::AdminPort(const Settings& aSettings,
                     Control& aControl,
                     TableService& aTable,
                     ObjectStore& aObjects,
                     Metrics& aMetrics)
  : settings(aSettings)
  , control(aControl)
  , documents(aTable)
  , shards(aTable, aObjects)
  , metrics(aMetrics)
  , tokens(aSettings.tokensFile)
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
  if (!this->tokens.Reload(errors)) {
    aReason = errors.front().Text();
    return false;
  }
  const auto& port = this->settings.admin;
  if (port.certificate.empty()) {
    this->server = std::make_unique<httplib::Server>();
  } else {
    this->server = std::make_unique<httplib::SSLServer>(
      port.certificate.c_str(), port.key.c_str());
  }
  if (!this->server->is_valid()) {
    aReason = "cannot use certificate " + port.certificate;
    return false;
  }
  this->server->new_task_queue = [] {
    return new ConnectionThreads(kMaxAdminConnections);
  };
  this->server->set_payload_max_length(kMaxAdminBody);
  this->server->set_keep_alive_timeout(1);
  this->server->set_read_timeout(std::chrono::seconds{ 5 });
  this->server->Get("/healthz",
                    [](const httplib::Request&, httplib::Response& aResponse) {
                      aResponse.set_content("ok\n", "text/plain");
                    });
  this->server->Get(
    "/readyz", [this](const httplib::Request&, httplib::Response& aResponse) {
      const auto ready = !this->draining && this->control.Ready();
      aResponse.status = ready ? 200 : kUnavailable;
      aResponse.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
  this->server->Get(
    "/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(this->metrics.Text(), "text/plain; version=0.0.4");
    });
  this->Add("GET", "/v1/document", &AdminPort::GetDocument);
  this->Add("GET", "/v1/history", &AdminPort::GetHistory);
  this->Add("PUT", "/v1/sections/([a-z0-9-]+)", &AdminPort::PutSection);
  this->Add(
    "POST", "/v1/sections/([a-z0-9-]+)/validate", &AdminPort::ValidateSection);
  this->Add("POST", "/v1/domains/([a-z0-9-]+)/(in|out)", &AdminPort::SetDomain);
  this->Add("POST", "/v1/jobs", &AdminPort::SubmitJobs);
  this->Add("DELETE", "/v1/tasks/([A-Za-z0-9._-]+)", &AdminPort::CancelTask);
  this->Add("POST", "/v1/tasks/([A-Za-z0-9._-]+)/retry", &AdminPort::RetryTask);
  this->Add("GET", "/v1/tasks", &AdminPort::ListTasks);
  this->Add("GET", "/v1/tasks/([A-Za-z0-9._-]+)/why", &AdminPort::ExplainTask);
  this->Add("GET", "/v1/workers", &AdminPort::ListWorkers);
  this->Add("GET", "/v1/instances", &AdminPort::ListInstances);
  this->Add("GET", "/v1/services", &AdminPort::ListServices);
  this->Add("POST", "/v1/drain", &AdminPort::Drain);
  const auto address = ParseHostPort(port.address);
  if (!address || !BindServer(*this->server, address->host, address->port)) {
    aReason = "cannot bind " + port.address;
    return false;
  }
  this->listener = std::thread([this] { this->server->listen_after_bind(); });
  return true;
}

auto
AdminPort::Stop() -> void
{
  if (this->listener.joinable()) {
    this->server->stop();
    this->listener.join();
  }
}

auto
AdminPort::SetDraining() -> void
{
  this->draining = true;
}

auto
AdminPort::DrainAsked() const -> bool
{
  return this->drainAsked;
}

auto
AdminPort::ReloadTokens() -> void
{
  auto errors = std::vector<YamlError>{};
  if (this->tokens.Reload(errors)) {
    LogInfo("tokens_reloaded", {});
  } else {
    LogWarn("tokens_not_reloaded", { { "reason", errors.front().Text() } });
  }
}

auto
AdminPort::Add(const char* aMethod, const char* aPattern, Handler aHandler)
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
  auto call = Call{ aRequest, aResponse, {} };
  if (!this->Authenticate(aRequest, call.owner)) {
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
  if (!this->tokens.Configured()) {
    aOwnedSection = kAnyOwner;
    return IsLoopback(aRequest.remote_addr);
  }
  const auto header = aRequest.get_header_value("Authorization");
  const auto prefix = std::string{ "Bearer " };
  if (!header.starts_with(prefix)) {
    return false;
  }
  const auto section = this->tokens.OwnerOf(header.substr(prefix.size()));
  aOwnedSection = section.value_or("");
  return section.has_value();
}

auto
AdminPort::Allowed(const Call& aContext, const std::string& aSection) -> bool
{
  if (aContext.owner == kAnyOwner || aContext.owner == aSection) {
    return true;
  }
  this->Refuse(aContext,
               kForbidden,
               "not_the_owner",
               "needs the token of section '" + aSection + "'");
  return false;
}

auto
AdminPort::Reply(const Call& aContext, const nlohmann::json& aBody) -> void
{
  aContext.response.set_content(aBody.dump() + "\n", "application/json");
}

auto
AdminPort::Refuse(const Call& aContext,
                  int aStatus,
                  const char* aReason,
                  const nlohmann::json& aDetails) -> void
{
  this->metrics.CountAdminRefusal(aReason);
  aContext.response.status = aStatus;
  Reply(aContext, { { "error", aReason }, { "details", aDetails } });
}

auto
AdminPort::ListWorkers(const Call& aContext) -> void
{
  Reply(aContext, { { "workers", this->control.Workers() } });
}

auto
AdminPort::ListInstances(const Call& aContext) -> void
{
  Reply(aContext,
        { { "instances", this->control.Members() },
          { "self", this->control.Self() } });
}

auto
AdminPort::ListServices(const Call& aContext) -> void
{
  const auto now =
    std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
  auto services = nlohmann::json::array();
  const auto table = this->control.Routes();
  for (const auto& [id, route] : table->routes) {
    auto backends = nlohmann::json::array();
    for (const auto& backend : route->backends) {
      backends.push_back({ { "id", backend->id },
                           { "address", backend->address },
                           { "domain", backend->domain },
                           { "in_flight", backend->InFlight() },
                           { "latency_us", backend->LatencyMicros() },
                           { "leaving", backend->Leaving(now) },
                           { "ejected", backend->Ejected(now) } });
    }
    services.push_back({ { "service", id },
                         { "places_per_backend", route->placesPerBackend },
                         { "backends", backends } });
  }
  Reply(aContext, { { "services", services } });
}

auto
AdminPort::Drain(const Call& aContext) -> void
{
  if (this->Allowed(aContext, kSiteSection)) {
    this->drainAsked = true;
    Reply(aContext, { { "draining", true } });
  }
}

} // namespace gooseberry
