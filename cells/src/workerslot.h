#ifndef GOOSEBERRY_WORKERSLOT_H
#define GOOSEBERRY_WORKERSLOT_H

// A worker as its cell's scheduler knows it: its resources, its lease, its
// clock and the runs that may exist there.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "accountledger.h"
#include "durations.h"
#include "headroom.h"
#include "imageregistry.h"
#include "job.h"
#include "site.h"

namespace gooseberry::cells {

// A reading of a worker's steady clock.
struct ClockSample
{
  std::int64_t clockMs = 0;
  // Local time at which the answer with the reading arrived.
  Time receivedAt{};
};

// A run that ended with its worker's process.
struct LostRun
{
  RunRef ref;
  // Time between its start and the last answer of the worker.
  Micros age{ 0 };
  // The worker had confirmed the start.
  bool confirmed = false;
  // Of its task.
  std::uint32_t earlierLosses = 0;
};

struct WorkerSlot
{
  WorkerEntry entry;
  // The worker is in the store's table at present.
  bool listed = false;
  // A later worker of the same machine is listed and has answered: this one is
  // gone.
  bool superseded = false;
  // The worker refuses tasks that do not fit.
  bool enforcesCapacity = true;
  // The worker has answered under this owner's fencing token since its last
  // restart.
  bool reconciled = false;
  // The worker was restarted under this owner: renewals for its earlier process
  // may have reached the new one.
  bool restarted = false;
  // The worker may have been restarted; its next report tells.
  bool restartSuspected = false;
  std::optional<ClockSample> clockSample;
  // The latest lease end that the worker may have been given, on its own clock;
  // absent if an earlier owner may have given one that is not known.
  std::optional<std::int64_t> leaseEndMs;
  // The part of it that earlier owners may have granted.
  std::int64_t inheritedLeaseEndMs = 0;
  // Local time after which nothing runs there; holds only while leaseEndMs or
  // the worker's clock is not known, or the worker may have been restarted.
  Time fallbackLeaseEnd{};
  // The report that tells whether the worker was restarted is requested after
  // this call.
  std::uint64_t suspectedAtCall = 0;
  // The latest start of the worker that its entry told of.
  std::int64_t listedStartUnixMs = 0;
  // The last call that had been sent to any worker when the newest report came.
  // One of another process is a later process's only if it was requested since.
  std::uint64_t lastCallAtReport = 0;
  // Calls up to this one may have been answered by an earlier process.
  std::uint64_t lastCallBeforeRestart = 0;
  // When the earlier process was heard last, and the runs that certainly ended
  // with it.
  Time earlierProcessAnsweredAt{};
  std::vector<LostRun> lostRuns;

  // Resources of all runs that may exist there; for best-effort tasks, without
  // processors.
  Resources reserved;
  // Processors of best-effort tasks, in thousandths of a core.
  std::int64_t bestEffortCpu = 0;
  // Resources of the long-running tasks among them, which rarely use all of
  // their processors.
  Resources longRunningReserved;
  // Runs that may exist there.
  std::set<RunRef> runs;
  // Runs that the worker reports but the cell does not know; told to stop.
  std::set<RunRef> orphanRuns;

  // Ends of runs, by the worker's numbers: the last one seen, and those seen
  // that are not recorded. The first one seen may have any number: earlier
  // owners may have recorded the ends before it.
  std::uint64_t lastSeenEnd = 0;
  std::set<std::uint64_t> unrecordedEnds;
  // The worker has been told that all ends up to this one are recorded.
  std::uint64_t acknowledgedEnd = 0;
  // No connection leads to the known process; the next renewal, without an
  // acknowledgement, opens one.
  bool needsConnection = false;
  // Acknowledgements that were not sent for that reason, since one arrived.
  int unsentAcknowledgements = 0;

  // Numbers of the renewal calls that have not been answered.
  std::set<std::uint64_t> pendingRenewals;
  // No ordinary renewal before this time.
  Time nextRenewalAt{};
  // When the last lease was sent.
  Time leaseSentAt{};
  // A report is requested without delay.
  bool reportRequested = false;
  // The last renewal got no answer, or was refused, or another worker answered
  // some call.
  bool silent = false;
  // Another worker has answered at its address since its last report.
  bool addressReused = false;
  // The owner's row in the store may list the worker as silent.
  bool silentInOwnerRow = false;
  // Worker's clock in the newest report that was read.
  std::int64_t lastReportClockMs = 0;
  Time lastAnswerAt{};
  // Local time of the newest report, and of the last request for an extra one.
  Time lastReportAt{};
  Time extraReportRequestedAt{};

  // The worker gets no new runs until this time.
  Time noStartsUntil{};
  // A task that may crash the worker was started there: until this time, or the
  // end of that run, the worker gets no other.
  Time isolatedUntil{};
  // That run; meaningless once the time has passed.
  RunRef isolatedRun;
  // The worker fails or is slow: until this time it gets only long-running
  // tasks that find no other worker.
  Time lastResortUntil{};

  // Failures since the last run that was done, and the jobs that they belong
  // to.
  int consecutiveFailures = 0;
  std::set<JobId> failedJobs;
  // How often the worker was suspected since the last run that was done.
  int suspicionCount = 0;
  // When the progress of the runs there is checked next.
  Time nextProgressCheckAt{};
  // Time that work takes there, as a multiple of the time elsewhere, as last
  // estimated.
  double slowdown = 1.0;
  // As learned from the durations of runs there.
  RelativeRunTime relativeRunTime;

  // Numbers of long-running and of best-effort tasks there, by image.
  std::map<ImageId, int> longRunningTasks;
  std::map<ImageId, int> bestEffortTasks;
  // A best-effort run that ended a short time ago. The next reports still cover
  // time in which it ran.
  struct EndedBestEffortRun
  {
    ImageId image = 0;
    // Share of the worker's processors that it used, from 0 to 1.
    double cpuShare = 0.0;
    Time from{};
    Time to{};
  };
  std::vector<EndedBestEffortRun> endedBestEffortRuns;
  // Pressure that each serving image there can still tolerate: as of the newest
  // report, less that of the tasks placed there since.
  std::map<ImageId, double> pressureSlack;
  // How much more interference the tasks of each image tolerate before their
  // tails come close to the target, with the runs that are there; as of the
  // newest report, less that of the tasks placed there since. Only with
  // CellOptions::usesHeadroom.
  InterferenceByImage headroom;
  // The tail of some task is above its target.
  bool tailOverTarget = false;
  // When some tail came close to its target or exceeded it; set until all tails
  // are clearly below their targets.
  std::optional<Time> tailHighSince;
  // Best-effort tasks there are paused until this time, to bring tails down.
  Time bestEffortPausedUntil{};

  // Resources that are not reserved.
  auto FreeResources() const -> Resources;
  // Resources that will not be reserved once all tasks that are not
  // long-running have ended.
  auto LongRunningRoom() const -> Resources;
  // Processors that no task is expected to use, in thousandths of a core.
  auto IdleCpu() const -> std::int64_t;
  // Share of the worker's processors that this many thousandths of a core are.
  auto CpuShare(std::int64_t aCpuMillis) const -> double;
  // Lower bound of what the worker's clock shows, in milliseconds; 0 if nothing
  // is known.
  auto ClockLowerBound(Time aNow) const -> std::int64_t;
  // Local time after which every run there has certainly ended with its lease,
  // even if the worker does not answer.
  auto LeaseOverBy() const -> Time;
  // What LeaseOverBy() follows from, for the log: a lease that this owner
  // granted, one that an earlier owner may have granted, or the time of the
  // takeover.
  auto LeaseBasis() const -> const char*;
  // Reserves the resources of a run, and counts them as used by its account;
  // false if they are reserved already.
  auto ReserveRun(const RunRef& aRun,
                  const StepSpec& aStep,
                  ImageId aImage,
                  AccountState& aAccount) -> bool;
  // Releases the resources of a run, if they are reserved.
  auto ReleaseRun(const RunRef& aRun,
                  const StepSpec& aStep,
                  ImageId aImage,
                  AccountState& aAccount) -> void;
  // The worker reported an end.
  auto OnEndSeen(std::uint64_t aEnd) -> void;
  // The end is recorded, or needs no record. The worker may discard it once
  // this holds for all ends before it as well.
  auto OnEndRecorded(std::uint64_t aEnd) -> void;
  // All ends up to this one are recorded.
  auto LastRecordedEnd() const -> std::uint64_t;
  // Ends were recorded that the worker has not been told of.
  auto HasEndsToAcknowledge() const -> bool;
  // The number of the end to acknowledge with the next renewal; 0 for none.
  auto EndToAcknowledge() const -> std::uint64_t;
  // The process that answers is certainly the one whose ends have been seen.
  auto IsProcessKnown() const -> bool;
};

} // namespace gooseberry::cells

#endif
