#include "drawnfaults.h"

#include <algorithm>
#include <array>
#include <memory>

namespace gooseberry::fakes {

namespace {

auto
Draw(FaultyFleet& aFleet, std::int64_t aFrom, std::int64_t aTo) -> std::int64_t
{
  return std::uniform_int_distribution{ aFrom, aTo }(aFleet.Random());
}

auto
Chance(FaultyFleet& aFleet, double aPart) -> bool
{
  return std::uniform_real_distribution{ 0.0, 1.0 }(aFleet.Random()) < aPart;
}

auto
SomeInstance(FaultyFleet& aFleet) -> int
{
  // The owner half of the time: it has most to lose.
  const auto owner = aFleet.Owner();
  return owner >= 0 && Chance(aFleet, 0.5)
           ? owner
           : static_cast<int>(Draw(aFleet, 0, aFleet.Instances() - 1));
}

auto
SomeWorker(FaultyFleet& aFleet) -> int
{
  return static_cast<int>(Draw(aFleet, 0, aFleet.Workers() - 1));
}

auto
SomeTime(FaultyFleet& aFleet) -> Millis
{
  constexpr std::int64_t kShort = 500;
  constexpr std::int64_t kLong = 9000;
  return Millis{ Draw(aFleet, kShort, kLong) };
}

auto
KillInstance(FaultyFleet& aFleet) -> void
{
  const auto instance = SomeInstance(aFleet);
  aFleet.Kill(instance);
  aFleet.After(SomeTime(aFleet),
               [&aFleet, instance] { aFleet.Start(instance); });
}

auto
KillAll(FaultyFleet& aFleet) -> void
{
  for (auto instance = 0; instance < aFleet.Instances(); ++instance) {
    aFleet.Kill(instance);
    aFleet.After(Millis{ 1000 },
                 [&aFleet, instance] { aFleet.Start(instance); });
  }
}

auto
PauseInstance(FaultyFleet& aFleet) -> void
{
  aFleet.Pause(SomeInstance(aFleet), SomeTime(aFleet));
}

auto
TreatSome(FaultyFleet& aFleet, StoreTreatment aTreatment, bool aAll) -> void
{
  const auto one = SomeInstance(aFleet);
  const auto time = SomeTime(aFleet);
  for (auto instance = 0; instance < aFleet.Instances(); ++instance) {
    if (aAll || instance == one) {
      aFleet.Treat(instance, aTreatment);
      aFleet.After(time, [&aFleet, instance] { aFleet.Treat(instance, {}); });
    }
  }
}

auto
StoreRefuses(FaultyFleet& aFleet) -> void
{
  auto treatment = StoreTreatment{};
  treatment.mode = Chance(aFleet, 0.5) ? StoreTreatment::Mode::Refuses
                                       : StoreTreatment::Mode::Silent;
  TreatSome(aFleet, treatment, false);
}

auto
StoreDown(FaultyFleet& aFleet) -> void
{
  auto treatment = StoreTreatment{};
  treatment.mode = Chance(aFleet, 0.5) ? StoreTreatment::Mode::Refuses
                                       : StoreTreatment::Mode::Silent;
  TreatSome(aFleet, treatment, true);
}

auto
StoreLoses(FaultyFleet& aFleet) -> void
{
  auto treatment = StoreTreatment{};
  treatment.lost = 0.3;
  treatment.late = Chance(aFleet, 0.5) ? Millis{ 6000 } : Millis{ 0 };
  TreatSome(aFleet, treatment, true);
}

auto
StoreSlow(FaultyFleet& aFleet) -> void
{
  auto treatment = StoreTreatment{};
  treatment.slow = static_cast<double>(Draw(aFleet, 10, 140));
  TreatSome(aFleet, treatment, true);
}

auto
StoreForgets(FaultyFleet& aFleet) -> void
{
  aFleet.CompactStore();
}

auto
WorkerDies(FaultyFleet& aFleet) -> void
{
  aFleet.KillWorker(SomeWorker(aFleet), Chance(aFleet, 0.7), SomeTime(aFleet));
}

auto
WorkerCut(FaultyFleet& aFleet) -> void
{
  const auto worker = SomeWorker(aFleet);
  aFleet.CutWorker(worker, true);
  aFleet.After(SomeTime(aFleet),
               [&aFleet, worker] { aFleet.CutWorker(worker, false); });
}

auto
WorkerFails(FaultyFleet& aFleet) -> void
{
  const auto worker = SomeWorker(aFleet);
  aFleet.FailWorker(worker, true);
  aFleet.After(SomeTime(aFleet),
               [&aFleet, worker] { aFleet.FailWorker(worker, false); });
}

auto
WorkerHangs(FaultyFleet& aFleet) -> void
{
  const auto worker = SomeWorker(aFleet);
  aFleet.SlowWorker(worker, Chance(aFleet, 0.5) ? 0.0 : 6.0);
  aFleet.After(SomeTime(aFleet),
               [&aFleet, worker] { aFleet.SlowWorker(worker, 1.0); });
}

auto
WorkerDrains(FaultyFleet& aFleet) -> void
{
  aFleet.DrainWorker(SomeWorker(aFleet));
}

auto
OrdersLate(FaultyFleet& aFleet) -> void
{
  aFleet.LateOrders(0.2, Millis{ 12000 });
  aFleet.After(SomeTime(aFleet),
               [&aFleet] { aFleet.LateOrders(0.0, Millis{ 0 }); });
}

auto
Evacuation(FaultyFleet& aFleet) -> void
{
  const auto domain = DomainId{ "zone-" + std::to_string(Draw(aFleet, 0, 2)) };
  aFleet.Evacuate(domain, true);
  aFleet.After(SomeTime(aFleet),
               [&aFleet, domain] { aFleet.Evacuate(domain, false); });
}

auto
AnswersLost(FaultyFleet& aFleet) -> void
{
  aFleet.LoseWorkerAnswers(0.1);
  aFleet.After(SomeTime(aFleet), [&aFleet] { aFleet.LoseWorkerAnswers(0.0); });
}

auto
WorkerHidden(FaultyFleet& aFleet) -> void
{
  aFleet.HideWorker(SomeWorker(aFleet), SomeTime(aFleet));
}

auto
InstanceRestarted(FaultyFleet& aFleet) -> void
{
  aFleet.Restart(SomeInstance(aFleet));
}

struct Fault
{
  const char* name;
  void (*strike)(FaultyFleet&);
};

constexpr std::array<Fault, 18> kFaults{ {
  { "an instance dies", KillInstance },
  { "all instances die", KillAll },
  { "an instance pauses", PauseInstance },
  { "the store turns one instance away", StoreRefuses },
  { "the store is down", StoreDown },
  { "the store loses answers", StoreLoses },
  { "the store is slow", StoreSlow },
  { "the store forgets its history", StoreForgets },
  { "a worker dies", WorkerDies },
  { "a worker is cut off and runs on", WorkerCut },
  { "a worker fails all it starts", WorkerFails },
  { "tasks on a worker stand still or are slow", WorkerHangs },
  { "a worker leaves", WorkerDrains },
  { "orders are carried out late", OrdersLate },
  { "a failure domain is emptied", Evacuation },
  { "workers' answers are lost", AnswersLost },
  { "a worker's row is missing while it runs on", WorkerHidden },
  { "an instance is stopped and started", InstanceRestarted },
} };

auto
NewStep(FaultyFleet& aFleet, const JobDensity& aDensity) -> cells::StepSpec
{
  auto step = cells::StepSpec{};
  step.taskCount = static_cast<std::uint32_t>(Draw(aFleet, 1, 6));
  step.taskResources = { Draw(aFleet, 5, 40) * 100,
                         Draw(aFleet, 1, 8) * 1000,
                         0 };
  step.estimate = Millis{ Draw(aFleet, 200, 3000) };
  step.savesCheckpoints = Chance(aFleet, 0.5);
  step.bestEffort = Chance(aFleet, 0.3);
  step.image = "i" + std::to_string(Draw(aFleet, 0, 3));
  if (Chance(aFleet, 0.2)) {
    step.maxPerWorker = static_cast<std::uint32_t>(Draw(aFleet, 1, 2));
    // The smallest cell has four workers, and one or two of them may be gone.
    constexpr std::uint32_t kMostSpread = 2;
    step.taskCount = std::min(step.taskCount, kMostSpread * step.maxPerWorker);
  }
  if (Chance(aFleet, 0.1) && aDensity.needsRacks) {
    step.requiredLabel = "r-" + std::to_string(Draw(aFleet, 0, 2));
  }
  return step;
}

// Batch jobs of steps, some of them cancelled, and a few that last.
auto
SubmitOne(FaultyFleet& aFleet, const JobDensity& aDensity, int& aLasting)
  -> void
{
  auto spec = cells::JobSpec{};
  spec.payload = "work " + std::to_string(Draw(aFleet, 0, 1'000'000));
  auto plan = WorkPlan{};
  plan.duration = Millis{ Draw(aFleet, 100, 4000) };
  // Too many of them would leave no room for batch jobs, which then can't end.
  if (aLasting < aDensity.lastingJobs &&
      Chance(aFleet, aDensity.lastingChance)) {
    ++aLasting;
    auto step = NewStep(aFleet, aDensity);
    step.longRunning = true;
    step.bestEffort = false;
    step.savesCheckpoints = false;
    step.requiredLabel.clear();
    spec.steps.push_back(step);
    // Ends now and then; it has to be started again.
    plan.duration = Millis{ Draw(aFleet, 4000, 60000) };
  } else {
    const auto steps = Draw(aFleet, 1, 3);
    auto rack = std::string{};
    for (auto number = std::int64_t{ 0 }; number < steps; ++number) {
      auto step = NewStep(aFleet, aDensity);
      if (number > 0) {
        step.dependencies.push_back(static_cast<std::uint32_t>(number - 1));
      }
      // All steps that need a rack need the same one: entries refuse jobs that
      // need racks of several cells.
      if (!step.requiredLabel.empty()) {
        rack = rack.empty() ? step.requiredLabel : rack;
        step.requiredLabel = rack;
      }
      spec.steps.push_back(step);
    }
    plan.fails = Chance(aFleet, 0.03);
  }
  const auto job = aFleet.Submit(spec, plan);
  if (Chance(aFleet, 0.12)) {
    aFleet.After(SomeTime(aFleet), [&aFleet, job] { aFleet.Cancel(job); });
  }
}

auto
KeepSubmitting(FaultyFleet& aFleet,
               Time aUntil,
               JobDensity aDensity,
               std::shared_ptr<int> aLasting) -> void
{
  if (aFleet.Now() >= aUntil) {
    return;
  }
  SubmitOne(aFleet, aDensity, *aLasting);
  constexpr std::int64_t kShortestGap = 50;
  aFleet.After(
    Millis{ Draw(aFleet, kShortestGap, aDensity.longestGap.count()) },
    [&aFleet, aUntil, aDensity, aLasting] {
      KeepSubmitting(aFleet, aUntil, aDensity, aLasting);
    });
}

} // namespace

auto
DrawJobs(FaultyFleet& aFleet, Millis aTime, JobDensity aDensity) -> void
{
  KeepSubmitting(
    aFleet, aFleet.Now() + aTime, aDensity, std::make_shared<int>(0));
}

auto
DrawFaults(FaultyFleet& aFleet, Millis aTime) -> std::vector<std::string>
{
  auto told = std::vector<std::string>{};
  const auto faults = Draw(aFleet, 2, 6);
  for (auto count = std::int64_t{ 0 }; count < faults; ++count) {
    const auto& fault =
      kFaults.at(static_cast<std::size_t>(aFleet.Random()() % kFaults.size()));
    const auto at = Millis{ Draw(aFleet, 500, aTime.count()) };
    told.push_back(std::to_string(at.count()) + " ms: " + fault.name);
    aFleet.After(at, [&aFleet, &fault] { fault.strike(aFleet); });
  }
  return told;
}

} // namespace gooseberry::fakes
