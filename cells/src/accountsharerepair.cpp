// Entries of accounts that the configuration no longer contains, and amounts
// that are missing from the sum of pool and shares; see accountshares.h.

#include <algorithm>

#include "accountsharevalues.h"

namespace gooseberry::cells {

namespace {

// Rows arrive one by one: pool and shares may not add up for two checks.
constexpr std::uint32_t kRestoreAfterChecks = 5;
constexpr std::uint32_t kMaxRestoreChecks = 60;
// The store accepts 100 conditions and writes in a transaction.
constexpr std::size_t kMaxRestoreConditions = 90;

} // namespace

auto
AccountShares::IsRemoved(const AccountId& aAccount) const -> bool
{
  return this->configVersion >= this->pool.row.configVersion &&
         !this->configured.contains(aAccount);
}

auto
AccountShares::RemoveEntries(Time aNow, SharePool& aPool, CellShares& aOwn)
  -> void
{
  // An owner may start tasks by an older configuration for configApply, and
  // asks for their share with its next check.
  const auto delay = 2 * this->configApply;
  for (auto item = aPool.accounts.begin(); item != aPool.accounts.end();) {
    const auto& [id, entry] = *item;
    if (!this->IsRemoved(id) || entry.free != entry.limit ||
        this->needed.contains(id) || aOwn.accounts.contains(id)) {
      this->unusedSince.erase(id);
      ++item;
      continue;
    }
    const auto since = this->unusedSince.try_emplace(id, aNow).first->second;
    if (aNow < since + delay) {
      ++item;
      continue;
    }
    this->unusedSince.erase(id);
    this->caps.erase(id);
    this->waits.erase(id);
    this->turns.erase(id);
    // Owners that know older configurations only do not add it again.
    aPool.configVersion = this->configVersion;
    item = aPool.accounts.erase(item);
  }
  std::erase_if(aOwn.accounts, [&](const auto& aItem) {
    return !aPool.accounts.contains(aItem.first) &&
           aItem.second.share == Resources{};
  });
}

auto
AccountShares::MissingAmounts() const -> std::map<AccountId, Resources>
{
  auto missing = std::map<AccountId, Resources>{};
  for (const auto& [id, entry] : this->pool.row.accounts) {
    auto amount = entry.limit;
    amount -= entry.free;
    amount -= ShareAt(this->own.row, id).share;
    for (const auto& [name, stored] : this->peers) {
      amount -= ShareAt(stored.row, id).share;
    }
    if (amount != Resources{}) {
      missing[id] = amount;
    }
  }
  return missing;
}

auto
AccountShares::AmountsToRestore() -> std::map<AccountId, Resources>
{
  auto missing = std::map<AccountId, Resources>{};
  // Each row is also a condition of the transaction and two may be written.
  if (this->IsClaimed() && !this->unresolved.inDoubt &&
      this->unreadablePeers.empty() &&
      this->peers.size() <= kMaxRestoreConditions) {
    missing = this->MissingAmounts();
  }
  if (missing.empty()) {
    this->mismatchChecks = 0;
    return {};
  }
  // Cells try one after the other.
  const auto place =
    std::find(this->cells.begin(), this->cells.end(), this->cell) -
    this->cells.begin();
  this->mismatchChecks = std::min(this->mismatchChecks + 1, kMaxRestoreChecks);
  const auto wait = kRestoreAfterChecks + static_cast<std::uint32_t>(place);
  if (this->mismatchChecks < std::min(wait, kMaxRestoreChecks)) {
    return {};
  }
  return missing;
}

} // namespace gooseberry::cells
