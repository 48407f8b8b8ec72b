#ifndef GOOSEBERRY_DELEGATION_H
#define GOOSEBERRY_DELEGATION_H

// Rows by which one cell runs tasks for another. The owner of a job's home cell
// that has no room for some tasks of a step delegates them to a host cell, with
// a row in the home cell's part of the store. The host's owner reports on them
// with a row in its own part. Each owner writes only rows of its own part, in
// transactions that hold only while it is the owner.
//
// A delegated task belongs to the host until the host has reported it as done,
// failed or returned, which is final. The home cell removes its row once that
// holds for all tasks and is recorded in the job's record; the host then
// removes the report.

#include <optional>
#include <string>
#include <vector>

#include "job.h"
#include "tableport.h"

namespace gooseberry::cells {

// Longer waits are told as this one.
inline constexpr Millis kMaxDelegatedWait{ 86'400'000 };

// Tasks of one step that a host runs for the job's home cell.
struct Delegation
{
  // State of a task when it was delegated.
  struct Task
  {
    std::uint32_t index = 0;
    std::uint32_t failures = 0;
    std::uint32_t lastRunNumber = 0;
    std::string checkpoint;
    // How long it had been ready without a worker; at most
    // kMaxDelegatedWait.
    Millis waited{ 0 };
    std::uint32_t losses = 0;

    auto operator==(const Task&) const -> bool = default;
  };

  // Unique among the delegations of the home cell, and higher than those
  // before.
  std::uint64_t number = 0;
  JobRow job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<Task> tasks;
  // The host must stop and return all tasks.
  bool recalled = false;

  auto operator==(const Delegation&) const -> bool = default;
};

enum class DelegatedTaskState
{
  Held,     // the host may start it, or has
  Done,     // final
  Failed,   // final: as often as its queue allows
  Returned, // final: no run of it exists, and the host starts none
  DelegatedTaskState_NB
};

struct DelegationReport
{
  struct Task
  {
    std::uint32_t index = 0;
    DelegatedTaskState state = DelegatedTaskState::Held;
    std::uint32_t failures = 0;
    std::uint32_t lastRunNumber = 0;
    std::string checkpoint;
    // Runs that may exist on the host's workers.
    std::vector<JobRecord::RunRecord> runs;
    std::uint32_t losses = 0;

    auto operator==(const Task&) const -> bool = default;
  };

  std::uint64_t number = 0;
  JobId job;
  // A worker has started one of the tasks.
  bool started = false;
  std::vector<Task> tasks;

  auto operator==(const DelegationReport&) const -> bool = default;
};

auto
EncodeDelegation(const Delegation& aDelegation) -> std::string;

// Returns nothing and sets aReason if the bytes are not a valid row; likewise
// below.
auto
DecodeDelegation(const std::string& aBytes, std::string& aReason)
  -> std::optional<Delegation>;

auto
EncodeDelegationReport(const DelegationReport& aReport) -> std::string;

auto
DecodeDelegationReport(const std::string& aBytes, std::string& aReason)
  -> std::optional<DelegationReport>;

// What the key of a row in the table of delegations stands for.
struct DelegationKey
{
  enum class Kind
  {
    Load,       // the load of the part's cell
    Learned,    // what the owner of the part's cell has learnt about images
    Delegation, // of the part's cell to `peer`
    Report,     // of the part's cell to `peer`
    Kind_NB
  };

  Kind kind = Kind::Load;
  std::string peer;
  std::uint64_t number = 0;

  auto operator==(const DelegationKey&) const -> bool = default;
};

// load, learned, out/PEER/NUMBER or in/PEER/NUMBER
auto
ToText(const DelegationKey& aKey) -> std::string;

auto
ParseDelegationKey(const std::string& aText) -> std::optional<DelegationKey>;

} // namespace gooseberry::cells

#endif
