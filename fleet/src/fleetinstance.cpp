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
constexpr Millis kEndReserve{ 500 };
// Interval of the checks during a shutdown.
constexpr Millis kEndLook{ 50 };

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
FleetInstance::MakeAdvice(std::string& aReason) -> bool
{
  if (this->settings.advice.empty()) {
    this->advice = std::make_unique<wire::NoAdvice>(this->loop);
    return true;
  }
  const auto address = ParseEndpoint(this->settings.advice);
  if (!address) {
    aReason = "advice '" + this->settings.advice + "' is not ADDRESS:PORT";
    return false;
  }
  this->advice = std::make_unique<wire::WireAdvice>(this->loop, *address);
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
  this->wireTables = std::make_unique<wire::WireTables>(this->loop, *store);
  this->wireWorkers = std::make_unique<wire::WireWorkers>(this->loop);
  this->tables = std::make_unique<MeteredTables>(
    *this->wireTables, this->loop, this->metrics);
  this->workers = std::make_unique<MeteredWorkers>(
    *this->wireWorkers, this->loop, this->metrics);
  if (!this->MakeAdvice(aReason)) {
    return false;
  }
  this->site =
    std::make_unique<SiteWatch>(this->loop, *this->tables, this->log);
  this->view = std::make_shared<FleetView>(
    this->settings, this->loop, *this->tables, this->log);
  this->board = std::make_shared<CellBoard>(this->settings,
                                            KeeperPorts{ this->loop,
                                                         *this->tables,
                                                         *this->workers,
                                                         *this->advice,
                                                         *this->site,
                                                         *this->view,
                                                         this->log,
                                                         this->metrics });
  this->entry = std::make_unique<Entry>(this->loop,
                                        *this->tables,
                                        *this->site,
                                        *this->board,
                                        *this->view,
                                        this->log,
                                        this->metrics);
  this->site->SetOnChange([this] {
    if (const auto config = this->site->Config()) {
      auto limits = HttpServerLimits{};
      limits.maxHeaderBytes = config->limits.maxHeaderBytes;
      limits.maxBodyBytes = config->limits.maxBodyBytes;
      limits.headerTimeout = config->limits.headerTimeout;
      limits.idleTimeout = config->limits.idleTimeout;
      limits.maxConnections =
        static_cast<std::size_t>(this->settings.maxDescriptors) / 2;
      this->callers->SetLimits(limits);
    }
    this->board->OnSiteChanged();
  });
  const auto handleCaller = [this](std::shared_ptr<HttpExchange> aExchange) {
    this->entry->Handle(std::move(aExchange));
  };
  const auto handleReadiness =
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      if (aExchange->Request().target != wire::kReadyPath) {
        aExchange->Answer(kNotFound, "", {});
      } else {
        aExchange->Answer(this->Ready() ? kOk : kUnavailable, "", {});
      }
    };
  const auto handleMetrics =
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      if (aExchange->Request().target != kMetricsPath) {
        aExchange->Answer(kNotFound, "", {});
      } else {
        this->TellMetrics();
        aExchange->Answer(
          kOk, this->metrics.Text(), { { "Content-Type", "text/plain" } });
      }
    };
  if (!this->Listen(
        this->callers, this->settings.callers, handleCaller, aReason) ||
      !this->Listen(
        this->ready, this->settings.ready, handleReadiness, aReason) ||
      !this->Listen(
        this->metricsPort, this->settings.metrics, handleMetrics, aReason)) {
    return false;
  }
  this->WatchSignals();
  this->site->Start();
  this->view->Start([this] { return this->board->OwnLoads(); },
                    [this] { this->board->OnViewChanged(); });
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
  aServer = std::make_shared<HttpServer>(
    this->loop, HttpServerLimits{}, std::move(aHandler));
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
  this->signals =
    std::make_shared<std::pair<std::shared_ptr<boost::asio::signal_set>,
                               std::shared_ptr<std::function<void()>>>>(
      signalSet, waitForSignal);
}

auto
FleetInstance::Ready() const -> bool
{
  return !this->stopping && this->site->Config() != nullptr;
}

auto
FleetInstance::TellMetrics() -> void
{
  this->board->TellMetrics();
  auto jobs = std::size_t{ 0 };
  auto workerCount = std::size_t{ 0 };
  const auto owned = this->board->OwnedCells();
  for (const auto* const cell : owned) {
    jobs += cell->Jobs();
    workerCount += cell->Workers().size();
  }
  const auto config = this->site->Config();
  const auto setGauge = [this](const char* aName, auto aValue) {
    this->metrics.Set(aName, static_cast<double>(aValue));
  };
  setGauge("owned_cells", owned.size());
  setGauge("jobs", jobs);
  setGauge("workers", workerCount);
  setGauge("members", this->view->Members().Alive().size());
  setGauge("config_version", config ? config->version : 0);
  setGauge("caller_connections", this->callers->Connections());
  setGauge("unanswered", this->callers->Unanswered());
  setGauge("worker_connections_opened", this->wireWorkers->Opened());
  setGauge("log_lines_dropped", this->log.Dropped());
  setGauge("ready", this->Ready() ? 1 : 0);
}

auto
FleetInstance::Shutdown() -> void
{
  if (std::exchange(this->stopping, true)) {
    return;
  }
  this->log.Write("stopping", {});
  this->stopAt = this->loop.Now();
  this->callers->Drain();
  this->board->Release([this] { this->released = true; });
  this->EndWhenIdle();
}

auto
FleetInstance::EndWhenIdle() -> void
{
  const auto elapsed = this->loop.Now() - this->stopAt;
  const auto idle = this->callers->Unanswered() == 0 && this->released &&
                    elapsed > kBalancerLag;
  if (idle) {
    this->callers->CloseIdle();
  }
  if (idle || elapsed > this->settings.bounds.grace - kEndReserve) {
    this->log.Write(
      "stopped",
      { { "unanswered", std::to_string(this->callers->Unanswered()) } });
    this->loop.Stop();
    return;
  }
  this->endTimer = this->loop.After(kEndLook, [this] { this->EndWhenIdle(); });
}

} // namespace gooseberry::fleet
