// Part of Shard that places waiting tasks and empties closed failure domains.

#include <algorithm>

#include "shard.h"

namespace gooseberry {

namespace {

// Services move first, then watchers, then batch that can resume.
auto
EvacuationRank(const Task& aTask) -> int
{
  if (aTask.kind == TaskKind::Service) {
    return 0;
  }
  if (aTask.kind == TaskKind::Watcher) {
    return 1;
  }
  return aTask.checkpoints ? 2 : 3;
}

auto
PlacementRank(const Task& aTask) -> int
{
  if (aTask.kind == TaskKind::Service) {
    return 0;
  }
  return aTask.kind == TaskKind::Watcher || aTask.urgent ? 1 : 2;
}

// Whether the team already uses more than this shard's part of its quota.
auto
Borrows(const Document& aDocument,
        const std::map<TeamId, Resources>& aUsed,
        const TeamId& aTeam,
        ShardNumber aShardCount) -> bool
{
  const auto* team = aDocument.FindTeam(aTeam);
  const auto used = aUsed.find(aTeam);
  if (team == nullptr || !team->quota || used == aUsed.end()) {
    return false;
  }
  const auto over = [&](std::int64_t aPart, std::int64_t aQuota) {
    return aPart * static_cast<std::int64_t>(aShardCount) > aQuota;
  };
  return over(used->second.cpuMillis, team->quota->cpuMillis) ||
         over(used->second.memoryMb, team->quota->memoryMb) ||
         over(used->second.accelerators, team->quota->accelerators);
}

} // namespace

auto
Shard::EvictFromClosedDomains(const Authority& aAuthority) -> void
{
  auto leaving = std::vector<Task>{};
  auto moving = std::size_t{ 0 };
  for (const auto& [id, task] : this->ledger.Tasks()) {
    const auto view = this->workers.find(task.worker);
    if (!HoldsRoom(task.phase) || view == this->workers.end()) {
      continue;
    }
    const auto& domain = view->second.info.domain;
    const auto closed = !domain.Empty() && !aAuthority.document->IsOpen(domain);
    if (!closed && !view->second.info.leaving) {
      continue;
    }
    if (task.phase == TaskPhase::Evicting) {
      ++moving;
    } else if (!this->ledger.Busy(id)) {
      leaving.push_back(task);
    }
  }
  std::stable_sort(
    leaving.begin(), leaving.end(), [](const Task& aLeft, const Task& aRight) {
      return EvacuationRank(aLeft) < EvacuationRank(aRight);
    });
  for (const auto& task : leaving) {
    if (moving >= kMaxEvictionsPerTick) {
      break;
    }
    ++moving;
    this->Count(ShardEvent::DomainEviction);
    this->Evict(aAuthority.now, task, "its failure domain or worker leaves");
  }
}

// Order of placement: rank, teams within their quota, priority, submission.
auto
Shard::WaitingInOrder(const Document& aDocument) const -> std::vector<Task>
{
  auto used = std::map<TeamId, Resources>{};
  auto waiting = std::vector<Task>{};
  for (const auto& [id, task] : this->ledger.Tasks()) {
    if (HoldsRoom(task.phase)) {
      used[task.team] += task.size;
    }
    const auto placeable =
      task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Parked;
    if (placeable && !this->ledger.Busy(id)) {
      waiting.push_back(task);
    }
  }
  auto borrows = std::map<TeamId, bool>{};
  for (const auto& task : waiting) {
    borrows[task.team] = Borrows(aDocument, used, task.team, this->shardCount);
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [&](const Task& aLeft, const Task& aRight) {
      const auto key = [&](const Task& aTask) {
        return std::make_tuple(PlacementRank(aTask),
                               borrows.at(aTask.team),
                               -aTask.priority,
                               aTask.order);
      };
      return key(aLeft) < key(aRight);
    });
  return waiting;
}

auto
Shard::Spread() const -> std::map<std::pair<ClassId, DomainId>, int>
{
  auto spread = std::map<std::pair<ClassId, DomainId>, int>{};
  for (const auto& [id, task] : this->ledger.Tasks()) {
    const auto view = this->workers.find(task.worker);
    if (task.kind != TaskKind::Batch && HoldsRoom(task.phase) &&
        view != this->workers.end()) {
      ++spread[{ task.classId, view->second.info.domain }];
    }
  }
  return spread;
}

auto
Shard::PlaceWaiting(const Authority& aAuthority) -> void
{
  const auto waiting = this->WaitingInOrder(*aAuthority.document);
  if (waiting.empty()) {
    return;
  }
  auto views = std::vector<const WorkerView*>{};
  for (const auto& [id, view] : this->workers) {
    views.push_back(&view);
  }
  auto refill = std::map<DomainId, double>{};
  for (const auto& [domain, since] : this->openedAt) {
    const auto elapsed = aAuthority.now - since;
    if (elapsed < kRefillRamp) {
      refill[domain] = static_cast<double>(ToMillis(elapsed).count()) /
                       static_cast<double>(kRefillRamp.count());
    }
  }
  auto spread = this->Spread();
  auto context = PlacementContext{
    aAuthority.now,      this->policy, aAuthority.document.get(),
    &this->interference, &refill,      &spread
  };
  // A size that found no room this time finds none later in the same pass.
  auto hopeless = std::vector<std::pair<Task, NoPlace>>{};
  for (const auto& task : waiting) {
    const auto same = [&](const std::pair<Task, NoPlace>& aOther) {
      return aOther.first.classId == task.classId;
    };
    const auto twin = std::find_if(hopeless.begin(), hopeless.end(), same);
    if (twin != hopeless.end()) {
      const auto twinReason = twin->second;
      this->SetReason(task, ToText(twinReason));
      this->TransferIfStuck(
        aAuthority.now, *aAuthority.document, task, twinReason);
      continue;
    }
    if (const auto reason = this->PlaceOne(aAuthority, context, views, task)) {
      hopeless.emplace_back(task, *reason);
    }
  }
}

// The reason if its whole class finds no place now; nothing if it was placed
// or if it waits for a reason of its own.
auto
Shard::PlaceOne(const Authority& aAuthority,
                const PlacementContext& aContext,
                const std::vector<const WorkerView*>& aViews,
                Task aTask) -> std::optional<NoPlace>
{
  const auto now = aAuthority.now;
  const auto hold = this->notBefore.find(aTask.id);
  if (hold != this->notBefore.end() && now < hold->second) {
    return std::nullopt;
  }
  const auto* spec = aAuthority.document->FindClass(aTask.classId);
  if (spec == nullptr) {
    this->SetReason(aTask, "its class is no longer in the document");
    return std::nullopt;
  }
  aTask.size = spec->size;
  aTask.domains = spec->domains;
  const auto never = WhyNever(aTask, this->fleet);
  const auto failed =
    aTask.kind == TaskKind::Batch && aTask.failures >= kMaxTaskFailures;
  if (aTask.phase == TaskPhase::Parked && (never || failed)) {
    return std::nullopt;
  }
  if (never) {
    this->Count(ShardEvent::Park);
    aTask.phase = TaskPhase::Parked;
    aTask.reason = *never;
    this->Stage(now, aTask, Haste::Grouped);
    return std::nullopt;
  }
  aTask.phase = TaskPhase::Waiting;
  auto reason = NoPlace::NoWorker;
  const auto place = PickWorker(aViews, aTask, aContext, reason);
  if (!place) {
    this->SetReason(aTask, ToText(reason));
    if (reason == NoPlace::NoRoom && PlacementRank(aTask) < 2 &&
        this->PreemptFor(aAuthority, aTask)) {
      return std::nullopt;
    }
    this->TransferIfStuck(now, *aAuthority.document, aTask, reason);
    return reason;
  }
  auto& view = this->workers.at(aViews[*place]->info.id);
  view.reserved += aTask.size;
  (aTask.kind == TaskKind::Service ? view.services : view.batches)
    .push_back(aTask.classId);
  aTask.phase = TaskPhase::Starting;
  aTask.worker = view.info.id;
  aTask.incarnation = view.stamp ? view.stamp->incarnation : std::string{};
  aTask.attempt += 1;
  aTask.unconfirmed = false;
  aTask.reason.clear();
  this->Count(ShardEvent::Start);
  this->reasons.erase(aTask.id);
  this->stuckSince.erase(aTask.id);
  this->notBefore.erase(aTask.id);
  const auto haste =
    aTask.urgent || aTask.kind != TaskKind::Batch ? Haste::Now : Haste::Grouped;
  this->Stage(now, aTask, haste);
  return std::nullopt;
}

// Frees room for urgent work, watchers and services on the worker where the
// least batch work has to go. Batch of the same rank is never moved.
auto
Shard::PreemptFor(const Authority& aAuthority, const Task& aTask) -> bool
{
  auto bestVictims = std::vector<Task>{};
  for (const auto& [id, view] : this->workers) {
    if (!aTask.Allows(view.info.domain) || !view.reconciled ||
        !aAuthority.document->IsOpen(view.info.domain)) {
      continue;
    }
    auto victims = std::vector<Task>{};
    for (const auto& [taskId, task] : this->ledger.Tasks()) {
      const auto evictable = task.worker == id &&
                             (task.phase == TaskPhase::Running ||
                              task.phase == TaskPhase::Evicting) &&
                             PlacementRank(task) == 2;
      if (evictable && !this->ledger.Busy(taskId)) {
        victims.push_back(task);
      }
    }
    std::stable_sort(
      victims.begin(),
      victims.end(),
      [](const Task& aLeft, const Task& aRight) {
        return std::make_pair(!aLeft.checkpoints, aLeft.priority) <
               std::make_pair(!aRight.checkpoints, aRight.priority);
      });
    auto room = view.Room();
    auto count = std::size_t{ 0 };
    while (!aTask.size.FitsIn(room) && count < victims.size()) {
      room += victims[count].size;
      ++count;
    }
    if (!aTask.size.FitsIn(room)) {
      continue;
    }
    victims.resize(count);
    if (bestVictims.empty() || victims.size() < bestVictims.size()) {
      bestVictims = std::move(victims);
    }
  }
  for (const auto& victim : bestVictims) {
    if (victim.phase == TaskPhase::Running) {
      this->Count(ShardEvent::PriorityEviction);
      this->Evict(aAuthority.now, victim, "it made room for " + aTask.id.text);
    }
  }
  return !bestVictims.empty();
}

// A shard without any worker for the task passes it on at once; one whose
// workers are full only after a rest that doubles with each move, so that a
// full fleet does not pass its tasks around.
auto
Shard::TransferIfStuck(Time aNow,
                       const Document& aDocument,
                       const Task& aTask,
                       NoPlace aReason) -> void
{
  const auto [since, firstTime] = this->stuckSince.try_emplace(aTask.id, aNow);
  const auto first = aReason == NoPlace::NoRoom || aReason == NoPlace::Refilling
                       ? kTransferAfter
                       : kTransferAtOnce;
  const auto rest =
    std::min<Millis>(first * (1 << std::min(aTask.moves, 8)), kTransferRestMax);
  const auto target = PickShard(aTask, aDocument, this->capacity, this->number);
  if (!target || aNow - since->second < rest) {
    return;
  }
  const auto [known, fresh] =
    this->unconfirmedSince.try_emplace(aTask.id, aNow);
  if (aTask.unconfirmed && aNow - known->second < kUnconfirmedStay) {
    return;
  }
  this->unconfirmedSince.erase(aTask.id);
  this->stuckSince.erase(aTask.id);
  this->reasons.erase(aTask.id);
  this->Count(ShardEvent::Transfer);
  this->ledger.StageTransfer(aNow, aTask, *target);
}

} // namespace gooseberry
