#ifndef GOOSEBERRY_TASK_H
#define GOOSEBERRY_TASK_H

// The durable record of one task and the journal entries that change it.

#include <set>
#include <string>
#include <vector>

#include "document.h"
#include "types.h"

namespace gooseberry {

enum class TaskPhase
{
  Waiting,   // has no worker
  Starting,  // a worker was chosen; the start may have been sent
  Running,   // the worker confirmed it
  Evicting,  // asked to checkpoint and stop
  Finished,  // final
  Cancelled, // final
  Parked,    // can't run as things are; the reason says why
  Moved,     // another shard holds it
  Lost,      // its worker is gone and nobody knows whether it finished
  TaskPhase_NB
};

auto
ToText(TaskKind aKind) -> const char*;
auto
ToText(TaskPhase aPhase) -> const char*;

// Whether the task occupies room on its worker.
auto
HoldsRoom(TaskPhase aPhase) -> bool;
auto
IsFinal(TaskPhase aPhase) -> bool;

struct Task
{
  TaskId id;
  ClassId classId;
  TeamId team;
  TaskKind kind = TaskKind::Batch;
  Resources size;
  Millis runTime{ 0 };
  int priority = 0;
  bool urgent = false;
  bool checkpoints = false;
  bool atMostOnce = false;
  std::vector<DomainId> domains;

  TaskPhase phase = TaskPhase::Waiting;
  WorkerId worker;
  // The worker's life at the time of the start; one that lives on keeps every
  // ended attempt until it is acknowledged.
  std::string incarnation;
  // Grows with every start; a worker's word on an older attempt is ignored.
  std::uint64_t attempt = 0;
  // Grows only; 0 means that there is none.
  std::uint64_t checkpoint = 0;
  int failures = 0;
  int evictions = 0;
  // Set when a cancellation came while the task occupied a worker.
  bool cancelAsked = false;
  // Its last attempt was given up without a word from its worker.
  bool unconfirmed = false;
  // Order of submission, for fairness between equals.
  std::uint64_t order = 0;
  // The shard that holds a moved task, and how often it moved.
  ShardNumber movedTo = 0;
  int moves = 0;
  std::string reason;

  auto operator==(const Task&) const -> bool = default;
  auto Allows(const DomainId& aDomain) const -> bool;
};

auto
to_json(nlohmann::json& aJson, const Task& aTask) -> void;
// Throws nlohmann::json::exception for a malformed record.
auto
from_json(const nlohmann::json& aJson, Task& aTask) -> void;

// A task of this class, not yet placed.
auto
NewTask(const TaskId& aId, const ClassSpec& aClass) -> Task;

// The shards to which new tasks belong.
auto
ShardsOf(const std::vector<Task>& aTasks, ShardNumber aShardCount)
  -> std::set<ShardNumber>;

// A task that goes to another shard in the transaction that removes it here.
struct Transfer
{
  ShardNumber target = 0;
  Task task;

  auto operator==(const Transfer&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Transfer, target, task)

// One conditional append to a shard's journal: the new state of each task that
// changed, and the tasks that left.
struct JournalEntry
{
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  // Names the write, so that its own effect is recognized after a lost reply.
  std::string identity;
  std::vector<Task> changed;
  std::vector<TaskId> removed;
  std::vector<Transfer> transfers;

  auto operator==(const JournalEntry&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JournalEntry,
                                   sequence,
                                   epoch,
                                   identity,
                                   changed,
                                   removed,
                                   transfers)

} // namespace gooseberry

#endif
