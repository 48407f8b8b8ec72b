#include "instance.h"

#include <random>
#include <thread>

#include "log.h"

namespace gooseberry {

namespace {

constexpr int kBlockingThreads = 32;
constexpr Millis kStopPollInterval{ 50 };
constexpr Millis kMaxLeaveTime{ 10000 };

} // namespace

Instance::Instance(Settings aSettings)
  : settings(std::move(aSettings))
  , workerClient(this->settings.workerTimeout)
  , executor(kBlockingThreads)
{
  auto* table = static_cast<TableService*>(&this->memoryTable);
  auto* objects = static_cast<ObjectStore*>(&this->memoryObjectStore);
  auto* instances = static_cast<InstanceList*>(&this->staticInstances);
  if (const auto address = ParseHostPort(this->settings.platformAddress)) {
    this->platform =
      std::make_unique<HttpPlatform>(*address, this->settings.platformTimeout);
    table = this->platform.get();
    objects = this->platform.get();
    instances = this->platform.get();
  }
  if (!this->settings.peers.address.empty()) {
    this->peerLink = std::make_unique<PeerLink>(
      [this](const Hint& aHint) { this->controlPlane->OnPeerHint(aHint); },
      [this](PeerEvent aEvent) { this->metrics.CountPeerEvent(aEvent); });
  }
  this->controlPlane = std::make_unique<ControlPlane>(
    this->settings,
    this->clock,
    PlatformServices{ *table, *objects, *instances, this->workerClient },
    this->metrics,
    this->executor,
    std::random_device{}(),
    this->peerLink.get());
  this->callerPort = std::make_unique<CallerPort>(
    this->settings, this->clock, *this->controlPlane, *table, this->metrics);
  this->adminPort = std::make_unique<AdminPort>(
    this->settings, *this->controlPlane, *table, *objects, this->metrics);
}

auto
Instance::Start(std::string& aReason) -> bool
{
  if (!this->platform) {
    LogWarn("nothing_is_kept",
            { { "reason",
                "no platform is configured: the document, tasks and leases are "
                "kept in memory and lost when this process ends" } });
  }
  if (!this->adminPort->Start(aReason) || !this->callerPort->Start(aReason)) {
    return false;
  }
  if (this->peerLink &&
      !this->peerLink->Start(this->settings.peers.address, aReason)) {
    return false;
  }
  this->controlPlane->Start();
  LogInfo("started",
          { { "instance", this->controlPlane->OwnId().text },
            { "domain", this->settings.domain.text },
            { "callers", this->settings.callers.address },
            { "admin", this->settings.admin.address } });
  return true;
}

auto
Instance::RunUntil(const std::atomic<bool>& aStop, std::atomic<bool>& aReload)
  -> void
{
  while (!aStop && !this->adminPort->IsDrainRequested()) {
    if (aReload.exchange(false)) {
      this->adminPort->ReloadTokens();
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
  this->Shutdown();
}

// Readiness fails first, and then the balancer has balancerLag to stop sending
// requests. In the meantime the shards are released, while the requests that
// still arrive are answered.
auto
Instance::Shutdown() -> void
{
  LogInfo("draining", {});
  this->adminPort->SetDraining();
  this->callerPort->BeginDrain();
  auto leaveThread = std::thread(
    [this] { this->controlPlane->ReleaseShardsAndLeave(kMaxLeaveTime); });
  std::this_thread::sleep_for(this->settings.loadBalancerLag);
  this->callerPort->Stop();
  leaveThread.join();
  this->adminPort->Stop();
  if (this->peerLink) {
    this->peerLink->Stop();
  }
  this->controlPlane->Stop();
  LogInfo("stopped", {});
}

} // namespace gooseberry
