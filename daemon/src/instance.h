#ifndef GOOSEBERRY_INSTANCE_H
#define GOOSEBERRY_INSTANCE_H

// One instance: control plane, caller port, administration port and the
// connections to the platform and to peers, in one process.

#include <atomic>
#include <memory>
#include <string>

#include "adminport.h"
#include "callerport.h"
#include "controlplane.h"
#include "httpplatform.h"
#include "memoryplatform.h"
#include "steadyclock.h"
#include "threadedexecutor.h"

namespace gooseberry {

class Instance
{
public:
  explicit Instance(Settings aSettings);

  // False with the reason in aReason if a port can't be opened.
  auto Start(std::string& aReason) -> bool;
  // Runs until aStop is set or an operator requests a drain, then shuts down
  // gracefully and returns. aReload makes it read the token file again and is
  // reset.
  auto RunUntil(const std::atomic<bool>& aStop, std::atomic<bool>& aReload)
    -> void;

private:
  auto Shutdown() -> void;

  const Settings settings;
  SteadyClock clock;
  Metrics metrics;
  MemoryTable memoryTable;
  MemoryObjectStore memoryObjectStore;
  StaticInstanceList staticInstances;
  std::unique_ptr<HttpPlatform> platform;
  HttpWorkerClient workerClient;
  ThreadedExecutor executor;
  std::unique_ptr<PeerLink> peerLink;
  std::unique_ptr<ControlPlane> controlPlane;
  std::unique_ptr<CallerPort> callerPort;
  std::unique_ptr<AdminPort> adminPort;
};

} // namespace gooseberry

#endif
