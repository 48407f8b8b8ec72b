#ifndef GOOSEBERRY_TUNABLES_H
#define GOOSEBERRY_TUNABLES_H

// Time bounds and limits of the scheduling decisions. A settings file may
// override those that Settings names; the rest are fixed.

#include <cstddef>

#include "types.h"

namespace gooseberry {

// Length and renewal interval of an instance's lease on its membership row, and
// length of the lease that a shard's owner gives to a worker.
inline constexpr Millis kMemberLease{ 6000 };
inline constexpr Millis kMemberRenewInterval{ 2000 };
inline constexpr Millis kWorkerLease{ 6000 };

// Largest assumed difference in rate between two monotonic clocks, per mille.
inline constexpr std::int64_t kClockDriftPerMille = 10;

// A worker refuses a start command whose WorkerStamp is older than this.
inline constexpr Millis kStartWindow{ 2000 };

// An owner starts tasks only while the last read that confirmed its document is
// at most this old.
inline constexpr Millis kMaxDocumentAge{ 2000 };
inline constexpr Millis kDocumentPollInterval{ 500 };

// Poll intervals of instances that are notified of changes by their peers;
// polling then only covers notifications that were lost.
inline constexpr Millis kDocumentPollIntervalWithPeers{ 1000 };
inline constexpr Millis kInboxPollIntervalWithPeers{ 3000 };

// Interval of the exchanges with each worker. After a journal entry is recorded
// the next exchange with the workers that it concerns is due at once.
inline constexpr Millis kWorkerSyncInterval{ 1000 };
// How often an owner reads its shards' inboxes, unless its peers notify it.
inline constexpr Millis kInboxPollInterval{ 500 };

// How often an owner reads its shards' rows, to detect that another instance
// took a shard over.
inline constexpr Millis kOwnershipCheckInterval{ 5000 };

// Longest time that a staged start waits to be committed together with others.
// Starts of urgent tasks, watchers and services do not wait.
inline constexpr Millis kGroupCommitDelay{ 200 };
// Largest number of task changes in one journal entry.
inline constexpr std::size_t kMaxChangesPerCommit = 200;

// Journal entries between two snapshots of a shard.
inline constexpr std::uint64_t kEntriesPerSnapshot = 256;

// Delay before a waiting task is transferred to another shard: the second value
// if the workers of this shard have no free resources or the failure domain is
// being refilled, else the first. It doubles with each transfer, up to the
// maximum.
inline constexpr Millis kTransferDelayNoWorker{ 1000 };
inline constexpr Millis kTransferDelayNoResources{ 1500 };
inline constexpr Millis kTransferDelayMax{ 10000 };

// A task whose worker was lost is not transferred for this long, because only
// that worker's shard can receive a late report that the task finished.
inline constexpr Millis kUnconfirmedTransferDelay{ 60000 };

// Back-off before a failed task is started again, doubled with each failure up
// to the maximum. A batch task that failed kMaxTaskFailures times is parked.
inline constexpr Millis kRetryBackoffMin{ 500 };
inline constexpr Millis kRetryBackoffMax{ 60000 };
inline constexpr int kMaxTaskFailures = 8;

// A worker is quarantined when this many attempts in a row failed on it, of at
// least two classes, or twice as many of a single class. It then gets no new
// tasks for the period; one more failure after that quarantines it again.
inline constexpr int kQuarantineFailures = 4;
inline constexpr Millis kQuarantinePeriod{ 10000 };

// Largest number of evictions that one shard has under way at a time while it
// empties failure domains and workers.
inline constexpr std::size_t kMaxConcurrentEvictions = 16;
// Time over which a failure domain that is back in service is filled again.
inline constexpr Millis kDomainRefillPeriod{ 10000 };

// How long the record of a finished or cancelled task is kept, so that a late
// report or a repeated submission is recognized.
inline constexpr Millis kFinishedRetention{ 600000 };

// Extends a duration measured on another clock so that it has surely passed
// there once it has passed on this process's clock.
constexpr auto
AddDriftMargin(Millis aDuration) -> Millis
{
  return aDuration + aDuration * kClockDriftPerMille / 1000 + Millis{ 1 };
}

} // namespace gooseberry

#endif
