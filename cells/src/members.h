#ifndef GOOSEBERRY_MEMBERS_H
#define GOOSEBERRY_MEMBERS_H

// Tracks which instances are alive, by the row that each one writes, and which
// of them may own a cell. Pure decisions, no I/O. How long a row has been
// unchanged is measured on the local steady clock.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tableport.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

struct MemberRow
{
  std::string instance;
  std::string address;
  // Processors that the instance may use; 1.0 is one full processor.
  double processorShare = 1.0;
  // Heartbeat counter: incremented with each write, so that each write changes
  // the row.
  std::uint64_t beat = 0;
  // The instance is shutting down and takes over nothing.
  bool leaving = false;
  // Time until the next write of the row.
  std::int64_t heartbeatMs = kMemberHeartbeatInterval.count();

  auto operator==(const MemberRow&) const -> bool = default;
};

auto
EncodeMember(const MemberRow& aRow) -> std::string;

auto
DecodeMember(const std::string& aBytes, std::string& aReason)
  -> std::optional<MemberRow>;

// Intervals at which an instance writes its own row, reads the members' rows
// and reads the rest of the fleet's table.
struct MemberIntervals
{
  Millis heartbeat{ kMemberHeartbeatInterval };
  Millis membersRead{ kMemberHeartbeatInterval };
  Millis otherRead{ kMemberHeartbeatInterval };

  auto operator==(const MemberIntervals&) const -> bool = default;
};

// The intervals for a fleet of this many live members. They are longer the more
// there are, so that all together make at most these calls a second, and longer
// still for an instance that is far from owning a cell.
auto
PlanMemberIntervals(std::size_t aLiveMembers,
                    double aWritesPerSecond,
                    double aReadsPerSecond,
                    bool aIsFar) -> MemberIntervals;

class MemberTracker
{
public:
  // Replaces the tracked members by one complete read of the members' rows,
  // each with its version in the store. aInterval: the intended time since the
  // last read; what exceeds it by more than kMemberReadSlack is not counted as
  // silence of any member.
  auto OnRowsRead(Time aNow,
                  const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows,
                  Millis aInterval = kMemberHeartbeatInterval) -> void;
  // Members that are not leaving and have not missed two heartbeats in a row,
  // as of the last read.
  auto Alive() const -> std::vector<MemberRow>;
  // Rows that had not changed for this long at the last read, with their
  // versions.
  auto Abandoned(Millis aUnchangedFor) const
    -> std::vector<std::pair<std::string, std::uint64_t>>;
  // Rank of the instance as owner of the cell, 0 for the preferred one; nullopt
  // if it is not among the first kOwnerCandidates. A member with a larger
  // processor share is more likely to rank first; members with less than
  // kMinOwnerShareFraction of the mean share come last.
  auto OwnerRank(const std::string& aInstance, const std::string& aCell) const
    -> std::optional<std::size_t>;
  // Whether so many members rank before the instance for each of the cells that
  // it needs to know the others only roughly.
  auto IsFar(const std::string& aInstance,
             const std::vector<std::string>& aCells) const -> bool;

private:
  struct TrackedMember
  {
    MemberRow row;
    std::uint64_t version = 0;
    // When a read first returned this version; moved forward by the part of a
    // gap between reads that is not counted.
    Time changedAt{};
  };

  auto IsAlive(const TrackedMember& aMember) const -> bool;
  // The number of live members that rank before the instance; nullopt if it is
  // not alive itself.
  auto RankOf(const std::string& aInstance, const std::string& aCell) const
    -> std::optional<std::size_t>;

  std::map<std::string, TrackedMember> trackedMembers;
  // The processor share from which live members rank before all others.
  double preferredShare = 0.0;
  Time lastReadAt{};
};

} // namespace gooseberry::cells

#endif
