#include "adminport.h"

#include <chrono>

#include "connectionthreads.h"
#include "httpplatform.h"
#include "listening.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kInvalid = 422;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kMaxAdminConnections = 64;
constexpr std::size_t kMaxAdminBody = std::size_t{ 2 } << 20U;
constexpr std::size_t kMaxHistory = 100;
constexpr int kMaxJobsPerCall = 100000;
constexpr int kDomainEditAttempts = 10;
constexpr const char* kAnyOwner = "*";

auto
IsLoopback(const std::string& aAddress) -> bool
{
  return aAddress.starts_with("127.") || aAddress == "::1";
}

auto
ErrorList(const std::vector<YamlError>& aErrors) -> nlohmann::json
{
  auto list = nlohmann::json::array();
  for (const auto& error : aErrors) {
    list.push_back(error.Text());
  }
  return list;
}

auto
UnixMillis() -> std::uint64_t
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
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
  const auto handle = [this, aHandler](const httplib::Request& aRequest,
                                       httplib::Response& aResponse) {
    this->Dispatch(aRequest, aResponse, aHandler);
  };
  if (method == "GET") {
    this->server->Get(aPattern, handle);
  } else if (method == "PUT") {
    this->server->Put(aPattern, handle);
  } else if (method == "POST") {
    this->server->Post(aPattern, handle);
  } else {
    this->server->Delete(aPattern, handle);
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
  } catch (const nlohmann::json::exception& fault) {
    this->Refuse(call, kBadRequest, "bad_json", fault.what());
  }
}

auto
AdminPort::Authenticate(const httplib::Request& aRequest, std::string& aOwner)
  -> bool
{
  if (!this->tokens.Configured()) {
    aOwner = kAnyOwner;
    return IsLoopback(aRequest.remote_addr);
  }
  const auto header = aRequest.get_header_value("Authorization");
  const auto prefix = std::string{ "Bearer " };
  if (!header.starts_with(prefix)) {
    return false;
  }
  const auto owner = this->tokens.OwnerOf(header.substr(prefix.size()));
  aOwner = owner.value_or("");
  return owner.has_value();
}

auto
AdminPort::Allowed(const Call& aCall, const std::string& aSection) -> bool
{
  if (aCall.owner == kAnyOwner || aCall.owner == aSection) {
    return true;
  }
  this->Refuse(aCall,
               kForbidden,
               "not_the_owner",
               "needs the token of section '" + aSection + "'");
  return false;
}

auto
AdminPort::Reply(const Call& aCall, const nlohmann::json& aBody) -> void
{
  aCall.response.set_content(aBody.dump() + "\n", "application/json");
}

auto
AdminPort::Refuse(const Call& aCall,
                  int aStatus,
                  const char* aReason,
                  const nlohmann::json& aDetails) -> void
{
  this->metrics.CountAdminRefusal(aReason);
  aCall.response.status = aStatus;
  Reply(aCall, { { "error", aReason }, { "details", aDetails } });
}

auto
AdminPort::GetDocument(const Call& aCall) -> void
{
  const auto current = this->control.CurrentDocument();
  auto sections = nlohmann::json::array();
  for (const auto& [name, section] : current->sections) {
    sections.push_back(section);
  }
  const auto number = current->document ? current->document->number : 0;
  Reply(aCall, { { "number", number }, { "sections", sections } });
}

auto
AdminPort::GetHistory(const Call& aCall) -> void
{
  const auto history = this->documents.History(kMaxHistory);
  if (!history) {
    this->Refuse(aCall, kUnavailable, "store_unavailable", nullptr);
    return;
  }
  Reply(aCall, { { "changes", *history } });
}

auto
AdminPort::PutSection(const Call& aCall) -> void
{
  const auto section = aCall.request.matches[1].str();
  if (!this->Allowed(aCall, section)) {
    return;
  }
  const auto base = aCall.request.get_param_value("base");
  char* end = nullptr;
  const auto version = std::strtoull(base.c_str(), &end, 10);
  if (base.empty() || *end != '\0') {
    this->Refuse(aCall,
                 kBadRequest,
                 "bad_base",
                 "base must be the version that the edit started from");
    return;
  }
  this->ReplyToEdit(
    aCall,
    this->documents.Apply(
      { section, version, aCall.request.body, this->EditIdentity() }));
}

auto
AdminPort::ReplyToEdit(const Call& aCall, const EditResult& aResult) -> void
{
  switch (aResult.status) {
    case EditStatus::Accepted:
      LogInfo("document_accepted",
              { { "number", std::to_string(aResult.number) } });
      this->control.OnDocumentHint(aResult.number);
      Reply(aCall, { { "number", aResult.number } });
      return;
    case EditStatus::Invalid:
      this->Refuse(aCall, kInvalid, "invalid", ErrorList(aResult.errors));
      return;
    case EditStatus::Conflict:
      this->Refuse(aCall,
                   kConflict,
                   "section_changed",
                   { { "current_version", aResult.number } });
      return;
    case EditStatus::Unavailable:
      this->Refuse(aCall, kUnavailable, "store_unavailable", "not accepted");
      return;
    case EditStatus::Unknown:
      this->Refuse(
        aCall, kGatewayTimeout, "outcome_unknown", "read the section again");
      return;
  }
}

auto
AdminPort::EditIdentity() -> std::string
{
  return this->control.Self().text + "/edit/" +
         std::to_string(this->nextEdit.fetch_add(1));
}

auto
AdminPort::ValidateSection(const Call& aCall) -> void
{
  const auto section = aCall.request.matches[1].str();
  auto sections = this->control.CurrentDocument()->sections;
  sections[section] = Section{ section, 0, aCall.request.body };
  auto errors = std::vector<YamlError>{};
  BuildDocument(0, sections, errors);
  if (!errors.empty()) {
    this->Refuse(aCall, kInvalid, "invalid", ErrorList(errors));
    return;
  }
  Reply(aCall, { { "valid", true } });
}

// Another edit of the site section in the meantime is met by trying again:
// the state of one domain does not depend on the rest of the section.
auto
AdminPort::SetDomain(const Call& aCall) -> void
{
  if (!this->Allowed(aCall, kSiteSection)) {
    return;
  }
  const auto domain = DomainId{ aCall.request.matches[1].str() };
  const auto out = aCall.request.matches[2].str() == "out";
  const auto identity = this->EditIdentity();
  auto result = EditResult{ EditStatus::Conflict, 0, {} };
  for (auto attempt = 0;
       attempt < kDomainEditAttempts && result.status == EditStatus::Conflict;
       ++attempt) {
    const auto newest = this->documents.Load({});
    if (newest.status != LoadStatus::Newer) {
      this->Refuse(aCall, kUnavailable, "store_unavailable", newest.reason);
      return;
    }
    const auto site = newest.loaded.sections.find(kSiteSection);
    auto reason = std::string{ "there is no section 'site'" };
    const auto text =
      site == newest.loaded.sections.end()
        ? std::nullopt
        : WithDomainState(site->second.text, domain, out, reason);
    if (!text) {
      this->Refuse(aCall, kNotFound, "unknown_domain", reason);
      return;
    }
    result = this->documents.Apply(
      { kSiteSection, site->second.version, *text, identity });
  }
  this->ReplyToEdit(aCall, result);
}

// The submission's name makes a repeated call harmless: its tasks have the
// same names and are taken once.
auto
AdminPort::SubmitJobs(const Call& aCall) -> void
{
  const auto body = nlohmann::json::parse(aCall.request.body);
  const auto classId = body.at("class").get<ClassId>();
  const auto count = body.value("count", 1);
  const auto submission = body.at("submission").get<std::string>();
  const auto current = this->control.CurrentDocument();
  const auto* spec =
    current->document ? current->document->FindClass(classId) : nullptr;
  if (spec == nullptr || spec->kind != TaskKind::Batch) {
    this->Refuse(aCall,
                 kNotFound,
                 "unknown_class",
                 "no batch class '" + classId.text + "' in the document");
    return;
  }
  if (!this->Allowed(aCall, spec->team.text)) {
    return;
  }
  const auto plain =
    submission.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
    std::string::npos;
  if (count < 1 || count > kMaxJobsPerCall || submission.empty() ||
      submission.size() > 63 || !plain) {
    this->Refuse(aCall,
                 kBadRequest,
                 "bad_submission",
                 "count must be 1 to 100000 and submission 1 to 63 of a-z, "
                 "0-9 and '-'");
    return;
  }
  auto tasks = std::vector<Task>{};
  auto names = nlohmann::json::array();
  for (auto index = 0; index < count; ++index) {
    const auto id =
      TaskId{ classId.text + "." + submission + "." + std::to_string(index) };
    tasks.push_back(NewTask(id, *spec));
    tasks.back().order = UnixMillis();
    names.push_back(id);
  }
  const auto shardCount = this->control.ShardCount();
  if (shardCount == 0 || !this->shards.Submit(tasks, shardCount)) {
    this->Refuse(
      aCall,
      kUnavailable,
      "store_unavailable",
      "some tasks may be submitted; repeat with the same submission");
    return;
  }
  auto shards = std::set<ShardNumber>{};
  for (const auto& task : tasks) {
    shards.insert(ShardOf(task.id.text, shardCount));
  }
  this->control.NotifyInboxes(shards);
  Reply(aCall, { { "tasks", names } });
}

auto
AdminPort::CancelTask(const Call& aCall) -> void
{
  this->SendOrder(aCall, InboxKind::Cancel, "cancelling");
}

auto
AdminPort::RetryTask(const Call& aCall) -> void
{
  this->SendOrder(aCall, InboxKind::Retry, "retrying");
}

auto
AdminPort::SendOrder(const Call& aCall, InboxKind aKind, const char* aWord)
  -> void
{
  const auto id = TaskId{ aCall.request.matches[1].str() };
  const auto classId = ClassId{ id.text.substr(0, id.text.find('.')) };
  const auto current = this->control.CurrentDocument();
  const auto* spec =
    current->document ? current->document->FindClass(classId) : nullptr;
  if (!this->Allowed(aCall, spec == nullptr ? kSiteSection : spec->team.text)) {
    return;
  }
  const auto shardCount = this->control.ShardCount();
  const auto shard = shardCount == 0 ? 0 : ShardOf(id.text, shardCount);
  if (shardCount == 0 || !this->shards.SubmitOrder(aKind, id, shard)) {
    this->Refuse(aCall, kUnavailable, "store_unavailable", "repeat the call");
    return;
  }
  this->control.NotifyInboxes({ shard });
  Reply(aCall, { { aWord, id } });
}

// Read from the store, so that each instance gives the same answer.
auto
AdminPort::ListTasks(const Call& aCall) -> void
{
  const auto phase = aCall.request.get_param_value("phase");
  const auto prefix = aCall.request.get_param_value("prefix");
  auto tasks = nlohmann::json::array();
  for (auto shard = ShardNumber{ 0 }; shard < this->control.ShardCount();
       ++shard) {
    auto reason = std::string{};
    const auto stored = this->shards.Load(shard, reason);
    if (!stored) {
      this->Refuse(aCall, kUnavailable, "store_unavailable", reason);
      return;
    }
    for (const auto& [id, task] : stored->tasks) {
      if (task.phase != TaskPhase::Moved && id.text.starts_with(prefix) &&
          (phase.empty() || phase == ToText(task.phase))) {
        tasks.push_back(task);
      }
    }
  }
  Reply(aCall, { { "tasks", tasks } });
}

// Only the owner knows why a task waits; other instances say where to ask.
auto
AdminPort::ExplainTask(const Call& aCall) -> void
{
  const auto id = TaskId{ aCall.request.matches[1].str() };
  const auto explanation = this->control.Explain(id);
  if (explanation.known) {
    Reply(aCall, { { "task", id }, { "why", explanation.text } });
    return;
  }
  auto owners = nlohmann::json::array();
  for (const auto& member : this->control.Members()) {
    if (member.id != this->control.Self()) {
      owners.push_back(member.adminAddress);
    }
  }
  this->Refuse(aCall, kNotFound, "not_owned_here", { { "ask", owners } });
}

auto
AdminPort::ListWorkers(const Call& aCall) -> void
{
  Reply(aCall, { { "workers", this->control.Workers() } });
}

auto
AdminPort::ListInstances(const Call& aCall) -> void
{
  Reply(aCall,
        { { "instances", this->control.Members() },
          { "self", this->control.Self() } });
}

auto
AdminPort::ListServices(const Call& aCall) -> void
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
  Reply(aCall, { { "services", services } });
}

auto
AdminPort::Drain(const Call& aCall) -> void
{
  if (this->Allowed(aCall, kSiteSection)) {
    this->drainAsked = true;
    Reply(aCall, { { "draining", true } });
  }
}

} // namespace gooseberry
