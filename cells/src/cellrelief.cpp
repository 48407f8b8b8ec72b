// Neighbours on one worker: tasks that fill idle processors disturb lasting
// ones that answer users. Which images disturb which is learnt from the tails.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

// The part of a span of time in which a run was at work.
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

// The report is smoothed; what it says of the time since the last one is what
// moved it from there.
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

// Shares of the worker's processors that filling tasks used since then.
auto
Cell::BesideSince(Time aNow,
                  const WorkerSlot& aSlot,
                  const std::vector<Fill>& aFills,
                  Time aSince) -> std::vector<Beside>
{
  auto beside = std::vector<Beside>{};
  for (const auto& gone : aSlot.goneFills) {
    beside.push_back(
      { gone.image, gone.share * Overlap(aSince, aNow, gone.from, gone.to) });
  }
  for (const auto& fill : aFills) {
    const auto from = std::max(fill.run->startedAt, fill.run->pacedAt);
    beside.push_back({ fill.image,
                       fill.share * fill.run->pace / kFullPace *
                         Overlap(aSince, aNow, from, aNow) });
  }
  return beside;
}

// Each report tells of the load of its job, as far as the pressures beside it
// are known, and of the pressures, as far as the load is.
auto
Cell::LearnFrom(Time aNow, WorkerSlot& aSlot) -> void
{
  std::erase_if(aSlot.goneFills, [aNow](const auto& aFill) {
    return aNow > aFill.to + kRenewPatience + kRenewTimeout;
  });
  const auto fills = this->FillsOn(aSlot);
  if (std::any_of(fills.begin(), fills.end(), [](const Fill& aFill) {
        return aFill.run->paceUnsure;
      })) {
    // Not known how much of the processors they use.
    return;
  }
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || place.spec->tailTarget.count() == 0 ||
        run->phase != RunPhase::Running || run->measuredAt != aNow ||
        run->percent < kReadyPercent || run->tailNow <= 0.0) {
      continue;
    }
    const auto beside = BesideSince(aNow, aSlot, fills, run->measuredBefore);
    const auto expected = this->disturbance.Sum(aNow, place.image, beside);
    if (std::sqrt(expected.variance) + expected.mean < kCertainPressure) {
      // The smoothed figure: what is computed from it may be off downwards.
      const auto [floor, added] =
        this->tailFloors.try_emplace(place.image, run->smoothed);
      floor->second = std::min(floor->second, run->smoothed);
    }
    auto& load = place.job->load;
    const auto before = load.At(aNow);
    const auto units = std::max(
      1.0, run->tailNow / this->UnloadedTail(*place.spec, place.image));
    const auto share = 1.0 + expected.mean;
    const auto loadError = run->tailError / units;
    load = load.Observed(aNow,
                         LoadFrom(units, expected.mean),
                         loadError * loadError +
                           expected.variance / (share * share * share * share));
    if (beside.empty()) {
      continue;
    }
    const auto slowed = 1.0 + PressureFrom(units, before.mean);
    const auto whole = 1.0 + before.mean * units;
    const auto tailDoubt = run->tailError * units / (whole * whole);
    const auto square = slowed * slowed;
    this->disturbance.Observe(aNow,
                              place.image,
                              beside,
                              slowed - 1.0,
                              kPressureError + tailDoubt * tailDoubt +
                                square * square * before.variance);
  }
}

auto
Cell::FillsOn(const WorkerSlot& aSlot) -> std::vector<Fill>
{
  auto fills = std::vector<Fill>{};
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(aSlot.entry.capacity.cpuMillis, 1));
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || !place.spec->fillsIdle ||
        run->phase == RunPhase::Stopping) {
      continue;
    }
    auto cpu = static_cast<double>(place.spec->size.cpuMillis);
    if (run->pace == kFullPace && run->measured > 0.0) {
      cpu = std::min(cpu, run->measured);
    }
    fills.push_back({ ref, run, place.spec, place.image, cpu / capacity, 0.0 });
  }
  return fills;
}

auto
Cell::SlackOn(Time aNow, const WorkerSlot& aSlot) -> std::map<ImageId, double>
{
  auto slack = std::map<ImageId, double>{};
  if (aSlot.serving.empty()) {
    return slack;
  }
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || place.spec->tailTarget.count() == 0) {
      continue;
    }
    const auto limit = kTailLimit *
                       static_cast<double>(place.spec->tailTarget.count()) /
                       this->UnloadedTail(*place.spec, place.image);
    const auto most =
      MostPressure(limit, this->LoadOf(aNow, *place.job) + kLoadGrowth);
    const auto [item, added] = slack.try_emplace(place.image, most);
    item->second = std::min(item->second, most);
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

// The lasting task there whose tail is the most of its target, and that part.
auto
Cell::FindSuffering(const WorkerSlot& aSlot) -> std::pair<RunRef, double>
{
  auto worst = std::pair<RunRef, double>{ {}, 0.0 };
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || place.spec->tailTarget.count() == 0 ||
        run->phase != RunPhase::Running) {
      continue;
    }
    const auto part =
      run->tailNow / static_cast<double>(place.spec->tailTarget.count());
    if (part > worst.second) {
      worst = { ref, part };
    }
  }
  return worst;
}

// Reports are rough: one below the target does not show that a tail is back for
// the platform, which measures better.
auto
Cell::NoteSuffering(Time aNow, WorkerSlot& aSlot) -> void
{
  const auto [ref, part] = this->FindSuffering(aSlot);
  aSlot.suffering = part > 1.0;
  if (aSlot.overSince && part < kTailBack) {
    this->log.Write(
      "tail_back",
      { { "worker", aSlot.entry.id.text },
        { "after_ms",
          std::to_string(ToMillis(aNow - *aSlot.overSince).count()) } });
    aSlot.overSince.reset();
  }
  if (!aSlot.overSince && part > kTailOver) {
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
  const auto [place, run] = this->FindActive(aRef);
  const auto beside =
    BesideSince(aNow, aSlot, this->FillsOn(aSlot), aNow - kTailHalfLife * 2);
  const auto expected = this->disturbance.Sum(aNow, place.image, beside);
  this->log.Write(
    "tail_over",
    { { "task", ToText(aRef.task) },
      { "worker", aSlot.entry.id.text },
      { "tail_ms", std::to_string(run->tailNow) },
      { "target_ms", std::to_string(place.spec->tailTarget.count()) },
      { "load", std::to_string(place.job->load.At(aNow).mean) },
      { "beside", std::to_string(beside.size()) },
      { "pressure", std::to_string(expected.mean) },
      { "variance", std::to_string(expected.variance) } });
}

// Gives each filling task the pace that the lasting ones beside it can bear,
// first to those that disturb least.
auto
Cell::SetPaces(Time aNow, WorkerSlot& aSlot) -> void
{
  this->NoteSuffering(aNow, aSlot);
  auto fills = this->FillsOn(aSlot);
  aSlot.slack = this->SlackOn(aNow, aSlot);
  auto& slack = aSlot.slack;
  if (fills.empty()) {
    return;
  }
  for (auto& fill : fills) {
    for (const auto& [image, left] : slack) {
      fill.pressure = std::max(
        fill.pressure,
        this->disturbance.Pressure(aNow, image, fill.image) * fill.share);
    }
  }
  std::sort(
    fills.begin(), fills.end(), [](const Fill& aLeft, const Fill& aRight) {
      return aLeft.pressure < aRight.pressure;
    });
  for (const auto& fill : fills) {
    auto pace = aNow < aSlot.restUntil && !slack.empty() ? 0.0 : 1.0;
    for (const auto& [image, left] : slack) {
      const auto pressure =
        this->disturbance.Pressure(aNow, image, fill.image) * fill.share;
      if (pressure > 0.0) {
        pace = std::min(pace, std::max(0.0, left) / pressure);
      }
    }
    for (auto& [image, left] : slack) {
      left -=
        this->disturbance.Pressure(aNow, image, fill.image) * fill.share * pace;
    }
    if (fill.run->phase != RunPhase::Running) {
      continue;
    }
    auto percent = static_cast<int>(pace * kFullPace);
    percent = percent < kPaceStep / 2 ? 0 : percent;
    if (percent >= kLowPace) {
      fill.run->lowSince = aNow;
    } else if (aNow > fill.run->lowSince + kLowPaceFor &&
               this->Displace(aNow, fill)) {
      continue;
    }
    const auto step = std::abs(percent - fill.run->pace);
    const auto bound = percent == 0 || percent == kFullPace;
    const auto due =
      (step > 0 && (step >= kPaceStep || bound)) || fill.run->paceUnsure;
    if (due && aNow > fill.run->pacedAt + kPacePause) {
      this->SetPace(aNow, fill.ref, *fill.run, percent);
    }
  }
}

// Stops a task that is held to a low pace if it would do better elsewhere.
auto
Cell::Displace(Time aNow, const Fill& aFill) -> bool
{
  const auto place = this->Find(aFill.ref.task);
  if (place.spec->gang) {
    return false;
  }
  auto round = this->NewRound(aNow);
  const auto query =
    PlacementQuery{ place.job,   place.spec, StepOf(aFill.ref.task),
                    place.image, nullptr,    1.0 };
  if (this->PickWorker(round, query) == nullptr) {
    return false;
  }
  this->StopRun(aNow, aFill.ref, *aFill.run, StopReason::Displaced);
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
