// Limits and rates of client accounts in a cell; see accountledger.h.

#include <algorithm>
#include <cmath>

#include "cell.h"
#include "tunables_cells.h"

namespace gooseberry::cells {

namespace {

auto
TextOf(const Resources& aResources) -> std::string
{
  return std::to_string(aResources.cpuMillis) + "," +
         std::to_string(aResources.memoryMb) + "," +
         std::to_string(aResources.accelerators);
}

} // namespace

auto
Cell::SetAccountShares(const std::map<AccountId, Resources>& aShares) -> void
{
  if (this->accounts.SetShares(aShares)) {
    this->limitsChanged = true;
    this->planNeeded = true;
  }
}

auto
Cell::Accounts() const -> const AccountLedger&
{
  return this->accounts;
}

auto
Cell::AccountsAtLimit() const -> std::size_t
{
  const auto& all = this->accounts.Accounts();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [](const auto& aItem) {
      return aItem.second.limitedTasks > 0 ||
             AccountLedger::IsAtLimit(aItem.second);
    }));
}

// Jobs are spread over the cells by a hash, so each cell gets about an equal
// part of an account's jobs.
auto
Cell::CountArrival(Job& aJob) -> void
{
  aJob.beyondRate = AccountLedger::IsBeyondRate(
    *aJob.account, aJob.arrivedAt, this->peers.size() + 1);
}

auto
Cell::CountInheritedArrivals() -> void
{
  auto inherited = std::vector<Job*>{};
  for (const auto& [id, job] : this->jobs) {
    if (!job->IsHosted()) {
      inherited.push_back(job.get());
    }
  }
  std::sort(inherited.begin(),
            inherited.end(),
            [](const Job* aLeft, const Job* aRight) {
              return std::pair{ aLeft->arrivedAt, aLeft->Id() } <
                     std::pair{ aRight->arrivedAt, aRight->Id() };
            });
  for (auto* const job : inherited) {
    this->CountArrival(*job);
  }
}

// Accounts of about the same use are equal, so that what a job is worth for its
// work decides between them. The use doubles from one rank to the next.
auto
Cell::AccountRankOf(const Job& aJob) const -> AccountRank
{
  constexpr double kMillisPerCore = 1000.0;
  const auto cores = this->accounts.RelativeUse(*aJob.account) / kMillisPerCore;
  return { aJob.beyondRate, std::floor(std::log2(1.0 + cores)) };
}

// Nothing of an account with a limit starts on knowledge of the configuration
// that is so old that a lower limit may be in force.
auto
Cell::KnowsLimit(Time aNow, const Job& aJob) const -> bool
{
  return !AccountLedger::HasLimit(*aJob.account) ||
         aNow <= this->siteUpToDateAt + this->options.configApply;
}

auto
Cell::MayStartOne(Time aNow, const Job& aJob, const Resources& aSize) const
  -> bool
{
  return this->KnowsLimit(aNow, aJob) &&
         this->accounts.MayStart(*aJob.account, aSize, 1);
}

auto
Cell::AccountDemands() const -> std::map<AccountId, AccountDemand>
{
  auto demands = std::map<AccountId, AccountDemand>{};
  for (const auto& [id, account] : this->accounts.Accounts()) {
    if (AccountLedger::HasLimit(account)) {
      demands[id] = { account.use,
                      account.limitedDemand,
                      account.limitedNext,
                      account.plannedRuns };
    }
  }
  return demands;
}

auto
Cell::IsWithinLimit(Time aNow, const ReadyStep& aReady, std::size_t aTasks)
  -> bool
{
  auto& job = *aReady.job;
  const auto& size = job.Spec().steps[aReady.step].taskResources;
  if (!this->KnowsLimit(aNow, job)) {
    this->nextPlanAt = std::min(this->nextPlanAt, aNow + kPlanRetryInterval);
    return false;
  }
  if (this->accounts.MayStart(*job.account, size, aTasks)) {
    return true;
  }
  this->accounts.OnStepLimited(*job.account, size, aTasks);
  auto& progress = job.occurrences.at(aReady.occurrence).steps[aReady.step];
  const auto logged =
    progress.limited && aNow < progress.limitLoggedAt + kLimitLogInterval;
  progress.limited = true;
  if (!logged && this->log.IsSampled(job.Id())) {
    progress.limitLoggedAt = aNow;
    this->log.Write(
      "step_waits",
      { { "job", job.Id().Text() },
        { "step",
          ToText(StepName{ job.Id(), aReady.occurrence, aReady.step }) },
        { "why", "account_limit" },
        { "account", job.account->id.text } });
  }
  return false;
}

auto
Cell::DropRunsBeyondLimit(Time aNow) -> void
{
  const auto& all = this->accounts.Accounts();
  if (std::none_of(all.begin(), all.end(), [](const auto& aItem) {
        return AccountLedger::IsBeyondLimit(aItem.second);
      })) {
    return;
  }
  for (auto& [id, slot] : this->workers) {
    const auto runs = slot.runs;
    for (const auto& ref : runs) {
      const auto [context, run] = this->FindTaskAndRun(ref);
      if (run != nullptr && run->phase == RunPhase::Planned &&
          AccountLedger::IsBeyondLimit(*context.job->account)) {
        this->DropRun(aNow, ref, "account limit");
      }
    }
  }
}

auto
Cell::LogAccounts() -> void
{
  for (const auto& [id, account] : this->accounts.Accounts()) {
    if (account.limitedTasks == 0 && !AccountLedger::IsAtLimit(account)) {
      continue;
    }
    this->log.Write(
      "account_limit",
      { { "account", id.text },
        { "use", TextOf(account.use) },
        { "share", TextOf(account.share.value_or(account.limit)) },
        { "limit", TextOf(account.limit) },
        { "waiting", std::to_string(account.limitedTasks) } });
  }
}

} // namespace gooseberry::cells
