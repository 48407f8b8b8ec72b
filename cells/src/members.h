#ifndef GOOSEBERRY_MEMBERS_H
#define GOOSEBERRY_MEMBERS_H

// Tracks which instances are alive, by the row that each one writes, and which
// of them may own a cell. Pure decisions, no I/O; ages are measured on the
// local steady clock.

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
  // Incremented with each write.
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
  // Takes a complete read of the members' rows, each with its version in the
  // store.
  auto OnRowsRead(Time aNow,
                  const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows)
    -> void;
  // Members that are not leaving and whose row changed within the time-out,
  // measured over successful reads.
  auto Alive() const -> std::vector<MemberRow>;
  // Rank of the instance among the candidates for owning the cell, 0 for the
  // preferred one; nothing if it is no candidate. Larger processor shares are
  // preferred; members with a much lower share than the mean come last.
  auto OwnerRank(const std::string& aInstance, const std::string& aCell) const
    -> std::optional<std::size_t>;

private:
  struct TrackedMember
  {
    MemberRow row;
    std::uint64_t version = 0;
    Time changedAt{};
  };

  std::map<std::string, TrackedMember> trackedMembers;
  Time lastReadAt{};
};

} // namespace gooseberry::cells

#endif
