#include "fleetsettings.h"

namespace gooseberry::fleet {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 1 << 20;
constexpr Millis kDay{ 86'400'000 };

auto
ParseStoreSettings(YamlMap& aMap) -> StoreSettings
{
  auto store = StoreSettings{};
  store.address = aMap.String("address", "");
  store.writesPerSecond =
    aMap.Integer("writes_per_second", store.writesPerSecond, 1, kMaxCount);
  store.readsPerSecond =
    aMap.Integer("reads_per_second", store.readsPerSecond, 1, kMaxCount);
  if (store.address.empty()) {
    aMap.ReportError("address", "is required");
  }
  aMap.ReportUnknownKeys();
  return store;
}

auto
ParseBoundSettings(YamlMap& aMap) -> BoundSettings
{
  constexpr Millis kMinDuration{ 1 };
  auto bounds = BoundSettings{};
  bounds.leaseMax =
    aMap.Duration("lease_max", bounds.leaseMax, kMinDuration, kDay);
  bounds.stop = aMap.Duration("stop", bounds.stop, kMinDuration, kDay);
  bounds.keepEnded =
    aMap.Duration("keep_ended", bounds.keepEnded, kMinDuration, kDay);
  bounds.grace = aMap.Duration("grace", bounds.grace, kMinDuration, kDay);
  bounds.remoteFactor =
    aMap.Number("remote_factor", bounds.remoteFactor, 1.0, 1000.0);
  bounds.quotaOverage =
    aMap.Number("quota_overage", bounds.quotaOverage, 0.0, 10.0);
  bounds.configApply =
    aMap.Duration("config_apply", bounds.configApply, kMinDuration, kDay);
  bounds.revoke = aMap.Duration("revoke", bounds.revoke, kMinDuration, kDay);
  bounds.strictRevoke = aMap.Boolean("strict_revoke", bounds.strictRevoke);
  aMap.ReportUnknownKeys();
  return bounds;
}

} // namespace

auto
ParseFleetSettings(const std::string& aSource,
                   const std::string& aText,
                   std::vector<YamlError>& aErrors)
  -> std::optional<FleetSettings>
{
  const auto node = ParseYaml(aSource, aText, {}, aErrors);
  if (!node) {
    return std::nullopt;
  }
  auto map = YamlMap{ aSource, *node, aErrors };
  auto settings = FleetSettings{};
  settings.instance = map.String("instance", settings.instance);
  settings.domain = { map.String("domain", settings.domain.text) };
  settings.address = map.String("address", settings.address);
  settings.firstPeerPort = map.Integer("first_peer_port", 0, 0, kMaxPort);
  settings.lastPeerPort = map.Integer("last_peer_port", 0, 0, kMaxPort);
  settings.callers = map.String("callers", settings.callers);
  settings.ready = map.String("ready", settings.ready);
  settings.metrics = map.String("metrics", settings.metrics);
  settings.processorShare =
    map.Number("processor_share", settings.processorShare, 0.001, 1024.0);
  settings.memoryMb =
    map.Integer("memory_mb", settings.memoryMb, 1, kMaxMemoryMb);
  settings.maxDescriptors =
    map.Integer("max_descriptors", settings.maxDescriptors, 64, kMaxCount);
  settings.cloud = map.String("cloud", "");
  settings.advice = map.String("advice", "");
  settings.cellWorkers = static_cast<std::size_t>(
    map.Integer("cell_workers",
                static_cast<std::int64_t>(settings.cellWorkers),
                1,
                kMaxCount));
  settings.logLinesPerSecond = map.Integer(
    "log_lines_per_second", settings.logLinesPerSecond, 1, kMaxCount);
  settings.logShareOfJobs =
    map.Number("log_share_of_jobs", settings.logShareOfJobs, 0.0, 1.0);
  if (auto store = map.Map("store")) {
    settings.store = ParseStoreSettings(*store);
  } else {
    map.ReportError("store", "is required");
  }
  if (auto bounds = map.Map("bounds")) {
    settings.bounds = ParseBoundSettings(*bounds);
  }
  if (auto overload = map.Map("overload")) {
    settings.overload.admission =
      overload->Boolean("admission", settings.overload.admission);
    overload->ReportUnknownKeys();
  }
  if (auto colocation = map.Map("colocation")) {
    settings.colocation.headroom =
      colocation->Boolean("headroom", settings.colocation.headroom);
    colocation->ReportUnknownKeys();
  }
  if (auto runTimes = map.Map("run_times")) {
    settings.runTimes.learned =
      runTimes->Boolean("learned", settings.runTimes.learned);
    settings.runTimes.secondRuns =
      runTimes->Boolean("second_runs", settings.runTimes.secondRuns);
    runTimes->ReportUnknownKeys();
  }
  map.ReportUnknownKeys();
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  return settings;
}

auto
LooksLikeFleetSettings(const std::string& aText) -> bool
{
  return aText.starts_with("store:") ||
         aText.find("\nstore:") != std::string::npos;
}

} // namespace gooseberry::fleet
