// Tasks that one cell runs for another; see delegation.h.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// Tasks that only certain workers of the home cell may or should run, and those
// that only run together, are not delegated.
auto
MayBeDelegated(const Job& aJob, const StepSpec& aStep) -> bool
{
  // Besides the job, its row holds the tasks.
  constexpr std::size_t kMaxBytesPerTask = 64;
  constexpr std::size_t kMaxJobRowBytes =
    kMaxRowBytes - kMaxDelegatedTasks * kMaxBytesPerTask;
  return !aStep.gang && aStep.dataRack.empty() &&
         !aJob.row.policy.requiresAdvice && aJob.rowBytes <= kMaxJobRowBytes;
}

// Leaves the checkpoints out if the row is too large with them: without its
// checkpoint a task only begins anew.
template<class Row>
auto
EncodeWithinRow(Row aRow, std::string (*aEncoder)(const Row&)) -> std::string
{
  auto bytes = aEncoder(aRow);
  if (bytes.size() > kMaxRowBytes) {
    for (auto& task : aRow.tasks) {
      task.checkpoint.clear();
    }
    bytes = aEncoder(aRow);
  }
  return bytes;
}

auto
IsOlder(const PeerDelegation& aLeft, const PeerDelegation& aRight) -> bool
{
  return aLeft.second.number < aRight.second.number;
}

auto
KeyOf(DelegationKey::Kind aKind,
      const std::string& aPeer,
      std::uint64_t aNumber) -> std::string
{
  return ToText(DelegationKey{ aKind, aPeer, aNumber });
}

} // namespace

auto
Cell::HasDelegations() const -> bool
{
  return std::any_of(
    this->activeJobs.begin(), this->activeJobs.end(), [](const auto& aItem) {
      return !aItem.second->delegations.empty();
    });
}

auto
Cell::OnPeerLoad(Time aMeasuredAt, const std::string& aCell, CellLoad aLoad)
  -> void
{
  const auto [item, added] = this->peers.try_emplace(aCell);
  auto& peer = item->second;
  this->planNeeded = this->planNeeded || added;
  peer.load = std::move(aLoad);
  peer.measuredAt = aMeasuredAt;
  std::erase_if(peer.sent, [aMeasuredAt](const PeerRoom::Sent& aSent) {
    return aMeasuredAt > aSent.at + kDelegationShowsAfter;
  });
}

// Tasks of a hosted job are returned instead, so that their home cell can try
// another cell.
auto
Cell::CollectUnplaced(Time aNow,
                      PlacementRound& aRound,
                      const ReadyStep& aReady,
                      std::size_t aHeld) -> void
{
  auto& job = *aReady.job;
  if (job.IsHosted()) {
    this->ReturnWaitingTasks(aNow, aReady, aHeld);
    return;
  }
  const auto& spec = job.Spec().steps[aReady.step];
  if (this->peers.empty() || !MayBeDelegated(job, spec)) {
    return;
  }
  if (!spec.longRunning && !this->HasHostWithRoom(aNow, spec.bestEffort)) {
    this->nextPlanAt = std::min(this->nextPlanAt, aNow + kPlanRetryInterval);
    return;
  }
  const auto delay =
    spec.bestEffort ? kDelegateBestEffortAfter : kDelegateAfter;
  auto unplaced = PlacementRound::Unplaced{ aReady, {}, false };
  auto overdue = PlacementRound::Unplaced{ aReady, {}, true };
  auto held = aHeld;
  auto& progress = job.occurrences.at(aReady.occurrence).steps[aReady.step];
  auto& tasks = progress.tasks;
  // The first that found no worker stands for those after it.
  const auto since = spec.longRunning
                       ? aNow
                       : tasks[progress.firstOpen].waitingSince.value_or(aNow);
  for (auto index = progress.firstOpen; index < tasks.size(); ++index) {
    auto& task = tasks[index];
    if (!task.IsOpen() || task.earliestStart > aNow) {
      continue;
    }
    if (!task.waitingSince) {
      task.waitingSince = since;
    }
    if (spec.longRunning && task.IsOverdueAgain(aNow)) {
      if (held == 0) {
        overdue.indices.push_back(index);
      } else {
        --held;
      }
    } else if (aNow > *task.waitingSince + delay) {
      unplaced.indices.push_back(index);
    } else {
      this->nextPlanAt =
        std::min(this->nextPlanAt, *task.waitingSince + delay + Millis{ 1 });
    }
  }
  for (auto* const group : { &overdue, &unplaced }) {
    if (!group->indices.empty()) {
      aRound.unplaced.push_back(std::move(*group));
    }
  }
}

auto
Cell::DelegateUnplaced(PlacementRound& aRound) -> void
{
  for (auto& unplaced : aRound.unplaced) {
    const auto& job = *unplaced.ready.job;
    const auto& spec = job.Spec().steps[unplaced.ready.step];
    auto& indices = unplaced.indices;
    while (!indices.empty() && MayBeDelegated(job, spec)) {
      auto [host, most] = this->PickHost(aRound.now, job, spec);
      if (most == 0 && unplaced.overdue) {
        std::tie(host, most) = this->PickHostForOverdue(aRound.now, job, spec);
      }
      const auto count = std::min({ most, indices.size(), kMaxDelegatedTasks });
      if (count == 0) {
        break;
      }
      const auto end = indices.begin() + static_cast<std::ptrdiff_t>(count);
      this->Delegate(aRound.now, unplaced, host, { indices.begin(), end });
      indices.erase(indices.begin(), end);
    }
    if (!indices.empty()) {
      // Another cell may have room as soon as the next load is known.
      this->nextPlanAt =
        std::min(this->nextPlanAt, aRound.now + kPlanRetryInterval);
    }
  }
}

// Whether any other cell is known to have room of this kind.
auto
Cell::HasHostWithRoom(Time aNow, bool aBestEffort) const -> bool
{
  return std::any_of(
    this->peers.begin(), this->peers.end(), [&](const auto& aItem) {
      const auto& peer = aItem.second;
      const auto& load = peer.load;
      return aNow <= peer.measuredAt + kPeerLoadMaxAge &&
             (aBestEffort
                ? aNow >= peer.avoidBestEffortUntil && load.bestEffortRoom > 0
                : aNow >= peer.avoidReservedUntil && load.room > load.waiting);
    });
}

// Whether the cell has workers for the step's tasks, as far as is known.
auto
Cell::IsPossibleHost(Time aNow,
                     const PeerRoom& aPeer,
                     const Job& aJob,
                     const StepSpec& aStep) -> bool
{
  const auto& load = aPeer.load;
  return aNow <= aPeer.measuredAt + kPeerLoadMaxAge &&
         load.capacity.contains(aJob.row.policy.service.text) &&
         (aStep.requiredLabel.empty() ||
          std::find(load.labels.begin(),
                    load.labels.end(),
                    aStep.requiredLabel) != load.labels.end());
}

// The cell with the most room for the step's tasks, and how many of them it
// takes; 0 if none has room.
auto
Cell::PickHost(Time aNow, const Job& aJob, const StepSpec& aStep) const
  -> std::pair<std::string, std::size_t>
{
  const auto cpu = std::max<std::int64_t>(aStep.taskResources.cpuMillis, 1);
  auto best = std::pair<std::string, std::size_t>{};
  for (const auto& [name, peer] : this->peers) {
    const auto& load = peer.load;
    const auto avoidUntil =
      aStep.bestEffort ? peer.avoidBestEffortUntil : peer.avoidReservedUntil;
    if (aNow < avoidUntil || !IsPossibleHost(aNow, peer, aJob, aStep)) {
      continue;
    }
    auto room =
      aStep.bestEffort ? load.bestEffortRoom : load.room - load.waiting;
    if (!aStep.bestEffort && load.largestRoom < cpu) {
      continue;
    }
    for (const auto& sent : peer.sent) {
      room -= sent.bestEffort == aStep.bestEffort ? sent.cpuMillis : 0;
    }
    const auto usable =
      static_cast<std::int64_t>(static_cast<double>(room) * kHostRoomFraction);
    const auto tasks =
      static_cast<std::size_t>(std::max<std::int64_t>(0, usable / cpu));
    if (tasks > best.second) {
      best = { name, tasks };
    }
  }
  return best;
}

// A cell without room that has a worker on which the step's long-running tasks
// fit once its other tasks have ended, and how many of them it gets at a time.
auto
Cell::PickHostForOverdue(Time aNow,
                         const Job& aJob,
                         const StepSpec& aStep) const
  -> std::pair<std::string, std::size_t>
{
  auto best = std::pair<std::string, std::size_t>{};
  auto bestRoom = std::max<std::int64_t>(aStep.taskResources.cpuMillis, 1) - 1;
  for (const auto& [name, peer] : this->peers) {
    const auto hasSent =
      std::any_of(peer.sent.begin(),
                  peer.sent.end(),
                  [](const PeerRoom::Sent& aSent) { return aSent.overdue; });
    if (hasSent || aNow < peer.avoidOverdueUntil ||
        !IsPossibleHost(aNow, peer, aJob, aStep)) {
      continue;
    }
    if (peer.load.largestLongRunningRoom > bestRoom) {
      best = { name, kMaxOverdueDelegated };
      bestRoom = peer.load.largestLongRunningRoom;
    }
  }
  return best;
}

auto
Cell::Delegate(Time aNow,
               const PlacementRound::Unplaced& aUnplaced,
               const std::string& aHost,
               std::vector<std::uint32_t> aIndices) -> void
{
  const auto& ready = aUnplaced.ready;
  auto& job = *ready.job;
  const auto& spec = job.Spec().steps[ready.step];
  // Numbers of a later owner are higher.
  constexpr int kCounterBits = 32;
  const auto number =
    (this->fencingToken << kCounterBits) + ++this->lastDelegation;
  auto& tasks = job.occurrences.at(ready.occurrence).steps[ready.step].tasks;
  for (const auto index : aIndices) {
    tasks[index].phase = TaskPhase::Elsewhere;
    tasks[index].delegation = number;
    this->CountEvent(CellEvent::TaskDelegated);
  }
  this->peers[aHost].sent.push_back(
    { aNow,
      spec.bestEffort,
      aUnplaced.overdue,
      spec.taskResources.cpuMillis *
        static_cast<std::int64_t>(aIndices.size()) });
  if (this->log.IsSampled(job.Id())) {
    this->log.Write(
      "tasks_delegated",
      { { "step", ToText(StepName{ job.Id(), ready.occurrence, ready.step }) },
        { "tasks", std::to_string(aIndices.size()) },
        { "host", aHost },
        { "number", std::to_string(number) } });
  }
  auto& entry = job.delegations[number];
  entry.peer = aHost;
  entry.occurrence = ready.occurrence;
  entry.step = ready.step;
  entry.indices = std::move(aIndices);
  entry.dirty = true;
  this->MarkDirty(job, true);
}

auto
Cell::OnDelegationReport(Time aNow,
                         const std::string& aHost,
                         const DelegationReport& aReport) -> void
{
  const auto found = this->jobs.find(aReport.job);
  if (found == this->jobs.end() || found->second->IsHosted()) {
    return;
  }
  auto& job = *found->second;
  const auto entry = job.delegations.find(aReport.number);
  if (entry == job.delegations.end() || entry->second.peer != aHost) {
    return;
  }
  if (aReport.started) {
    this->MarkJobStarted(aNow, job);
  }
  const auto occurrence = entry->second.occurrence;
  const auto step = entry->second.step;
  for (const auto& task : aReport.tasks) {
    const auto context =
      this->FindTask({ job.Id(), occurrence, step, task.index });
    if (context.task == nullptr ||
        context.task->phase != TaskPhase::Elsewhere ||
        context.task->delegation != aReport.number) {
      continue;
    }
    if (task.state == DelegatedTaskState::Returned) {
      auto& peer = this->peers[aHost];
      const auto overdue =
        context.spec->longRunning && context.task->lastRunNumber > 0 &&
        context.task->WaitedUntil(aNow) > kInterruptedMaxWait;
      (context.spec->bestEffort ? peer.avoidBestEffortUntil
       : overdue                ? peer.avoidOverdueUntil
                 : peer.avoidReservedUntil) = aNow + kHostAvoidTime;
    }
    this->ApplyReportedTask(aNow, context, task);
  }
  this->CloseSettledDelegations(job);
}

auto
Cell::ApplyReportedTask(Time aNow,
                        const TaskContext& aContext,
                        const DelegationReport::Task& aReport) -> void
{
  auto& job = *aContext.job;
  auto& task = *aContext.task;
  if (aReport.state == DelegatedTaskState::Held) {
    // The record must not get ahead of the delegation: a higher number of the
    // last run there tells a new owner that the task has come back.
    return;
  }
  if (aReport.lastRunNumber > task.lastRunNumber) {
    // It has run there since it waited here.
    task.waitingSince.reset();
  }
  task.failures = std::max(task.failures, aReport.failures);
  RestoreLosses(task, std::max(task.losses, aReport.losses));
  task.lastRunNumber = std::max(task.lastRunNumber, aReport.lastRunNumber);
  task.checkpoint = aReport.checkpoint;
  switch (aReport.state) {
    case DelegatedTaskState::Done:
      task.phase = TaskPhase::Done;
      this->MarkDirty(job, true);
      if (!IsFinal(job.state)) {
        this->EndTask(aNow, aContext);
      }
      return;
    case DelegatedTaskState::Failed:
      task.phase = TaskPhase::Failed;
      this->MarkDirty(job, true);
      if (!IsFinal(job.state)) {
        this->EndJob(aNow, job, JobState::Failed, StopReason::JobFailed);
      }
      return;
    case DelegatedTaskState::Returned:
      task.phase = TaskPhase::Open;
      aContext.step->Reopen(aReport.index);
      this->MarkDirty(job, false);
      this->planNeeded = true;
      return;
    default:
      return;
  }
}

// Whether no task of the delegation is for the other cell to run any more.
auto
Cell::IsSettled(const Job& aJob,
                std::uint64_t aNumber,
                const DelegatedTasks& aTasks) -> bool
{
  const auto occurrence = aJob.occurrences.find(aTasks.occurrence);
  if (occurrence == aJob.occurrences.end()) {
    return true;
  }
  const auto& tasks = occurrence->second.steps.at(aTasks.step).tasks;
  return std::all_of(
    aTasks.indices.begin(), aTasks.indices.end(), [&](std::uint32_t aIndex) {
      return tasks.at(aIndex).phase != TaskPhase::Elsewhere ||
             tasks.at(aIndex).delegation != aNumber;
    });
}

// The row is removed together with the next record of the job, which tells what
// became of the tasks.
auto
Cell::CloseSettledDelegations(Job& aJob) -> void
{
  for (auto& [number, tasks] : aJob.delegations) {
    if (!tasks.closed && IsSettled(aJob, number, tasks)) {
      tasks.closed = true;
      this->MarkDirty(aJob, true);
    }
  }
}

auto
Cell::RecallDelegations(Job& aJob) -> void
{
  for (auto& [number, tasks] : aJob.delegations) {
    if (!tasks.closed && !tasks.recalled) {
      tasks.recalled = true;
      tasks.dirty = true;
    }
  }
}

// A hosted job of this id and home cell; null if there is none. A job of an
// earlier life of the id that has no delegations any more is dropped.
auto
Cell::FindHostedJob(const std::string& aHome, const JobRow& aRow) -> Job*
{
  const auto found = this->jobs.find(aRow.id);
  if (found == this->jobs.end()) {
    return nullptr;
  }
  auto& job = *found->second;
  if (job.homeCell == aHome && job.row.acceptedUnixMs == aRow.acceptedUnixMs) {
    return &job;
  }
  if (job.IsHosted() && job.delegations.empty() && !HasRuns(job)) {
    this->activeJobs.erase(aRow.id);
    this->dirtyJobs.erase(aRow.id);
    this->jobs.erase(found);
  }
  return nullptr;
}

auto
Cell::AddHostedJob(const std::string& aHome, const JobRow& aRow) -> Job&
{
  auto owned = std::make_unique<Job>();
  auto& job = *owned;
  job.row = aRow;
  job.account = &this->accounts.At(aRow.account);
  job.homeCell = aHome;
  if (this->config) {
    if (const auto* queue = this->config->FindQueue(aRow.queue)) {
      job.row.policy = queue->policy;
    }
  }
  for (const auto& step : aRow.spec.steps) {
    job.stepImages.push_back(this->images.IdOf(step.image));
  }
  this->activeJobs.emplace(aRow.id, &job);
  this->jobs.emplace(aRow.id, std::move(owned));
  return job;
}

auto
Cell::AddHostedTasks(Time aNow,
                     std::int64_t aNowUnixMs,
                     Job& aJob,
                     const std::string& aHome,
                     const Delegation& aDelegation) -> void
{
  const auto& spec = aJob.Spec();
  const auto dueUnixMs =
    spec.IsTimed()
      ? spec.firstDueUnixMs + aDelegation.occurrence * spec.intervalMs
      : aJob.row.acceptedUnixMs;
  const auto age = std::clamp(Millis{ aNowUnixMs - dueUnixMs },
                              Millis{ 0 },
                              this->options.endedJobRetention);
  const auto [occurrence, added] =
    aJob.occurrences.try_emplace(aDelegation.occurrence);
  if (added) {
    occurrence->second = NewOccurrence(spec);
    occurrence->second.dueAt = aNow - age;
    for (auto& step : occurrence->second.steps) {
      for (auto& task : step.tasks) {
        task.phase = TaskPhase::Elsewhere;
      }
    }
    aJob.arrivedAt = occurrence->second.dueAt;
  }
  auto& entry = aJob.delegations[aDelegation.number];
  entry.peer = aHome;
  entry.occurrence = aDelegation.occurrence;
  entry.step = aDelegation.step;
  auto& progress = occurrence->second.steps.at(aDelegation.step);
  for (const auto& given : aDelegation.tasks) {
    auto& task = progress.tasks.at(given.index);
    entry.indices.push_back(given.index);
    task.phase = TaskPhase::Open;
    progress.Reopen(given.index);
    task.delegation = aDelegation.number;
    task.failures = given.failures;
    RestoreLosses(task, given.losses);
    task.lastRunNumber = std::max(task.lastRunNumber, given.lastRunNumber);
    task.checkpoint = given.checkpoint;
    task.waitingSince.reset();
    task.waitedAtHome = given.waited;
    this->CountEvent(CellEvent::TaskHosted);
  }
  this->planNeeded = true;
}

auto
Cell::OnDelegation(Time aNow,
                   std::int64_t aNowUnixMs,
                   const std::string& aHome,
                   const Delegation& aDelegation) -> void
{
  if (this->closedHosted.contains({ aHome, aDelegation.number })) {
    return;
  }
  auto* job = this->FindHostedJob(aHome, aDelegation.job);
  if (job == nullptr) {
    if (this->jobs.contains(aDelegation.job.id)) {
      // A job of this cell has this id: the home cell's job ended long ago.
      this->log.Write("delegation_refused",
                      { { "job", aDelegation.job.id.Text() },
                        { "home", aHome },
                        { "number", std::to_string(aDelegation.number) } });
      return;
    }
    job = &this->AddHostedJob(aHome, aDelegation.job);
  }
  const auto known = job->delegations.find(aDelegation.number);
  if (known == job->delegations.end()) {
    this->AddHostedTasks(aNow, aNowUnixMs, *job, aHome, aDelegation);
    if (this->log.IsSampled(job->Id())) {
      this->log.Write(
        "tasks_hosted",
        { { "step",
            ToText(StepName{
              job->Id(), aDelegation.occurrence, aDelegation.step }) },
          { "tasks", std::to_string(aDelegation.tasks.size()) },
          { "home", aHome },
          { "number", std::to_string(aDelegation.number) } });
    }
  }
  if (aDelegation.recalled) {
    this->ReturnTasks(aNow, *job, job->delegations.at(aDelegation.number));
  }
}

// Stops what runs; returns what does not.
auto
Cell::ReturnTasks(Time aNow, Job& aJob, DelegatedTasks& aTasks) -> void
{
  aTasks.recalled = true;
  for (const auto index : aTasks.indices) {
    const auto name =
      TaskName{ aJob.Id(), aTasks.occurrence, aTasks.step, index };
    const auto context = this->FindTask(name);
    this->StopRuns(aNow, name, *context.task, StopReason::Cancelled);
    this->ReturnIfRecalled(context);
  }
  this->MarkDirty(aJob, true);
}

auto
Cell::ReturnIfRecalled(const TaskContext& aContext) -> void
{
  auto& job = *aContext.job;
  auto& task = *aContext.task;
  if (!job.IsHosted() || task.phase != TaskPhase::Open || !task.runs.empty()) {
    return;
  }
  const auto entry = job.delegations.find(task.delegation);
  if (entry == job.delegations.end() || !entry->second.recalled) {
    return;
  }
  task.phase = TaskPhase::Elsewhere;
  this->CountEvent(CellEvent::TaskReturned);
  this->MarkDirty(job, true);
}

auto
Cell::ReturnWaitingTasks(Time aNow, const ReadyStep& aReady, std::size_t aHeld)
  -> void
{
  auto& job = *aReady.job;
  auto returned = std::size_t{ 0 };
  auto held = aHeld;
  auto& tasks = job.occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  const auto usualPatience = job.Spec().steps[aReady.step].longRunning
                               ? kLongRunningDelegationPatience
                               : kDelegationPatience;
  for (auto& task : tasks) {
    if (!task.IsOpen() || task.earliestStart > aNow) {
      continue;
    }
    if (!task.waitingSince) {
      task.waitingSince = aNow;
    }
    auto patience = usualPatience;
    if (held > 0 && task.IsOverdueAgain(aNow)) {
      --held;
      patience = kHeldTaskPatience;
    }
    if (aNow <= *task.waitingSince + patience) {
      this->nextPlanAt =
        std::min(this->nextPlanAt, *task.waitingSince + patience + Millis{ 1 });
      continue;
    }
    task.phase = TaskPhase::Elsewhere;
    task.waitingSince.reset();
    ++returned;
    this->CountEvent(CellEvent::TaskReturned);
  }
  if (returned == 0) {
    return;
  }
  if (this->log.IsSampled(job.Id())) {
    this->log.Write(
      "tasks_returned",
      { { "step",
          ToText(StepName{ job.Id(), aReady.occurrence, aReady.step }) },
        { "tasks", std::to_string(returned) },
        { "home", job.homeCell } });
  }
  this->MarkDirty(job, true);
}

auto
Cell::OnCancelElsewhere(Time aNow, const JobId& aJob) -> void
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end() || !found->second->IsHosted()) {
    return;
  }
  for (auto& [number, tasks] : found->second->delegations) {
    if (!tasks.recalled && !tasks.closed) {
      this->ReturnTasks(aNow, *found->second, tasks);
    }
  }
}

auto
Cell::OnDelegationClosed(Time aNow,
                         const std::string& aHome,
                         std::uint64_t aNumber) -> void
{
  std::erase_if(this->closedHosted,
                [aNow](const auto& aItem) { return aNow > aItem.second; });
  for (const auto& [id, job] : this->activeJobs) {
    if (job->homeCell == aHome && job->delegations.contains(aNumber)) {
      this->CloseHostedTasks(aNow, *job, aNumber);
      return;
    }
  }
  this->closedHosted[{ aHome, aNumber }] = aNow + kClosedDelegationRetention;
}

auto
Cell::OnAllDelegations(Time aNow,
                       const std::string& aHome,
                       const std::set<std::uint64_t>& aNumbers) -> void
{
  for (const auto& [id, job] : this->activeJobs) {
    if (job->homeCell != aHome) {
      continue;
    }
    for (const auto& [number, tasks] : job->delegations) {
      if (!tasks.closed && !aNumbers.contains(number)) {
        this->CloseHostedTasks(aNow, *job, number);
      }
    }
  }
}

// The home cell has recorded what became of the tasks, so none of them has a
// run here. The report is removed with the next batch.
auto
Cell::CloseHostedTasks(Time aNow, Job& aJob, std::uint64_t aNumber) -> void
{
  this->closedHosted[{ aJob.homeCell, aNumber }] =
    aNow + kClosedDelegationRetention;
  auto& tasks = aJob.delegations.at(aNumber);
  tasks.closed = true;
  this->ReturnTasks(aNow, aJob, tasks);
}

auto
Cell::MakeDelegation(const Job& aJob,
                     std::uint64_t aNumber,
                     const DelegatedTasks& aTasks) const -> Delegation
{
  auto delegation =
    Delegation{ aNumber, aJob.row, aTasks.occurrence, aTasks.step };
  delegation.recalled = aTasks.recalled;
  const auto& tasks =
    aJob.occurrences.at(aTasks.occurrence).steps.at(aTasks.step).tasks;
  for (const auto index : aTasks.indices) {
    const auto& task = tasks.at(index);
    delegation.tasks.push_back({ index,
                                 task.failures,
                                 task.lastRunNumber,
                                 task.checkpoint,
                                 std::clamp(task.WaitedUntil(this->lastPlanAt),
                                            Millis{ 0 },
                                            kMaxDelegatedWait),
                                 task.losses });
  }
  return delegation;
}

auto
Cell::MakeReport(const Job& aJob,
                 std::uint64_t aNumber,
                 const DelegatedTasks& aTasks) -> DelegationReport
{
  auto report = DelegationReport{ aNumber, aJob.Id() };
  report.started = aJob.state != JobState::Queued;
  const auto& tasks =
    aJob.occurrences.at(aTasks.occurrence).steps.at(aTasks.step).tasks;
  for (const auto index : aTasks.indices) {
    const auto& task = tasks.at(index);
    auto& reported = report.tasks.emplace_back();
    reported.index = index;
    // A later delegation may have brought the task here again; then this one is
    // settled.
    reported.state =
      task.delegation != aNumber || task.phase == TaskPhase::Elsewhere
        ? DelegatedTaskState::Returned
      : task.phase == TaskPhase::Done   ? DelegatedTaskState::Done
      : task.phase == TaskPhase::Failed ? DelegatedTaskState::Failed
                                        : DelegatedTaskState::Held;
    reported.failures = task.failures;
    reported.lastRunNumber = task.lastRunNumber;
    reported.checkpoint = task.checkpoint;
    reported.losses = task.losses;
    if (task.delegation == aNumber) {
      reported.runs = MakeRunRecords(task);
    }
  }
  return report;
}

// Adds the rows that have changed. The record of the job is in the same batch
// or in an earlier one, so that no row is removed before the record tells what
// became of its tasks. Rows for which there is no place go with a later batch.
auto
Cell::AddDelegationRows(Job& aJob,
                        RecordBatch& aBatch,
                        BatchContents& aContents) -> void
{
  const auto kind = aJob.IsHosted() ? DelegationKey::Kind::Report
                                    : DelegationKey::Kind::Delegation;
  for (auto& [number, tasks] : aJob.delegations) {
    if ((tasks.closed || tasks.dirty) &&
        (EntriesOf(aBatch) >= kMaxRowsPerCommit ||
         BytesOf(aBatch) >= kMaxBytesPerCommit)) {
      aContents.unfinishedJobs.push_back(aJob.Id());
      return;
    }
    const auto key = KeyOf(kind, tasks.peer, number);
    if (tasks.closed) {
      aBatch.delegationRemovals.push_back(key);
      aContents.closedDelegations.emplace_back(aJob.Id(), number);
    } else if (tasks.dirty) {
      tasks.dirty = false;
      aBatch.delegationPuts.emplace_back(
        key,
        aJob.IsHosted()
          ? EncodeWithinRow(MakeReport(aJob, number, tasks),
                            EncodeDelegationReport)
          : EncodeWithinRow(this->MakeDelegation(aJob, number, tasks),
                            EncodeDelegation));
      aContents.delegations.emplace_back(aJob.Id(), number);
    }
  }
}

auto
Cell::AddReportRemovals(RecordBatch& aBatch, BatchContents& aContents) -> void
{
  while (!this->staleReports.empty() &&
         EntriesOf(aBatch) < kMaxRecordsPerCommit) {
    const auto first = this->staleReports.begin();
    aBatch.delegationRemovals.push_back(*first);
    aContents.removedReports.push_back(*first);
    this->staleReports.erase(first);
  }
}

auto
Cell::OnDelegationsRecorded(const BatchContents& aContents) -> void
{
  for (const auto& [id, number] : aContents.closedDelegations) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
      continue;
    }
    auto& job = *found->second;
    job.delegations.erase(number);
    if (job.IsHosted()) {
      this->endedJobs.emplace(this->lastPlanAt, id);
    }
  }
}

auto
Cell::RestoreHostedTasks(Job& aJob,
                         const DelegatedTasks& aTasks,
                         const DelegationReport& aReport) -> void
{
  if (aReport.started) {
    aJob.state = JobState::Running;
  }
  for (const auto& reported : aReport.tasks) {
    const auto name =
      TaskName{ aJob.Id(), aTasks.occurrence, aTasks.step, reported.index };
    const auto context = this->FindTask(name);
    if (context.task == nullptr || context.task->delegation != aReport.number) {
      continue;
    }
    auto& task = *context.task;
    task.failures = reported.failures;
    RestoreLosses(task, reported.losses);
    task.lastRunNumber = reported.lastRunNumber;
    task.checkpoint = reported.checkpoint;
    task.phase =
      reported.state == DelegatedTaskState::Done       ? TaskPhase::Done
      : reported.state == DelegatedTaskState::Failed   ? TaskPhase::Failed
      : reported.state == DelegatedTaskState::Returned ? TaskPhase::Elsewhere
                                                       : TaskPhase::Open;
    context.step->Reopen(reported.index);
    for (const auto& run : reported.runs) {
      this->RestoreRun(context, name, run);
    }
  }
}

auto
Cell::RestoreDelegations(const CellTakeover& aTakeover) -> void
{
  // In the order of their numbers: the last delegation of a task counts.
  auto delegated = aTakeover.delegated;
  std::sort(delegated.begin(), delegated.end(), IsOlder);
  for (const auto& [host, row] : delegated) {
    const auto found = this->jobs.find(row.job.id);
    if (found == this->jobs.end() ||
        found->second->row.acceptedUnixMs != row.job.acceptedUnixMs) {
      this->log.Write("delegation_unknown",
                      { { "job", row.job.id.Text() },
                        { "host", host },
                        { "number", std::to_string(row.number) } });
      continue;
    }
    auto& job = *found->second;
    const auto [occurrence, added] =
      job.occurrences.try_emplace(row.occurrence);
    if (added) {
      occurrence->second = NewOccurrence(job.Spec());
      occurrence->second.dueAt = this->takeoverAt;
    }
    auto& entry = job.delegations[row.number];
    entry.peer = host;
    entry.occurrence = row.occurrence;
    entry.step = row.step;
    entry.recalled = row.recalled;
    auto& tasks = occurrence->second.steps.at(row.step).tasks;
    for (const auto& given : row.tasks) {
      auto& task = tasks.at(given.index);
      entry.indices.push_back(given.index);
      // A task that was started here since had come back before.
      if (task.phase == TaskPhase::Done || task.phase == TaskPhase::Failed ||
          task.lastRunNumber > given.lastRunNumber) {
        continue;
      }
      task.phase = TaskPhase::Elsewhere;
      task.delegation = row.number;
    }
    if (IsFinal(job.state)) {
      this->RecallDelegations(job);
      this->MarkDirty(job, true);
    }
  }
  for (const auto& [host, report] : aTakeover.reports) {
    this->OnDelegationReport(this->takeoverAt, host, report);
  }
  for (const auto& [id, job] : this->jobs) {
    this->CloseSettledDelegations(*job);
  }
  auto reports =
    std::map<std::pair<std::string, std::uint64_t>, const DelegationReport*>{};
  for (const auto& [home, report] : aTakeover.ownReports) {
    reports[{ home, report.number }] = &report;
  }
  auto hosted = aTakeover.hosted;
  std::sort(hosted.begin(), hosted.end(), IsOlder);
  for (const auto& [home, row] : hosted) {
    auto kept = row;
    kept.recalled = false;
    this->OnDelegation(this->takeoverAt, aTakeover.nowUnixMs, home, kept);
    auto* const job = this->FindHostedJob(home, row.job);
    const auto report = reports.find({ home, row.number });
    if (job != nullptr && report != reports.end()) {
      this->RestoreHostedTasks(
        *job, job->delegations.at(row.number), *report->second);
      reports.erase(report);
    }
    // A recall takes effect on the runs that the report names.
    this->OnDelegation(this->takeoverAt, aTakeover.nowUnixMs, home, row);
  }
  // Their home cells have closed these.
  for (const auto& [item, report] : reports) {
    this->staleReports.insert(
      KeyOf(DelegationKey::Kind::Report, item.first, item.second));
    this->closedHosted[item] = this->takeoverAt + kClosedDelegationRetention;
  }
}

} // namespace gooseberry::cells
