#ifndef GOOSEBERRY_CELL_H
#define GOOSEBERRY_CELL_H

// Scheduler of one cell, that is of a set of workers and of the jobs that run
// on them: decides what starts where, what must stop and what is recorded. One
// instance at a time owns a cell and runs this.
//
// The class does no I/O and uses no threads or clocks. Each event is a call
// that carries the time; the caller carries out the effects, which it fetches
// with TakeCalls(), TakeAdviceRequests() and NextBatch().
//
// Long-running tasks run until their job is cancelled; those that answer users
// may have a target for the tail of their response times. Best-effort tasks use
// processors that other tasks leave idle, and may raise those tails.

#include <array>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "accountledger.h"
#include "accountshares.h"
#include "adviser.h"
#include "cellload.h"
#include "crashsuspects.h"
#include "decisionlog.h"
#include "delegation.h"
#include "durations.h"
#include "interferencemodel.h"
#include "job.h"
#include "learnedstate.h"
#include "loadsample.h"
#include "overload.h"
#include "peerroom.h"
#include "pendingcall.h"
#include "recordbatch.h"
#include "site.h"
#include "speculation.h"
#include "takeoverstate.h"
#include "taskcontext.h"
#include "tunables_cells.h"
#include "workercall.h"
#include "workerslot.h"

namespace gooseberry::cells {

// Properties of the platform that a cell's decisions depend on.
struct CellOptions
{
  // The longest lease that workers accept, and the lease that the owner grants.
  Millis maxLease{ 6000 };
  Millis lease{ 5000 };
  // A worker that accepts a stop has ended the run within this time.
  Millis maxStopTime{ 400 };
  // How long a job remains known after its end.
  Millis endedJobRetention{ 120000 };
  // How long after its last confirmed ownership an owner may grant leases.
  Millis ownershipValidity{ 4000 };
  // Factor by which a task takes longer away from its data, or in a gang that
  // is split over racks.
  double remoteSlowdown = 3.0;
  // Fraction by which an account may exceed its limit.
  double quotaOverage = 0.0;
  // A configuration is in force so long after it was written.
  Millis configApply{ 4000 };
  // Best-effort tasks are placed and paced by the headroom of the
  // latency-critical tasks beside them; see headroom.h.
  bool usesHeadroom = false;
  // Run times are learned by queue, and replace the callers' estimates.
  bool learnedRunTimes = false;
  // Late tasks of steps that may run twice get a second run.
  bool secondRuns = false;

  auto operator==(const CellOptions&) const -> bool = default;
};

// Events of a cell, each counted by a metric.
enum class CellEvent
{
  Submission,
  DuplicateSubmission, // the submission of a job that is known already
  Start,
  StartRefused,
  StartUnanswered,
  RunDone,
  RunFailed,
  RunLeaseExpired, // a run ended because its lease expired
  RunLost,         // a started or inherited run no longer exists on its worker
  Stop,
  StopCancelled,
  StopJobFailed,
  StopRedundant, // another run of the task was done first
  StopDisplaced,
  StopStuck,
  StopUnansweredStart, // the start call got no answer
  StopGangEnded,       // another run of the gang ended
  PaceChange,
  OrphanRun, // a worker reports a run that the cell does not know
  JobCompleted,
  JobFailed,
  Cancellation,
  TaskDelegated, // to another cell, which has room
  TaskHosted,    // delegated to this cell
  TaskReturned,  // not started, or stopped, and returned to its home cell
  TaskSuspected, // a worker was lost soon after the start of the task there
  TaskGivenUp,   // workers crash under it
  RunCopied,     // a second run was planned beside a late one
  LimitedStart,  // had been delayed by the account's limit
  SecondRunDone, // before the late run beside which it was planned
  AdviceStalled, // a step that needs advice has not started for long
  CellEvent_NB
};

auto
ToText(CellEvent aEvent) -> const char*;

// Latencies that users see, each a histogram.
enum class LatencyKind
{
  FirstStart,    // from a job's acceptance to the start of its first task
  Placement,     // from when a task could start until a worker was found for it
  JobCompletion, // from a job's acceptance to its completion
  LatencyKind_NB
};

auto
ToText(LatencyKind aKind) -> const char*;

struct LatencySample
{
  LatencyKind kind = LatencyKind::JobCompletion;
  Micros duration{ 0 };

  auto operator==(const LatencySample&) const -> bool = default;
};

// What second runs have cost, in core-milliseconds.
struct SecondRunCosts
{
  // Work of runs that were stopped since another run of their task was done,
  // and of second runs that were not done.
  std::int64_t discarded = 0;
  // Processor time that best-effort tasks lost to second runs.
  std::int64_t displaced = 0;

  auto operator==(const SecondRunCosts&) const -> bool = default;
};

using CellEventCounts =
  std::array<std::uint64_t, static_cast<std::size_t>(CellEvent::CellEvent_NB)>;

class Cell
{
public:
  Cell(CellOptions aOptions, CellTakeover aTakeover, DecisionLog& aLog);
  Cell(const Cell&) = delete;
  auto operator=(const Cell&) -> Cell& = delete;
  ~Cell();

  // Events.
  auto OnConfig(std::shared_ptr<const SiteConfig> aConfig) -> void;
  // The part of each account's limit that this cell may use. Accounts without
  // an entry may use their whole limits.
  auto SetAccountShares(const std::map<AccountId, Resources>& aShares) -> void;
  auto OnWorkers(Time aNow, const WorkerTable& aWorkers) -> void;
  auto OnEvacuations(Time aNow, std::set<DomainId> aDomains) -> void;
  auto OnSubmission(Time aNow, std::int64_t aNowUnixMs, const JobRow& aRow)
    -> void;
  auto OnCancel(Time aNow, const JobId& aJob) -> void;
  // A job of another cell was cancelled; this cell may host some of its tasks.
  auto OnCancelElsewhere(Time aNow, const JobId& aJob) -> void;
  auto OnWorkerAnswer(Time aNow, const WorkerAnswer& aAnswer) -> void;
  auto OnAdvice(Time aNow, const AdviceResponse& aAnswer) -> void;
  // Makes all decisions that depend on time, and plans starts.
  auto OnTick(Time aNow, std::int64_t aNowUnixMs) -> void;
  // The tables of workers, evacuations and configuration were known to be up to
  // date at aFreshAt.
  auto OnSiteUpToDate(Time aFreshAt) -> void;
  // Rows of other cells in the table of delegations. A row that was removed:
  // OnDelegationClosed. Rows may be passed again, and those of one cell are
  // passed in the order in which they were written.
  // aMeasuredAt: the load is at least that recent.
  auto OnPeerLoad(Time aMeasuredAt, const std::string& aCell, CellLoad aLoad)
    -> void;
  // What the owner of another cell had learnt about images aAge ago.
  auto OnPeerLearned(Time aNow, Millis aAge, const LearnedState& aLearned)
    -> void;
  auto OnDelegation(Time aNow,
                    std::int64_t aNowUnixMs,
                    const std::string& aHome,
                    const Delegation& aDelegation) -> void;
  auto OnDelegationClosed(Time aNow,
                          const std::string& aHome,
                          std::uint64_t aNumber) -> void;
  // These are all that the home cell delegates to this one.
  auto OnAllDelegations(Time aNow,
                        const std::string& aHome,
                        const std::set<std::uint64_t>& aNumbers) -> void;
  auto OnDelegationReport(Time aNow,
                          const std::string& aHost,
                          const DelegationReport& aReport) -> void;
  // The store confirmed this instance as the owner. aAskedAt: when the request
  // was sent.
  auto OnOwnershipConfirmed(Time aAskedAt) -> void;

  // While the cell may be released at any time, no lease is granted.
  auto SetReleasing(bool aReleasing) -> void;

  // Workers that do not answer, each with the time by which its lease has
  // certainly expired; to be written to the owner's row. Before a release, also
  // those that have not answered yet, since an earlier owner that has not
  // released the cell may still grant them leases, and those that leave, which
  // the next owner may never hear from.
  auto SilentWorkers() -> std::map<WorkerId, Time>;
  // The owner's row was written with these workers as its silent ones.
  auto OnSilentWorkersWritten(
    const std::map<std::string, std::int64_t>& aSilent) -> void;

  // Recording: one batch is written at a time. A batch whose outcome is unknown
  // may turn out to be recorded while a later one is being written.
  auto NextBatch(Time aNow) -> std::optional<RecordBatch>;
  auto OnBatchRecorded(Time aNow, std::uint64_t aNumber) -> void;
  auto OnBatchNotRecorded(Time aNow, std::uint64_t aNumber) -> void;
  // The store will never take the batch as it is. Its jobs are tried in smaller
  // batches; one that is rejected alone is held back and gets no more runs.
  auto OnBatchRejected(Time aNow, std::uint64_t aNumber) -> void;
  auto OnBatchOutcomeUnknown(Time aNow, std::uint64_t aNumber) -> void;

  // Jobs past their retention, each returned once. A job stays known until its
  // rows are removed: a row that is read again must not be taken for a new job.
  auto TakeRemovableJobs() -> std::vector<EndedJob>;
  // The job's submission was removed from the store; its record is removed with
  // the next batch.
  auto OnJobRowsRemoved(Time aNow, const EndedJob& aJob) -> void;

  // Calls to send to workers.
  auto TakeCalls(Time aNow) -> std::vector<WorkerCall>;
  // Requests to send to the adviser.
  auto TakeAdviceRequests() -> std::vector<AdviceRequest>;

  // Views.
  auto FindJob(const JobId& aJob) const -> const Job*;
  auto PendingJobsIn(const QueueId& aQueue) const -> std::size_t;
  // Pending jobs by queue, for queues that have any.
  auto PendingJobsByQueue() const -> std::map<std::string, std::size_t>;
  // Summary of the cell for other instances.
  auto LoadSummary() const -> CellLoad;
  // State learned from reports, for the next owner; the caller adds the store's
  // clock.
  auto ExportLearnedState(Time aNow) -> LearnedState;
  // The part of it that is of use to the owners of other cells: what they have
  // no newer observations of.
  auto ExportSharedState(Time aNow, Millis aMaxAge) const -> LearnedState;
  // The longest lease that this owner or an earlier one may have granted and
  // that may still hold.
  auto LongestLease(Time aNow) const -> Millis;
  auto EventCounts() const -> const CellEventCounts&;
  auto CostsOfSecondRuns() const -> const SecondRunCosts&;
  // What each account uses and waits for in this cell, for its share.
  auto AccountDemands() const -> std::map<AccountId, AccountDemand>;
  auto Accounts() const -> const AccountLedger&;
  // Accounts of which tasks wait because of the limit, or that use all of it.
  auto AccountsAtLimit() const -> std::size_t;
  // Latencies measured since the last call.
  auto TakeLatencySamples() -> std::vector<LatencySample>;
  auto Workers() const -> const std::map<WorkerId, WorkerSlot>&;
  auto JobCount() const -> std::size_t;
  // Whether other cells run tasks for this one, or this one for others.
  auto HasDelegations() const -> bool;
  // A worker rejected a call of this owner because it has seen a newer fencing
  // token.
  auto IsFenced() const -> bool;

private:
  // Interference of a best-effort image with a serving one.
  struct ImagePairState
  {
    double pressure = 0.0;
    // Coefficient of the pair, with its standard deviation added.
    double likelyCoefficient = 0.0;
    // The pressure is uncertain: few runs are placed at first.
    bool uncertain = false;
    // Runs of the pair that are placed together now.
    int probeRuns = 0;
  };

  struct PlacementQuery
  {
    const Job* job = nullptr;
    const StepSpec* step = nullptr;
    StepName stepName;
    ImageId image = 0;
    // Runs of the step by worker, for a step with a limit per worker.
    const std::map<const WorkerSlot*, std::uint32_t>* runsByWorker = nullptr;
    double minPace = 1.0;
    // The task may crash its worker: it starts apart from other tasks.
    bool isolated = false;
  };

  // State shared by all placements that are decided at one time.
  struct PlacementRound
  {
    // A kind of task for which no worker was found.
    struct Failure
    {
      ServiceId service;
      ImageId image = 0;
      bool bestEffort = false;
      // The workers of last resort were tried as well.
      bool triedLastResort = false;
      std::string neededLabel;
      Resources size;
      double minPace = 1.0;
    };

    // Tasks of one step of a job of this cell that found no worker.
    struct Unplaced
    {
      ReadyStep ready;
      std::vector<std::uint32_t> indices;
      // The tasks go before those of the host.
      bool overdue = false;
    };

    Time now{};
    std::vector<Unplaced> unplaced;
    std::vector<WorkerSlot*> usableWorkers;
    // No usable worker has more unreserved, or idle, processors than this, in
    // thousandths of a core.
    std::int64_t mostFreeCpu = std::numeric_limits<std::int64_t>::max();
    std::int64_t mostIdleCpu = std::numeric_limits<std::int64_t>::max();
    // Workers that fail or are slow; only for tasks that find no other worker.
    std::vector<WorkerSlot*> lastResortWorkers;
    // Workers that were taken out of usableWorkers for overdue tasks.
    std::size_t heldWorkers = 0;
    // Workers that a suspected task has to itself, and the most there may be.
    std::size_t isolatedWorkers = 0;
    std::size_t maxIsolatedWorkers = 0;
    std::map<std::pair<ImageId, ImageId>, ImagePairState> pairs;
    std::vector<Failure> failures;
  };

  // A best-effort run beside serving tasks.
  struct BestEffortRun
  {
    RunRef ref;
    Run* run = nullptr;
    const StepSpec* spec = nullptr;
    ImageId image = 0;
    // Share of the worker's processors that it uses at full pace, from 0 to 1.
    double cpuShare = 0.0;
    // The highest pressure that it puts on any serving image there at full
    // pace.
    double pressure = 0.0;
  };

  auto CountEvent(CellEvent aEvent) -> void;
  auto AddLatencySample(LatencyKind aKind, Micros aTime) -> void;
  auto FindTask(const TaskName& aName) -> TaskContext;
  auto FindTaskAndRun(const RunRef& aRef) -> std::pair<TaskContext, Run*>;
  // The job has to be recorded. aUrgent: somebody waits for the record.
  auto MarkDirty(Job& aJob, bool aUrgent) -> void;
  // The rows of the job's record. Gives planned runs up until they fit; empty
  // if they do not fit without them either.
  auto EncodeWithinLimit(Time aNow, Job& aJob) -> std::vector<std::string>;
  static auto PlannedRunsOf(const Job& aJob) -> std::vector<RunRef>;
  // Whether the store rejected the job's record a short time ago.
  auto IsHeldBack(Time aNow, const JobId& aJob) const -> bool;
  // Of what a batch writes for the job.
  auto HashOf(const Job& aJob, const std::vector<std::string>& aRows) const
    -> std::size_t;
  auto HoldBack(Time aNow, const JobId& aJob, std::size_t aHash) -> void;
  auto AddRecord(Job& aJob,
                 std::vector<std::string> aRows,
                 RecordBatch& aBatch,
                 BatchContents& aContents) -> void;
  auto AddRecordRemovals(RecordBatch& aBatch, BatchContents& aContents) -> void;
  // Queues the contents of a batch that was not recorded for another batch.
  auto RequeueRecords(const BatchContents& aContents) -> void;
  auto RequeueEnds(const std::vector<UnrecordedEnd>& aEnds) -> void;

  // Jobs (celljobs.cpp).
  auto AddJob(Time aNow,
              std::int64_t aNowUnixMs,
              const JobRow& aRow,
              const JobRecord* aRecord) -> Job&;
  auto RestoreJob(Job& aJob, const JobRecord& aRecord) -> void;
  auto RestoreRun(const TaskContext& aContext,
                  const TaskName& aName,
                  const JobRecord::RunRecord& aRecord) -> void;
  auto InheritWorker(const JobRecord::RunRecord& aMark) -> WorkerSlot&;
  auto ImportLearnedState(const LearnedState& aLearned, Millis aAge) -> void;
  auto OpenOccurrences(Time aNow, Job& aJob, std::int64_t aNowUnixMs) -> void;
  // A worker has started one of the job's tasks.
  auto MarkJobStarted(Time aNow, Job& aJob) -> void;
  auto EndTask(Time aNow, const TaskContext& aContext) -> void;
  auto EndJob(Time aNow, Job& aJob, JobState aState, StopReason aWhy) -> void;
  auto StopRuns(Time aNow, const TaskName& aName, Task& aTask, StopReason aWhy)
    -> void;
  auto StopRun(Time aNow, const RunRef& aRef, Run& aRun, StopReason aWhy)
    -> void;
  auto DropEndedJobs(Time aNow) -> void;

  // Tasks that other cells run for this one (celldelegation.cpp).
  // aHeld: the number of overdue tasks for which a worker is held.
  auto CollectUnplaced(Time aNow,
                       PlacementRound& aRound,
                       const ReadyStep& aReady,
                       std::size_t aHeld) -> void;
  auto DelegateUnplaced(PlacementRound& aRound) -> void;
  auto HasHostWithRoom(Time aNow, bool aBestEffort) const -> bool;
  static auto IsPossibleHost(Time aNow,
                             const PeerRoom& aPeer,
                             const Job& aJob,
                             const StepSpec& aStep) -> bool;
  auto PickHost(Time aNow, const Job& aJob, const StepSpec& aStep) const
    -> std::pair<std::string, std::size_t>;
  auto PickHostForOverdue(Time aNow,
                          const Job& aJob,
                          const StepSpec& aStep) const
    -> std::pair<std::string, std::size_t>;
  auto Delegate(Time aNow,
                const PlacementRound::Unplaced& aUnplaced,
                const std::string& aHost,
                std::vector<std::uint32_t> aIndices) -> void;
  auto ApplyReportedTask(Time aNow,
                         const TaskContext& aContext,
                         const DelegationReport::Task& aReport) -> void;
  static auto IsSettled(const Job& aJob,
                        std::uint64_t aNumber,
                        const DelegatedTasks& aTasks) -> bool;
  auto RecallDelegations(Job& aJob) -> void;
  auto CloseSettledDelegations(Job& aJob) -> void;

  // Tasks that this cell runs for others (celldelegation.cpp).
  auto FindHostedJob(const std::string& aHome, const JobRow& aRow) -> Job*;
  auto AddHostedJob(const std::string& aHome, const JobRow& aRow) -> Job&;
  auto AddHostedTasks(Time aNow,
                      std::int64_t aNowUnixMs,
                      Job& aJob,
                      const std::string& aHome,
                      const Delegation& aDelegation) -> void;
  auto RestoreHostedTasks(Job& aJob,
                          const DelegatedTasks& aTasks,
                          const DelegationReport& aReport) -> void;
  auto ReturnTasks(Time aNow, Job& aJob, DelegatedTasks& aTasks) -> void;
  auto ReturnWaitingTasks(Time aNow, const ReadyStep& aReady, std::size_t aHeld)
    -> void;
  // Returns the task if its home cell wants it back and no run is left.
  auto ReturnIfRecalled(const TaskContext& aContext) -> void;
  auto CloseHostedTasks(Time aNow, Job& aJob, std::uint64_t aNumber) -> void;

  // Rows of delegations, in either direction (celldelegation.cpp).
  auto RestoreDelegations(const CellTakeover& aTakeover) -> void;
  auto AddDelegationRows(Job& aJob,
                         RecordBatch& aBatch,
                         BatchContents& aContents) -> void;
  auto AddReportRemovals(RecordBatch& aBatch, BatchContents& aContents) -> void;
  auto OnDelegationsRecorded(const BatchContents& aContents) -> void;
  auto MakeDelegation(const Job& aJob,
                      std::uint64_t aNumber,
                      const DelegatedTasks& aTasks) const -> Delegation;
  static auto MakeReport(const Job& aJob,
                         std::uint64_t aNumber,
                         const DelegatedTasks& aTasks) -> DelegationReport;

  // Workers (cellworkers.cpp).
  // Something that proves nothing tells of a later process of the worker:
  // requests a report. aMayHaveLease: the later process may just have taken a
  // lease. aSource goes to the log.
  auto SuspectRestart(Time aNow,
                      WorkerSlot& aSlot,
                      bool aMayHaveLease,
                      const char* aSource) -> void;
  // A report comes from a later process. Which runs ended with the earlier one
  // follows from the rest of the report: orders sent to that one may have
  // reached the later one.
  auto OnWorkerRestart(Time aNow, WorkerSlot& aSlot, std::int64_t aBornUnixMs)
    -> void;
  auto RetireEarlierWorkers(Time aNow, const WorkerSlot& aSlot) -> void;
  // The longest lease that the worker may have when it first answers.
  auto InheritedLease(Time aNow, const WorkerSlot& aSlot) const -> Millis;
  // By when the longest lease that a worker accepts now has certainly expired.
  auto LongestLeaseEnd(Time aNow) const -> Time;
  auto ExpireLeases(Time aNow) -> void;

  // Runs (cellruns.cpp).
  auto OnOtherWorkerAnswers(WorkerSlot& aSlot) -> void;
  auto OnClockReading(Time aNow,
                      WorkerSlot& aSlot,
                      const PendingCall& aCall,
                      const WorkerAnswer& aAnswer) -> void;
  static auto UpdateClockSample(Time aNow,
                                WorkerSlot& aSlot,
                                std::int64_t aClockMs) -> void;
  auto OnStartAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
    -> void;
  auto OnStopAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
    -> void;
  auto OnPaceAnswer(const RunRef& aRef, const WorkerAnswer& aAnswer) -> void;
  auto OnReport(Time aNow,
                WorkerSlot& aSlot,
                const PendingCall& aCall,
                const WorkerAnswer& aAnswer) -> void;
  auto OnRunReport(Time aNow,
                   WorkerSlot& aSlot,
                   const RunReport& aReport,
                   std::set<RunRef>& aSeen) -> void;
  // The worker lists no further ends before those that it has listed are
  // acknowledged: gives up recording those whose records the store rejects.
  auto ReleaseUnrecordableEnds(WorkerSlot& aSlot) -> void;
  // aRef: a run that the worker lists and the cell does not know.
  auto LogOrphan(Time aNow, const WorkerSlot& aSlot, const RunRef& aRef)
    -> void;
  auto OnEndReport(Time aNow, WorkerSlot& aSlot, const EndReport& aEnd) -> void;
  // Updates the health of the run's worker and the figures of its step by how
  // the run ended (cellhealth.cpp).
  auto UpdateWorkerHealth(Time aNow,
                          const TaskContext& aContext,
                          const Run& aRun,
                          RunOutcome aOutcome) -> void;
  auto CheckProgress(Time aNow, WorkerSlot& aSlot) -> void;
  static auto ShowsWorkerSpeed(const TaskContext& aContext, const Run& aRun)
    -> bool;
  auto SlowdownOf(Time aNow, const TaskContext& aContext, const Run& aRun) const
    -> std::optional<double>;
  auto MoveRunsElsewhere(Time aNow, WorkerSlot& aSlot) -> void;
  auto CountFailure(Time aNow, const TaskContext& aContext) -> void;
  // The task fails for good, and its job with it.
  auto FailTask(Time aNow, const TaskContext& aContext) -> void;
  auto OnMissingRuns(Time aNow,
                     WorkerSlot& aSlot,
                     const std::set<RunRef>& aSeen,
                     const WorkerAnswer& aReport) -> void;
  // Removes a run that certainly does not exist any more; its task may start
  // again. aWhy goes to the log.
  auto DropRun(Time aNow, const RunRef& aRef, const char* aWhy) -> void;
  auto RemoveRun(Time aNow, const TaskContext& aContext, const RunRef& aRef)
    -> void;

  // Tasks that crash workers (cellcrash.cpp).
  // Drops the runs of a worker that certainly runs them no more, and counts it
  // against the tasks that may have crashed it. aRestarted: a new one was
  // started in its place; else that is counted once this turns out.
  auto OnWorkerLost(Time aNow,
                    WorkerSlot& aSlot,
                    bool aRestarted,
                    const char* aWhy) -> void;
  // Empty if the run can't have crashed the worker. aLastAnswerAt: when the
  // process that ran it was heard last.
  auto LostRunOf(const WorkerSlot& aSlot,
                 const RunRef& aRef,
                 Time aLastAnswerAt) -> std::optional<LostRun>;
  // Notes that the run ended with an earlier process of the worker, if it did.
  auto NoteLostRun(WorkerSlot& aSlot, const RunRef& aRef) -> void;
  // Counts the runs that were noted, once it is known of all others whether
  // they ended with the earlier process too.
  auto CountLostRuns(Time aNow, WorkerSlot& aSlot) -> void;
  // Which of the runs may have crashed the worker.
  auto FindSuspects(const WorkerId& aWorker, const std::vector<LostRun>& aLost)
    -> std::vector<Suspect>;
  auto CountLosses(Time aNow, const std::vector<Suspect>& aSuspects) -> void;
  // The worker has answered. If it is a later one of its machine, the one
  // before has crashed; if it is the one that was silent, no worker has.
  auto SettleLosses(Time aNow, const WorkerSlot& aSlot) -> void;
  // The run has lasted until aNow.
  auto ClearSuspicion(Time aNow, const TaskContext& aContext, const Run& aRun)
    -> void;
  static auto RestoreLosses(Task& aTask, std::uint32_t aLosses) -> void;
  auto RunsSuspectedTask(const WorkerSlot& aSlot) -> bool;
  auto Isolate(PlacementRound& aRound, WorkerSlot& aSlot, const RunRef& aRun)
    -> void;

  // Which jobs will end in time (cellprospects.cpp).
  auto UpdateProspects(Time aNow) -> void;
  auto UpdateGroupProspects(Time aNow, bool aFillsIdle) -> std::int64_t;
  auto UpdateGroupLoad(Time aNow,
                       bool aBestEffort,
                       std::int64_t aCpuMillis,
                       const std::vector<OutcomeCandidate>& aCandidates,
                       const std::vector<ExpectedOutcome>& aOutcomes) -> void;
  auto UpdateCosts(std::vector<ReadyStep>& aSteps) -> void;
  auto GiveStarvationTurn(Time aNow, std::vector<ReadyStep>& aSteps) -> void;

  // Limits of accounts (cellaccounts.cpp).
  auto CountArrival(Job& aJob) -> void;
  // Of the jobs that were read with the takeover.
  auto CountInheritedArrivals() -> void;
  // Whether the account's limit lets the step start that many tasks together;
  // if not, notes that it waits for that reason.
  auto IsWithinLimit(Time aNow, const ReadyStep& aReady, std::size_t aTasks)
    -> bool;
  auto AccountRankOf(const Job& aJob) const -> AccountRank;
  auto KnowsLimit(Time aNow, const Job& aJob) const -> bool;
  // The same for a task that need not start and so is not noted as waiting.
  auto MayStartOne(Time aNow, const Job& aJob, const Resources& aSize) const
    -> bool;
  // Gives up planned runs of accounts whose limit was lowered below their use:
  // their starts may follow much later if the store is slow.
  auto DropRunsBeyondLimit(Time aNow) -> void;
  auto LogAccounts() -> void;

  // Placement (cellplace.cpp).
  auto PlanStarts(Time aNow) -> void;
  auto ReadySteps(Time aNow) -> std::vector<ReadyStep>;
  auto RankStep(Time aNow,
                Job& aJob,
                std::uint32_t aOccurrence,
                std::uint32_t aStep) const -> ReadyStep;
  auto PlanStep(Time aNow, PlacementRound& aRound, const ReadyStep& aReady)
    -> void;
  auto NewPlacementRound(Time aNow) -> PlacementRound;
  auto ImagePairOf(PlacementRound& aRound, ImageId aServing, ImageId aFilling)
    -> ImagePairState&;
  static auto HoldWorkers(PlacementRound& aRound,
                          const ReadyStep& aReady,
                          const PlacementQuery& aQuery) -> std::size_t;
  static auto MinPaceFor(Time aNow, const Job& aJob, const Task& aTask)
    -> double;
  auto PickWorker(PlacementRound& aRound, const PlacementQuery& aQuery)
    -> WorkerSlot*;
  auto FeasiblePace(PlacementRound& aRound,
                    const WorkerSlot& aSlot,
                    const PlacementQuery& aQuery) -> std::optional<double>;
  auto PickBestWorker(PlacementRound& aRound,
                      const std::vector<WorkerSlot*>& aWorkers,
                      const PlacementQuery& aQuery) -> WorkerSlot*;
  auto HasRoomFor(const WorkerSlot& aSlot, const PlacementQuery& aQuery) const
    -> bool;
  static auto MayRunOn(const WorkerSlot& aSlot, const PlacementQuery& aQuery)
    -> bool;
  static auto CanHold(const WorkerSlot& aSlot, const PlacementQuery& aQuery)
    -> bool;
  auto HeadroomPenalty(PlacementRound& aRound,
                       const WorkerSlot& aSlot,
                       const PlacementQuery& aQuery) -> double;
  auto ToleratedPace(PlacementRound& aRound,
                     const WorkerSlot& aSlot,
                     const PlacementQuery& aQuery) -> double;
  auto ScoreWorker(const WorkerSlot& aSlot,
                   const PlacementQuery& aQuery,
                   double aPace) const -> double;
  auto AcceptsRuns(Time aNow, const WorkerSlot& aSlot) const -> bool;
  auto ReserveRun(Time aNow,
                  const RunRef& aRef,
                  WorkerSlot& aSlot,
                  const TaskContext& aContext) const -> void;
  auto PlanRun(Time aNow, const TaskName& aName, WorkerSlot& aSlot) -> void;

  // Learned run times, and second runs of late tasks (cellcopies.cpp).
  // The run was done after aDuration, working time only.
  auto OnRunCompleted(Time aNow,
                      const TaskContext& aContext,
                      const Run& aRun,
                      Millis aDuration) const -> void;
  // All tasks of the step are done.
  auto LearnRunTimes(Time aNow, const TaskContext& aContext) -> void;
  static auto ShowsRelativeRunTime(const StepSpec& aStep) -> bool;
  auto RelativeRunTimeOf(Time aNow,
                         const StepSpec& aStep,
                         const Run& aRun) const -> double;
  auto LatenessOf(Time aNow, const TaskContext& aContext, const Run& aRun) const
    -> RunLateness;
  auto CopyLateRuns(Time aNow) -> void;
  auto AddLateRuns(Time aNow, const Job& aJob, std::vector<RunRef>& aLate)
    -> void;
  // Whether a task that reserves processors found no worker.
  auto ReservedWorkWaits(Time aNow) const -> bool;
  auto HasWaitingReservedTasks(Time aNow, const Job& aJob) const -> bool;
  // Counts what a run of a task with second runs has cost when it is removed.
  // aCompletes: it completes the task.
  auto CountSecondRunCosts(Time aNow,
                           const TaskContext& aContext,
                           const RunRef& aRef,
                           const Run& aRun,
                           bool aCompletes) -> void;
  auto CopyRun(PlacementRound& aRound,
               const RunRef& aRef,
               std::int64_t& aBudget) -> void;

  // Steps that may run only where the adviser allows it (celladvice.cpp).
  auto IsAllowedByAdviser(Time aNow,
                          const WorkerSlot& aSlot,
                          const PlacementQuery& aQuery) const -> bool;
  auto ReportAdviceStall(const StepName& aStep, const AdviceStall& aStall)
    -> void;
  auto AdviceTimesOf(const Job& aJob) const -> AdviceTimes;
  auto RequestAdvice(PlacementRound& aRound,
                     const PlacementQuery& aQuery,
                     std::size_t aTasks) -> void;
  // Nothing if the ticket has expired since the task was placed.
  auto TicketForStart(Time aNow, const TaskName& aTask, const WorkerSlot& aSlot)
    -> std::optional<std::string>;
  // The worker rejected the ticket.
  auto OnTicketRefused(Time aNow,
                       const TaskName& aTask,
                       const WorkerSlot& aSlot) -> void;

  // Gangs: tasks that run only together (cellgang.cpp).
  auto PlanGang(Time aNow, PlacementRound& aRound, const ReadyStep& aReady)
    -> void;
  auto PlaceGang(Time aNow,
                 const PlacementRound& aRound,
                 const ReadyStep& aReady,
                 const std::string& aRack) -> bool;
  static auto CheckpointHolder(const TaskContext& aContext) -> Task&;
  auto StopGang(Time aNow, const TaskName& aName) -> void;
  auto FinishGang(Time aNow, const TaskContext& aContext) -> void;
  static auto IsFirstGangFailure(const TaskContext& aContext,
                                 std::uint32_t aRun) -> bool;

  // Interference between tasks on one worker (cellrelief.cpp).
  auto UpdateTail(Time aNow,
                  const WorkerSlot& aSlot,
                  Run& aRun,
                  double aMeasured) -> void;
  auto LearnFromReport(Time aNow, WorkerSlot& aSlot) -> void;
  static auto NeighboursSince(Time aNow,
                              const WorkerSlot& aSlot,
                              const std::vector<BestEffortRun>& aBestEffortRuns,
                              Time aSince) -> std::vector<NeighbourUsage>;
  auto UnloadedTail(const StepSpec& aStep, ImageId aImage) const -> double;
  auto LoadOf(Time aNow, const Job& aJob) const -> double;
  // The pressure that each serving image there tolerates, before that of the
  // best-effort tasks there is subtracted.
  auto ToleratedPressureOn(Time aNow, const WorkerSlot& aSlot)
    -> std::map<ImageId, double>;
  // The headroom of the tasks there if no best-effort task were beside them.
  auto HeadroomOn(Time aNow, const WorkerSlot& aSlot) -> InterferenceByImage;
  // What the run causes at full pace for the images with a headroom.
  auto InterferenceOf(Time aNow,
                      ImageId aBestEffortImage,
                      double aCpuShare,
                      const InterferenceByImage& aHeadroom) const
    -> InterferenceByImage;
  auto ConsumeSlack(Time aNow,
                    WorkerSlot& aSlot,
                    const StepSpec& aStep,
                    ImageId aImage) const -> void;
  auto BestEffortRunsOn(const WorkerSlot& aSlot) -> std::vector<BestEffortRun>;
  auto FindWorstTail(const WorkerSlot& aSlot) -> std::pair<RunRef, double>;
  auto LogTailOverTarget(Time aNow, const WorkerSlot& aSlot, const RunRef& aRef)
    -> void;
  auto UpdateTailState(Time aNow, WorkerSlot& aSlot) -> void;
  auto SetPaces(Time aNow, WorkerSlot& aSlot) -> void;
  auto DisplaceRun(Time aNow, const BestEffortRun& aBestEffortRun) -> bool;
  auto SetPace(Time aNow, const RunRef& aRef, Run& aRun, int aPercent) -> void;

  // Load (cellview.cpp).
  auto KnowsWorkers(Time aNow) const -> bool;
  auto SampleLoad(Time aNow) -> LoadSample;
  auto MeasureLoad(Time aNow) -> void;
  auto LogLoad(Time aNow, const LoadSample& aLoad) -> void;

  // Calls (cellcalls.cpp).
  auto QueueCall(Time aNow, const WorkerCall& aCall) -> void;
  auto NewCall(const WorkerSlot& aSlot, CallKind aKind) -> WorkerCall;
  auto SendStart(Time aNow, const TaskContext& aContext, const RunRef& aRef)
    -> void;
  auto SendStop(Time aNow, WorkerSlot& aSlot, const RunRef& aRef) -> void;
  auto SendStops(Time aNow) -> void;
  auto RenewWorkers(Time aNow) -> void;
  // aMaxWait: how long the worker may wait for a run to end before it answers.
  auto SendRenewal(Time aNow, WorkerSlot& aSlot, Millis aMaxWait) -> void;
  // Notes that the worker gets a lease of this length from now on; returns the
  // lease's end on the worker's clock, in milliseconds.
  auto GrantLease(Time aNow, WorkerSlot& aSlot, Millis aLease) -> std::int64_t;

  const CellOptions options;
  const std::uint64_t fencingToken;
  const Time takeoverAt;
  // At least the lease that this owner grants.
  const Millis previousLease;
  // By when all leases of earlier owners have certainly expired.
  const Time previousLeasesOverBy;
  const std::map<WorkerId, Time> previousLeaseEnds;
  Time ownershipConfirmedAt;
  Time siteUpToDateAt;
  DecisionLog& log;
  std::shared_ptr<const SiteConfig> config;
  std::set<DomainId> evacuatedDomains;
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  // The jobs that have not ended.
  std::map<JobId, Job*> activeJobs;
  // Those of them that belong to this cell and have occurrences.
  std::set<JobId> timedJobs;
  AccountLedger accounts;
  // Limits or shares have changed since DropRunsBeyondLimit.
  bool limitsChanged = false;
  std::map<WorkerId, WorkerSlot> workers;
  // The last one of each machine.
  std::map<MachineId, UnsettledLoss> unsettledLosses;
  std::map<std::string, PeerRoom> peers;
  std::uint64_t lastDelegation = 0;
  // Submissions whose id still names a job that this cell hosts.
  std::vector<JobRow> deferredSubmissions;
  // Delegations to this cell that were closed, by when that is forgotten: their
  // rows may be read again for a while.
  std::map<std::pair<std::string, std::uint64_t>, Time> closedHosted;
  // Keys of reports on delegations that do not exist any more.
  std::set<std::string> staleReports;
  // Cancellations of jobs that are not known yet.
  std::set<JobId> earlyCancellations;
  std::map<QueueId, std::size_t> pendingJobs;
  // Jobs whose current state is not recorded.
  std::set<JobId> dirtyJobs;
  std::optional<Time> dirtySince;
  Time nextBatchAt{};
  std::uint64_t lastBatchNumber = 0;
  std::map<std::uint64_t, BatchContents> unresolvedBatches;
  // By the call's number.
  std::unordered_map<std::uint64_t, PendingCall> pendingCalls;
  // Runs whose stop call is due.
  std::set<RunRef> dueStops;
  std::vector<WorkerCall> outgoingCalls;
  AdviceCache adviser;
  std::vector<AdviceRequest> adviceRequests;
  std::uint64_t lastCallNumber = 0;
  Time lastPlanAt{};
  // Processors of runs whose jobs will be late, as last predicted, in
  // thousandths of a core; 0 while nothing waits.
  std::int64_t lateBestEffortCpu = 0;
  std::int64_t lateReservedCpu = 0;
  StarvationTurns starvationTurns;
  OverloadState reservedOverload;
  OverloadState bestEffortOverload;
  GroupLoad reservedJobs;
  GroupLoad bestEffortJobs;
  // Mean total work of the jobs of each group, in core-milliseconds.
  double meanReservedWork = 0.0;
  double meanBestEffortWork = 0.0;
  // Steps that the last round looked at.
  std::size_t plannedSteps = 0;
  Time lastProspectsAt{};
  // When late runs are looked for next.
  Time nextCopyCheckAt{};
  // When placement is tried again although nothing has changed.
  Time nextPlanAt{};
  Time loadLoggedAt{};
  // The newest sample, and when it was taken; empty before the first one.
  std::optional<Time> loadMeasuredAt;
  // Most workers had answered by then; the averages cover the time since.
  bool loadKnown = false;
  LoadSample load;
  LoadAverages loadAverages;
  // Ended jobs by the time at which to check whether they can be dropped.
  std::multimap<Time, JobId> endedJobs;
  std::vector<EndedJob> removableJobs;
  std::set<JobId> staleRecords;
  std::set<RecordContinuation> staleContinuations;
  std::map<JobId, RejectedRecord> rejectedRecords;
  std::uint64_t lastRecordedBatch = 0;
  // Most jobs of the next batch; fewer after a rejection, to find the job.
  std::size_t maxJobsPerBatch = kMaxRecordsPerCommit;
  CellEventCounts eventCounts{};
  SecondRunCosts secondRunCosts;
  std::vector<LatencySample> latencySamples;
  ImageRegistry images;
  InterferenceModel interference;
  DurationModel durations;
  // The lowest tail seen of each serving image, in milliseconds.
  std::map<ImageId, double> lowestTails;
  // Somebody waits for a change that is not recorded yet.
  bool commitUrgent = false;
  bool batchInFlight = false;
  bool planNeeded = true;
  // In the last round, no worker was found for some best-effort task, and for
  // some other task.
  bool bestEffortWaiting = false;
  bool othersWaiting = false;
  // A worker has seen a newer fencing token.
  bool fenced = false;
  // The cell may be released at any time.
  bool releasing = false;
};

} // namespace gooseberry::cells

#endif
