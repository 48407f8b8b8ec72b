#ifndef GOOSEBERRY_LEDGER_H
#define GOOSEBERRY_LEDGER_H

// The tasks of one shard: what the journal holds, and the changes that wait to
// be appended to it. At most one append is under way; a task with a change that
// is not yet recorded takes no further change.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "task.h"
#include "types.h"

namespace gooseberry {

enum class Haste
{
  Grouped, // may wait for company
  Now,     // urgent work, and everything that frees room or ends a task
};

class Ledger
{
public:
  Ledger(std::string aOwner,
         std::uint64_t aEpoch,
         std::uint64_t aSequence,
         std::map<TaskId, Task> aTasks);

  auto Tasks() const -> const std::map<TaskId, Task>&;
  auto Find(const TaskId& aId) const -> const Task*;
  // Whether a change of this task waits or is under way.
  auto Busy(const TaskId& aId) const -> bool;
  auto Epoch() const -> std::uint64_t;
  // Sequence of the last recorded entry.
  auto Sequence() const -> std::uint64_t;
  auto Waiting() const -> std::size_t;

  auto Stage(Time aNow, Task aTask, Haste aHaste) -> void;
  auto StageRemoval(Time aNow, const TaskId& aId) -> void;
  auto StageTransfer(Time aNow, const Task& aTask, ShardNumber aTarget) -> void;
  // Changes what is known between records: phase Running and checkpoints.
  auto Note(const Task& aTask) -> void;

  // The entry to append now, if any; it stays the same until its outcome.
  auto NextEntry(Time aNow) -> std::optional<JournalEntry>;
  auto InFlight() const -> const std::optional<JournalEntry>&;
  // The entry under way is recorded; returns the tasks as they were before.
  auto Committed() -> std::vector<Task>;
  // Nothing more may be appended: another owner has the shard.
  auto Fence() -> void;
  auto Fenced() const -> bool;

private:
  auto Due(Time aNow) const -> bool;

  std::string owner;
  std::uint64_t epoch;
  std::uint64_t sequence;
  std::map<TaskId, Task> tasks;
  std::map<TaskId, Task> staged;
  std::set<TaskId> removals;
  std::vector<Transfer> transfers;
  std::optional<Time> oldestStaged;
  bool hasty = false;
  std::optional<JournalEntry> inFlight;
  bool fenced = false;
};

// Applies one entry, as replay does.
auto
Apply(std::map<TaskId, Task>& aTasks, const JournalEntry& aEntry) -> void;

} // namespace gooseberry

#endif
