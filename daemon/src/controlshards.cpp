// Part of Control that takes, runs and gives up shards.

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

// Takes the shards that fall to this instance and gives up those that do not.
// A takeover promises how long workers may obey this owner without the store,
// so it waits for the first document, which says so.
auto
Control::BalanceShards() -> void
{
  const auto now = this->clock.Now();
  if (this->shardCount == 0 || !this->membership.Known() ||
      !this->loaded.document || this->loaded.document->number == 0 ||
      !this->lease.Holds(now)) {
    return;
  }
  // The own lease is known better by its renewals than by the row as last read:
  // in an outage the row looks lapsed some seconds before the lease ends.
  auto live = this->membership.Live(now);
  if (std::none_of(live.begin(), live.end(), [this](const MemberRow& aRow) {
        return aRow.id == this->self;
      })) {
    live.push_back(this->own);
  }
  this->owners = AssignShards(this->shardCount, live);
  for (auto shard = ShardNumber{ 0 }; shard < this->shardCount; ++shard) {
    const auto mine = this->owners[shard] == this->self && !this->leaving;
    const auto item = this->held.find(shard);
    if (item == this->held.end()) {
      if (mine && !this->taking[shard]) {
        this->TakeShard(shard);
      }
    } else if (!mine && !item->second.releasing) {
      item->second.releasing = true;
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
  for (const auto& [stray, tried] : this->strays) {
    const auto shard = stray;
    if (this->held.contains(shard) || this->taking[shard] ||
        this->owners[shard] == this->self) {
      continue;
    }
    this->executor.Call(
      [this, shard, id = this->self, epoch = tried] {
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
  struct Taken
  {
    std::optional<Claim> claim;
    std::uint64_t triedEpoch = 0;
    // Term of the own lease when the takeover began.
    std::uint64_t term = 0;
    std::optional<StoredShard> stored;
    std::string reason;
  };
  this->taking[aShard] = true;
  const auto lapse = kWorkerLease + this->loaded.document->outageAllowance;
  const auto lapsed = [this](const InstanceId& aOwner) {
    return this->executor.Ask([this, aOwner] {
      return this->membership.LapsedCounter(aOwner, this->clock.Now());
    });
  };
  const auto self = this->self;
  this->executor.Call(
    [this, aShard, self, lapse, lapsed, term = this->lease.Term()] {
      auto taken = Taken{};
      taken.term = term;
      const auto result = this->shards.TakeOver(aShard, self, lapse, lapsed);
      taken.claim = result.claim;
      taken.triedEpoch = result.triedEpoch;
      if (taken.claim) {
        taken.stored = this->shards.Load(aShard, taken.reason);
      }
      return taken;
    },
    [this, aShard, self](const Taken& aTaken) {
      this->taking[aShard] = false;
      if (aTaken.triedEpoch != 0) {
        this->strays[aShard] = aTaken.triedEpoch;
      }
      if (aTaken.claim) {
        this->metrics.CountStoreCall(StoreCall::Takeover, true);
        this->metrics.CountStoreCall(StoreCall::Load,
                                     aTaken.stored.has_value());
      }
      if (!aTaken.claim || !aTaken.stored || this->self != self) {
        if (!aTaken.reason.empty()) {
          LogWarn("shard_unreadable",
                  { { "shard", std::to_string(aShard) },
                    { "reason", aTaken.reason } });
        }
        return;
      }
      this->strays.erase(aShard);
      auto& item = this->held[aShard];
      item.claim = *aTaken.claim;
      item.verifiedTerm = aTaken.term;
      item.snapshotSequence = aTaken.stored->snapshotSequence;
      item.snapshotGeneration = aTaken.stored->snapshotGeneration;
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
      item.shard = std::make_unique<Shard>(std::move(takeover));
      this->GiveWorkers(item, aShard);
      LogInfo("shard_taken",
              { { "shard", std::to_string(aShard) },
                { "epoch", std::to_string(item.claim.epoch) },
                { "tasks", std::to_string(aTaken.stored->tasks.size()) } });
    });
}

auto
Control::RunShard(ShardNumber aShard, Held& aHeld) -> void
{
  if (aHeld.shard->Records().Fenced()) {
    aHeld.released = !aHeld.appending && !aHeld.snapshotting;
    return;
  }
  const auto authority = this->MayAct(aHeld);
  if (aHeld.releasing) {
    this->ReleaseShard(aShard, aHeld);
  } else {
    aHeld.shard->OnTick(authority);
    this->AbsorbInbox(aShard, aHeld);
  }
  this->VerifyOwnership(aShard, aHeld);
  this->AppendNext(aShard, aHeld);
  this->SyncWorkers(aShard, aHeld);
  this->SnapshotIfDue(aShard, aHeld);
}

// After the own lease had lapsed, nothing is done for a shard until its row,
// read under the new lease, still names this owner. A takeover that commits
// later depends on the member row as it was and fails.
auto
Control::VerifyOwnership(ShardNumber aShard, Held& aHeld) -> void
{
  const auto now = this->clock.Now();
  const auto term = this->lease.Term();
  const auto due = now >= aHeld.nextVerify || aHeld.verifiedTerm != term;
  if (aHeld.verifying || !due || !this->lease.Holds(now)) {
    return;
  }
  aHeld.verifying = true;
  aHeld.nextVerify = now + kVerifyInterval;
  this->executor.Call(
    [this, aShard] { return this->shards.ReadRow(aShard); },
    [this, aShard, term, epoch = aHeld.claim.epoch](
      const std::optional<ShardRow>& aRow) {
      auto* item = this->FindHeld(aShard, epoch);
      if (item == nullptr) {
        return;
      }
      item->verifying = false;
      if (aRow && aRow->epoch != epoch) {
        LogWarn("shard_fenced", { { "shard", std::to_string(aShard) } });
        item->shard->OnFenced();
      } else if (aRow) {
        item->verifiedTerm = term;
      }
    });
}

// What is staged is recorded first; then the row says that this owner grants
// nothing any more.
auto
Control::ReleaseShard(ShardNumber aShard, Held& aHeld) -> void
{
  const auto idle = !aHeld.appending && !aHeld.snapshotting &&
                    aHeld.shard->Records().Waiting() == 0;
  if (!idle) {
    return;
  }
  aHeld.appending = true;
  const auto now = this->clock.Now();
  auto lapse = kWorkerLease;
  for (const auto& [id, view] : aHeld.shard->Workers()) {
    lapse = std::max(lapse, ToMillis(view.leaseEnd - now));
  }
  this->executor.Call(
    [this, aShard, claim = aHeld.claim, self = this->self, lapse] {
      return this->shards.Release(aShard, claim, self, lapse);
    },
    [this, aShard, epoch = aHeld.claim.epoch](bool aReleased) {
      auto* item = this->FindHeld(aShard, epoch);
      if (item == nullptr) {
        return;
      }
      item->appending = false;
      if (aReleased) {
        item->released = true;
        item->shard->OnFenced();
        LogInfo("shard_released", { { "shard", std::to_string(aShard) } });
      }
    });
}

auto
Control::AppendNext(ShardNumber aShard, Held& aHeld) -> void
{
  const auto now = this->clock.Now();
  if (aHeld.appending || !this->lease.Holds(now) || now < aHeld.nextAppend) {
    return;
  }
  const auto entry = aHeld.shard->NextEntry(now);
  if (!entry) {
    return;
  }
  aHeld.appending = true;
  auto done = std::exchange(aHeld.absorbed, {});
  this->executor.Call(
    [this, aShard, claim = aHeld.claim, entry = *entry, done] {
      return this->shards.Append(aShard, claim, entry, done);
    },
    [this, aShard, epoch = aHeld.claim.epoch](AppendOutcome aOutcome) {
      auto* item = this->FindHeld(aShard, epoch);
      if (item != nullptr) {
        item->appending = false;
        this->OnAppended(aShard, aOutcome);
      }
    });
}

auto
Control::OnAppended(ShardNumber aShard, AppendOutcome aOutcome) -> void
{
  constexpr Millis kAppendRetry{ 200 };
  auto& item = this->held.at(aShard);
  this->metrics.CountStoreCall(StoreCall::Append,
                               aOutcome == AppendOutcome::Recorded);
  switch (aOutcome) {
    case AppendOutcome::Recorded:
      for (const auto& task : item.shard->Records().InFlight()->changed) {
        if (HoldsRoom(task.phase)) {
          item.nextSync[task.worker] = {};
        }
      }
      this->NotifyTargets(*item.shard->Records().InFlight());
      item.shard->OnRecorded(this->clock.Now());
      this->SettleAbsorbed(item);
      return;
    case AppendOutcome::Retry:
      item.nextAppend = this->clock.Now() + kAppendRetry;
      return;
    case AppendOutcome::Fenced:
      LogWarn("shard_fenced", { { "shard", std::to_string(aShard) } });
      item.shard->OnFenced();
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
Control::AbsorbInbox(ShardNumber aShard, Held& aHeld) -> void
{
  const auto now = this->clock.Now();
  if (aHeld.readingInbox || now < aHeld.nextInbox || !this->lease.Holds(now)) {
    return;
  }
  aHeld.readingInbox = true;
  aHeld.nextInbox =
    now + (this->peers == nullptr ? kInboxInterval : kLinkedInboxInterval);
  const auto done = std::exchange(aHeld.absorbed, {});
  this->executor.Call(
    [this, aShard, done] {
      if (!done.empty()) {
        this->shards.DropInbox(done);
      }
      return this->shards.ReadInbox(aShard);
    },
    [this, aShard, epoch = aHeld.claim.epoch](
      const std::optional<std::vector<InboxItem>>& aItems) {
      auto* item = this->FindHeld(aShard, epoch);
      this->metrics.CountStoreCall(StoreCall::Inbox, aItems.has_value());
      if (item == nullptr) {
        return;
      }
      item->readingInbox = false;
      if (aItems) {
        this->OnInbox(*item, *aItems);
      }
    });
}

auto
Control::OnInbox(Held& aHeld, const std::vector<InboxItem>& aItems) -> void
{
  const auto now = this->clock.Now();
  for (const auto& inbox : aItems) {
    aHeld.absorbing[inbox.key] = inbox;
    switch (inbox.kind) {
      case InboxKind::Task:
        aHeld.shard->OnSubmit(now, inbox.task);
        break;
      case InboxKind::Cancel:
        aHeld.shard->OnCancel(now, inbox.task.id);
        break;
      case InboxKind::Retry:
        aHeld.shard->OnRetry(now, inbox.task.id);
        break;
    }
  }
  this->SettleAbsorbed(aHeld);
}

// An inbox row is dropped only when its effect is recorded. An order
// follows a task that moved to another shard.
auto
Control::SettleAbsorbed(Held& aHeld) -> void
{
  for (auto item = aHeld.absorbing.begin(); item != aHeld.absorbing.end();) {
    const auto& inbox = item->second;
    const auto& records = aHeld.shard->Records();
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
        item = aHeld.absorbing.erase(item);
        continue;
      }
    } else if (settled) {
      settled = task->moves >= inbox.task.moves;
    }
    if (!settled) {
      ++item;
      continue;
    }
    aHeld.absorbed.push_back(inbox.key);
    item = aHeld.absorbing.erase(item);
  }
}

auto
Control::SyncWorkers(ShardNumber aShard, Held& aHeld) -> void
{
  const auto authority = this->MayAct(aHeld);
  for (const auto& [id, view] : aHeld.shard->Workers()) {
    if (aHeld.syncing[id] || authority.now < aHeld.nextSync[id] ||
        view.info.address.empty()) {
      continue;
    }
    const auto request = aHeld.shard->NextSync(authority, id);
    if (!request) {
      continue;
    }
    aHeld.syncing[id] = true;
    aHeld.nextSync[id] = authority.now + kSyncInterval;
    this->executor.Call(
      [this, info = view.info, request = *request] {
        auto reason = std::string{};
        return this->platform.workers.Sync(info, request, reason);
      },
      [this, aShard, worker = id, epoch = aHeld.claim.epoch](
        const std::optional<WorkerReport>& aReport) {
        auto* item = this->FindHeld(aShard, epoch);
        this->metrics.CountSync(aReport.has_value());
        if (item == nullptr) {
          return;
        }
        item->syncing[worker] = false;
        if (aReport) {
          item->shard->OnReport(this->MayAct(*item), worker, *aReport);
        }
      });
  }
}

auto
Control::SnapshotIfDue(ShardNumber aShard, Held& aHeld) -> void
{
  const auto& records = aHeld.shard->Records();
  if (aHeld.snapshotting || aHeld.releasing ||
      records.Sequence() < aHeld.snapshotSequence + kSnapshotEvery) {
    return;
  }
  aHeld.snapshotting = true;
  auto state = StoredShard{};
  state.sequence = records.Sequence();
  state.snapshotGeneration = aHeld.snapshotGeneration;
  state.tasks = records.Tasks();
  this->executor.Call(
    [this, aShard, claim = aHeld.claim, state] {
      return this->shards.WriteSnapshot(aShard, claim, state);
    },
    [this, aShard, epoch = aHeld.claim.epoch, sequence = state.sequence](
      const std::optional<std::uint64_t>& aGeneration) {
      auto* item = this->FindHeld(aShard, epoch);
      this->metrics.CountStoreCall(StoreCall::Snapshot,
                                   aGeneration.has_value());
      if (item == nullptr) {
        return;
      }
      item->snapshotting = false;
      if (aGeneration) {
        item->snapshotGeneration = *aGeneration;
        item->snapshotSequence = sequence;
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
