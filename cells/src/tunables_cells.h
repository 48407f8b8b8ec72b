#ifndef GOOSEBERRY_TUNABLES_CELLS_H
#define GOOSEBERRY_TUNABLES_CELLS_H

// Every time bound, limit and weight of the cells' decisions, in one place.

#include <cstddef>

#include "types.h"

namespace gooseberry::cells {

// Largest difference in rate between two steady clocks, in parts of 1,000, as
// the platform states it for workers (2%).
inline constexpr std::int64_t kClockDrift = 20;

// Added wherever a time on another clock must surely be over: a timer's lag and
// rounding to whole milliseconds on both sides.
inline constexpr Millis kClockMargin{ 30 };

// Stretches a duration on a worker's clock to one that surely covers it on
// ours.
constexpr auto
WithWorkerDrift(Millis aDuration) -> Millis
{
  return aDuration + aDuration * kClockDrift / 1000 + Millis{ 1 };
}

// A start order that arrives later than this is refused by its worker: long
// enough for a slow instance's queue, short enough that no order is carried out
// after its failure domain was emptied or its job cancelled (bounds of 2 s and
// more).
inline constexpr Millis kStartWindow{ 1500 };

// An order without an answer for this long is looked after in another way; a
// worker answers in 1 to 3 ms, an instance at a tenth of a core in some 50.
inline constexpr Millis kOrderTimeout{ 500 };

// A report may take this much longer than the worker was allowed to wait.
inline constexpr Millis kRenewTimeout{ 700 };

// Nothing is started by an older knowledge of operators' and workers' words: a
// failure domain is empty 5 s after it was taken out, a leaving worker gets
// nothing 2 s after it said so. Their tables are looked at each second.
inline constexpr Millis kSiteFreshness{ 3000 };

// How long a worker waits for an end before it answers a renewal. The wire's
// own limit.
inline constexpr Millis kRenewPatience{ 2000 };

// The same on a worker whose lasting tasks may suffer from their neighbours:
// they may be over their target for 4 s, and it takes some reports to help.
inline constexpr Millis kWatchedPatience{ 600 };

// Least time between two renewals with one worker: ends that come in quick
// succession share a report, each report has a price.
inline constexpr Millis kRenewGap{ 100 };

// Workers on which nothing runs are looked at this often.
inline constexpr Millis kIdleRenewInterval{ 5000 };

// Leases are renewed so often within their time, whatever else holds reports
// up.
inline constexpr int kRenewalsPerLease = 4;

// After a call without an answer the next one waits for this.
inline constexpr Millis kRenewRetry{ 250 };

// Starts wait this long for company in one transaction; a transaction takes
// about 10 ms, and parts take 150 a second.
inline constexpr Millis kCommitGap{ 12 };

// Ends that nothing waits for are recorded after this.
inline constexpr Millis kLazyCommit{ 120 };

// A store that refuses is tried again after this.
inline constexpr Millis kCommitRetry{ 100 };

// A job whose rows are gone stays known for so long: rows that were read before
// arrive within their call's time limit, read anew part after part.
inline constexpr Millis kSweptKept{ 30000 };

// Most records in one transaction; the wire takes 100 entries.
inline constexpr std::size_t kMaxRecordsPerCommit = 90;

// Least time between two rounds of placement; a round costs some 0.1 ms.
inline constexpr Millis kPlanGap{ 8 };
// Tasks that wait for their neighbours to calm down are looked at this often.
inline constexpr Millis kPlanAgain{ 100 };

// Prospects of waiting jobs are judged this often.
inline constexpr Millis kJudgeGap{ 100 };

// A lasting task that waited so long goes before all others: it is owed a place
// once room has been there for 3 s, from 6 s after its last run, and room that
// ends free up is there for moments only. At 1.5 s short tasks lost 0.01 of
// worth.
inline constexpr Millis kLastingOwed{ 5000 };

// Back-off of a task that failed, doubled with each failure.
inline constexpr Millis kFailureBackoff{ 20 };
inline constexpr Millis kFailureBackoffMax{ 2000 };

// Part of their reserved processors that lasting tasks are expected to use.
inline constexpr double kLastingUse = 0.5;

// A lasting task is at work when it reports this percentage.
inline constexpr double kReadyPercent = 100.0;

// Least weight of a level of pressure that was not seen: a pair that changes
// shows it with the next report or two.
inline constexpr double kLeastLikely = 0.001;
// Pairs with a lower estimate do not disturb at all: estimates of harmless
// pairs were seen up to 0.7, of others from 1.9 on.
inline constexpr double kHarmlessPressure = 1.0;
// After which time a pair is known half as well: pairs were seen to change
// within a day of 40 s.
inline constexpr Millis kPairHalfLife{ 20000 };
// Pairs that were not seen for longer are not told to the next owner; less than
// an eighth is known of them.
inline constexpr Millis kPairTold{ 60000 };
// Most pairs and paces told: a row of the store holds 64 KB, a pair takes about
// 30 bytes and a pace 25.
inline constexpr std::size_t kMaxPairsTold = 800;
inline constexpr std::size_t kMaxPacesTold = 1000;
// Least idle part of a lasting task that the model knows.
inline constexpr double kLeastIdle = 0.02;
// Target in units of the tail without load, while it is not known.
inline constexpr double kTargetUnits = 6.0;
// The lowest tail seen is at a load of about 0.2.
inline constexpr double kFloorPart = 0.9;
// Tails are kept below this part of their target.
inline constexpr double kTailLimit = 0.5;
// A load is expected to grow by so much before the next look.
inline constexpr double kLoadGrowth = 0.08;
// Load of lasting tasks that was not seen, and its variance.
inline constexpr double kUnknownLoad = 0.55;
inline constexpr double kUnknownLoadVariance = 0.04;
// Variance that a load gains each second: it was seen to swing by half within
// 10 s, which is at most 0.15 a second.
inline constexpr double kLoadDrift = 0.01;
// Reported tails are rough by a tenth.
inline constexpr double kTailError = 0.1;
// Variance of one observed pressure, besides what its tail is off by: shares of
// processors are rough as well.
inline constexpr double kPressureError = 0.005;
// Standard deviation of pressure below which a task shows its unloaded tail.
inline constexpr double kCertainPressure = 0.1;
// The reported tail is smoothed: with each of these spans it halves its
// distance to the true one (measured after the ends of neighbours).
inline constexpr Millis kTailHalfLife{ 250 };
// Reports closer together than this say nothing about the time between.
inline constexpr Millis kTailSpan{ 200 };
// Paces are changed in steps of at least so many percent, and no more often.
inline constexpr int kPaceStep = 20;
inline constexpr Millis kPacePause{ 300 };
// Parts of its target at which a tail counts as beyond it, and as back: reports
// are rough by a tenth and more.
inline constexpr double kTailOver = 0.9;
inline constexpr double kTailBack = 0.75;
// A tail may be beyond its target for 4 s; then everything beside it rests.
inline constexpr Millis kReliefUrgent{ 1800 };
inline constexpr Millis kReliefRest{ 700 };
// Least expected pace with which a task is placed beside lasting ones; the
// second one after it has waited for some time.
inline constexpr double kGoodPace = 0.95;
inline constexpr double kPoorPace = 0.8;
inline constexpr Millis kPoorPaceAfter{ 700 };
// A task that is held to less goes elsewhere if it can.
inline constexpr int kLowPace = 40;
inline constexpr Millis kLowPaceFor{ 800 };
// Runs of one image beside an image that it was not seen beside yet.
inline constexpr int kProbes = 2;
inline constexpr double kProbeVariance = 2.0;

// Questions to the adviser that may be under way: it decides them one after the
// other, the second one waits there and not here.
inline constexpr std::size_t kMostQuestions = 2;
// Workers named in one question: the adviser takes 100 and needs time for each.
inline constexpr std::size_t kLeastAdvised = 4;
inline constexpr std::size_t kMostAdvised = 100;
inline constexpr double kLeastAllowedPart = 0.1;
// Weight of the newest answer in the part of workers that is allowed.
inline constexpr double kAllowedGain = 0.2;
// A ticket has to stay valid for so long: a start is recorded, sent and, if its
// worker is slow, taken within this.
inline constexpr Millis kTicketReserve{ 500 };
inline constexpr Millis kAdviceTimeout{ 2000 };
inline constexpr Millis kAdviceRetry{ 200 };

// Failures in a row, of at least two jobs, after which a worker is suspected; a
// twentieth of all runs fails by itself.
inline constexpr int kFailureStreak = 3;
// A suspected worker takes nothing for this, then one task at a time.
inline constexpr Millis kSuspectRest{ 700 };
inline constexpr Millis kSuspectRestMax{ 4000 };
// A run without progress for this long is stuck; reports come within 2 s, and
// progress is told in hundredths.
inline constexpr Millis kStuckAfter{ 1600 };
// Runs at a lower pace say nothing about their worker.
inline constexpr int kWatchedPace = 90;
// Progress that is young or small is too rough to project from.
inline constexpr Millis kProgressAge{ 300 };
inline constexpr double kLeastProgress = 3.0;
// Runs of a step that one of them is compared with.
inline constexpr std::size_t kLeastComparisons = 2;
// So many times as long as elsewhere is slow; tasks of a step differ by 0.3.
inline constexpr double kSlowWorker = 2.2;
inline constexpr double kMostSlowness = 1000.0;
inline constexpr Millis kSlowRest{ 2500 };
// Stopping a task and starting it elsewhere, apart from its work.
inline constexpr Millis kMoveCost{ 700 };
inline constexpr int kMostMoves = 2;

// Workers of a cell. Room is shared within a cell only, so cells are as large
// as one owner can serve: 350 workers and 600 starts a second took 0.1 of a
// core. The same site in 7 cells of 50 was worth 0.53 instead of 0.68.
inline constexpr std::size_t kCellWorkers = 400;

// Instances write their own row, and read all rows, this often.
inline constexpr Millis kMemberBeat{ 2500 };
// Longer gaps between two readings do not count against anybody.
inline constexpr Millis kMemberReadGap{ 3000 };
// A member whose row did not change for so long is gone: two beats were missed.
inline constexpr Millis kMemberSilence{ 7000 };
// Instances that may own a cell: all but one of them may be lost at once.
inline constexpr std::size_t kCandidates = 4;
// An owner has at least this part of the mean share of a processor, and larger
// shares win by their third power: an owner that lags holds up a whole cell.
inline constexpr double kLeastOwnerShare = 0.8;
inline constexpr double kOwnerSharePower = 3.0;

// Most measured waits that are kept until they are asked for.
inline constexpr std::size_t kMaxSpans = 1000;

// The load is told this often.
inline constexpr Millis kLoadLines{ 1000 };

// A worker that refused or did not answer an order takes no new ones for this.
inline constexpr Millis kAvoidRefusing{ 300 };

} // namespace gooseberry::cells

#endif
