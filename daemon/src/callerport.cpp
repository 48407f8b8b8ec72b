#include "callerport.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <set>
#include <utility>

#include "bindserver.h"
#include "bufferedbody.h"
#include "headers.h"
#include "httpstatus.h"

namespace gooseberry {

namespace {

constexpr std::size_t kMaxKeepAliveRequests = 1000000;
constexpr std::size_t kMaxClaimKeyBytes = 200;
constexpr std::size_t kMaxExchangeThreads = 8192;
// Connections that wait for one of `max_connections` to end; further ones are
// closed at once.
constexpr std::size_t kMaxQueuedConnections = 64;
// Request bodies up to this size are kept until the response, so that they can
// be sent again; longer ones are streamed.
constexpr std::size_t kMaxReplayableBodyBytes = 65536;
constexpr std::size_t kUploadBufferBytes = 262144;
// Memory of a request whose body is streamed: its pipe, the buffers on the way
// to the backend server and the session's thread. 90 of them took 68 MB.
constexpr std::size_t kUploadCostBytes = 3 * kUploadBufferBytes;
// Fraction of the memory that bodies may take together. With the default
// settings, each connection can hold a body that is kept until the response,
// and 85 more are streamed.
constexpr std::size_t kBodyMemoryFraction = 8;
constexpr std::size_t kMinUploads = 4;
constexpr Millis kBodyMemoryRetryAfter{ 1000 };
constexpr std::chrono::seconds kPoolCleanupInterval{ 1 };

auto
BodyBudgetBytes(std::int64_t aMemoryMb) -> std::size_t
{
  constexpr auto kBytesPerMb = std::size_t{ 1 } << 20U;
  return std::max(kMinUploads * kUploadCostBytes,
                  static_cast<std::size_t>(aMemoryMb) * kBytesPerMb /
                    kBodyMemoryFraction);
}

// Closes the upload, if there is one, when reading the body ends. If that is by
// an exception, the session would otherwise wait for the rest of the body until
// the deadline.
class UploadCloser
{
public:
  explicit UploadCloser(const std::shared_ptr<Pipe>& aUpload)
    : upload(aUpload)
  {
  }
  UploadCloser(const UploadCloser&) = delete;
  auto operator=(const UploadCloser&) -> UploadCloser& = delete;
  ~UploadCloser()
  {
    if (this->upload) {
      this->upload->Close(PipeState::Aborted);
    }
  }

private:
  const std::shared_ptr<Pipe>& upload;
};

auto
IsIdempotentMethod(const std::string& aMethod) -> bool
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS" ||
         aMethod == "PUT" || aMethod == "DELETE";
}

// The service's document takes precedence over the caller's header, which takes
// precedence over the HTTP method.
auto
IsIdempotent(const httplib::Request& aRequest, const ServiceSpec& aSpec) -> bool
{
  for (const auto& prefix : aSpec.nonRepeatablePrefixes) {
    if (aRequest.path.starts_with(prefix)) {
      return false;
    }
  }
  const auto declared = aRequest.get_header_value(kRepeatableHeader);
  if (declared == "yes" || declared == "no") {
    return declared == "yes";
  }
  return IsIdempotentMethod(aRequest.method);
}

// Callers of an unknown class get the lowest priority of the service.
auto
CallerRank(const httplib::Request& aRequest, const ServiceSpec& aSpec) -> int
{
  const auto name = aRequest.get_header_value(kCallerClassHeader);
  auto lowestPriority = 0;
  for (const auto& caller : aSpec.callerClasses) {
    if (caller.name == name) {
      return caller.rank;
    }
    lowestPriority = std::max(lowestPriority, caller.rank);
  }
  return lowestPriority;
}

auto
StatusFor(Verdict aVerdict, Refusal aRefusal) -> int
{
  if (aVerdict == Verdict::NotRun) {
    return kUnavailable;
  }
  return aRefusal == Refusal::BackendTimeout ? kGatewayTimeout : kBadGateway;
}

} // namespace

CallerPort::CallerPort(const Settings& aSettings,
                       const Clock& aClock,
                       ControlPlane& aControl,
                       TableService& aTable,
                       Metrics& aMetrics)
  : settings(aSettings)
  , clock(aClock)
  , control(aControl)
  , idempotencyClaims(aTable)
  , metrics(aMetrics)
  , unknownServiceMetrics(aMetrics.ForService(ServiceId{ "" }))
  , bodyBudget(
      std::make_shared<ByteBudget>(BodyBudgetBytes(aSettings.memoryMb)))
  , backendPools(aClock)
  , exchangeThreads(kMaxExchangeThreads)
{
  this->metrics.ShowBodyBudget(this->bodyBudget);
}

CallerPort::~CallerPort()
{
  this->Stop();
}

auto
CallerPort::Start(std::string& aReason) -> bool
{
  const auto maxConnections =
    static_cast<std::size_t>(this->settings.maxConnections);
  this->server.new_task_queue = [maxConnections] {
    return new ConnectionThreadPool(maxConnections, kMaxQueuedConnections);
  };
  this->server.SetOnLimit([this](ConnectionEnd aEnd) {
    this->metrics.CountConnectionEnd("callers", aEnd);
  });
  this->server.set_tcp_nodelay(true);
  this->server.set_keep_alive_max_count(kMaxKeepAliveRequests);
  this->server.SetIdleTimeout(this->settings.callerIdleTimeout);
  this->server.set_read_timeout(this->settings.callerTimeout);
  this->server.set_write_timeout(this->settings.callerTimeout);
  this->server.set_payload_max_length(
    static_cast<std::size_t>(this->settings.maxBodyBytes));
  const auto handleWithoutBody = [this](const httplib::Request& aRequest,
                                        httplib::Response& aResponse) {
    this->HandleRequest(aRequest, aResponse, nullptr);
  };
  const auto handleWithBody = [this](const httplib::Request& aRequest,
                                     httplib::Response& aResponse,
                                     const httplib::ContentReader& aReader) {
    this->HandleRequest(aRequest, aResponse, &aReader);
  };
  this->server.Get("/.*", handleWithoutBody);
  this->server.Options("/.*", handleWithoutBody);
  this->server.Post("/.*", handleWithBody);
  this->server.Put("/.*", handleWithBody);
  this->server.Patch("/.*", handleWithBody);
  this->server.Delete("/.*", handleWithBody);
  const auto address = ParseHostPort(this->settings.callers.address);
  if (!address || !BindServer(this->server, address->host, address->port)) {
    aReason = "cannot bind " + this->settings.callers.address;
    return false;
  }
  this->listenerThread =
    std::thread([this] { this->server.listen_after_bind(); });
  this->poolCleanupThread = std::thread([this] {
    while (!this->stopped) {
      auto addresses = std::set<std::string>{};
      const auto routes = this->control.CurrentRoutes();
      for (const auto& [id, route] : routes->routes) {
        for (const auto& backend : route->backends) {
          addresses.insert(backend->address);
        }
      }
      this->backendPools.RetainOnly(addresses);
      std::this_thread::sleep_for(kPoolCleanupInterval);
    }
  });
  return true;
}

auto
CallerPort::BeginDrain() -> void
{
  this->draining = true;
}

auto
CallerPort::Stop() -> void
{
  if (this->stopped.exchange(true)) {
    return;
  }
  this->server.stop();
  if (this->listenerThread.joinable()) {
    this->listenerThread.join();
  }
  if (this->poolCleanupThread.joinable()) {
    this->poolCleanupThread.join();
  }
}

auto
CallerPort::IsDraining() const -> bool
{
  return this->draining;
}

auto
CallerPort::HandleRequest(const httplib::Request& aRequest,
                          httplib::Response& aResponse,
                          const httplib::ContentReader* aReader) -> void
{
  // cpp-httplib would compress the response or cut it to ranges according to
  // these headers. Only the backend server applies them.
  auto& adjusted = const_cast<httplib::Request&>(aRequest);
  auto plan = RequestPlan{};
  auto failure = FailureResponse{};
  const auto arrived = this->clock.Now();
  const auto prepared = this->PrepareRequest(aRequest, plan, failure);
  const auto headers = aRequest.headers;
  adjusted.ranges.clear();
  adjusted.headers.erase("Accept-Encoding");
  if (this->draining) {
    ConnectionServer::CloseAfterResponse(adjusted);
  }
  if (!prepared) {
    (plan.admission ? plan.admission->Counters() : this->unknownServiceMetrics)
      .Count(failure.refusal);
    ConnectionServer::CloseAfterResponse(adjusted);
    WriteFailure(aResponse, failure);
    return;
  }
  const auto& counters = plan.admission->Counters();
  counters.requests->Increment();
  const auto requestId = this->control.OwnId().text + "/" +
                         std::to_string(this->nextRequestNumber.fetch_add(1));
  const auto claimKey = aRequest.get_header_value(kClaimHeader);
  const auto needsClaim = plan.route->spec.requiresClaims && !plan.idempotent;
  if (needsClaim && !this->AcquireClaim(aRequest, plan, requestId, failure)) {
    counters.Count(failure.refusal);
    ConnectionServer::CloseAfterResponse(adjusted);
    WriteFailure(aResponse, failure);
    return;
  }
  auto original = aRequest;
  original.headers = headers;
  auto outcome = RequestOutcome{};
  try {
    outcome = this->ForwardRequest(original, plan, aReader);
  } catch (const std::exception&) {
    // The library answers with 500. What is left of the body must not be taken
    // for the next request.
    ConnectionServer::CloseAfterResponse(adjusted);
    throw;
  }
  if (plan.bodyUnread) {
    ConnectionServer::CloseAfterResponse(adjusted);
  }
  if (outcome.winner) {
    plan.admission->GetRetryBudget().OnSuccess();
    ForwardResponse(aRequest, aResponse, outcome.winner);
  } else {
    counters.Count(outcome.refusal);
    if (needsClaim && outcome.verdict == Verdict::NotRun) {
      this->idempotencyClaims.ReleaseClaim(
        plan.route->spec.id, claimKey, requestId);
    }
    WriteFailure(aResponse,
                 { StatusFor(outcome.verdict, outcome.refusal),
                   outcome.verdict,
                   outcome.refusal,
                   outcome.retryAfter,
                   ToText(outcome.refusal) });
  }
  const auto seconds =
    std::chrono::duration<double>(this->clock.Now() - arrived);
  counters.requestSeconds->Observe(seconds.count());
}

auto
CallerPort::PrepareRequest(const httplib::Request& aRequest,
                           RequestPlan& aPlan,
                           FailureResponse& aFailure) -> bool
{
  const auto table = this->control.CurrentRoutes();
  if (!this->control.IsReady()) {
    aFailure = { kUnavailable,
                 Verdict::NotRun,
                 Refusal::NotReady,
                 Millis{ 1000 },
                 "no document is in force yet" };
    return false;
  }
  aPlan.route = this->FindRoute(aRequest, *table);
  if (!aPlan.route) {
    aFailure = { kNotFound,
                 Verdict::NotRun,
                 Refusal::UnknownService,
                 Millis{ 0 },
                 "no service of that name in the document" };
    return false;
  }
  const auto& spec = aPlan.route->spec;
  aPlan.admission = this->AdmissionFor(spec);
  auto timeLimit = spec.deadline;
  if (aRequest.has_header(kDeadlineHeader)) {
    const auto text = aRequest.get_header_value(kDeadlineHeader);
    char* end = nullptr;
    const auto requestedMs = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || requestedMs <= 0) {
      aFailure = { kBadRequest,
                   Verdict::NotRun,
                   Refusal::BadRequest,
                   Millis{ 0 },
                   std::string{ kDeadlineHeader } +
                     " must be a positive number of milliseconds" };
      return false;
    }
    timeLimit = std::min(timeLimit, Millis{ requestedMs });
  }
  aPlan.deadline = this->clock.Now() + timeLimit;
  aPlan.idempotent = IsIdempotent(aRequest, spec);
  aPlan.rank = CallerRank(aRequest, spec);
  aPlan.callerId = aRequest.has_header(kCallerHeader)
                     ? aRequest.get_header_value(kCallerHeader)
                     : aRequest.remote_addr;
  return true;
}

auto
CallerPort::AcquireClaim(const httplib::Request& aRequest,
                         const RequestPlan& aPlan,
                         const std::string& aRequestId,
                         FailureResponse& aFailure) -> bool
{
  const auto claimKey = aRequest.get_header_value(kClaimHeader);
  if (claimKey.empty() || claimKey.size() > kMaxClaimKeyBytes) {
    aFailure = { kBadRequest,
                 Verdict::NotRun,
                 Refusal::ClaimMissing,
                 Millis{ 0 },
                 std::string{ kClaimHeader } +
                   " of 1 to 200 bytes is required for this service" };
    return false;
  }
  const auto status = this->idempotencyClaims.TryClaim(
    aPlan.route->spec.id, claimKey, aRequestId);
  this->metrics.CountStoreCall(StoreCall::Claim,
                               status != ClaimStatus::Unavailable);
  if (status == ClaimStatus::HeldByOther) {
    aFailure = { kConflict,
                 Verdict::MayHaveRun,
                 Refusal::ClaimTaken,
                 Millis{ 0 },
                 "a request with this key may have run" };
  }
  if (status == ClaimStatus::Unavailable) {
    aFailure = { kUnavailable,
                 Verdict::NotRun,
                 Refusal::ClaimUnavailable,
                 Millis{ 1000 },
                 "the key can't be claimed now" };
  }
  return status == ClaimStatus::Acquired;
}

auto
CallerPort::ForwardRequest(const httplib::Request& aRequest,
                           RequestPlan& aPlan,
                           const httplib::ContentReader* aReader)
  -> RequestOutcome
{
  auto outgoing = OutgoingRequest{};
  outgoing.method = aRequest.method;
  outgoing.target = aRequest.target.empty() ? aRequest.path : aRequest.target;
  outgoing.headers = ForwardRequestHeaders(aRequest);
  if (aReader == nullptr) {
    aPlan.outgoing = std::make_shared<OutgoingRequest>(std::move(outgoing));
    return this->RunSession(aPlan);
  }
  if (aRequest.has_header("Content-Length")) {
    outgoing.uploadLength =
      aRequest.get_header_value<std::uint64_t>("Content-Length");
  }
  return this->ForwardRequestWithBody(aPlan, std::move(outgoing), *aReader);
}

// Reads the request body. One of up to kMaxReplayableBodyBytes is kept and sent
// once it is complete; a longer one is streamed while it arrives, by a session
// on another thread. One that declares to be longer is streamed from its first
// byte. A body whose memory the budget does not have is refused before anything
// is sent.
auto
CallerPort::ForwardRequestWithBody(RequestPlan& aPlan,
                                   OutgoingRequest aOutgoing,
                                   const httplib::ContentReader& aReader)
  -> RequestOutcome
{
  const auto declaredBytes = aOutgoing.uploadLength.value_or(0);
  const auto bufferLimit = declaredBytes > kMaxReplayableBodyBytes
                             ? std::size_t{ 0 }
                             : kMaxReplayableBodyBytes;
  const auto lease = std::make_shared<ByteLease>(this->bodyBudget);
  aOutgoing.bodyLease = lease;
  auto buffered =
    BufferedBody{ *lease, declaredBytes, kMaxReplayableBodyBytes };
  auto upload = std::shared_ptr<Pipe>{};
  auto refused = false;
  auto session = std::future<RequestOutcome>{};
  const auto uploadCloser = UploadCloser{ upload };
  const auto complete = aReader([&](const char* aData, std::size_t aSize) {
    if (upload) {
      return upload->Write(aData, aSize);
    }
    if (buffered.Size() + aSize <= bufferLimit) {
      refused = !buffered.Append(aData, aSize);
      return !refused;
    }
    refused = !lease->TryGrowTo(kUploadCostBytes);
    if (refused) {
      return false;
    }
    upload = std::make_shared<Pipe>(kUploadBufferBytes);
    const auto begin = buffered.Take();
    upload->Write(begin.data(), begin.size());
    aOutgoing.upload = upload;
    aPlan.outgoing = std::make_shared<OutgoingRequest>(aOutgoing);
    session = std::async(std::launch::async, [this, &aPlan, upload] {
      auto outcome = this->RunSession(aPlan);
      if (!outcome.winner) {
        upload->Close(PipeState::Aborted);
      }
      return outcome;
    });
    return upload->Write(aData, aSize);
  });
  aPlan.bodyUnread = !complete;
  if (upload) {
    upload->Close(complete ? PipeState::Complete : PipeState::Aborted);
    return session.get();
  }
  if (refused) {
    return {
      nullptr, Verdict::NotRun, Refusal::BodyMemory, kBodyMemoryRetryAfter
    };
  }
  if (!complete) {
    return {
      nullptr, Verdict::NotRun, Refusal::CallerDisconnected, Millis{ 0 }
    };
  }
  aOutgoing.uploadLength.reset();
  aOutgoing.body = buffered.Take();
  aPlan.outgoing = std::make_shared<OutgoingRequest>(std::move(aOutgoing));
  return this->RunSession(aPlan);
}

auto
CallerPort::RunSession(const RequestPlan& aPlan) -> RequestOutcome
{
  return RequestSession{ aPlan,
                         this->backendPools,
                         this->exchangeThreads,
                         this->clock,
                         this->bodyBudget }
    .Run();
}

auto
CallerPort::AdmissionFor(const ServiceSpec& aSpec)
  -> std::shared_ptr<AdmissionController>
{
  {
    auto existing = AdmissionControllers::const_accessor{};
    if (this->admissionByService.find(existing, aSpec.id.text)) {
      return existing->second;
    }
  }
  auto created = AdmissionControllers::accessor{};
  if (this->admissionByService.insert(created, aSpec.id.text)) {
    created->second =
      std::make_shared<AdmissionController>(this->clock,
                                            this->settings.routing,
                                            this->settings.domain,
                                            this->settings.crossDomainLatency,
                                            this->metrics.ForService(aSpec.id));
  }
  return created->second;
}

// Chooses the service by the Gooseberry-Service header, else by the first label
// of the Host header. Without a match, and without a service header, uses the
// only service if there is just one.
auto
CallerPort::FindRoute(const httplib::Request& aRequest,
                      const RouteTable& aTable) -> std::shared_ptr<const Route>
{
  auto name = aRequest.get_header_value(kServiceHeader);
  if (name.empty()) {
    const auto host = aRequest.get_header_value("Host");
    name = host.substr(0, host.find_first_of(".:"));
  }
  const auto found = aTable.routes.find(ServiceId{ name });
  if (found != aTable.routes.end()) {
    return found->second;
  }
  const auto isOnlyService =
    aTable.routes.size() == 1 && !aRequest.has_header(kServiceHeader);
  return isOnlyService ? aTable.routes.begin()->second : nullptr;
}

} // namespace gooseberry
