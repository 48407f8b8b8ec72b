#ifndef GOOSEBERRY_ACCOUNTSHARESTORE_H
#define GOOSEBERRY_ACCOUNTSHARESTORE_H

// Keeps one cell's shares of the accounts' limits in the store while this
// instance owns the cell: reads the rows, follows their changes, and writes
// what AccountShares decides. Does nothing in a fleet of one cell, or without
// limits. Runs on the event loop.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "accountshares.h"
#include "decisionlog.h"
#include "fleetmetrics.h"
#include "loop.h"
#include "tablefollower.h"
#include "tableport.h"

namespace gooseberry::fleet {

class AccountShareStore : public std::enable_shared_from_this<AccountShareStore>
{
public:
  using DemandSource =
    std::function<std::map<AccountId, cells::AccountDemand>()>;
  // Passes on what the cell may use of each account's limit.
  using OnShares = std::function<void(const std::map<AccountId, Resources>&)>;

  AccountShareStore(
    Loop& aLoop,
    cells::TableClient& aTables,
    cells::DecisionLog& aLog,
    FleetMetrics& aMetrics,
    std::string aCell,
    std::uint64_t aFencingToken,
    DemandSource aDemand,
    OnShares aOnShares,
    Millis aConfigApply = cells::AccountShares::kMaxConfigApply);

  // The configuration and the cells of the layout, at the takeover and whenever
  // they may have changed. Calls aOnShares before it returns, so that the cell
  // starts nothing beyond its shares.
  auto OnSite(const cells::SiteConfig* aConfig,
              const std::vector<std::string>& aCells) -> void;
  auto Stop() -> void;

private:
  auto Start() -> void;
  auto OnRows(const std::vector<cells::StoredRow>& aRows, bool aIsSnapshot)
    -> void;
  auto Check() -> void;
  auto ScheduleCheck(Millis aDelay) -> void;
  auto OnOutcome(const cells::TableCommitResult& aOutcome) -> void;
  auto PublishShares() -> void;

  Loop& loop;
  cells::TableClient& tables;
  cells::DecisionLog& log;
  FleetMetrics& metrics;
  const std::string cell;
  const DemandSource demand;
  const OnShares onShares;
  cells::AccountShares shares;
  std::shared_ptr<TableFollower> follower;
  TimerHandle checkTimer;
  // Conflicts since the last transaction that was carried out.
  int conflicts = 0;
  bool wasClaimed = false;
  bool wasTooLarge = false;
  bool rowsRead = false;
  bool stopped = false;
};

} // namespace gooseberry::fleet

#endif
