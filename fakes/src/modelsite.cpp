#include "modelsite.h"

#include <array>
#include <cstdio>

#include "jobspec.h"

namespace gooseberry::fakes {

auto
ConfigOfModelSite() -> cells::SiteConfig
{
  auto queue = cells::Queue{ { "r-1" }, kModelHost, kModelPrefix };
  queue.policy.service = { kModelService };
  queue.policy.maxAttempts = 3;
  queue.policy.slackFactor = 2.0;
  queue.policy.targetLatency = Millis{ 500 };
  auto config = cells::SiteConfig{};
  config.version = 1;
  config.queues.push_back(queue);
  config.services.emplace(ServiceId{ kModelService },
                          cells::Service{ { kModelService } });
  return config;
}

auto
NumberedJob(std::uint64_t aNumber) -> cells::JobId
{
  auto text = std::array<char, cells::JobId::kDigits + 1>{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aNumber));
  return *cells::JobId::Parse(
    std::string_view{ text.data(), cells::JobId::kDigits });
}

auto
PlanOfRun(const cells::JobSpec& aSpec,
          const WorkPlan& aPlan,
          const TaskName& aTask,
          std::uint32_t aRun) -> WorkPlan
{
  auto plan = aPlan;
  const auto& step = aSpec.steps.at(aTask.step);
  plan.size = step.taskResources;
  plan.lasting = step.longRunning;
  plan.checkpoints = step.savesCheckpoints;
  plan.fillsIdle = step.bestEffort;
  constexpr std::uint64_t kOneIn = 20;
  plan.fails =
    plan.fails ||
    StableHash(ToText(aTask) + "#" + std::to_string(aRun)) % kOneIn == 0;
  return plan;
}

auto
EntryOfMachine(int aMachine, int aLife, int aDomains) -> cells::WorkerEntry
{
  const auto domain = std::to_string(aMachine % aDomains);
  auto entry = cells::WorkerEntry{};
  entry.id = { "w-" + std::to_string(aMachine) + "-" + std::to_string(aLife) };
  entry.service = { kModelService };
  entry.domain = { "zone-" + domain };
  entry.machine = { "m-" + std::to_string(aMachine) };
  constexpr std::int64_t kCpu = 16000;
  constexpr std::int64_t kMemory = 64000;
  entry.capacity = { kCpu, kMemory, 0 };
  entry.labels = { "a", "r-" + domain };
  return entry;
}

} // namespace gooseberry::fakes
