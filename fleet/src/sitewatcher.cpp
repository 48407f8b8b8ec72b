#include "sitewatcher.h"

#include <algorithm>

#include "httptableclient.h"
#include "siterows.h"

namespace gooseberry::fleet {

namespace {

// How long the store may hold a feed call open while it waits for a change. A
// dead connection is noticed only after this time. It is short for the
// operators' table because a configuration must be in force within 2 s of its
// acknowledgement.
constexpr Millis kOperatorFeedWait{ 1000 };
constexpr Millis kWorkerFeedWait{ 1000 };
// Pause between feed calls for the workers' table. Workers write all the time;
// the pause lets several changes arrive in one call.
constexpr Millis kWorkerFeedPause{ 250 };

} // namespace

SiteWatcher::SiteWatcher(Loop& aLoop,
                         cells::TableClient& aTables,
                         cells::DecisionLog& aLog)
  : loop(aLoop)
  , tables(aTables)
  , log(aLog)
{
}

auto
SiteWatcher::Start() -> void
{
  this->operatorFollower = std::make_shared<TableFollower>(
    this->loop,
    this->tables,
    FollowerOptions{
      wire::kOperatorTable, { "" }, kOperatorFeedWait, Millis{ 0 } },
    this->log,
    [this](const std::vector<cells::StoredRow>& aRows, bool aIsSnapshot) {
      this->OnOperatorRows(aRows, aIsSnapshot);
    });
  this->operatorFollower->Start();
}

auto
SiteWatcher::Stop() -> void
{
  if (this->operatorFollower) {
    this->operatorFollower->Stop();
  }
  if (this->workerFollower) {
    this->workerFollower->Stop();
  }
}

auto
SiteWatcher::FollowWorkers(bool aFollow) -> void
{
  this->workerFollowRequests += aFollow ? 1 : -1;
  const auto shouldFollow = this->workerFollowRequests > 0;
  if (shouldFollow == (this->workerFollower != nullptr)) {
    return;
  }
  if (!shouldFollow) {
    this->workerFollower->Stop();
    this->workerFollower.reset();
    // The last known workers stay readable through Workers().
    this->workersKnown = false;
    return;
  }
  this->workerFollower = std::make_shared<TableFollower>(
    this->loop,
    this->tables,
    FollowerOptions{
      wire::kWorkerTable, { "" }, kWorkerFeedWait, kWorkerFeedPause },
    this->log,
    [this](const std::vector<cells::StoredRow>& aRows, bool aIsSnapshot) {
      this->OnWorkerRows(aRows, aIsSnapshot);
    });
  this->workerFollower->Start();
}

auto
SiteWatcher::SetOnChange(std::function<void()> aOnChange) -> void
{
  this->onChange = std::move(aOnChange);
}

auto
SiteWatcher::Config() const -> std::shared_ptr<const cells::SiteConfig>
{
  return this->config.Get();
}

auto
SiteWatcher::EvacuatedDomains() const -> const std::set<DomainId>&
{
  return this->evacuatedDomains;
}

auto
SiteWatcher::Workers() const -> const cells::WorkerTable&
{
  return this->workers;
}

auto
SiteWatcher::AreWorkersKnown() const -> bool
{
  return this->workersKnown;
}

auto
SiteWatcher::CurrentAsOf() const -> Time
{
  if (!this->operatorFollower || !this->workerFollower) {
    return {};
  }
  return std::min(this->operatorFollower->CurrentAsOf(),
                  this->workerFollower->CurrentAsOf());
}

auto
SiteWatcher::ConfigCurrentAsOf() const -> Time
{
  return this->operatorFollower ? this->operatorFollower->CurrentAsOf()
                                : Time{};
}

auto
SiteWatcher::OnOperatorRows(const std::vector<cells::StoredRow>& aRows,
                            bool aIsSnapshot) -> void
{
  if (aIsSnapshot) {
    this->evacuatedDomains.clear();
  }
  for (const auto& row : aRows) {
    const auto key = wire::ParseOperatorKey(row.key.key);
    switch (key.kind) {
      case wire::OperatorRowKind::Config:
        this->OnConfigRow(row);
        break;
      case wire::OperatorRowKind::Evacuation:
        // Version 0 means that the row was removed.
        this->log.Write("evacuation",
                        { { "domain", key.name },
                          { "out", row.version != 0 ? "yes" : "no" },
                          { "row", std::to_string(row.version) } });
        if (row.version != 0) {
          this->evacuatedDomains.insert({ key.name });
        } else {
          this->evacuatedDomains.erase({ key.name });
        }
        break;
      default:
        // Maintenance waves and unknown rows do not affect scheduling.
        break;
    }
  }
  this->NotifyChanged();
}

auto
SiteWatcher::OnConfigRow(const cells::StoredRow& aRow) -> void
{
  auto reason = std::string{};
  auto next = wire::ParseSiteConfig(aRow.value, reason);
  // An unreadable or removed row leaves the current configuration in force.
  if (!next) {
    this->log.Write(
      "config_unreadable",
      { { "row", std::to_string(aRow.version) }, { "reason", reason } });
    return;
  }
  const auto current = this->config.Get();
  // Versions only increase; a feed answer or snapshot that arrives late must
  // not restore an older configuration.
  if (current && next->version <= current->version) {
    return;
  }
  this->log.Write("config_in_force",
                  { { "version", std::to_string(next->version) },
                    { "queues", std::to_string(next->queues.size()) },
                    { "accounts", std::to_string(next->accounts.size()) } });
  this->config.Set(std::make_shared<const cells::SiteConfig>(std::move(*next)));
}

auto
SiteWatcher::OnWorkerRows(const std::vector<cells::StoredRow>& aRows,
                          bool aIsSnapshot) -> void
{
  if (aIsSnapshot) {
    this->workers.clear();
  }
  this->workersKnown = true;
  for (const auto& row : aRows) {
    const auto id = WorkerId{ row.key.key };
    if (row.version == 0) {
      if (this->workers.erase(id) > 0) {
        this->log.Write("worker_unlisted", { { "worker", id.text } });
      }
      continue;
    }
    auto reason = std::string{};
    if (auto entry = wire::ParseWorkerEntry(row.key.key, row.value, reason)) {
      auto [listed, added] = this->workers.try_emplace(id);
      if (added || listed->second.leaving != entry->leaving) {
        this->log.Write("worker_listed",
                        { { "worker", id.text },
                          { "domain", entry->domain.text },
                          { "rack", entry->Rack() },
                          { "leaving", entry->leaving ? "yes" : "no" },
                          { "cpu", std::to_string(entry->capacity.cpuMillis) },
                          { "born", std::to_string(entry->startUnixMs) } });
      }
      listed->second = std::move(*entry);
    } else {
      this->workers.erase(id);
      this->log.Write("worker_unreadable",
                      { { "worker", id.text }, { "reason", reason } });
    }
  }
  this->NotifyChanged();
}

auto
SiteWatcher::NotifyChanged() -> void
{
  if (this->onChange) {
    this->onChange();
  }
}

} // namespace gooseberry::fleet
