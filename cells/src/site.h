#ifndef GOOSEBERRY_SITE_H
#define GOOSEBERRY_SITE_H

// What operators and workers say of the site: queues, services, failure domains
// out of service, and workers.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobspec.h"

namespace gooseberry::cells {

// A queue takes the jobs whose host and path match it.
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
  // Workers refuse what does not fit; if not, they start whatever they are
  // told.
  bool guardsCapacity = true;
  std::size_t maxConnections = 64;
  // Its machines are off until they are moved to another service.
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

// One accepted configuration in full. Versions only grow.
struct SiteConfig
{
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::map<ServiceId, Service> services;
  CallerLimits limits;

  auto operator==(const SiteConfig&) const -> bool = default;

  // The queue with the longest prefix that the path begins with.
  auto FindQueue(const std::string& aHost, const std::string& aPath) const
    -> const Queue*;
  auto FindQueue(const QueueId& aId) const -> const Queue*;
};

// What a worker says of itself.
struct WorkerEntry
{
  WorkerId id;
  ServiceId service;
  std::string address;
  DomainId domain;
  // The machine whose life this is; empty if it does not say.
  MachineId machine;
  Resources capacity;
  std::vector<std::string> labels;
  bool leaving = false;
  // While it leaves: the least time that it still runs.
  std::optional<Millis> remaining;
  // How much longer it is slow after its start.
  Millis coldFor{ 0 };
  // Its start, as a time of day; tells lives under the same id apart.
  std::int64_t bornUnixMs = 0;
  // Its own steady clock when it wrote this.
  std::int64_t clockMs = 0;

  auto operator==(const WorkerEntry&) const -> bool = default;
  auto HasLabel(const std::string& aLabel) const -> bool;
  // The label that names its rack.
  auto Rack() const -> std::string;
};

using WorkerTable = std::map<WorkerId, WorkerEntry>;

} // namespace gooseberry::cells

#endif
