#ifndef GOOSEBERRY_CELL_H
#define GOOSEBERRY_CELL_H

// Decisions of the owner of one cell, that is of a service's workers and of the
// jobs that run on them: what starts where, what must stop, what is recorded.
// Free of I/O, threads and clocks. Each call is an event with the time; effects
// are taken by TakeCalls() and NextBatch().

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "adviser.h"
#include "decisionlog.h"
#include "disturbance.h"
#include "job.h"
#include "layout.h"
#include "learnt.h"
#include "site.h"
#include "workercall.h"
#include "workerslot.h"

namespace gooseberry::cells {

// Figures of the platform that a cell's decisions depend on.
struct CellOptions
{
  // Longest lease that workers accept, and the one that they are given.
  Millis leaseMax{ 6000 };
  Millis lease{ 5000 };
  // A stop has ended the run within this.
  Millis stopBound{ 400 };
  // Jobs are known for so long after their end.
  Millis keepEnded{ 120000 };
  // An owner gives leases for so long after it was last confirmed as the owner.
  Millis authority{ 4000 };
  // How many times as long work takes away from its data or split over racks.
  double remoteFactor = 3.0;

  auto operator==(const CellOptions&) const -> bool = default;
};

// How a cell came to its owner.
struct CellTakeover
{
  std::uint64_t fencingToken = 0;
  Time now{};
  std::int64_t nowUnixMs = 0;
  std::vector<std::pair<JobRow, std::optional<JobRecord>>> jobs;
  std::vector<JobId> cancelled;
  // Records of jobs that are not there any more.
  std::vector<JobId> orphanRecords;
  // Leases that the owner before gave, and when those of workers that did not
  // answer it are surely over.
  Millis earlierLease{ 0 };
  std::map<WorkerId, Time> lapses;
  // What the owner before had learnt, and how long ago it wrote that.
  std::optional<Learnt> learnt;
  Millis learntAge{ 0 };
};

// A job whose rows may be removed.
struct EndedJob
{
  JobId id;
  // Tells it from a later job of the same id.
  std::int64_t acceptedUnixMs = 0;

  auto operator==(const EndedJob&) const -> bool = default;
};

// Records that go into one transaction.
struct RecordBatch
{
  std::uint64_t number = 0;
  std::vector<std::pair<JobId, std::string>> records;
  // Records that nobody needs any more.
  std::vector<JobId> removals;

  auto operator==(const RecordBatch&) const -> bool = default;
};

// Events that are counted, each a metric.
enum class CellEvent
{
  Submission,
  Repeat, // a job that was known already
  Start,
  StartRefused,
  StartUnanswered,
  Done,
  Failure,
  Lapse,
  Lost, // its worker is gone or was started anew
  Stop,
  StopCancelled,
  StopFailed,
  StopBeaten,
  StopDisplaced,
  StopStuck,
  StopSettled,
  StopBroken,
  Pace,
  Orphan, // a run that nobody knows of
  Completed,
  FailedJob,
  Cancellation,
  CellEvent_NB
};

auto
ToText(CellEvent aEvent) -> const char*;

// Waits that users feel, each a histogram.
enum class SpanKind
{
  FirstStart, // from a job's acceptance to its first task's start
  Place,      // a task could start and found no place
  Job,        // from a job's acceptance to its end
  SpanKind_NB
};

auto
ToText(SpanKind aKind) -> const char*;

struct Span
{
  SpanKind kind = SpanKind::Job;
  Micros time{ 0 };

  auto operator==(const Span&) const -> bool = default;
};

using CellCounts =
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
  auto OnWorkers(Time aNow, const WorkerTable& aWorkers) -> void;
  auto OnEvacuations(Time aNow, std::set<DomainId> aDomains) -> void;
  auto OnJob(Time aNow, std::int64_t aNowUnixMs, const JobRow& aRow) -> void;
  auto OnCancel(Time aNow, const JobId& aJob) -> void;
  auto OnAnswer(Time aNow, const WorkerAnswer& aAnswer) -> void;
  auto OnAdvice(Time aNow, const AdviceAnswer& aAnswer) -> void;
  // Decides everything that depends on time, and plans starts.
  auto OnTick(Time aNow, std::int64_t aNowUnixMs) -> void;
  // What operators and workers said was all known at that time.
  auto OnSiteFresh(Time aFreshAt) -> void;
  // The store confirmed the ownership; aAskedAt: when it was asked.
  auto OnConfirmed(Time aAskedAt) -> void;

  // Workers that do not answer and when their leases are surely over, to be
  // written with the owner's row.
  auto SilentWorkers() -> std::map<WorkerId, Time>;
  // A row without these workers was written.
  auto OnSilentWritten(const std::map<std::string, std::int64_t>& aSilent)
    -> void;

  // Recording: batches are tried one after the other. One whose fate is unknown
  // may still turn out to be recorded while a later one is tried.
  auto NextBatch(Time aNow) -> std::optional<RecordBatch>;
  auto OnRecorded(Time aNow, std::uint64_t aNumber) -> void;
  auto OnNotRecorded(Time aNow, std::uint64_t aNumber) -> void;
  auto OnRecordUnknown(Time aNow, std::uint64_t aNumber) -> void;

  // Jobs that ended long ago, each once. They stay known until their rows are
  // gone: a row that is read again must not be taken for a new job.
  auto TakeForgotten() -> std::vector<EndedJob>;
  // The job's submission is gone; its record goes with the next batch.
  auto OnSwept(Time aNow, const EndedJob& aJob) -> void;

  // Calls that are due.
  auto TakeCalls(Time aNow) -> std::vector<WorkerCall>;
  // Questions to the adviser that are due.
  auto TakeQuestions() -> std::vector<AdviceQuestion>;

  // Views.
  auto FindJob(const JobId& aJob) const -> const Job*;
  auto PendingIn(const QueueId& aQueue) const -> std::size_t;
  // Of all queues that have any.
  auto Pending() const -> std::map<std::string, std::size_t>;
  // What other instances are told of the cell.
  auto Load() const -> CellLoad;
  // What the next owner is told; the caller adds the store's clock.
  auto Tell(Time aNow) -> Learnt;
  auto Counts() const -> const CellCounts&;
  // Waits that ended since the last call.
  auto TakeSpans() -> std::vector<Span>;
  auto Workers() const -> const std::map<WorkerId, WorkerSlot>&;
  auto Jobs() const -> std::size_t;
  // A worker obeys a newer owner.
  auto SeenFenced() const -> bool;

private:
  struct TaskPlace
  {
    Job* job = nullptr;
    Occurrence* occurrence = nullptr;
    StepProgress* step = nullptr;
    const StepSpec* spec = nullptr;
    Task* task = nullptr;
    ImageId image = 0;
  };

  struct ReadyStep
  {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    int priority = 0;
    Prospect prospect = Prospect::InTime;
    Time objective{};
    // A lasting task has waited for so long that it goes before all others.
    bool owed = false;
  };

  // What a filling image does to a serving one.
  struct PairState
  {
    double pressure = 0.0;
    // Not known: tried with few runs at first.
    bool probing = false;
    int probes = 0;
  };

  struct PlacementQuery
  {
    const Job* job = nullptr;
    const StepSpec* step = nullptr;
    StepName name;
    ImageId image = 0;
    // Runs of the step by worker, where their number is bounded.
    const std::map<const WorkerSlot*, std::uint32_t>* placed = nullptr;
    double leastPace = 1.0;
  };

  // Facts that hold for all placements of one moment.
  struct PlacementRound
  {
    // A kind of task for which there was no place.
    struct Failure
    {
      ServiceId service;
      ImageId image = 0;
      bool fillsIdle = false;
      // Shunned workers had no place either.
      bool lasting = false;
      std::string neededLabel;
      Resources size;
      double leastPace = 1.0;
    };

    Time now{};
    std::vector<WorkerSlot*> open;
    std::vector<WorkerSlot*> shunned;
    std::map<std::pair<ImageId, ImageId>, PairState> pairs;
    std::vector<Failure> failures;
  };

  // A run that fills idle processors beside lasting tasks.
  struct Fill
  {
    RunRef ref;
    Run* run = nullptr;
    const StepSpec* spec = nullptr;
    ImageId image = 0;
    // Share of the worker's processors that it uses at full pace.
    double share = 0.0;
    // How much it disturbs what is there most, at full pace.
    double pressure = 0.0;
  };

  // What a batch holds besides the records.
  struct BatchNotes
  {
    std::vector<JobId> jobs;
    std::vector<JobState> states;
    std::vector<RunRef> planned;
    std::vector<PendingEnd> ends;
    std::vector<JobId> removed;
  };

  auto Count(CellEvent aEvent) -> void;
  auto Note(SpanKind aKind, Micros aTime) -> void;
  auto Find(const TaskName& aName) -> TaskPlace;
  auto FindActive(const RunRef& aRef) -> std::pair<TaskPlace, Run*>;
  auto Touch(Job& aJob, bool aHasty) -> void;
  auto AddRemovals(RecordBatch& aBatch, BatchNotes& aNotes) -> void;
  // What a batch that was not recorded held goes again.
  auto ReturnNotes(const BatchNotes& aNotes) -> void;
  auto ReturnEnds(const std::vector<PendingEnd>& aEnds) -> void;

  // Jobs (celljobs.cpp).
  auto AddJob(Time aNow,
              std::int64_t aNowUnixMs,
              const JobRow& aRow,
              const JobRecord* aRecord) -> Job&;
  auto Restore(Job& aJob, const JobRecord& aRecord) -> void;
  auto InheritWorker(const JobRecord::RunMark& aMark) -> WorkerSlot&;
  auto Hear(const Learnt& aLearnt, Millis aAge) -> void;
  auto OpenOccurrences(Time aNow, Job& aJob, std::int64_t aNowUnixMs) -> void;
  // A worker has begun one of its tasks.
  auto NoteStarted(Time aNow, Job& aJob) -> void;
  auto EndTask(Time aNow, const TaskPlace& aPlace) -> void;
  auto EndJob(Time aNow, Job& aJob, JobState aState, StopReason aWhy) -> void;
  auto StopRuns(Time aNow, const TaskName& aName, Task& aTask, StopReason aWhy)
    -> void;
  auto StopRun(Time aNow, const RunRef& aRef, Run& aRun, StopReason aWhy)
    -> void;
  auto DropEndedJobs(Time aNow) -> void;

  // Runs and workers (cellruns.cpp).
  auto OnStartAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
    -> void;
  auto OnStopAnswer(Time aNow, const RunRef& aRef, const WorkerAnswer& aAnswer)
    -> void;
  auto OnPaceAnswer(const RunRef& aRef, const WorkerAnswer& aAnswer) -> void;
  auto OnReport(Time aNow, WorkerSlot& aSlot, const WorkerAnswer& aAnswer)
    -> void;
  auto OnRunning(Time aNow,
                 WorkerSlot& aSlot,
                 const RunReport& aReport,
                 std::set<RunRef>& aSeen) -> void;
  auto OnEnd(Time aNow, WorkerSlot& aSlot, const EndReport& aEnd) -> void;
  // What an ended run tells about its step and its worker (cellhealth.cpp).
  auto NoteEndedRun(Time aNow,
                    const TaskPlace& aPlace,
                    const Run& aRun,
                    RunEnd aHow) -> void;
  auto WatchProgress(Time aNow, WorkerSlot& aSlot) -> void;
  static auto IsWatched(const TaskPlace& aPlace, const Run& aRun) -> bool;
  auto SlownessOf(Time aNow, const TaskPlace& aPlace, const Run& aRun) const
    -> std::optional<double>;
  auto MoveOff(Time aNow, WorkerSlot& aSlot) -> void;
  auto NoteFailure(Time aNow, const TaskPlace& aPlace) -> void;
  auto OnUnlisted(Time aNow,
                  WorkerSlot& aSlot,
                  const std::set<RunRef>& aSeen,
                  std::int64_t aClockMs) -> void;
  auto OnNewLife(Time aNow, WorkerSlot& aSlot, std::int64_t aBornUnixMs)
    -> void;
  // The run exists nowhere any more; its task may start again.
  auto ForgetRun(Time aNow, const RunRef& aRef, const char* aWhy) -> void;
  auto RemoveRun(Time aNow, const TaskPlace& aPlace, const RunRef& aRef)
    -> void;
  auto LapseWorkers(Time aNow) -> void;
  auto EndEarlierLives(Time aNow, const WorkerSlot& aSlot) -> void;
  auto SetBorn(WorkerSlot& aSlot, std::int64_t aBornUnixMs) -> void;

  // Placement (cellplace.cpp).
  auto PlanStarts(Time aNow) -> void;
  auto ReadySteps(Time aNow) -> std::vector<ReadyStep>;
  auto Rank(Time aNow,
            Job& aJob,
            std::uint32_t aOccurrence,
            std::uint32_t aStep) const -> ReadyStep;
  auto PlanStep(Time aNow, PlacementRound& aRound, const ReadyStep& aReady)
    -> void;
  auto JudgeProspects(Time aNow) -> void;
  auto JudgeGroup(Time aNow, bool aFillsIdle) -> void;
  auto NewRound(Time aNow) -> PlacementRound;
  auto PairOf(PlacementRound& aRound, ImageId aServing, ImageId aFilling)
    -> PairState&;
  auto PickWorker(PlacementRound& aRound, const PlacementQuery& aQuery)
    -> WorkerSlot*;
  auto PaceThere(PlacementRound& aRound,
                 const WorkerSlot& aSlot,
                 const PlacementQuery& aQuery) -> std::optional<double>;
  auto PickAmong(PlacementRound& aRound,
                 const std::vector<WorkerSlot*>& aWorkers,
                 const PlacementQuery& aQuery) -> WorkerSlot*;
  auto Fits(const WorkerSlot& aSlot, const PlacementQuery& aQuery) const
    -> bool;
  auto PaceFor(PlacementRound& aRound,
               const WorkerSlot& aSlot,
               const PlacementQuery& aQuery) -> double;
  auto Score(const WorkerSlot& aSlot,
             const PlacementQuery& aQuery,
             double aPace) const -> double;
  auto MayTake(Time aNow, const WorkerSlot& aSlot) const -> bool;
  auto Reserve(Time aNow,
               const RunRef& aRef,
               WorkerSlot& aSlot,
               const StepSpec& aStep,
               ImageId aImage) const -> void;
  auto PlanRun(Time aNow, const TaskName& aName, WorkerSlot& aSlot) -> void;

  // Steps whose workers an adviser chooses (celladvice.cpp).
  auto IsAllowed(Time aNow,
                 const WorkerSlot& aSlot,
                 const PlacementQuery& aQuery) const -> bool;
  auto AskAdvice(PlacementRound& aRound,
                 const PlacementQuery& aQuery,
                 std::size_t aTasks) -> void;
  auto TicketOf(Time aNow, const TaskName& aTask, const WorkerSlot& aSlot) const
    -> std::string;
  auto OnTicketRefused(const TaskName& aTask, const WorkerSlot& aSlot) -> void;

  // Tasks that work only together (cellgang.cpp).
  auto PlanGang(Time aNow, PlacementRound& aRound, const ReadyStep& aReady)
    -> void;
  auto PlaceGang(Time aNow,
                 const PlacementRound& aRound,
                 const ReadyStep& aReady,
                 const std::string& aRack) -> bool;
  static auto CheckpointHolder(const TaskPlace& aPlace) -> Task&;
  auto BreakGang(Time aNow, const TaskName& aName) -> void;
  auto EndGang(Time aNow, const TaskPlace& aPlace) -> void;
  static auto IsNewGangFailure(const TaskPlace& aPlace, std::uint32_t aRun)
    -> bool;

  // Neighbours on one worker (cellrelief.cpp).
  auto NoteTail(Time aNow, const WorkerSlot& aSlot, Run& aRun, double aMeasured)
    -> void;
  auto LearnFrom(Time aNow, WorkerSlot& aSlot) -> void;
  static auto BesideSince(Time aNow,
                          const WorkerSlot& aSlot,
                          const std::vector<Fill>& aFills,
                          Time aSince) -> std::vector<Beside>;
  auto UnloadedTail(const StepSpec& aStep, ImageId aImage) const -> double;
  auto LoadOf(Time aNow, const Job& aJob) const -> double;
  // Pressure that each serving image there may still take.
  auto SlackOn(Time aNow, const WorkerSlot& aSlot) -> std::map<ImageId, double>;
  auto TakeSlack(Time aNow,
                 WorkerSlot& aSlot,
                 const StepSpec& aStep,
                 ImageId aImage) const -> void;
  auto FillsOn(const WorkerSlot& aSlot) -> std::vector<Fill>;
  auto FindSuffering(const WorkerSlot& aSlot) -> std::pair<RunRef, double>;
  auto TellSuffering(Time aNow, const WorkerSlot& aSlot, const RunRef& aRef)
    -> void;
  auto NoteSuffering(Time aNow, WorkerSlot& aSlot) -> void;
  auto SetPaces(Time aNow, WorkerSlot& aSlot) -> void;
  auto Displace(Time aNow, const Fill& aFill) -> bool;
  auto SetPace(Time aNow, const RunRef& aRef, Run& aRun, int aPercent) -> void;

  // What is told to readers of the log (cellview.cpp).
  auto TellLoad(Time aNow) -> void;

  // Calls (cellcalls.cpp).
  auto QueueCall(const WorkerCall& aCall) -> void;
  auto NewCall(const WorkerSlot& aSlot, CallKind aKind) -> WorkerCall;
  auto SendStart(Time aNow, const TaskPlace& aPlace, const RunRef& aRef)
    -> void;
  auto SendStop(Time aNow, WorkerSlot& aSlot, const RunRef& aRef) -> void;
  auto SendStops(Time aNow) -> void;
  auto RenewWorkers(Time aNow) -> void;
  auto SendRenewal(Time aNow, WorkerSlot& aSlot, Millis aPatience) -> void;
  auto LeaseEndFor(Time aNow, WorkerSlot& aSlot, Millis aLease) -> std::int64_t;

  const CellOptions options;
  const std::uint64_t fencingToken;
  const Time takenAt;
  const Millis earlierLease;
  const std::map<WorkerId, Time> earlierLapses;
  Time confirmedAt;
  Time siteFreshAt;
  DecisionLog& log;
  std::shared_ptr<const SiteConfig> config;
  std::set<DomainId> evacuated;
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  // Of these, the ones that have not ended.
  std::map<JobId, Job*> activeJobs;
  std::map<WorkerId, WorkerSlot> workers;
  // Cancellations of jobs that are not known yet.
  std::set<JobId> earlyCancels;
  std::map<QueueId, std::size_t> pending;
  // Jobs that are not recorded.
  std::set<JobId> dirty;
  std::optional<Time> dirtySince;
  Time nextBatch{};
  std::uint64_t lastBatch = 0;
  std::map<std::uint64_t, BatchNotes> batches;
  // The run or worker that an order under way is about.
  std::unordered_map<std::uint64_t, std::pair<WorkerId, RunRef>> orders;
  std::unordered_map<std::uint64_t, CallKind> orderKinds;
  // Runs whose stop order is due.
  std::set<RunRef> toStop;
  std::vector<WorkerCall> calls;
  Adviser adviser;
  std::vector<AdviceQuestion> questions;
  std::uint64_t lastCall = 0;
  Time plannedAt{};
  Time judgedAt{};
  // Something waits for time to pass before it can be placed.
  Time planAgain{};
  Time loadToldAt{};
  std::multimap<Time, JobId> endedJobs;
  std::vector<EndedJob> forgotten;
  std::set<JobId> staleRecords;
  CellCounts counts{};
  std::vector<Span> spans;
  Images images;
  Disturbance disturbance;
  // The lowest tail of each serving image, in milliseconds.
  std::map<ImageId, double> tailFloors;
  // What is not recorded has somebody who waits for it.
  bool hasty = false;
  bool batchInFlight = false;
  bool planNeeded = true;
  // In the last round some task that fills idle processors, and some other one,
  // found no place.
  bool fillsWait = false;
  bool othersWait = false;
  // A worker knows a newer owner.
  bool fenced = false;
};

} // namespace gooseberry::cells

#endif
