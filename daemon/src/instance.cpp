#include "instance.h"

#include <random>
#include <thread>

#include "log.h"

namespace gooseberry {

namespace {

constexpr int kBlockingThreads = 32;
constexpr Millis kStopPoll{ 50 };
constexpr Millis kLeaveAtMost{ 10000 };

} // namespace

Instance::Instance(Settings aSettings)
  : settings(std::move(aSettings))
  , workers(this->settings.workerTimeout)
  , executor(kBlockingThreads)
{
  auto* table = static_cast<TableService*>(&this->memoryTable);
  auto* objects = static_cast<ObjectStore*>(&this->memoryObjects);
  auto* instances = static_cast<InstanceList*>(&this->fixedInstances);
  if (const auto address = ParseHostPort(this->settings.platform)) {
    this->platform =
      std::make_unique<HttpPlatform>(*address, this->settings.platformTimeout);
    table = this->platform.get();
    objects = this->platform.get();
    instances = this->platform.get();
  }
  if (!this->settings.peers.address.empty()) {
    this->peers = std::make_unique<PeerLink>(
      [this](const Hint& aHint) { this->control->OnHint(aHint); },
      [this](PeerEvent aEvent) { this->metrics.CountPeerEvent(aEvent); });
  }
  this->control = std::make_unique<Control>(
    this->settings,
    this->clock,
    PlatformServices{ *table, *objects, *instances, this->workers },
    this->metrics,
    this->executor,
    std::random_device{}(),
    this->peers.get());
  this->callers = std::make_unique<CallerPort>(
    this->settings, this->clock, *this->control, *table, this->metrics);
  this->admin = std::make_unique<AdminPort>(
    this->settings, *this->control, *table, *objects, this->metrics);
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
  if (!this->admin->Start(aReason) || !this->callers->Start(aReason)) {
    return false;
  }
  if (this->peers &&
      !this->peers->Start(this->settings.peers.address, aReason)) {
    return false;
  }
  this->control->Start();
  LogInfo("started",
          { { "instance", this->control->Self().text },
            { "domain", this->settings.domain.text },
            { "callers", this->settings.callers.address },
            { "admin", this->settings.admin.address } });
  return true;
}

auto
Instance::RunUntil(const std::atomic<bool>& aStop, std::atomic<bool>& aReload)
  -> void
{
  while (!aStop && !this->admin->DrainAsked()) {
    if (aReload.exchange(false)) {
      this->admin->ReloadTokens();
    }
    std::this_thread::sleep_for(kStopPoll);
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
  this->admin->SetDraining();
  this->callers->BeginDrain();
  auto leaveThread =
    std::thread([this] { this->control->Leave(kLeaveAtMost); });
  std::this_thread::sleep_for(this->settings.balancerLag);
  this->callers->Stop();
  leaveThread.join();
  this->admin->Stop();
  if (this->peers) {
    this->peers->Stop();
  }
  this->control->Stop();
  LogInfo("stopped", {});
}

} // namespace gooseberry
