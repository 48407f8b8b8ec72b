#ifndef GOOSEBERRY_FLEETSETTINGS_H
#define GOOSEBERRY_FLEETSETTINGS_H

// Settings of one instance that schedules jobs on a fleet of workers.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tunables_cells.h"
#include "types.h"
#include "yamlreader.h"

namespace gooseberry::fleet {

struct StoreSettings
{
  // host:port of the platform's store.
  std::string address;
  // Calls a second that all instances may make together.
  std::int64_t writesPerSecond = 300;
  std::int64_t readsPerSecond = 1500;

  auto operator==(const StoreSettings&) const -> bool = default;
};

// Promises of the platform and to callers that decisions depend on.
struct BoundSettings
{
  // Longest lease that workers accept.
  Millis leaseMax{ 6000 };
  // A stop has ended a run within this.
  Millis stop{ 400 };
  // Jobs are known for so long after their end.
  Millis keepEnded{ 120000 };
  // From SIGTERM to SIGKILL.
  Millis grace{ 6000 };
  double remoteFactor = 3.0;

  auto operator==(const BoundSettings&) const -> bool = default;
};

struct FleetSettings
{
  std::string instance = "entry";
  DomainId domain{ "default" };
  // Own address, for other instances.
  std::string address = "127.0.0.1";
  std::int64_t firstPeerPort = 0;
  std::int64_t lastPeerPort = 0;
  // host:port.
  std::string callers = "127.0.0.1:8080";
  std::string ready;
  std::string metrics;
  // Share of a processor that this instance has.
  double processorShare = 1.0;
  std::int64_t memoryMb = 256;
  std::int64_t maxDescriptors = 1024;
  StoreSettings store;
  // host:port of services of the platform; empty if there are none.
  std::string cloud;
  std::string advice;
  BoundSettings bounds;
  // How many workers share an owner; more share room better, fewer lose less
  // with an owner.
  std::size_t cellWorkers = cells::kCellWorkers;
  // Most lines a second; lines of refusals, losses and the like go first.
  std::int64_t logLinesPerSecond = 2000;
  // Share of the jobs whose every decision is told, from 0 to 1; the same jobs
  // on all instances.
  double logShareOfJobs = 1.0;

  auto operator==(const FleetSettings&) const -> bool = default;
};

// Reads the text; on any fault the errors say where, and nothing is returned.
auto
ParseFleetSettings(const std::string& aSource,
                   const std::string& aText,
                   std::vector<YamlError>& aErrors)
  -> std::optional<FleetSettings>;

// Whether the text has settings of this kind, at first sight.
auto
LooksLikeFleetSettings(const std::string& aText) -> bool;

} // namespace gooseberry::fleet

#endif
