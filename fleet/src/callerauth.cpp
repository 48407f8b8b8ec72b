#include "callerauth.h"

#include <algorithm>

namespace gooseberry::fleet {

CallerAuth::CallerAuth(const BoundSettings& aBounds)
  : configApply(aBounds.configApply)
  , revoke(aBounds.revoke)
  , strictRevoke(aBounds.strictRevoke)
{
}

auto
CallerAuth::Decide(const std::shared_ptr<const cells::SiteConfig>& aConfig,
                   const cells::Queue& aQueue,
                   std::string_view aKey,
                   Micros aKnowledgeAge) -> AuthDecision
{
  if (aConfig->accounts.empty() || aQueue.isPublic) {
    return { AuthOutcome::Allowed, {} };
  }
  if (this->config != aConfig) {
    this->config = aConfig;
    this->index.clear();
    for (const auto& [id, account] : aConfig->accounts) {
      for (const auto& key : account.keys) {
        this->index.emplace_back(key, &account);
      }
    }
    std::sort(this->index.begin(), this->index.end());
  }
  if (const auto* const account = this->FindAccount(aKey)) {
    return this->strictRevoke && aKnowledgeAge > this->revoke
             ? AuthDecision{ AuthOutcome::StaleKey, {} }
             : AuthDecision{ AuthOutcome::Allowed, account->id };
  }
  // In a newer version the key may exist, and the queue may be public.
  return { aKnowledgeAge <= this->configApply ? AuthOutcome::UnknownKey
                                              : AuthOutcome::StaleKey,
           {} };
}

auto
CallerAuth::MayQueueBeNew(const cells::SiteConfig& aConfig,
                          Micros aKnowledgeAge) const -> bool
{
  return !aConfig.accounts.empty() && aKnowledgeAge > this->configApply;
}

auto
CallerAuth::FindAccount(std::string_view aKey) const -> const cells::Account*
{
  const auto found =
    std::lower_bound(this->index.begin(),
                     this->index.end(),
                     aKey,
                     [](const auto& aItem, std::string_view aText) {
                       return aItem.first < aText;
                     });
  return found == this->index.end() || found->first != aKey ? nullptr
                                                            : found->second;
}

auto
MayAccessJob(const cells::SiteConfig& aConfig,
             const AccountId& aCaller,
             const AccountId& aOwner) -> bool
{
  return aConfig.accounts.empty() || aOwner.Empty() || aCaller == aOwner;
}

} // namespace gooseberry::fleet
