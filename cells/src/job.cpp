#include "job.h"

#include <algorithm>
#include <array>
#include <tuple>

#include <msgpack.hpp>

#include "workerslot.h"

namespace gooseberry::cells {

namespace {

// Tasks that are done and run nowhere are kept as ranges for each step; all
// others have a mark of their own.
auto
IsPlainlyDone(const JobRecord::TaskMark& aMark) -> bool
{
  return aMark.phase == TaskPhase::Done && aMark.runs.empty();
}

using DoneRange = std::array<std::uint32_t, 4>;
using RunTuple =
  std::tuple<std::uint32_t, std::string, std::int64_t, std::string>;
using MarkTuple = std::tuple<std::uint32_t,
                             std::uint32_t,
                             std::uint32_t,
                             int,
                             std::uint32_t,
                             std::uint32_t,
                             std::string,
                             std::vector<RunTuple>>;

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
    mark.runs.push_back({ run.number,
                          run.worker->entry.id,
                          run.bornUnixMs,
                          run.worker->entry.machine });
  }
  return mark;
}

auto
ToTuple(const JobRecord::TaskMark& aMark) -> MarkTuple
{
  auto runs = std::vector<RunTuple>{};
  for (const auto& run : aMark.runs) {
    runs.emplace_back(
      run.number, run.worker.text, run.bornUnixMs, run.machine.text);
  }
  return { aMark.occurrence, aMark.step,
           aMark.index,      static_cast<int>(aMark.phase),
           aMark.failures,   aMark.lastRun,
           aMark.checkpoint, std::move(runs) };
}

auto
MarkFrom(const MarkTuple& aTuple) -> JobRecord::TaskMark
{
  auto mark = JobRecord::TaskMark{
    std::get<0>(aTuple), std::get<1>(aTuple),
    std::get<2>(aTuple), static_cast<TaskPhase>(std::get<3>(aTuple)),
    std::get<4>(aTuple), std::get<5>(aTuple),
    std::get<6>(aTuple)
  };
  for (const auto& [number, worker, born, machine] : std::get<7>(aTuple)) {
    mark.runs.push_back({ number, { worker }, born, { machine } });
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
    kNames{ "none",  "cancelled", "job_failed", "beaten", "displaced",
            "stuck", "unknown",   "settled",    "broken" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

auto
RestOf(const Run& aRun, Time aNow) -> Micros
{
  if (aRun.pace >= kFullPace) {
    return aRun.rested;
  }
  return aRun.rested +
         (aNow - aRun.pacedAt) * (kFullPace - aRun.pace) / kFullPace;
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
  auto marks = std::vector<MarkTuple>{};
  // Done tasks: occurrence, step, first and last index of each range.
  auto done = std::vector<DoneRange>{};
  for (const auto& mark : aRecord.tasks) {
    if (!IsPlainlyDone(mark)) {
      marks.push_back(ToTuple(mark));
      continue;
    }
    const auto extends = !done.empty() && done.back()[0] == mark.occurrence &&
                         done.back()[1] == mark.step &&
                         done.back()[3] + 1 == mark.index;
    if (extends) {
      done.back()[3] = mark.index;
    } else {
      done.push_back({ mark.occurrence, mark.step, mark.index, mark.index });
    }
  }
  auto buffer = msgpack::sbuffer{};
  msgpack::pack(buffer,
                std::tuple{ static_cast<int>(aRecord.state),
                            aRecord.finishedOccurrences,
                            marks,
                            done,
                            aRecord.acceptedUnixMs });
  return { buffer.data(), buffer.size() };
}

auto
DecodeRecord(const std::string& aBytes, std::string& aReason)
  -> std::optional<JobRecord>
{
  using RecordTuple = std::
    tuple<int, std::uint32_t, std::vector<MarkTuple>, std::vector<DoneRange>>;
  constexpr std::uint32_t kAcceptedField = 4;
  try {
    const auto handle = msgpack::unpack(aBytes.data(), aBytes.size());
    const auto [state, finished, marks, done] = handle.get().as<RecordTuple>();
    auto record = JobRecord{ static_cast<JobState>(state), 0, finished, {} };
    // Records of earlier versions end before it.
    const auto& whole = handle.get().via.array;
    if (whole.size > kAcceptedField) {
      record.acceptedUnixMs = whole.ptr[kAcceptedField].as<std::int64_t>();
    }
    for (const auto& mark : marks) {
      record.tasks.push_back(MarkFrom(mark));
    }
    for (const auto& range : done) {
      auto mark = JobRecord::TaskMark{ range[0], range[1], range[2] };
      mark.phase = TaskPhase::Done;
      for (; mark.index <= range[3]; ++mark.index) {
        record.tasks.push_back(mark);
      }
    }
    return record;
  } catch (const std::exception& fault) {
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

namespace {

// The longest chain of steps that wait for each other, if each takes this long.
auto
LongestChain(const JobSpec& aSpec, const std::vector<Millis>& aTakes) -> Millis
{
  auto ends = std::vector<Millis>(aSpec.steps.size());
  auto chain = Millis{ 0 };
  for (auto step = std::size_t{ 0 }; step < ends.size(); ++step) {
    // Steps name earlier ones only.
    for (const auto earlier : aSpec.steps[step].after) {
      ends[step] = std::max(ends[step], ends[earlier]);
    }
    ends[step] += aTakes[step];
    chain = std::max(chain, ends[step]);
  }
  return chain;
}

} // namespace

auto
ObjectiveOf(const Job& aJob, const Occurrence& aOccurrence) -> Time
{
  const auto& steps = aJob.Spec().steps;
  auto takes = std::vector<Millis>(steps.size());
  for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
    const auto& progress = aOccurrence.steps[step];
    takes[step] = progress.AllDone()
                    ? progress.longest
                    : std::max(progress.longest, steps[step].estimate);
  }
  const auto chain = LongestChain(aJob.Spec(), takes);
  return aOccurrence.due + aJob.row.policy.target +
         std::chrono::duration_cast<Millis>(
           std::chrono::duration<double, std::milli>(chain) *
           aJob.row.policy.slackFactor);
}

auto
CandidateOf(const Job& aJob, const Occurrence& aOccurrence) -> Candidate
{
  constexpr double kWhole = 100.0;
  // A late end is of use until so many times the objective.
  constexpr int kLateFactor = 3;
  auto candidate = Candidate{};
  candidate.objective = ObjectiveOf(aJob, aOccurrence);
  candidate.lateObjective =
    aOccurrence.due + (candidate.objective - aOccurrence.due) * kLateFactor;
  const auto& steps = aJob.Spec().steps;
  auto left = std::vector<Millis>(steps.size());
  for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
    const auto& progress = aOccurrence.steps[step];
    const auto takes = std::max(progress.longest, steps[step].estimate);
    const auto taskWork = static_cast<double>(takes.count()) *
                          static_cast<double>(steps[step].size.cpuMillis) /
                          1000.0;
    auto longestLeft = 0.0;
    for (const auto& task : progress.tasks) {
      candidate.work += taskWork;
      if (task.phase != TaskPhase::Open) {
        continue;
      }
      auto part = 1.0;
      for (const auto& run : task.runs) {
        part = std::min(part, 1.0 - run.percent / kWhole);
      }
      candidate.workLeft += taskWork * part;
      longestLeft = std::max(longestLeft, part);
    }
    left[step] = std::chrono::duration_cast<Millis>(
      std::chrono::duration<double, std::milli>(
        static_cast<double>(takes.count()) * longestLeft));
  }
  candidate.chainLeft = LongestChain(aJob.Spec(), left);
  return candidate;
}

} // namespace gooseberry::cells
