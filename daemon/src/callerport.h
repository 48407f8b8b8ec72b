#ifndef GOOSEBERRY_CALLERPORT_H
#define GOOSEBERRY_CALLERPORT_H

// The port of the callers: reads requests, carries them through a session, and
// passes the answers on.

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
#include "control.h"
#include "requestsession.h"

namespace gooseberry {

class CallerPort
{
public:
  CallerPort(const Settings& aSettings,
             const Clock& aClock,
             Control& aControl,
             TableService& aTable,
             Metrics& aMetrics);
  CallerPort(const CallerPort&) = delete;
  auto operator=(const CallerPort&) -> CallerPort& = delete;
  ~CallerPort();

  // False with the reason if the port can't be bound.
  auto Start(std::string& aReason) -> bool;
  // Asks callers to close their connections; requests are still served.
  auto BeginDrain() -> void;
  // Returns when the last request has been answered.
  auto Stop() -> void;
  auto Draining() const -> bool;

private:
  auto Handle(const httplib::Request& aRequest,
              httplib::Response& aResponse,
              const httplib::ContentReader* aReader) -> void;
  auto Prepare(const httplib::Request& aRequest,
               RequestPlan& aPlan,
               Failure& aFailure) -> bool;
  auto TakeClaim(const httplib::Request& aRequest,
                 const RequestPlan& aPlan,
                 const std::string& aIdentity,
                 Failure& aFailure) -> bool;
  auto Carry(const httplib::Request& aRequest,
             RequestPlan& aPlan,
             const httplib::ContentReader* aReader) -> RequestOutcome;
  auto CarryUpload(RequestPlan& aPlan,
                   OutgoingRequest aOutgoing,
                   const httplib::ContentReader& aReader) -> RequestOutcome;
  auto RunSession(const RequestPlan& aPlan) -> RequestOutcome;
  auto GateOf(const ServiceSpec& aSpec) -> std::shared_ptr<Gate>;
  auto FindRoute(const httplib::Request& aRequest, const RouteTable& aTable)
    -> std::shared_ptr<const Route>;

  using Gates =
    oneapi::tbb::concurrent_hash_map<std::string, std::shared_ptr<Gate>>;

  const Settings& settings;
  const Clock& clock;
  Control& control;
  Claims claims;
  Metrics& metrics;
  ServiceMetrics unknownService;
  BackendPools pools;
  ConnectionThreads exchangeThreads;
  Gates gates;
  std::atomic<std::uint64_t> nextIdentity = 0;
  std::atomic<bool> draining = false;
  std::atomic<bool> stopped = false;
  ConnectionServer server;
  std::thread listener;
  std::thread sweeper;
};

} // namespace gooseberry

#endif
