#ifndef GOOSEBERRY_ACCOUNTLEDGER_H
#define GOOSEBERRY_ACCOUNTLEDGER_H

// What each client account has running in one cell, checked against its limit,
// and the order of accounts while capacity is insufficient. Pure decisions, no
// I/O.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "site.h"

namespace gooseberry::cells {

// An account as its cell's scheduler knows it. Jobs without an account share
// the one with the empty id, which has no limit.
struct AccountState
{
  AccountId id;
  // Declared resources of all runs that may exist on some worker.
  Resources use;
  // As last configured; 0: no limit.
  Resources limit;
  // The part of the limit that this cell may use; empty: all of it.
  std::optional<Resources> share;
  // As last configured; empty if no configuration has had the account.
  std::optional<double> weight;
  // Tasks that wait because of the limit, as last counted.
  std::size_t limitedTasks = 0;
  // Their resources.
  Resources limitedDemand;
  // What the first step in order needs to start something, if it waits because
  // of the share and could start within the whole limit.
  Resources limitedNext;
  // Runs that were planned so far.
  std::uint64_t plannedRuns = 0;
  // The last round of placement in which a step of the account reserved what
  // is left of the limit, see AccountLedger::OnStepLimited.
  std::uint64_t claimedRound = 0;
  // Jobs that may still arrive within the rate, as of the last arrival.
  std::optional<double> arrivalTokens;
  Time lastArrivalAt{};
};

class AccountLedger
{
public:
  // The account's state, added if needed. The reference stays valid: accounts
  // are not removed, since only a configuration or an accepted job adds one.
  auto At(const AccountId& aAccount) -> AccountState&;
  auto Accounts() const -> const std::map<AccountId, AccountState>&;

  // An account that the configuration no longer contains keeps its limit and
  // weight.
  auto OnConfig(const SiteConfig& aConfig) -> void;
  // Accounts without an entry may use their whole limits. Returns whether
  // anything changed.
  auto SetShares(const std::map<AccountId, Resources>& aShares) -> bool;

  auto ClearLimitedTasks() -> void;

  // What the account may use in this cell: the smaller one of share and limit.
  // Nothing for a resource without a limit.
  static auto BoundOf(const AccountState& aAccount,
                      std::int64_t Resources::*aResource)
    -> std::optional<std::int64_t>;
  // How many more tasks of this size may run, at most aMost; aPlanned is
  // counted as used.
  static auto TasksWithin(const AccountState& aAccount,
                          const Resources& aSize,
                          std::size_t aMost,
                          const Resources& aPlanned = {}) -> std::size_t;
  // Counts tasks that wait because of the limit, as seen in the order of the
  // steps. aTogether: what starts at once of the step, a task or all of them;
  // aPlanned: what steps before it may start.
  static auto OnTasksLimited(AccountState& aAccount,
                             const Resources& aAll,
                             std::size_t aTasks,
                             const Resources& aTogether,
                             const Resources& aPlanned) -> void;
  static auto HasLimit(const AccountState& aAccount) -> bool;
  // Some resource is used up to what the account may use, or beyond it.
  static auto IsAtLimit(const AccountState& aAccount) -> bool;
  static auto IsBeyondLimit(const AccountState& aAccount) -> bool;

  // Each round of placement looks at the steps in the order of their rank.
  auto BeginRound() -> void;
  // Whether a step may start that many tasks together: they are within the
  // limit, and no step before it in this round reserved what is left.
  auto MayStart(const AccountState& aAccount,
                const Resources& aSize,
                std::size_t aTasks) const -> bool;
  // The step may not start. It reserves what is left of the limit for the rest
  // of the round, or else smaller tasks of steps behind it would use each
  // amount that becomes free. It does not if the limit can never hold the
  // tasks, or while the account uses less than half of what it may: then the
  // steps behind it must not be held up.
  auto OnStepLimited(AccountState& aAccount,
                     const Resources& aSize,
                     std::size_t aTasks) -> void;

  // The account's use of processors, in thousandths of a core, divided by its
  // weight. While capacity is insufficient, the smallest goes first at equal
  // priority. Jobs of no account count as one of mean weight; an account that
  // no configuration has had goes last.
  auto RelativeUse(const AccountState& aAccount) const -> double;
  // Counts the arrival of a job of the account; whether it exceeds what the
  // account is entitled to: its weight in jobs per second, of which each of
  // aCells cells gets an equal part.
  static auto IsBeyondRate(AccountState& aAccount,
                           Time aArrivedAt,
                           std::size_t aCells) -> bool;

private:
  std::map<AccountId, AccountState> accounts;
  double meanWeight = 1.0;
  std::uint64_t round = 1;
};

} // namespace gooseberry::cells

#endif
