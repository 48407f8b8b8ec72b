#ifndef GOOSEBERRY_WORKERLINK_H
#define GOOSEBERRY_WORKERLINK_H

// Messages of one exchange between a shard's owner and a worker. The owner
// asks; the reply is the worker's report.

#include <optional>
#include <string>
#include <vector>

#include "task.h"
#include "types.h"

namespace gooseberry {

// What the platform's list says of a worker.
struct WorkerInfo
{
  WorkerId id;
  std::string address; // host:port
  DomainId domain;
  RackId rack;
  Resources capacity;
  bool leaving = false;

  auto operator==(const WorkerInfo&) const -> bool = default;
};

// A reading of the worker's own clock within one life of its process. The
// owner returns it; leases and starts count from it, so that a message that
// was delayed is worth less by just that delay.
struct WorkerStamp
{
  std::string incarnation;
  std::int64_t millis = 0;

  auto operator==(const WorkerStamp&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerStamp, incarnation, millis)

struct StartCommand
{
  TaskId task;
  std::uint64_t attempt = 0;
  ClassId classId;
  Resources size;
  std::int64_t runMillis = 0;
  std::uint64_t checkpoint = 0;
  bool service = false;

  auto operator==(const StartCommand&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartCommand,
                                   task,
                                   attempt,
                                   classId,
                                   size,
                                   runMillis,
                                   checkpoint,
                                   service)

// One attempt of a task, as stops and acknowledgements name it.
struct AttemptRef
{
  TaskId task;
  std::uint64_t attempt = 0;

  auto operator==(const AttemptRef&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptRef, task, attempt)

struct ThrottleCommand
{
  TaskId task;
  std::uint64_t attempt = 0;
  int percent = 100;

  auto operator==(const ThrottleCommand&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ThrottleCommand, task, attempt, percent)

struct SyncRequest
{
  ShardNumber shard = 0;
  std::uint64_t epoch = 0;
  // Grows with each exchange of one epoch; the worker refuses older ones, so
  // that a reply proves that no earlier request can take effect any more.
  std::uint64_t sequence = 0;
  // Absent in the first exchange: then neither lease nor starts are given.
  std::optional<WorkerStamp> stamp;
  std::int64_t leaseMillis = 0;
  std::int64_t startWindowMillis = 0;
  std::vector<StartCommand> starts;
  // Checkpoint and stop; the attempt stays in reports until acknowledged.
  std::vector<AttemptRef> stops;
  // Ended attempts whose end is recorded; the worker may forget them.
  std::vector<AttemptRef> acknowledged;
  std::vector<ThrottleCommand> throttles;

  auto operator==(const SyncRequest&) const -> bool = default;
};

auto
to_json(nlohmann::json& aJson, const SyncRequest& aRequest) -> void;
auto
from_json(const nlohmann::json& aJson, SyncRequest& aRequest) -> void;

enum class AttemptState
{
  Running,
  Finished,
  Failed,
  Stopped,
  Refused,
  AttemptState_NB
};

auto
ToText(AttemptState aState) -> const char*;

struct AttemptReport
{
  TaskId task;
  std::uint64_t attempt = 0;
  AttemptState state = AttemptState::Running;
  std::uint64_t checkpoint = 0;
  Resources used;
  // For services: answer time now divided by the answer time alone.
  double slowdown = 1.0;
  std::string reason;

  auto operator==(const AttemptReport&) const -> bool = default;
};

auto
to_json(nlohmann::json& aJson, const AttemptReport& aReport) -> void;
auto
from_json(const nlohmann::json& aJson, AttemptReport& aReport) -> void;

struct WorkerReport
{
  // False if the worker obeys a newer epoch; then nothing else counts.
  bool accepted = false;
  std::uint64_t epoch = 0;
  WorkerStamp stamp;
  Resources capacity;
  std::vector<AttemptReport> attempts;

  auto operator==(const WorkerReport&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerReport,
                                   accepted,
                                   epoch,
                                   stamp,
                                   capacity,
                                   attempts)

} // namespace gooseberry

#endif
