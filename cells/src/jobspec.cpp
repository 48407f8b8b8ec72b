#include "jobspec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace gooseberry::cells {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4000;
constexpr std::size_t kMaxSteps = 256;
// A record of a job has to fit into one row of the store.
constexpr std::uint32_t kMaxTasks = 2000;

auto
FaultOfStep(const StepSpec& aStep, std::size_t aNumber)
  -> std::optional<std::string>
{
  const auto place = "steps[" + std::to_string(aNumber) + "].";
  if (aStep.tasks == 0) {
    return place + "count must be at least 1";
  }
  if (aStep.size.cpuMillis < 0 || aStep.size.memoryMb < 0 ||
      aStep.size.accelerators < 0) {
    return place + "cpu, memMb and gpu must not be negative";
  }
  if (std::any_of(aStep.after.begin(), aStep.after.end(), [&](auto aEarlier) {
        return aEarlier >= aNumber;
      })) {
    return place + "after must name earlier steps only";
  }
  return std::nullopt;
}

auto
ToJson(const StepSpec& aStep) -> nlohmann::json
{
  auto json = nlohmann::json{ { "n", aStep.tasks },
                              { "c", aStep.size.cpuMillis },
                              { "m", aStep.size.memoryMb } };
  const auto put = [&](const char* aKey, const auto& aValue) {
    if (aValue != std::decay_t<decltype(aValue)>{}) {
      json[aKey] = aValue;
    }
  };
  put("g", aStep.size.accelerators);
  put("e", aStep.estimate.count());
  put("a", aStep.after);
  put("k", aStep.checkpoints);
  put("gang", aStep.gang);
  put("rl", aStep.rackLocal);
  put("nl", aStep.neededLabel);
  put("dr", aStep.dataRack);
  put("pw", aStep.maxPerWorker);
  put("sp", aStep.speculative);
  put("l", aStep.lasting);
  put("i", aStep.image);
  put("tt", aStep.tailTarget.count());
  put("f", aStep.fillsIdle);
  if (aStep.maxUnavailable) {
    json["mu"] = *aStep.maxUnavailable;
  }
  return json;
}

auto
StepFromJson(const nlohmann::json& aJson) -> StepSpec
{
  auto step = StepSpec{};
  const auto get = [&](const char* aKey, auto& aValue) {
    if (const auto found = aJson.find(aKey); found != aJson.end()) {
      found->get_to(aValue);
    }
  };
  auto estimate = Millis::rep{ 0 };
  auto target = Millis::rep{ 0 };
  get("n", step.tasks);
  get("c", step.size.cpuMillis);
  get("m", step.size.memoryMb);
  get("g", step.size.accelerators);
  get("e", estimate);
  get("a", step.after);
  get("k", step.checkpoints);
  get("gang", step.gang);
  get("rl", step.rackLocal);
  get("nl", step.neededLabel);
  get("dr", step.dataRack);
  get("pw", step.maxPerWorker);
  get("sp", step.speculative);
  get("l", step.lasting);
  get("i", step.image);
  get("tt", target);
  get("f", step.fillsIdle);
  step.estimate = Millis{ estimate };
  step.tailTarget = Millis{ target };
  if (const auto found = aJson.find("mu"); found != aJson.end()) {
    step.maxUnavailable = found->get<std::uint32_t>();
  }
  return step;
}

} // namespace

auto
JobSpec::Timed() const -> bool
{
  return this->occurrences > 0;
}

auto
JobSpec::Lasting() const -> bool
{
  return std::any_of(this->steps.begin(),
                     this->steps.end(),
                     [](const StepSpec& aStep) { return aStep.lasting; });
}

auto
FaultOf(const JobSpec& aSpec) -> std::optional<std::string>
{
  if (aSpec.payload.size() > kMaxPayloadBytes) {
    return "spec is longer than " + std::to_string(kMaxPayloadBytes) + " bytes";
  }
  if (aSpec.steps.empty() || aSpec.steps.size() > kMaxSteps) {
    return "steps must have 1 to " + std::to_string(kMaxSteps) + " entries";
  }
  auto tasks = std::uint64_t{ 0 };
  for (auto number = std::size_t{ 0 }; number < aSpec.steps.size(); ++number) {
    if (auto fault = FaultOfStep(aSpec.steps[number], number)) {
      return fault;
    }
    tasks += aSpec.steps[number].tasks;
  }
  if (tasks > kMaxTasks) {
    return "steps have more than " + std::to_string(kMaxTasks) +
           " tasks together";
  }
  if (aSpec.Timed() && aSpec.intervalMs < 0) {
    return "intervalMs must not be negative";
  }
  return std::nullopt;
}

auto
EncodeJobRow(const JobRow& aRow) -> std::string
{
  auto steps = nlohmann::json::array();
  for (const auto& step : aRow.spec.steps) {
    steps.push_back(ToJson(step));
  }
  auto json = nlohmann::json{ { "id", aRow.id.Text() },
                              { "q", aRow.queue },
                              { "s", aRow.policy.service },
                              { "p", aRow.policy.priority },
                              { "ma", aRow.policy.maxAttempts },
                              { "sf", aRow.policy.slackFactor },
                              { "t", aRow.policy.target.count() },
                              { "pl", aRow.spec.payload },
                              { "st", std::move(steps) },
                              { "at", aRow.acceptedUnixMs },
                              { "ce", aRow.cell } };
  if (aRow.policy.advised) {
    json["ad"] = true;
  }
  if (aRow.spec.Timed()) {
    json["oc"] = { aRow.spec.occurrences,
                   aRow.spec.firstDueUnixMs,
                   aRow.spec.intervalMs };
  }
  auto bytes = std::string{};
  nlohmann::json::to_msgpack(json, bytes);
  return bytes;
}

auto
DecodeJobRow(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRow>
{
  try {
    const auto json = nlohmann::json::from_msgpack(aBytes);
    const auto id = JobId::Parse(json.at("id").get<std::string>());
    if (!id) {
      aReason = "bad job id";
      return std::nullopt;
    }
    auto row = JobRow{ *id };
    json.at("q").get_to(row.queue);
    json.at("s").get_to(row.policy.service);
    json.at("p").get_to(row.policy.priority);
    json.at("ma").get_to(row.policy.maxAttempts);
    json.at("sf").get_to(row.policy.slackFactor);
    row.policy.target = Millis{ json.at("t").get<Millis::rep>() };
    row.policy.advised = json.value("ad", false);
    json.at("pl").get_to(row.spec.payload);
    json.at("at").get_to(row.acceptedUnixMs);
    json.at("ce").get_to(row.cell);
    for (const auto& step : json.at("st")) {
      row.spec.steps.push_back(StepFromJson(step));
    }
    if (const auto timed = json.find("oc"); timed != json.end()) {
      timed->at(0).get_to(row.spec.occurrences);
      timed->at(1).get_to(row.spec.firstDueUnixMs);
      timed->at(2).get_to(row.spec.intervalMs);
    }
    return row;
  } catch (const nlohmann::json::exception& fault) {
    aReason = fault.what();
    return std::nullopt;
  }
}

} // namespace gooseberry::cells
