#ifndef GOOSEBERRY_SITEWATCHER_H
#define GOOSEBERRY_SITEWATCHER_H

// Follows the tables in which operators publish the configuration and the
// evacuated failure domains, and in which workers register themselves. Runs on
// the event loop.

#include <functional>
#include <memory>
#include <set>

#include "decisionlog.h"
#include "rcuvalue.h"
#include "site.h"
#include "tablefollower.h"

namespace gooseberry::fleet {

class SiteWatcher
{
public:
  SiteWatcher(Loop& aLoop,
              cells::TableClient& aTables,
              cells::DecisionLog& aLog);

  auto Start() -> void;
  auto Stop() -> void;
  // Counts the users of the table of workers, which is followed while there are
  // any: each call with true needs a later call with false.
  auto FollowWorkers(bool aFollow) -> void;
  // Called on the loop after any change.
  auto SetOnChange(std::function<void()> aOnChange) -> void;

  // Null before the first configuration.
  auto Config() const -> std::shared_ptr<const cells::SiteConfig>;
  auto EvacuatedDomains() const -> const std::set<DomainId>&;
  auto Workers() const -> const cells::WorkerTable&;
  auto AreWorkersKnown() const -> bool;
  // Everything known about operators' and workers' rows is at least as recent
  // as this; the clock's origin while one of the tables is not followed.
  auto CurrentAsOf() const -> Time;
  // The same for the operators' rows alone, which hold the configuration.
  auto ConfigCurrentAsOf() const -> Time;

private:
  auto OnOperatorRows(const std::vector<cells::StoredRow>& aRows,
                      bool aIsSnapshot) -> void;
  auto OnConfigRow(const cells::StoredRow& aRow) -> void;
  auto OnWorkerRows(const std::vector<cells::StoredRow>& aRows,
                    bool aIsSnapshot) -> void;
  auto NotifyChanged() -> void;

  Loop& loop;
  cells::TableClient& tables;
  cells::DecisionLog& log;
  std::function<void()> onChange;
  std::shared_ptr<TableFollower> operatorFollower;
  std::shared_ptr<TableFollower> workerFollower;
  RcuValue<cells::SiteConfig> config;
  std::set<DomainId> evacuatedDomains;
  cells::WorkerTable workers;
  bool workersKnown = false;
  int workerFollowRequests = 0;
};

} // namespace gooseberry::fleet

#endif
