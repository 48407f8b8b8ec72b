#ifndef GOOSEBERRY_JOBNAME_H
#define GOOSEBERRY_JOBNAME_H

// Names of jobs, of their tasks and of task runs.

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "types.h"

namespace gooseberry::cells {

using QueueId = Id<struct QueueTag>;
using MachineId = Id<struct MachineTag>;

// Sixteen hexadecimal digits chosen by the caller.
class JobId
{
public:
  static constexpr std::size_t kDigits = 16;

  JobId() = default;
  // Returns nothing if the text is not a valid id.
  static auto Parse(std::string_view aText) -> std::optional<JobId>;

  auto operator<=>(const JobId&) const = default;
  auto Text() const -> std::string;
  auto Hash() const -> std::uint64_t;

private:
  std::array<char, kDigits> digits{};
};

// One task: job, occurrence of the job, step, and index of the task in the
// step.
struct TaskName
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

// One step of one occurrence of a job.
struct StepName
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepName&) const = default;
};

auto
StepOf(const TaskName& aTask) -> StepName;

// JOB.OCCURRENCE.STEP
auto
ToText(const StepName& aName) -> std::string;

// Refers to one run by name; valid while the job is known.
struct RunRef
{
  TaskName task;
  std::uint32_t run = 0;

  auto operator<=>(const RunRef&) const = default;
};

auto
ToText(const TaskName& aName) -> std::string;

// Reads JOB.OCCURRENCE.STEP.INDEX; returns nothing if the text is not a valid
// name.
auto
ParseTaskName(std::string_view aText) -> std::optional<TaskName>;

} // namespace gooseberry::cells

template<>
struct std::hash<gooseberry::cells::JobId>
{
  auto operator()(const gooseberry::cells::JobId& aId) const noexcept
    -> std::size_t
  {
    return aId.Hash();
  }
};

#endif
