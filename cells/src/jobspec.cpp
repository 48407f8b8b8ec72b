#include "jobspec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "jsontext.h"
#include "msgpacktext.h"
#include "tableport.h"

namespace gooseberry::cells {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4000;
constexpr std::size_t kMaxSteps = 256;
// Sums and products of these with numbers of tasks can't overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
constexpr Millis kMaxDuration{ 31'536'000'000 };            // a year
constexpr std::int64_t kLatestUnixMs = 100'000'000'000'000; // the year 5138
// All occurrences may be due at once, and each then has its tasks in memory.
constexpr std::uint64_t kMaxTasksOfAllOccurrences = 100'000;

auto
IsNoDuration(Millis aDuration) -> bool
{
  return aDuration < Millis{ 0 } || aDuration > kMaxDuration;
}

auto
FindStepError(const StepSpec& aStep, std::size_t aIndex)
  -> std::optional<std::string>
{
  const auto prefix = "steps[" + std::to_string(aIndex) + "].";
  if (aStep.taskCount == 0) {
    return prefix + "count must be at least 1";
  }
  if (aStep.taskResources.cpuMillis < 0 || aStep.taskResources.memoryMb < 0 ||
      aStep.taskResources.accelerators < 0) {
    return prefix + "cpu, memMb and gpu must not be negative";
  }
  if (aStep.taskResources.cpuMillis > kMaxAmount ||
      aStep.taskResources.memoryMb > kMaxAmount ||
      aStep.taskResources.accelerators > kMaxAmount) {
    return prefix + "cpu, memMb and gpu must be at most " +
           std::to_string(kMaxAmount);
  }
  if (IsNoDuration(aStep.estimate) || IsNoDuration(aStep.tailLatencyTarget)) {
    return prefix + "estimateMs and targetMs must be from 0 to " +
           std::to_string(kMaxDuration.count());
  }
  if (std::any_of(aStep.dependencies.begin(),
                  aStep.dependencies.end(),
                  [&](auto aDependency) { return aDependency >= aIndex; })) {
    return prefix + "after must name earlier steps only";
  }
  return std::nullopt;
}

auto
ToJson(const StepSpec& aStep) -> nlohmann::json
{
  auto json = nlohmann::json{ { "n", aStep.taskCount },
                              { "c", aStep.taskResources.cpuMillis },
                              { "m", aStep.taskResources.memoryMb } };
  const auto putIfSet = [&](const char* aKey, const auto& aValue) {
    if (aValue != std::decay_t<decltype(aValue)>{}) {
      json[aKey] = aValue;
    }
  };
  putIfSet("g", aStep.taskResources.accelerators);
  putIfSet("e", aStep.estimate.count());
  putIfSet("a", aStep.dependencies);
  putIfSet("k", aStep.savesCheckpoints);
  putIfSet("gang", aStep.gang);
  putIfSet("rl", aStep.rackLocal);
  putIfSet("nl", aStep.requiredLabel);
  putIfSet("dr", aStep.dataRack);
  putIfSet("pw", aStep.maxPerWorker);
  putIfSet("sp", aStep.speculative);
  putIfSet("l", aStep.longRunning);
  putIfSet("i", aStep.image);
  putIfSet("tt", aStep.tailLatencyTarget.count());
  putIfSet("f", aStep.bestEffort);
  if (aStep.maxUnavailable) {
    json["mu"] = *aStep.maxUnavailable;
  }
  return json;
}

auto
StepFromJson(const nlohmann::json& aJson) -> StepSpec
{
  auto step = StepSpec{};
  const auto getIfPresent = [&](const char* aKey, auto& aValue) {
    if (const auto found = aJson.find(aKey); found != aJson.end()) {
      found->get_to(aValue);
    }
  };
  auto estimate = Millis::rep{ 0 };
  auto target = Millis::rep{ 0 };
  getIfPresent("n", step.taskCount);
  getIfPresent("c", step.taskResources.cpuMillis);
  getIfPresent("m", step.taskResources.memoryMb);
  getIfPresent("g", step.taskResources.accelerators);
  getIfPresent("e", estimate);
  getIfPresent("a", step.dependencies);
  getIfPresent("k", step.savesCheckpoints);
  getIfPresent("gang", step.gang);
  getIfPresent("rl", step.rackLocal);
  getIfPresent("nl", step.requiredLabel);
  getIfPresent("dr", step.dataRack);
  getIfPresent("pw", step.maxPerWorker);
  getIfPresent("sp", step.speculative);
  getIfPresent("l", step.longRunning);
  getIfPresent("i", step.image);
  getIfPresent("tt", target);
  getIfPresent("f", step.bestEffort);
  step.estimate = Millis{ estimate };
  step.tailLatencyTarget = Millis{ target };
  if (const auto found = aJson.find("mu"); found != aJson.end()) {
    step.maxUnavailable = found->get<std::uint32_t>();
  }
  return step;
}

} // namespace

auto
AdviceTimes::TimeFor(std::size_t aWorkers) const -> Millis
{
  return this->decide + this->each * static_cast<Millis::rep>(aWorkers);
}

auto
JobSpec::IsTimed() const -> bool
{
  return this->occurrences > 0;
}

auto
JobSpec::IsLongRunning() const -> bool
{
  return std::any_of(this->steps.begin(),
                     this->steps.end(),
                     [](const StepSpec& aStep) { return aStep.longRunning; });
}

auto
FindSpecError(const JobSpec& aSpec) -> std::optional<std::string>
{
  if (aSpec.payload.size() > kMaxPayloadBytes) {
    return "spec is longer than " + std::to_string(kMaxPayloadBytes) + " bytes";
  }
  if (aSpec.steps.empty() || aSpec.steps.size() > kMaxSteps) {
    return "steps must have 1 to " + std::to_string(kMaxSteps) + " entries";
  }
  auto tasks = std::uint64_t{ 0 };
  for (auto index = std::size_t{ 0 }; index < aSpec.steps.size(); ++index) {
    if (auto error = FindStepError(aSpec.steps[index], index)) {
      return error;
    }
    tasks += aSpec.steps[index].taskCount;
  }
  if (tasks > kMaxTasksPerJob) {
    return "steps have more than " + std::to_string(kMaxTasksPerJob) +
           " tasks together";
  }
  if (!aSpec.IsTimed()) {
    return std::nullopt;
  }
  if (IsNoDuration(Millis{ aSpec.intervalMs })) {
    return "intervalMs must be from 0 to " +
           std::to_string(kMaxDuration.count());
  }
  if (aSpec.firstDueUnixMs < 0 || aSpec.firstDueUnixMs > kLatestUnixMs) {
    return "startAtMs must be from 0 to " + std::to_string(kLatestUnixMs);
  }
  if (tasks * aSpec.occurrences > kMaxTasksOfAllOccurrences) {
    return "repeatCount times the tasks of all steps must be at most " +
           std::to_string(kMaxTasksOfAllOccurrences);
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
                              { "t", aRow.policy.targetLatency.count() },
                              { "pl", aRow.spec.payload },
                              { "st", std::move(steps) },
                              { "at", aRow.acceptedUnixMs },
                              { "ce", aRow.cell } };
  if (aRow.policy.requiresAdvice) {
    json["ad"] = true;
  }
  if (!aRow.account.Empty()) {
    json["ac"] = aRow.account;
  }
  if (aRow.spec.IsTimed()) {
    json["oc"] = { aRow.spec.occurrences,
                   aRow.spec.firstDueUnixMs,
                   aRow.spec.intervalMs };
  }
  auto bytes = std::string{};
  nlohmann::json::to_msgpack(json, bytes);
  return bytes;
}

auto
FindStorageError(const JobSpec& aSpec, const std::string& aEncodedRow)
  -> std::optional<std::string>
{
  if (aEncodedRow.size() > kMaxRowBytes) {
    return "spec and steps take " + std::to_string(aEncodedRow.size()) +
           " bytes when they are stored, at most " +
           std::to_string(kMaxRowBytes) + " fit";
  }
  auto simultaneous = std::uint64_t{ 0 };
  for (const auto& step : aSpec.steps) {
    simultaneous += step.longRunning || step.gang ? step.taskCount : 0;
  }
  if (simultaneous > kMaxSimultaneousTasks) {
    return "steps with longRunning or gang have more than " +
           std::to_string(kMaxSimultaneousTasks) + " tasks together";
  }
  return std::nullopt;
}

auto
DecodeJobRow(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRow>
{
  try {
    // Refuses values that are nested so deeply that reading them recursively
    // would exhaust the stack.
    UnpackBounded(aBytes);
    const auto json = nlohmann::json::from_msgpack(aBytes);
    RequireNumbersInRange(json);
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
    row.policy.targetLatency = Millis{ json.at("t").get<Millis::rep>() };
    row.policy.requiresAdvice = json.value("ad", false);
    json.at("pl").get_to(row.spec.payload);
    json.at("at").get_to(row.acceptedUnixMs);
    json.at("ce").get_to(row.cell);
    row.account = { json.value("ac", std::string{}) };
    for (const auto& step : json.at("st")) {
      row.spec.steps.push_back(StepFromJson(step));
    }
    if (const auto occurrences = json.find("oc"); occurrences != json.end()) {
      occurrences->at(0).get_to(row.spec.occurrences);
      occurrences->at(1).get_to(row.spec.firstDueUnixMs);
      occurrences->at(2).get_to(row.spec.intervalMs);
    }
    if (const auto error = FindSpecError(row.spec)) {
      aReason = *error;
      return std::nullopt;
    }
    return row;
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace gooseberry::cells
