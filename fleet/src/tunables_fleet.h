#ifndef GOOSEBERRY_TUNABLES_FLEET_H
#define GOOSEBERRY_TUNABLES_FLEET_H

// Intervals and time limits for monitoring, taking over and owning a cell.

#include "types.h"

namespace gooseberry::fleet {

// Interval at which candidate owners read the owner's row, and the time after
// which an unchanged row means that the owner has failed.
inline constexpr Millis kOwnerPollInterval{ 400 };
inline constexpr Millis kOwnerTimeout{ 1500 };
// Extra delay before a takeover for each rank below the first, so that the
// candidates do not compete for the cell. A candidate ranks below all others
// for each cell that it owns already.
inline constexpr Millis kTakeoverRankDelay{ 150 };
// Candidates of this rank and behind look less often, at this interval: they
// are needed only if all those before them are lost or own another cell.
inline constexpr std::size_t kSecondaryOwnerRank = 4;
inline constexpr Millis kSecondaryPollInterval{ 1200 };
// An owner that has nothing to record writes a heartbeat at this interval.
inline constexpr Millis kHeartbeatInterval{ 500 };
// The same while the row lists a worker as silent that has answered again: its
// lease is not extended before the row was written without it.
inline constexpr Millis kSilentRowInterval{ 50 };
// Least interval at which an owner stores its learned estimates; they are part
// of a commit that it makes anyway. A pace limit holds for seconds, and the
// interference between a pair of images is stable for about 10 s.
inline constexpr Millis kLearnedStateInterval{ 1000 };
// Least interval at which an owner writes what it has learnt about images for
// the owners of other cells, in all and for each cell whose rows it follows. A
// row has about 8 KB, so that an owner reads 30 KB/s of them, whatever the
// number of cells.
inline constexpr Millis kMinSharedStateInterval{ 1000 };
inline constexpr Millis kSharedStateIntervalPerPeer{ 300 };
// Pairs that were not observed for longer are left out of it.
inline constexpr Millis kSharedPairMaxAge{ 10000 };
// Lease granted to workers. A longer lease survives longer network partitions
// and store outages; a shorter one frees the tasks of a lost worker sooner.
inline constexpr Millis kGrantedLease{ 5000 };
// The granted lease stays this far below the longest lease that workers accept,
// so that no worker shortens it.
inline constexpr Millis kLeaseMargin{ 200 };
// Longest time between two decision rounds.
inline constexpr Millis kMaxDecisionInterval{ 25 };
// Timeout of one call to the store.
inline constexpr Millis kStoreTimeout{ 1000 };
// A new owner gives the cell up if for this long no range of its rows could be
// read, and does not take it again for as long.
inline constexpr Millis kTakeoverReadLimit{ 15000 };
// Delay before a failed read is retried.
inline constexpr Millis kReadRetryDelay{ 150 };
// Pause between removing the rows of one ended job and the next. 20 jobs a
// second are ten times what 160,000 jobs a day need, and a tenth of the store's
// writes.
inline constexpr Millis kSweepInterval{ 50 };
// Delay before a failed removal is retried.
inline constexpr Millis kSweepRetryDelay{ 1000 };
// The same after the store rejected the removal of a job's rows.
inline constexpr Millis kSweepRejectedDelay{ 30000 };
// Withdrawals are kept at least this long: the store may carry a submission out
// seconds after its caller has given up, and callers repeat theirs as late.
inline constexpr Millis kMinWithdrawalAge{ 30000 };
// Interval at which one part of the withdrawals is read.
inline constexpr Millis kWithdrawalSweepInterval{ 5000 };
// How long the store may hold a feed call on the job tables open while it waits
// for a change.
inline constexpr Millis kJobFeedWait{ 1000 };

// The same on the table of delegations, and the pause between two calls: the
// first while this cell has delegations, the second while only loads arrive. A
// delegated task waits for the pause twice: at its host, and at home once it is
// done.
inline constexpr Millis kDelegationFeedWait{ 1000 };
inline constexpr Millis kDelegationFeedPause{ 25 };
inline constexpr Millis kLoadFeedPause{ 100 };

// A count of waiting jobs may be 2 s old. An owner writes its counts at the
// first interval; rows that were read are used for the second time.
inline constexpr Millis kMaxCountAge{ 2000 };
inline constexpr Millis kLoadInterval{ 1000 };
inline constexpr Millis kMaxLoadsReadAge{ 700 };
// Accepted jobs are visible everywhere after this time. An owner whose feed is
// older may not know some of them; one that was not confirmed for as long may
// have been replaced, and what it counts may have begun.
inline constexpr Millis kJobsKnownAfter{ 3000 };
// Interval at which an owner checks its cell's shares of the accounts' limits.
// A job waits for one check where the pool has enough, and for two more until
// other cells have returned something.
inline constexpr Millis kShareCheckInterval{ 1000 };
// How long the store may hold a feed call on the shares open, and the pause
// between two, in which several changes arrive together.
inline constexpr Millis kShareFeedWait{ 1000 };
inline constexpr Millis kShareFeedPause{ 250 };
// Delay until a transaction is decided again after another cell has changed the
// pool, up to twice this, and how often until the next check.
inline constexpr Millis kShareRetryDelay{ 100 };
inline constexpr int kMaxShareRetries = 5;
// A load that its owner has not renewed for longer says nothing about the cell:
// the owner may be lost.
inline constexpr Millis kMaxLoadAge{ 3000 };
// An instance counts the jobs of cells without an owner itself, from the store,
// at this interval at most, and so that all instances together use no more than
// this part of the reads that the store serves. Where that allows no count each
// kMaxCountAge, which is from some twelve instances on, none is made.
inline constexpr Millis kMinCountInterval{ 1000 };
inline constexpr double kCountReadsFraction = 0.1;
// Reads that such a count has in flight at a time.
inline constexpr std::size_t kMaxCountReads = 2;

} // namespace gooseberry::fleet

#endif
