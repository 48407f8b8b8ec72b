#ifndef GOOSEBERRY_TUNABLES_FLEET_H
#define GOOSEBERRY_TUNABLES_FLEET_H

// Time bounds of watching, taking over and owning a cell.

#include "types.h"

namespace gooseberry::fleet {

// How often the owner's row is looked at, and how long it may stay unchanged.
inline constexpr Millis kWatchInterval{ 400 };
inline constexpr Millis kOwnerSilence{ 1500 };
// Instances step in one after the other, by their rank.
inline constexpr Millis kRankDelay{ 150 };
// An owner with nothing to record shows this often that it is alive.
inline constexpr Millis kBeatInterval{ 500 };
// An owner writes what it has learnt so often, with what it writes anyway: a
// pace is held for seconds, a pair of images stays as it is for some ten.
inline constexpr Millis kLearntInterval{ 1000 };
// Lease that workers are given: longer ones outlive longer cuts and outages,
// shorter ones free the tasks of a lost worker sooner.
inline constexpr Millis kLeaseGiven{ 5000 };
// Kept below the longest lease that workers accept, so that none is shortened.
inline constexpr Millis kLeaseReserve{ 200 };
// Longest rest between two rounds of decisions.
inline constexpr Millis kStepInterval{ 25 };
inline constexpr Millis kStoreTimeout{ 1000 };
// A read that failed is tried again after this.
inline constexpr Millis kReadRetry{ 150 };
// Rows of ended jobs are removed one job after the other: 20 a second are ten
// times as many as 160,000 jobs a day need, and a tenth of the store's writes.
inline constexpr Millis kSweepGap{ 50 };
inline constexpr Millis kSweepRetry{ 1000 };
inline constexpr Millis kJobPatience{ 1000 };

} // namespace gooseberry::fleet

#endif
