#ifndef GOOSEBERRY_FLEETINSTANCE_H
#define GOOSEBERRY_FLEETINSTANCE_H

// One complete instance of the fleet's scheduler: serves callers, follows the
// site's tables, and owns the cells that fall to it.

#include <atomic>
#include <memory>
#include <string>

#include "cellboard.h"
#include "entry.h"
#include "eventloop.h"
#include "fleetlog.h"
#include "fleetsettings.h"
#include "httpserver.h"
#include "sitewatch.h"
#include "wireadvice.h"
#include "wiretables.h"
#include "wireworkers.h"

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
  auto MakeAdvice(std::string& aReason) -> bool;
  // Leaves aServer null if aAddress is empty. Returns false with the reason if
  // the address is malformed or can't be listened on.
  auto Listen(std::shared_ptr<HttpServer>& aServer,
              const std::string& aAddress,
              HttpServer::Handler aHandler,
              std::string& aReason) -> bool;
  auto WatchSignals() -> void;
  auto Shutdown() -> void;
  auto EndWhenIdle() -> void;
  auto Ready() const -> bool;
  auto TellMetrics() -> void;

  const FleetSettings settings;
  FleetLog log;
  EventLoop loop;
  FleetMetrics metrics;
  std::unique_ptr<wire::WireTables> wireTables;
  std::unique_ptr<wire::WireWorkers> wireWorkers;
  std::unique_ptr<cells::TablePort> tables;
  std::unique_ptr<cells::WorkerPort> workers;
  std::unique_ptr<cells::AdvicePort> advice;
  std::unique_ptr<SiteWatch> site;
  std::shared_ptr<FleetView> view;
  std::shared_ptr<CellBoard> board;
  std::unique_ptr<Entry> entry;
  std::shared_ptr<HttpServer> callers;
  std::shared_ptr<HttpServer> ready;
  std::shared_ptr<HttpServer> metricsPort;
  std::shared_ptr<void> signals;
  bool stopping = false;
  bool released = false;
  Time stopAt{};
  TimerHandle endTimer;
};

} // namespace gooseberry::fleet

#endif
