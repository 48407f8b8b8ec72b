#ifndef GOOSEBERRY_FLEETSETTINGS_H
#define GOOSEBERRY_FLEETSETTINGS_H

// Settings of an instance that schedules jobs on a fleet of workers.

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
  // Calls per second that all instances together may make.
  std::int64_t writesPerSecond = 300;
  std::int64_t readsPerSecond = 1500;

  auto operator==(const StoreSettings&) const -> bool = default;
};

// Guarantees of the platform, and guarantees to callers, that decisions depend
// on.
struct BoundSettings
{
  // Longest lease that workers accept.
  Millis leaseMax{ 6000 };
  // Time within which a stop order has ended its run.
  Millis stop{ 400 };
  // How long the state of a job can be queried after its end.
  Millis keepEnded{ 120000 };
  // Time from SIGTERM to SIGKILL.
  Millis grace{ 6000 };
  // Factor by which work takes longer away from its data or split over racks.
  double remoteFactor = 3.0;
  // Fraction by which an account may exceed its limit.
  double quotaOverage = 0.0;
  // Time within which a configuration is in force, and within which a removed
  // key is refused everywhere.
  Millis configApply{ 2000 };
  Millis revoke{ 5000 };
  // An instance that can't confirm within that time that a key is still valid
  // refuses it.
  bool strictRevoke = false;

  auto operator==(const BoundSettings&) const -> bool = default;
};

// What is done while capacity is insufficient.
struct OverloadSettings
{
  // New jobs that can't be served in time are refused.
  bool admission = false;

  auto operator==(const OverloadSettings&) const -> bool = default;
};

// How best-effort tasks run beside latency-critical ones.
struct ColocationSettings
{
  // They are placed and paced by the headroom of the tasks beside them.
  bool headroom = false;

  auto operator==(const ColocationSettings&) const -> bool = default;
};

// What is done about run times that differ from the callers' estimates.
struct RunTimeSettings
{
  // Run times are learned by queue, and replace the callers' estimates.
  bool learned = false;
  // Late tasks of steps that may run twice get a second run.
  bool secondRuns = false;

  auto operator==(const RunTimeSettings&) const -> bool = default;
};

struct FleetSettings
{
  std::string instance = "entry";
  DomainId domain{ "default" };
  // Address of this instance for other instances.
  std::string address = "127.0.0.1";
  std::int64_t firstPeerPort = 0;
  std::int64_t lastPeerPort = 0;
  // host:port on which callers are served, readiness checks are answered and
  // metrics are read; the latter two are not served if theirs is empty.
  std::string callers = "127.0.0.1:8080";
  std::string ready;
  std::string metrics;
  // Processors that this instance may use; 1.0 is one whole processor.
  double processorShare = 1.0;
  std::int64_t memoryMb = 256;
  std::int64_t maxDescriptors = 1024;
  StoreSettings store;
  // host:port of further services of the platform; empty if there is none.
  std::string cloud;
  std::string advice;
  BoundSettings bounds;
  OverloadSettings overload;
  ColocationSettings colocation;
  RunTimeSettings runTimes;
  // Workers per cell. Larger cells use capacity better; smaller ones lose less
  // when their owner fails.
  std::size_t cellWorkers = cells::kWorkersPerCell;
  // Most log lines per second; part of them is reserved for refusals, losses
  // and other infrequent events.
  std::int64_t logLinesPerSecond = 500;
  // Share of the jobs of which every decision is logged, from 0 to 1; the same
  // jobs on all instances.
  double logShareOfJobs = 1.0;

  auto operator==(const FleetSettings&) const -> bool = default;
};

// Parses aText; aSource names it in errors. On any error returns nothing, and
// aErrors says what is wrong and where.
auto
ParseFleetSettings(const std::string& aSource,
                   const std::string& aText,
                   std::vector<YamlError>& aErrors)
  -> std::optional<FleetSettings>;

// Whether the text appears to hold these settings: it has a top-level key
// "store". The text is not parsed.
auto
LooksLikeFleetSettings(const std::string& aText) -> bool;

} // namespace gooseberry::fleet

#endif
