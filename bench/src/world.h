#ifndef GOOSEBERRY_WORLD_H
#define GOOSEBERRY_WORLD_H

// A fleet in virtual time: the daemon's own control code over fakes of the
// platform and of the workers, with faults drawn from a seed.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "controlplane.h"
#include "faultytable.h"
#include "memoryplatform.h"
#include "taskjudge.h"
#include "virtualtime.h"
#include "workermodel.h"

namespace gooseberry {

struct WorldOptions
{
  std::uint64_t seed = 1;
  int instances = 4;
  int workers = 12;
  int domains = 3;
  int shards = 8;
  Resources workerCapacity{ 16000, 60000, 0 };
  int harmPercent = 0;
  int usePercent = 80;
  PlacementPolicy placement = PlacementPolicy::BestFit;
  // Whether the instances exchange hints; one in ten is lost.
  bool linked = false;
  // The service class whose slowdown is sampled.
  ClassId sampled{ "kiosk" };
};

struct WorldFigures
{
  TaskVerdicts tasks;
  std::uint64_t storeWrites = 0;
  std::uint64_t storeReads = 0;
  ShardEventCounts counts{};
  // Share of the readings of the sampled service slower than the limit.
  double brokenShare = 0.0;
  // Mean share of the workers' processors that running tasks were given.
  double utilization = 0.0;
  // Hash over all that the workers did.
  std::uint64_t signature = 0;
};

class World
{
public:
  explicit World(WorldOptions aOptions);
  World(const World&) = delete;
  auto operator=(const World&) -> World& = delete;
  ~World();

  auto Queue() -> EventQueue&;
  auto Random() -> std::mt19937_64&;
  auto RunFor(Millis aDuration) -> void;

  auto Edit(const std::string& aSection, const std::string& aText) -> bool;
  auto SetDomain(const std::string& aDomain, bool aOut) -> bool;
  auto Submit(const std::string& aClass,
              int aCount,
              const std::string& aSubmission) -> void;
  auto Cancel(const std::string& aTask) -> void;

  auto PauseInstance(std::size_t aIndex, Millis aFor) -> void;
  // Kills it; a new one takes its place after the time.
  auto ReplaceInstance(std::size_t aIndex, Millis aAfter) -> void;
  auto CutInstanceFromStore(std::size_t aIndex, Millis aFor) -> void;
  auto CutInstanceFromWorkers(std::size_t aIndex, Millis aFor) -> void;
  auto PauseWorker(std::size_t aIndex, Millis aFor) -> void;
  // Its tasks are gone at once; it comes back empty.
  auto RestartWorker(std::size_t aIndex, Millis aAfter) -> void;
  auto SetFailAll(std::size_t aIndex, bool aFailAll) -> void;
  auto StoreDown(Millis aFor) -> void;
  auto Rates() -> FaultRates&;

  auto InstanceCount() const -> std::size_t;
  auto WorkerCount() const -> std::size_t;
  auto DomainOf(std::size_t aWorker) const -> std::string;
  auto Events() const -> const std::vector<TaskEvent>&;
  // Tasks of a class in one phase, as the store has them.
  auto CountPhase(const std::string& aPrefix, TaskPhase aPhase) -> int;
  // aAtMostOnce: prefixes of tasks that must not start after any finish.
  auto Figures(const std::vector<std::string>& aAtMostOnce) -> WorldFigures;

private:
  struct FakeInstance;
  struct FakeWorker;
  class Workers;
  class Link;

  auto AddInstance() -> std::unique_ptr<FakeInstance>;
  auto BootWorker(FakeWorker& aWorker) -> void;
  auto StepWorkers() -> void;
  auto ListWorkers() -> void;
  auto DeliverHint(const std::string& aAddress, const Hint& aHint) -> void;
  auto Deliver(FakeWorker& aWorker, const SyncRequest& aRequest)
    -> std::optional<WorkerReport>;

  const WorldOptions options;
  std::mt19937_64 random;
  EventQueue queue;
  FaultRates rates;
  MemoryTable table;
  MemoryObjectStore objects;
  StaticInstanceList instancesList;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<std::unique_ptr<FakeInstance>> instances;
  // Dead instances stay, since events may still name them.
  std::vector<std::unique_ptr<FakeInstance>> graveyard;
  std::vector<TaskEvent> events;
  std::uint64_t editNumber = 0;
  int instanceNumber = 0;
  std::uint64_t samples = 0;
  std::uint64_t serviceSamples = 0;
  std::uint64_t brokenSamples = 0;
  double utilizationSum = 0.0;
};

} // namespace gooseberry

#endif
