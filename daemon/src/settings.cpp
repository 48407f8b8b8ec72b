#include "settings.h"

#include <array>
#include <cstdlib>

#include "httpplatform.h"

namespace gooseberry {

namespace {

constexpr Millis kMaxTimeout{ 600000 };

auto
CheckAddress(YamlMap& aMap, const char* aKey, const std::string& aAddress)
  -> void
{
  if (!ParseHostPort(aAddress)) {
    aMap.ReportError(aKey, "must be host:port");
  }
}

// Which settings of a port are required or permitted.
struct PortRules
{
  bool addressRequired = true;
  bool mayUseTls = false;
};

auto
ReadPort(YamlMap& aRoot,
         const char* aKey,
         const PortRules& aRules,
         PortSettings& aPort) -> void
{
  auto map = aRoot.Map(aKey);
  if (!map) {
    return;
  }
  aPort.address = map->String("address", aPort.address);
  if (!aPort.address.empty()) {
    CheckAddress(*map, "address", aPort.address);
  }
  aPort.certificateFile = map->String("certificate", "");
  aPort.keyFile = map->String("key", "");
  if (aPort.certificateFile.empty() != aPort.keyFile.empty()) {
    map->ReportError("certificate", "certificate and key must be set together");
  }
  map->ReportUnknownKeys();
  if (aRules.addressRequired && aPort.address.empty()) {
    aRoot.ReportError(aKey, "must have an address");
  }
  if (!aRules.mayUseTls && !aPort.certificateFile.empty()) {
    aRoot.ReportError(aKey, "TLS is supported on the administration port only");
  }
}

// Reads the name of a policy. aCount is the enumerator after the last policy.
// Returns aDefault and reports an error if the name is unknown.
template<class Policy>
auto
ReadPolicy(YamlMap& aRoot, const char* aKey, Policy aDefault, Policy aCount)
  -> Policy
{
  const auto name = aRoot.String(aKey, ToText(aDefault));
  auto validNames = std::string{};
  for (auto index = 0; index < static_cast<int>(aCount); ++index) {
    const auto policy = static_cast<Policy>(index);
    if (name == ToText(policy)) {
      return policy;
    }
    validNames += (index > 0 ? ", " : "") + std::string{ ToText(policy) };
  }
  aRoot.ReportError(aKey, "must be one of " + validNames);
  return aDefault;
}

} // namespace

auto
ParseSettings(const std::string& aSource,
              const std::string& aText,
              std::vector<YamlError>& aErrors) -> std::optional<Settings>
{
  auto settings = Settings{};
  const auto node = ParseYaml(aSource, aText, {}, aErrors);
  if (!node) {
    return std::nullopt;
  }
  auto root = YamlMap{ aSource, *node, aErrors };
  if (root.Has("instance")) {
    settings.instance = root.Name("instance");
  }
  if (root.Has("domain")) {
    settings.domain.text = root.Name("domain");
  }
  ReadPort(root, "callers", { true, false }, settings.callers);
  ReadPort(root, "admin", { true, true }, settings.admin);
  ReadPort(root, "peers", { false, false }, settings.peers);
  settings.tokensFile = root.String("tokens_file", "");
  settings.maxConnections =
    root.Integer("max_connections", settings.maxConnections, 1, 20000);
  settings.memoryMb = root.Integer("memory_mb", settings.memoryMb, 1, 1048576);
  settings.maxBodyBytes = root.Integer(
    "max_body_bytes", settings.maxBodyBytes, 1024, std::int64_t{ 1 } << 40U);
  settings.callerIdleTimeout = root.Duration(
    "caller_idle", settings.callerIdleTimeout, Millis{ 1000 }, kMaxTimeout);
  settings.callerTimeout = root.Duration(
    "caller_timeout", settings.callerTimeout, Millis{ 100 }, kMaxTimeout);
  settings.platformAddress = root.String("platform", "");
  if (!settings.platformAddress.empty()) {
    CheckAddress(root, "platform", settings.platformAddress);
  }
  settings.platformTimeout = root.Duration(
    "platform_timeout", settings.platformTimeout, Millis{ 50 }, kMaxTimeout);
  settings.workerTimeout = root.Duration(
    "worker_timeout", settings.workerTimeout, Millis{ 50 }, kMaxTimeout);
  settings.shardCount = root.Integer("shards", settings.shardCount, 1, 4096);
  settings.routing = ReadPolicy(
    root, "routing", settings.routing, RoutingPolicy::RoutingPolicy_NB);
  settings.placement = ReadPolicy(
    root, "placement", settings.placement, PlacementPolicy::PlacementPolicy_NB);
  settings.crossDomainLatency = root.Duration(
    "hop", settings.crossDomainLatency, Millis{ 0 }, Millis{ 1000 });
  settings.loadBalancerLag = root.Duration(
    "balancer_lag", settings.loadBalancerLag, Millis{ 0 }, kMaxTimeout);
  settings.logLevel = root.String("log_level", settings.logLevel);
  if (settings.logLevel != "info" && settings.logLevel != "debug" &&
      settings.logLevel != "warn") {
    root.ReportError("log_level", "must be debug, info or warn");
  }
  root.ReportUnknownKeys();
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  return settings;
}

auto
ApplyEnvironment(Settings& aSettings, std::vector<YamlError>& aErrors) -> void
{
  struct Override
  {
    const char* name;
    std::string* value;
    bool address;
  };
  const std::array<Override, 6> overrides{ {
    { "GOOSEBERRY_INSTANCE", &aSettings.instance, false },
    { "GOOSEBERRY_DOMAIN", &aSettings.domain.text, false },
    { "GOOSEBERRY_CALLERS", &aSettings.callers.address, true },
    { "GOOSEBERRY_ADMIN", &aSettings.admin.address, true },
    { "GOOSEBERRY_PEERS", &aSettings.peers.address, true },
    { "GOOSEBERRY_PLATFORM", &aSettings.platformAddress, true },
  } };
  for (const auto& variable : overrides) {
    const auto* text = std::getenv(variable.name);
    if (text == nullptr) {
      continue;
    }
    if (variable.address && !ParseHostPort(text)) {
      aErrors.push_back(
        { "environment", 0, variable.name, text, "must be host:port" });
      continue;
    }
    *variable.value = text;
  }
}

auto
DefaultSettingsText() -> std::string
{
  return R"(# Settings of one gooseberryd instance. All keys are optional.

# Name of this instance, and the failure domain that it runs in.
instance: entry
domain: default

# Ports: requests of callers; administration and metrics. On the administration
# port, certificate and key (paths of PEM files) enable TLS.
callers:
  address: 127.0.0.1:8080
admin:
  address: 127.0.0.1:8081

# Port for change hints from other instances (HTTP/2, IPv4). Hints only speed up
# the detection of changes; without an address, changes are found by polling.
peers:
  address: ""

# YAML file of bearer tokens, one per section of the document. Empty: the
# administration port serves loopback addresses only, without tokens.
tokens_file: ""

# Limits on connections and requests of callers.
max_connections: 1024
memory_mb: 1024
max_body_bytes: 1073741824
caller_idle: 5s
caller_timeout: 30s

# host:port of the platform's services. Empty: all state is kept in this process
# and is lost when it ends; for evaluation only.
platform: ""
platform_timeout: 2s
worker_timeout: 1500ms

# Number of shards into which workers and waiting tasks are divided. The first
# instance that ever starts fixes the number for all instances.
shards: 8

# Routing policy, which chooses the backend server of a request:
# least_cost, two_choices, round_robin, random.
routing: least_cost
# Placement policy, which chooses the worker of a task:
# best_fit, first_fit, random.
placement: best_fit
# One-way latency between failure domains.
hop: 1ms

# How long the load balancer may still send requests after /readyz fails.
balancer_lag: 2s

# Lowest level that is logged: debug, info or warn.
log_level: info
)";
}

} // namespace gooseberry
