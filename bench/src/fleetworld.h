#ifndef GOOSEBERRY_FLEETWORLD_H
#define GOOSEBERRY_FLEETWORLD_H

// A whole fleet in virtual time: the shipped code of several instances against
// models of the platform's tables and of workers, with faults by command.

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "callerapi.h"
#include "cellmanager.h"
#include "faultyfleet.h"
#include "fleetsettings.h"
#include "jobjudge.h"
#include "jobworker.h"
#include "rowtable.h"
#include "sitewatcher.h"
#include "virtualloop.h"

namespace gooseberry {

// Prints the decisions whose line holds a text.
class TraceLog : public cells::DecisionLog
{
public:
  TraceLog(const EventQueue& aQueue,
           const std::string& aTrace,
           std::string aInstance);

  auto IsSampled(const cells::JobId& aJob) const -> bool override;
  auto Write(const char* aEvent,
             std::initializer_list<cells::DecisionField> aFields)
    -> void override;

private:
  const EventQueue& queue;
  const std::string& trace;
  const std::string instance;
};

struct FleetWorldOptions
{
  // Decisions about what has this text in it are printed; empty for none.
  std::string trace;
  int instances = 3;
  int workers = 12;
  int domains = 3;
  // Workers of a rack; 0: those of a failure domain form one.
  int rackWorkers = 0;
  // Of one worker.
  Resources capacity{ 16000, 64000, 0 };
  // Workers of a cell.
  std::size_t cellWorkers = 400;
  // Jobs are known for so long after their end.
  Millis keepEnded{ 120000 };
  // The longest lease that workers accept.
  Millis leaseMax{ 6000 };
  // Answers to renewals take up to so much longer, each its own time.
  Millis reportsLateBy{ 0 };
  // A machine whose worker has left starts a new one soon after.
  bool machinesReturn = true;
  // Client accounts. The first one sends half of the jobs; the last one, which
  // has no limit, sends those that last.
  int accounts = 0;
  // What each of the others may use in all cells together.
  Resources accountLimit;
  // Bytes per second that an instance can receive from the store; 0: any
  // number. Answers arrive one after the other then. Counts for reads of many
  // rows only.
  std::size_t linkBytesPerSecond = 0;
  // Jobs may be refused under overload.
  bool admission = true;
  // Run times are learned, and late tasks get second runs.
  bool runTimes = true;
  std::uint64_t seed = 1;
};

using fakes::StoreTreatment;

// An adviser, which handles one request after the other for each instance.
struct AdviserModel
{
  cells::AdviceTimes times{ Millis{ 30 }, Millis{ 2 }, Millis{ 3000 } };
  // The configuration tells the times; an adviser that is slower takes so many
  // times as long.
  bool told = false;
  double slowness = 1.0;
  // Tickets are issued with the response, not when the request arrives.
  bool issuesLate = false;
  // The part of the workers that may run a step, of 5.
  std::uint64_t allowedOfFive = 2;
  // Requests beyond this number that wait get no decision.
  std::size_t maxWaiting = 32;
  // How it answers the others.
  cells::AdviceStatus answers = cells::AdviceStatus::Answered;
};

class FleetWorld final : public fakes::FaultyFleet
{
public:
  explicit FleetWorld(FleetWorldOptions aOptions);
  FleetWorld(const FleetWorld&) = delete;
  auto operator=(const FleetWorld&) -> FleetWorld& = delete;
  ~FleetWorld() override;

  auto Queue() -> EventQueue&;
  auto Judge() -> fakes::JobJudge&;
  auto Random() -> std::mt19937_64& override;
  auto Now() const -> Time override;
  auto After(Millis aDelay, std::function<void()> aWork) -> void override;
  auto RunFor(Millis aTime) -> void;

  // Callers. A caller tries again, at another instance, until it has an answer.
  auto Submit(cells::JobSpec aSpec, fakes::WorkPlan aPlan)
    -> cells::JobId override;
  auto Cancel(const cells::JobId& aJob) -> void override;
  // Cancels an id that nobody has submitted.
  auto CancelUnknown(const cells::JobId& aJob) -> void;
  // Takes the id of a job that is done and was forgotten for one like it.
  auto SubmitAgain(const cells::JobId& aJob) -> void;

  // Operators.
  auto Evacuate(const DomainId& aDomain, bool aOut) -> void override;
  auto SetConfig(const cells::SiteConfig& aConfig) -> void;
  auto Config() const -> const cells::SiteConfig&;
  // Changes what the first account may use in all cells together.
  auto SetAccountLimit(Resources aLimit) -> void;
  // Whether only workers that the adviser names may run the queue's steps.
  auto SetAdvised(bool aAdvised) -> void;

  // The adviser.
  auto SetAdviser(bool aServes) -> void;
  // Also whether the queue's steps need an adviser.
  auto SetAdviserModel(const AdviserModel& aModel) -> void;
  // Requests to the adviser so far, and those of them that were too many.
  auto AdviceRequests() const -> std::size_t;
  auto OverloadedRequests() const -> std::size_t;
  // Starts that a worker refused for want of a valid ticket.
  auto RefusedTickets() const -> std::size_t;
  // Submissions that were refused for overload.
  auto RefusedSubmissions() const -> std::size_t;

  // Instances.
  auto Instances() const -> int override;
  auto Kill(int aInstance) -> void override;
  auto Start(int aInstance) -> void override;
  auto Runs(int aInstance) const -> bool;
  auto Pause(int aInstance, Millis aTime) -> void override;
  auto Restart(int aInstance) -> void override;
  auto Treat(int aInstance, StoreTreatment aTreatment) -> void override;
  auto CompactStore() -> void override;
  // The instance that owns the cell; -1 if none does.
  auto Owner() const -> int override;
  // How many cells the instance owns; 0 if it does not run.
  auto OwnedCells(int aInstance) const -> std::size_t;
  // How many owned cells know by how much best-effort tasks of the one image
  // raise the tails of the other.
  auto CellsThatKnow(const std::string& aServing,
                     const std::string& aFilling) const -> int;
  // The longest lease that may hold, as the owner of the first cell knows it; 0
  // without an owner.
  auto LongestLease() const -> Millis;
  // Cuts the network between an instance and a worker, or mends it.
  auto CutLink(int aInstance, int aWorker, bool aCut) -> void;
  // How many workers the instance has connections to.
  auto WorkerConnections(int aInstance) const -> std::size_t;

  // Workers.
  auto Workers() const -> int override;
  auto KillWorker(int aWorker, bool aComesBack, Millis aAfter) -> void override;
  // The store rejects each transaction that writes the job's record.
  auto RejectRecordsOf(const cells::JobId& aJob) -> void;
  // Transactions that the store rejected, for that or beyond its limits.
  auto RejectedCommits() const -> std::size_t;
  auto RestartWorker(int aWorker, Millis aDown, Millis aListedAfter)
    -> void override;
  // The worker is lost for good; so much later a worker of another machine,
  // whose clock has been running for that long, starts at its address.
  auto ReuseAddress(int aWorker, Millis aAfter, Millis aClock) -> void;
  auto CutWorker(int aWorker, bool aCut) -> void override;
  auto FailWorker(int aWorker, bool aFails) -> void override;
  auto SlowWorker(int aWorker, double aTimes) -> void override;
  auto DrainWorker(int aWorker) -> void override;
  // Part of the orders that get no answer and are carried out up to so much
  // later.
  auto LateOrders(double aPart, Millis aLate) -> void override;
  auto LoseWorkerAnswers(double aPart) -> void override;
  auto HideWorker(int aWorker, Millis aTime) -> void override;
  // Of all workers, see JobWorker.
  auto StaleOrders() const -> std::size_t;
  auto RepeatedStarts() const -> std::size_t;
  auto RunningTasks() const -> std::size_t;
  // What is free on each worker that is alive and stays.
  auto FreeRooms() const -> std::vector<Resources>;
  // Calls of all instances to the store.
  auto StoreCalls() const -> std::size_t;
  // Rows that delegate tasks to another cell, as often as they were written.
  auto DelegationsWritten() const -> std::size_t;

  // Replaces what the store holds of a submission.
  auto SpoilSubmission(const cells::JobId& aJob) -> void;
  // Replaces the values of all rows of the table whose key begins so by bytes
  // that mean nothing. Returns how many there were.
  auto SpoilRows(const std::string& aTable,
                 const std::string& aKeyPrefix,
                 const std::string& aValue) -> std::size_t;
  // Writes a row of the table of workers, as another writer may.
  auto PutWorkerRow(const std::string& aKey, const std::string& aValue) -> void;
  // Submits a job and lets time pass; whether it is done then.
  auto RunsNewJobs() -> bool;
  auto RowsOf(const std::string& aTable) const -> std::size_t;
  // Rows of jobs in the store, whatever they tell of them.
  auto JobRows() -> std::size_t;
  // The status of an answer to a question for the job's state; 0 without one.
  auto AskState(const cells::JobId& aJob) -> int;
  // Asks the instance how many jobs wait. aDone gets the number, or nothing if
  // the answer tells none; it is not called if the instance does not run.
  using OnPending = std::function<void(std::optional<std::size_t>)>;
  auto AskPending(int aInstance, OnPending aDone) -> void;

private:
  struct Instance;

  struct WorkerBox
  {
    // A renewal that waits for an end.
    struct Waiting
    {
      cells::WorkerCall call;
      Time until{};
      std::function<void(cells::WorkerAnswer)> done;
    };

    std::unique_ptr<fakes::JobWorker> worker;
    cells::WorkerEntry entry;
    bool alive = false;
    bool cut = false;
    int life = 0;
    // Machines that had this place and its address before.
    int earlierMachines = 0;
    // What the clock shows at the start of a process.
    Millis firstClock = fakes::JobWorkerOptions{}.firstClock;
    std::vector<Waiting> waiting;
  };

  class InstanceTables;
  class InstanceWorkers;
  class InstanceAdvice;
  class FakeExchange;

  struct Ticket
  {
    cells::StepName step;
    WorkerId worker;
    Time until{};
  };

  auto MayRun(const cells::StepName& aStep, const WorkerId& aWorker) const
    -> bool;
  // Of the account that the job belongs to, and its key as a field of requests.
  auto AccountOf(const cells::JobId& aJob) const -> AccountId;
  auto FieldsFor(const cells::JobId& aJob) const -> HttpFields;
  auto NewTicket(const cells::StepName& aStep,
                 const WorkerId& aWorker,
                 Time aUntil) -> std::string;
  auto TakesTicket(const WorkerBox& aBox, const cells::WorkerCall& aCall)
    -> bool;
  auto PlanOf(const cells::TaskName& aTask, std::uint32_t aRun)
    -> fakes::WorkPlan;
  // Whether the transaction is within the limits of the users' store.
  auto IsTaken(const cells::TableTransaction& aCommit) const -> bool;
  auto NewWorker(int aWorker) -> void;
  // aWorker: the place in the list of workers; a new machine takes it.
  auto NewMachine(int aWorker, Millis aClock) -> void;
  auto StartWorkerProcess(WorkerBox& aBox) -> void;
  auto ListWorker(int aWorker, bool aListed) -> void;
  auto Tick() -> void;
  auto LoseAnswer(const WorkerBox::Waiting& aCall) -> void;
  auto SubmitAs(const cells::JobId& aJob) -> void;
  auto TryToSubmit(cells::JobId aJob, int aTries) -> void;
  auto TryToCancel(cells::JobId aJob, int aTries) -> void;
  auto AskStates() -> void;
  auto PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
    -> void;
  auto WakeFeeds() -> void;
  auto SomeInstance() -> Instance*;

  const FleetWorldOptions options;
  EventQueue queue;
  std::mt19937_64 random;
  fakes::RowTable table;
  fakes::JobJudge judge;
  cells::SiteConfig config;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<WorkerBox>> workers;
  std::map<cells::JobId, std::pair<cells::JobSpec, fakes::WorkPlan>> jobs;
  std::uint64_t nextJob = 0;
  std::map<std::string, Ticket> tickets;
  std::uint64_t lastTicket = 0;
  std::size_t refusedTickets = 0;
  std::size_t refusedSubmissions = 0;
  bool adviserServes = true;
  AdviserModel adviser;
  std::size_t adviceRequests = 0;
  std::size_t overloadedRequests = 0;
  std::size_t storeCalls = 0;
  std::optional<cells::JobId> refusedRecord;
  std::size_t rejectedCommits = 0;
  std::size_t delegationsWritten = 0;
  // Workers by address.
  std::map<std::string, WorkerBox*> addresses;
  // Instances and workers that don't reach each other.
  std::set<std::pair<const Instance*, const WorkerBox*>> cutLinks;
  double lateOrders = 0.0;
  Millis lateBy{ 0 };
  double lostAnswers = 0.0;
};

} // namespace gooseberry

#endif
