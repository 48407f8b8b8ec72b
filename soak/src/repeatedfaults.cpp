#include "repeatedfaults.h"

#include <algorithm>
#include <array>
#include <memory>
#include <sstream>

namespace gooseberry::soak {

namespace {

auto
Draw(FaultGenerator& aRandom, std::int64_t aFrom, std::int64_t aTo)
  -> std::int64_t
{
  return std::uniform_int_distribution{ aFrom, aTo }(aRandom);
}

auto
DrawMillis(FaultGenerator& aRandom, std::int64_t aFrom, std::int64_t aTo)
  -> Millis
{
  return Millis{ Draw(aRandom, aFrom, aTo) };
}

auto
DrawWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> int
{
  return static_cast<int>(Draw(aRandom, 0, aFleet.Workers() - 1));
}

auto
DrawInstance(RealFleet& aFleet, FaultGenerator& aRandom) -> int
{
  return static_cast<int>(Draw(aRandom, 0, aFleet.Instances() - 1));
}

// The owner of the first cell, or some instance if it has none.
auto
OwnerOrAny(RealFleet& aFleet, FaultGenerator& aRandom) -> int
{
  const auto owner = aFleet.Owner();
  return owner >= 0 ? owner : DrawInstance(aFleet, aRandom);
}

auto
RestartWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongestDown = 600;
  constexpr std::int64_t kLatestEntry = 1500;
  const auto worker = DrawWorker(aFleet, aRandom);
  const auto down = DrawMillis(aRandom, 20, kLongestDown);
  aFleet.RestartWorker(worker, down, DrawMillis(aRandom, 0, kLatestEntry));
}

auto
PowerCycleWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongestDown = 2500;
  constexpr std::int64_t kLatestEntry = 1500;
  const auto worker = DrawWorker(aFleet, aRandom);
  const auto down = DrawMillis(aRandom, 20, kLongestDown);
  aFleet.PowerCycleWorker(worker, down, DrawMillis(aRandom, 0, kLatestEntry));
}

auto
ReuseAddress(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongestDown = 4000;
  const auto worker = DrawWorker(aFleet, aRandom);
  aFleet.ReuseAddress(worker, DrawMillis(aRandom, 20, kLongestDown));
}

// The worker comes back behind a cut, so that nobody hears of it at once.
auto
RestartWorkerBehindCut(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongestCut = 9000;
  const auto worker = DrawWorker(aFleet, aRandom);
  aFleet.RestartWorker(
    worker, DrawMillis(aRandom, 20, 200), DrawMillis(aRandom, 300, 3000));
  const auto cut = DrawMillis(aRandom, 1000, kLongestCut);
  aFleet.After(DrawMillis(aRandom, 0, 400), [&aFleet, worker, cut] {
    aFleet.CutWorker(worker, true);
    aFleet.After(cut, [&aFleet, worker] { aFleet.CutWorker(worker, false); });
  });
}

auto
CutWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongest = 9000;
  const auto worker = DrawWorker(aFleet, aRandom);
  aFleet.CutWorker(worker, true);
  aFleet.After(DrawMillis(aRandom, 100, kLongest),
               [&aFleet, worker] { aFleet.CutWorker(worker, false); });
}

auto
ResetWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  for (auto worker = 0; worker < aFleet.Workers(); ++worker) {
    if (Draw(aRandom, 0, 2) == 0) {
      aFleet.ResetWorkerConnections(worker);
    }
  }
}

auto
ResetStore(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  for (auto instance = 0; instance < aFleet.Instances(); ++instance) {
    if (Draw(aRandom, 0, 1) == 0) {
      aFleet.ResetStoreConnections(instance);
    }
  }
}

auto
ThrottleOwner(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr double kLeastShare = 0.02;
  constexpr double kMostShare = 0.2;
  auto share =
    std::uniform_real_distribution{ kLeastShare, kMostShare }(aRandom);
  aFleet.Throttle(
    OwnerOrAny(aFleet, aRandom), share, DrawMillis(aRandom, 500, 5000));
}

// For less than it takes others to step in, or for a little more.
auto
PauseOwner(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongest = 4000;
  aFleet.Pause(OwnerOrAny(aFleet, aRandom), DrawMillis(aRandom, 200, kLongest));
}

auto
KillOwner(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongest = 3000;
  const auto owner = OwnerOrAny(aFleet, aRandom);
  aFleet.Kill(owner);
  aFleet.After(DrawMillis(aRandom, 20, kLongest),
               [&aFleet, owner] { aFleet.Start(owner); });
}

auto
StopOwner(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  aFleet.Restart(OwnerOrAny(aFleet, aRandom));
}

auto
LoseAnswers(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr double kPart = 0.15;
  aFleet.LoseWorkerAnswers(kPart);
  aFleet.After(DrawMillis(aRandom, 300, 2500),
               [&aFleet] { aFleet.LoseWorkerAnswers(0.0); });
}

auto
LateOrders(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr double kPart = 0.2;
  constexpr Millis kLate{ 12000 };
  aFleet.LateOrders(kPart, kLate);
  aFleet.After(DrawMillis(aRandom, 300, 2500),
               [&aFleet] { aFleet.LateOrders(0.0, Millis{ 0 }); });
}

auto
HideWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongest = 6000;
  aFleet.HideWorker(DrawWorker(aFleet, aRandom),
                    DrawMillis(aRandom, 200, kLongest));
}

auto
KillWorker(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  constexpr std::int64_t kLongest = 5000;
  aFleet.KillWorker(
    DrawWorker(aFleet, aRandom), true, DrawMillis(aRandom, 100, kLongest));
}

auto
TreatFor(RealFleet& aFleet,
         int aInstance,
         const fakes::StoreTreatment& aTreatment,
         Millis aTime) -> void
{
  aFleet.Treat(aInstance, aTreatment);
  aFleet.After(aTime, [&aFleet, aInstance] { aFleet.Treat(aInstance, {}); });
}

auto
StoreLosesAnswers(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  auto treatment = fakes::StoreTreatment{};
  constexpr double kPart = 0.3;
  treatment.lost = kPart;
  treatment.late = DrawMillis(aRandom, 0, 6000);
  TreatFor(aFleet,
           OwnerOrAny(aFleet, aRandom),
           treatment,
           DrawMillis(aRandom, 300, 3000));
}

auto
StoreRefusesOwner(RealFleet& aFleet, FaultGenerator& aRandom) -> void
{
  auto treatment = fakes::StoreTreatment{};
  treatment.mode = Draw(aRandom, 0, 1) == 0
                     ? fakes::StoreTreatment::Mode::Refuses
                     : fakes::StoreTreatment::Mode::Silent;
  TreatFor(aFleet,
           OwnerOrAny(aFleet, aRandom),
           treatment,
           DrawMillis(aRandom, 200, 3000));
}

constexpr std::array<RepeatedFault, 18> kRepeatedFaults{ {
  { "restart-worker", RestartWorker },
  { "restart-behind-cut", RestartWorkerBehindCut },
  { "power-cycle-worker", PowerCycleWorker },
  { "reuse-address", ReuseAddress },
  { "cut-worker", CutWorker },
  { "reset-workers", ResetWorker },
  { "reset-store", ResetStore },
  { "throttle-owner", ThrottleOwner },
  { "pause-owner", PauseOwner },
  { "kill-owner", KillOwner },
  { "stop-owner", StopOwner },
  { "lose-answers", LoseAnswers },
  { "late-orders", LateOrders },
  { "hide-worker", HideWorker },
  { "kill-worker", KillWorker },
  { "store-loses-answers", StoreLosesAnswers },
  { "store-refuses-owner", StoreRefusesOwner },
  { "none", [](RealFleet& /*aFleet*/, FaultGenerator& /*aRandom*/) {} },
} };

auto
StrikeNext(RealFleet& aFleet,
           const std::shared_ptr<std::vector<RepeatedFault>>& aFaults,
           const std::shared_ptr<FaultGenerator>& aRandom,
           Millis aInterval,
           Time aUntil) -> void
{
  if (aFleet.Now() >= aUntil) {
    return;
  }
  const auto next =
    Draw(*aRandom, 0, static_cast<std::int64_t>(aFaults->size()) - 1);
  aFaults->at(static_cast<std::size_t>(next)).strike(aFleet, *aRandom);
  aFleet.After(aInterval, [&aFleet, aFaults, aRandom, aInterval, aUntil] {
    StrikeNext(aFleet, aFaults, aRandom, aInterval, aUntil);
  });
}

} // namespace

auto
RepeatedFaultNames() -> std::string
{
  auto names = std::string{};
  for (const auto& fault : kRepeatedFaults) {
    names += names.empty() ? "" : ",";
    names += fault.name;
  }
  return names;
}

auto
ParseRepeatedFaults(const std::string& aNames, std::string& aReason)
  -> std::optional<std::vector<RepeatedFault>>
{
  if (aNames == "all") {
    return std::vector<RepeatedFault>{ kRepeatedFaults.begin(),
                                       kRepeatedFaults.end() };
  }
  auto faults = std::vector<RepeatedFault>{};
  auto names = std::istringstream{ aNames };
  auto name = std::string{};
  while (std::getline(names, name, ',')) {
    const auto* const found = std::find_if(
      kRepeatedFaults.begin(),
      kRepeatedFaults.end(),
      [&](const RepeatedFault& aFault) { return name == aFault.name; });
    if (found == kRepeatedFaults.end()) {
      aReason = "fault '" + name + "' is not one of " + RepeatedFaultNames();
      return std::nullopt;
    }
    faults.push_back(*found);
  }
  if (faults.empty()) {
    aReason = "no fault is named";
    return std::nullopt;
  }
  return faults;
}

auto
RepeatFaults(RealFleet& aFleet,
             const std::vector<RepeatedFault>& aFaults,
             std::uint64_t aSeed,
             Millis aInterval,
             Millis aTime) -> void
{
  StrikeNext(aFleet,
             std::make_shared<std::vector<RepeatedFault>>(aFaults),
             std::make_shared<FaultGenerator>(aSeed),
             aInterval,
             aFleet.Now() + aTime);
}

} // namespace gooseberry::soak
