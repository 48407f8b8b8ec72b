#ifndef GOOSEBERRY_SITE_H
#define GOOSEBERRY_SITE_H

// Site configuration from operators and state reported by workers: queues,
// services, and workers.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobspec.h"

namespace gooseberry::cells {

// Accepts the jobs whose host and path match it.
struct Queue
{
  QueueId id;
  std::string host;
  std::string pathPrefix;
  QueuePolicy policy;
  Millis timeout{ 0 };

  auto operator==(const Queue&) const -> bool = default;
};

struct Service
{
  ServiceId id;
  std::string healthPath;
  // Whether workers refuse tasks that do not fit. If not, they start every task
  // they are ordered to.
  bool enforcesCapacity = true;
  std::size_t maxConnections = 64;
  // The service's machines are powered off until they are moved to another
  // service.
  bool standby = false;

  auto operator==(const Service&) const -> bool = default;
};

struct CallerLimits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 262144;
  Millis headerTimeout{ 3000 };
  Millis idleTimeout{ 15000 };

  auto operator==(const CallerLimits&) const -> bool = default;
};

// One complete accepted configuration. Versions only increase.
struct SiteConfig
{
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::map<ServiceId, Service> services;
  CallerLimits limits;

  auto operator==(const SiteConfig&) const -> bool = default;

  // The queue for the host with the longest prefix of the path.
  auto FindQueue(const std::string& aHost, const std::string& aPath) const
    -> const Queue*;
  auto FindQueue(const QueueId& aId) const -> const Queue*;
};

// What a worker announces about itself.
struct WorkerEntry
{
  WorkerId id;
  ServiceId service;
  std::string address;
  DomainId domain;
  // The machine on which this incarnation of the worker runs; empty if unknown.
  MachineId machine;
  Resources capacity;
  std::vector<std::string> labels;
  bool leaving = false;
  // While the worker leaves: the minimum time that it will keep running.
  std::optional<Millis> remainingTime;
  // How much longer the worker is slow after its start.
  Millis warmUpRemaining{ 0 };
  // Wall-clock time of the worker's start; tells incarnations with the same id
  // apart.
  std::int64_t startUnixMs = 0;
  // The worker's steady clock when it wrote this.
  std::int64_t clockMs = 0;

  auto operator==(const WorkerEntry&) const -> bool = default;
  auto HasLabel(const std::string& aLabel) const -> bool;
  // The label that names the worker's rack, the second one; empty if there is
  // none.
  auto Rack() const -> std::string;
};

using WorkerTable = std::map<WorkerId, WorkerEntry>;

} // namespace gooseberry::cells

#endif
