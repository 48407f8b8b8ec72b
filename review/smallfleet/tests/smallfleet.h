#ifndef GOOSEBERRY_SMALLFLEET_H
#define GOOSEBERRY_SMALLFLEET_H

// A small deployment on loopback for the scripts of this review: instances of
// gooseberryd as processes of their own, started as the deploy file says, and
// in this process the platform's store, workers and clients. Everything that
// they send, answer and run is written to a record.

#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

#include "../../../standins/src/storeserver.h"
#include "../../../standins/src/workerserver.h"
#include "eventloop.h"
#include "faultyfleet.h"
#include "httpclient.h"
#include "httpserver.h"
#include "rowtable.h"
#include "site.h"
#include "slowlink.h"

namespace gooseberry::review {

// A queue's adviser, as the configuration tells of it; it allows every worker.
struct Advice
{
  Millis decide{ 0 };
  Millis each{ 0 };
  Millis valid{ 3000 };
};

struct SmallFleetOptions
{
  int instances = 3;
  int workers = 8;
  int zones = 3;
  Resources capacity{ 4000, 16000, 0 };
  // The queue's, as the configuration tells.
  std::uint32_t maxAttempts = 2;
  double slackFactor = 1.5;
  Millis targetLatency{ 250 };
  std::optional<Advice> advice;
  // Of each instance's link to the store; 0: as fast as loopback is.
  double linkMegabits = 0.0;
  // The deployment's bounds.
  Millis holdMax{ 6000 };
  Millis stop{ 400 };
};

// An answer to a client's request; status 0 if there was none.
struct ClientAnswer
{
  int status = 0;
  std::string body;
};

class SmallFleet
{
public:
  using Plan =
    std::function<fakes::WorkPlan(const cells::TaskName&, std::uint32_t aRun)>;

  // Throws std::runtime_error if the fleet can't be set up. aRecord: path of
  // the record.
  SmallFleet(SmallFleetOptions aOptions, const std::string& aRecord);
  SmallFleet(const SmallFleet&) = delete;
  auto operator=(const SmallFleet&) -> SmallFleet& = delete;
  // Ends all instances.
  ~SmallFleet();

  // What a run of a task does; set it before the first job.
  auto SetPlan(Plan aPlan) -> void;
  auto RunFor(Millis aTime) -> void;
  // False if the condition did not hold within this time.
  auto RunUntil(Millis aAtMost, const std::function<bool()>& aHolds) -> bool;
  // Seconds since the fleet was set up.
  auto Seconds() const -> double;
  auto SecondsOf(Time aTime) const -> double;
  auto UnixMillis() const -> std::int64_t;
  auto Record(const std::string& aText) -> void;

  // Whether clients' requests are written to the record.
  auto RecordRequests(bool aOn) -> void;
  // Of what workers do from now on, only this job's events are written there.
  auto RecordEventsOf(const cells::JobId& aJob) -> void;

  // Waits until some instance owns the cell and an instance accepts work; false
  // if that takes longer than 30 s.
  auto WaitUntilReady() -> bool;
  // Sends one request of a client to the instance; aDone gets the answer.
  auto Send(int aInstance,
            const std::string& aMethod,
            const std::string& aJob,
            const std::string& aBody,
            std::function<void(const ClientAnswer&)> aDone) -> void;
  // The same, and waits for the answer.
  auto Ask(int aInstance,
           const std::string& aMethod,
           const std::string& aJob,
           const std::string& aBody) -> ClientAnswer;
  // The state that the instance shows, as it is written in the answer; empty if
  // there is none.
  auto StateAt(int aInstance, const std::string& aJob) -> std::string;

  // The operator writes the next version, with so many routes more; the
  // client's stays as it is.
  auto GrowConfig(int aRoutes) -> void;

  // The instance that the owner's row names; -1 if there is none.
  auto Owner() -> int;
  auto Kill(int aInstance) -> void;
  auto Start(int aInstance) -> void;
  auto Signal(int aInstance, int aSignal) -> void;
  auto Runs(int aInstance) const -> bool;
  auto Treat(int aInstance, fakes::StoreTreatment aTreatment) -> void;

  // Ends the worker's process, and starts another one under the same id and at
  // the same address after aDown.
  auto CrashWorker(int aWorker, Millis aDown) -> void;
  // The worker on which the task runs; -1 if none does.
  auto WorkerOf(const cells::TaskName& aTask) -> int;
  auto Worker(int aWorker) -> standin::WorkerServer&;
  // What happened on the workers so far.
  auto Events() const -> const std::vector<fakes::JobEvent>&;

private:
  struct Instance
  {
    std::string name;
    std::string settingsFile;
    std::string logFile;
    int callersPort = 0;
    pid_t process = -1;
    std::unique_ptr<standin::StoreServer> store;
    std::unique_ptr<SlowLink> link;
    std::shared_ptr<HttpClient> callers;
  };

  struct Machine
  {
    std::unique_ptr<standin::WorkerServer> server;
    cells::WorkerEntry entry;
  };

  auto WriteSettings(const Instance& aInstance, int aNumber) const -> void;
  auto WriteConfig() -> void;
  auto StartAdviser() -> void;
  // Answers one question after the other, each after its time.
  auto Advise(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
    -> void;
  auto NewProcess(int aWorker) -> std::unique_ptr<fakes::JobWorker>;
  auto ListWorker(int aWorker, bool aListed) -> void;
  auto OnEvent(const fakes::JobEvent& aEvent) -> void;
  auto After(Millis aDelay, std::function<void()> aWork) -> void;
  auto Tick() -> void;

  const SmallFleetOptions options;
  EventLoop loop;
  const Time startedAt;
  std::ofstream record;
  bool recordsRequests = true;
  std::optional<cells::JobId> recordedJob;
  std::string directory;
  std::mt19937_64 random;
  fakes::RowTable table;
  cells::SiteConfig config;
  std::shared_ptr<HttpServer> adviser;
  // When the adviser is done with all questions so far.
  Time adviserFree{};
  Plan plan;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<fakes::JobEvent> events;
  std::list<TimerHandle> timers;
};

// Whether the environment asks for the run without the disruption.
auto
IsWithoutTrouble() -> bool;

// Runs a script; its exit status is 2 if something keeps it from running. All
// processes have ended when this returns.
auto
RunScript(const std::function<int()>& aScript) -> int;

// Writes the verdict to the record and the standard output. Returns the
// script's exit status: 1 if the rule was broken, 0 if it held.
auto
Conclude(SmallFleet& aFleet, bool aBroken, const std::string& aText) -> int;

} // namespace gooseberry::review

#endif
