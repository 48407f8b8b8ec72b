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

// Weighted rendezvous: each member draws for each cell, larger shares win more
// often, and what one leaves goes to the others in proportion.
auto
Draw(const MemberRow& aMember, const std::string& aCell) -> double
{
  constexpr double kSpan = 18446744073709551616.0; // 2^64
  const auto hash = StableHash(aMember.instance + " " + aCell);
  const auto uniform = (static_cast<double>(hash) + 0.5) / kSpan;
  return std::pow(aMember.processorShare, kOwnerSharePower) /
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
Members::OnRead(Time aNow,
                const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows)
  -> void
{
  // While the store could not be read nobody could be seen alive.
  const auto gap = this->readAt == Time{} ? Micros{ 0 } : aNow - this->readAt;
  if (gap > kMemberReadGap) {
    for (auto& [name, member] : this->seen) {
      member.changedAt += gap - kMemberReadGap;
    }
  }
  this->readAt = aNow;
  auto next = std::map<std::string, Seen>{};
  for (const auto& [row, version] : aRows) {
    const auto before = this->seen.find(row.instance);
    const auto changed =
      before == this->seen.end() || before->second.version != version;
    next[row.instance] = { row,
                           version,
                           changed ? aNow : before->second.changedAt };
  }
  this->seen = std::move(next);
}

auto
Members::Alive() const -> std::vector<MemberRow>
{
  auto alive = std::vector<MemberRow>{};
  for (const auto& [name, member] : this->seen) {
    if (!member.row.leaving &&
        this->readAt <= member.changedAt + kMemberSilence) {
      alive.push_back(member.row);
    }
  }
  return alive;
}

auto
Members::RankOf(const std::string& aInstance, const std::string& aCell) const
  -> std::optional<std::size_t>
{
  auto able = this->Alive();
  auto whole = 0.0;
  for (const auto& member : able) {
    whole += member.processorShare;
  }
  const auto least =
    whole / std::max(1.0, static_cast<double>(able.size())) * kLeastOwnerShare;
  std::stable_sort(able.begin(),
                   able.end(),
                   [&](const MemberRow& aLeft, const MemberRow& aRight) {
                     const auto draw = [&](const MemberRow& aMember) {
                       return std::pair{ aMember.processorShare >= least,
                                         Draw(aMember, aCell) };
                     };
                     return draw(aLeft) > draw(aRight);
                   });
  const auto found =
    std::find_if(able.begin(), able.end(), [&](const MemberRow& aMember) {
      return aMember.instance == aInstance;
    });
  const auto rank = static_cast<std::size_t>(found - able.begin());
  return found == able.end() || rank >= kCandidates ? std::nullopt
                                                    : std::optional{ rank };
}

} // namespace gooseberry::cells
