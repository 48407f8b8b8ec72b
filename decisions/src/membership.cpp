#include "membership.h"

#include <algorithm>
#include <set>

#include "tunables.h"

namespace gooseberry {

auto
Membership::OnRows(Time aNow, const std::vector<MemberRow>& aRows) -> void
{
  this->hasRows = true;
  auto present = std::set<InstanceId>{};
  for (const auto& row : aRows) {
    present.insert(row.id);
    auto [item, fresh] =
      this->members.try_emplace(row.id, ObservedRow{ row, aNow });
    if (!fresh && item->second.row.counter != row.counter) {
      item->second = ObservedRow{ row, aNow };
    }
  }
  std::erase_if(this->members, [&](const auto& aItem) {
    return !present.contains(aItem.first);
  });
}

auto
Membership::Live(Time aNow) const -> std::vector<MemberRow>
{
  auto live = std::vector<MemberRow>{};
  for (const auto& [id, seen] : this->members) {
    if (!this->Lapsed(id, aNow)) {
      live.push_back(seen.row);
    }
  }
  return live;
}

auto
Membership::Lapsed(const InstanceId& aId, Time aNow) const -> bool
{
  const auto found = this->members.find(aId);
  if (found == this->members.end()) {
    return this->hasRows;
  }
  return aNow - found->second.changedAt > AddDriftMargin(kMemberLease);
}

auto
Membership::LapsedCounter(const InstanceId& aId, Time aNow) const
  -> std::optional<std::uint64_t>
{
  const auto found = this->members.find(aId);
  if (found == this->members.end() || !this->Lapsed(aId, aNow)) {
    return std::nullopt;
  }
  return found->second.row.counter;
}

auto
Membership::RemovableMembers(Time aNow) const -> std::vector<MemberRow>
{
  constexpr int kLeasesBeforeRemoval = 5;
  auto rows = std::vector<MemberRow>{};
  for (const auto& [id, seen] : this->members) {
    if (aNow - seen.changedAt >
        AddDriftMargin(kMemberLease) * kLeasesBeforeRemoval) {
      rows.push_back(seen.row);
    }
  }
  return rows;
}

auto
Membership::HasRows() const -> bool
{
  return this->hasRows;
}

auto
InstanceLease::OnRenewed(Time aSentAt, Time aNow) -> void
{
  // The reply came after the old end: other instances may have taken shards
  // over in between.
  this->term += aNow >= this->end ? 1 : 0;
  this->end = std::max(this->end, aSentAt + kMemberLease);
}

auto
InstanceLease::OnLost() -> void
{
  this->end = {};
}

auto
InstanceLease::End() const -> Time
{
  return this->end;
}

auto
InstanceLease::Term() const -> std::uint64_t
{
  return this->term;
}

auto
InstanceLease::IsValid(Time aNow) const -> bool
{
  return aNow < this->end;
}

auto
AssignShards(ShardNumber aShardCount, const std::vector<MemberRow>& aMembers)
  -> std::vector<InstanceId>
{
  auto owners = std::vector<InstanceId>(aShardCount);
  auto candidates = std::vector<InstanceId>{};
  for (const auto& member : aMembers) {
    if (!member.leaving) {
      candidates.push_back(member.id);
    }
  }
  if (candidates.empty()) {
    return owners;
  }
  const auto maxShards =
    (aShardCount + candidates.size() - 1) / candidates.size();
  auto load = std::map<InstanceId, std::size_t>{};
  for (auto shard = ShardNumber{ 0 }; shard < aShardCount; ++shard) {
    auto bestWeight = std::uint64_t{ 0 };
    for (const auto& id : candidates) {
      const auto weight = StableHash(id.text, shard);
      const auto belowLimit = load[id] < maxShards;
      if (belowLimit && (owners[shard].Empty() || weight > bestWeight)) {
        owners[shard] = id;
        bestWeight = weight;
      }
    }
    ++load[owners[shard]];
  }
  return owners;
}

} // namespace gooseberry
