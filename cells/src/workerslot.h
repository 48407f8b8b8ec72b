#ifndef GOOSEBERRY_WORKERSLOT_H
#define GOOSEBERRY_WORKERSLOT_H

// One worker as its cell's scheduler knows it: its room, its lease, its clock
// and what may run there.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "images.h"
#include "job.h"
#include "site.h"

namespace gooseberry::cells {

struct ClockSample
{
  std::int64_t clockMs = 0;
  // Own time when the answer that told it had arrived.
  Time at{};
};

struct WorkerSlot
{
  WorkerEntry entry;
  // The store's table names it at present.
  bool listed = false;
  bool guardsCapacity = true;
  // It answered under this owner's fencing token in its present life.
  bool reconciled = false;
  std::optional<ClockSample> clock;
  // The latest lease end that it may have been given, on its own clock; absent
  // if an earlier owner may have given one that is not known.
  std::optional<std::int64_t> leaseEndMs;
  // Nothing runs there after this own time, if leaseEndMs can't tell.
  Time unknownLeaseEnd{};

  // Of all runs that may exist there.
  Resources reserved;
  // Processors that tasks use which only fill idle ones.
  std::int64_t fillingCpu = 0;
  // Processors reserved for lasting tasks, which rarely use all of them.
  std::int64_t lastingCpu = 0;
  std::set<RunRef> runs;
  // Runs that nobody knows of, told to stop.
  std::set<RunRef> orphans;

  // Ends: the last one seen, and those of them that are not recorded. Earlier
  // owners may have taken note of any number before.
  std::uint64_t seenEnds = 0;
  std::set<std::uint64_t> unrecordedEnds;

  // Renewals under way, by their call's number.
  std::set<std::uint64_t> renewals;
  Time nextRenewal{};
  // When the last lease was sent.
  Time leasedAt{};
  // A report is wanted at once.
  bool lookNow = false;
  // The last renewal got no answer.
  bool silent = false;
  // The owner's row may say so.
  bool toldSilent = false;
  // Ends were recorded that the worker was not told of.
  bool unacknowledged = false;
  // Worker's clock of the newest report that was read.
  std::int64_t reportedMs = 0;
  Time lastAnswer{};
  // When the newest report came, and when an extra one was asked for.
  Time reportedAt{};
  Time lookedAt{};

  // Takes no new runs until then.
  Time avoidUntil{};
  // Takes only what finds no other place until then: it fails or is slow.
  Time shunnedUntil{};

  // Failures since the last run that was done, of how many jobs, and since when
  // it is suspected for them.
  int failures = 0;
  std::set<JobId> failedJobs;
  int suspicions = 0;
  // How many times as long as elsewhere work was last seen to take there.
  double slowness = 1.0;

  // Lasting tasks there by image, and tasks that fill idle processors.
  std::map<ImageId, int> serving;
  std::map<ImageId, int> filling;
  // Runs that filled idle processors until a moment ago.
  struct GoneFill
  {
    ImageId image = 0;
    double share = 0.0;
    Time from{};
    Time to{};
  };
  std::vector<GoneFill> goneFills;
  // Pressure that each serving image there may still take, as of the newest
  // report and less what was placed there since.
  std::map<ImageId, double> slack;
  // Some tail is beyond its target, and since when one has been about there or
  // beyond; until when all that fills rests for it.
  bool suffering = false;
  std::optional<Time> overSince;
  Time restUntil{};

  auto Room() const -> Resources;
  // Processors that nobody is expected to use.
  auto IdleCpu() const -> std::int64_t;
  // Estimate of its clock; at least as much as it surely shows.
  auto ClockAtLeast(Time aNow) const -> std::int64_t;
  // Own time after which everything that ran there has ended by its lease,
  // whatever it answers.
  auto LapsedBy() const -> Time;
  // False if its room is held already.
  auto Attach(const RunRef& aRun, const StepSpec& aStep, ImageId aImage)
    -> bool;
  auto Detach(const RunRef& aRun, const StepSpec& aStep, ImageId aImage)
    -> void;
  auto NoteEnd(std::uint64_t aEnd) -> void;
  // The end may be forgotten by the worker as soon as all before it may.
  auto NoteRecorded(std::uint64_t aEnd) -> void;
  // All ends up to this one are recorded.
  auto RecordedEnds() const -> std::uint64_t;
};

} // namespace gooseberry::cells

#endif
