#include "control.h"

#include <thread>

#include "log.h"

namespace gooseberry {

namespace {

constexpr Millis kTickInterval{ 50 };
constexpr Millis kReportInterval{ 1000 };

constexpr std::uint64_t kIdRange = 1000000;

} // namespace

Control::Control(const Settings& aSettings,
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
  , documents(aPlatform.table)
  , shards(aPlatform.table, aPlatform.objects)
  , random(aSeed)
  , peers(aPeers)
  , executor(aExecutor)
{
  this->self.text = this->NewName();
  this->own.id = this->self;
  this->own.domain = aSettings.domain;
  this->own.adminAddress = aSettings.admin.address;
  this->own.peerAddress = aPeers == nullptr ? "" : aSettings.peers.address;
  this->identity.Set(std::make_shared<MemberRow>(this->own));
  this->routes.Set(std::make_shared<RouteTable>());
  this->current.Set(std::make_shared<LoadedDocument>());
}

auto
Control::Start() -> void
{
  this->executor.Start(kTickInterval, [this] { this->Tick(); });
}

auto
Control::Leave(Millis aTimeout) -> void
{
  this->executor.Post([this] { this->leaving = true; });
  const auto deadline = this->clock.Now() + aTimeout;
  while (this->clock.Now() < deadline) {
    const auto remaining =
      this->executor.Ask([this] { return this->held.size(); });
    if (remaining == 0) {
      break;
    }
    std::this_thread::sleep_for(kTickInterval);
  }
  // A renewal under way could change the row's version while it is removed.
  this->executor.Post([this] { this->renewalsEnded = true; });
  while (this->clock.Now() < deadline &&
         this->executor.Ask([this] { return this->renewing; })) {
    std::this_thread::sleep_for(kTickInterval);
  }
  const auto version =
    this->executor.Ask([this] { return this->memberVersion; });
  if (version != 0) {
    this->platform.table.Commit(
      { { { MemberKey(this->Self()), version } },
        { { MemberKey(this->Self()), std::nullopt } } });
  }
}

auto
Control::Stop() -> void
{
  this->executor.Stop();
}

auto
Control::Routes() const -> std::shared_ptr<const RouteTable>
{
  return this->routes.Get();
}

auto
Control::CurrentDocument() const -> std::shared_ptr<const LoadedDocument>
{
  return this->current.Get();
}

auto
Control::Ready() const -> bool
{
  return this->hasDocument;
}

auto
Control::Self() const -> InstanceId
{
  return this->identity.Get()->id;
}

auto
Control::ShardCount() const -> ShardNumber
{
  return this->shardCount;
}

auto
Control::Members() -> std::vector<MemberRow>
{
  return this->executor.Ask(
    [this] { return this->membership.Live(this->clock.Now()); });
}

auto
Control::Workers() -> std::vector<WorkerStatus>
{
  return this->executor.Ask([this] {
    const auto now = this->clock.Now();
    auto statuses = std::vector<WorkerStatus>{};
    for (const auto& [number, owned] : this->held) {
      for (const auto& [id, view] : owned.shard->Workers()) {
        statuses.push_back({ id,
                             view.info.domain,
                             number,
                             view.reconciled && now <= view.leaseEnd,
                             view.Quarantined(now),
                             view.info.capacity,
                             view.reserved });
      }
    }
    return statuses;
  });
}

auto
Control::Explain(const TaskId& aTask) -> Explanation
{
  return this->executor.Ask([this, aTask] {
    for (const auto& [number, owned] : this->held) {
      const auto* task = owned.shard->Records().Find(aTask);
      if (task != nullptr && task->phase != TaskPhase::Moved) {
        return Explanation{ true, owned.shard->Explain(aTask) };
      }
    }
    return Explanation{};
  });
}

auto
Control::OnDocumentHint(std::uint64_t aNumber) -> void
{
  this->executor.Post([this, aNumber] {
    const auto known =
      this->loaded.document ? this->loaded.document->number : 0;
    if (aNumber > known) {
      this->nextDocument = {};
    }
  });
}

auto
Control::NewName() -> std::string
{
  return this->settings.instance + "." +
         std::to_string(this->random() % kIdRange);
}

// Does everything that is due. Calls to the platform run off the loop, so that
// a slow reply does not delay the renewal of a lease.
auto
Control::Tick() -> void
{
  const auto now = this->clock.Now();
  this->FixShardCount();
  this->RenewMembership();
  this->ReadMembers();
  this->PollDocument();
  this->PollInstances();
  if (now >= this->nextBalance) {
    this->nextBalance = now + kMemberRenewInterval / 4;
    this->BalanceShards();
    this->DropLapsedMembers();
  }
  for (auto& [number, owned] : this->held) {
    this->RunShard(number, owned);
  }
  for (auto owned = this->held.begin(); owned != this->held.end();) {
    if (!owned->second.released) {
      ++owned;
      continue;
    }
    this->AddCounts(owned->second);
    owned = this->held.erase(owned);
  }
  if (now >= this->nextReport) {
    this->nextReport = now + kReportInterval;
    this->ReportMetrics();
  }
}

auto
Control::MayAct(const Held& aOwned) const -> Authority
{
  auto authority = Authority{};
  authority.now = this->clock.Now();
  authority.document = this->loaded.document;
  authority.documentConfirmed = this->documentConfirmed;
  const auto ownershipVerified =
    !aOwned.releasing && aOwned.verifiedTerm == this->lease.Term();
  authority.leaseEnd = ownershipVerified ? this->lease.End() : Time{};
  const auto outageAllowance = this->loaded.document
                                 ? this->loaded.document->outageAllowance
                                 : Millis{ 0 };
  // The next owner waits for the worker lease that the shard's row states, so
  // an allowance that grew since the takeover must not stretch it.
  const auto maxAllowance = aOwned.claim.ownLapse - kWorkerLease;
  authority.grantEnd =
    ownershipVerified ? this->lease.End() +
                          std::clamp(outageAllowance, Millis{ 0 }, maxAllowance)
                      : Time{};
  return authority;
}

auto
Control::TotalCounts() const -> const ShardCounts&
{
  return this->totalCounts;
}

// Adds the shard's events since the last call to the metrics and the totals.
auto
Control::AddCounts(Held& aOwned) -> void
{
  const auto& counts = aOwned.shard->Counts();
  this->metrics.AddShardCounts(aOwned.counted, counts);
  for (auto index = std::size_t{ 0 }; index < counts.size(); ++index) {
    this->totalCounts[index] += counts[index] - aOwned.counted[index];
  }
  aOwned.counted = counts;
}

auto
Control::ReportMetrics() -> void
{
  auto phases = std::array<std::size_t,
                           static_cast<std::size_t>(TaskPhase::TaskPhase_NB)>{};
  for (auto& [number, owned] : this->held) {
    this->AddCounts(owned);
    for (const auto& [id, task] : owned.shard->Records().Tasks()) {
      ++phases[static_cast<std::size_t>(task.phase)];
    }
  }
  for (auto index = std::size_t{ 0 }; index < phases.size(); ++index) {
    this->metrics.SetTasks(static_cast<TaskPhase>(index), phases[index]);
  }
  this->metrics.SetShards(this->held.size());
  this->metrics.SetMembers(this->membership.Live(this->clock.Now()).size());
}

} // namespace gooseberry
