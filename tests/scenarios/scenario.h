#ifndef GOOSEBERRY_SCENARIO_H
#define GOOSEBERRY_SCENARIO_H

// What the scenarios share: a small fleet and its document.

#include <chrono>
#include <string>
#include <thread>

#include "fleet.h"
#include "load.h"
#include "observer.h"

namespace gooseberry::test {

inline constexpr const char* kSite = R"(outage_allowance: 30s
domains:
  - name: north
  - name: south
)";

inline constexpr const char* kTeam = R"(services:
  - name: kiosk
    deadline: 4s
    not_repeatable: [/charge]
  - name: billed
    deadline: 4s
    claims: true
batch:
  - {name: billing, cpu_millis: 1000, memory_mb: 500, run_time: 1s, checkpoints: true, at_most_once: true}
  - {name: long, cpu_millis: 1000, memory_mb: 500, run_time: 6s, checkpoints: true}
  - {name: huge, cpu_millis: 900000, memory_mb: 500, run_time: 1s}
watchers:
  - {name: locker, cpu_millis: 200, memory_mb: 100, replicas: 2}
)";

// Two failure domains with workers and backend servers in both, and instances.
inline auto
StartSmallFleet(Fleet& aFleet, int aInstances, bool aProxies) -> void
{
  aFleet.StartPlatform();
  const std::vector<std::string> domains{ "north", "south" };
  for (auto index = 0; index < 4; ++index) {
    auto worker = WorkerOptions{};
    worker.id = "worker-" + std::to_string(index);
    worker.domain = domains[static_cast<std::size_t>(index) % 2];
    worker.behindProxy = aProxies;
    aFleet.AddWorker(worker);
    auto backend = BackendOptions{};
    backend.id = "backend-" + std::to_string(index);
    backend.domain = domains[static_cast<std::size_t>(index) % 2];
    backend.behindProxy = aProxies;
    aFleet.AddBackend(backend);
  }
  for (auto index = 0; index < aInstances; ++index) {
    aFleet.AddInstance({ "entry-" + std::to_string(index),
                         domains[static_cast<std::size_t>(index) % 2],
                         aProxies });
  }
  aFleet.PutSection("site", kSite);
  aFleet.PutSection("team", kTeam);
  Eventually(std::chrono::seconds{ 15 }, [&] {
    for (auto& [id, node] : aFleet.instances) {
      const auto services = Call("GET", node.adminPort, "/v1/services").body;
      if (services.find("backend-3") == std::string::npos) {
        return false;
      }
    }
    return true;
  });
}

inline auto
Pause(int aMillis) -> void
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aMillis });
}

inline auto
Entries(Fleet& aFleet) -> std::vector<int>
{
  auto ports = std::vector<int>{};
  for (auto& [id, node] : aFleet.instances) {
    ports.push_back(node.port);
  }
  return ports;
}

inline auto
Joined(const Violations& aViolations) -> std::string
{
  auto text = std::string{};
  for (const auto& violation : aViolations) {
    text += "\n  " + violation;
  }
  return text;
}

} // namespace gooseberry::test

#endif
