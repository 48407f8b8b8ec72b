#include "task.h"

#include <algorithm>

#include "enumtext.h"

namespace gooseberry {

namespace {

constexpr std::array<const char*, static_cast<int>(TaskPhase::TaskPhase_NB)>
  kPhaseNames{ "waiting",   "starting", "running", "evicting", "finished",
               "cancelled", "parked",   "moved",   "lost" };

constexpr std::array<const char*, static_cast<int>(TaskKind::TaskKind_NB)>
  kKindNames{ "batch", "watcher", "service" };

} // namespace

auto
ToText(TaskKind aKind) -> const char*
{
  return kKindNames[static_cast<std::size_t>(aKind)];
}

auto
ToText(TaskPhase aPhase) -> const char*
{
  return kPhaseNames[static_cast<std::size_t>(aPhase)];
}

auto
OccupiesWorker(TaskPhase aPhase) -> bool
{
  return aPhase == TaskPhase::Starting || aPhase == TaskPhase::Running ||
         aPhase == TaskPhase::Evicting;
}

auto
IsFinal(TaskPhase aPhase) -> bool
{
  return aPhase == TaskPhase::Finished || aPhase == TaskPhase::Cancelled;
}

auto
Task::AllowsDomain(const DomainId& aDomain) const -> bool
{
  return this->domains.empty() ||
         std::find(this->domains.begin(), this->domains.end(), aDomain) !=
           this->domains.end();
}

auto
to_json(nlohmann::json& aJson, const Task& aTask) -> void
{
  aJson = { { "id", aTask.id },
            { "class", aTask.classId },
            { "team", aTask.team },
            { "kind", ToText(aTask.kind) },
            { "size", aTask.size },
            { "run_ms", aTask.runTime.count() },
            { "priority", aTask.priority },
            { "urgent", aTask.urgent },
            { "checkpoints", aTask.supportsCheckpoints },
            { "at_most_once", aTask.atMostOnce },
            { "domains", aTask.domains },
            { "phase", ToText(aTask.phase) },
            { "worker", aTask.worker },
            { "incarnation", aTask.incarnation },
            { "attempt", aTask.attempt },
            { "checkpoint", aTask.checkpoint },
            { "failures", aTask.failures },
            { "evictions", aTask.evictions },
            { "cancel_asked", aTask.cancelRequested },
            { "unconfirmed", aTask.unconfirmed },
            { "order", aTask.submissionOrder },
            { "moved_to", aTask.movedTo },
            { "moves", aTask.moves },
            { "reason", aTask.reason } };
}

auto
from_json(const nlohmann::json& aJson, Task& aTask) -> void
{
  aJson.at("id").get_to(aTask.id);
  aJson.at("class").get_to(aTask.classId);
  aJson.at("team").get_to(aTask.team);
  aTask.kind =
    EnumFromText<TaskKind>(kKindNames, aJson.at("kind").get<std::string>());
  aJson.at("size").get_to(aTask.size);
  aTask.runTime = Millis{ aJson.at("run_ms").get<std::int64_t>() };
  aJson.at("priority").get_to(aTask.priority);
  aTask.urgent = aJson.value("urgent", false);
  aJson.at("checkpoints").get_to(aTask.supportsCheckpoints);
  aTask.atMostOnce = aJson.value("at_most_once", false);
  aJson.at("domains").get_to(aTask.domains);
  aTask.phase =
    EnumFromText<TaskPhase>(kPhaseNames, aJson.at("phase").get<std::string>());
  aJson.at("worker").get_to(aTask.worker);
  aTask.incarnation = aJson.value("incarnation", std::string{});
  aJson.at("attempt").get_to(aTask.attempt);
  aJson.at("checkpoint").get_to(aTask.checkpoint);
  aTask.failures = aJson.value("failures", 0);
  aTask.evictions = aJson.value("evictions", 0);
  aTask.cancelRequested = aJson.value("cancel_asked", false);
  aTask.unconfirmed = aJson.value("unconfirmed", false);
  aTask.submissionOrder = aJson.value("order", std::uint64_t{ 0 });
  aTask.movedTo = aJson.value("moved_to", ShardNumber{ 0 });
  aTask.moves = aJson.value("moves", 0);
  aTask.reason = aJson.value("reason", std::string{});
}

auto
NewTask(const TaskId& aId, const TaskClassSpec& aClass) -> Task
{
  auto task = Task{};
  task.id = aId;
  task.classId = aClass.id;
  task.team = aClass.team;
  task.kind = aClass.kind;
  task.size = aClass.size;
  task.runTime = aClass.runTime;
  task.priority = aClass.priority;
  task.urgent = aClass.urgent;
  task.supportsCheckpoints = aClass.supportsCheckpoints;
  task.atMostOnce = aClass.atMostOnce;
  task.domains = aClass.domains;
  return task;
}

auto
ShardsOf(const std::vector<Task>& aTasks, ShardNumber aShardCount)
  -> std::set<ShardNumber>
{
  auto shards = std::set<ShardNumber>{};
  for (const auto& task : aTasks) {
    shards.insert(ShardOf(task.id.text, aShardCount));
  }
  return shards;
}

} // namespace gooseberry
