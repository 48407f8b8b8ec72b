#ifndef GOOSEBERRY_JOBNAME_H
#define GOOSEBERRY_JOBNAME_H

// Names of jobs and of their tasks.

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

// Sixteen hexadecimal digits that the caller chose.
class JobId
{
public:
  static constexpr std::size_t kDigits = 16;

  JobId() = default;
  // Nothing if the text is no such name.
  static auto Parse(std::string_view aText) -> std::optional<JobId>;

  auto operator<=>(const JobId&) const = default;
  auto Text() const -> std::string;
  auto Hash() const -> std::uint64_t;

private:
  std::array<char, kDigits> digits{};
};

// One task: a job's occurrence, a step of it, and the task's place in the step.
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

// The step of a task.
auto
StepOf(const TaskName& aTask) -> StepName;

// JOB.OCCURRENCE.STEP
auto
ToText(const StepName& aName) -> std::string;

// A run by name, valid as long as the job is known.
struct RunRef
{
  TaskName task;
  std::uint32_t run = 0;

  auto operator<=>(const RunRef&) const = default;
};

auto
ToText(const TaskName& aName) -> std::string;

// Reads JOB.OCCURRENCE.STEP.INDEX; nothing if the text is no such name.
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
