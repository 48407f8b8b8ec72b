#ifndef GOOSEBERRY_SETTINGS_H
#define GOOSEBERRY_SETTINGS_H

// Settings of one instance, read from a YAML file and the environment.

#include <optional>
#include <string>
#include <vector>

#include "placement.h"
#include "routing.h"
#include "types.h"
#include "yamlreader.h"

namespace gooseberry {

struct PortSettings
{
  std::string address;
  // Paths of PEM files; empty means no TLS.
  std::string certificateFile;
  std::string keyFile;

  auto operator==(const PortSettings&) const -> bool = default;
};

struct Settings
{
  std::string instance = "entry";
  DomainId domain{ "default" };

  PortSettings callers{ "127.0.0.1:8080", "", "" };
  PortSettings admin{ "127.0.0.1:8081", "", "" };
  // Port for change hints from other instances. Empty address: no hints are
  // exchanged.
  PortSettings peers{ "", "", "" };
  // YAML file with one bearer token per section of the document. Empty: the
  // administration port serves loopback addresses only, without tokens.
  std::string tokensFile;

  std::int64_t maxConnections = 1024;
  // Memory of the machine or the limit of the process. An eighth of it may be
  // taken by the bodies of requests and responses.
  std::int64_t memoryMb = 1024;
  std::int64_t maxBodyBytes = std::int64_t{ 1 } << 30U;
  Millis callerIdleTimeout{ 5000 };
  Millis callerTimeout{ 30000 };

  // host:port of the platform's services. Empty: all state is kept in this
  // process only.
  std::string platformAddress;
  Millis platformTimeout{ 2000 };
  Millis workerTimeout{ 1500 };
  std::int64_t shardCount = 8;

  RoutingPolicy routing = RoutingPolicy::LeastCost;
  PlacementPolicy placement = PlacementPolicy::BestFit;
  // One-way latency between failure domains.
  Millis crossDomainLatency{ 1 };
  // How long the load balancer may still send requests after /readyz fails.
  Millis loadBalancerLag{ 2000 };
  std::string logLevel = "info";

  auto operator==(const Settings&) const -> bool = default;
};

// Parses YAML text. On any error returns nothing and appends the errors with
// their positions to aErrors; aSource names the text in them.
auto
ParseSettings(const std::string& aSource,
              const std::string& aText,
              std::vector<YamlError>& aErrors) -> std::optional<Settings>;

// Overrides the instance name, the failure domain and the addresses with the
// environment variables GOOSEBERRY_INSTANCE, GOOSEBERRY_DOMAIN,
// GOOSEBERRY_CALLERS, GOOSEBERRY_ADMIN, GOOSEBERRY_PEERS and
// GOOSEBERRY_PLATFORM that are set. Invalid addresses are reported in aErrors
// and not applied.
auto
ApplyEnvironment(Settings& aSettings, std::vector<YamlError>& aErrors) -> void;

// The default settings as a commented YAML settings file.
auto
DefaultSettingsText() -> std::string;

} // namespace gooseberry

#endif
