#ifndef GOOSEBERRY_CALLERPORT_H
#define GOOSEBERRY_CALLERPORT_H

// HTTP server for callers: reads requests, forwards each one to a backend
// server through a RequestSession, and forwards the response.

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <httplib.h>
#include <oneapi/tbb/concurrent_hash_map.h>

#include "answers.h"
#include "claims.h"
#include "connectionserver.h"
#include "controlplane.h"
#include "requestsession.h"

namespace gooseberry {

class CallerPort
{
public:
  CallerPort(const Settings& aSettings,
             const Clock& aClock,
             ControlPlane& aControl,
             TableService& aTable,
             Metrics& aMetrics);
  CallerPort(const CallerPort&) = delete;
  auto operator=(const CallerPort&) -> CallerPort& = delete;
  ~CallerPort();

  // Binds the address and starts to serve. Returns false and sets aReason if
  // the address cannot be bound.
  auto Start(std::string& aReason) -> bool;
  // From now on closes each caller connection after its response. Requests are
  // still served.
  auto BeginDrain() -> void;
  // Stops listening; returns when the last request has been answered.
  auto Stop() -> void;
  auto IsDraining() const -> bool;

private:
  // aReader is null for methods without a body.
  auto HandleRequest(const httplib::Request& aRequest,
                     httplib::Response& aResponse,
                     const httplib::ContentReader* aReader) -> void;
  // Fills aPlan, except for the outgoing request. Returns false and sets
  // aFailure if the request cannot be forwarded.
  auto PrepareRequest(const httplib::Request& aRequest,
                      RequestPlan& aPlan,
                      FailureResponse& aFailure) -> bool;
  // Claims the idempotency key of the request. Returns false and sets aFailure
  // if the request must not be sent.
  auto AcquireClaim(const httplib::Request& aRequest,
                    const RequestPlan& aPlan,
                    const std::string& aRequestId,
                    FailureResponse& aFailure) -> bool;
  auto ForwardRequest(const httplib::Request& aRequest,
                      RequestPlan& aPlan,
                      const httplib::ContentReader* aReader) -> RequestOutcome;
  auto ForwardRequestWithBody(RequestPlan& aPlan,
                              OutgoingRequest aOutgoing,
                              const httplib::ContentReader& aReader)
    -> RequestOutcome;
  auto RunSession(const RequestPlan& aPlan) -> RequestOutcome;
  // The admission controller of the service, created on first use.
  auto AdmissionFor(const ServiceSpec& aSpec)
    -> std::shared_ptr<AdmissionController>;
  // Null if the table has no service for the request.
  auto FindRoute(const httplib::Request& aRequest, const RouteTable& aTable)
    -> std::shared_ptr<const Route>;

  using AdmissionControllers =
    oneapi::tbb::concurrent_hash_map<std::string,
                                     std::shared_ptr<AdmissionController>>;

  const Settings& settings;
  const Clock& clock;
  ControlPlane& control;
  IdempotencyClaims idempotencyClaims;
  Metrics& metrics;
  ServiceMetrics unknownServiceMetrics;
  // Of the bodies of all requests and responses.
  const std::shared_ptr<ByteBudget> bodyBudget;
  BackendPools backendPools;
  ConnectionThreadPool exchangeThreads;
  AdmissionControllers admissionByService;
  std::atomic<std::uint64_t> nextRequestNumber = 0;
  std::atomic<bool> draining = false;
  std::atomic<bool> stopped = false;
  ConnectionServer server;
  std::thread listenerThread;
  std::thread poolCleanupThread;
};

} // namespace gooseberry

#endif
