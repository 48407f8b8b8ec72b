#include "chaosbench.h"

#include <cstdio>
#include <functional>
#include <iostream>
#include <set>

#include <oneapi/tbb/parallel_for.h>

#include "benchoptions.h"
#include "world.h"

namespace gooseberry {

namespace {

constexpr Millis kFaultTime{ 90000 };
constexpr Millis kLongestPause{ 30000 };
constexpr Millis kFaultInterval{ 1500 };
constexpr Millis kRecoveryStep{ 10000 };
constexpr Millis kRecoveryAtMost{ 400000 };
// From an accepted edit until no task may start in the closed failure domain:
// freshness of the document, the start's own window, and clock rates.
constexpr std::int64_t kClosedAfterMillis = 5000;

constexpr const char* kSite = R"(outage_allowance: 10s
domains:
  - name: domain-0
  - name: domain-1
  - name: domain-2
)";

constexpr const char* kTeam = R"(quota: {cpu_millis: 80000, memory_mb: 200000}
batch:
  - {name: billing, cpu_millis: 2000, memory_mb: 1000, run_time: 4s, checkpoints: true, at_most_once: true}
  - {name: report, cpu_millis: 4000, memory_mb: 8000, run_time: 9s}
  - {name: certificate, cpu_millis: 1000, memory_mb: 500, run_time: 2s, urgent: true, checkpoints: true, at_most_once: true}
watchers:
  - {name: locker, cpu_millis: 500, memory_mb: 200, replicas: 4}
replicas:
  - {name: kiosk, cpu_millis: 4000, memory_mb: 4000, replicas: 5}
)";

// A time in which no task may start in one failure domain.
struct ClosedSpan
{
  std::string domain;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

class ChaosRun
{
public:
  explicit ChaosRun(std::uint64_t aSeed)
    : world(MakeOptions(aSeed))
  {
  }

  auto Run(std::uint64_t aSeed) -> ChaosResult
  {
    this->world.Edit(kSiteSection, kSite);
    this->world.Edit("team", kTeam);
    this->world.RunFor(Millis{ 3000 });
    this->world.Submit("billing", 40, "first");
    this->world.Submit("report", 15, "first");
    this->submitted = 55;
    const auto end = this->world.Queue().Now() + kFaultTime;
    while (this->world.Queue().Now() < end) {
      this->DrawFault();
      this->world.RunFor(kFaultInterval);
    }
    this->Calm();
    const auto finished = this->Recover();
    // Whatever is still paused goes on and says what it did.
    this->world.RunFor(kLongestPause);
    auto figures = this->world.Figures({ "billing.", "certificate." });
    auto result = ChaosResult{ aSeed,
                               std::move(figures.tasks.violations),
                               figures.tasks.starts,
                               figures.tasks.finishes,
                               figures.signature,
                               this->world.Events() };
    if (!finished) {
      result.violations.push_back(this->Unfinished());
    }
    this->JudgeClosed(result);
    return result;
  }

private:
  static auto MakeOptions(std::uint64_t aSeed) -> WorldOptions
  {
    auto options = WorldOptions{};
    options.seed = aSeed;
    options.instances = 3 + static_cast<int>(aSeed % 3);
    options.workers = 9 + static_cast<int>(aSeed % 4);
    options.harmPercent = static_cast<int>(aSeed % 5) * 10;
    options.linked = aSeed % 2 == 1;
    return options;
  }

  auto Draw(std::uint64_t aRange) -> std::uint64_t
  {
    return this->world.Random()() % aRange;
  }

  auto DrawMillis(std::int64_t aMost) -> Millis
  {
    return Millis{ static_cast<std::int64_t>(
      this->Draw(static_cast<std::uint64_t>(aMost))) };
  }

  auto DrawFault() -> void
  {
    const auto instance = this->Draw(this->world.InstanceCount());
    const auto worker = this->Draw(this->world.WorkerCount());
    auto& rates = this->world.Rates();
    const std::vector<std::function<void()>> faults{
      [&] { this->world.PauseInstance(instance, this->DrawMillis(20000)); },
      [&] { this->world.ReplaceInstance(instance, this->DrawMillis(5000)); },
      [&] {
        this->world.CutInstanceFromStore(instance, this->DrawMillis(25000));
      },
      [&] {
        this->world.CutInstanceFromWorkers(instance, this->DrawMillis(15000));
      },
      [&] { this->world.PauseWorker(worker, this->DrawMillis(15000)); },
      [&] { this->world.RestartWorker(worker, this->DrawMillis(5000)); },
      [&] { this->world.StoreDown(this->DrawMillis(20000)); },
      [&] { rates.storeReplyLost = static_cast<int>(this->Draw(200)); },
      [&] { rates.storeWriteDelayed = static_cast<int>(this->Draw(60)); },
      [&] { rates.storeRefused = static_cast<int>(this->Draw(100)); },
      [&] { rates.syncLost = static_cast<int>(this->Draw(200)); },
      [&] { rates.syncReplyLost = static_cast<int>(this->Draw(200)); },
      [&] { rates.syncDelayed = static_cast<int>(this->Draw(100)); },
      [&] { this->FlipDomain(); },
      [&] { this->CancelSome(); },
      [&] { this->SubmitSome(); },
      [&] { this->world.SetFailAll(worker, this->Draw(2) == 0); },
    };
    faults[this->Draw(faults.size())]();
  }

  auto FlipDomain() -> void
  {
    const auto domain = "domain-" + std::to_string(this->Draw(3));
    const auto now = SteadyMillis(this->world.Queue().Now());
    const auto out = !this->closed.contains(domain);
    if (!this->world.SetDomain(domain, out)) {
      return;
    }
    if (out) {
      this->closed.insert(domain);
      this->spans.push_back({ domain, now, INT64_MAX });
      return;
    }
    this->closed.erase(domain);
    for (auto& span : this->spans) {
      if (span.domain == domain && span.to == INT64_MAX) {
        span.to = now;
      }
    }
  }

  auto CancelSome() -> void
  {
    for (auto index = 0; index < 5; ++index) {
      this->world.Cancel("billing.first." + std::to_string(this->Draw(40)));
    }
  }

  auto SubmitSome() -> void
  {
    // The same submission twice must count once.
    const auto name = "more-" + std::to_string(this->Draw(4));
    if (this->names.insert(name).second) {
      this->submitted += 6;
    }
    this->world.Submit("certificate", 6, name);
  }

  // Ends all faults that last.
  auto Calm() -> void
  {
    this->world.Rates() = FaultRates{};
    for (const auto& domain : std::set<std::string>{ this->closed }) {
      this->world.SetDomain(domain, false);
      for (auto& span : this->spans) {
        span.to = std::min(span.to, SteadyMillis(this->world.Queue().Now()));
      }
    }
    for (auto index = std::size_t{ 0 }; index < this->world.WorkerCount();
         ++index) {
      this->world.SetFailAll(index, false);
    }
  }

  auto Open() -> int { return this->submitted - this->Final(); }

  // Tasks that finished, were cancelled, or were parked after many failures.
  auto Final() -> int
  {
    auto count = 0;
    for (const auto* name : { "billing.", "report.", "certificate." }) {
      count += this->world.CountPhase(name, TaskPhase::Finished) +
               this->world.CountPhase(name, TaskPhase::Cancelled) +
               this->world.CountPhase(name, TaskPhase::Parked) +
               this->world.CountPhase(name, TaskPhase::Lost);
    }
    return count;
  }

  auto WatchersRun() -> bool
  {
    auto running = std::set<std::pair<std::string, std::uint64_t>>{};
    for (const auto& event : this->world.Events()) {
      const auto kept =
        event.task.starts_with("locker.") || event.task.starts_with("kiosk.");
      if (kept && event.what == "start") {
        running.emplace(event.task, event.attempt);
      } else if (kept) {
        running.erase({ event.task, event.attempt });
      }
    }
    return running.size() == 9;
  }

  auto Recover() -> bool
  {
    const auto end = this->world.Queue().Now() + kRecoveryAtMost;
    while (this->world.Queue().Now() < end) {
      this->world.RunFor(kRecoveryStep);
      if (this->Open() == 0 && this->WatchersRun()) {
        return true;
      }
    }
    return false;
  }

  auto Unfinished() -> std::string
  {
    return "not recovered: " + std::to_string(this->Open()) +
           " tasks open, watchers and services " +
           (this->WatchersRun() ? "run" : "missing");
  }

  auto JudgeClosed(ChaosResult& aResult) const -> void
  {
    for (const auto& event : this->world.Events()) {
      if (event.what != "start") {
        continue;
      }
      const auto index =
        std::stoul(event.worker.substr(event.worker.find('-') + 1));
      for (const auto& span : this->spans) {
        if (this->world.DomainOf(index) == span.domain &&
            event.millis >= span.from + kClosedAfterMillis &&
            event.millis < span.to) {
          aResult.violations.push_back("starts in closed " + span.domain +
                                       " (" + event.task + " at " +
                                       std::to_string(event.millis) + ")");
        }
      }
    }
  }

  World world;
  std::set<std::string> closed;
  std::vector<ClosedSpan> spans;
  std::set<std::string> names;
  int submitted = 0;
};

auto
Trace(const ChaosResult& aResult, const std::string& aTask) -> void
{
  for (const auto& event : aResult.events) {
    if (!aTask.empty() && event.task == aTask) {
      std::printf("seed %llu: %8lld %-12s %s attempt %llu on %s\n",
                  static_cast<unsigned long long>(aResult.seed),
                  static_cast<long long>(event.millis),
                  event.what.c_str(),
                  event.task.c_str(),
                  static_cast<unsigned long long>(event.attempt),
                  event.worker.c_str());
    }
  }
}

} // namespace

auto
RunChaosSeed(std::uint64_t aSeed) -> ChaosResult
{
  return ChaosRun{ aSeed }.Run(aSeed);
}

auto
RunChaosBench(const std::vector<std::string>& aWords) -> int
{
  auto options = BenchOptions{};
  if (!options.Read(aWords, { "seed", "seeds", "trace" })) {
    return kBenchUsage;
  }
  const auto first = options.Number("seed", 1);
  const auto count = options.Number("seeds", 20);
  auto results = std::vector<ChaosResult>(count);
  oneapi::tbb::parallel_for(
    std::uint64_t{ 0 }, count, [&](std::uint64_t aIndex) {
      results[aIndex] = RunChaosSeed(first + aIndex);
    });
  auto broken = std::size_t{ 0 };
  auto starts = std::size_t{ 0 };
  auto finishes = std::size_t{ 0 };
  auto signature = std::uint64_t{ 0 };
  for (const auto& result : results) {
    starts += result.starts;
    finishes += result.finishes;
    signature = StableHash(std::to_string(result.signature), signature);
    Trace(result, options.Text("trace", ""));
    broken += result.violations.empty() ? 0 : 1;
    for (const auto& violation : result.violations) {
      std::cout << "seed " << result.seed << ": " << violation << '\n';
    }
  }
  std::printf("seeds %llu to %llu: %zu broken, %zu starts, %zu finishes\n",
              static_cast<unsigned long long>(first),
              static_cast<unsigned long long>(first + count - 1),
              broken,
              starts,
              finishes);
  std::printf("Bench: %llu\n", static_cast<unsigned long long>(signature));
  return broken == 0 ? 0 : 1;
}

} // namespace gooseberry
