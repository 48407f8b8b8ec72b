#include "accountledger.h"

#include <algorithm>
#include <array>
#include <limits>

#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

constexpr std::array<std::int64_t Resources::*, 3> kResources{
  &Resources::cpuMillis,
  &Resources::memoryMb,
  &Resources::accelerators
};

} // namespace

auto
AccountLedger::At(const AccountId& aAccount) -> AccountState&
{
  auto [item, added] = this->accounts.try_emplace(aAccount);
  if (added) {
    item->second.id = aAccount;
  }
  return item->second;
}

auto
AccountLedger::Accounts() const -> const std::map<AccountId, AccountState>&
{
  return this->accounts;
}

auto
AccountLedger::OnConfig(const SiteConfig& aConfig) -> void
{
  auto weights = 0.0;
  for (const auto& [id, account] : aConfig.accounts) {
    auto& state = this->At(id);
    state.limit = account.limit;
    state.weight = account.weight;
    weights += account.weight;
  }
  this->meanWeight = aConfig.accounts.empty()
                       ? 1.0
                       : weights / static_cast<double>(aConfig.accounts.size());
}

auto
AccountLedger::SetShares(const std::map<AccountId, Resources>& aShares) -> bool
{
  auto changed = false;
  const auto set = [&changed](AccountState& aAccount,
                              std::optional<Resources> aShare) {
    changed = changed || aAccount.share != aShare;
    aAccount.share = aShare;
  };
  for (auto& [id, state] : this->accounts) {
    if (!aShares.contains(id)) {
      set(state, std::nullopt);
    }
  }
  for (const auto& [id, share] : aShares) {
    set(this->At(id), share);
  }
  return changed;
}

auto
AccountLedger::ClearLimitedTasks() -> void
{
  for (auto& [id, account] : this->accounts) {
    account.limitedTasks = 0;
    account.limitedDemand = {};
    account.limitedNext = {};
  }
}

auto
AccountLedger::BoundOf(const AccountState& aAccount,
                       std::int64_t Resources::*aResource)
  -> std::optional<std::int64_t>
{
  const auto limit = aAccount.limit.*aResource;
  if (limit <= 0) {
    return std::nullopt;
  }
  return aAccount.share ? std::min(limit, (*aAccount.share).*aResource) : limit;
}

auto
AccountLedger::TasksWithin(const AccountState& aAccount,
                           const Resources& aSize,
                           std::size_t aMost,
                           const Resources& aPlanned) -> std::size_t
{
  auto tasks = aMost;
  for (const auto resource : kResources) {
    const auto bound = BoundOf(aAccount, resource);
    if (!bound) {
      continue;
    }
    const auto room = *bound - aAccount.use.*resource - aPlanned.*resource;
    if (room < aSize.*resource) {
      return 0;
    }
    if (aSize.*resource > 0) {
      tasks =
        std::min(tasks, static_cast<std::size_t>(room / (aSize.*resource)));
    }
  }
  return tasks;
}

auto
AccountLedger::OnTasksLimited(AccountState& aAccount,
                              const Resources& aAll,
                              std::size_t aTasks,
                              const Resources& aTogether,
                              const Resources& aPlanned) -> void
{
  aAccount.limitedTasks += aTasks;
  aAccount.limitedDemand += aAll;
  const auto fits =
    std::all_of(kResources.begin(), kResources.end(), [&](auto aResource) {
      const auto limit = aAccount.limit.*aResource;
      return limit <= 0 || aTogether.*aResource <= limit;
    });
  if (fits && aPlanned == Resources{} && aAccount.limitedNext == Resources{}) {
    aAccount.limitedNext = aTogether;
  }
}

auto
AccountLedger::HasLimit(const AccountState& aAccount) -> bool
{
  return aAccount.limit != Resources{};
}

auto
AccountLedger::IsBeyondLimit(const AccountState& aAccount) -> bool
{
  return std::any_of(kResources.begin(), kResources.end(), [&](auto aResource) {
    const auto bound = BoundOf(aAccount, aResource);
    return bound && aAccount.use.*aResource > *bound;
  });
}

auto
AccountLedger::IsAtLimit(const AccountState& aAccount) -> bool
{
  return std::any_of(kResources.begin(), kResources.end(), [&](auto aResource) {
    const auto bound = BoundOf(aAccount, aResource);
    return bound && aAccount.use.*aResource >= *bound;
  });
}

auto
AccountLedger::BeginRound() -> void
{
  ++this->round;
}

auto
AccountLedger::MayStart(const AccountState& aAccount,
                        const Resources& aSize,
                        std::size_t aTasks) const -> bool
{
  return aAccount.claimedRound != this->round &&
         TasksWithin(aAccount, aSize, aTasks) == aTasks;
}

auto
AccountLedger::OnStepLimited(AccountState& aAccount,
                             const Resources& aSize,
                             std::size_t aTasks) -> void
{
  auto mostlyUsed = false;
  for (const auto resource : kResources) {
    const auto bound = BoundOf(aAccount, resource);
    if (!bound) {
      continue;
    }
    if (aSize.*resource > *bound / static_cast<std::int64_t>(aTasks)) {
      return;
    }
    mostlyUsed = mostlyUsed || aAccount.use.*resource >= *bound - *bound / 2;
  }
  if (mostlyUsed) {
    aAccount.claimedRound = this->round;
  }
}

auto
AccountLedger::RelativeUse(const AccountState& aAccount) const -> double
{
  if (!aAccount.weight && !aAccount.id.Empty()) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(aAccount.use.cpuMillis) /
         aAccount.weight.value_or(this->meanWeight);
}

auto
AccountLedger::IsBeyondRate(AccountState& aAccount,
                            Time aArrivedAt,
                            std::size_t aCells) -> bool
{
  if (!aAccount.weight) {
    return !aAccount.id.Empty();
  }
  const auto rate = *aAccount.weight / static_cast<double>(aCells);
  const auto burst =
    std::max(1.0, rate * std::chrono::duration<double>(kAccountBurst).count());
  auto& tokens = aAccount.arrivalTokens;
  const auto passed = std::chrono::duration<double>(
    std::max(Micros{ 0 }, aArrivedAt - aAccount.lastArrivalAt));
  tokens = tokens ? std::min(burst, *tokens + rate * passed.count()) : burst;
  aAccount.lastArrivalAt = std::max(aAccount.lastArrivalAt, aArrivedAt);
  if (*tokens < 1.0) {
    return true;
  }
  *tokens -= 1.0;
  return false;
}

} // namespace gooseberry::cells
