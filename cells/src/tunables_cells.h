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

// A worker that refused or did not answer an order takes no new ones for this.
inline constexpr Millis kAvoidRefusing{ 300 };

} // namespace gooseberry::cells

#endif
