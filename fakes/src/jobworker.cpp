#include "jobworker.h"

#include <algorithm>

namespace gooseberry::fakes {

using cells::CallKind;
using cells::CallOutcome;

namespace {

constexpr std::int64_t kWhole = 1000;
constexpr double kPercent = 100.0;
constexpr std::size_t kMostEnds = 500;

} // namespace

JobWorker::JobWorker(cells::WorkerEntry aEntry,
                     JobWorkerOptions aOptions,
                     Time aBorn,
                     Plan aPlan,
                     Sink aSink)
  : entry(std::move(aEntry))
  , options(aOptions)
  , born(aBorn)
  , plan(std::move(aPlan))
  , sink(std::move(aSink))
  , last(aBorn)
{
}

auto
JobWorker::ClockMs(Time aNow) const -> std::int64_t
{
  const auto lived = std::chrono::floor<Millis>(aNow - this->born).count();
  return this->options.firstClock.count() +
         lived * this->options.clockRate / kWhole;
}

auto
JobWorker::Entry(Time aNow) const -> cells::WorkerEntry
{
  auto told = this->entry;
  told.clockMs = this->ClockMs(aNow);
  return told;
}

auto
JobWorker::SetLeaving(bool aLeaving) -> void
{
  this->entry.leaving = aLeaving;
}

auto
JobWorker::SetFailing(bool aFailing) -> void
{
  this->failing = aFailing;
}

auto
JobWorker::SetSlowness(double aTimes) -> void
{
  this->slowness = aTimes;
}

auto
JobWorker::HasCrashed() const -> bool
{
  return this->crashed;
}

auto
JobWorker::Running() const -> std::size_t
{
  return this->running.size();
}

auto
JobWorker::Runs(const TaskName& aTask) const -> bool
{
  return std::any_of(
    this->running.begin(), this->running.end(), [&](const auto& aItem) {
      return aItem.first.task == aTask;
    });
}

auto
JobWorker::StaleOrders() const -> std::size_t
{
  return this->staleOrders;
}

auto
JobWorker::RepeatedStarts() const -> std::size_t
{
  return this->repeatedStarts;
}

auto
JobWorker::Room() const -> Resources
{
  auto room = this->entry.capacity;
  for (const auto& [key, run] : this->running) {
    auto size = run.plan.size;
    if (run.plan.fillsIdle) {
      size.cpuMillis = 0;
    }
    room -= size;
  }
  return room;
}

auto
JobWorker::CheckpointOf(const LiveRun& aRunning) const -> std::string
{
  if (!aRunning.plan.checkpoints) {
    return {};
  }
  const auto every = static_cast<double>(this->options.checkpointEvery.count());
  const auto saved = static_cast<std::int64_t>(aRunning.worked / every);
  return saved == 0 ? std::string{} : std::to_string(saved);
}

auto
JobWorker::Advance(Time aNow) -> void
{
  const auto elapsed =
    std::chrono::duration<double, std::milli>(aNow - this->last).count();
  this->last = aNow;
  auto ended = std::vector<std::pair<RunKey, RunOutcome>>{};
  for (auto& [key, run] : this->running) {
    if (this->slowness > 0.0) {
      run.worked += elapsed / this->slowness * run.pace / kPercent;
    }
    const auto over =
      run.worked >= static_cast<double>(run.plan.duration.count());
    if (run.plan.crashes && over && !this->crashed) {
      this->crashed = true;
      auto event =
        JobEvent{ JobEventKind::Crash, aNow, this->entry.id, key.task };
      event.run = key.run;
      this->sink(event);
    }
    if (run.stopAt && aNow >= *run.stopAt) {
      ended.emplace_back(key, RunOutcome::Stopped);
    } else if (!run.plan.lasting || run.plan.fails) {
      if (over && !run.plan.crashes) {
        ended.emplace_back(
          key, run.plan.fails ? RunOutcome::Failed : RunOutcome::Done);
      }
    }
  }
  for (const auto& [key, how] : ended) {
    this->Finish(aNow, key, how);
  }
  this->Lapse(aNow);
}

auto
JobWorker::Lapse(Time aNow) -> void
{
  if (this->ClockMs(aNow) <= this->leaseEndMs) {
    return;
  }
  this->lapsedUpTo = this->lastEnd;
  const auto all = this->running;
  for (const auto& [key, run] : all) {
    this->Finish(aNow, key, RunOutcome::LeaseExpired);
  }
}

auto
JobWorker::Finish(Time aNow, const RunKey& aKey, RunOutcome aHow) -> void
{
  const auto found = this->running.find(aKey);
  auto event = JobEvent{ JobEventKind::End, aNow, this->entry.id, aKey.task };
  event.run = aKey.run;
  event.how = aHow;
  event.checkpoint = this->CheckpointOf(found->second);
  this->running.erase(found);
  auto& passedRun = this->passed[aKey.task];
  passedRun = std::max(passedRun, aKey.run);
  this->ends.push_back(
    { ++this->lastEnd, aKey.task, aKey.run, aHow, event.checkpoint });
  this->sink(event);
}

auto
JobWorker::Die(Time aNow) -> void
{
  auto event = JobEvent{ JobEventKind::Gone, aNow, this->entry.id };
  this->running.clear();
  this->sink(event);
}

auto
JobWorker::Handle(Time aNow, const WorkerCall& aCall, bool aMayWait)
  -> std::optional<WorkerAnswer>
{
  this->Advance(aNow);
  auto answer = WorkerAnswer{ aCall.number };
  answer.clockMs = this->ClockMs(aNow);
  if (aCall.worker != this->entry.id) {
    answer.outcome = CallOutcome::WorkerRestarted;
    return answer;
  }
  if (aCall.fencingToken < this->token) {
    this->staleOrders += aCall.kind == CallKind::Renew ? 0 : 1;
    answer.outcome = CallOutcome::Fenced;
    return answer;
  }
  this->token = aCall.fencingToken;
  switch (aCall.kind) {
    case CallKind::Start:
      answer.outcome = this->Start(aNow, aCall);
      return answer;
    case CallKind::Stop:
      answer.outcome = this->Stop(aNow, aCall);
      return answer;
    case CallKind::Pace: {
      const auto found = this->running.find({ aCall.task, aCall.runNumber });
      answer.outcome = found == this->running.end() ? CallOutcome::Superseded
                                                    : CallOutcome::Done;
      if (found != this->running.end()) {
        found->second.pace = aCall.pacePercent;
      }
      return answer;
    }
    default:
      answer = this->Report(aNow, aCall);
      if (aMayWait && answer.ended.empty()) {
        return std::nullopt;
      }
      return answer;
  }
}

auto
JobWorker::Start(Time aNow, const WorkerCall& aCall) -> CallOutcome
{
  const auto clock = this->ClockMs(aNow);
  const auto key = RunKey{ aCall.task, aCall.runNumber };
  if (clock > aCall.leaseEndMs) {
    return CallOutcome::LeaseExpired;
  }
  const auto most =
    std::min(aCall.leaseEndMs, clock + this->options.leaseMax.count());
  this->leaseEndMs = std::max(this->leaseEndMs, most);
  if (this->running.contains(key)) {
    ++this->repeatedStarts;
    return CallOutcome::Done;
  }
  const auto before = this->passed.find(aCall.task);
  if (before != this->passed.end() && aCall.runNumber <= before->second) {
    return CallOutcome::Superseded;
  }
  auto work = this->plan(aCall.task, aCall.runNumber);
  if (this->failing) {
    work.fails = true;
    work.duration = Millis{ 50 };
  }
  auto need = work.size;
  if (work.fillsIdle) {
    need.cpuMillis = 0;
  }
  if (this->options.guardsCapacity && !need.FitsIn(this->Room())) {
    return CallOutcome::NoRoom;
  }
  auto run = LiveRun{ work };
  if (!aCall.checkpoint.empty()) {
    run.worked = std::stod(aCall.checkpoint) *
                 static_cast<double>(this->options.checkpointEvery.count());
  }
  this->running.emplace(key, run);
  auto event =
    JobEvent{ JobEventKind::Start, aNow, this->entry.id, aCall.task };
  event.run = aCall.runNumber;
  event.payload = aCall.payload;
  event.checkpoint = aCall.checkpoint;
  event.fencingToken = aCall.fencingToken;
  this->sink(event);
  return CallOutcome::Done;
}

auto
JobWorker::Stop(Time aNow, const WorkerCall& aCall) -> CallOutcome
{
  auto& passedRun = this->passed[aCall.task];
  passedRun = std::max(passedRun, aCall.runNumber);
  for (auto& [key, run] : this->running) {
    if (key.task == aCall.task && key.run <= aCall.runNumber && !run.stopAt) {
      run.stopAt = aNow + this->options.stopTakes;
    }
  }
  return CallOutcome::Done;
}

auto
JobWorker::Report(Time aNow, const WorkerCall& aCall) -> WorkerAnswer
{
  auto answer = WorkerAnswer{ aCall.number };
  answer.outcome = CallOutcome::Done;
  const auto clock = this->ClockMs(aNow);
  answer.clockMs = clock;
  answer.workerStartUnixMs = this->entry.startUnixMs;
  if (aCall.leaseEndMs > 0) {
    const auto most =
      std::min(aCall.leaseEndMs, clock + this->options.leaseMax.count());
    this->leaseEndMs = std::max(this->leaseEndMs, most);
  }
  if (aCall.lastRecordedEnd > std::max(this->lastListed, this->lastEarlyNote)) {
    this->lastEarlyNote = aCall.lastRecordedEnd;
    this->sink({ JobEventKind::EarlyNote, aNow, this->entry.id });
  }
  for (const auto& end : this->ends) {
    if (end.number > this->noted && end.number <= aCall.lastRecordedEnd) {
      auto event =
        JobEvent{ JobEventKind::Noted, aNow, this->entry.id, end.task };
      event.run = end.runNumber;
      event.how = end.outcome;
      event.lapsedBetween = end.number <= this->lapsedUpTo;
      this->sink(event);
    }
  }
  this->noted = std::max(this->noted, aCall.lastRecordedEnd);
  std::erase_if(this->ends, [this](const EndReport& aEnd) {
    return aEnd.number <= this->noted;
  });
  for (const auto& [key, run] : this->running) {
    auto report = cells::RunReport{ key.task, key.run };
    report.checkpoint = this->CheckpointOf(run);
    report.percent =
      run.plan.lasting
        ? kPercent
        : std::min(kPercent,
                   kPercent * run.worked /
                     std::max<double>(
                       1.0, static_cast<double>(run.plan.duration.count())));
    report.tailMsOrCpuMillis = run.plan.lasting
                                 ? run.plan.tailMs
                                 : static_cast<double>(run.plan.size.cpuMillis);
    answer.running.push_back(report);
  }
  const auto listed = std::min(this->ends.size(), kMostEnds);
  answer.ended.assign(this->ends.begin(),
                      this->ends.begin() + static_cast<std::ptrdiff_t>(listed));
  if (!answer.ended.empty()) {
    this->lastListed = std::max(this->lastListed, answer.ended.back().number);
  }
  return answer;
}

} // namespace gooseberry::fakes
