#ifndef GOOSEBERRY_MEMBERSHIP_H
#define GOOSEBERRY_MEMBERSHIP_H

// Which instances hold a lease, judged from their rows in the table service
// and this process's own clock alone.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace gooseberry {

// One instance's row. The counter grows with each renewal.
struct MemberRow
{
  InstanceId id;
  std::string adminAddress;
  // Empty if it takes no hints.
  std::string peerAddress;
  DomainId domain;
  std::uint64_t counter = 0;
  // The document's number that it has in force.
  std::uint64_t document = 0;
  bool leaving = false;

  auto operator==(const MemberRow&) const -> bool = default;
};

// Keys that a row lacks have their defaults: it may be of an older version.
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
  // Rows as read; aNow is taken after the reply arrived.
  auto OnRows(Time aNow, const std::vector<MemberRow>& aRows) -> void;
  // Members whose lease may still hold, in order of name.
  auto Live(Time aNow) const -> std::vector<MemberRow>;
  // Whether its row is gone, or stayed unchanged for longer than a lease on
  // any allowed clock.
  auto Lapsed(const InstanceId& aId, Time aNow) const -> bool;
  // The counter that stayed unchanged for longer than a lease, if it did.
  auto LapsedCounter(const InstanceId& aId, Time aNow) const
    -> std::optional<std::uint64_t>;
  // Lapsed members whose rows nobody needs any more, with their counters.
  auto LongLapsed(Time aNow) const -> std::vector<MemberRow>;
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
  // aNow: when the reply arrived.
  auto OnRenewed(Time aSentAt, Time aNow) -> void;
  auto OnLost() -> void;
  auto End() const -> Time;
  // Grows each time the lease is gained again after it had lapsed. What was
  // held under an older term may belong to others and has to be verified.
  auto Term() const -> std::uint64_t;
  auto Holds(Time aNow) const -> bool;

private:
  Time end{};
  std::uint64_t term = 0;
};

// The owner of each shard, by rendezvous hashing with bounded load: no member
// gets more than its even share, rounded up.
auto
AssignShards(ShardNumber aShardCount, const std::vector<MemberRow>& aMembers)
  -> std::vector<InstanceId>;

} // namespace gooseberry

#endif
