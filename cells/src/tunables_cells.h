#ifndef GOOSEBERRY_TUNABLES_CELLS_H
#define GOOSEBERRY_TUNABLES_CELLS_H

// Timeouts, limits and weights that the cells' decisions use.

#include <cstddef>

#include "types.h"

namespace gooseberry::cells {

// Largest difference in rate between two workers' steady clocks, in parts per
// thousand. The platform guarantees 2%.
inline constexpr std::int64_t kWorkerClockDriftPerMille = 20;

// Safety margin added when a time on another clock must certainly have passed.
// Covers timer lag and rounding to whole milliseconds on both sides.
inline constexpr Millis kClockMargin{ 30 };

// Extends a duration measured on a worker's clock so that the same duration on
// the local clock certainly covers it.
constexpr auto
WithWorkerDrift(Millis aDuration) -> Millis
{
  return aDuration + aDuration * kWorkerClockDriftPerMille / 1000 + Millis{ 1 };
}

// A worker refuses a start order that arrives later than this. Long enough for
// the send queue of a slow instance, short enough that no order takes effect
// after its failure domain was evacuated or its job cancelled (for both, the
// deadlines are 2 s and more).
inline constexpr Millis kStartOrderLifetime{ 1500 };

// An order without an answer for this long is resolved in another way. A worker
// answers in 1 to 3 ms, an instance with a tenth of a core in about 50 ms.
inline constexpr Millis kOrderTimeout{ 500 };

// How much longer than the worker's allowed wait a renewal may take.
inline constexpr Millis kRenewAnswerMargin{ 700 };

// No task is started on older knowledge of the operators' and workers' tables:
// a failure domain must be empty 5 s after it is taken out of service, and a
// leaving worker must get no work from 2 s after its announcement. The tables
// are read every second.
inline constexpr Millis kSiteMaxAge{ 3000 };

// How long a worker waits for a run to end before it answers a renewal. This is
// the protocol's upper limit.
inline constexpr Millis kRenewMaxWait{ 2000 };

// The same on a worker whose long-running tasks may be slowed by best-effort
// tasks beside them. Tail latency may exceed its target for at most 4 s, and
// several reports are needed to correct it.
inline constexpr Millis kColocatedRenewMaxWait{ 600 };

// Minimum time between two renewals of one worker. Each report has a cost, so
// ends in quick succession share one.
inline constexpr Millis kMinRenewInterval{ 100 };

// Interval between renewals of workers on which nothing runs.
inline constexpr Millis kIdleRenewInterval{ 5000 };

// Number of times a lease is renewed within its duration, whatever else delays
// reports.
inline constexpr int kRenewalsPerLease = 4;

// Acknowledgements that were not sent in a row, because no connection led to
// the worker's process, before one is sent on any connection: a worker may
// close each one after its answer.
inline constexpr int kMaxUnsentAcknowledgements = 3;

// Delay before the next renewal after one that got no answer, or was refused.
inline constexpr Millis kRenewRetryDelay{ 250 };

// Least time between two orders to stop the same run. A cancelled task has to
// be gone 3 s after its cancellation.
inline constexpr Millis kStopRetryDelay{ 250 };

// Starts wait this long to share a transaction. A transaction takes about 10
// ms, and a partition of the store takes 150 a second.
inline constexpr Millis kMinCommitInterval{ 12 };

// Delay before ends that nothing waits for are recorded.
inline constexpr Millis kLazyCommitDelay{ 120 };

// Delay before a transaction that the store refused is retried.
inline constexpr Millis kCommitRetryDelay{ 100 };

// How long a job stays known after its rows were removed. Rows that were read
// before the removal arrive within their call's timeout, and rows are re-read
// partition by partition.
inline constexpr Millis kRemovedJobRetention{ 30000 };

// A transaction gets no more jobs once it has the first number of rows, and no
// more rows of a job's delegations once it has the second. The protocol accepts
// 100 entries; four of them are the owner's row, its condition, the learned
// state and the load.
inline constexpr std::size_t kMaxRecordsPerCommit = 90;
inline constexpr std::size_t kMaxRowsPerCommit = 96;

// A job's record has at most so many rows after the first one. A job gets no
// more runs than they can hold.
inline constexpr std::uint32_t kMaxContinuationRows = 7;
// A transaction gets no more rows once these have so many bytes. The protocol
// accepts 1 MB, in which rows take a third more; the owner's row and one that
// it learned or shares may take 64 KB each.
inline constexpr std::size_t kMaxBytesPerCommit = 480'000;
// Delay before a record that the store rejected is tried again, if it has
// changed; doubles with each rejection up to the maximum.
inline constexpr Millis kRejectedRecordDelay{ 1000 };
inline constexpr Millis kRejectedRecordDelayMax{ 60000 };

// How long a task must have waited before it is delegated to another cell. A
// best-effort task may find a worker of this cell once its neighbours are
// known.
inline constexpr Millis kDelegateAfter{ 30 };
inline constexpr Millis kDelegateBestEffortAfter{ 400 };
// A host returns tasks that it has found no worker for within this time.
inline constexpr Millis kDelegationPatience{ 400 };
// The same for long-running tasks: the room that others took meanwhile does not
// come back soon.
inline constexpr Millis kLongRunningDelegationPatience{ 60 };
// The same for tasks that a worker is held for: most short tasks end within
// this time.
inline constexpr Millis kHeldTaskPatience{ 3000 };
// Most overdue tasks that a home cell delegates to one host at a time, since
// the host holds a worker for each.
inline constexpr std::size_t kMaxOverdueDelegated = 4;
// How long a host that returned tasks gets none of their kind.
inline constexpr Millis kHostAvoidTime{ 1000 };
// A load that is older says nothing about a host's room. Loads are written
// every 250 ms, or every 500 ms if nothing else is.
inline constexpr Millis kPeerLoadMaxAge{ 1500 };
// Delegated tasks show in what the host measures after at most this time.
inline constexpr Millis kDelegationShowsAfter{ 600 };
// Fraction of a host's room that one home cell uses; others may do the same.
inline constexpr double kHostRoomFraction = 0.8;
// Most tasks in one delegation; each takes about 50 bytes of a row, and as much
// for each run in the report.
inline constexpr std::size_t kMaxDelegatedTasks = 100;
// How long a closed delegation is remembered. Rows that were read before it was
// closed arrive within a call's timeout.
inline constexpr Millis kClosedDelegationRetention{ 60000 };

// Minimum time between two placement rounds; a round costs about 0.1 ms. A
// round looks at each step that waits, so that there are fewer rounds the more
// steps do: some hundred wait on an overloaded site.
inline constexpr Millis kMinPlanInterval{ 8 };
inline constexpr Micros kPlanIntervalPerStep{ 50 };
// Interval at which placement is retried for tasks that wait for interference
// on the workers to fall.
inline constexpr Millis kPlanRetryInterval{ 100 };

// Interval at which the expected outcomes of waiting jobs are predicted.
inline constexpr Millis kOutcomePredictionInterval{ 100 };

// Least time between the turns of two jobs that the order of starts would delay
// without end. A job of 40 tasks takes about 80 core-seconds, which is 2% of
// what 5,000 processors do in this time.
inline constexpr Millis kStarvationTurnInterval{ 1000 };
// How long after its result has lost its use a job waits for a turn; overload
// that ends sooner lets it run without one.
inline constexpr Millis kStarvationWait{ 10000 };

// Overload begins once jobs have lost their use for lack of capacity for this
// time, and ends after this time without. Short tasks run for about a second:
// in the first time, what ran when a burst began has ended.
inline constexpr Millis kOverloadEntryTime{ 2000 };
inline constexpr Millis kOverloadExitTime{ 500 };

// A long-running task that ran before and has waited this long is placed before
// all others: its users miss it. It must run once there has been room for it
// for 3 s, counted from 6 s after its last run, and room freed by tasks that
// end is available only briefly.
inline constexpr Millis kInterruptedMaxWait{ 1000 };
// The same for one that never ran. Nobody uses it yet, and on a full site it
// takes for good what short tasks need in turn.
inline constexpr Millis kNewTaskMaxWait{ 5000 };
// Most workers of a cell that are held at a time for long-running tasks that
// have waited so long; while it is held, the room of a worker lies idle.
inline constexpr std::size_t kMaxHeldWorkers = 8;

// Back-off of a task that failed; doubles with each failure up to the maximum.
inline constexpr Millis kFailureBackoff{ 20 };
inline constexpr Millis kFailureBackoffMax{ 2000 };

// Fraction of their reserved processors that long-running tasks are expected to
// use.
inline constexpr double kLongRunningCpuUse = 0.5;

// A long-running task is ready when it reports this percentage.
inline constexpr double kReadyPercent = 100.0;

// Minimum weight of each interference level, so that a pair that changes is
// recognised within one or two reports.
inline constexpr double kMinLevelWeight = 0.001;
// Pairs with a lower estimate count as free of interference. Estimates of
// harmless pairs reach 0.7, those of others start at 1.9.
inline constexpr double kNegligibleInterference = 1.0;
// Time in which the certainty about a pair halves. Pairs change within a
// time-compressed day of 40 s.
inline constexpr Millis kPairHalfLife{ 20000 };
// Pairs not observed for longer are not passed on to the next owner: less than
// an eighth of the certainty about them is left.
inline constexpr Millis kPairMaxAge{ 60000 };
// Most pairs and run speeds passed on. A row of the store holds 64 KB; a pair
// takes about 30 bytes and a run speed 25.
inline constexpr std::size_t kMaxExportedPairs = 800;
inline constexpr std::size_t kMaxExportedRunSpeeds = 1000;
// Smallest idle fraction of a long-running task that the model distinguishes.
inline constexpr double kMinIdleFraction = 0.02;
// Tail latency target as a multiple of the unloaded tail, used while the
// unloaded tail is unknown.
inline constexpr double kDefaultTargetMultiple = 6.0;
// Unloaded tail as a fraction of the lowest tail observed, which is seen at a
// load of about 0.2.
inline constexpr double kUnloadedTailFraction = 0.9;
// Fraction of the target below which tail latency is kept.
inline constexpr double kTailTargetFraction = 0.5;
// Expected growth of a load until the next report.
inline constexpr double kExpectedLoadGrowth = 0.08;
// Load assumed for long-running tasks without observations, and its variance.
inline constexpr double kDefaultLoad = 0.55;
inline constexpr double kDefaultLoadVariance = 0.04;
// Variance that a load estimate gains per second. Loads swing by half within 10
// s, which is at most 0.15 a second.
inline constexpr double kLoadVariancePerSecond = 0.01;
// Relative error of reported tail latencies.
inline constexpr double kTailRelativeError = 0.1;
// Variance of one observed interference, in addition to the error of its tail
// latency: the processor shares are inexact too.
inline constexpr double kInterferenceVariance = 0.005;
// A task counts as unloaded by its neighbours while the standard deviation plus
// the mean of their interference is below this.
inline constexpr double kUnloadedMaxInterference = 0.1;
// Half-life of the smoothing of reported tail latencies: the distance to the
// true value halves in this time, as seen after neighbours end.
inline constexpr Millis kTailSmoothingHalfLife{ 250 };
// Reports closer together than this carry no information about the time between
// them.
inline constexpr Millis kMinTailInterval{ 200 };
// Speed limits change in steps of at least this many percent, and no more often
// than at this interval.
inline constexpr int kMinSpeedStepPercent = 20;
inline constexpr Millis kMinSpeedChangeInterval{ 300 };
// Fractions of the target at which a tail latency counts as too high and as
// recovered. Reports are inexact by a tenth or more.
inline constexpr double kTailHighFraction = 0.9;
inline constexpr double kTailRecoveredFraction = 0.75;
// Headroom for interference from which on more makes no difference to the
// choice of a worker, and the penalty for each unit beyond the headroom, in the
// unit of a worker's score: 5% beyond it weigh as much as a worker that is all
// idle.
inline constexpr double kAmpleHeadroom = 0.5;
inline constexpr double kHeadroomExcessPenalty = 20.0;
// A tail latency may exceed its target for 4 s. After the first of these times
// all best-effort tasks beside it are paused for the second.
inline constexpr Millis kTailOverrunBeforePause{ 1800 };
inline constexpr Millis kPauseDuration{ 700 };
// Lowest expected speed at which a task is placed beside long-running ones. The
// second value applies once the task has waited for the given time.
inline constexpr double kGoodSpeed = 0.95;
inline constexpr double kReducedSpeed = 0.8;
inline constexpr Millis kReducedSpeedAfter{ 700 };
// A best-effort task of a job that has nothing running is started at any speed
// once it has waited for this long, so that each job gets on as soon as its
// neighbours allow it. By then the job is late in any case.
inline constexpr Millis kAnySpeedAfter{ 10000 };
// A task limited to a lower speed for this long is moved if there is a better
// place for it.
inline constexpr int kLowSpeedPercent = 40;
inline constexpr Millis kLowSpeedMaxTime{ 800 };
// Most concurrent runs of one best-effort image beside a latency-critical image
// while the interference between them is unknown, and the variance of the
// estimate above which it counts as unknown.
inline constexpr int kMaxProbeRuns = 2;
inline constexpr double kUnknownPairVariance = 2.0;

// Most advice requests in flight. The adviser handles them one after the other,
// so a second one waits there rather than here.
inline constexpr std::size_t kMaxAdviceRequests = 2;
// Workers named in one advice request. The adviser accepts 100 and needs time
// for each.
inline constexpr std::size_t kMinAdviceWorkers = 4;
inline constexpr std::size_t kMaxAdviceWorkers = 100;
inline constexpr double kMinAllowedFraction = 0.1;
// Weight of the newest response in the average fraction of workers allowed.
inline constexpr double kAllowedFractionGain = 0.2;
// Minimum remaining validity of a ticket, or half of its whole validity if that
// is less. Covers recording a start, sending it and, if the worker is slow, its
// acceptance.
inline constexpr Millis kMinTicketValidity{ 500 };
// Time beyond the adviser's own: the network, and an adviser under load.
inline constexpr Millis kAdviceSlack{ 2000 };
// Most times as long as the adviser tells that a response is waited for.
inline constexpr int kMaxAdvicePatience = 64;
// A request takes the adviser about this long at most, unless it has to name
// more workers: other steps' requests wait behind it.
inline constexpr Millis kMaxAdviceTime{ 1500 };
inline constexpr Millis kAdviceRetryDelay{ 200 };
inline constexpr Millis kMaxAdviceRetryDelay{ 5000 };
// A step that has not started on a ticket for this long is reported, and again
// at this interval, with this pause between the reports of two steps.
inline constexpr Millis kAdviceStallTime{ 5000 };
inline constexpr Millis kAdviceStallInterval{ 10000 };
inline constexpr Millis kAdviceReportPause{ 1000 };

// Failures in a row, from at least two jobs, after which a worker is suspected.
// One run in twenty fails without the worker's fault.
inline constexpr int kSuspectAfterFailures = 3;
// A suspected worker takes nothing for this time, then one task at a time.
inline constexpr Millis kSuspectAvoidTime{ 700 };
inline constexpr Millis kSuspectAvoidTimeMax{ 4000 };
// A run without progress for this long counts as stuck. Reports come within 2
// s, and progress is reported in hundredths.
inline constexpr Millis kStuckAfter{ 1600 };
// Least interval between two checks of the progress on a worker: each compares
// its runs with all others of their steps.
inline constexpr Millis kProgressCheckInterval{ 400 };
// Runs limited to a lower speed (in percent) say nothing about the health of
// their worker.
inline constexpr int kMinWatchedSpeedPercent = 90;
// Runs with less working time or progress (in percent) are not extrapolated,
// because the result would be too inexact.
inline constexpr Millis kMinProgressTime{ 300 };
inline constexpr double kMinProgressPercent = 3.0;
// Minimum number of other runs of a step that a run is compared with.
inline constexpr std::size_t kMinComparisons = 2;
// A worker counts as slow if work takes this many times as long as elsewhere.
// Durations of tasks in one step differ by about 0.3 of their mean.
inline constexpr double kSlowWorkerFactor = 2.2;
inline constexpr double kMaxSlowness = 1000.0;
inline constexpr Millis kSlowWorkerAvoidTime{ 2500 };
// Time to stop a task and start it elsewhere, besides its work.
inline constexpr Millis kMoveCost{ 700 };
inline constexpr int kMaxMoves = 2;

// Interval at which late runs of tasks that may run twice are looked for.
inline constexpr Millis kCopyCheckInterval{ 100 };

// Number of workers in a cell. Resources are shared only within a cell, so
// cells are as large as one owner can serve: 350 workers and 600 starts a
// second take 0.1 of a core. Splitting the same site into 7 cells of 50 workers
// lowered its value from 0.68 to 0.53.
inline constexpr std::size_t kWorkersPerCell = 400;

// Cells whose owners share one table of delegations. An owner follows three of
// them, so that its cost does not grow with the fleet; the store holds at most
// 100 tables.
inline constexpr std::size_t kCellsPerGroup = 8;

// Least interval at which instances write their own row and read the others'.
inline constexpr Millis kMemberHeartbeatInterval{ 2500 };
// Calls of all instances together for that, a second: this part of the store's
// limits, or the absolute number if that is more.
inline constexpr double kMemberWritesFraction = 0.02;
inline constexpr double kMinMemberWritesPerSecond = 20.0;
inline constexpr double kFleetReadsFraction = 0.01;
inline constexpr double kMinFleetReadsPerSecond = 40.0;
// An instance is far from owning a cell if so many members rank before it for
// each. It takes part in no takeover as long as some of those are alive, and
// writes and reads the members' rows less often by these factors: reading all
// rows is most of what an instance without a cell spends.
inline constexpr std::size_t kFarOwnerRank = 12;
inline constexpr int kFarHeartbeatFactor = 4;
inline constexpr int kFarMembersReadFactor = 8;
// A read that comes later than this after its time is not counted as silence of
// any member.
inline constexpr Millis kMemberReadSlack{ 500 };
// A member whose row has not changed for this long, or for two of its
// heartbeats and the margin, counts as gone. The margin covers the time between
// two reads.
inline constexpr Millis kMemberTimeout{ 7000 };
inline constexpr Millis kMemberTimeoutMargin{ 2000 };
// Rows of members that are gone are removed after this time. Some thousand
// instances are replaced in a day, and each read brings all rows.
inline constexpr Millis kAbandonedMemberAge{ 120000 };
// Number of instances that may own a cell; all but one of them may be lost at
// once. A third of the instances may be cut off from the store while others
// own a cell already.
inline constexpr std::size_t kOwnerCandidates = 6;
// Members with less than this fraction of the mean processor share are owners
// of last resort, and larger shares win by their third power: an owner that
// lags holds up its whole cell.
inline constexpr double kMinOwnerShareFraction = 0.8;
inline constexpr double kOwnerShareExponent = 3.0;

// Most measured waits kept until they are collected.
inline constexpr std::size_t kMaxStoredSpans = 1000;

// An account may send the jobs of this time at once without exceeding its rate.
inline constexpr Millis kAccountBurst{ 2000 };
// Interval between log lines about a step that waits because of its account's
// limit.
inline constexpr Millis kLimitLogInterval{ 10000 };

// Interval between log lines about the load.
inline constexpr Millis kLoadLogInterval{ 1000 };
// Interval at which a cell's load is measured, and the time over which the
// demand of short tasks is averaged. They run for about a second.
inline constexpr Millis kLoadMeasureInterval{ 250 };
inline constexpr Millis kLoadAverageTime{ 2000 };
// A new owner's load counts as known after this time at the latest, whatever
// workers are silent.
inline constexpr Millis kReconcileMaxTime{ 3000 };
// Relative chance that a new job is sent to a full cell.
inline constexpr double kMinCellChance = 0.02;

// A worker that is lost soon after a task was started there may have crashed
// under it. Workers report at least every 2 s; a task that crashes its worker
// mostly does so at once.
inline constexpr Millis kCrashWindow{ 2000 };
inline constexpr Millis kLikelyCrashWindow{ 500 };
// A task is given up after so many losses: if it was the only one that may have
// crashed the last worker, if it is among the most likely ones, and in any
// case.
inline constexpr std::uint32_t kMaxLossesAlone = 2;
inline constexpr std::uint32_t kMaxLossesLikely = 3;
inline constexpr std::uint32_t kMaxLosses = 4;
// The losses of a task are forgotten once a run of it has lasted so long.
inline constexpr Millis kLossMemory{ 30000 };
// A machine that starts a new worker within this time after the lease of the
// one before has expired is taken to have lost it by a crash.
inline constexpr Millis kUnsettledLossMaxAge{ 10000 };
// A suspected task waits so long for a worker that it can have to itself, and
// has it for that long. At most one worker in so many is given to them.
inline constexpr Millis kIsolationMaxWait{ 600 };
inline constexpr Millis kIsolationTime{ 500 };
inline constexpr std::size_t kIsolatedWorkersPart = 8;

// A worker that refused an order or did not answer it gets no new ones for this
// time.
inline constexpr Millis kRefusalAvoidTime{ 300 };

} // namespace gooseberry::cells

#endif
