#ifndef GOOSEBERRY_TASKJOURNAL_H
#define GOOSEBERRY_TASKJOURNAL_H

// The tasks of one shard as recorded in its journal, and the staged changes
// that are to be appended to it. At most one append is in flight. A task whose
// change is not recorded yet must not be changed again.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "task.h"
#include "types.h"

namespace gooseberry {

// How soon a staged change has to be committed.
enum class CommitUrgency
{
  Grouped,   // may wait to be committed together with others
  Immediate, // urgent tasks, and changes that free resources or end a task
};

class TaskJournal
{
public:
  TaskJournal(std::string aOwner,
              std::uint64_t aEpoch,
              std::uint64_t aSequence,
              std::map<TaskId, Task> aTasks);

  auto Tasks() const -> const std::map<TaskId, Task>&;
  auto Find(const TaskId& aId) const -> const Task*;
  // Whether a change of this task is staged or in flight.
  auto HasPendingChange(const TaskId& aId) const -> bool;
  auto Epoch() const -> std::uint64_t;
  // Sequence of the last recorded entry.
  auto Sequence() const -> std::uint64_t;
  // Number of staged changes and removals.
  auto StagedCount() const -> std::size_t;

  // Stages the new record of a task. aNow starts the group commit delay.
  auto Stage(Time aNow, Task aTask, CommitUrgency aHaste) -> void;
  auto StageRemoval(Time aNow, const TaskId& aId) -> void;
  // Stages the transfer of a task; this shard keeps it as Moved.
  auto StageTransfer(Time aNow, const Task& aTask, ShardNumber aTarget) -> void;
  // Replaces a task in memory without appending to the journal. For phase
  // Running and checkpoints, which are stored only with the task's next change
  // or with a snapshot.
  auto UpdateInMemory(const Task& aTask) -> void;

  // The entry to append now, if any. Returns the same entry until
  // MarkCommitted() is called, since the outcome of an append may be unknown.
  auto NextEntry(Time aNow) -> std::optional<JournalEntry>;
  auto InFlight() const -> const std::optional<JournalEntry>&;
  // Applies the entry in flight, which is recorded now. Returns the previous
  // records of the tasks that it changed.
  auto MarkCommitted() -> std::vector<Task>;
  // Appends nothing from now on: another owner has the shard.
  auto Fence() -> void;
  auto Fenced() const -> bool;

private:
  // Whether the staged changes are to be committed now.
  auto CommitDue(Time aNow) const -> bool;

  std::string owner;
  std::uint64_t epoch;
  std::uint64_t sequence;
  std::map<TaskId, Task> tasks;
  std::map<TaskId, Task> staged;
  std::set<TaskId> stagedRemovals;
  std::vector<Transfer> stagedTransfers;
  std::optional<Time> oldestStagedAt;
  bool commitImmediately = false;
  std::optional<JournalEntry> inFlight;
  bool fenced = false;
};

// Applies one recorded entry to the tasks; also used to replay a journal.
auto
ApplyEntry(std::map<TaskId, Task>& aTasks, const JournalEntry& aEntry) -> void;

} // namespace gooseberry

#endif
