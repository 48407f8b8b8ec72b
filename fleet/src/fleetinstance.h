#ifndef GOOSEBERRY_FLEETINSTANCE_H
#define GOOSEBERRY_FLEETINSTANCE_H

// One complete instance of the fleet's scheduler: serves callers, follows the
// site's tables, and owns the cells that fall to it.

#include <atomic>
#include <memory>
#include <string>

#include "callerapi.h"
#include "cellmanager.h"
#include "eventloop.h"
#include "fleetlog.h"
#include "fleetsettings.h"
#include "httpadviceclient.h"
#include "httpserver.h"
#include "httptableclient.h"
#include "httpworkerport.h"
#include "sitewatcher.h"

namespace gooseberry::fleet {

class FleetInstance
{
public:
  explicit FleetInstance(FleetSettings aSettings);
  FleetInstance(const FleetInstance&) = delete;
  auto operator=(const FleetInstance&) -> FleetInstance& = delete;
  ~FleetInstance();

  // Returns false with the reason in aReason if the instance can't start.
  auto Start(std::string& aReason) -> bool;
  // Returns after the graceful shutdown that SIGTERM or SIGINT starts.
  auto Run() -> void;

private:
  auto CreateAdvicePort(std::string& aReason) -> bool;
  // Leaves aServer null if aAddress is empty. Returns false with the reason if
  // the address is malformed or can't be listened on.
  auto Listen(std::shared_ptr<HttpServer>& aServer,
              const std::string& aAddress,
              const HttpServerLimits& aLimits,
              HttpServer::Handler aHandler,
              std::string& aReason) -> bool;
  auto WatchSignals() -> void;
  // aBefore: the counts at the previous line.
  auto LogConnectionLimits(const ConnectionCounts& aBefore) -> void;
  auto Shutdown() -> void;
  auto FinishShutdownWhenIdle() -> void;
  auto IsReady() const -> bool;
  auto UpdateMetrics() -> void;

  const FleetSettings settings;
  FleetLog log;
  EventLoop loop;
  FleetMetrics metrics;
  std::unique_ptr<wire::HttpTableClient> wireTables;
  std::unique_ptr<wire::HttpWorkerPort> wireWorkers;
  std::unique_ptr<cells::TableClient> tables;
  std::unique_ptr<cells::WorkerPort> workers;
  std::unique_ptr<cells::AdviceClient> advice;
  std::unique_ptr<SiteWatcher> siteWatcher;
  std::shared_ptr<FleetView> fleetView;
  std::shared_ptr<CellManager> cellManager;
  std::unique_ptr<CallerApi> callerApi;
  std::shared_ptr<HttpServer> callerServer;
  std::shared_ptr<HttpServer> readinessServer;
  std::shared_ptr<HttpServer> metricsServer;
  std::shared_ptr<void> signalWait;
  bool stopping = false;
  bool cellsReleased = false;
  Time shutdownStartedAt{};
  TimerHandle shutdownTimer;
  TimerHandle limitLogTimer;
};

} // namespace gooseberry::fleet

#endif
