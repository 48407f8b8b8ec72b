#include "sitewatch.h"

#include <algorithm>

#include "wiresite.h"
#include "wiretables.h"

namespace gooseberry::fleet {

namespace {

// How long a feed call waits for a change, which bounds how long a dead
// connection goes unnoticed: a configuration must be in force within 2 s of its
// acknowledgement.
constexpr Millis kOperatorPatience{ 1000 };
constexpr Millis kWorkerPatience{ 1000 };
// Pause between feed calls: workers write all the time, and their changes then
// arrive together.
constexpr Millis kWorkerRest{ 250 };

} // namespace

SiteWatch::SiteWatch(Loop& aLoop,
                     cells::TablePort& aTables,
                     cells::DecisionLog& aLog)
  : loop(aLoop)
  , tables(aTables)
  , log(aLog)
{
}

auto
SiteWatch::Start() -> void
{
  this->operators = std::make_shared<TableFollower>(
    this->loop,
    this->tables,
    FollowerOptions{
      wire::kOperatorTable, { "" }, kOperatorPatience, Millis{ 0 } },
    this->log,
    [this](const std::vector<cells::StoredRow>& aRows, bool aIsSnapshot) {
      this->OnOperatorRows(aRows, aIsSnapshot);
    });
  this->operators->Start();
}

auto
SiteWatch::Stop() -> void
{
  if (this->operators) {
    this->operators->Stop();
  }
  if (this->workerRows) {
    this->workerRows->Stop();
  }
}

auto
SiteWatch::FollowWorkers(bool aFollow) -> void
{
  this->workerReaders += aFollow ? 1 : -1;
  const auto shouldFollow = this->workerReaders > 0;
  if (shouldFollow == (this->workerRows != nullptr)) {
    return;
  }
  if (!shouldFollow) {
    this->workerRows->Stop();
    this->workerRows.reset();
    this->workersKnown = false;
    return;
  }
  this->workerRows = std::make_shared<TableFollower>(
    this->loop,
    this->tables,
    FollowerOptions{ wire::kWorkerTable, { "" }, kWorkerPatience, kWorkerRest },
    this->log,
    [this](const std::vector<cells::StoredRow>& aRows, bool aIsSnapshot) {
      this->OnWorkerRows(aRows, aIsSnapshot);
    });
  this->workerRows->Start();
}

auto
SiteWatch::SetOnChange(std::function<void()> aOnChange) -> void
{
  this->onChange = std::move(aOnChange);
}

auto
SiteWatch::Config() const -> std::shared_ptr<const cells::SiteConfig>
{
  return this->config.Get();
}

auto
SiteWatch::Evacuated() const -> const std::set<DomainId>&
{
  return this->evacuated;
}

auto
SiteWatch::Workers() const -> const cells::WorkerTable&
{
  return this->workers;
}

auto
SiteWatch::WorkersKnown() const -> bool
{
  return this->workersKnown;
}

auto
SiteWatch::FreshAt() const -> Time
{
  if (!this->operators || !this->workerRows) {
    return {};
  }
  return std::min(this->operators->FreshAt(), this->workerRows->FreshAt());
}

auto
SiteWatch::OnOperatorRows(const std::vector<cells::StoredRow>& aRows,
                          bool aIsSnapshot) -> void
{
  if (aIsSnapshot) {
    this->evacuated.clear();
  }
  for (const auto& row : aRows) {
    const auto key = wire::ReadOperatorKey(row.key.key);
    switch (key.kind) {
      case wire::OperatorKind::Config:
        this->OnConfigRow(row);
        break;
      case wire::OperatorKind::Evacuation:
        this->log.Write("evacuation",
                        { { "domain", key.name },
                          { "out", row.version != 0 ? "yes" : "no" },
                          { "row", std::to_string(row.version) } });
        if (row.version != 0) {
          this->evacuated.insert({ key.name });
        } else {
          this->evacuated.erase({ key.name });
        }
        break;
      default:
        break;
    }
  }
  this->Changed();
}

auto
SiteWatch::OnConfigRow(const cells::StoredRow& aRow) -> void
{
  auto reason = std::string{};
  auto next = wire::ReadConfig(aRow.value, reason);
  if (!next) {
    this->log.Write(
      "config_unreadable",
      { { "row", std::to_string(aRow.version) }, { "reason", reason } });
    return;
  }
  const auto current = this->config.Get();
  // Versions only increase; a late answer must not restore an older
  // configuration.
  if (current && next->version <= current->version) {
    return;
  }
  this->log.Write("config_in_force",
                  { { "version", std::to_string(next->version) },
                    { "queues", std::to_string(next->queues.size()) } });
  this->config.Set(std::make_shared<const cells::SiteConfig>(std::move(*next)));
}

auto
SiteWatch::OnWorkerRows(const std::vector<cells::StoredRow>& aRows,
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
    if (auto entry = wire::ReadWorker(row.key.key, row.value, reason)) {
      auto [listed, added] = this->workers.try_emplace(id);
      if (added || listed->second.leaving != entry->leaving) {
        this->log.Write("worker_listed",
                        { { "worker", id.text },
                          { "domain", entry->domain.text },
                          { "rack", entry->Rack() },
                          { "leaving", entry->leaving ? "yes" : "no" },
                          { "cpu", std::to_string(entry->capacity.cpuMillis) },
                          { "born", std::to_string(entry->bornUnixMs) } });
      }
      listed->second = std::move(*entry);
    } else {
      this->workers.erase(id);
      this->log.Write("worker_unreadable",
                      { { "worker", id.text }, { "reason", reason } });
    }
  }
  this->Changed();
}

auto
SiteWatch::Changed() -> void
{
  if (this->onChange) {
    this->onChange();
  }
}

} // namespace gooseberry::fleet
