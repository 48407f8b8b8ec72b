#include "members.h"

#include <algorithm>
#include <cmath>

#include "jsontext.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberRow,
                                                instance,
                                                address,
                                                processorShare,
                                                beat,
                                                leaving)

namespace {

// Weighted rendezvous hashing: each member has a fixed score for each cell,
// derived from a hash. The expected number of cells for which a member has
// the highest score is in proportion to share^kOwnerShareExponent, and the
// cells of a member that leaves are spread over the others in the same
// proportion.
auto
RendezvousScore(const MemberRow& aMember, const std::string& aCell) -> double
{
  constexpr double kHashRange = 18446744073709551616.0; // 2^64
  const auto hash = StableHash(aMember.instance + " " + aCell);
  const auto uniform = (static_cast<double>(hash) + 0.5) / kHashRange;
  return std::pow(aMember.processorShare, kOwnerShareExponent) /
         -std::log(uniform);
}

} // namespace

auto
EncodeMember(const MemberRow& aRow) -> std::string
{
  return nlohmann::json(aRow).dump();
}

auto
DecodeMember(const std::string& aBytes, std::string& aReason)
  -> std::optional<MemberRow>
{
  return DecodeJson<MemberRow>(aBytes, aReason);
}

auto
MemberTracker::OnRowsRead(
  Time aNow,
  const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows) -> void
{
  // While the store could not be read, no member's heartbeat could be seen.
  // Only kMaxMemberReadInterval of such a gap counts.
  const auto sinceLastRead =
    this->lastReadAt == Time{} ? Micros{ 0 } : aNow - this->lastReadAt;
  if (sinceLastRead > kMaxMemberReadInterval) {
    for (auto& [name, member] : this->trackedMembers) {
      member.changedAt += sinceLastRead - kMaxMemberReadInterval;
    }
  }
  this->lastReadAt = aNow;
  auto updated = std::map<std::string, TrackedMember>{};
  for (const auto& [row, version] : aRows) {
    const auto previous = this->trackedMembers.find(row.instance);
    const auto changed = previous == this->trackedMembers.end() ||
                         previous->second.version != version;
    updated[row.instance] = { row,
                              version,
                              changed ? aNow : previous->second.changedAt };
  }
  this->trackedMembers = std::move(updated);
}

auto
MemberTracker::Alive() const -> std::vector<MemberRow>
{
  auto alive = std::vector<MemberRow>{};
  for (const auto& [name, member] : this->trackedMembers) {
    if (!member.row.leaving &&
        this->lastReadAt <= member.changedAt + kMemberTimeout) {
      alive.push_back(member.row);
    }
  }
  return alive;
}

auto
MemberTracker::OwnerRank(const std::string& aInstance,
                         const std::string& aCell) const
  -> std::optional<std::size_t>
{
  auto members = this->Alive();
  auto totalShare = 0.0;
  for (const auto& member : members) {
    totalShare += member.processorShare;
  }
  const auto preferredShare =
    totalShare / std::max(1.0, static_cast<double>(members.size())) *
    kMinOwnerShareFraction;
  std::stable_sort(members.begin(),
                   members.end(),
                   [&](const MemberRow& aLeft, const MemberRow& aRight) {
                     const auto preference = [&](const MemberRow& aMember) {
                       return std::pair{ aMember.processorShare >=
                                           preferredShare,
                                         RendezvousScore(aMember, aCell) };
                     };
                     return preference(aLeft) > preference(aRight);
                   });
  const auto found =
    std::find_if(members.begin(), members.end(), [&](const MemberRow& aMember) {
      return aMember.instance == aInstance;
    });
  const auto rank = static_cast<std::size_t>(found - members.begin());
  return found == members.end() || rank >= kOwnerCandidates
           ? std::nullopt
           : std::optional{ rank };
}

} // namespace gooseberry::cells
