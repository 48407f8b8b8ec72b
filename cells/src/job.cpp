#include "job.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "workerslot.h"

namespace gooseberry::cells {

namespace {

// Tasks that are done, fail no more and run nowhere are kept as one text of
// ranges for each step; all others have a mark of their own.
auto
IsPlainlyDone(const JobRecord::TaskMark& aMark) -> bool
{
  return aMark.phase == TaskPhase::Done && aMark.runs.empty();
}

auto
MarkOf(const Task& aTask,
       std::uint32_t aOccurrence,
       std::uint32_t aStep,
       std::uint32_t aIndex) -> JobRecord::TaskMark
{
  auto mark = JobRecord::TaskMark{ aOccurrence, aStep, aIndex };
  mark.phase = aTask.phase;
  mark.failures = aTask.failures;
  mark.lastRun = aTask.lastRun;
  if (aTask.phase == TaskPhase::Open) {
    mark.checkpoint = aTask.checkpoint;
  }
  for (const auto& run : aTask.runs) {
    mark.runs.push_back(
      { run.number,
        run.worker->entry.id,
        run.bornUnixMs,
        run.worker->entry.machine });
  }
  return mark;
}

auto
ToJson(const JobRecord::TaskMark& aMark) -> nlohmann::json
{
  auto runs = nlohmann::json::array();
  for (const auto& run : aMark.runs) {
    runs.push_back({ run.number, run.worker, run.bornUnixMs, run.machine });
  }
  return { aMark.occurrence,
           aMark.step,
           aMark.index,
           static_cast<int>(aMark.phase),
           aMark.failures,
           aMark.lastRun,
           aMark.checkpoint,
           std::move(runs) };
}

auto
MarkFromJson(const nlohmann::json& aJson) -> JobRecord::TaskMark
{
  auto mark = JobRecord::TaskMark{ aJson.at(0).get<std::uint32_t>(),
                                   aJson.at(1).get<std::uint32_t>(),
                                   aJson.at(2).get<std::uint32_t>() };
  mark.phase = static_cast<TaskPhase>(aJson.at(3).get<int>());
  mark.failures = aJson.at(4).get<std::uint32_t>();
  mark.lastRun = aJson.at(5).get<std::uint32_t>();
  mark.checkpoint = aJson.at(6).get<std::string>();
  for (const auto& run : aJson.at(7)) {
    mark.runs.push_back({ run.at(0).get<std::uint32_t>(),
                          run.at(1).get<WorkerId>(),
                          run.at(2).get<std::int64_t>(),
                          run.at(3).get<MachineId>() });
  }
  return mark;
}

} // namespace

auto
ToText(JobState aState) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(JobState::JobState_NB)>
    kNames{ "queued", "running", "completed", "failed", "cancelled" };
  return kNames.at(static_cast<std::size_t>(aState));
}

auto
IsFinal(JobState aState) -> bool
{
  return aState == JobState::Completed || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

auto
ToText(RunPhase aPhase) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(RunPhase::RunPhase_NB)>
    kNames{ "planned",   "starting", "unsettled",
            "inherited", "running",  "stopping" };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

auto
ToText(StopReason aReason) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(StopReason::StopReason_NB)>
    kNames{ "none",    "cancelled", "job_failed", "beaten",  "displaced",
            "drained", "evacuated", "stuck",      "unknown", "settled" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

auto
Task::FindRun(std::uint32_t aNumber) -> Run*
{
  const auto found =
    std::find_if(this->runs.begin(), this->runs.end(), [&](const Run& aRun) {
      return aRun.number == aNumber;
    });
  return found == this->runs.end() ? nullptr : &*found;
}

auto
RecordOf(const Job& aJob) -> JobRecord
{
  auto record = JobRecord{ aJob.state, aJob.finishedOccurrences, {} };
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
         ++step) {
      const auto& tasks = occurrence.steps[step].tasks;
      for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
        const auto& task = tasks[index];
        const auto final = IsFinal(aJob.state) && task.runs.empty();
        if (!final && (task.phase != TaskPhase::Open || task.lastRun > 0)) {
          record.tasks.push_back(MarkOf(task, number, step, index));
        }
      }
    }
  }
  return record;
}

auto
EncodeRecord(const JobRecord& aRecord) -> std::string
{
  auto marks = nlohmann::json::array();
  // Done tasks: occurrence, step, then first and last index of each range.
  auto done = nlohmann::json::array();
  for (const auto& mark : aRecord.tasks) {
    if (!IsPlainlyDone(mark)) {
      marks.push_back(ToJson(mark));
      continue;
    }
    const auto extends = !done.empty() && done.back().at(0) == mark.occurrence &&
                         done.back().at(1) == mark.step &&
                         done.back().at(3) == mark.index - 1;
    if (extends) {
      done.back().at(3) = mark.index;
    } else {
      done.push_back({ mark.occurrence, mark.step, mark.index, mark.index });
    }
  }
  auto bytes = std::string{};
  nlohmann::json::to_msgpack({ { "s", static_cast<int>(aRecord.state) },
                               { "f", aRecord.finishedOccurrences },
                               { "t", std::move(marks) },
                               { "d", std::move(done) } },
                             bytes);
  return bytes;
}

auto
DecodeRecord(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRecord>
{
  try {
    const auto json = nlohmann::json::from_msgpack(aBytes);
    auto record = JobRecord{};
    record.state = static_cast<JobState>(json.at("s").get<int>());
    record.finishedOccurrences = json.at("f").get<std::uint32_t>();
    for (const auto& mark : json.at("t")) {
      record.tasks.push_back(MarkFromJson(mark));
    }
    for (const auto& range : json.at("d")) {
      auto mark = JobRecord::TaskMark{ range.at(0).get<std::uint32_t>(),
                                       range.at(1).get<std::uint32_t>(),
                                       range.at(2).get<std::uint32_t>() };
      mark.phase = TaskPhase::Done;
      const auto last = range.at(3).get<std::uint32_t>();
      for (; mark.index <= last; ++mark.index) {
        record.tasks.push_back(mark);
      }
    }
    return record;
  } catch (const nlohmann::json::exception& fault) {
    aReason = fault.what();
    return std::nullopt;
  }
}

auto
NewOccurrence(const JobSpec& aSpec) -> Occurrence
{
  auto occurrence = Occurrence{};
  occurrence.steps.resize(aSpec.steps.size());
  for (auto step = std::size_t{ 0 }; step < aSpec.steps.size(); ++step) {
    occurrence.steps[step].tasks.resize(aSpec.steps[step].tasks);
  }
  occurrence.openSteps = static_cast<std::uint32_t>(aSpec.steps.size());
  return occurrence;
}

auto
ChainFrom(const JobSpec& aSpec, std::size_t aStep) -> Millis
{
  // Steps name earlier ones only, so one pass from the last step suffices.
  auto chains = std::vector<Millis>(aSpec.steps.size());
  for (auto step = aSpec.steps.size(); step-- > aStep;) {
    chains[step] += aSpec.steps[step].estimate;
    for (const auto earlier : aSpec.steps[step].after) {
      chains[earlier] = std::max(chains[earlier], chains[step]);
    }
  }
  return chains[aStep];
}

auto
LongestChain(const JobSpec& aSpec) -> Millis
{
  auto longest = Millis{ 0 };
  for (auto step = std::size_t{ 0 }; step < aSpec.steps.size(); ++step) {
    longest = std::max(longest, ChainFrom(aSpec, step));
  }
  return longest;
}

} // namespace gooseberry::cells
