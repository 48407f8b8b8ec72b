#include "workerprotocol.h"

#include "enumtext.h"

namespace gooseberry {

namespace {

constexpr std::array<const char*,
                     static_cast<int>(AttemptState::AttemptState_NB)>
  kStateNames{ "running", "finished", "failed", "stopped", "refused" };

} // namespace

auto
to_json(nlohmann::json& aJson, const SyncRequest& aRequest) -> void
{
  aJson = { { "shard", aRequest.shard },
            { "epoch", aRequest.epoch },
            { "sequence", aRequest.sequence },
            { "lease_ms", aRequest.leaseMillis },
            { "start_window_ms", aRequest.startWindowMillis },
            { "starts", aRequest.starts },
            { "stops", aRequest.stops },
            { "acknowledged", aRequest.acknowledged },
            { "throttles", aRequest.throttles } };
  if (aRequest.stamp) {
    aJson["stamp"] = *aRequest.stamp;
  }
}

auto
from_json(const nlohmann::json& aJson, SyncRequest& aRequest) -> void
{
  aJson.at("shard").get_to(aRequest.shard);
  aJson.at("epoch").get_to(aRequest.epoch);
  aJson.at("sequence").get_to(aRequest.sequence);
  aJson.at("lease_ms").get_to(aRequest.leaseMillis);
  aJson.at("start_window_ms").get_to(aRequest.startWindowMillis);
  aJson.at("starts").get_to(aRequest.starts);
  aJson.at("stops").get_to(aRequest.stops);
  aJson.at("acknowledged").get_to(aRequest.acknowledged);
  aJson.at("throttles").get_to(aRequest.throttles);
  if (aJson.contains("stamp")) {
    aRequest.stamp = aJson.at("stamp").get<WorkerStamp>();
  }
}

auto
ToText(AttemptState aState) -> const char*
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

auto
to_json(nlohmann::json& aJson, const AttemptReport& aReport) -> void
{
  aJson = {
    { "task", aReport.task },           { "attempt", aReport.attempt },
    { "state", ToText(aReport.state) }, { "checkpoint", aReport.checkpoint },
    { "used", aReport.used },           { "slowdown", aReport.slowdown },
    { "reason", aReport.reason }
  };
}

auto
from_json(const nlohmann::json& aJson, AttemptReport& aReport) -> void
{
  aJson.at("task").get_to(aReport.task);
  aJson.at("attempt").get_to(aReport.attempt);
  aReport.state = EnumFromText<AttemptState>(
    kStateNames, aJson.at("state").get<std::string>());
  aJson.at("checkpoint").get_to(aReport.checkpoint);
  aJson.at("used").get_to(aReport.used);
  aReport.slowdown = aJson.value("slowdown", 1.0);
  aReport.reason = aJson.value("reason", std::string{});
}

} // namespace gooseberry
