#ifndef GOOSEBERRY_MEMBERSHIP_H
#define GOOSEBERRY_MEMBERSHIP_H

// Which instances hold a lease, judged from their rows in the table service
// and this process's own clock alone.

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace gooseberry {

// One instance's row. The counter grows with each renewal.
struct MemberRow
{
  InstanceId id;
  std::string peerAddress;
  DomainId domain;
  std::uint64_t counter = 0;
  bool leaving = false;

  auto operator==(const MemberRow&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberRow,
                                   id,
                                   peerAddress,
                                   domain,
                                   counter,
                                   leaving)

class Membership
{
public:
  // Rows as read; aNow is taken after the reply arrived.
  auto OnRows(Time aNow, const std::vector<MemberRow>& aRows) -> void;
  // Members whose lease may still hold, in order of name.
  auto Live(Time aNow) const -> std::vector<MemberRow>;
  // Whether no lease of this instance can hold any more: its row is gone, or
  // it stayed unchanged for longer than a lease on any allowed clock.
  auto Lapsed(const InstanceId& aId, Time aNow) const -> bool;
  auto Known() const -> bool;

private:
  struct Seen
  {
    MemberRow row;
    Time changedAt;
  };

  std::map<InstanceId, Seen> members;
  bool known = false;
};

// This instance's own lease, counted from when each renewal was sent.
class OwnLease
{
public:
  auto OnRenewed(Time aSentAt) -> void;
  auto OnLost() -> void;
  auto End() const -> Time;
  auto Holds(Time aNow) const -> bool;

private:
  Time end{};
};

// The owner of each shard, by rendezvous hashing with bounded load: no member
// gets more than its even share, rounded up.
auto
AssignShards(ShardNumber aShardCount, const std::vector<MemberRow>& aMembers)
  -> std::vector<InstanceId>;

} // namespace gooseberry

#endif
