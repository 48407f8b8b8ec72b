#include "ledger.h"

#include <algorithm>

#include "tunables.h"

namespace gooseberry {

Ledger::Ledger(std::string aOwner,
               std::uint64_t aEpoch,
               std::uint64_t aSequence,
               std::map<TaskId, Task> aTasks)
  : owner(std::move(aOwner))
  , epoch(aEpoch)
  , sequence(aSequence)
  , tasks(std::move(aTasks))
{
}

auto
Ledger::Tasks() const -> const std::map<TaskId, Task>&
{
  return this->tasks;
}

auto
Ledger::Find(const TaskId& aId) const -> const Task*
{
  const auto found = this->tasks.find(aId);
  return found == this->tasks.end() ? nullptr : &found->second;
}

auto
Ledger::Busy(const TaskId& aId) const -> bool
{
  if (this->staged.contains(aId) || this->removals.contains(aId)) {
    return true;
  }
  const auto transferred = std::any_of(
    this->transfers.begin(),
    this->transfers.end(),
    [&](const Transfer& aTransfer) { return aTransfer.task.id == aId; });
  if (transferred || !this->inFlight) {
    return transferred;
  }
  const auto& entry = *this->inFlight;
  return std::any_of(entry.changed.begin(),
                     entry.changed.end(),
                     [&](const Task& aTask) { return aTask.id == aId; }) ||
         std::find(entry.removed.begin(), entry.removed.end(), aId) !=
           entry.removed.end();
}

auto
Ledger::Epoch() const -> std::uint64_t
{
  return this->epoch;
}

auto
Ledger::Sequence() const -> std::uint64_t
{
  return this->sequence;
}

auto
Ledger::Waiting() const -> std::size_t
{
  return this->staged.size() + this->removals.size();
}

auto
Ledger::Stage(Time aNow, Task aTask, Haste aHaste) -> void
{
  this->oldestStaged = std::min(this->oldestStaged.value_or(aNow), aNow);
  this->hasty = this->hasty || aHaste == Haste::Now;
  const auto id = aTask.id;
  this->staged.insert_or_assign(id, std::move(aTask));
}

auto
Ledger::StageRemoval(Time aNow, const TaskId& aId) -> void
{
  this->oldestStaged = std::min(this->oldestStaged.value_or(aNow), aNow);
  this->removals.insert(aId);
}

auto
Ledger::StageTransfer(Time aNow, const Task& aTask, ShardNumber aTarget) -> void
{
  auto kept = aTask;
  kept.phase = TaskPhase::Moved;
  kept.movedTo = aTarget;
  auto transferred = aTask;
  transferred.moves += 1;
  this->transfers.push_back({ aTarget, transferred });
  this->Stage(aNow, kept, Haste::Grouped);
}

auto
Ledger::Note(const Task& aTask) -> void
{
  this->tasks.insert_or_assign(aTask.id, aTask);
}

auto
Ledger::Due(Time aNow) const -> bool
{
  return this->hasty || this->Waiting() >= kMaxChangesPerCommit ||
         aNow - *this->oldestStaged >= kGroupCommitDelay;
}

auto
Ledger::NextEntry(Time aNow) -> std::optional<JournalEntry>
{
  if (this->fenced || this->inFlight) {
    return this->fenced ? std::nullopt : this->inFlight;
  }
  if (!this->oldestStaged || !this->Due(aNow)) {
    return std::nullopt;
  }
  auto entry = JournalEntry{};
  entry.sequence = this->sequence + 1;
  entry.epoch = this->epoch;
  entry.identity = this->owner + "/" + std::to_string(this->epoch) + "/" +
                   std::to_string(entry.sequence);
  // A transfer is committed in the entry that marks its task as Moved.
  while (!this->staged.empty() && entry.changed.size() < kMaxChangesPerCommit) {
    auto node = this->staged.extract(this->staged.begin());
    const auto matching =
      std::partition(this->transfers.begin(),
                     this->transfers.end(),
                     [&](const Transfer& aTransfer) {
                       return aTransfer.task.id != node.key();
                     });
    entry.transfers.insert(
      entry.transfers.end(), matching, this->transfers.end());
    this->transfers.erase(matching, this->transfers.end());
    entry.changed.push_back(std::move(node.mapped()));
  }
  entry.removed.assign(this->removals.begin(), this->removals.end());
  this->removals.clear();
  if (this->staged.empty()) {
    this->oldestStaged.reset();
    this->hasty = false;
  }
  this->inFlight = entry;
  return this->inFlight;
}

auto
Ledger::InFlight() const -> const std::optional<JournalEntry>&
{
  return this->inFlight;
}

auto
Ledger::Committed() -> std::vector<Task>
{
  auto before = std::vector<Task>{};
  if (!this->inFlight) {
    return before;
  }
  for (const auto& task : this->inFlight->changed) {
    const auto* old = this->Find(task.id);
    if (old != nullptr) {
      before.push_back(*old);
    }
  }
  Apply(this->tasks, *this->inFlight);
  this->sequence = this->inFlight->sequence;
  this->inFlight.reset();
  return before;
}

auto
Ledger::Fence() -> void
{
  this->fenced = true;
}

auto
Ledger::Fenced() const -> bool
{
  return this->fenced;
}

auto
Apply(std::map<TaskId, Task>& aTasks, const JournalEntry& aEntry) -> void
{
  for (const auto& task : aEntry.changed) {
    aTasks.insert_or_assign(task.id, task);
  }
  for (const auto& id : aEntry.removed) {
    aTasks.erase(id);
  }
}

} // namespace gooseberry
