#ifndef GOOSEBERRY_ACCOUNTDAY_H
#define GOOSEBERRY_ACCOUNTDAY_H

// A day with client accounts: one sends many times its rate, keys are removed
// while in use and added, and a limit is lowered below the current use; first
// each of them alone or beside a store that does not respond, then beside a
// kill of a cell's owner. All answers to callers are judged by the keys in
// force.

#include <map>
#include <set>

#include "dayplan.h"
#include "drawnfaults.h"

namespace gooseberry::soak {

// Sets the accounts of the day and the number of its cells.
auto
SetAccountOptions(RealFleetOptions& aOptions) -> void;

// How many jobs are drawn on the day.
auto
AccountDayJobs() -> fakes::JobDensity;

class AccountDay : public DayPlan
{
public:
  explicit AccountDay(RealFleet& aFleet);

  auto Begin(Millis aTime) -> std::vector<std::string> override;
  auto Check() -> void override;
  auto OnFaultsOver() -> void override;
  auto IsComplete() const -> bool override;
  auto Finish() -> std::string override;

private:
  struct KeyChange
  {
    Time at{};
    // Empty: the key is valid no longer.
    AccountId account;
  };

  // How long an account has had work that is ready and none that runs.
  struct Wait
  {
    Time since{};
    // Starts of the accounts beyond their share at that time.
    std::map<AccountId, std::size_t> startsBeyond;
    bool reported = false;
  };

  auto Draw(std::int64_t aFrom, std::int64_t aTo) -> std::int64_t;
  auto Change(const std::function<void(cells::SiteConfig&)>& aChange) -> void;
  auto RecordKeys(Time aNow) -> void;
  auto RemoveKey(const std::string& aKey) -> void;
  auto AddAccount(const std::string& aName) -> void;
  auto SetLimit(Resources aLimit) -> void;
  // Makes the changes of one round within a short time; returns them in words.
  auto BeginRound(Millis aStart, int aRound) -> std::vector<std::string>;
  auto SilenceStore(Millis aTime) -> void;
  auto KillOwner(const std::string& aCell, Millis aDown) -> void;
  auto KeepSubmitting(Time aUntil) -> void;
  auto KeepProbing() -> void;
  auto Probe(int aInstance, const std::string& aKey) -> void;
  // Until the instance has answered 200 or 401.
  auto ProbeUntilAnswered(int aInstance, const std::string& aKey, int aTries)
    -> void;
  auto AccountWith(const std::string& aKey) const -> AccountId;
  // Whether the key belonged to an account at some time, or at all times, from
  // then until now.
  auto WasValid(const std::string& aKey, Time aFrom) const -> bool;
  auto WasAlwaysValid(const std::string& aKey, Time aFrom) const -> bool;
  auto OnAnswer(const CallerAnswer& aAnswer) -> void;
  auto CheckAccess(const CallerAnswer& aAnswer) -> void;
  auto CheckKey(const CallerAnswer& aAnswer) -> void;
  auto CheckWaits() -> void;
  auto IsBeyondShare(const AccountId& aAccount) const -> bool;

  RealFleet& fleet;
  // In order of time.
  std::map<std::string, std::vector<KeyChange>> keys;
  // Keys that were removed or added, and one that never existed.
  std::vector<std::string> probedKeys;
  std::map<AccountId, Wait> waits;
  bool faultsOver = false;
  int openProbes = 0;
  // Answers to requests with an unknown key, and for another account's job.
  std::size_t refusedKeys = 0;
  std::size_t refusedAccess = 0;
  std::size_t acceptedAdded = 0;
  std::size_t configChanges = 0;
};

} // namespace gooseberry::soak

#endif
