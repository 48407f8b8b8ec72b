#ifndef GOOSEBERRY_WORKERPROTOCOL_H
#define GOOSEBERRY_WORKERPROTOCOL_H

// Messages between a shard's owner and a worker. In each exchange the owner
// sends a SyncRequest and the worker replies with a WorkerReport.

#include <optional>
#include <string>
#include <vector>

#include "resourcesjson.h"
#include "task.h"

namespace gooseberry {

// A worker as the platform lists it.
struct WorkerInfo
{
  WorkerId id;
  std::string address; // host:port
  DomainId domain;
  RackId rack;
  Resources capacity;
  // The platform is about to take the worker away.
  bool leaving = false;

  auto operator==(const WorkerInfo&) const -> bool = default;
};

// A reading of the worker's clock, in milliseconds, valid within one
// incarnation of its process. The owner sends it back, and the worker counts
// leases and the age of starts from it, so that a delayed message grants less
// time by the delay.
struct WorkerStamp
{
  std::string incarnation;
  std::int64_t millis = 0;

  auto operator==(const WorkerStamp&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerStamp, incarnation, millis)

// Starts one attempt of a task. runMillis is its expected run time; checkpoint
// is the progress from which it resumes, 0 for none.
struct StartCommand
{
  TaskId task;
  std::uint64_t attempt = 0;
  ClassId classId;
  Resources size;
  std::int64_t runMillis = 0;
  std::uint64_t checkpoint = 0;
  // True for services and watchers, which run until they are stopped.
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

// Identifies one attempt of a task.
struct AttemptRef
{
  TaskId task;
  std::uint64_t attempt = 0;

  auto operator==(const AttemptRef&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptRef, task, attempt)

// Limits an attempt to a percentage of its processors; 100 lifts the limit.
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
  // Grows with each request of one epoch. The worker refuses older ones, so a
  // reply proves that no earlier request can take effect any more.
  std::uint64_t sequence = 0;
  // The newest stamp that the worker sent. Absent while the owner has none, as
  // in the first exchange; then the request neither renews the lease nor starts
  // anything.
  std::optional<WorkerStamp> stamp;
  std::int64_t leaseMillis = 0;
  std::int64_t startWindowMillis = 0;
  std::vector<StartCommand> starts;
  // Attempts to checkpoint and stop; they stay in the reports until
  // acknowledged.
  std::vector<AttemptRef> stops;
  // Ended attempts that the worker may forget, because the owner needs no
  // further report of them.
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

// State of one attempt. used: resources that it uses at present.
struct AttemptReport
{
  TaskId task;
  std::uint64_t attempt = 0;
  AttemptState state = AttemptState::Running;
  std::uint64_t checkpoint = 0;
  Resources used;
  // Services only: present response time divided by the response time without
  // batch tasks on the worker.
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
  // False if the worker has accepted a newer epoch or request; the other
  // members are then ignored.
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
