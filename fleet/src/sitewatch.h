#ifndef GOOSEBERRY_SITEWATCH_H
#define GOOSEBERRY_SITEWATCH_H

// Follows the tables in which operators publish the configuration and the
// evacuated failure domains, and in which workers register themselves. Runs on
// the event loop.

#include <functional>
#include <memory>
#include <set>

#include "decisionlog.h"
#include "published.h"
#include "site.h"
#include "tablefollower.h"

namespace gooseberry::fleet {

class SiteWatch
{
public:
  SiteWatch(Loop& aLoop, cells::TablePort& aTables, cells::DecisionLog& aLog);

  auto Start() -> void;
  auto Stop() -> void;
  // Counts the users of the table of workers, which is followed while there are
  // any: each call with true needs a later call with false.
  auto FollowWorkers(bool aFollow) -> void;
  // Called on the loop after any change.
  auto SetOnChange(std::function<void()> aOnChange) -> void;

  // Null before the first configuration.
  auto Config() const -> std::shared_ptr<const cells::SiteConfig>;
  auto Evacuated() const -> const std::set<DomainId>&;
  auto Workers() const -> const cells::WorkerTable&;
  auto WorkersKnown() const -> bool;
  // Everything known about operators' and workers' rows is at least as recent
  // as this; the clock's origin while one of the tables is not followed.
  auto FreshAt() const -> Time;

private:
  auto OnOperatorRows(const std::vector<cells::StoredRow>& aRows,
                      bool aIsSnapshot) -> void;
  auto OnConfigRow(const cells::StoredRow& aRow) -> void;
  auto OnWorkerRows(const std::vector<cells::StoredRow>& aRows,
                    bool aIsSnapshot) -> void;
  auto Changed() -> void;

  Loop& loop;
  cells::TablePort& tables;
  cells::DecisionLog& log;
  std::function<void()> onChange;
  std::shared_ptr<TableFollower> operators;
  std::shared_ptr<TableFollower> workerRows;
  Published<cells::SiteConfig> config;
  std::set<DomainId> evacuated;
  cells::WorkerTable workers;
  bool workersKnown = false;
  int workerReaders = 0;
};

} // namespace gooseberry::fleet

#endif
