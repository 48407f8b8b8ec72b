#include "controlplane.h"

#include <thread>

#include "log.h"

namespace gooseberry {

namespace {

constexpr Millis kTickInterval{ 50 };
constexpr Millis kMetricsReportInterval{ 1000 };

constexpr std::uint64_t kNameSuffixRange = 1000000;

} // namespace

ControlPlane::ControlPlane(const Settings& aSettings,
                           const Clock& aClock,
                           PlatformServices aPlatform,
                           Metrics& aMetrics,
                           Executor& aExecutor,
                           std::uint64_t aSeed,
                           HintSender* aPeers)
  : settings(aSettings)
  , clock(aClock)
  , platform(aPlatform)
  , metrics(aMetrics)
  , documentStore(aPlatform.table)
  , shardStore(aPlatform.table, aPlatform.objects)
  , random(aSeed)
  , hintSender(aPeers)
  , executor(aExecutor)
{
  this->ownId.text = this->NewInstanceName();
  this->ownRow.id = this->ownId;
  this->ownRow.domain = aSettings.domain;
  this->ownRow.adminAddress = aSettings.admin.address;
  this->ownRow.peerAddress = aPeers == nullptr ? "" : aSettings.peers.address;
  this->publishedOwnRow.Set(std::make_shared<MemberRow>(this->ownRow));
  this->publishedRoutes.Set(std::make_shared<RouteTable>());
  this->publishedDocument.Set(std::make_shared<LoadedDocument>());
}

auto
ControlPlane::Start() -> void
{
  this->executor.Start(kTickInterval, [this] { this->Tick(); });
}

auto
ControlPlane::ReleaseShardsAndLeave(Millis aTimeout) -> void
{
  this->executor.Post([this] { this->leaving = true; });
  const auto deadline = this->clock.Now() + aTimeout;
  while (this->clock.Now() < deadline) {
    const auto remaining =
      this->executor.QueryLoop([this] { return this->ownedShards.size(); });
    if (remaining == 0) {
      break;
    }
    std::this_thread::sleep_for(kTickInterval);
  }
  // A renewal under way could change the row's version while it is removed.
  this->executor.Post([this] { this->renewalsStopped = true; });
  while (this->clock.Now() < deadline &&
         this->executor.QueryLoop([this] { return this->renewalInFlight; })) {
    std::this_thread::sleep_for(kTickInterval);
  }
  const auto version =
    this->executor.QueryLoop([this] { return this->ownRowVersion; });
  if (version != 0) {
    this->platform.table.Commit(
      { { { MemberKey(this->OwnId()), version } },
        { { MemberKey(this->OwnId()), std::nullopt } } });
  }
}

auto
ControlPlane::Stop() -> void
{
  this->executor.Stop();
}

auto
ControlPlane::CurrentRoutes() const -> std::shared_ptr<const RouteTable>
{
  return this->publishedRoutes.Get();
}

auto
ControlPlane::CurrentDocument() const -> std::shared_ptr<const LoadedDocument>
{
  return this->publishedDocument.Get();
}

auto
ControlPlane::IsReady() const -> bool
{
  return this->hasDocument;
}

auto
ControlPlane::OwnId() const -> InstanceId
{
  return this->publishedOwnRow.Get()->id;
}

auto
ControlPlane::ShardCount() const -> ShardNumber
{
  return this->shardCount;
}

auto
ControlPlane::LiveMembers() -> std::vector<MemberRow>
{
  return this->executor.QueryLoop(
    [this] { return this->membership.Live(this->clock.Now()); });
}

auto
ControlPlane::WorkerStatuses() -> std::vector<WorkerStatus>
{
  return this->executor.QueryLoop([this] {
    const auto now = this->clock.Now();
    auto statuses = std::vector<WorkerStatus>{};
    for (const auto& [number, owned] : this->ownedShards) {
      for (const auto& [id, view] : owned.shard->Workers()) {
        statuses.push_back({ id,
                             view.info.domain,
                             number,
                             view.reconciled && now <= view.leaseEnd,
                             view.IsQuarantined(now),
                             view.info.capacity,
                             view.reserved });
      }
    }
    return statuses;
  });
}

auto
ControlPlane::ExplainTask(const TaskId& aTask) -> TaskExplanation
{
  return this->executor.QueryLoop([this, aTask] {
    for (const auto& [number, owned] : this->ownedShards) {
      const auto* task = owned.shard->Journal().Find(aTask);
      if (task != nullptr && task->phase != TaskPhase::Moved) {
        return TaskExplanation{ true, owned.shard->Explain(aTask) };
      }
    }
    return TaskExplanation{};
  });
}

auto
ControlPlane::OnDocumentHint(std::uint64_t aNumber) -> void
{
  this->executor.Post([this, aNumber] {
    const auto known =
      this->loadedDocument.document ? this->loadedDocument.document->number : 0;
    if (aNumber > known) {
      this->nextDocumentRead = {};
    }
  });
}

auto
ControlPlane::NewInstanceName() -> std::string
{
  return this->settings.instance + "." +
         std::to_string(this->random() % kNameSuffixRange);
}

// Does everything that is due. Calls to the platform run off the loop, so that
// a slow reply does not delay the renewal of a lease.
auto
ControlPlane::Tick() -> void
{
  const auto now = this->clock.Now();
  this->EstablishShardCount();
  this->RenewMembership();
  this->ReadMembers();
  this->PollDocument();
  this->PollInstances();
  if (now >= this->nextBalance) {
    this->nextBalance = now + kMemberRenewInterval / 4;
    this->BalanceShards();
    this->RemoveLapsedMembers();
  }
  for (auto& [number, owned] : this->ownedShards) {
    this->RunShardTick(number, owned);
  }
  for (auto owned = this->ownedShards.begin();
       owned != this->ownedShards.end();) {
    if (!owned->second.removable) {
      ++owned;
      continue;
    }
    this->AddEventCounts(owned->second);
    owned = this->ownedShards.erase(owned);
  }
  if (now >= this->nextMetricsReport) {
    this->nextMetricsReport = now + kMetricsReportInterval;
    this->ReportMetrics();
  }
}

auto
ControlPlane::AuthorityFor(const OwnedShard& aOwned) const -> OwnerAuthority
{
  auto authority = OwnerAuthority{};
  authority.now = this->clock.Now();
  authority.document = this->loadedDocument.document;
  authority.documentConfirmedAt = this->documentConfirmedAt;
  const auto ownershipVerified =
    !aOwned.releasing && aOwned.verifiedTerm == this->lease.Term();
  authority.leaseEnd = ownershipVerified ? this->lease.End() : Time{};
  const auto outageAllowance =
    this->loadedDocument.document
      ? this->loadedDocument.document->storeOutageAllowance
      : Millis{ 0 };
  // The next owner waits for the worker lease that the shard's row states, so
  // an allowance that grew since the takeover must not stretch it.
  const auto maxAllowance = aOwned.claim.maxWorkerLease - kWorkerLease;
  authority.workerRenewalEnd =
    ownershipVerified ? this->lease.End() +
                          std::clamp(outageAllowance, Millis{ 0 }, maxAllowance)
                      : Time{};
  return authority;
}

auto
ControlPlane::TotalEventCounts() const -> const ShardEventCounts&
{
  return this->totalEventCounts;
}

// Adds the shard's events since the last call to the metrics and the totals.
auto
ControlPlane::AddEventCounts(OwnedShard& aOwned) -> void
{
  const auto& counts = aOwned.shard->EventCounts();
  this->metrics.AddShardEventCounts(aOwned.reportedCounts, counts);
  for (auto index = std::size_t{ 0 }; index < counts.size(); ++index) {
    this->totalEventCounts[index] +=
      counts[index] - aOwned.reportedCounts[index];
  }
  aOwned.reportedCounts = counts;
}

auto
ControlPlane::ReportMetrics() -> void
{
  auto phases = std::array<std::size_t,
                           static_cast<std::size_t>(TaskPhase::TaskPhase_NB)>{};
  for (auto& [number, owned] : this->ownedShards) {
    this->AddEventCounts(owned);
    for (const auto& [id, task] : owned.shard->Journal().Tasks()) {
      ++phases[static_cast<std::size_t>(task.phase)];
    }
  }
  for (auto index = std::size_t{ 0 }; index < phases.size(); ++index) {
    this->metrics.SetTaskCount(static_cast<TaskPhase>(index), phases[index]);
  }
  this->metrics.SetOwnedShards(this->ownedShards.size());
  this->metrics.SetLiveMembers(this->membership.Live(this->clock.Now()).size());
}

} // namespace gooseberry
