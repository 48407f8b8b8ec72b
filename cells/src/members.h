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

  auto operator==(const MemberRow&) const -> bool = default;
};

auto
EncodeMember(const MemberRow& aRow) -> std::string;

auto
DecodeMember(const std::string& aBytes, std::string& aReason)
  -> std::optional<MemberRow>;

class MemberTracker
{
public:
  // Replaces the tracked members by one complete read of the members' rows,
  // each with its version in the store.
  auto OnRowsRead(Time aNow,
                  const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows)
    -> void;
  // Members that are not leaving and whose row, at the last read, had changed
  // within kMemberTimeout. Longer gaps between reads count only up to
  // kMaxMemberReadInterval.
  auto Alive() const -> std::vector<MemberRow>;
  // Rank of the instance as owner of the cell, 0 for the preferred one; nullopt
  // if it is not among the first kOwnerCandidates. A member with a larger
  // processor share is more likely to rank first; members with less than
  // kMinOwnerShareFraction of the mean share come last.
  auto OwnerRank(const std::string& aInstance, const std::string& aCell) const
    -> std::optional<std::size_t>;

private:
  struct TrackedMember
  {
    MemberRow row;
    std::uint64_t version = 0;
    // When a read first returned this version; moved forward by the part of a
    // gap between reads that is not counted.
    Time changedAt{};
  };

  std::map<std::string, TrackedMember> trackedMembers;
  Time lastReadAt{};
};

} // namespace gooseberry::cells

#endif
