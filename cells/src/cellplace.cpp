// Placement in a cell: which task starts next, and where.

#include <algorithm>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

auto
Cell::PlanStarts(Time aNow) -> void
{
  for (const auto& ready : this->ReadySteps(aNow)) {
    this->PlanStep(aNow, ready);
  }
}

auto
Cell::ReadySteps(Time aNow) -> std::vector<ReadyStep>
{
  auto ready = std::vector<ReadyStep>{};
  for (auto& [id, job] : this->activeJobs) {
    for (auto& [number, occurrence] : job->occurrences) {
      if (occurrence.openSteps == 0) {
        continue;
      }
      for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
           ++step) {
        const auto& spec = job->Spec().steps[step];
        const auto blocked =
          occurrence.steps[step].AllDone() ||
          std::any_of(
            spec.after.begin(), spec.after.end(), [&](auto aEarlier) {
              return !occurrence.steps[aEarlier].AllDone();
            });
        if (!blocked) {
          ready.push_back({ job,
                            number,
                            step,
                            job->row.policy.priority,
                            job->objective });
        }
      }
    }
  }
  std::sort(ready.begin(),
            ready.end(),
            [aNow](const ReadyStep& aLeft, const ReadyStep& aRight) {
              const auto rank = [aNow](const ReadyStep& aStep) {
                return std::tuple{ aStep.priority,
                                   aStep.order < aNow,
                                   aStep.order };
              };
              return rank(aLeft) < rank(aRight);
            });
  return ready;
}

auto
Cell::PlanStep(Time aNow, const ReadyStep& aReady) -> void
{
  auto& job = *aReady.job;
  const auto& spec = job.Spec().steps[aReady.step];
  auto& tasks = job.occurrences.at(aReady.occurrence).steps[aReady.step].tasks;
  auto placed = std::map<const WorkerSlot*, std::uint32_t>{};
  for (const auto& task : tasks) {
    for (const auto& run : task.runs) {
      ++placed[run.worker];
    }
  }
  for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
    auto& task = tasks[index];
    if (task.phase != TaskPhase::Open || !task.runs.empty()) {
      continue;
    }
    if (task.notBefore > aNow) {
      this->planAgain = std::min(this->planAgain, task.notBefore);
      continue;
    }
    if (!task.waitingSince) {
      task.waitingSince = aNow;
    }
    const auto least = aNow > *task.waitingSince + kPoorPaceAfter ? kPoorPace
                                                                  : kGoodPace;
    auto* const slot = this->PickWorker(aNow, job, spec, placed, least);
    if (slot == nullptr) {
      if (spec.fillsIdle) {
        this->planAgain = std::min(this->planAgain, aNow + kPlanAgain);
      }
      return;
    }
    task.waitingSince.reset();
    this->PlanRun(aNow, { job.Id(), aReady.occurrence, aReady.step, index },
                  *slot);
    ++placed[slot];
  }
}

auto
Cell::MayTake(Time aNow, const WorkerSlot& aSlot, const Job& aJob) const -> bool
{
  return aSlot.listed && aSlot.reconciled && !aSlot.silent &&
         !aSlot.entry.leaving &&
         aSlot.entry.service == aJob.row.policy.service &&
         !this->evacuated.contains(aSlot.entry.domain) &&
         aNow >= aSlot.avoidUntil &&
         (aSlot.guardsCapacity || aSlot.orphans.empty());
}

auto
Cell::PickWorker(Time aNow,
                 const Job& aJob,
                 const StepSpec& aStep,
                 const std::map<const WorkerSlot*, std::uint32_t>& aPlaced,
                 double aLeastPace) -> WorkerSlot*
{
  WorkerSlot* best = nullptr;
  auto bestScore = 0.0;
  for (auto& [id, slot] : this->workers) {
    if (!this->MayTake(aNow, slot, aJob)) {
      continue;
    }
    if (!aStep.neededLabel.empty() && !slot.entry.HasLabel(aStep.neededLabel)) {
      continue;
    }
    const auto here = aPlaced.find(&slot);
    if (aStep.maxPerWorker > 0 && here != aPlaced.end() &&
        here->second >= aStep.maxPerWorker) {
      continue;
    }
    auto need = aStep.size;
    const auto room = slot.Room();
    const auto idle = slot.IdleCpu();
    if (aStep.fillsIdle) {
      need.cpuMillis = 0;
    }
    if (!need.FitsIn(room) ||
        (aStep.fillsIdle && idle < aStep.size.cpuMillis)) {
      continue;
    }
    auto pace = 1.0;
    if (aStep.fillsIdle && !slot.serving.empty()) {
      if (slot.sufferingSince || aNow < slot.restUntil ||
          !this->ProbesAllowed(aNow, slot, aStep)) {
        continue;
      }
      pace = this->PaceFor(aNow, slot, aStep, slot.slack);
      if (pace < aLeastPace) {
        continue;
      }
    }
    const auto score = this->Score(slot, aStep, idle, pace);
    if (best == nullptr || score > bestScore) {
      best = &slot;
      bestScore = score;
    }
  }
  return best;
}

// Lasting tasks are packed, equal images together, so that other workers stay
// free of them. Tasks that fill idle processors go where nobody minds them.
auto
Cell::Score(const WorkerSlot& aSlot,
            const StepSpec& aStep,
            std::int64_t aIdleCpu,
            double aPace) const -> double
{
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aSlot.entry.capacity.cpuMillis, 1));
  const auto idle = static_cast<double>(aIdleCpu) / capacity;
  auto score = idle;
  if (aStep.lasting) {
    // Alone with its image, else on a worker of its own, else mixed.
    constexpr double kSameImage = 3.0;
    constexpr double kFree = 1.5;
    const auto same = aSlot.serving.contains(aStep.image);
    score = -idle;
    score += aSlot.serving.empty()                      ? kFree
             : same && aSlot.serving.size() == 1        ? kSameImage
             : same                                     ? 1.0
                                                        : 0.0;
  } else if (aStep.fillsIdle) {
    constexpr double kPaceWeight = 3.0;
    score += kPaceWeight * aPace;
    score += aSlot.serving.empty() ? 1.0 : 0.0;
  } else if (!aSlot.serving.empty()) {
    score += 1.0;
  }
  if (!aStep.dataRack.empty() && aSlot.entry.HasLabel(aStep.dataRack)) {
    constexpr double kNearData = 10.0;
    score += kNearData;
  }
  return score;
}

// Beside an image that it was not seen beside, an image is tried with a few
// runs first.
auto
Cell::ProbesAllowed(Time aNow,
                    const WorkerSlot& aSlot,
                    const StepSpec& aStep) const -> bool
{
  for (const auto& [image, tasks] : aSlot.serving) {
    if (this->disturbance.Between(aNow, image, aStep.image).variance <
        kProbeVariance) {
      continue;
    }
    auto probes = 0;
    for (const auto& [id, slot] : this->workers) {
      const auto there = slot.filling.find(aStep.image);
      if (there != slot.filling.end() && slot.serving.contains(image)) {
        probes += there->second;
      }
    }
    if (probes >= kProbes) {
      return false;
    }
  }
  return true;
}

auto
Cell::PlanRun(Time aNow, const TaskName& aName, WorkerSlot& aSlot) -> void
{
  const auto place = this->Find(aName);
  auto& task = *place.task;
  auto run = Run{};
  run.number = ++task.lastRun;
  run.worker = &aSlot;
  run.bornUnixMs = aSlot.entry.bornUnixMs;
  run.since = aNow;
  run.checkpoint = task.checkpoint;
  task.runs.push_back(run);
  aSlot.Attach({ aName, run.number }, *place.spec);
  if (place.spec->fillsIdle) {
    this->TakeSlack(aNow, aSlot, *place.spec);
  }
  auto& job = *place.job;
  if (job.state == JobState::Queued) {
    job.state = JobState::Running;
    if (!job.Spec().Timed()) {
      --this->pending[job.row.queue];
    }
  }
  this->Touch(job, true);
  if (this->log.Follows(aName.job)) {
    this->log.Write("run_planned",
                    { { "task", ToText(aName) },
                      { "run", std::to_string(run.number) },
                      { "worker", aSlot.entry.id.text },
                      { "room_cpu", std::to_string(aSlot.Room().cpuMillis) },
                      { "idle_cpu", std::to_string(aSlot.IdleCpu()) },
                    { "serving", std::to_string(aSlot.serving.size()) } });
  }
}

} // namespace gooseberry::cells
