#include "jobjudge.h"

#include <algorithm>
#include <array>

namespace gooseberry::fakes {

using cells::JobId;
using cells::StepSpec;

JobJudge::JobJudge(JudgeBounds aBounds)
  : bounds(aBounds)
{
}

auto
JobJudge::Break(Time aNow, const std::string& aRule, const TaskName& aTask)
  -> void
{
  this->violations.push_back(std::to_string(SteadyMillis(aNow)) + " " + aRule +
                             " " + ToText(aTask));
  this->brokenTasks.insert(aTask);
}

auto
JobJudge::BreakDoubled(Time aNow,
                       const std::string& aRule,
                       const TaskName& aTask) -> void
{
  ++this->doubled;
  this->Break(aNow, aRule, aTask);
}

auto
JobJudge::Doubled() const -> std::size_t
{
  return this->doubled;
}

auto
JobJudge::Timelines() const -> std::vector<std::string>
{
  auto lines = std::vector<std::string>{};
  for (const auto& name : this->brokenTasks) {
    const auto job = this->jobs.find(name.job);
    if (job == this->jobs.end()) {
      continue;
    }
    const auto task = job->second.tasks.find(name);
    if (task == job->second.tasks.end()) {
      continue;
    }
    for (const auto& event : task->second.events) {
      lines.push_back(std::to_string(SteadyMillis(event.at)) + " " +
                      ToText(name) + " run " + std::to_string(event.run) +
                      " on " + event.worker.text + " " + event.what +
                      (event.fencingToken == 0
                         ? std::string{}
                         : ", token " + std::to_string(event.fencingToken)));
    }
  }
  return lines;
}

auto
JobJudge::OnSubmitted(const cells::JobRow& aRow) -> void
{
  this->jobs.try_emplace(aRow.id).first->second.row = aRow;
}

auto
JobJudge::OnRefused(const JobId& aJob) -> void
{
  auto& job = this->jobs.at(aJob);
  job.refused = !job.accepted;
  if (job.refused && !job.tasks.empty()) {
    this->violations.push_back("refused " + aJob.Text() + " ran");
  }
}

auto
JobJudge::OnAccepted(Time aNow, const JobId& aJob) -> void
{
  auto& job = this->jobs.at(aJob);
  job.accepted = true;
  if (!job.acceptedAt) {
    job.acceptedAt = aNow;
  }
  job.refused = false;
}

auto
JobJudge::OnForgotten(const JobId& aJob) -> void
{
  const auto found = this->jobs.find(aJob);
  if (found->second.done < this->TasksOf(found->second)) {
    this->violations.push_back("forgot " + aJob.Text() + " before its end");
  }
  for (const auto& [name, task] : found->second.tasks) {
    for (auto run = std::size_t{ 0 }; run < task.live.size(); ++run) {
      this->CountUse(found->second, name, -1);
    }
  }
  this->jobs.erase(found);
}

auto
JobJudge::OnCancelAsked(const JobId& aJob) -> void
{
  this->jobs.at(aJob).cancelAsked = true;
}

auto
JobJudge::OnCancelled(Time aNow, const JobId& aJob) -> void
{
  this->jobs.at(aJob).cancelledAt = aNow;
}

auto
JobJudge::OnEvacuation(Time aNow, const DomainId& aDomain, bool aOut) -> void
{
  if (aOut) {
    this->evacuated[aDomain] = aNow;
  } else {
    this->evacuated.erase(aDomain);
  }
}

auto
JobJudge::OnLeaving(Time aNow, const WorkerId& aWorker) -> void
{
  this->leaving[aWorker] = aNow;
}

auto
JobJudge::PendingJobs(Time aNow, Millis aAge) const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(this->jobs.begin(), this->jobs.end(), [&](const auto& aItem) {
      const auto& job = aItem.second;
      return job.acceptedAt && aNow >= *job.acceptedAt + aAge &&
             !job.cancelAsked && job.tasks.empty() && !job.row.spec.IsTimed();
    }));
}

auto
JobJudge::OnPendingShown(Time aNow, std::size_t aPending) -> void
{
  const auto waiting = this->PendingJobs(aNow, this->bounds.counted);
  if (aPending * 2 < waiting) {
    this->violations.push_back(
      std::to_string(SteadyMillis(aNow)) + " " + std::to_string(aPending) +
      " jobs are said to wait, and " + std::to_string(waiting) + " do");
  }
}

auto
JobJudge::OnWorker(const cells::WorkerEntry& aEntry) -> void
{
  this->workers[aEntry.id] = aEntry;
}

auto
JobJudge::OnConfig(Time aNow, const cells::SiteConfig& aConfig) -> void
{
  for (const auto& [id, account] : aConfig.accounts) {
    this->accounts[id].limits.emplace_back(aNow, account.limit);
  }
  for (auto& [id, facts] : this->accounts) {
    if (!facts.limits.empty() && !aConfig.accounts.contains(id)) {
      facts.limits.emplace_back(aNow, std::nullopt);
    }
  }
}

auto
JobJudge::CountUse(const JobFacts& aJob, const TaskName& aTask, int aSign)
  -> void
{
  const auto& size = aJob.row.spec.steps.at(aTask.step).taskResources;
  auto& use = this->accounts[aJob.row.account].use;
  if (aSign > 0) {
    use += size;
  } else {
    use -= size;
  }
}

auto
JobJudge::CheckLimit(Time aNow, const JobFacts& aJob, const TaskName& aTask)
  -> void
{
  const auto& facts = this->accounts[aJob.row.account];
  const auto& size = aJob.row.spec.steps.at(aTask.step).taskResources;
  constexpr std::array<std::int64_t Resources::*, 3> kResources{
    &Resources::cpuMillis, &Resources::memoryMb, &Resources::accelerators
  };
  for (const auto resource : kResources) {
    // From the newest to the first one that was replaced long enough ago.
    auto highest = std::int64_t{ 0 };
    auto limited = !facts.limits.empty();
    auto replacedAt = Time::max();
    for (auto item = facts.limits.rbegin();
         item != facts.limits.rend() &&
         (replacedAt == Time::max() ||
          aNow <= replacedAt + this->bounds.configApply);
         ++item) {
      const auto limit = item->second ? (*item->second).*resource : 0;
      limited = limited && limit > 0;
      highest = std::max(highest, limit);
      replacedAt = item->first;
    }
    if (!limited) {
      continue;
    }
    const auto share =
      static_cast<double>(facts.use.*resource) / static_cast<double>(highest);
    this->peakUse = std::max(this->peakUse, share);
    const auto most =
      static_cast<double>(highest) * (1.0 + this->bounds.quotaOverage) +
      static_cast<double>(size.*resource);
    if (static_cast<double>(facts.use.*resource) > most) {
      this->Break(aNow,
                  "account " + aJob.row.account.text + " uses " +
                    std::to_string(facts.use.*resource) + " of " +
                    std::to_string(highest),
                  aTask);
    }
  }
}

auto
JobJudge::UseOf(const AccountId& aAccount) const -> AccountUse
{
  const auto found = this->accounts.find(aAccount);
  return found == this->accounts.end()
           ? AccountUse{}
           : AccountUse{ found->second.use, found->second.starts };
}

auto
JobJudge::PeakUse() const -> double
{
  return this->peakUse;
}

auto
JobJudge::TasksOf(const JobFacts& aJob) const -> std::size_t
{
  auto tasks = std::size_t{ 0 };
  for (const auto& step : aJob.row.spec.steps) {
    tasks += step.taskCount;
  }
  return tasks * std::max<std::size_t>(1, aJob.row.spec.occurrences);
}

auto
JobJudge::OnShownCompleted(Time aNow, const JobId& aJob) -> void
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end() ||
      found->second.done < this->TasksOf(found->second)) {
    this->Break(aNow, "shown completed too early", { aJob });
  }
}

auto
JobJudge::OnEvent(const JobEvent& aEvent) -> void
{
  if (aEvent.kind == JobEventKind::Gone) {
    this->OnGone(aEvent);
    return;
  }
  if (aEvent.kind == JobEventKind::EarlyNote) {
    // Ends that nobody reads are not recorded: their tasks run again.
    ++this->doubled;
    this->violations.push_back(std::to_string(SteadyMillis(aEvent.at)) +
                               " ends acknowledged that were not listed by " +
                               aEvent.worker.text);
    return;
  }
  const auto found = this->jobs.find(aEvent.task.job);
  if (found == this->jobs.end()) {
    this->Break(aEvent.at, "unasked", aEvent.task);
    return;
  }
  switch (aEvent.kind) {
    case JobEventKind::Start:
      this->OnStart(found->second, aEvent);
      break;
    case JobEventKind::Crash:
      this->OnCrash(found->second, aEvent);
      break;
    case JobEventKind::End:
      this->OnEnd(found->second, aEvent);
      break;
    default:
      this->OnNoted(found->second, aEvent);
      break;
  }
}

auto
JobJudge::OnStart(JobFacts& aJob, const JobEvent& aEvent) -> void
{
  ++this->starts;
  const auto& name = aEvent.task;
  const auto& steps = aJob.row.spec.steps;
  if (name.step >= steps.size() || name.index >= steps[name.step].taskCount ||
      aEvent.payload != aJob.row.spec.payload || aJob.refused) {
    this->Break(aEvent.at, "unasked", name);
    return;
  }
  const auto& step = steps[name.step];
  auto& task = aJob.tasks[name];
  task.events.push_back(
    { aEvent.at, "starts", aEvent.run, aEvent.worker, aEvent.fencingToken });
  ++task.starts;
  ++this->accounts[aJob.row.account].starts;
  if (!step.speculative && !task.live.empty()) {
    this->BreakDoubled(aEvent.at, "twice", name);
  }
  if (task.doneNoted && !step.speculative) {
    this->BreakDoubled(aEvent.at, "started after its noted end", name);
  }
  if (aEvent.run <= task.newestRun) {
    this->Break(aEvent.at, "run number did not grow", name);
  }
  task.newestRun = std::max(task.newestRun, aEvent.run);
  constexpr std::uint32_t kMostCrashes = 3;
  constexpr std::uint32_t kOneStartTooMany = 3;
  if (task.crashes >= kMostCrashes &&
      ++task.startsAfterCrashes == kOneStartTooMany) {
    this->Break(aEvent.at, "crashes worker after worker", name);
  }
  if (!step.longRunning && task.failedNoted >= aJob.row.policy.maxAttempts) {
    this->Break(aEvent.at, "beyond its attempts", name);
  }
  if (aJob.cancelledAt && aEvent.at > *aJob.cancelledAt + this->bounds.cancel) {
    this->Break(aEvent.at, "started after its cancellation", name);
  }
  for (const auto earlier : step.dependencies) {
    for (auto index = std::uint32_t{ 0 }; index < steps[earlier].taskCount;
         ++index) {
      const auto before =
        aJob.tasks.find({ name.job, name.occurrence, earlier, index });
      if (before == aJob.tasks.end() || !before->second.done) {
        this->Break(aEvent.at, "before an earlier step", name);
        break;
      }
    }
  }
  const auto worker = this->workers.find(aEvent.worker);
  if (worker != this->workers.end()) {
    const auto out = this->evacuated.find(worker->second.domain);
    if (out != this->evacuated.end() &&
        aEvent.at > out->second + this->bounds.evacuate) {
      this->Break(aEvent.at, "in a domain out of service", name);
    }
    if (!step.requiredLabel.empty() &&
        !worker->second.HasLabel(step.requiredLabel)) {
      this->Break(aEvent.at, "without its label", name);
    }
  }
  const auto leaves = this->leaving.find(aEvent.worker);
  if (leaves != this->leaving.end() &&
      aEvent.at > leaves->second + this->bounds.drain) {
    this->Break(aEvent.at, "on a leaving worker", name);
  }
  if (step.maxPerWorker > 0) {
    auto here = std::uint32_t{ 1 };
    for (const auto& [other, facts] : aJob.tasks) {
      for (const auto& [run, alive] : facts.live) {
        here += other.step == name.step &&
                    other.occurrence == name.occurrence &&
                    run.second == aEvent.worker
                  ? 1
                  : 0;
      }
    }
    if (here > step.maxPerWorker) {
      this->Break(aEvent.at, "too many on one worker", name);
    }
  }
  if (task.live.emplace(std::pair{ aEvent.run, aEvent.worker }, true).second) {
    this->CountUse(aJob, name, 1);
  }
  this->CheckLimit(aEvent.at, aJob, name);
}

auto
JobJudge::OnEnd(JobFacts& aJob, const JobEvent& aEvent) -> void
{
  auto& task = aJob.tasks[aEvent.task];
  if (task.live.erase({ aEvent.run, aEvent.worker }) > 0) {
    this->CountUse(aJob, aEvent.task, -1);
  }
  task.events.push_back(
    { aEvent.at, cells::ToText(aEvent.how), aEvent.run, aEvent.worker });
  if (aEvent.how == RunOutcome::Done) {
    task.unnoted[{ aEvent.run, aEvent.worker }] = task.starts;
  }
  if (aEvent.how == RunOutcome::Done && !task.done) {
    task.done = true;
    ++aJob.done;
    ++this->done;
  }
  task.failed += aEvent.how == RunOutcome::Failed ? 1 : 0;
}

auto
JobJudge::OnNoted(JobFacts& aJob, const JobEvent& aEvent) -> void
{
  if (aEvent.lapsedBetween) {
    return;
  }
  auto& task = aJob.tasks[aEvent.task];
  task.events.push_back({ aEvent.at, "noted", aEvent.run, aEvent.worker });
  const auto ended = task.unnoted.find({ aEvent.run, aEvent.worker });
  if (ended != task.unnoted.end()) {
    const auto& step = aJob.row.spec.steps.at(aEvent.task.step);
    if (task.starts > ended->second && !step.speculative && !step.longRunning) {
      this->BreakDoubled(
        aEvent.at, "started after an end that was noted later", aEvent.task);
    }
    task.unnoted.erase(ended);
  }
  task.doneNoted = task.doneNoted || aEvent.how == RunOutcome::Done;
  task.failedNoted += aEvent.how == RunOutcome::Failed ? 1 : 0;
}

auto
JobJudge::OnCrash(JobFacts& aJob, const JobEvent& aEvent) -> void
{
  ++aJob.tasks[aEvent.task].crashes;
}

auto
JobJudge::OnGone(const JobEvent& aEvent) -> void
{
  for (auto& entry : this->jobs) {
    auto& job = entry.second;
    for (auto& item : job.tasks) {
      auto& task = item.second;
      const auto lost = std::erase_if(task.live, [&](const auto& aItem) {
        if (aItem.first.second != aEvent.worker) {
          return false;
        }
        task.events.push_back(
          { aEvent.at, "lost", aItem.first.first, aEvent.worker });
        this->CountUse(job, item.first, -1);
        return true;
      });
      // Nobody can note these ends any more.
      std::erase_if(task.unnoted, [&](const auto& aItem) {
        return aItem.first.second == aEvent.worker;
      });
      task.lostWorkers += lost > 0 ? 1 : 0;
    }
  }
}

auto
JobJudge::Finish() -> void
{
  for (auto& text : this->Missing()) {
    this->violations.push_back(std::move(text));
  }
}

auto
JobJudge::Missing() const -> std::vector<std::string>
{
  auto missing = std::vector<std::string>{};
  for (const auto& [id, job] : this->jobs) {
    if (!job.accepted || job.cancelAsked || MayBeGivenUp(job)) {
      continue;
    }
    const auto hopeless = HasFailed(job);
    if (job.row.spec.IsLongRunning()) {
      const auto running = std::count_if(
        job.tasks.begin(), job.tasks.end(), [](const auto& aItem) {
          return !aItem.second.live.empty();
        });
      if (static_cast<std::size_t>(running) < this->TasksOf(job)) {
        missing.push_back("lasting job " + id.Text() + " runs " +
                          std::to_string(running) + " tasks of " +
                          std::to_string(this->TasksOf(job)));
      }
    } else if (!hopeless && job.done < this->TasksOf(job)) {
      missing.push_back("job " + id.Text() + " has done " +
                        std::to_string(job.done) + " tasks of " +
                        std::to_string(this->TasksOf(job)));
    }
  }
  return missing;
}

auto
JobJudge::MayBeGivenUp(const JobFacts& aJob) -> bool
{
  return std::any_of(
    aJob.tasks.begin(), aJob.tasks.end(), [](const auto& aItem) {
      return aItem.second.crashes > 0 && aItem.second.lostWorkers >= 2;
    });
}

auto
JobJudge::HasFailed(const JobFacts& aJob) -> bool
{
  const auto attempts = aJob.row.policy.maxAttempts;
  return std::any_of(
    aJob.tasks.begin(), aJob.tasks.end(), [attempts](const auto& aItem) {
      return aItem.second.failed >= attempts;
    });
}

auto
JobJudge::IsReady(const JobFacts& aJob, const StepSpec& aStep) -> bool
{
  return std::all_of(
    aStep.dependencies.begin(),
    aStep.dependencies.end(),
    [&](std::uint32_t aEarlier) {
      const auto done = std::count_if(
        aJob.tasks.begin(), aJob.tasks.end(), [&](const auto& aItem) {
          return aItem.first.step == aEarlier && aItem.second.done;
        });
      return static_cast<std::uint32_t>(done) ==
             aJob.row.spec.steps[aEarlier].taskCount;
    });
}

auto
JobJudge::WaitingTasks() const -> std::vector<WaitingTask>
{
  auto waiting = std::vector<WaitingTask>{};
  for (const auto& [id, job] : this->jobs) {
    const auto& spec = job.row.spec;
    if (!job.accepted || job.cancelAsked || spec.IsTimed() ||
        job.done == this->TasksOf(job) || MayBeGivenUp(job) ||
        (!spec.IsLongRunning() && HasFailed(job))) {
      continue;
    }
    for (auto step = std::uint32_t{ 0 }; step < spec.steps.size(); ++step) {
      if (!IsReady(job, spec.steps[step])) {
        continue;
      }
      for (auto index = std::uint32_t{ 0 }; index < spec.steps[step].taskCount;
           ++index) {
        const auto name = TaskName{ id, 0, step, index };
        const auto task = job.tasks.find(name);
        if (task == job.tasks.end() ||
            (!task->second.done && task->second.live.empty())) {
          waiting.push_back({ name, &spec.steps[step] });
        }
      }
    }
  }
  return waiting;
}

auto
JobJudge::Violations() const -> const std::vector<std::string>&
{
  return this->violations;
}

auto
JobJudge::Starts() const -> std::size_t
{
  return this->starts;
}

auto
JobJudge::Done() const -> std::size_t
{
  return this->done;
}

auto
JobJudge::CompletedJobs() const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(this->jobs.begin(), this->jobs.end(), [&](const auto& aItem) {
      return aItem.second.accepted &&
             aItem.second.done == this->TasksOf(aItem.second);
    }));
}

} // namespace gooseberry::fakes
