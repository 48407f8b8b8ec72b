#include "taskjournal.h"

#include <algorithm>

#include "tunables.h"

namespace gooseberry {

TaskJournal::TaskJournal(std::string aOwner,
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
TaskJournal::Tasks() const -> const std::map<TaskId, Task>&
{
  return this->tasks;
}

auto
TaskJournal::Find(const TaskId& aId) const -> const Task*
{
  const auto found = this->tasks.find(aId);
  return found == this->tasks.end() ? nullptr : &found->second;
}

auto
TaskJournal::HasPendingChange(const TaskId& aId) const -> bool
{
  if (this->staged.contains(aId) || this->stagedRemovals.contains(aId)) {
    return true;
  }
  const auto transferred = std::any_of(
    this->stagedTransfers.begin(),
    this->stagedTransfers.end(),
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
TaskJournal::Epoch() const -> std::uint64_t
{
  return this->epoch;
}

auto
TaskJournal::Sequence() const -> std::uint64_t
{
  return this->sequence;
}

auto
TaskJournal::StagedCount() const -> std::size_t
{
  return this->staged.size() + this->stagedRemovals.size();
}

auto
TaskJournal::Stage(Time aNow, Task aTask, CommitUrgency aHaste) -> void
{
  this->oldestStagedAt = std::min(this->oldestStagedAt.value_or(aNow), aNow);
  this->commitImmediately =
    this->commitImmediately || aHaste == CommitUrgency::Immediate;
  const auto id = aTask.id;
  this->staged.insert_or_assign(id, std::move(aTask));
}

auto
TaskJournal::StageRemoval(Time aNow, const TaskId& aId) -> void
{
  this->oldestStagedAt = std::min(this->oldestStagedAt.value_or(aNow), aNow);
  this->stagedRemovals.insert(aId);
}

auto
TaskJournal::StageTransfer(Time aNow, const Task& aTask, ShardNumber aTarget)
  -> void
{
  auto kept = aTask;
  kept.phase = TaskPhase::Moved;
  kept.movedTo = aTarget;
  auto transferred = aTask;
  transferred.moves += 1;
  this->stagedTransfers.push_back({ aTarget, transferred });
  this->Stage(aNow, kept, CommitUrgency::Grouped);
}

auto
TaskJournal::UpdateInMemory(const Task& aTask) -> void
{
  this->tasks.insert_or_assign(aTask.id, aTask);
}

auto
TaskJournal::CommitDue(Time aNow) const -> bool
{
  return this->commitImmediately ||
         this->StagedCount() >= kMaxChangesPerCommit ||
         aNow - *this->oldestStagedAt >= kGroupCommitDelay;
}

auto
TaskJournal::NextEntry(Time aNow) -> std::optional<JournalEntry>
{
  if (this->fenced || this->inFlight) {
    return this->fenced ? std::nullopt : this->inFlight;
  }
  if (!this->oldestStagedAt || !this->CommitDue(aNow)) {
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
      std::partition(this->stagedTransfers.begin(),
                     this->stagedTransfers.end(),
                     [&](const Transfer& aTransfer) {
                       return aTransfer.task.id != node.key();
                     });
    entry.transfers.insert(
      entry.transfers.end(), matching, this->stagedTransfers.end());
    this->stagedTransfers.erase(matching, this->stagedTransfers.end());
    entry.changed.push_back(std::move(node.mapped()));
  }
  entry.removed.assign(this->stagedRemovals.begin(),
                       this->stagedRemovals.end());
  this->stagedRemovals.clear();
  if (this->staged.empty()) {
    this->oldestStagedAt.reset();
    this->commitImmediately = false;
  }
  this->inFlight = entry;
  return this->inFlight;
}

auto
TaskJournal::InFlight() const -> const std::optional<JournalEntry>&
{
  return this->inFlight;
}

auto
TaskJournal::MarkCommitted() -> std::vector<Task>
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
  ApplyEntry(this->tasks, *this->inFlight);
  this->sequence = this->inFlight->sequence;
  this->inFlight.reset();
  return before;
}

auto
TaskJournal::Fence() -> void
{
  this->fenced = true;
}

auto
TaskJournal::Fenced() const -> bool
{
  return this->fenced;
}

auto
ApplyEntry(std::map<TaskId, Task>& aTasks, const JournalEntry& aEntry) -> void
{
  for (const auto& task : aEntry.changed) {
    aTasks.insert_or_assign(task.id, task);
  }
  for (const auto& id : aEntry.removed) {
    aTasks.erase(id);
  }
}

} // namespace gooseberry
