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

// Stretches a duration on a worker's clock to one that surely covers it on ours.
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

// After a call without an answer the next one waits for this.
inline constexpr Millis kRenewRetry{ 250 };

// Starts wait this long for company in one transaction; a transaction takes
// about 10 ms, and parts take 150 a second.
inline constexpr Millis kCommitGap{ 12 };

// Ends that nothing waits for are recorded after this.
inline constexpr Millis kLazyCommit{ 120 };

// A store that refuses is tried again after this.
inline constexpr Millis kCommitRetry{ 100 };

// Most records in one transaction; the wire takes 100 entries.
inline constexpr std::size_t kMaxRecordsPerCommit = 90;

// Back-off of a task that failed, doubled with each failure.
inline constexpr Millis kFailureBackoff{ 20 };
inline constexpr Millis kFailureBackoffMax{ 2000 };

// Part of their reserved processors that lasting tasks are expected to use.
inline constexpr double kLastingUse = 0.5;

// Tails are judged as parts of their target. Alone, lasting tasks are at 0.3 to
// 0.6 of it over their load's wave (measured on quiet days of both sites).
inline constexpr double kCalmTail = 0.6;
// What a tail counts for at most, so that one report does not decide.
inline constexpr double kMostDisturbance = 1.5;
// A tail beyond this part of its target asks for relief.
inline constexpr double kSufferingTail = 0.95;
// A pair of images that were not seen together yet, and for how many reports
// this guess counts.
inline constexpr double kUnknownDisturbance = 0.12;
inline constexpr double kUnknownWeight = 1.0;
// Most reports that an estimate stands for, and after which time it stands for
// half as many: pairs were seen to change some 20 s into a day.
inline constexpr double kMostReportWeight = 12.0;
inline constexpr Millis kReportHalfLife{ 10000 };
// Part of the difference by which an estimate rises at least.
inline constexpr double kRiseRate = 0.5;
// The reported tail is smoothed: with each of these spans it halves its
// distance to the true one (measured after the ends of neighbours).
inline constexpr Millis kTailHalfLife{ 250 };
// Reports closer together than this say nothing about the time between.
inline constexpr Millis kTailSpan{ 200 };
// Neighbours with a smaller share teach nothing.
inline constexpr double kLeastShare = 0.3;
// Disturbance beyond which two images are kept apart. Pairs were seen either
// below 0.1 or above 0.3.
inline constexpr double kHeavyDisturbance = 0.22;
// Known disturbance below which a neighbour is not suspected at once.
inline constexpr double kSuspicion = 0.08;
// A tail may be beyond its target for 4 s; then everything beside it rests.
inline constexpr Millis kReliefUrgent{ 1200 };
// All tails below this part of their target: paces may be raised.
inline constexpr double kReliefCalmTail = 0.8;
// Pace of what disturbs its neighbours and has no better place, in percent.
inline constexpr int kHeavyPace = 40;
// After a change of pace its effect is awaited.
inline constexpr Millis kReliefPause{ 500 };
// So long must all tails be calm before a pace is raised.
inline constexpr Millis kReliefCalm{ 1200 };

// A worker that refused or did not answer an order takes no new ones for this.
inline constexpr Millis kAvoidRefusing{ 300 };

} // namespace gooseberry::cells

#endif
