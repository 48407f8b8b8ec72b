#ifndef GOOSEBERRY_REALFLEET_H
#define GOOSEBERRY_REALFLEET_H

// A fleet of real processes on loopback: instances of gooseberryd against the
// users' platform, which stands in this process together with workers, callers,
// operators and the judge.

#include <memory>
#include <string>
#include <vector>

#include "eventloop.h"
#include "faultyfleet.h"
#include "fleet.h"
#include "httpclient.h"
#include "jobjudge.h"
#include "rowtable.h"
#include "site.h"
#include "storeserver.h"
#include "workerserver.h"

namespace gooseberry::soak {

struct RealFleetOptions
{
  int instances = 3;
  int workers = 12;
  int domains = 3;
  // Workers of a rack; 0: those of a failure domain form one.
  int rackWorkers = 0;
  Resources capacity{ 16000, 64000, 0 };
  // Of one instance, as a part of a core; what its settings tell.
  double processorShare = 0.5;
  int maxDescriptors = 1000;
  int memoryMb = 260;
  int cellWorkers = 400;
  // The longest lease that workers accept, and how long a stop takes at most.
  Millis leaseMax{ 6000 };
  Millis stop{ 400 };
  // Client accounts; with none, no key is required.
  std::vector<cells::Account> accounts;
  // Whether an instance that can't read the configuration refuses known keys,
  // too.
  bool strictRevoke = false;
  // Program of the instances.
  std::string daemon;
  std::uint64_t seed = 1;
  fakes::JudgeBounds bounds{};
  // Logs and settings of the instances go there.
  std::string directory;
};

// A job and how its caller submits it.
struct Submission
{
  cells::JobSpec spec;
  fakes::WorkPlan plan;
  AccountId account;
  // Sent with every request for the job; none if empty.
  std::string key;
};

// An answer to a caller's request.
struct CallerAnswer
{
  std::string method;
  cells::JobId job;
  std::string key;
  int instance = -1;
  Time sentAt{};
  // 0: there was none.
  int status = 0;
  bool mayHaveRun = false;
};

class RealFleet : public fakes::FaultyFleet
{
public:
  // Throws std::runtime_error if it can't be set up.
  RealFleet(EventLoop& aLoop, RealFleetOptions aOptions);
  RealFleet(const RealFleet&) = delete;
  auto operator=(const RealFleet&) -> RealFleet& = delete;
  ~RealFleet() override;

  auto Judge() -> fakes::JobJudge&;
  // Notes that a rule is broken that the judge does not know.
  auto Break(const std::string& aText) -> void;
  auto BrokenRules() const -> const std::vector<std::string>&;
  // Notes instances that have ended without being asked to, and starts them
  // again.
  auto CheckProcesses() -> void;
  auto PeakResidentMb(int aInstance) const -> int;
  auto OpenDescriptors(int aInstance) const -> int;
  auto CallersPort(int aInstance) const -> int;
  // Processor time of each instance's process so far, in seconds.
  auto ProcessorSeconds() const -> std::vector<double>;

  auto Random() -> std::mt19937_64& override;
  auto Now() const -> Time override;
  auto After(Millis aDelay, std::function<void()> aWork) -> void override;

  auto Submit(cells::JobSpec aSpec, fakes::WorkPlan aPlan)
    -> cells::JobId override;
  auto Cancel(const cells::JobId& aJob) -> void override;
  // The same as Submit on behalf of an account.
  auto SubmitAs(Submission aSubmission) -> cells::JobId;
  using OnAnswer = std::function<void(const CallerAnswer&)>;
  // Submits a job at this instance, once.
  auto SubmitAt(int aInstance, Submission aSubmission, OnAnswer aDone) -> void;
  // One request for the job at some instance.
  auto AskAs(const std::string& aKey,
             const std::string& aMethod,
             const cells::JobId& aJob) -> void;
  // Calls aObserver with every answer that a caller gets.
  auto ObserveAnswers(OnAnswer aObserver) -> void;
  auto AccountOf(const cells::JobId& aJob) const -> AccountId;
  // A job drawn from those submitted so far, if there are any.
  auto SomeJob() -> std::optional<cells::JobId>;

  // Writes the next version of the configuration.
  auto ChangeConfig(const std::function<void(cells::SiteConfig&)>& aChange)
    -> void;
  auto Config() const -> const cells::SiteConfig&;
  auto Evacuate(const DomainId& aDomain, bool aOut) -> void override;

  auto Instances() const -> int override;
  auto Kill(int aInstance) -> void override;
  auto Start(int aInstance) -> void override;
  auto Pause(int aInstance, Millis aTime) -> void override;
  // Asks it to end, and starts it again when it has ended.
  auto Restart(int aInstance) -> void override;
  auto Treat(int aInstance, fakes::StoreTreatment aTreatment) -> void override;
  auto CompactStore() -> void override;
  // Closes the connections of the instance to the store.
  auto ResetStoreConnections(int aInstance) -> void;
  // Closes the connections of all instances to the worker.
  auto ResetWorkerConnections(int aWorker) -> void;
  // Lets the instance run only for this part of each tenth of a second.
  auto Throttle(int aInstance, double aShare, Millis aTime) -> void;
  auto Owner() const -> int override;
  auto OwnerOf(const std::string& aCell) const -> int;
  // Whether each of the cells that the number of workers asks for has an owner.
  auto AllCellsOwned() const -> bool;
  // Processors of all workers, in thousandths of a core.
  auto CpuMillis() const -> std::int64_t;
  auto RevokesStrictly() const -> bool;
  // Whether the instance has run and the store has served it since then.
  auto ReachesStoreSince(int aInstance, Time aTime) const -> bool;

  auto Workers() const -> int override;
  auto KillWorker(int aWorker, bool aComesBack, Millis aAfter) -> void override;
  auto RestartWorker(int aWorker, Millis aDown, Millis aListedAfter)
    -> void override;
  // The same, but the machine has no power meanwhile: it answers nothing, and
  // its connections end when it is back.
  auto PowerCycleWorker(int aWorker, Millis aDown, Millis aListedAfter) -> void;
  // The worker is lost for good; after aDown a worker of another machine starts
  // at its address.
  auto ReuseAddress(int aWorker, Millis aDown) -> void;
  auto CutWorker(int aWorker, bool aCut) -> void override;
  auto FailWorker(int aWorker, bool aFails) -> void override;
  auto SlowWorker(int aWorker, double aTimes) -> void override;
  auto DrainWorker(int aWorker) -> void override;
  auto LateOrders(double aPart, Millis aLate) -> void override;
  auto LoseWorkerAnswers(double aPart) -> void override;
  auto HideWorker(int aWorker, Millis aTime) -> void override;

private:
  struct Instance
  {
    std::string name;
    std::string settingsFile;
    std::string logFile;
    int callersPort = 0;
    std::unique_ptr<test::Process> process;
    std::unique_ptr<standin::StoreServer> store;
    std::shared_ptr<HttpClient> callers;
    bool paused = false;
    // It has been asked to end, or has ended on purpose.
    bool mayEnd = true;
    // Since then, it has run without a pause and the store has served it.
    std::optional<Time> reachesStoreSince;
    bool storeServes = true;
    int life = 0;
  };

  struct Machine
  {
    std::unique_ptr<standin::WorkerServer> server;
    cells::WorkerEntry entry;
    int life = 0;
    // Machines that had this place and its address before.
    int earlierMachines = 0;
  };

  auto AddInstance(int aNumber) -> void;
  auto WriteSettings(const Instance& aInstance, int aNumber) const -> void;
  auto PlanOf(const cells::TaskName& aTask, std::uint32_t aRun)
    -> fakes::WorkPlan;
  auto NewWorker(int aWorker) -> void;
  auto NewProcess(int aWorker) -> std::unique_ptr<fakes::JobWorker>;
  // Starts a process under the worker's id; the one before has ended.
  auto StartProcess(int aWorker, Millis aListedAfter) -> void;
  auto ThrottleUntil(int aInstance, int aLife, double aShare, Time aUntil)
    -> void;
  auto ListWorker(int aWorker, bool aListed) -> void;
  auto PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
    -> void;
  auto WakeFeeds() -> void;
  // Of one that runs; -1 if none does.
  auto SomeInstance() -> int;
  auto AskCaller(int aInstance,
                 const std::string& aKey,
                 const std::string& aMethod,
                 const cells::JobId& aJob,
                 const std::string& aBody,
                 OnAnswer aDone) -> void;
  auto AddJob(Submission aSubmission) -> cells::JobId;
  // aRejected: all tries so far surely did not run.
  auto TryToSubmit(const cells::JobId& aJob, int aTries, bool aRejected)
    -> void;
  auto TryToCancel(const cells::JobId& aJob, int aTries) -> void;
  auto AskStates() -> void;
  auto Tick() -> void;

  EventLoop& loop;
  const RealFleetOptions options;
  std::mt19937_64 random;
  // What real time decides must not shift what the seed draws.
  std::mt19937_64 chance;
  fakes::RowTable table;
  fakes::JobJudge judge;
  cells::SiteConfig config;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Machine>> machines;
  std::map<cells::JobId, Submission> jobs;
  std::vector<std::string> brokenRules;
  OnAnswer observer;
  std::uint64_t nextJob = 0;
  std::list<TimerHandle> timers;
};

} // namespace gooseberry::soak

#endif
