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
                                                leaving,
                                                heartbeatMs)

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
  constexpr std::int64_t kMostHeartbeatMs = 3'600'000;
  auto row = DecodeJson<MemberRow>(aBytes, aReason);
  if (row && (row->heartbeatMs < 0 || row->heartbeatMs > kMostHeartbeatMs)) {
    aReason = "heartbeatMs is " + std::to_string(row->heartbeatMs) +
              ", expected 0 to " + std::to_string(kMostHeartbeatMs);
    return std::nullopt;
  }
  return row;
}

auto
PlanMemberIntervals(std::size_t aLiveMembers,
                    double aWritesPerSecond,
                    double aReadsPerSecond,
                    bool aIsFar) -> MemberIntervals
{
  const auto shared = [aLiveMembers](double aPerSecond) {
    return std::max(
      kMemberHeartbeatInterval,
      std::chrono::duration_cast<Millis>(std::chrono::duration<double>(
        static_cast<double>(aLiveMembers) / aPerSecond)));
  };
  auto intervals = MemberIntervals{};
  intervals.heartbeat = shared(std::max(
    kMinMemberWritesPerSecond, aWritesPerSecond * kMemberWritesFraction));
  intervals.otherRead = shared(
    std::max(kMinFleetReadsPerSecond, aReadsPerSecond * kFleetReadsFraction));
  intervals.membersRead = intervals.otherRead;
  if (aIsFar) {
    intervals.heartbeat *= kFarHeartbeatFactor;
    intervals.membersRead *= kFarMembersReadFactor;
  }
  return intervals;
}

auto
MemberTracker::OnRowsRead(
  Time aNow,
  const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows,
  Millis aInterval) -> void
{
  // While the store could not be read, no member's heartbeat could be seen.
  const auto sinceLastRead =
    this->lastReadAt == Time{} ? Micros{ 0 } : aNow - this->lastReadAt;
  const auto counted = Micros{ aInterval + kMemberReadSlack };
  if (sinceLastRead > counted) {
    for (auto& [name, member] : this->trackedMembers) {
      member.changedAt += sinceLastRead - counted;
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
  auto totalShare = 0.0;
  auto alive = std::size_t{ 0 };
  for (const auto& [name, member] : this->trackedMembers) {
    if (this->IsAlive(member)) {
      totalShare += member.row.processorShare;
      ++alive;
    }
  }
  this->preferredShare = totalShare /
                         std::max(1.0, static_cast<double>(alive)) *
                         kMinOwnerShareFraction;
}

auto
MemberTracker::IsAlive(const TrackedMember& aMember) const -> bool
{
  const auto timeout =
    std::max(kMemberTimeout,
             2 * Millis{ aMember.row.heartbeatMs } + kMemberTimeoutMargin);
  return !aMember.row.leaving &&
         this->lastReadAt <= aMember.changedAt + timeout;
}

auto
MemberTracker::Alive() const -> std::vector<MemberRow>
{
  auto alive = std::vector<MemberRow>{};
  for (const auto& [name, member] : this->trackedMembers) {
    if (this->IsAlive(member)) {
      alive.push_back(member.row);
    }
  }
  return alive;
}

auto
MemberTracker::Abandoned(Millis aUnchangedFor) const
  -> std::vector<std::pair<std::string, std::uint64_t>>
{
  auto abandoned = std::vector<std::pair<std::string, std::uint64_t>>{};
  for (const auto& [name, member] : this->trackedMembers) {
    if (this->lastReadAt > member.changedAt + aUnchangedFor) {
      abandoned.emplace_back(name, member.version);
    }
  }
  return abandoned;
}

auto
MemberTracker::RankOf(const std::string& aInstance,
                      const std::string& aCell) const
  -> std::optional<std::size_t>
{
  const auto own = this->trackedMembers.find(aInstance);
  if (own == this->trackedMembers.end() || !this->IsAlive(own->second)) {
    return std::nullopt;
  }
  const auto preference = [&](const MemberRow& aMember) {
    return std::pair{ aMember.processorShare >= this->preferredShare,
                      RendezvousScore(aMember, aCell) };
  };
  const auto ownPreference = preference(own->second.row);
  return std::count_if(this->trackedMembers.begin(),
                       this->trackedMembers.end(),
                       [&](const auto& aItem) {
                         return this->IsAlive(aItem.second) &&
                                preference(aItem.second.row) > ownPreference;
                       });
}

auto
MemberTracker::OwnerRank(const std::string& aInstance,
                         const std::string& aCell) const
  -> std::optional<std::size_t>
{
  const auto rank = this->RankOf(aInstance, aCell);
  return rank && *rank < kOwnerCandidates ? rank : std::nullopt;
}

auto
MemberTracker::IsFar(const std::string& aInstance,
                     const std::vector<std::string>& aCells) const -> bool
{
  return !aCells.empty() &&
         std::all_of(aCells.begin(), aCells.end(), [&](const auto& aCell) {
           const auto rank = this->RankOf(aInstance, aCell);
           return rank && *rank >= kFarOwnerRank;
         });
}

} // namespace gooseberry::cells
