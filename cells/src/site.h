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

// A customer on whose behalf callers submit jobs, identified by keys.
struct Account
{
  AccountId id;
  // Every request of the account carries one of these.
  std::set<std::string> keys;
  // Jobs a second that the account is entitled to; its share of the fleet in
  // proportion to the other accounts when there is too little room for all.
  double weight = 1.0;
  // What the account may have running on all workers together; 0: no limit.
  Resources limit;

  auto operator==(const Account&) const -> bool = default;
};

// Accepts the jobs whose host and path match it.
struct Queue
{
  QueueId id;
  std::string host;
  std::string pathPrefix;
  QueuePolicy policy;
  Millis timeout{ 0 };
  // Callers need no key, and jobs belong to no account.
  bool isPublic = false;

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
  // Empty if the deployment has no accounts: then no key is required.
  std::map<AccountId, Account> accounts;

  auto operator==(const SiteConfig&) const -> bool = default;

  // The queue for the host with the longest prefix of the path.
  auto FindQueue(const std::string& aHost, const std::string& aPath) const
    -> const Queue*;
  auto FindQueue(const QueueId& aId) const -> const Queue*;
  // The account that has the key; null if there is none.
  auto FindAccount(const std::string& aKey) const -> const Account*;
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
