// Interference between tasks on one worker: best-effort tasks raise the tails
// of serving tasks, which answer users. Which images interfere with which is
// learned from the reported tails. Best-effort tasks are slowed down, paused or
// moved so that the tails stay below their targets.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// The part of the time from aFrom to aTo that lies between aBegin and aEnd,
// from 0 to 1.
auto
Overlap(Time aFrom, Time aTo, Time aBegin, Time aEnd) -> double
{
  const auto begin = std::max(aFrom, aBegin);
  const auto end = std::min(aTo, aEnd);
  if (end <= begin || aTo <= aFrom) {
    return 0.0;
  }
  return std::chrono::duration<double>(end - begin) /
         std::chrono::duration<double>(aTo - aFrom);
}

} // namespace

// Reported tails are smoothed exponentially. Computes the tail since the last
// report from the difference to that report.
auto
Cell::NoteTail(Time aNow, const WorkerSlot& aSlot, Run& aRun, double aMeasured)
  -> void
{
  const auto elapsed = Millis{ aSlot.reportedMs - aRun.measuredMs };
  if (aRun.measuredMs != 0 && elapsed < kTailSpan) {
    return;
  }
  if (aRun.measuredMs == 0) {
    aRun.tailNow = aMeasured;
    aRun.tailError = kTailError;
    aRun.measuredBefore = aRun.startedAt;
  } else {
    const auto kept = std::exp2(-std::chrono::duration<double>(elapsed) /
                                std::chrono::duration<double>(kTailHalfLife));
    aRun.tailNow =
      std::max(0.0, (aMeasured - kept * aRun.smoothed) / (1.0 - kept));
    aRun.tailError = kTailError * (1.0 + kept) / (1.0 - kept);
    aRun.measuredBefore = aRun.measuredAt;
  }
  aRun.smoothed = aMeasured;
  aRun.measuredMs = aSlot.reportedMs;
  aRun.measuredAt = aNow;
}

auto
Cell::UnloadedTail(const StepSpec& aStep, ImageId aImage) const -> double
{
  const auto floor = this->tailFloors.find(aImage);
  const auto target = static_cast<double>(aStep.tailTarget.count());
  return floor == this->tailFloors.end() ? target / kTargetUnits
                                         : floor->second * kFloorPart;
}

auto
Cell::LoadOf(Time aNow, const Job& aJob) const -> double
{
  return aJob.load.At(aNow).mean;
}

// Mean shares of the worker's processors that best-effort runs have used since
// aSince.
auto
Cell::BesideSince(Time aNow,
                  const WorkerSlot& aSlot,
                  const std::vector<Fill>& aBestEffortRuns,
                  Time aSince) -> std::vector<Beside>
{
  auto neighbours = std::vector<Beside>{};
  for (const auto& ended : aSlot.goneFills) {
    neighbours.push_back(
      { ended.image,
        ended.share * Overlap(aSince, aNow, ended.from, ended.to) });
  }
  for (const auto& bestEffortRun : aBestEffortRuns) {
    const auto from =
      std::max(bestEffortRun.run->startedAt, bestEffortRun.run->pacedAt);
    neighbours.push_back({ bestEffortRun.image,
                           bestEffortRun.share * bestEffortRun.run->pace /
                             kFullPace * Overlap(aSince, aNow, from, aNow) });
  }
  return neighbours;
}

// Updates two estimates by each reported tail: the load of the job, given the
// expected pressure of the neighbours, and the pressure of the neighbours,
// given the load. The variance of the one enters that of the other.
auto
Cell::LearnFrom(Time aNow, WorkerSlot& aSlot) -> void
{
  std::erase_if(aSlot.goneFills, [aNow](const auto& aBestEffortRun) {
    return aNow > aBestEffortRun.to + kRenewPatience + kRenewTimeout;
  });
  const auto bestEffortRuns = this->FillsOn(aSlot);
  if (std::any_of(bestEffortRuns.begin(),
                  bestEffortRuns.end(),
                  [](const Fill& aBestEffortRun) {
                    return aBestEffortRun.run->paceUnsure;
                  })) {
    // The share of the processors that they use is not known.
    return;
  }
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindActive(ref);
    if (run == nullptr || context.spec->tailTarget.count() == 0 ||
        run->phase != RunPhase::Running || run->measuredAt != aNow ||
        run->percent < kReadyPercent || run->tailNow <= 0.0) {
      continue;
    }
    const auto neighbours =
      BesideSince(aNow, aSlot, bestEffortRuns, run->measuredBefore);
    const auto expected =
      this->disturbance.Sum(aNow, context.image, neighbours);
    if (std::sqrt(expected.variance) + expected.mean < kCertainPressure) {
      // Uses the smoothed tail: the tail computed from two reports may be too
      // low.
      const auto [floor, added] =
        this->tailFloors.try_emplace(context.image, run->smoothed);
      floor->second = std::min(floor->second, run->smoothed);
    }
    auto& load = context.job->load;
    const auto priorLoad = load.At(aNow);
    const auto relativeTail = std::max(
      1.0, run->tailNow / this->UnloadedTail(*context.spec, context.image));
    const auto expectedSlowdown = 1.0 + expected.mean;
    const auto loadError = run->tailError / relativeTail;
    load = load.Observed(aNow,
                         LoadFrom(relativeTail, expected.mean),
                         loadError * loadError +
                           expected.variance /
                             (expectedSlowdown * expectedSlowdown *
                              expectedSlowdown * expectedSlowdown));
    if (neighbours.empty()) {
      continue;
    }
    const auto observedSlowdown =
      1.0 + PressureFrom(relativeTail, priorLoad.mean);
    // The errors of the tail and of the load, propagated to the pressure.
    const auto denominator = 1.0 + priorLoad.mean * relativeTail;
    const auto pressureDeviation =
      run->tailError * relativeTail / (denominator * denominator);
    const auto loadSlope = observedSlowdown * observedSlowdown;
    this->disturbance.Observe(aNow,
                              context.image,
                              neighbours,
                              observedSlowdown - 1.0,
                              kPressureError +
                                pressureDeviation * pressureDeviation +
                                loadSlope * loadSlope * priorLoad.variance);
  }
}

auto
Cell::FillsOn(const WorkerSlot& aSlot) -> std::vector<Fill>
{
  auto bestEffortRuns = std::vector<Fill>{};
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aSlot.entry.capacity.cpuMillis, 1));
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindActive(ref);
    if (run == nullptr || !context.spec->fillsIdle ||
        run->phase == RunPhase::Stopping) {
      continue;
    }
    auto cpu = static_cast<double>(context.spec->size.cpuMillis);
    if (run->pace == kFullPace && run->measured > 0.0) {
      cpu = std::min(cpu, run->measured);
    }
    bestEffortRuns.push_back(
      { ref, run, context.spec, context.image, cpu / capacity, 0.0 });
  }
  return bestEffortRuns;
}

auto
Cell::SlackOn(Time aNow, const WorkerSlot& aSlot) -> std::map<ImageId, double>
{
  auto slack = std::map<ImageId, double>{};
  if (aSlot.serving.empty()) {
    return slack;
  }
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindActive(ref);
    if (run == nullptr || context.spec->tailTarget.count() == 0) {
      continue;
    }
    const auto limit = kTailLimit *
                       static_cast<double>(context.spec->tailTarget.count()) /
                       this->UnloadedTail(*context.spec, context.image);
    const auto tolerated =
      MostPressure(limit, this->LoadOf(aNow, *context.job) + kLoadGrowth);
    const auto [item, added] = slack.try_emplace(context.image, tolerated);
    item->second = std::min(item->second, tolerated);
  }
  return slack;
}

auto
Cell::TakeSlack(Time aNow,
                WorkerSlot& aSlot,
                const StepSpec& aStep,
                ImageId aImage) const -> void
{
  const auto share = static_cast<double>(aStep.size.cpuMillis) /
                     static_cast<double>(std::max<std::int64_t>(
                       aSlot.entry.capacity.cpuMillis, 1));
  for (auto& [image, left] : aSlot.slack) {
    left -= this->disturbance.Pressure(aNow, image, aImage) * share;
  }
}

// The task there with the highest ratio of its tail to its target, and that
// ratio; 0 if there is none.
auto
Cell::FindSuffering(const WorkerSlot& aSlot) -> std::pair<RunRef, double>
{
  auto worst = std::pair<RunRef, double>{ {}, 0.0 };
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindActive(ref);
    if (run == nullptr || context.spec->tailTarget.count() == 0 ||
        run->phase != RunPhase::Running) {
      continue;
    }
    const auto ratio =
      run->tailNow / static_cast<double>(context.spec->tailTarget.count());
    if (ratio > worst.second) {
      worst = { ref, ratio };
    }
  }
  return worst;
}

// Reports are imprecise: one below the target does not show that the platform,
// which measures more precisely, sees the tail below its target as well. Hence
// the two thresholds.
auto
Cell::NoteSuffering(Time aNow, WorkerSlot& aSlot) -> void
{
  const auto [ref, ratio] = this->FindSuffering(aSlot);
  aSlot.suffering = ratio > 1.0;
  if (aSlot.overSince && ratio < kTailBack) {
    this->log.Write(
      "tail_back",
      { { "worker", aSlot.entry.id.text },
        { "after_ms",
          std::to_string(ToMillis(aNow - *aSlot.overSince).count()) } });
    aSlot.overSince.reset();
  }
  if (!aSlot.overSince && ratio > kTailOver) {
    aSlot.overSince = aNow;
    this->TellSuffering(aNow, aSlot, ref);
  }
  if (aSlot.overSince && aNow > *aSlot.overSince + kReliefUrgent) {
    aSlot.restUntil = aNow + kReliefRest;
  }
}

auto
Cell::TellSuffering(Time aNow, const WorkerSlot& aSlot, const RunRef& aRef)
  -> void
{
  const auto [context, run] = this->FindActive(aRef);
  const auto neighbours =
    BesideSince(aNow, aSlot, this->FillsOn(aSlot), aNow - kTailHalfLife * 2);
  const auto expected = this->disturbance.Sum(aNow, context.image, neighbours);
  this->log.Write(
    "tail_over",
    { { "task", ToText(aRef.task) },
      { "worker", aSlot.entry.id.text },
      { "tail_ms", std::to_string(run->tailNow) },
      { "target_ms", std::to_string(context.spec->tailTarget.count()) },
      { "load", std::to_string(context.job->load.At(aNow).mean) },
      { "beside", std::to_string(neighbours.size()) },
      { "pressure", std::to_string(expected.mean) },
      { "variance", std::to_string(expected.variance) } });
}

// Gives each best-effort run the pace that the serving tasks beside it
// tolerate, beginning with the runs that interfere least.
auto
Cell::SetPaces(Time aNow, WorkerSlot& aSlot) -> void
{
  this->NoteSuffering(aNow, aSlot);
  auto bestEffortRuns = this->FillsOn(aSlot);
  aSlot.slack = this->SlackOn(aNow, aSlot);
  auto& slack = aSlot.slack;
  if (bestEffortRuns.empty()) {
    return;
  }
  for (auto& bestEffortRun : bestEffortRuns) {
    for (const auto& [image, left] : slack) {
      bestEffortRun.pressure =
        std::max(bestEffortRun.pressure,
                 this->disturbance.Pressure(aNow, image, bestEffortRun.image) *
                   bestEffortRun.share);
    }
  }
  std::sort(bestEffortRuns.begin(),
            bestEffortRuns.end(),
            [](const Fill& aLeft, const Fill& aRight) {
              return aLeft.pressure < aRight.pressure;
            });
  for (const auto& bestEffortRun : bestEffortRuns) {
    auto pace = aNow < aSlot.restUntil && !slack.empty() ? 0.0 : 1.0;
    for (const auto& [image, left] : slack) {
      const auto pressure =
        this->disturbance.Pressure(aNow, image, bestEffortRun.image) *
        bestEffortRun.share;
      if (pressure > 0.0) {
        pace = std::min(pace, std::max(0.0, left) / pressure);
      }
    }
    for (auto& [image, left] : slack) {
      left -= this->disturbance.Pressure(aNow, image, bestEffortRun.image) *
              bestEffortRun.share * pace;
    }
    if (bestEffortRun.run->phase != RunPhase::Running) {
      continue;
    }
    auto percent = static_cast<int>(pace * kFullPace);
    percent = percent < kPaceStep / 2 ? 0 : percent;
    if (percent >= kLowPace) {
      bestEffortRun.run->lowSince = aNow;
    } else if (aNow > bestEffortRun.run->lowSince + kLowPaceFor &&
               this->Displace(aNow, bestEffortRun)) {
      continue;
    }
    const auto change = std::abs(percent - bestEffortRun.run->pace);
    const auto atLimit = percent == 0 || percent == kFullPace;
    const auto mustSet = (change > 0 && (change >= kPaceStep || atLimit)) ||
                         bestEffortRun.run->paceUnsure;
    if (mustSet && aNow > bestEffortRun.run->pacedAt + kPacePause) {
      this->SetPace(aNow, bestEffortRun.ref, *bestEffortRun.run, percent);
    }
  }
}

// Stops a run that is held to a low pace if another worker could run its task
// at full pace. Returns whether it did.
auto
Cell::Displace(Time aNow, const Fill& aBestEffortRun) -> bool
{
  const auto context = this->Find(aBestEffortRun.ref.task);
  if (context.spec->gang) {
    return false;
  }
  auto round = this->NewRound(aNow);
  const auto query = PlacementQuery{
    context.job,   context.spec, StepOf(aBestEffortRun.ref.task),
    context.image, nullptr,      1.0
  };
  if (this->PickWorker(round, query) == nullptr) {
    return false;
  }
  this->StopRun(
    aNow, aBestEffortRun.ref, *aBestEffortRun.run, StopReason::Displaced);
  return true;
}

auto
Cell::SetPace(Time aNow, const RunRef& aRef, Run& aRun, int aPercent) -> void
{
  aRun.rested = RestOf(aRun, aNow);
  aRun.pace = aPercent;
  aRun.pacedAt = aNow;
  aRun.paceUnsure = false;
  this->Count(CellEvent::Pace);
  this->log.Write("run_paced",
                  { { "task", ToText(aRef.task) },
                    { "run", std::to_string(aRef.run) },
                    { "worker", aRun.worker->entry.id.text },
                    { "percent", std::to_string(aPercent) } });
  auto call = this->NewCall(*aRun.worker, CallKind::Pace);
  call.task = aRef.task;
  call.run = aRef.run;
  call.percent = aPercent;
  this->QueueCall(call);
}

} // namespace gooseberry::cells
