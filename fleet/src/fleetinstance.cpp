#include "fleetinstance.h"

#include <csignal>

#include <boost/asio/signal_set.hpp>

#include "hostport.h"

namespace gooseberry::fleet {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kMetricsPath = "/metrics";
// The load balancer needs two readiness checks, one second apart, until it
// stops sending new connections.
constexpr Millis kBalancerLag{ 2300 };
// Part of the grace period that is reserved for ending the process.
constexpr Millis kShutdownReserve{ 500 };
// Interval of the checks during a shutdown.
constexpr Millis kShutdownCheckInterval{ 50 };
// The readiness and metrics ports serve the platform, not callers.
constexpr std::size_t kOperatorConnections = 32;
constexpr std::size_t kOperatorBufferedBytes = std::size_t{ 4 } << 20U;
constexpr Millis kLimitLogInterval{ 1000 };

// Half of the descriptors remain for the store, the workers and other
// instances.
auto
CallerServerLimits(const FleetSettings& aSettings,
                   const cells::CallerLimits& aLimits) -> HttpServerLimits
{
  return { aLimits.maxHeaderBytes,
           aLimits.maxBodyBytes,
           aLimits.headerTimeout,
           aLimits.idleTimeout,
           static_cast<std::size_t>(aSettings.maxDescriptors) / 2,
           BufferedBytesFor(aSettings.memoryMb,
                            aLimits.maxHeaderBytes + aLimits.maxBodyBytes) };
}

} // namespace

FleetInstance::FleetInstance(FleetSettings aSettings)
  : settings(std::move(aSettings))
  , log(this->settings.instance,
        LogLimits{ this->settings.logLinesPerSecond,
                   this->settings.logShareOfJobs })
{
}

FleetInstance::~FleetInstance() = default;

auto
FleetInstance::CreateAdvicePort(std::string& aReason) -> bool
{
  if (this->settings.advice.empty()) {
    this->advice = std::make_unique<wire::NullAdviceClient>(this->loop);
    return true;
  }
  const auto address = ParseEndpoint(this->settings.advice);
  if (!address) {
    aReason = "advice '" + this->settings.advice + "' is not ADDRESS:PORT";
    return false;
  }
  this->advice = std::make_unique<wire::HttpAdviceClient>(this->loop, *address);
  return true;
}

auto
FleetInstance::Start(std::string& aReason) -> bool
{
  const auto store = ParseEndpoint(this->settings.store.address);
  if (!store) {
    aReason = "store.address '" + this->settings.store.address +
              "' is not ADDRESS:PORT";
    return false;
  }
  this->wireTables =
    std::make_unique<wire::HttpTableClient>(this->loop, *store);
  this->wireWorkers = std::make_unique<wire::HttpWorkerPort>(this->loop);
  this->tables = std::make_unique<MeteredTables>(
    *this->wireTables, this->loop, this->metrics);
  this->workers = std::make_unique<MeteredWorkers>(
    *this->wireWorkers, this->loop, this->metrics);
  if (!this->CreateAdvicePort(aReason)) {
    return false;
  }
  this->siteWatcher =
    std::make_unique<SiteWatcher>(this->loop, *this->tables, this->log);
  this->fleetView = std::make_shared<FleetView>(
    this->settings, this->loop, *this->tables, this->log);
  this->cellManager =
    std::make_shared<CellManager>(this->settings,
                                  CellControllerPorts{ this->loop,
                                                       *this->tables,
                                                       *this->workers,
                                                       *this->advice,
                                                       *this->siteWatcher,
                                                       *this->fleetView,
                                                       this->log,
                                                       this->metrics });
  this->callerApi = std::make_unique<CallerApi>(this->settings,
                                                this->loop,
                                                *this->tables,
                                                *this->siteWatcher,
                                                *this->cellManager,
                                                *this->fleetView,
                                                this->log,
                                                this->metrics);
  this->siteWatcher->SetOnChange([this] {
    if (const auto config = this->siteWatcher->Config()) {
      this->callerServer->SetLimits(
        CallerServerLimits(this->settings, config->limits));
    }
    this->cellManager->OnSiteChanged();
  });
  const auto handleCaller = [this](std::shared_ptr<HttpExchange> aExchange) {
    this->callerApi->Handle(std::move(aExchange));
  };
  const auto handleReadiness =
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      if (aExchange->Request().target != wire::kReadyPath) {
        aExchange->Respond(kNotFound, "", {});
      } else {
        aExchange->Respond(this->IsReady() ? kOk : kUnavailable, "", {});
      }
    };
  const auto handleMetrics =
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      if (aExchange->Request().target != kMetricsPath) {
        aExchange->Respond(kNotFound, "", {});
      } else {
        this->UpdateMetrics();
        aExchange->Respond(
          kOk, this->metrics.Serialize(), { { "Content-Type", "text/plain" } });
      }
    };
  auto operatorLimits = HttpServerLimits{};
  operatorLimits.maxConnections = kOperatorConnections;
  operatorLimits.maxBufferedBytes = kOperatorBufferedBytes;
  if (!this->Listen(this->callerServer,
                    this->settings.callers,
                    CallerServerLimits(this->settings, {}),
                    handleCaller,
                    aReason) ||
      !this->Listen(this->readinessServer,
                    this->settings.ready,
                    operatorLimits,
                    handleReadiness,
                    aReason) ||
      !this->Listen(this->metricsServer,
                    this->settings.metrics,
                    operatorLimits,
                    handleMetrics,
                    aReason)) {
    return false;
  }
  this->LogConnectionLimits({});
  this->WatchSignals();
  this->siteWatcher->Start();
  this->fleetView->Start([this] { return this->cellManager->OwnedCellLoads(); },
                         [this] { this->cellManager->OnViewChanged(); });
  this->log.Write("started",
                  { { "version", GOOSEBERRY_VERSION },
                    { "domain", this->settings.domain.text },
                    { "callers", this->settings.callers },
                    { "store", this->settings.store.address } });
  return true;
}

auto
FleetInstance::Listen(std::shared_ptr<HttpServer>& aServer,
                      const std::string& aAddress,
                      const HttpServerLimits& aLimits,
                      HttpServer::Handler aHandler,
                      std::string& aReason) -> bool
{
  if (aAddress.empty()) {
    return true;
  }
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    aReason = "'" + aAddress + "' is not ADDRESS:PORT";
    return false;
  }
  aServer =
    std::make_shared<HttpServer>(this->loop, aLimits, std::move(aHandler));
  if (!aServer->Listen(*endpoint, aReason)) {
    aReason = aAddress + ": " + aReason;
    return false;
  }
  return true;
}

auto
FleetInstance::Run() -> void
{
  this->loop.Run();
}

auto
FleetInstance::WatchSignals() -> void
{
  auto signalSet = std::make_shared<boost::asio::signal_set>(
    this->loop.Context(), SIGTERM, SIGINT, SIGHUP);
  auto* const rawSet = signalSet.get();
  const auto waitForSignal = std::make_shared<std::function<void()>>();
  *waitForSignal = [this,
                    rawSet,
                    weakWait =
                      std::weak_ptr<std::function<void()>>(waitForSignal)] {
    rawSet->async_wait(
      [this, weakWait](const boost::system::error_code& aError, int aSignal) {
        const auto waitAgain = weakWait.lock();
        if (aError || !waitAgain) {
          return;
        }
        if (aSignal == SIGHUP) {
          this->log.Write("reloaded", {});
        } else {
          this->Shutdown();
        }
        (*waitAgain)();
      });
  };
  (*waitForSignal)();
  this->signalWait =
    std::make_shared<std::pair<std::shared_ptr<boost::asio::signal_set>,
                               std::shared_ptr<std::function<void()>>>>(
      signalSet, waitForSignal);
}

auto
FleetInstance::IsReady() const -> bool
{
  return !this->stopping && this->siteWatcher->Config() != nullptr;
}

auto
FleetInstance::UpdateMetrics() -> void
{
  this->cellManager->PublishMetrics();
  auto jobs = std::size_t{ 0 };
  auto workerCount = std::size_t{ 0 };
  auto accountsAtLimit = std::size_t{ 0 };
  const auto owned = this->cellManager->OwnedCells();
  for (const auto* const cell : owned) {
    jobs += cell->JobCount();
    workerCount += cell->Workers().size();
    accountsAtLimit += cell->AccountsAtLimit();
  }
  const auto config = this->siteWatcher->Config();
  const auto setGauge = [this](const char* aName, auto aValue) {
    this->metrics.SetGauge(aName, static_cast<double>(aValue));
  };
  setGauge("owned_cells", owned.size());
  setGauge("jobs", jobs);
  setGauge("workers", workerCount);
  setGauge("accounts_at_limit", accountsAtLimit);
  setGauge("members", this->fleetView->Members().Alive().size());
  setGauge("config_version", config ? config->version : 0);
  setGauge("caller_connections", this->callerServer->ConnectionCount());
  setGauge("unanswered", this->callerServer->PendingRequests());
  setGauge("caller_bytes_held", this->callerServer->HeldBytes());
  const auto& counts = this->callerServer->Counts();
  setGauge("caller_connections_shed_for_memory", counts.shedForMemory);
  setGauge("caller_connections_shed_for_connection", counts.shedForConnection);
  setGauge("caller_connections_not_accepted", counts.notAccepted);
  setGauge("caller_connections_bad_request", counts.badRequests);
  setGauge("caller_connections_timed_out", counts.timedOut);
  setGauge("worker_connections_opened", this->wireWorkers->OpenedConnections());
  setGauge("log_lines_dropped", this->log.DroppedLines());
  setGauge("ready", this->IsReady() ? 1 : 0);
}

// One line per interval however many clients are refused, so that they can't
// fill the log.
auto
FleetInstance::LogConnectionLimits(const ConnectionCounts& aBefore) -> void
{
  const auto counts = this->callerServer->Counts();
  if (counts != aBefore) {
    this->log.Write(
      "connections_limited",
      { { "memory",
          std::to_string(counts.shedForMemory - aBefore.shedForMemory) },
        { "connections",
          std::to_string(counts.shedForConnection -
                         aBefore.shedForConnection) },
        { "not_accepted",
          std::to_string(counts.notAccepted - aBefore.notAccepted) },
        { "bad_requests",
          std::to_string(counts.badRequests - aBefore.badRequests) },
        { "timed_out", std::to_string(counts.timedOut - aBefore.timedOut) },
        { "open", std::to_string(this->callerServer->ConnectionCount()) },
        { "held_bytes", std::to_string(this->callerServer->HeldBytes()) } });
  }
  this->limitLogTimer = this->loop.After(
    kLimitLogInterval, [this, counts] { this->LogConnectionLimits(counts); });
}

auto
FleetInstance::Shutdown() -> void
{
  if (std::exchange(this->stopping, true)) {
    return;
  }
  this->log.Write("stopping", {});
  this->shutdownStartedAt = this->loop.Now();
  this->callerServer->Drain();
  this->cellManager->Release([this] { this->cellsReleased = true; });
  this->FinishShutdownWhenIdle();
}

auto
FleetInstance::FinishShutdownWhenIdle() -> void
{
  const auto elapsed = this->loop.Now() - this->shutdownStartedAt;
  const auto idle = this->callerServer->PendingRequests() == 0 &&
                    this->cellsReleased && elapsed > kBalancerLag;
  if (idle) {
    this->callerServer->CloseIdle();
  }
  if (idle || elapsed > this->settings.bounds.grace - kShutdownReserve) {
    this->log.Write(
      "stopped",
      { { "unanswered",
          std::to_string(this->callerServer->PendingRequests()) } });
    this->loop.Stop();
    return;
  }
  this->shutdownTimer = this->loop.After(
    kShutdownCheckInterval, [this] { this->FinishShutdownWhenIdle(); });
}

} // namespace gooseberry::fleet
