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
  std::string certificate;
  std::string key;

  auto operator==(const PortSettings&) const -> bool = default;
};

struct Settings
{
  std::string instance = "entry";
  DomainId domain{ "default" };

  PortSettings callers{ "127.0.0.1:8080", "", "" };
  PortSettings admin{ "127.0.0.1:8081", "", "" };
  // Hints of other instances; an empty address: none are exchanged.
  PortSettings peers{ "", "", "" };
  // YAML file with one bearer token per section; empty: loopback only.
  std::string tokensFile;

  std::int64_t maxConnections = 1024;
  std::int64_t maxBodyBytes = std::int64_t{ 1 } << 30U;
  Millis callerIdle{ 5000 };
  Millis callerTimeout{ 30000 };

  // Empty: everything is kept in this process only.
  std::string platform;
  Millis platformTimeout{ 2000 };
  Millis workerTimeout{ 1500 };
  std::int64_t shards = 8;

  RoutingPolicy routing = RoutingPolicy::LeastCost;
  PlacementPolicy placement = PlacementPolicy::BestFit;
  Millis hop{ 1 };
  Millis balancerLag{ 2000 };
  std::string logLevel = "info";

  auto operator==(const Settings&) const -> bool = default;
};

// Reads the text; on any fault the errors say where, and nothing is returned.
auto
ParseSettings(const std::string& aSource,
              const std::string& aText,
              std::vector<YamlError>& aErrors) -> std::optional<Settings>;

// Replaces addresses, name and failure domain by GOOSEBERRY_INSTANCE,
// GOOSEBERRY_DOMAIN, GOOSEBERRY_CALLERS, GOOSEBERRY_ADMIN, GOOSEBERRY_PEERS
// and GOOSEBERRY_PLATFORM where they are set.
auto
ApplyEnvironment(Settings& aSettings, std::vector<YamlError>& aErrors) -> void;

// The defaults as a commented settings file.
auto
DefaultSettingsText() -> std::string;

} // namespace gooseberry

#endif
