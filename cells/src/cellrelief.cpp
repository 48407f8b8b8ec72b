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

// Smaller cells do without headroom: their callers were served worse with it,
// those of larger cells better. The cause is open, see
// docs/design/colocation.md.
constexpr std::size_t kMinHeadroomWorkers = 100;

// The part of the time from aFrom to aTo that lies between aBegin and aEnd,
// from 0 to 1.
auto
OverlapShare(Time aFrom, Time aTo, Time aBegin, Time aEnd) -> double
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
Cell::UpdateTail(Time aNow,
                 const WorkerSlot& aSlot,
                 Run& aRun,
                 double aMeasured) -> void
{
  const auto elapsed = Millis{ aSlot.lastReportClockMs - aRun.tailClockMs };
  if (aRun.tailClockMs != 0 && elapsed < kMinTailInterval) {
    return;
  }
  if (aRun.tailClockMs == 0) {
    aRun.intervalTailMs = aMeasured;
    aRun.tailRelativeError = kTailRelativeError;
    aRun.tailIntervalStart = aRun.startedAt;
  } else {
    const auto kept =
      std::exp2(-std::chrono::duration<double>(elapsed) /
                std::chrono::duration<double>(kTailSmoothingHalfLife));
    aRun.intervalTailMs =
      std::max(0.0, (aMeasured - kept * aRun.smoothedTailMs) / (1.0 - kept));
    aRun.tailRelativeError = kTailRelativeError * (1.0 + kept) / (1.0 - kept);
    aRun.tailIntervalStart = aRun.tailReportedAt;
  }
  aRun.smoothedTailMs = aMeasured;
  aRun.tailClockMs = aSlot.lastReportClockMs;
  aRun.tailReportedAt = aNow;
}

auto
Cell::UnloadedTail(const StepSpec& aStep, ImageId aImage) const -> double
{
  const auto floor = this->lowestTails.find(aImage);
  const auto target = static_cast<double>(aStep.tailLatencyTarget.count());
  return floor == this->lowestTails.end()
           ? target / kDefaultTargetMultiple
           : floor->second * kUnloadedTailFraction;
}

auto
Cell::LoadOf(Time aNow, const Job& aJob) const -> double
{
  return aJob.loadEstimate.AgedTo(aNow).mean;
}

// Mean shares of the worker's processors that best-effort runs have used since
// aSince.
auto
Cell::NeighboursSince(Time aNow,
                      const WorkerSlot& aSlot,
                      const std::vector<BestEffortRun>& aBestEffortRuns,
                      Time aSince) -> std::vector<NeighbourUsage>
{
  auto neighbours = std::vector<NeighbourUsage>{};
  for (const auto& ended : aSlot.endedBestEffortRuns) {
    neighbours.push_back(
      { ended.image,
        ended.cpuShare * OverlapShare(aSince, aNow, ended.from, ended.to) });
  }
  for (const auto& bestEffortRun : aBestEffortRuns) {
    const auto from =
      std::max(bestEffortRun.run->startedAt, bestEffortRun.run->speedSetAt);
    neighbours.push_back(
      { bestEffortRun.image,
        bestEffortRun.cpuShare * bestEffortRun.run->speedPercent / kFullPace *
          OverlapShare(aSince, aNow, from, aNow) });
  }
  return neighbours;
}

// Updates two estimates by each reported tail: the load of the job, given the
// expected pressure of the neighbours, and the pressure of the neighbours,
// given the load. The variance of the one enters that of the other.
auto
Cell::LearnFromReport(Time aNow, WorkerSlot& aSlot) -> void
{
  std::erase_if(aSlot.endedBestEffortRuns, [aNow](const auto& aBestEffortRun) {
    return aNow > aBestEffortRun.to + kRenewMaxWait + kRenewAnswerMargin;
  });
  const auto bestEffortRuns = this->BestEffortRunsOn(aSlot);
  if (std::any_of(bestEffortRuns.begin(),
                  bestEffortRuns.end(),
                  [](const BestEffortRun& aBestEffortRun) {
                    return aBestEffortRun.run->speedUncertain;
                  })) {
    // The share of the processors that they use is not known.
    return;
  }
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || context.spec->tailLatencyTarget.count() == 0 ||
        run->phase != RunPhase::Running || run->tailReportedAt != aNow ||
        run->progressPercent < kReadyPercent || run->intervalTailMs <= 0.0) {
      continue;
    }
    const auto neighbours =
      NeighboursSince(aNow, aSlot, bestEffortRuns, run->tailIntervalStart);
    const auto expected =
      this->interference.TotalInterference(aNow, context.image, neighbours);
    if (std::sqrt(expected.variance) + expected.mean <
        kUnloadedMaxInterference) {
      // Uses the smoothed tail: the tail computed from two reports may be too
      // low.
      const auto [floor, added] =
        this->lowestTails.try_emplace(context.image, run->smoothedTailMs);
      floor->second = std::min(floor->second, run->smoothedTailMs);
    }
    auto& load = context.job->loadEstimate;
    const auto priorLoad = load.AgedTo(aNow);
    const auto relativeTail = std::max(
      1.0,
      run->intervalTailMs / this->UnloadedTail(*context.spec, context.image));
    const auto expectedSlowdown = 1.0 + expected.mean;
    const auto loadError = run->tailRelativeError / relativeTail;
    load = load.WithObservation(aNow,
                                LoadFromTail(relativeTail, expected.mean),
                                loadError * loadError +
                                  expected.variance /
                                    (expectedSlowdown * expectedSlowdown *
                                     expectedSlowdown * expectedSlowdown));
    if (neighbours.empty()) {
      continue;
    }
    const auto observedSlowdown =
      1.0 + InterferenceFromTail(relativeTail, priorLoad.mean);
    // The errors of the tail and of the load, propagated to the pressure.
    const auto denominator = 1.0 + priorLoad.mean * relativeTail;
    const auto pressureDeviation =
      run->tailRelativeError * relativeTail / (denominator * denominator);
    const auto loadSlope = observedSlowdown * observedSlowdown;
    this->interference.Observe(aNow,
                               context.image,
                               neighbours,
                               observedSlowdown - 1.0,
                               kInterferenceVariance +
                                 pressureDeviation * pressureDeviation +
                                 loadSlope * loadSlope * priorLoad.variance);
  }
}

auto
Cell::BestEffortRunsOn(const WorkerSlot& aSlot) -> std::vector<BestEffortRun>
{
  auto bestEffortRuns = std::vector<BestEffortRun>{};
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aSlot.entry.capacity.cpuMillis, 1));
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || !context.spec->bestEffort ||
        run->phase == RunPhase::Stopping) {
      continue;
    }
    auto cpu = static_cast<double>(context.spec->taskResources.cpuMillis);
    if (run->speedPercent == kFullPace && run->lastMeasurement > 0.0) {
      cpu = std::min(cpu, run->lastMeasurement);
    }
    bestEffortRuns.push_back(
      { ref, run, context.spec, context.image, cpu / capacity, 0.0 });
  }
  return bestEffortRuns;
}

auto
Cell::ToleratedPressureOn(Time aNow, const WorkerSlot& aSlot)
  -> std::map<ImageId, double>
{
  auto slack = std::map<ImageId, double>{};
  if (aSlot.longRunningTasks.empty()) {
    return slack;
  }
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || context.spec->tailLatencyTarget.count() == 0) {
      continue;
    }
    const auto limit =
      kTailTargetFraction *
      static_cast<double>(context.spec->tailLatencyTarget.count()) /
      this->UnloadedTail(*context.spec, context.image);
    const auto tolerated = MaxInterference(
      limit, this->LoadOf(aNow, *context.job) + kExpectedLoadGrowth);
    const auto [item, added] = slack.try_emplace(context.image, tolerated);
    item->second = std::min(item->second, tolerated);
  }
  return slack;
}

auto
Cell::HeadroomOn(Time aNow, const WorkerSlot& aSlot) -> InterferenceByImage
{
  auto tasks = std::vector<CriticalTaskState>{};
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || context.spec->tailLatencyTarget.count() == 0) {
      continue;
    }
    tasks.push_back(
      { context.image,
        static_cast<double>(context.spec->tailLatencyTarget.count()) /
          this->UnloadedTail(*context.spec, context.image),
        this->LoadOf(aNow, *context.job) });
  }
  return HeadroomOf(tasks);
}

auto
Cell::InterferenceOf(Time aNow,
                     ImageId aBestEffortImage,
                     double aCpuShare,
                     const InterferenceByImage& aHeadroom) const
  -> InterferenceByImage
{
  auto interference = InterferenceByImage{};
  for (const auto& [image, left] : aHeadroom) {
    interference[image] =
      this->interference.PairEstimate(aNow, image, aBestEffortImage).mean *
      aCpuShare;
  }
  return interference;
}

auto
Cell::ConsumeSlack(Time aNow,
                   WorkerSlot& aSlot,
                   const StepSpec& aStep,
                   ImageId aImage) const -> void
{
  const auto share = aSlot.CpuShare(aStep.taskResources.cpuMillis);
  for (auto& [image, left] : aSlot.pressureSlack) {
    left -= this->interference.ExpectedCoefficient(aNow, image, aImage) * share;
  }
  aSlot.headroom =
    RemainingHeadroom(this->InterferenceOf(aNow, aImage, share, aSlot.headroom),
                      1.0,
                      aSlot.headroom);
}

// The task there with the highest ratio of its tail to its target, and that
// ratio; 0 if there is none.
auto
Cell::FindWorstTail(const WorkerSlot& aSlot) -> std::pair<RunRef, double>
{
  auto worst = std::pair<RunRef, double>{ {}, 0.0 };
  for (const auto& ref : aSlot.runs) {
    const auto [context, run] = this->FindTaskAndRun(ref);
    if (run == nullptr || context.spec->tailLatencyTarget.count() == 0 ||
        run->phase != RunPhase::Running) {
      continue;
    }
    const auto ratio =
      run->intervalTailMs /
      static_cast<double>(context.spec->tailLatencyTarget.count());
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
Cell::UpdateTailState(Time aNow, WorkerSlot& aSlot) -> void
{
  const auto [ref, ratio] = this->FindWorstTail(aSlot);
  aSlot.tailOverTarget = ratio > 1.0;
  if (aSlot.tailHighSince && ratio < kTailRecoveredFraction) {
    this->log.Write(
      "tail_back",
      { { "worker", aSlot.entry.id.text },
        { "after_ms",
          std::to_string(ToMillis(aNow - *aSlot.tailHighSince).count()) } });
    aSlot.tailHighSince.reset();
  }
  if (!aSlot.tailHighSince && ratio > kTailHighFraction) {
    aSlot.tailHighSince = aNow;
    this->LogTailOverTarget(aNow, aSlot, ref);
  }
  if (aSlot.tailHighSince &&
      aNow > *aSlot.tailHighSince + kTailOverrunBeforePause) {
    aSlot.bestEffortPausedUntil = aNow + kPauseDuration;
  }
}

auto
Cell::LogTailOverTarget(Time aNow, const WorkerSlot& aSlot, const RunRef& aRef)
  -> void
{
  const auto [context, run] = this->FindTaskAndRun(aRef);
  const auto neighbours = NeighboursSince(aNow,
                                          aSlot,
                                          this->BestEffortRunsOn(aSlot),
                                          aNow - kTailSmoothingHalfLife * 2);
  const auto expected =
    this->interference.TotalInterference(aNow, context.image, neighbours);
  this->log.Write(
    "tail_over",
    { { "task", ToText(aRef.task) },
      { "worker", aSlot.entry.id.text },
      { "tail_ms", std::to_string(run->intervalTailMs) },
      { "target_ms", std::to_string(context.spec->tailLatencyTarget.count()) },
      { "load", std::to_string(context.job->loadEstimate.AgedTo(aNow).mean) },
      { "beside", std::to_string(neighbours.size()) },
      { "pressure", std::to_string(expected.mean) },
      { "variance", std::to_string(expected.variance) } });
}

// Gives each best-effort run the pace that the serving tasks beside it
// tolerate, beginning with the runs that interfere least. While a tail is high,
// runs that are believed to be harmless are limited to the headroom as well.
auto
Cell::SetPaces(Time aNow, WorkerSlot& aSlot) -> void
{
  this->UpdateTailState(aNow, aSlot);
  auto bestEffortRuns = this->BestEffortRunsOn(aSlot);
  aSlot.pressureSlack = this->ToleratedPressureOn(aNow, aSlot);
  auto& slack = aSlot.pressureSlack;
  const auto usesHeadroom =
    this->options.usesHeadroom && this->workers.size() >= kMinHeadroomWorkers;
  auto headroom =
    usesHeadroom ? this->HeadroomOn(aNow, aSlot) : InterferenceByImage{};
  aSlot.headroom = headroom;
  if (bestEffortRuns.empty()) {
    return;
  }
  for (auto& bestEffortRun : bestEffortRuns) {
    for (const auto& [image, left] : slack) {
      bestEffortRun.pressure = std::max(bestEffortRun.pressure,
                                        this->interference.ExpectedCoefficient(
                                          aNow, image, bestEffortRun.image) *
                                          bestEffortRun.cpuShare);
    }
  }
  std::sort(bestEffortRuns.begin(),
            bestEffortRuns.end(),
            [](const BestEffortRun& aLeft, const BestEffortRun& aRight) {
              return aLeft.pressure < aRight.pressure;
            });
  for (const auto& bestEffortRun : bestEffortRuns) {
    const auto interference = this->InterferenceOf(
      aNow, bestEffortRun.image, bestEffortRun.cpuShare, headroom);
    aSlot.headroom = RemainingHeadroom(interference, 1.0, aSlot.headroom);
    auto pace =
      aNow < aSlot.bestEffortPausedUntil && !slack.empty() ? 0.0 : 1.0;
    if (aSlot.tailHighSince) {
      pace = std::min(pace, PaceWithin(interference, headroom));
    }
    for (const auto& [image, left] : slack) {
      const auto pressure = this->interference.ExpectedCoefficient(
                              aNow, image, bestEffortRun.image) *
                            bestEffortRun.cpuShare;
      if (pressure > 0.0) {
        pace = std::min(pace, std::max(0.0, left) / pressure);
      }
    }
    for (auto& [image, left] : slack) {
      left -= this->interference.ExpectedCoefficient(
                aNow, image, bestEffortRun.image) *
              bestEffortRun.cpuShare * pace;
    }
    headroom = RemainingHeadroom(interference, pace, headroom);
    if (bestEffortRun.run->phase != RunPhase::Running) {
      continue;
    }
    auto percent = static_cast<int>(pace * kFullPace);
    percent = percent < kMinSpeedStepPercent / 2 ? 0 : percent;
    if (percent >= kLowSpeedPercent) {
      bestEffortRun.run->lowSpeedSince = aNow;
    } else if (aNow > bestEffortRun.run->lowSpeedSince + kLowSpeedMaxTime &&
               this->DisplaceRun(aNow, bestEffortRun)) {
      continue;
    }
    const auto change = std::abs(percent - bestEffortRun.run->speedPercent);
    const auto atLimit = percent == 0 || percent == kFullPace;
    const auto mustSet =
      (change > 0 && (change >= kMinSpeedStepPercent || atLimit)) ||
      bestEffortRun.run->speedUncertain;
    if (mustSet &&
        aNow > bestEffortRun.run->speedSetAt + kMinSpeedChangeInterval) {
      this->SetPace(aNow, bestEffortRun.ref, *bestEffortRun.run, percent);
    }
  }
}

// Stops a run that is held to a low pace if another worker could run its task
// at full pace. Returns whether it did.
auto
Cell::DisplaceRun(Time aNow, const BestEffortRun& aBestEffortRun) -> bool
{
  const auto context = this->FindTask(aBestEffortRun.ref.task);
  if (context.spec->gang) {
    return false;
  }
  auto round = this->NewPlacementRound(aNow);
  const auto query = PlacementQuery{
    context.job,   context.spec, StepOf(aBestEffortRun.ref.task),
    context.image, nullptr,      1.0
  };
  if (this->PickWorker(round, query) == nullptr) {
    return false;
  }
  this->StopRun(
    aNow, aBestEffortRun.ref, *aBestEffortRun.run, StopReason::MovedForSpeed);
  return true;
}

auto
Cell::SetPace(Time aNow, const RunRef& aRef, Run& aRun, int aPercent) -> void
{
  aRun.throttledTime = ThrottledTimeOf(aRun, aNow);
  aRun.speedPercent = aPercent;
  aRun.speedSetAt = aNow;
  aRun.speedUncertain = false;
  this->CountEvent(CellEvent::PaceChange);
  if (this->log.IsSampled(aRef.task.job)) {
    this->log.Write("run_paced",
                    { { "task", ToText(aRef.task) },
                      { "run", std::to_string(aRef.run) },
                      { "worker", aRun.worker->entry.id.text },
                      { "percent", std::to_string(aPercent) } });
  }
  auto call = this->NewCall(*aRun.worker, CallKind::Pace);
  call.task = aRef.task;
  call.runNumber = aRef.run;
  call.pacePercent = aPercent;
  this->QueueCall(aNow, call);
}

} // namespace gooseberry::cells
