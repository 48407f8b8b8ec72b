// Turns of cells whose tasks wait although others use more than they are
// entitled to; see accountshares.h.

#include <algorithm>

#include "accountsharevalues.h"

namespace gooseberry::cells {

namespace {

// The same while some run but none starts, for each even part that they use:
// a cell that uses more than others waits longer.
constexpr std::uint32_t kStalledAfterChecks = 5;
// A cell that leaves what it needs in the pool for so many checks has no owner,
// or one that can't reach the store: others have their turns before it.
constexpr std::uint32_t kUnusedTurnChecks = 10;

// Numbers of the previous version go first, in the order of the names.
auto
PlaceOf(std::uint64_t aTurn) -> std::uint64_t
{
  return aTurn < kFirstTurn ? 0 : aTurn;
}

} // namespace

auto
AccountShares::IsInLayout(const std::string& aCell) const -> bool
{
  return std::find(this->cells.begin(), this->cells.end(), aCell) !=
         this->cells.end();
}

auto
AccountShares::UpdateOwnTurn(const AccountId& aAccount,
                             const AccountDemand& aDemand,
                             const Resources& aLimit,
                             CellShare& aShare) -> void
{
  const auto [found, added] =
    this->waits.try_emplace(aAccount, Wait{ aDemand.plannedRuns });
  auto& wait = found->second;
  auto waits = aDemand.next != Resources{};
  auto patience = kStarvedAfterChecks;
  const auto cellCount = static_cast<Amount>(this->cells.size());
  for (const auto member : kMembers) {
    const auto limit = aLimit.*member;
    const auto use = aDemand.use.*member;
    if (limit == 0) {
      continue;
    }
    waits = waits && aDemand.next.*member <= limit;
    if (use > 0) {
      const auto fair = (limit + cellCount - 1) / cellCount;
      const auto parts = std::min(use / fair, cellCount);
      patience = std::max(
        patience, kStalledAfterChecks * static_cast<std::uint32_t>(1 + parts));
    }
  }
  if (!waits || wait.plannedRuns != aDemand.plannedRuns) {
    wait = { aDemand.plannedRuns };
    aShare.turn = 0;
    return;
  }
  wait.checks = std::min(wait.checks + 1, patience);
  if (aShare.turn >= kFirstTurn) {
    return;
  }
  aShare.turn = 0;
  if (wait.checks < patience) {
    return;
  }
  auto last = kFirstTurn - 1;
  for (const auto& [name, stored] : this->peers) {
    if (this->IsInLayout(name)) {
      last = std::max(last, ShareAt(stored.row, aAccount).turn);
    }
  }
  aShare.turn = std::min(last + 1, static_cast<std::uint64_t>(kMaxShareAmount));
}

auto
AccountShares::PeerWithTurn(const AccountId& aAccount,
                            std::uint64_t aOwnTurn) const -> const std::string*
{
  const auto known = this->turns.find(aAccount);
  const std::string* first = nullptr;
  auto least = std::uint64_t{ 0 };
  for (const auto& [name, stored] : this->peers) {
    const auto turn = ShareAt(stored.row, aAccount).turn;
    if (!WaitsForTurn(turn) || !this->IsInLayout(name)) {
      continue;
    }
    if (known != this->turns.end()) {
      const auto passed = known->second.passedOver.find(name);
      if (passed != known->second.passedOver.end() && passed->second == turn) {
        continue;
      }
    }
    if (first == nullptr || PlaceOf(turn) < least) {
      first = &name;
      least = PlaceOf(turn);
    }
  }
  const auto isOwn =
    first != nullptr && WaitsForTurn(aOwnTurn) &&
    std::pair{ PlaceOf(aOwnTurn), this->cell } < std::pair{ least, *first };
  return isOwn ? nullptr : first;
}

auto
AccountShares::CountTurnChecks(const AccountId& aAccount,
                               const std::string* aPeer) -> std::uint32_t
{
  if (aPeer == nullptr) {
    this->turns.erase(aAccount);
    return 0;
  }
  auto& turn = this->turns[aAccount];
  const auto number = ShareAt(this->peers.at(*aPeer).row, aAccount).turn;
  const auto place = PlaceOf(number);
  if (turn.cell != *aPeer || turn.number != place) {
    turn.cell = *aPeer;
    turn.number = place;
    turn.checks = 0;
    turn.availableChecks = 0;
  }
  return std::min(turn.checks++, kMaxTurnShift);
}

auto
AccountShares::OnTurn(const AccountId& aAccount,
                      const std::string& aPeer,
                      bool aIsAvailable) -> void
{
  auto& turn = this->turns.at(aAccount);
  turn.availableChecks = aIsAvailable ? turn.availableChecks + 1 : 0;
  if (turn.availableChecks > kUnusedTurnChecks) {
    turn.passedOver[aPeer] = ShareAt(this->peers.at(aPeer).row, aAccount).turn;
  }
}

} // namespace gooseberry::cells
