#ifndef GOOSEBERRY_JOBJUDGE_H
#define GOOSEBERRY_JOBJUDGE_H

// Judges what workers did by the promises about jobs, from the workers' own
// events and from what callers and operators were told; never from the
// scheduler's word.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobspec.h"
#include "jobworker.h"

namespace gooseberry::fakes {

struct JudgeBounds
{
  // No start later than this after a cancellation was acknowledged.
  Millis cancel{ 3000 };
  // No start in a failure domain later than this after it was taken out.
  Millis evacuate{ 5000 };
  // No start on a worker later than this after it was seen to leave.
  Millis drain{ 4000 };
  // Jobs that were accepted so long ago are counted while they wait.
  Millis counted{ 5000 };
  // A configuration is in force everywhere so long after it was written.
  Millis configApply{ 4000 };
  // Fraction by which an account may exceed its limit, besides one task.
  double quotaOverage = 0.1;

  auto operator==(const JudgeBounds&) const -> bool = default;
};

class JobJudge
{
public:
  explicit JobJudge(JudgeBounds aBounds);

  // What callers and operators did.
  auto OnSubmitted(const cells::JobRow& aRow) -> void;
  // Refused for good: it must never run.
  auto OnRefused(const cells::JobId& aJob) -> void;
  auto OnAccepted(Time aNow, const cells::JobId& aJob) -> void;
  // The job is done and its id may name another one from now on.
  auto OnForgotten(const cells::JobId& aJob) -> void;
  // A cancellation was sent; without an answer it may still be carried out.
  auto OnCancelAsked(const cells::JobId& aJob) -> void;
  auto OnCancelled(Time aNow, const cells::JobId& aJob) -> void;
  auto OnEvacuation(Time aNow, const DomainId& aDomain, bool aOut) -> void;
  auto OnLeaving(Time aNow, const WorkerId& aWorker) -> void;
  auto OnShownCompleted(Time aNow, const cells::JobId& aJob) -> void;
  // A caller was told that so many jobs wait. The instance must have been well
  // for some seconds.
  auto OnPendingShown(Time aNow, std::size_t aPending) -> void;
  auto OnWorker(const cells::WorkerEntry& aEntry) -> void;
  // The configuration was written.
  auto OnConfig(Time aNow, const cells::SiteConfig& aConfig) -> void;

  // What workers did.
  auto OnEvent(const JobEvent& aEvent) -> void;

  // At the end, long after the last fault: accepted jobs that are not done.
  auto Finish() -> void;
  // Accepted jobs that are not done at present, in words.
  auto Missing() const -> std::vector<std::string>;

  // Tasks of accepted jobs that could run now and do not.
  struct WaitingTask
  {
    TaskName task;
    const cells::StepSpec* step = nullptr;
  };
  auto WaitingTasks() const -> std::vector<WaitingTask>;

  auto Violations() const -> const std::vector<std::string>&;
  // How many of them are about work that is done twice, or will be: ends that
  // are forgotten unread.
  auto Doubled() const -> std::size_t;
  // What workers told of the tasks that broke a promise, a line for each event.
  auto Timelines() const -> std::vector<std::string>;
  struct AccountUse
  {
    // Of all runs that are alive.
    Resources use;
    std::size_t starts = 0;
  };
  auto UseOf(const AccountId& aAccount) const -> AccountUse;
  // The highest share of its limit that an account used after a start.
  auto PeakUse() const -> double;
  auto Starts() const -> std::size_t;
  auto Done() const -> std::size_t;
  // Accepted jobs of which all tasks are done.
  auto CompletedJobs() const -> std::size_t;
  // Jobs that were accepted at least so long ago and have not begun. Timed and
  // cancelled ones are left out.
  auto PendingJobs(Time aNow, Millis aAge) const -> std::size_t;

private:
  struct RunEvent
  {
    Time at{};
    const char* what = "";
    std::uint32_t run = 0;
    WorkerId worker;
    std::uint64_t fencingToken = 0;
  };

  struct TaskFacts
  {
    // Runs that are alive, by worker.
    std::map<std::pair<std::uint32_t, WorkerId>, bool> live;
    bool done = false;
    bool doneNoted = false;
    // Runs that ended as done and are not noted, with the starts up to then.
    std::map<std::pair<std::uint32_t, WorkerId>, std::size_t> unnoted;
    std::size_t starts = 0;
    std::vector<RunEvent> events;
    // Runs that ended as failed, and of these the noted ones.
    std::uint32_t failed = 0;
    std::uint32_t failedNoted = 0;
    std::uint32_t newestRun = 0;
    // Workers that it crashed, and those that were lost while it ran there.
    std::uint32_t crashes = 0;
    std::uint32_t lostWorkers = 0;
    // Starts after the third crash.
    std::uint32_t startsAfterCrashes = 0;
  };

  struct JobFacts
  {
    cells::JobRow row;
    bool accepted = false;
    bool refused = false;
    bool cancelAsked = false;
    std::optional<Time> acceptedAt;
    std::optional<Time> cancelledAt;
    std::map<TaskName, TaskFacts> tasks;
    std::size_t done = 0;
  };

  // What an account has running on all workers, and its limit from each time at
  // which a configuration was written; empty: the configuration lacks it.
  struct AccountFacts
  {
    Resources use;
    std::size_t starts = 0;
    std::vector<std::pair<Time, std::optional<Resources>>> limits;
  };

  // Adds a run that has begun, or takes away one that is over (aSign -1).
  auto CountUse(const JobFacts& aJob, const TaskName& aTask, int aSign) -> void;
  // Whether the account's use is within the highest limit that may be in force;
  // aTask: the task that was started.
  auto CheckLimit(Time aNow, const JobFacts& aJob, const TaskName& aTask)
    -> void;
  auto Break(Time aNow, const std::string& aRule, const TaskName& aTask)
    -> void;
  auto BreakDoubled(Time aNow, const std::string& aRule, const TaskName& aTask)
    -> void;
  auto OnStart(JobFacts& aJob, const JobEvent& aEvent) -> void;
  auto OnEnd(JobFacts& aJob, const JobEvent& aEvent) -> void;
  auto OnNoted(JobFacts& aJob, const JobEvent& aEvent) -> void;
  auto OnCrash(JobFacts& aJob, const JobEvent& aEvent) -> void;
  auto OnGone(const JobEvent& aEvent) -> void;
  auto TasksOf(const JobFacts& aJob) const -> std::size_t;
  // Whether a task of the job crashes workers and may be given up: two were
  // lost under it.
  static auto MayBeGivenUp(const JobFacts& aJob) -> bool;
  // Whether a task of the job has had all its attempts.
  static auto HasFailed(const JobFacts& aJob) -> bool;
  // Whether all steps before this one are done.
  static auto IsReady(const JobFacts& aJob, const cells::StepSpec& aStep)
    -> bool;

  const JudgeBounds bounds;
  std::map<cells::JobId, JobFacts> jobs;
  std::map<WorkerId, cells::WorkerEntry> workers;
  std::map<DomainId, Time> evacuated;
  std::map<WorkerId, Time> leaving;
  std::vector<std::string> violations;
  std::map<AccountId, AccountFacts> accounts;
  double peakUse = 0.0;
  std::size_t doubled = 0;
  std::set<TaskName> brokenTasks;
  std::size_t starts = 0;
  std::size_t done = 0;
};

} // namespace gooseberry::fakes

#endif
