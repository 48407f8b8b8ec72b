#ifndef GOOSEBERRY_TASK_H
#define GOOSEBERRY_TASK_H

// The durable record of one task and the journal entries that change it.

#include <set>
#include <string>
#include <vector>

#include "document.h"
#include "resourcesjson.h"

namespace gooseberry {

enum class TaskPhase
{
  Waiting,   // not assigned to a worker
  Starting,  // assigned to a worker; the start command may have been sent
  Running,   // its worker reported it as running
  Evicting,  // its worker is to checkpoint and stop it
  Finished,  // final
  Cancelled, // final
  Parked,    // cannot run at present: too large, or it failed too often
  Moved,     // transferred; Task::movedTo is the shard that holds it
  Lost,      // its worker was lost; unknown whether it finished, not restarted
  TaskPhase_NB
};

auto
ToText(TaskKind aKind) -> const char*;
auto
ToText(TaskPhase aPhase) -> const char*;

// Whether a task in this phase occupies resources of its worker.
auto
OccupiesWorker(TaskPhase aPhase) -> bool;
// Whether the task has ended: Finished or Cancelled.
auto
IsFinal(TaskPhase aPhase) -> bool;

// Record of one task: what its class declares, then its state.
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
  bool supportsCheckpoints = false;
  bool atMostOnce = false;
  std::vector<DomainId> domains;

  TaskPhase phase = TaskPhase::Waiting;
  WorkerId worker;
  // Identifies the process of the worker when the task was assigned to it. A
  // process keeps each ended attempt until it is acknowledged, so as long as
  // the incarnation is the same, an attempt that it does not list never
  // started.
  std::string incarnation;
  // Grows with every start. A report on an older attempt does not change the
  // record, unless it says that the attempt finished.
  std::uint64_t attempt = 0;
  // Progress of the newest checkpoint, as the worker reported it; never
  // decreases, 0 if there is none.
  std::uint64_t checkpoint = 0;
  int failures = 0;
  int evictions = 0;
  // A cancellation was requested. A task that occupies a worker becomes
  // Cancelled when its attempt ends.
  bool cancelRequested = false;
  // The last attempt was given up without a report of how it ended.
  bool unconfirmed = false;
  // Order of submission (Unix time in ms); the last criterion in the order of
  // placement.
  std::uint64_t submissionOrder = 0;
  // Shard to which a Moved task was transferred, and the number of transfers so
  // far.
  ShardNumber movedTo = 0;
  int moves = 0;
  // Why the task is in its phase; shown to operators.
  std::string reason;

  auto operator==(const Task&) const -> bool = default;
  // Whether the task may run in the failure domain; an empty list allows all.
  auto AllowsDomain(const DomainId& aDomain) const -> bool;
};

auto
to_json(nlohmann::json& aJson, const Task& aTask) -> void;
// Throws nlohmann::json::exception for a malformed record.
auto
from_json(const nlohmann::json& aJson, Task& aTask) -> void;

// A waiting task with the properties of its class.
auto
NewTask(const TaskId& aId, const TaskClassSpec& aClass) -> Task;

// The shards to which newly submitted tasks belong.
auto
ShardsOf(const std::vector<Task>& aTasks, ShardNumber aShardCount)
  -> std::set<ShardNumber>;

// A task that is passed to another shard, in the transaction that marks it as
// Moved in this one. task is the record as the target gets it.
struct Transfer
{
  ShardNumber target = 0;
  Task task;

  auto operator==(const Transfer&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Transfer, target, task)

// One conditional append to a shard's journal: the new records of the tasks
// that changed, the tasks whose records are removed, and the transfers.
struct JournalEntry
{
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  // Identifies the writer and the write: after a lost reply, the owner reads
  // the journal and recognizes by it whether its append took effect.
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
