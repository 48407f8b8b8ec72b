#ifndef GOOSEBERRY_TUNABLES_H
#define GOOSEBERRY_TUNABLES_H

// Every time bound and limit of the decisions, in one place. A settings file
// may override those that Settings names; the rest are fixed.

#include <cstddef>

#include "types.h"

namespace gooseberry {

// Lease of an instance on its membership row, and of a worker with its owner.
inline constexpr Millis kMemberLease{ 6000 };
inline constexpr Millis kMemberRenewInterval{ 2000 };
inline constexpr Millis kWorkerLease{ 6000 };

// Largest difference in rate between two monotonic clocks, in parts of 1,000.
inline constexpr std::int64_t kClockDriftPerMille = 10;

// A worker refuses a start whose stamp is older than this.
inline constexpr Millis kStartWindow{ 2000 };

// Starts need a document that was read from the store at most this long ago.
inline constexpr Millis kDocumentFreshness{ 2000 };
inline constexpr Millis kDocumentPollInterval{ 500 };

// The same for instances that get hints of what is new from others; polling
// then only covers hints that were lost.
inline constexpr Millis kLinkedDocumentPollInterval{ 1000 };
inline constexpr Millis kLinkedInboxInterval{ 3000 };

// Exchanges with a worker; what was just recorded goes out at once.
inline constexpr Millis kSyncInterval{ 1000 };
inline constexpr Millis kInboxInterval{ 500 };

// How often an owner reads its shards' rows, to learn that another took over.
inline constexpr Millis kVerifyInterval{ 5000 };

// Starts wait this long for company in one transaction; urgent ones do not.
inline constexpr Millis kGroupCommitDelay{ 200 };
inline constexpr std::size_t kMaxChangesPerCommit = 200;

// Journal rows between two snapshots of a shard.
inline constexpr std::uint64_t kSnapshotEvery = 256;

// A waiting task goes to another shard after this long: at once where no worker
// could take it, else after a rest that doubles with each move.
inline constexpr Millis kTransferAtOnce{ 1000 };
inline constexpr Millis kTransferAfter{ 1500 };
inline constexpr Millis kTransferRestMax{ 10000 };

// A task whose worker was lost stays in that worker's shard for so long, where
// a late report of its finish is heard.
inline constexpr Millis kUnconfirmedStay{ 60000 };

// Back-off of a task that failed, doubled with each failure up to the maximum.
inline constexpr Millis kRetryBackoffMin{ 500 };
inline constexpr Millis kRetryBackoffMax{ 60000 };
inline constexpr int kMaxTaskFailures = 8;

// A worker that fails this many starts in a row, of at least two classes,
// takes no work but one probe per interval.
inline constexpr int kQuarantineFailures = 4;
inline constexpr Millis kQuarantineProbe{ 10000 };

// Evictions of one shard per second while a failure domain is emptied.
inline constexpr std::size_t kMaxEvictionsPerTick = 16;
// Seconds over which a failure domain that came back is refilled.
inline constexpr Millis kRefillRamp{ 10000 };

// How much longer a task keeps its finish record, so that a late report or a
// repeated submission is recognized.
inline constexpr Millis kFinishedRetention{ 600000 };

// Stretches a duration on another clock to one that surely covers it on ours.
constexpr auto
WithDrift(Millis aDuration) -> Millis
{
  return aDuration + aDuration * kClockDriftPerMille / 1000 + Millis{ 1 };
}

} // namespace gooseberry

#endif
