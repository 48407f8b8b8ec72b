#ifndef GOOSEBERRY_DOCUMENT_H
#define GOOSEBERRY_DOCUMENT_H

// The configuration document of the fleet. It consists of sections, each of
// which belongs to the team of its name. BuildDocument validates them and
// merges them into one value, which is not changed after that.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "types.h"
#include "yamlreader.h"

namespace gooseberry {

// Section of the site's operators; only it may declare failure domains and the
// outage allowance.
inline constexpr const char* kSiteSection = "site";

struct DomainSpec
{
  DomainId id;
  // Taken out of service by operators.
  bool outOfService = false;

  auto operator==(const DomainSpec&) const -> bool = default;
};

// A class of callers of a service. When requests have to wait, those of a lower
// rank are served first.
struct CallerClass
{
  std::string name;
  int rank = 0;

  auto operator==(const CallerClass&) const -> bool = default;
};

struct ServiceSpec
{
  ServiceId id;
  TeamId team;
  // Failure domains whose backend servers may be used; empty means all.
  std::vector<DomainId> domains;
  // Longest time that a request may take; a caller may ask for less.
  Millis deadline{ 5000 };
  // Requests that one backend server serves at a time.
  int slotsPerBackend = 8;
  // Connections that one backend server accepts.
  int connectionsPerBackend = 60;
  // Requests that may wait at one instance.
  int maxQueue = 256;
  // Whether a request that is not repeatable must bring an idempotency key. The
  // instance claims the key in the store before it sends the request.
  bool requiresClaims = false;
  // Whether an instance may send a request again, after a failed attempt or as
  // a hedge.
  bool retriesEnabled = true;
  // Prefixes of paths whose requests are not repeatable, whatever the method.
  std::vector<std::string> nonRepeatablePrefixes;
  std::vector<CallerClass> callerClasses;
  // Latency objective: the given quantile of the requests is to be answered
  // within this time; 0 if there is none.
  Millis latencyObjective{ 0 };
  double latencyObjectiveQuantile = 0.99;

  auto operator==(const ServiceSpec&) const -> bool = default;
};

enum class TaskKind
{
  Batch,
  Watcher, // placed after services, together with urgent batch tasks
  Service, // placed before all other tasks
  TaskKind_NB
};

// A class of tasks. Tasks of batch classes are submitted through the admin
// interface; for watcher and service classes the owners of the shards create
// and cancel tasks until the declared number of replicas exists.
struct TaskClassSpec
{
  ClassId id;
  TeamId team;
  TaskKind kind = TaskKind::Batch;
  // Resources of one task.
  Resources size;
  // Expected run time; batch only.
  Millis runTime{ 1000 };
  // Higher priorities are placed first among tasks of the same placement rank
  // whose teams are all within or all above their share of the quota.
  int priority = 0;
  // The owner of the shard places urgent tasks before other batch tasks and may
  // preempt those for them.
  bool urgent = false;
  // Whether a task can save its progress and resume from it.
  bool supportsCheckpoints = false;
  // A task whose attempt was lost, and may have finished, is not started again
  // unless an operator retries it.
  bool atMostOnce = false;
  // Number of tasks to keep; watchers and services only.
  int replicas = 0;
  // Failure domains in which tasks may run; empty means all.
  std::vector<DomainId> domains;

  auto operator==(const TaskClassSpec&) const -> bool = default;
  auto AllowsDomain(const DomainId& aDomain) const -> bool;
};

struct TeamSpec
{
  TeamId id;
  // Each shard applies an even share of the quota. Within a placement rank,
  // tasks of teams above their share are placed after those of teams within it.
  std::optional<Resources> quota;

  auto operator==(const TeamSpec&) const -> bool = default;
};

struct Document
{
  // Grows by one with every accepted edit; 0 is the empty document.
  std::uint64_t number = 0;
  // How long the owner of a shard may go on renewing its workers' leases after
  // its own lease has ended, as when the store is down.
  Millis storeOutageAllowance{ 30000 };
  std::vector<DomainSpec> domains;
  std::vector<TeamSpec> teams;
  std::vector<ServiceSpec> services;
  std::vector<TaskClassSpec> taskClasses;

  auto operator==(const Document&) const -> bool = default;
  auto FindDomain(const DomainId& aId) const -> const DomainSpec*;
  auto FindClass(const ClassId& aId) const -> const TaskClassSpec*;
  auto FindTeam(const TeamId& aId) const -> const TeamSpec*;
  // Whether the failure domain is declared and in service, so that tasks may
  // start there.
  auto IsInService(const DomainId& aId) const -> bool;
};

// YAML text of one section, and the version of its row in the store.
struct Section
{
  std::string name;
  std::uint64_t version = 0;
  std::string text;

  auto operator==(const Section&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Section, name, version, text)

using Sections = std::map<std::string, Section>;

// Validates all sections together and merges them. On any error returns nullopt
// and appends all errors to aErrors.
auto
BuildDocument(std::uint64_t aNumber,
              const Sections& aSections,
              std::vector<YamlError>& aErrors) -> std::optional<Document>;

// The site section's text with the state of one failure domain replaced;
// nullopt with the reason in aReason if the section does not declare the
// domain.
auto
WithDomainState(const std::string& aSiteText,
                const DomainId& aDomain,
                bool aOutOfService,
                std::string& aReason) -> std::optional<std::string>;

} // namespace gooseberry

#endif
