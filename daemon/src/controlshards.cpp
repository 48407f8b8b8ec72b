// Part of ControlPlane that takes over, runs and releases shards.

#include <algorithm>

#include "control.h"
#include "log.h"

namespace gooseberry {

auto
Control::FixShardCount() -> void
{
  if (this->shardCount != 0 || this->fixingShards) {
    return;
  }
  this->fixingShards = true;
  const auto wanted = static_cast<ShardNumber>(this->settings.shards);
  this->executor.Call(
    [this, wanted] { return this->shards.FixShardCount(wanted); },
    [this](const std::optional<ShardNumber>& aCount) {
      this->fixingShards = false;
      if (aCount) {
        this->shardCount = *aCount;
      }
    });
}

// Takes over the shards that are assigned to this instance and releases the
// others. A takeover writes into the shard's row how long workers may obey this
// owner after its last renewal. That time depends on the document's store
// outage allowance, so takeovers wait for the first document.
auto
Control::BalanceShards() -> void
{
  const auto now = this->clock.Now();
  if (this->shardCount == 0 || !this->membership.Known() ||
      !this->loaded.document || this->loaded.document->number == 0 ||
      !this->lease.Holds(now)) {
    return;
  }
  // The own renewals are more recent than the own row as last read: in an
  // outage of the store the row looks lapsed some seconds before the lease
  // ends.
  auto live = this->membership.Live(now);
  if (std::none_of(live.begin(), live.end(), [this](const MemberRow& aRow) {
        return aRow.id == this->self;
      })) {
    live.push_back(this->own);
  }
  this->owners = AssignShards(this->shardCount, live);
  for (auto shard = ShardNumber{ 0 }; shard < this->shardCount; ++shard) {
    const auto assigned = this->owners[shard] == this->self && !this->leaving;
    const auto owned = this->held.find(shard);
    if (owned == this->held.end()) {
      if (assigned && !this->taking[shard]) {
        this->TakeShard(shard);
      }
    } else if (!assigned && !owned->second.releasing) {
      owned->second.releasing = true;
    }
  }
  this->DropStrays();
}

auto
Control::DropStrays() -> void
{
  const auto now = this->clock.Now();
  if (now < this->nextStrays) {
    return;
  }
  this->nextStrays = now + kVerifyInterval;
  for (const auto& [number, attemptedEpoch] : this->strays) {
    const auto shard = number;
    if (this->held.contains(shard) || this->taking[shard] ||
        this->owners[shard] == this->self) {
      continue;
    }
    this->executor.Call(
      [this, shard, id = this->self, epoch = attemptedEpoch] {
        return this->shards.ReleaseStray(shard, id, epoch);
      },
      [this, shard](bool aSettled) {
        if (aSettled && !this->taking[shard]) {
          this->strays.erase(shard);
        }
      });
  }
}

auto
Control::TakeShard(ShardNumber aShard) -> void
{
  struct LoadedTakeover
  {
    std::optional<Claim> claim;
    std::uint64_t triedEpoch = 0;
    // Term of the own lease when the takeover began.
    std::uint64_t term = 0;
    std::optional<StoredShard> stored;
    std::string reason;
  };
  this->taking[aShard] = true;
  const auto maxWorkerLease =
    kWorkerLease + this->loaded.document->outageAllowance;
  const auto lapsedCounter = [this](const InstanceId& aOwner) {
    return this->executor.Ask([this, aOwner] {
      return this->membership.LapsedCounter(aOwner, this->clock.Now());
    });
  };
  const auto ownId = this->self;
  this->executor.Call(
    [this,
     aShard,
     ownId,
     maxWorkerLease,
     lapsedCounter,
     term = this->lease.Term()] {
      auto taken = LoadedTakeover{};
      taken.term = term;
      const auto result =
        this->shards.TakeOver(aShard, ownId, maxWorkerLease, lapsedCounter);
      taken.claim = result.claim;
      taken.triedEpoch = result.triedEpoch;
      if (taken.claim) {
        taken.stored = this->shards.Load(aShard, taken.reason);
      }
      return taken;
    },
    [this, aShard, ownId](const LoadedTakeover& aTaken) {
      this->taking[aShard] = false;
      if (aTaken.triedEpoch != 0) {
        this->strays[aShard] = aTaken.triedEpoch;
      }
      if (aTaken.claim) {
        this->metrics.CountStoreCall(StoreCall::Takeover, true);
        this->metrics.CountStoreCall(StoreCall::Load,
                                     aTaken.stored.has_value());
      }
      if (!aTaken.claim || !aTaken.stored || this->self != ownId) {
        if (!aTaken.reason.empty()) {
          LogWarn("shard_unreadable",
                  { { "shard", std::to_string(aShard) },
                    { "reason", aTaken.reason } });
        }
        return;
      }
      this->strays.erase(aShard);
      auto& owned = this->held[aShard];
      owned.claim = *aTaken.claim;
      owned.verifiedTerm = aTaken.term;
      owned.snapshotSequence = aTaken.stored->snapshotSequence;
      owned.snapshotGeneration = aTaken.stored->snapshotGeneration;
      auto takeover = Takeover{};
      takeover.shard = aShard;
      takeover.shardCount = this->shardCount;
      takeover.owner = this->self;
      takeover.epoch = aTaken.claim->epoch;
      takeover.sequence = aTaken.stored->sequence;
      takeover.now = this->clock.Now();
      takeover.workersLapseAfter = aTaken.claim->previousLapse;
      takeover.policy = this->settings.placement;
      takeover.tasks = aTaken.stored->tasks;
      owned.shard = std::make_unique<Shard>(std::move(takeover));
      this->GiveWorkers(owned, aShard);
      LogInfo("shard_taken",
              { { "shard", std::to_string(aShard) },
                { "epoch", std::to_string(owned.claim.epoch) },
                { "tasks", std::to_string(aTaken.stored->tasks.size()) } });
    });
}

auto
Control::RunShard(ShardNumber aShard, Held& aOwned) -> void
{
  if (aOwned.shard->Records().Fenced()) {
    aOwned.released = !aOwned.appending && !aOwned.snapshotting;
    return;
  }
  const auto authority = this->MayAct(aOwned);
  if (aOwned.releasing) {
    this->ReleaseShard(aShard, aOwned);
  } else {
    aOwned.shard->OnTick(authority);
    this->AbsorbInbox(aShard, aOwned);
  }
  this->VerifyOwnership(aShard, aOwned);
  this->AppendNext(aShard, aOwned);
  this->SyncWorkers(aShard, aOwned);
  this->SnapshotIfDue(aShard, aOwned);
}

// After the own lease had lapsed, the owner does nothing for a shard until the
// shard's row, read under the new lease, still has its epoch. A takeover that
// another instance commits after that read fails: it depends on the own member
// row as it was before the renewal.
auto
Control::VerifyOwnership(ShardNumber aShard, Held& aOwned) -> void
{
  const auto now = this->clock.Now();
  const auto term = this->lease.Term();
  const auto due = now >= aOwned.nextVerify || aOwned.verifiedTerm != term;
  if (aOwned.verifying || !due || !this->lease.Holds(now)) {
    return;
  }
  aOwned.verifying = true;
  aOwned.nextVerify = now + kVerifyInterval;
  this->executor.Call(
    [this, aShard] { return this->shards.ReadRow(aShard); },
    [this, aShard, term, epoch = aOwned.claim.epoch](
      const std::optional<ShardRow>& aRow) {
      auto* owned = this->FindHeld(aShard, epoch);
      if (owned == nullptr) {
        return;
      }
      owned->verifying = false;
      if (aRow && aRow->epoch != epoch) {
        LogWarn("shard_fenced", { { "shard", std::to_string(aShard) } });
        owned->shard->OnFenced();
      } else if (aRow) {
        owned->verifiedTerm = term;
      }
    });
}

// Waits until all staged changes are recorded, then marks the shard's row as
// released: this owner then renews no worker lease any more.
auto
Control::ReleaseShard(ShardNumber aShard, Held& aOwned) -> void
{
  const auto idle = !aOwned.appending && !aOwned.snapshotting &&
                    aOwned.shard->Records().Waiting() == 0;
  if (!idle) {
    return;
  }
  aOwned.appending = true;
  const auto now = this->clock.Now();
  auto maxWorkerLease = kWorkerLease;
  for (const auto& [id, view] : aOwned.shard->Workers()) {
    maxWorkerLease = std::max(maxWorkerLease, ToMillis(view.leaseEnd - now));
  }
  this->executor.Call(
    [this, aShard, claim = aOwned.claim, ownId = this->self, maxWorkerLease] {
      return this->shards.Release(aShard, claim, ownId, maxWorkerLease);
    },
    [this, aShard, epoch = aOwned.claim.epoch](bool aReleased) {
      auto* owned = this->FindHeld(aShard, epoch);
      if (owned == nullptr) {
        return;
      }
      owned->appending = false;
      if (aReleased) {
        owned->released = true;
        owned->shard->OnFenced();
        LogInfo("shard_released", { { "shard", std::to_string(aShard) } });
      }
    });
}

auto
Control::AppendNext(ShardNumber aShard, Held& aOwned) -> void
{
  const auto now = this->clock.Now();
  if (aOwned.appending || !this->lease.Holds(now) || now < aOwned.nextAppend) {
    return;
  }
  const auto entry = aOwned.shard->NextEntry(now);
  if (!entry) {
    return;
  }
  aOwned.appending = true;
  auto inboxKeys = std::exchange(aOwned.absorbed, {});
  this->executor.Call(
    [this, aShard, claim = aOwned.claim, entry = *entry, inboxKeys] {
      return this->shards.Append(aShard, claim, entry, inboxKeys);
    },
    [this, aShard, epoch = aOwned.claim.epoch](AppendOutcome aOutcome) {
      auto* owned = this->FindHeld(aShard, epoch);
      if (owned != nullptr) {
        owned->appending = false;
        this->OnAppended(aShard, aOutcome);
      }
    });
}

auto
Control::OnAppended(ShardNumber aShard, AppendOutcome aOutcome) -> void
{
  constexpr Millis kAppendRetryDelay{ 200 };
  auto& owned = this->held.at(aShard);
  this->metrics.CountStoreCall(StoreCall::Append,
                               aOutcome == AppendOutcome::Recorded);
  switch (aOutcome) {
    case AppendOutcome::Recorded:
      for (const auto& task : owned.shard->Records().InFlight()->changed) {
        if (HoldsRoom(task.phase)) {
          owned.nextSync[task.worker] = {};
        }
      }
      this->NotifyTargets(*owned.shard->Records().InFlight());
      owned.shard->OnRecorded(this->clock.Now());
      this->SettleAbsorbed(owned);
      return;
    case AppendOutcome::Retry:
      owned.nextAppend = this->clock.Now() + kAppendRetryDelay;
      return;
    case AppendOutcome::Fenced:
      LogWarn("shard_fenced", { { "shard", std::to_string(aShard) } });
      owned.shard->OnFenced();
      return;
  }
}

auto
Control::NotifyTargets(const JournalEntry& aEntry) -> void
{
  auto targets = std::set<ShardNumber>{};
  for (const auto& transfer : aEntry.transfers) {
    targets.insert(transfer.target);
  }
  if (!targets.empty()) {
    this->NotifyInboxes(targets);
  }
}

auto
Control::AbsorbInbox(ShardNumber aShard, Held& aOwned) -> void
{
  const auto now = this->clock.Now();
  if (aOwned.readingInbox || now < aOwned.nextInbox ||
      !this->lease.Holds(now)) {
    return;
  }
  aOwned.readingInbox = true;
  aOwned.nextInbox =
    now + (this->peers == nullptr ? kInboxInterval : kLinkedInboxInterval);
  const auto inboxKeys = std::exchange(aOwned.absorbed, {});
  this->executor.Call(
    [this, aShard, inboxKeys] {
      if (!inboxKeys.empty()) {
        this->shards.DropInbox(inboxKeys);
      }
      return this->shards.ReadInbox(aShard);
    },
    [this, aShard, epoch = aOwned.claim.epoch](
      const std::optional<std::vector<InboxItem>>& aItems) {
      auto* owned = this->FindHeld(aShard, epoch);
      this->metrics.CountStoreCall(StoreCall::Inbox, aItems.has_value());
      if (owned == nullptr) {
        return;
      }
      owned->readingInbox = false;
      if (aItems) {
        this->OnInbox(*owned, *aItems);
      }
    });
}

auto
Control::OnInbox(Held& aOwned, const std::vector<InboxItem>& aItems) -> void
{
  const auto now = this->clock.Now();
  for (const auto& inbox : aItems) {
    aOwned.absorbing[inbox.key] = inbox;
    switch (inbox.kind) {
      case InboxKind::Task:
        aOwned.shard->OnSubmit(now, inbox.task);
        break;
      case InboxKind::Cancel:
        aOwned.shard->OnCancel(now, inbox.task.id);
        break;
      case InboxKind::Retry:
        aOwned.shard->OnRetry(now, inbox.task.id);
        break;
    }
  }
  this->SettleAbsorbed(aOwned);
}

// Marks inbox rows whose effect is recorded for removal; no row is removed
// earlier. A cancellation or retry of a task that moved to another shard is
// forwarded to that shard's inbox.
auto
Control::SettleAbsorbed(Held& aOwned) -> void
{
  for (auto row = aOwned.absorbing.begin(); row != aOwned.absorbing.end();) {
    const auto& inbox = row->second;
    const auto& records = aOwned.shard->Records();
    const auto* task = records.Find(inbox.task.id);
    auto settled = task != nullptr && !records.Busy(inbox.task.id);
    if (settled && inbox.kind != InboxKind::Task) {
      settled =
        inbox.kind == InboxKind::Cancel
          ? IsFinal(task->phase) || task->cancelAsked
          : task->phase != TaskPhase::Lost && task->phase != TaskPhase::Parked;
      if (task->phase == TaskPhase::Moved) {
        this->executor.Call(
          [this,
           id = task->id,
           target = task->movedTo,
           kind = inbox.kind,
           key = inbox.key] {
            return this->shards.SubmitOrder(kind, id, target) &&
                   this->shards.DropInbox({ key });
          },
          [](bool /*aForwarded*/) {});
        row = aOwned.absorbing.erase(row);
        continue;
      }
    } else if (settled) {
      settled = task->moves >= inbox.task.moves;
    }
    if (!settled) {
      ++row;
      continue;
    }
    aOwned.absorbed.push_back(inbox.key);
    row = aOwned.absorbing.erase(row);
  }
}

auto
Control::SyncWorkers(ShardNumber aShard, Held& aOwned) -> void
{
  const auto authority = this->MayAct(aOwned);
  for (const auto& [id, view] : aOwned.shard->Workers()) {
    if (aOwned.syncing[id] || authority.now < aOwned.nextSync[id] ||
        view.info.address.empty()) {
      continue;
    }
    const auto request = aOwned.shard->NextSync(authority, id);
    if (!request) {
      continue;
    }
    aOwned.syncing[id] = true;
    aOwned.nextSync[id] = authority.now + kSyncInterval;
    this->executor.Call(
      [this, info = view.info, request = *request] {
        auto reason = std::string{};
        return this->platform.workers.Sync(info, request, reason);
      },
      [this, aShard, worker = id, epoch = aOwned.claim.epoch](
        const std::optional<WorkerReport>& aReport) {
        auto* owned = this->FindHeld(aShard, epoch);
        this->metrics.CountSync(aReport.has_value());
        if (owned == nullptr) {
          return;
        }
        owned->syncing[worker] = false;
        if (aReport) {
          owned->shard->OnReport(this->MayAct(*owned), worker, *aReport);
        }
      });
  }
}

auto
Control::SnapshotIfDue(ShardNumber aShard, Held& aOwned) -> void
{
  const auto& records = aOwned.shard->Records();
  if (aOwned.snapshotting || aOwned.releasing ||
      records.Sequence() < aOwned.snapshotSequence + kSnapshotEvery) {
    return;
  }
  aOwned.snapshotting = true;
  auto state = StoredShard{};
  state.sequence = records.Sequence();
  state.snapshotGeneration = aOwned.snapshotGeneration;
  state.tasks = records.Tasks();
  this->executor.Call(
    [this, aShard, claim = aOwned.claim, state] {
      return this->shards.WriteSnapshot(aShard, claim, state);
    },
    [this, aShard, epoch = aOwned.claim.epoch, sequence = state.sequence](
      const std::optional<std::uint64_t>& aGeneration) {
      auto* owned = this->FindHeld(aShard, epoch);
      this->metrics.CountStoreCall(StoreCall::Snapshot,
                                   aGeneration.has_value());
      if (owned == nullptr) {
        return;
      }
      owned->snapshotting = false;
      if (aGeneration) {
        owned->snapshotGeneration = *aGeneration;
        owned->snapshotSequence = sequence;
      }
    });
}

auto
Control::FindHeld(ShardNumber aShard, std::uint64_t aEpoch) -> Held*
{
  const auto found = this->held.find(aShard);
  if (found == this->held.end() || found->second.claim.epoch != aEpoch) {
    return nullptr;
  }
  return &found->second;
}

} // namespace gooseberry
