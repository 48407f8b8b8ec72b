// Neighbours on one worker: tasks that fill idle processors disturb lasting ones
// that answer users. Which images disturb which is learnt from the tails.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
TailOf(const Run& aRun, const StepSpec& aSpec) -> double
{
  return aRun.tailNow / static_cast<double>(aSpec.tailTarget.count());
}

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
    aRun.measuredBefore = aRun.startedAt;
  } else {
    const auto kept =
      std::exp2(-std::chrono::duration<double>(elapsed) /
                std::chrono::duration<double>(kTailHalfLife));
    aRun.tailNow =
      std::max(0.0, (aMeasured - kept * aRun.smoothed) / (1.0 - kept));
    aRun.measuredBefore = aRun.measuredAt;
  }
  aRun.smoothed = aMeasured;
  aRun.measuredMs = aSlot.reportedMs;
  aRun.measuredAt = aNow;
}

auto
Cell::LearnDisturbance(Time aNow, WorkerSlot& aSlot) -> void
{
  constexpr double kWhole = 100.0;
  std::erase_if(aSlot.goneFills, [aNow](const auto& aFill) {
    return aNow > aFill.to + kRenewPatience + kRenewTimeout;
  });
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || place.spec->tailTarget.count() == 0 ||
        run->phase != RunPhase::Running || run->measuredAt != aNow) {
      continue;
    }
    auto beside = std::vector<Beside>{};
    for (const auto& gone : aSlot.goneFills) {
      beside.push_back(
        { gone.image,
          Overlap(run->measuredBefore, aNow, gone.from, gone.to) });
    }
    for (const auto& other : aSlot.runs) {
      const auto [there, fill] = this->FindActive(other);
      if (fill != nullptr && there.spec->fillsIdle &&
          fill->phase == RunPhase::Running) {
        const auto from = std::max(fill->startedAt, fill->pacedAt);
        beside.push_back(
          { there.spec->image,
            Overlap(run->measuredBefore, aNow, from, aNow) * fill->pace /
              kWhole });
      }
    }
    if (!beside.empty()) {
      this->disturbance.Observe(
        aNow,
        place.spec->image,
        beside,
        std::clamp(
          TailOf(*run, *place.spec) - kCalmTail, 0.0, kMostDisturbance));
    }
  }
}

auto
Cell::Harm(Time aNow, const WorkerSlot& aSlot, const StepSpec& aStep) const
  -> double
{
  auto harm = 0.0;
  for (const auto& [image, tasks] : aSlot.serving) {
    harm = std::max(harm, this->disturbance.Between(aNow, image, aStep.image));
  }
  return harm;
}

// Tails beyond their target ask for relief: the neighbour that is known or
// suspected to disturb most is paced down at once; those that are known to be
// harmless only when the tail stays beyond its target for long.
auto
Cell::Relieve(Time aNow, WorkerSlot& aSlot) -> void
{
  auto suffering = std::vector<std::string>{};
  auto calm = true;
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || run->phase != RunPhase::Running ||
        place.spec->tailTarget.count() == 0) {
      continue;
    }
    const auto tail = TailOf(*run, *place.spec);
    calm = calm && tail < kReliefCalmTail;
    if (tail > kSufferingTail) {
      suffering.push_back(place.spec->image);
    }
  }
  auto fills = this->FillsOn(aNow, aSlot, suffering);
  aSlot.watched = aSlot.fillingCpu > 0 && !aSlot.serving.empty();
  aSlot.resting = std::any_of(fills.begin(), fills.end(), [](const Fill& aFill) {
    return aFill.run->pace < 100;
  });
  if (suffering.empty()) {
    aSlot.sufferingSince.reset();
  } else if (!aSlot.sufferingSince) {
    aSlot.sufferingSince = aNow;
  }
  if (!calm) {
    aSlot.calmSince = aNow;
  }
  if (aNow < aSlot.nextRelief || fills.empty()) {
    return;
  }
  if (!suffering.empty()) {
    this->PaceDown(aNow, aSlot, fills);
  } else if (aNow > aSlot.calmSince + kReliefCalm) {
    this->PaceUp(aNow, aSlot, fills);
  }
}

auto
Cell::FillsOn(Time aNow,
              const WorkerSlot& aSlot,
              const std::vector<std::string>& aSuffering) -> std::vector<Fill>
{
  auto fills = std::vector<Fill>{};
  for (const auto& ref : aSlot.runs) {
    const auto [place, run] = this->FindActive(ref);
    if (run == nullptr || !place.spec->fillsIdle ||
        run->phase != RunPhase::Running) {
      continue;
    }
    auto fill = Fill{ ref, run, place.spec, 0.0 };
    for (const auto& image : aSuffering) {
      fill.blame = std::max(
        fill.blame,
        this->disturbance.Between(aNow, image, place.spec->image));
    }
    fills.push_back(fill);
  }
  return fills;
}

auto
Cell::PaceDown(Time aNow, WorkerSlot& aSlot, std::vector<Fill>& aFills) -> void
{
  const auto urgent = aNow > *aSlot.sufferingSince + kReliefUrgent;
  std::sort(
    aFills.begin(), aFills.end(), [](const Fill& aLeft, const Fill& aRight) {
      return aLeft.blame * aLeft.run->pace > aRight.blame * aRight.run->pace;
    });
  for (auto& fill : aFills) {
    if (fill.run->pace == 0 || (fill.blame < kSuspicion && !urgent)) {
      continue;
    }
    aSlot.nextRelief = aNow + kReliefPause;
    if (fill.blame > kHeavyDisturbance && this->HasBetterPlace(aNow, fill)) {
      this->StopRun(aNow, fill.ref, *fill.run, StopReason::Displaced);
    } else {
      this->SetPace(aNow, fill.ref, *fill.run, 0);
    }
    if (!urgent) {
      return;
    }
  }
}

auto
Cell::PaceUp(Time aNow, WorkerSlot& aSlot, std::vector<Fill>& aFills) -> void
{
  Fill* mildest = nullptr;
  auto mildestHarm = 0.0;
  for (auto& fill : aFills) {
    const auto harm = this->Harm(aNow, aSlot, *fill.spec);
    const auto most = harm > kHeavyDisturbance ? kHeavyPace : 100;
    if (fill.run->pace < most && (mildest == nullptr || harm < mildestHarm)) {
      mildest = &fill;
      mildestHarm = harm;
    }
  }
  if (mildest == nullptr) {
    return;
  }
  aSlot.nextRelief = aNow + kReliefPause;
  if (mildestHarm > kHeavyDisturbance) {
    if (this->HasBetterPlace(aNow, *mildest)) {
      this->StopRun(aNow, mildest->ref, *mildest->run, StopReason::Displaced);
    } else {
      this->SetPace(aNow, mildest->ref, *mildest->run, kHeavyPace);
    }
  } else {
    this->SetPace(aNow, mildest->ref, *mildest->run, 100);
  }
}

auto
Cell::HasBetterPlace(Time aNow, const Fill& aFill) -> bool
{
  const auto place = this->Find(aFill.ref.task);
  return this->PickWorker(aNow, *place.job, *place.spec, {}) != nullptr;
}

auto
Cell::SetPace(Time aNow, const RunRef& aRef, Run& aRun, int aPercent) -> void
{
  aRun.pace = aPercent;
  aRun.pacedAt = aNow;
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
