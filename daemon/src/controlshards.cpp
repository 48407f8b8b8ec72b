// Part of ControlPlane that takes over, runs and releases shards.

#include <algorithm>

#include "controlplane.h"
#include "log.h"

namespace gooseberry {

auto
ControlPlane::EstablishShardCount() -> void
{
  if (this->shardCount != 0 || this->shardCountCallInFlight) {
    return;
  }
  this->shardCountCallInFlight = true;
  const auto wanted = static_cast<ShardNumber>(this->settings.shardCount);
  this->executor.CallBlocking(
    [this, wanted] { return this->shardStore.EstablishShardCount(wanted); },
    [this](const std::optional<ShardNumber>& aCount) {
      this->shardCountCallInFlight = false;
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
ControlPlane::BalanceShards() -> void
{
  const auto now = this->clock.Now();
  if (this->shardCount == 0 || !this->membership.HasRows() ||
      !this->loadedDocument.document ||
      this->loadedDocument.document->number == 0 || !this->lease.IsValid(now)) {
    return;
  }
  // The own renewals are more recent than the own row as last read: in an
  // outage of the store the row looks lapsed some seconds before the lease
  // ends.
  auto live = this->membership.Live(now);
  if (std::none_of(live.begin(), live.end(), [this](const MemberRow& aRow) {
        return aRow.id == this->ownId;
      })) {
    live.push_back(this->ownRow);
  }
  this->shardOwners = AssignShards(this->shardCount, live);
  for (auto shard = ShardNumber{ 0 }; shard < this->shardCount; ++shard) {
    const auto assigned =
      this->shardOwners[shard] == this->ownId && !this->leaving;
    const auto owned = this->ownedShards.find(shard);
    if (owned == this->ownedShards.end()) {
      if (assigned && !this->takeoverInFlight[shard]) {
        this->TakeOverShard(shard);
      }
    } else if (!assigned && !owned->second.releasing) {
      owned->second.releasing = true;
    }
  }
  this->ReleaseUnsettledShards();
}

auto
ControlPlane::ReleaseUnsettledShards() -> void
{
  const auto now = this->clock.Now();
  if (now < this->nextUnsettledCheck) {
    return;
  }
  this->nextUnsettledCheck = now + kOwnershipCheckInterval;
  for (const auto& [number, attemptedEpoch] : this->unsettledEpochs) {
    const auto shard = number;
    if (this->ownedShards.contains(shard) || this->takeoverInFlight[shard] ||
        this->shardOwners[shard] == this->ownId) {
      continue;
    }
    this->executor.CallBlocking(
      [this, shard, id = this->ownId, epoch = attemptedEpoch] {
        return this->shardStore.ReleaseUnsettled(shard, id, epoch);
      },
      [this, shard](bool aSettled) {
        if (aSettled && !this->takeoverInFlight[shard]) {
          this->unsettledEpochs.erase(shard);
        }
      });
  }
}

auto
ControlPlane::TakeOverShard(ShardNumber aShard) -> void
{
  struct LoadedTakeover
  {
    std::optional<ShardClaim> claim;
    std::uint64_t triedEpoch = 0;
    // Term of the own lease when the takeover began.
    std::uint64_t term = 0;
    std::optional<StoredShard> stored;
    std::string reason;
  };
  this->takeoverInFlight[aShard] = true;
  const auto maxWorkerLease =
    kWorkerLease + this->loadedDocument.document->storeOutageAllowance;
  const auto lapsedCounter = [this](const InstanceId& aOwner) {
    return this->executor.QueryLoop([this, aOwner] {
      return this->membership.LapsedCounter(aOwner, this->clock.Now());
    });
  };
  const auto ownId = this->ownId;
  this->executor.CallBlocking(
    [this,
     aShard,
     ownId,
     maxWorkerLease,
     lapsedCounter,
     term = this->lease.Term()] {
      auto taken = LoadedTakeover{};
      taken.term = term;
      const auto result =
        this->shardStore.TakeOver(aShard, ownId, maxWorkerLease, lapsedCounter);
      taken.claim = result.claim;
      taken.triedEpoch = result.attemptedEpoch;
      if (taken.claim) {
        taken.stored = this->shardStore.LoadShard(aShard, taken.reason);
      }
      return taken;
    },
    [this, aShard, ownId](const LoadedTakeover& aTaken) {
      this->takeoverInFlight[aShard] = false;
      if (aTaken.triedEpoch != 0) {
        this->unsettledEpochs[aShard] = aTaken.triedEpoch;
      }
      if (aTaken.claim) {
        this->metrics.CountStoreCall(StoreCall::Takeover, true);
        this->metrics.CountStoreCall(StoreCall::Load,
                                     aTaken.stored.has_value());
      }
      if (!aTaken.claim || !aTaken.stored || this->ownId != ownId) {
        if (!aTaken.reason.empty()) {
          LogWarn("shard_unreadable",
                  { { "shard", std::to_string(aShard) },
                    { "reason", aTaken.reason } });
        }
        return;
      }
      this->unsettledEpochs.erase(aShard);
      auto& owned = this->ownedShards[aShard];
      owned.claim = *aTaken.claim;
      owned.verifiedTerm = aTaken.term;
      owned.snapshotSequence = aTaken.stored->snapshotSequence;
      owned.snapshotGeneration = aTaken.stored->snapshotGeneration;
      auto takeover = ShardTakeover{};
      takeover.shard = aShard;
      takeover.shardCount = this->shardCount;
      takeover.owner = this->ownId;
      takeover.epoch = aTaken.claim->epoch;
      takeover.sequence = aTaken.stored->sequence;
      takeover.now = this->clock.Now();
      takeover.maxWorkerLeaseLeft = aTaken.claim->maxPreviousWorkerLease;
      takeover.policy = this->settings.placement;
      takeover.tasks = aTaken.stored->tasks;
      owned.shard = std::make_unique<Shard>(std::move(takeover));
      this->UpdateShardWorkers(owned, aShard);
      LogInfo("shard_taken",
              { { "shard", std::to_string(aShard) },
                { "epoch", std::to_string(owned.claim.epoch) },
                { "tasks", std::to_string(aTaken.stored->tasks.size()) } });
    });
}

auto
ControlPlane::RunShardTick(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  if (aOwned.shard->Journal().Fenced()) {
    aOwned.removable =
      !aOwned.appendOrReleaseInFlight && !aOwned.snapshotInFlight;
    return;
  }
  const auto authority = this->AuthorityFor(aOwned);
  if (aOwned.releasing) {
    this->ReleaseShard(aShard, aOwned);
  } else {
    aOwned.shard->OnTick(authority);
    this->PollInbox(aShard, aOwned);
  }
  this->VerifyOwnership(aShard, aOwned);
  this->AppendNextEntry(aShard, aOwned);
  this->SyncWorkers(aShard, aOwned);
  this->SnapshotIfDue(aShard, aOwned);
}

// After the own lease had lapsed, the owner does nothing for a shard until the
// shard's row, read under the new lease, still has its epoch. A takeover that
// another instance commits after that read fails: it depends on the own member
// row as it was before the renewal.
auto
ControlPlane::VerifyOwnership(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  const auto now = this->clock.Now();
  const auto term = this->lease.Term();
  const auto due =
    now >= aOwned.nextOwnershipCheck || aOwned.verifiedTerm != term;
  if (aOwned.ownershipCheckInFlight || !due || !this->lease.IsValid(now)) {
    return;
  }
  aOwned.ownershipCheckInFlight = true;
  aOwned.nextOwnershipCheck = now + kOwnershipCheckInterval;
  this->executor.CallBlocking(
    [this, aShard] { return this->shardStore.ReadRow(aShard); },
    [this, aShard, term, epoch = aOwned.claim.epoch](
      const std::optional<ShardRow>& aRow) {
      auto* owned = this->FindOwnedShard(aShard, epoch);
      if (owned == nullptr) {
        return;
      }
      owned->ownershipCheckInFlight = false;
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
ControlPlane::ReleaseShard(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  const auto idle = !aOwned.appendOrReleaseInFlight &&
                    !aOwned.snapshotInFlight &&
                    aOwned.shard->Journal().StagedCount() == 0;
  if (!idle) {
    return;
  }
  aOwned.appendOrReleaseInFlight = true;
  const auto now = this->clock.Now();
  auto maxWorkerLease = kWorkerLease;
  for (const auto& [id, view] : aOwned.shard->Workers()) {
    maxWorkerLease = std::max(maxWorkerLease, ToMillis(view.leaseEnd - now));
  }
  this->executor.CallBlocking(
    [this, aShard, claim = aOwned.claim, ownId = this->ownId, maxWorkerLease] {
      return this->shardStore.Release(aShard, claim, ownId, maxWorkerLease);
    },
    [this, aShard, epoch = aOwned.claim.epoch](bool aReleased) {
      auto* owned = this->FindOwnedShard(aShard, epoch);
      if (owned == nullptr) {
        return;
      }
      owned->appendOrReleaseInFlight = false;
      if (aReleased) {
        owned->removable = true;
        owned->shard->OnFenced();
        LogInfo("shard_released", { { "shard", std::to_string(aShard) } });
      }
    });
}

auto
ControlPlane::AppendNextEntry(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  const auto now = this->clock.Now();
  if (aOwned.appendOrReleaseInFlight || !this->lease.IsValid(now) ||
      now < aOwned.nextAppend) {
    return;
  }
  const auto entry = aOwned.shard->NextEntry(now);
  if (!entry) {
    return;
  }
  aOwned.appendOrReleaseInFlight = true;
  auto inboxKeys = std::exchange(aOwned.recordedInboxKeys, {});
  this->executor.CallBlocking(
    [this, aShard, claim = aOwned.claim, entry = *entry, inboxKeys] {
      return this->shardStore.AppendEntry(aShard, claim, entry, inboxKeys);
    },
    [this, aShard, epoch = aOwned.claim.epoch](AppendOutcome aOutcome) {
      auto* owned = this->FindOwnedShard(aShard, epoch);
      if (owned != nullptr) {
        owned->appendOrReleaseInFlight = false;
        this->OnAppendDone(aShard, aOutcome);
      }
    });
}

auto
ControlPlane::OnAppendDone(ShardNumber aShard, AppendOutcome aOutcome) -> void
{
  constexpr Millis kAppendRetryDelay{ 200 };
  auto& owned = this->ownedShards.at(aShard);
  this->metrics.CountStoreCall(StoreCall::Append,
                               aOutcome == AppendOutcome::Recorded);
  switch (aOutcome) {
    case AppendOutcome::Recorded:
      for (const auto& task : owned.shard->Journal().InFlight()->changed) {
        if (OccupiesWorker(task.phase)) {
          owned.nextSync[task.worker] = {};
        }
      }
      this->NotifyTransferTargets(*owned.shard->Journal().InFlight());
      owned.shard->OnEntryRecorded(this->clock.Now());
      this->CollectRecordedInboxRows(owned);
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
ControlPlane::NotifyTransferTargets(const JournalEntry& aEntry) -> void
{
  auto targets = std::set<ShardNumber>{};
  for (const auto& transfer : aEntry.transfers) {
    targets.insert(transfer.target);
  }
  if (!targets.empty()) {
    this->NotifyInboxOwners(targets);
  }
}

auto
ControlPlane::PollInbox(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  const auto now = this->clock.Now();
  if (aOwned.inboxReadInFlight || now < aOwned.nextInboxRead ||
      !this->lease.IsValid(now)) {
    return;
  }
  aOwned.inboxReadInFlight = true;
  aOwned.nextInboxRead =
    now + (this->hintSender == nullptr ? kInboxPollInterval
                                       : kInboxPollIntervalWithPeers);
  const auto inboxKeys = std::exchange(aOwned.recordedInboxKeys, {});
  this->executor.CallBlocking(
    [this, aShard, inboxKeys] {
      if (!inboxKeys.empty()) {
        this->shardStore.RemoveInboxRows(inboxKeys);
      }
      return this->shardStore.ReadInbox(aShard);
    },
    [this, aShard, epoch = aOwned.claim.epoch](
      const std::optional<std::vector<InboxItem>>& aItems) {
      auto* owned = this->FindOwnedShard(aShard, epoch);
      this->metrics.CountStoreCall(StoreCall::Inbox, aItems.has_value());
      if (owned == nullptr) {
        return;
      }
      owned->inboxReadInFlight = false;
      if (aItems) {
        this->OnInboxRead(*owned, *aItems);
      }
    });
}

auto
ControlPlane::OnInboxRead(OwnedShard& aOwned,
                          const std::vector<InboxItem>& aItems) -> void
{
  const auto now = this->clock.Now();
  for (const auto& inbox : aItems) {
    aOwned.pendingInboxRows[inbox.key] = inbox;
    switch (inbox.kind) {
      case InboxItemKind::Task:
        aOwned.shard->OnSubmit(now, inbox.task);
        break;
      case InboxItemKind::Cancel:
        aOwned.shard->OnCancel(now, inbox.task.id);
        break;
      case InboxItemKind::Retry:
        aOwned.shard->OnRetry(now, inbox.task.id);
        break;
    }
  }
  this->CollectRecordedInboxRows(aOwned);
}

// Marks inbox rows whose effect is recorded for removal; no row is removed
// earlier. A cancellation or retry of a task that moved to another shard is
// forwarded to that shard's inbox.
auto
ControlPlane::CollectRecordedInboxRows(OwnedShard& aOwned) -> void
{
  for (auto row = aOwned.pendingInboxRows.begin();
       row != aOwned.pendingInboxRows.end();) {
    const auto& inbox = row->second;
    const auto& records = aOwned.shard->Journal();
    const auto* task = records.Find(inbox.task.id);
    auto settled = task != nullptr && !records.HasPendingChange(inbox.task.id);
    if (settled && inbox.kind != InboxItemKind::Task) {
      settled =
        inbox.kind == InboxItemKind::Cancel
          ? IsFinal(task->phase) || task->cancelRequested
          : task->phase != TaskPhase::Lost && task->phase != TaskPhase::Parked;
      if (task->phase == TaskPhase::Moved) {
        this->executor.CallBlocking(
          [this,
           id = task->id,
           target = task->movedTo,
           kind = inbox.kind,
           key = inbox.key] {
            return this->shardStore.SubmitCommand(kind, id, target) &&
                   this->shardStore.RemoveInboxRows({ key });
          },
          [](bool /*aForwarded*/) {});
        row = aOwned.pendingInboxRows.erase(row);
        continue;
      }
    } else if (settled) {
      settled = task->moves >= inbox.task.moves;
    }
    if (!settled) {
      ++row;
      continue;
    }
    aOwned.recordedInboxKeys.push_back(inbox.key);
    row = aOwned.pendingInboxRows.erase(row);
  }
}

auto
ControlPlane::SyncWorkers(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  const auto authority = this->AuthorityFor(aOwned);
  for (const auto& [id, view] : aOwned.shard->Workers()) {
    if (aOwned.syncInFlight[id] || authority.now < aOwned.nextSync[id] ||
        view.info.address.empty()) {
      continue;
    }
    const auto request = aOwned.shard->NextSyncRequest(authority, id);
    if (!request) {
      continue;
    }
    aOwned.syncInFlight[id] = true;
    aOwned.nextSync[id] = authority.now + kWorkerSyncInterval;
    this->executor.CallBlocking(
      [this, info = view.info, request = *request] {
        auto reason = std::string{};
        return this->platform.workers.Sync(info, request, reason);
      },
      [this, aShard, worker = id, epoch = aOwned.claim.epoch](
        const std::optional<WorkerReport>& aReport) {
        auto* owned = this->FindOwnedShard(aShard, epoch);
        this->metrics.CountWorkerSync(aReport.has_value());
        if (owned == nullptr) {
          return;
        }
        owned->syncInFlight[worker] = false;
        if (aReport) {
          owned->shard->OnWorkerReport(
            this->AuthorityFor(*owned), worker, *aReport);
        }
      });
  }
}

auto
ControlPlane::SnapshotIfDue(ShardNumber aShard, OwnedShard& aOwned) -> void
{
  const auto& records = aOwned.shard->Journal();
  if (aOwned.snapshotInFlight || aOwned.releasing ||
      records.Sequence() < aOwned.snapshotSequence + kEntriesPerSnapshot) {
    return;
  }
  aOwned.snapshotInFlight = true;
  auto state = StoredShard{};
  state.sequence = records.Sequence();
  state.snapshotGeneration = aOwned.snapshotGeneration;
  state.tasks = records.Tasks();
  this->executor.CallBlocking(
    [this, aShard, claim = aOwned.claim, state] {
      return this->shardStore.WriteSnapshot(aShard, claim, state);
    },
    [this, aShard, epoch = aOwned.claim.epoch, sequence = state.sequence](
      const std::optional<std::uint64_t>& aGeneration) {
      auto* owned = this->FindOwnedShard(aShard, epoch);
      this->metrics.CountStoreCall(StoreCall::Snapshot,
                                   aGeneration.has_value());
      if (owned == nullptr) {
        return;
      }
      owned->snapshotInFlight = false;
      if (aGeneration) {
        owned->snapshotGeneration = *aGeneration;
        owned->snapshotSequence = sequence;
      }
    });
}

auto
ControlPlane::FindOwnedShard(ShardNumber aShard, std::uint64_t aEpoch)
  -> OwnedShard*
{
  const auto found = this->ownedShards.find(aShard);
  if (found == this->ownedShards.end() || found->second.claim.epoch != aEpoch) {
    return nullptr;
  }
  return &found->second;
}

} // namespace gooseberry
