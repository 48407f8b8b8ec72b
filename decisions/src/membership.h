#ifndef GOOSEBERRY_MEMBERSHIP_H
#define GOOSEBERRY_MEMBERSHIP_H

// Tracks which instances hold a lease. Depends only on their rows in the table
// service and on this process's clock.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "types.h"

namespace gooseberry {

// Row of one instance in the table service. The counter grows with each
// renewal.
struct MemberRow
{
  InstanceId id;
  std::string adminAddress;
  // Address for notifications from other instances; empty if it takes none.
  std::string peerAddress;
  DomainId domain;
  std::uint64_t counter = 0;
  // Number of the document that the instance has in force.
  std::uint64_t document = 0;
  bool leaving = false;

  auto operator==(const MemberRow&) const -> bool = default;
};

// Missing keys have their defaults, because the row may be of an older version.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberRow,
                                                id,
                                                adminAddress,
                                                peerAddress,
                                                domain,
                                                counter,
                                                document,
                                                leaving)

class Membership
{
public:
  // All rows as read from the table service. aNow: when the reply arrived.
  auto OnRows(Time aNow, const std::vector<MemberRow>& aRows) -> void;
  // Members whose lease may still be valid, in order of name.
  auto Live(Time aNow) const -> std::vector<MemberRow>;
  // Whether the instance certainly holds no lease any more: its row is gone, or
  // was unchanged for longer than a lease, with a margin for clock drift. False
  // before any rows were read.
  auto Lapsed(const InstanceId& aId, Time aNow) const -> bool;
  // The counter in the row of a lapsed member; nothing if it has not lapsed or
  // has no row. A takeover depends on the row's still having this counter.
  auto LapsedCounter(const InstanceId& aId, Time aNow) const
    -> std::optional<std::uint64_t>;
  // Rows of members that lapsed so long ago that the rows may be removed.
  auto RemovableMembers(Time aNow) const -> std::vector<MemberRow>;
  // Whether rows were read at least once.
  auto HasRows() const -> bool;

private:
  // A row, and when its counter was first observed.
  struct ObservedRow
  {
    MemberRow row;
    Time changedAt;
  };

  std::map<InstanceId, ObservedRow> members;
  bool hasRows = false;
};

// This instance's own lease. It runs from the time at which the last successful
// renewal was sent.
class InstanceLease
{
public:
  // aSentAt: when the request was sent; aNow: when the reply arrived.
  auto OnRenewed(Time aSentAt, Time aNow) -> void;
  // Other instances removed this one's membership: the lease ends at once.
  auto OnLost() -> void;
  auto End() const -> Time;
  // Grows each time the lease is acquired anew after it had lapsed. Shards
  // owned in an older term may have other owners now, so ownership has to be
  // verified.
  auto Term() const -> std::uint64_t;
  auto IsValid(Time aNow) const -> bool;

private:
  Time end{};
  std::uint64_t term = 0;
};

// The owner of each shard by rendezvous hashing with bounded load: no member
// gets more than its even share, rounded up. Members that leave get none;
// without any other member, the owners are empty.
auto
AssignShards(ShardNumber aShardCount, const std::vector<MemberRow>& aMembers)
  -> std::vector<InstanceId>;

} // namespace gooseberry

#endif
