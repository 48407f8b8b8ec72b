#ifndef GOOSEBERRY_CALLERAUTH_H
#define GOOSEBERRY_CALLERAUTH_H

// Decides on whose behalf a caller's request is made, and which requests are
// refused because of their key or because of the account that owns a job.

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleetsettings.h"
#include "site.h"

namespace gooseberry::fleet {

enum class AuthOutcome
{
  Allowed,
  // The key belongs to no account.
  UnknownKey,
  // The configuration is not known to be recent enough to tell whether the key
  // is valid.
  StaleKey,
  AuthOutcome_NB
};

struct AuthDecision
{
  AuthOutcome outcome = AuthOutcome::UnknownKey;
  // Allowed: the account of the key; empty if the queue is public or the
  // deployment has no accounts.
  AccountId account;

  auto operator==(const AuthDecision&) const -> bool = default;
};

class CallerAuth
{
public:
  explicit CallerAuth(const BoundSettings& aBounds);

  // aKnowledgeAge: the configuration is in force as it was that long ago, or
  // later.
  auto Decide(const std::shared_ptr<const cells::SiteConfig>& aConfig,
              const cells::Queue& aQueue,
              std::string_view aKey,
              Micros aKnowledgeAge) -> AuthDecision;
  // Whether a queue that the configuration does not contain may be in a newer
  // one. Always false in a deployment without accounts.
  auto MayQueueBeNew(const cells::SiteConfig& aConfig,
                     Micros aKnowledgeAge) const -> bool;

private:
  auto FindAccount(std::string_view aKey) const -> const cells::Account*;

  const Millis configApply;
  const Millis revoke;
  const bool strictRevoke;
  // The configuration to which the index belongs.
  std::shared_ptr<const cells::SiteConfig> config;
  // Sorted by key.
  std::vector<std::pair<std::string_view, const cells::Account*>> index;
};

// Whether a caller may see and cancel a job. aOwner: the account that submitted
// the job; empty for jobs of public queues and of versions without accounts,
// which every caller may access.
auto
MayAccessJob(const cells::SiteConfig& aConfig,
             const AccountId& aCaller,
             const AccountId& aOwner) -> bool;

// Requests since the last report, for the log. Metrics have no label for the
// account, since that would make their number unbounded.
struct AccountRequests
{
  struct Counts
  {
    std::uint64_t requests = 0;
    // Of them, those for a job of another account.
    std::uint64_t foreign = 0;

    auto operator==(const Counts&) const -> bool = default;
  };

  std::map<AccountId, Counts> byAccount;
  std::uint64_t unknownKeys = 0;
  std::uint64_t staleKeys = 0;

  auto operator==(const AccountRequests&) const -> bool = default;
};

} // namespace gooseberry::fleet

#endif
