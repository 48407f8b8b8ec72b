#include "job.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "msgpacktext.h"

#include "tableport.h"
#include "tunables_cells.h"
#include "workerslot.h"

namespace gooseberry::cells {

namespace {

// Completed tasks without runs are stored as index ranges of their step; all
// other tasks have an entry each.
auto
IsDoneWithoutRuns(const JobRecord::TaskRecord& aRecord) -> bool
{
  return aRecord.phase == TaskPhase::Done && aRecord.runs.empty();
}

// Most tasks of all occurrences in a record, so that a few bytes of ranges
// can't fill the memory.
constexpr std::size_t kMaxRecordedTasks = 100000;

// Whether a record may hold this phase.
auto
IsKnownPhase(int aPhase) -> bool
{
  return aPhase >= 0 && aPhase <= static_cast<int>(TaskPhase::Failed);
}

using CompletedRange = std::array<std::uint32_t, 4>;
using RunTuple =
  std::tuple<std::uint32_t, std::string, std::int64_t, std::string>;
using TaskRecordTuple = std::tuple<std::uint32_t,
                                   std::uint32_t,
                                   std::uint32_t,
                                   int,
                                   std::uint32_t,
                                   std::uint32_t,
                                   std::string,
                                   std::vector<RunTuple>,
                                   std::uint32_t>;

auto
MakeTaskRecord(const Task& aTask,
               std::uint32_t aOccurrence,
               std::uint32_t aStep,
               std::uint32_t aIndex) -> JobRecord::TaskRecord
{
  auto record = JobRecord::TaskRecord{ aOccurrence, aStep, aIndex };
  // Rows of their own tell which tasks are delegated.
  record.phase =
    aTask.phase == TaskPhase::Elsewhere ? TaskPhase::Open : aTask.phase;
  record.failures = aTask.failures;
  record.lastRunNumber = aTask.lastRunNumber;
  if (record.phase == TaskPhase::Open) {
    record.checkpoint = aTask.checkpoint;
  }
  record.runs = MakeRunRecords(aTask);
  record.losses = aTask.losses;
  return record;
}

auto
ToTuple(const JobRecord::TaskRecord& aRecord) -> TaskRecordTuple
{
  auto runs = std::vector<RunTuple>{};
  for (const auto& run : aRecord.runs) {
    runs.emplace_back(
      run.number, run.worker.text, run.workerStartUnixMs, run.machine.text);
  }
  return { aRecord.occurrence, aRecord.step,
           aRecord.index,      static_cast<int>(aRecord.phase),
           aRecord.failures,   aRecord.lastRunNumber,
           aRecord.checkpoint, std::move(runs),
           aRecord.losses };
}

auto
TaskRecordFrom(const TaskRecordTuple& aTuple) -> JobRecord::TaskRecord
{
  auto record = JobRecord::TaskRecord{
    std::get<0>(aTuple), std::get<1>(aTuple),
    std::get<2>(aTuple), static_cast<TaskPhase>(std::get<3>(aTuple)),
    std::get<4>(aTuple), std::get<5>(aTuple),
    std::get<6>(aTuple)
  };
  for (const auto& [number, worker, bornUnixMs, machine] :
       std::get<7>(aTuple)) {
    record.runs.push_back({ number, { worker }, bornUnixMs, { machine } });
  }
  record.losses = std::get<8>(aTuple);
  return record;
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
    kNames{ "none",  "cancelled", "job_failed", "beaten", "displaced",
            "stuck", "unknown",   "settled",    "broken" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

auto
ThrottledTimeOf(const Run& aRun, Time aNow) -> Micros
{
  if (aRun.speedPercent >= kFullPace) {
    return aRun.throttledTime;
  }
  return aRun.throttledTime +
         (aNow - aRun.speedSetAt) * (kFullPace - aRun.speedPercent) / kFullPace;
}

auto
Task::WaitedUntil(Time aNow) const -> Millis
{
  return this->waitingSince
           ? this->waitedAtHome + ToMillis(aNow - *this->waitingSince)
           : Millis{ 0 };
}

auto
Task::IsOverdue(Time aNow) const -> bool
{
  return this->IsOpen() && this->WaitedUntil(aNow) > this->MaxWait();
}

auto
Task::MaxWait() const -> Millis
{
  return this->lastRunNumber > 0 ? kInterruptedMaxWait : kNewTaskMaxWait;
}

auto
Task::IsOverdueAgain(Time aNow) const -> bool
{
  return this->lastRunNumber > 0 && this->IsOverdue(aNow);
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
HasRuns(const Job& aJob) -> bool
{
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (const auto& step : occurrence.steps) {
      if (std::any_of(step.tasks.begin(),
                      step.tasks.end(),
                      [](const Task& aTask) { return !aTask.runs.empty(); })) {
        return true;
      }
    }
  }
  return false;
}

auto
MakeRunRecords(const Task& aTask) -> std::vector<JobRecord::RunRecord>
{
  auto records = std::vector<JobRecord::RunRecord>{};
  for (const auto& run : aTask.runs) {
    records.push_back({ run.number,
                        run.worker->entry.id,
                        run.workerStartUnixMs,
                        run.worker->entry.machine });
  }
  return records;
}

auto
MakeJobRecord(const Job& aJob) -> JobRecord
{
  auto record = JobRecord{
    aJob.state, aJob.row.acceptedUnixMs, aJob.finishedOccurrences, {}
  };
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (auto step = std::uint32_t{ 0 }; step < occurrence.steps.size();
         ++step) {
      const auto& tasks = occurrence.steps[step].tasks;
      for (auto index = std::uint32_t{ 0 }; index < tasks.size(); ++index) {
        const auto& task = tasks[index];
        const auto final = IsFinal(aJob.state) && task.runs.empty();
        if (!final &&
            (task.phase != TaskPhase::Open || task.lastRunNumber > 0)) {
          record.tasks.push_back(MakeTaskRecord(task, number, step, index));
        }
      }
    }
  }
  return record;
}

auto
EncodeJobRecord(const JobRecord& aRecord) -> std::string
{
  auto taskTuples = std::vector<TaskRecordTuple>{};
  // Completed tasks: occurrence, step, first and last index of each range.
  auto completedRanges = std::vector<CompletedRange>{};
  for (const auto& task : aRecord.tasks) {
    if (!IsDoneWithoutRuns(task)) {
      taskTuples.push_back(ToTuple(task));
      continue;
    }
    const auto extends = !completedRanges.empty() &&
                         completedRanges.back()[0] == task.occurrence &&
                         completedRanges.back()[1] == task.step &&
                         completedRanges.back()[3] + 1 == task.index;
    if (extends) {
      completedRanges.back()[3] = task.index;
    } else {
      completedRanges.push_back(
        { task.occurrence, task.step, task.index, task.index });
    }
  }
  auto buffer = msgpack::sbuffer{};
  msgpack::pack(buffer,
                std::tuple{ static_cast<int>(aRecord.state),
                            aRecord.finishedOccurrences,
                            taskTuples,
                            completedRanges,
                            aRecord.acceptedUnixMs,
                            aRecord.continuationRows });
  return { buffer.data(), buffer.size() };
}

auto
EncodeRecordRows(const JobRecord& aRecord) -> std::vector<std::string>
{
  auto whole = EncodeJobRecord(aRecord);
  if (whole.size() <= kMaxRowBytes) {
    return { std::move(whole) };
  }
  auto rows = std::vector<std::string>{ "" };
  for (auto at = std::size_t{ 0 }; at < whole.size(); at += kMaxRowBytes) {
    rows.push_back(whole.substr(at, kMaxRowBytes));
  }
  auto first = JobRecord{
    aRecord.state, aRecord.acceptedUnixMs, aRecord.finishedOccurrences, {}
  };
  first.continuationRows = static_cast<std::uint32_t>(rows.size() - 1);
  rows[0] = EncodeJobRecord(first);
  return rows;
}

auto
DecodeRecordRows(const std::string& aFirst,
                 const std::map<std::uint32_t, std::string>& aContinuations,
                 std::string& aReason) -> std::optional<JobRecord>
{
  auto first = DecodeJobRecord(aFirst, aReason);
  if (!first || first->continuationRows == 0) {
    return first;
  }
  auto whole = std::string{};
  for (auto number = std::uint32_t{ 1 }; number <= first->continuationRows;
       ++number) {
    const auto row = aContinuations.find(number);
    if (row == aContinuations.end()) {
      aReason = "row " + std::to_string(number) + " of " +
                std::to_string(first->continuationRows) + " is missing";
      return std::nullopt;
    }
    whole += row->second;
  }
  auto record = DecodeJobRecord(whole, aReason);
  if (record) {
    record->continuationRows = first->continuationRows;
  }
  return record;
}

auto
DecodeJobRecord(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRecord>
{
  using RecordTuple = std::tuple<int,
                                 std::uint32_t,
                                 std::vector<TaskRecordTuple>,
                                 std::vector<CompletedRange>>;
  constexpr std::uint32_t kAcceptedField = 4;
  constexpr std::uint32_t kContinuationsField = 5;
  try {
    const auto handle = UnpackBounded(aBytes);
    const auto [state, finishedOccurrences, taskTuples, completedRanges] =
      handle.get().as<RecordTuple>();
    if (state < 0 || state >= static_cast<int>(JobState::JobState_NB)) {
      aReason = "state " + std::to_string(state) + " is not known";
      return std::nullopt;
    }
    auto record =
      JobRecord{ static_cast<JobState>(state), 0, finishedOccurrences, {} };
    // Records of earlier versions do not have these fields.
    const auto& fields = handle.get().via.array;
    if (fields.size > kAcceptedField) {
      record.acceptedUnixMs = fields.ptr[kAcceptedField].as<std::int64_t>();
    }
    if (fields.size > kContinuationsField) {
      record.continuationRows =
        fields.ptr[kContinuationsField].as<std::uint32_t>();
    }
    for (const auto& task : taskTuples) {
      if (!IsKnownPhase(std::get<3>(task))) {
        aReason =
          "phase " + std::to_string(std::get<3>(task)) + " is not known";
        return std::nullopt;
      }
      record.tasks.push_back(TaskRecordFrom(task));
    }
    for (const auto& range : completedRanges) {
      if (range[3] < range[2] || range[3] >= kMaxTasksPerJob ||
          record.tasks.size() > kMaxRecordedTasks) {
        aReason = "tasks " + std::to_string(range[2]) + " to " +
                  std::to_string(range[3]) + " are no range";
        return std::nullopt;
      }
      auto task = JobRecord::TaskRecord{ range[0], range[1], range[2] };
      task.phase = TaskPhase::Done;
      for (; task.index <= range[3]; ++task.index) {
        record.tasks.push_back(task);
      }
    }
    return record;
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

auto
NewOccurrence(const JobSpec& aSpec) -> Occurrence
{
  auto occurrence = Occurrence{};
  occurrence.steps.resize(aSpec.steps.size());
  for (auto step = std::size_t{ 0 }; step < aSpec.steps.size(); ++step) {
    occurrence.steps[step].tasks.resize(aSpec.steps[step].taskCount);
  }
  occurrence.unfinishedSteps = static_cast<std::uint32_t>(aSpec.steps.size());
  return occurrence;
}

namespace {

// The critical path of the steps, given the duration of each.
auto
CriticalPath(const JobSpec& aSpec, const std::vector<Millis>& aDurations)
  -> Millis
{
  auto finishTimes = std::vector<Millis>(aSpec.steps.size());
  auto longest = Millis{ 0 };
  for (auto step = std::size_t{ 0 }; step < finishTimes.size(); ++step) {
    // Steps depend on earlier ones only.
    for (const auto dependency : aSpec.steps[step].dependencies) {
      finishTimes[step] = std::max(finishTimes[step], finishTimes[dependency]);
    }
    finishTimes[step] += aDurations[step];
    longest = std::max(longest, finishTimes[step]);
  }
  return longest;
}

// How long a task of the step is expected to run, at least as long as the
// longest one that is done.
auto
ExpectedTaskTime(const Job& aJob,
                 const StepProgress& aProgress,
                 std::size_t aStep) -> Millis
{
  const auto isLearned = aStep < aJob.expectedDurations.size() &&
                         aJob.expectedDurations[aStep].count() > 0;
  return std::max(aProgress.longestRun,
                  isLearned ? aJob.expectedDurations[aStep]
                            : aJob.Spec().steps[aStep].estimate);
}

} // namespace

auto
ObjectiveOf(const Job& aJob, const Occurrence& aOccurrence) -> Time
{
  const auto& steps = aJob.Spec().steps;
  auto durations = std::vector<Millis>(steps.size());
  for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
    const auto& progress = aOccurrence.steps[step];
    durations[step] = progress.AllDone()
                        ? progress.longestRun
                        : ExpectedTaskTime(aJob, progress, step);
  }
  const auto criticalPath = CriticalPath(aJob.Spec(), durations);
  return aOccurrence.dueAt + aJob.row.policy.targetLatency +
         std::chrono::duration_cast<Millis>(
           std::chrono::duration<double, std::milli>(criticalPath) *
           aJob.row.policy.slackFactor);
}

auto
MakeCandidate(const Job& aJob, const Occurrence& aOccurrence)
  -> OutcomeCandidate
{
  constexpr double kFullPercent = 100.0;
  auto candidate = OutcomeCandidate{};
  candidate.objective = ObjectiveOf(aJob, aOccurrence);
  candidate.lateObjective =
    LateObjective(aOccurrence.dueAt, candidate.objective);
  const auto& steps = aJob.Spec().steps;
  auto remaining = std::vector<Millis>(steps.size());
  for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
    const auto& progress = aOccurrence.steps[step];
    const auto duration = ExpectedTaskTime(aJob, progress, step);
    const auto taskWork =
      static_cast<double>(duration.count()) *
      static_cast<double>(steps[step].taskResources.cpuMillis) / 1000.0;
    auto longestFraction = 0.0;
    for (const auto& task : progress.tasks) {
      candidate.totalWork += taskWork;
      if (task.phase != TaskPhase::Open) {
        continue;
      }
      auto remainingFraction = 1.0;
      for (const auto& run : task.runs) {
        remainingFraction =
          std::min(remainingFraction, 1.0 - run.progressPercent / kFullPercent);
      }
      candidate.workLeft += taskWork * remainingFraction;
      longestFraction = std::max(longestFraction, remainingFraction);
    }
    remaining[step] = std::chrono::duration_cast<Millis>(
      std::chrono::duration<double, std::milli>(
        static_cast<double>(duration.count()) * longestFraction));
  }
  candidate.criticalPathLeft = CriticalPath(aJob.Spec(), remaining);
  return candidate;
}

} // namespace gooseberry::cells
