// Part of Shard that compares a worker's report with the records.

#include <algorithm>

#include "shard.h"

namespace gooseberry {

namespace {

// Percentage of its processors that a throttled task may use.
constexpr int kThrottlePercent = 40;

auto
RetryBackoff(int aFailures) -> Millis
{
  const auto doubled = kRetryBackoffMin * (1LL << std::min(aFailures, 20));
  return std::min<Millis>(doubled, kRetryBackoffMax);
}

// Whether the report contains the task's present attempt.
auto
ListsAttempt(const WorkerReport& aReport, const Task& aTask) -> bool
{
  return std::any_of(aReport.attempts.begin(),
                     aReport.attempts.end(),
                     [&](const AttemptReport& aAttempt) {
                       return aAttempt.task == aTask.id &&
                              aAttempt.attempt == aTask.attempt;
                     });
}

// Erases the attempts that the report does not contain.
auto
EraseUnlisted(std::vector<AttemptRef>& aRefs, const WorkerReport& aReport)
  -> void
{
  std::erase_if(aRefs, [&](const AttemptRef& aRef) {
    return std::none_of(aReport.attempts.begin(),
                        aReport.attempts.end(),
                        [&](const AttemptReport& aAttempt) {
                          return aAttempt.task == aRef.task &&
                                 aAttempt.attempt == aRef.attempt;
                        });
  });
}

} // namespace

auto
Shard::OnWorkerReport(const OwnerAuthority& aAuthority,
                      const WorkerId& aWorker,
                      const WorkerReport& aReport) -> void
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end() || this->journal.Fenced()) {
    return;
  }
  auto& view = found->second;
  if (!aReport.accepted || aReport.epoch != this->journal.Epoch()) {
    this->CountEvent(ShardEvent::StaleReport);
    return;
  }
  view.reconciled = true;
  view.stamp = aReport.stamp;
  view.lastReportAt = aAuthority.now;
  view.info.capacity = aReport.capacity;
  EraseUnlisted(this->acknowledged[aWorker], aReport);
  EraseUnlisted(this->orphans[aWorker], aReport);
  view.used = {};
  for (const auto& attempt : aReport.attempts) {
    view.used += attempt.used;
    this->OnAttemptReport(aAuthority, view, attempt);
  }
  this->HandleUnlistedAttempts(aAuthority.now, aWorker, aReport);
  this->UpdateInterference(aAuthority.now, view, aReport);
}

auto
Shard::OnAttemptReport(const OwnerAuthority& aAuthority,
                       WorkerView& aView,
                       const AttemptReport& aAttempt) -> void
{
  const auto* task = this->journal.Find(aAttempt.task);
  const auto current =
    task != nullptr &&
    (OccupiesWorker(task->phase) || task->phase == TaskPhase::Lost) &&
    task->worker == aView.info.id && task->attempt == aAttempt.attempt;
  const auto running = aAttempt.state == AttemptState::Running;
  if (!current && !running && this->OnLateFinish(aAuthority, aAttempt)) {
    return;
  }
  if (!current) {
    const auto ref = AttemptRef{ aAttempt.task, aAttempt.attempt };
    auto& list = running ? this->orphans[aView.info.id]
                         : this->acknowledged[aView.info.id];
    if (std::find(list.begin(), list.end(), ref) == list.end()) {
      list.push_back(ref);
      this->CountEvent(running ? ShardEvent::OrphanStop
                               : ShardEvent::StaleReport);
    }
    return;
  }
  if (this->journal.HasPendingChange(aAttempt.task)) {
    return;
  }
  if (!running) {
    this->OnAttemptEnded(aAuthority, aView, *task, aAttempt);
    return;
  }
  auto known = *task;
  if (known.phase == TaskPhase::Starting) {
    known.phase = TaskPhase::Running;
    aView.failureStreak = 0;
    aView.failedClasses.clear();
  }
  known.checkpoint = std::max(known.checkpoint, aAttempt.checkpoint);
  this->journal.UpdateInMemory(known);
}

// Handles a report that an attempt which was given up has finished after all:
// the task becomes Finished, or a later attempt of it is stopped first. False
// if the report is not of that kind.
auto
Shard::OnLateFinish(const OwnerAuthority& aAuthority,
                    const AttemptReport& aAttempt) -> bool
{
  const auto* task = this->journal.Find(aAttempt.task);
  if (aAttempt.state != AttemptState::Finished || task == nullptr ||
      IsFinal(task->phase) || task->phase == TaskPhase::Moved ||
      task->kind != TaskKind::Batch) {
    return false;
  }
  if (this->journal.HasPendingChange(aAttempt.task) ||
      task->phase == TaskPhase::Evicting) {
    return true;
  }
  if (OccupiesWorker(task->phase)) {
    this->Evict(aAuthority.now, *task, "an earlier attempt has finished");
    return true;
  }
  this->CountEvent(ShardEvent::Finish);
  auto finished = *task;
  finished.phase = TaskPhase::Finished;
  finished.reason = "an earlier attempt has finished";
  this->StageChange(aAuthority.now, finished, CommitUrgency::Immediate);
  return true;
}

auto
Shard::OnAttemptEnded(const OwnerAuthority& aAuthority,
                      WorkerView& aView,
                      const Task& aTask,
                      const AttemptReport& aAttempt) -> void
{
  auto task = aTask;
  task.checkpoint = std::max(task.checkpoint, aAttempt.checkpoint);
  switch (aAttempt.state) {
    case AttemptState::Finished:
      this->CountEvent(ShardEvent::Finish);
      aView.failureStreak = 0;
      aView.failedClasses.clear();
      if (task.kind != TaskKind::Batch) {
        this->Requeue(aAuthority.now, task, "ended by itself");
        return;
      }
      task.phase = TaskPhase::Finished;
      task.reason = "finished on " + aView.info.id.text;
      this->StageChange(aAuthority.now, task, CommitUrgency::Immediate);
      return;
    case AttemptState::Failed:
      this->CountEvent(ShardEvent::Failure);
      this->OnAttemptFailed(aAuthority.now, aView, task);
      return;
    case AttemptState::Stopped:
      task.evictions += task.cancelRequested ? 0 : 1;
      this->Requeue(aAuthority.now, task, "stopped: " + task.reason);
      return;
    case AttemptState::Refused:
      this->CountEvent(ShardEvent::Refusal);
      this->earliestStart[task.id] = aAuthority.now + kRetryBackoffMin;
      this->Requeue(aAuthority.now,
                    task,
                    aView.info.id.text +
                      " refused the start: " + aAttempt.reason);
      return;
    case AttemptState::Running:
    case AttemptState::AttemptState_NB:
      return;
  }
}

// A class that fails on every worker is itself at fault, while several classes
// that fail in a row on one worker point to the worker. In the latter case, and
// when one class failed many times in a row there, the worker is quarantined
// and the failure does not count for the task.
auto
Shard::OnAttemptFailed(Time aNow, WorkerView& aView, Task aTask) -> void
{
  aView.failureStreak += 1;
  aView.failedClasses.insert(aTask.classId);
  const auto workerAtFault = aView.failureStreak >= kQuarantineFailures &&
                             (aView.failedClasses.size() > 1 ||
                              aView.failureStreak >= 2 * kQuarantineFailures);
  if (workerAtFault) {
    this->CountEvent(ShardEvent::Quarantine);
    aView.quarantinedUntil = aNow + kQuarantinePeriod;
  }
  if (!workerAtFault) {
    aTask.failures += 1;
  }
  this->earliestStart[aTask.id] = aNow + RetryBackoff(aTask.failures);
  if (aTask.failures < kMaxTaskFailures || aTask.kind != TaskKind::Batch) {
    this->Requeue(aNow, aTask, "failed on " + aView.info.id.text);
    return;
  }
  this->CountEvent(ShardEvent::Park);
  aTask.phase =
    aTask.cancelRequested ? TaskPhase::Cancelled : TaskPhase::Parked;
  aTask.worker = {};
  aTask.reason = "failed " + std::to_string(aTask.failures) +
                 " times, last on " + aView.info.id.text;
  this->StageChange(aNow, aTask, CommitUrgency::Immediate);
}

// Handles attempts that the worker should have but does not list. Its reply
// proves that no older request can take effect any more, so such an attempt is
// not running and never will be.
auto
Shard::HandleUnlistedAttempts(Time aNow,
                              const WorkerId& aWorker,
                              const WorkerReport& aReport) -> void
{
  for (const auto& [id, task] : this->journal.Tasks()) {
    if (task.worker != aWorker || !OccupiesWorker(task.phase) ||
        this->journal.HasPendingChange(id) || ListsAttempt(aReport, task)) {
      continue;
    }
    if (this->unsentStarts.contains(id)) {
      continue;
    }
    if (task.incarnation == aReport.stamp.incarnation) {
      this->Requeue(aNow, task, "the start never reached " + aWorker.text);
    } else {
      this->HandleLostAttempt(aNow, task, aWorker.text + " no longer runs it");
    }
  }
}

// Updates the interference model from the slowdowns of the worker's services,
// then throttles or evicts one of its batch tasks, or lifts its throttles.
auto
Shard::UpdateInterference(Time aNow,
                          WorkerView& aView,
                          const WorkerReport& aReport) -> void
{
  aView.serviceClasses.clear();
  aView.batchClasses.clear();
  auto running = std::vector<Task>{};
  auto colocated = std::vector<ColocatedTask>{};
  for (const auto& [id, task] : this->journal.Tasks()) {
    if (task.worker != aView.info.id || !OccupiesWorker(task.phase)) {
      continue;
    }
    const auto service = task.kind == TaskKind::Service;
    (service ? aView.serviceClasses : aView.batchClasses)
      .push_back(task.classId);
    if (task.kind == TaskKind::Batch && task.phase == TaskPhase::Running) {
      running.push_back(task);
      const auto throttle = aView.throttlePercents.find(id);
      const auto percent =
        throttle == aView.throttlePercents.end() ? 100 : throttle->second;
      colocated.push_back({ task.classId, percent / 100.0 });
    }
  }
  std::erase_if(aView.throttlePercents, [&](const auto& aThrottle) {
    return std::none_of(running.begin(), running.end(), [&](const Task& aTask) {
      return aTask.id == aThrottle.first;
    });
  });
  auto worstSlowdown = 1.0;
  auto slowestService = ClassId{};
  for (const auto& attempt : aReport.attempts) {
    const auto* task = this->journal.Find(attempt.task);
    if (task == nullptr || task->kind != TaskKind::Service) {
      continue;
    }
    this->interference.Observe(task->classId, colocated, attempt.slowdown);
    if (attempt.slowdown > worstSlowdown) {
      worstSlowdown = attempt.slowdown;
      slowestService = task->classId;
    }
  }
  if (this->policy != PlacementPolicy::BestFit) {
    return;
  }
  const auto step = aView.mitigation.NextStep(aNow, worstSlowdown);
  if (step == MitigationStep::Restore) {
    for (auto& [id, percent] : aView.throttlePercents) {
      percent = 100;
    }
    return;
  }
  if (step == MitigationStep::Throttle) {
    std::erase_if(running, [&](const Task& aTask) {
      const auto known = aView.throttlePercents.find(aTask.id);
      return known != aView.throttlePercents.end() &&
             known->second == kThrottlePercent;
    });
  }
  // Among equally harmful tasks one that supports checkpoints loses less work.
  const auto score = [&](const Task& aTask) {
    return this->interference.ExpectedSlowdown(slowestService, aTask.classId) +
           (aTask.supportsCheckpoints ? 0.01 : 0.0);
  };
  const auto target = std::max_element(
    running.begin(), running.end(), [&](const Task& aLeft, const Task& aRight) {
      return score(aLeft) < score(aRight);
    });
  if (target == running.end() || step == MitigationStep::None) {
    return;
  }
  if (step == MitigationStep::Throttle) {
    this->CountEvent(ShardEvent::Throttle);
    aView.throttlePercents[target->id] = kThrottlePercent;
    return;
  }
  if (!this->journal.HasPendingChange(target->id)) {
    this->CountEvent(ShardEvent::InterferenceEviction);
    aView.throttlePercents.erase(target->id);
    this->Evict(aNow,
                *target,
                "it slowed service class " + slowestService.text + " down");
  }
}

} // namespace gooseberry
