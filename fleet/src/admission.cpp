#include "admission.h"

#include <algorithm>
#include <cmath>

#include "job.h"

namespace gooseberry::fleet {

namespace {

using cells::CellLoad;
using cells::JobRow;
using cells::StepSpec;
using std::chrono::seconds;

// A label or a size that no worker has may come with a new worker; machines
// take some seconds to start.
constexpr seconds kNoWorkerRetryAfter{ 5 };
// Longest part of Retry-After that follows from the load, and that follows from
// the job's id. The load says nothing about later times.
constexpr double kMaxRetrySeconds = 15.0;
constexpr double kMinSpreadSeconds = 2.0;
// Most jobs that are remembered as sent to the store. An instance accepts some
// ten jobs a second, and callers give up within half a minute.
constexpr std::size_t kMaxRecentSubmissions = 2000;

auto
FitsSomeWorker(const CellLoad& aLoad, const JobRow& aJob, const StepSpec& aStep)
  -> bool
{
  const auto largest = aLoad.largestWorkers.find(aJob.policy.service.text);
  return largest != aLoad.largestWorkers.end() &&
         aStep.taskResources.FitsIn(largest->second);
}

auto
HasLabel(const cells::Layout& aLayout,
         const CellLoad& aLoad,
         const StepSpec& aStep) -> bool
{
  return aStep.requiredLabel.empty() ||
         aLayout.racks.contains(aStep.requiredLabel) ||
         std::find(aLoad.listedLabels.begin(),
                   aLoad.listedLabels.end(),
                   aStep.requiredLabel) != aLoad.listedLabels.end();
}

// The first step that no worker of any cell can run, worded for the caller.
auto
FindUnservableStep(const cells::Layout& aLayout,
                   const std::vector<const CellLoad*>& aLoads,
                   const JobRow& aJob) -> std::optional<std::string>
{
  const auto& steps = aJob.spec.steps;
  for (auto step = std::size_t{ 0 }; step < steps.size(); ++step) {
    const auto where = "steps[" + std::to_string(step) + "]: no worker ";
    if (std::none_of(aLoads.begin(), aLoads.end(), [&](const CellLoad* aLoad) {
          return FitsSomeWorker(*aLoad, aJob, steps[step]);
        })) {
      return where + "is large enough for one task";
    }
    if (std::none_of(aLoads.begin(), aLoads.end(), [&](const CellLoad* aLoad) {
          return HasLabel(aLayout, *aLoad, steps[step]);
        })) {
      return where + "has the label " + steps[step].requiredLabel;
    }
  }
  return std::nullopt;
}

struct JobNeeds
{
  // In core-milliseconds.
  double totalWork = 0.0;
  Millis criticalPath{ 0 };
  // The result is of use if the job ends within this time.
  Millis limit{ 0 };
};

auto
NeedsOf(const JobRow& aJob) -> JobNeeds
{
  const auto occurrence = cells::NewOccurrence(aJob.spec);
  auto job = cells::Job{};
  job.row = aJob;
  const auto candidate = cells::MakeCandidate(job, occurrence);
  return { candidate.totalWork,
           candidate.criticalPathLeft,
           ToMillis(candidate.lateObjective - occurrence.dueAt) };
}

// Time until the work is done that a new job waits for: that of higher
// priorities, and of jobs of its own priority that are no larger. Larger ones
// give way to it (cells/outcomes.h).
auto
WaitMs(const cells::GroupLoad& aGroup, int aPriority, int aSizeClass) -> double
{
  auto work = 0.0;
  for (const auto& pending : aGroup.pending) {
    if (pending.priority < aPriority ||
        (pending.priority == aPriority && pending.sizeClass <= aSizeClass)) {
      work += static_cast<double>(pending.work);
    }
  }
  constexpr double kMillisPerCore = 1000.0;
  return work * kMillisPerCore /
         static_cast<double>(std::max<std::int64_t>(aGroup.cpuMillis, 1));
}

// Whether some worker has room for a task of the job's first step now, although
// larger ones wait. Best-effort tasks wait for more than room.
auto
HasRoomNow(const CellLoad& aLoad, const JobRow& aJob) -> bool
{
  const auto& first = aJob.spec.steps.front();
  return !first.bestEffort &&
         first.taskResources.cpuMillis <= aLoad.largestRoom;
}

// The shortest wait among the cells; nothing if one of them may start the job
// soon.
auto
ShortestWaitMs(const std::vector<const CellLoad*>& aLoads,
               const JobRow& aJob,
               const JobNeeds& aNeeds) -> std::optional<double>
{
  const auto bestEffort = aJob.spec.steps.front().bestEffort;
  auto shortest = std::optional<double>{};
  for (const auto* const load : aLoads) {
    const auto& group = bestEffort ? load->bestEffortJobs : load->reservedJobs;
    if (!group.overloaded || HasRoomNow(*load, aJob)) {
      return std::nullopt;
    }
    const auto wait =
      WaitMs(group, aJob.policy.priority, cells::SizeClassOf(aNeeds.totalWork));
    shortest = std::min(shortest.value_or(wait), wait);
  }
  return shortest;
}

// Callers that were refused at the same time come back over the time that the
// work ahead of them takes.
auto
RetryAfter(const cells::JobId& aJob, double aWaitMs, double aExcessMs)
  -> seconds
{
  constexpr double kMsPerSecond = 1000.0;
  const auto base = std::min(aExcessMs / kMsPerSecond, kMaxRetrySeconds);
  const auto spread = static_cast<std::uint64_t>(
    std::clamp(aWaitMs / kMsPerSecond, kMinSpreadSeconds, kMaxRetrySeconds));
  return seconds{ 1 + static_cast<std::int64_t>(base) +
                  static_cast<std::int64_t>(StableHash(aJob.Text()) % spread) };
}

// Whether the time at which the job ends depends on more than the capacity that
// the loads tell of: they do not tell services and labels apart.
auto
IsBeyondPrediction(const std::vector<const CellLoad*>& aLoads,
                   const JobRow& aJob) -> bool
{
  const auto& steps = aJob.spec.steps;
  return aJob.spec.IsLongRunning() || aJob.spec.IsTimed() ||
         aJob.policy.requiresAdvice ||
         std::any_of(steps.begin(),
                     steps.end(),
                     [](const StepSpec& aStep) {
                       return !aStep.requiredLabel.empty();
                     }) ||
         std::any_of(aLoads.begin(), aLoads.end(), [](const CellLoad* aLoad) {
           return aLoad->largestWorkers.size() != 1;
         });
}

} // namespace

auto
DecideAdmission(const cells::Layout& aLayout,
                const std::vector<const CellLoad*>& aLoads,
                const JobRow& aJob) -> AdmissionDecision
{
  // Loads of earlier versions do not tell the sizes of workers.
  if (aLoads.empty() || aJob.spec.steps.empty() ||
      std::any_of(aLoads.begin(), aLoads.end(), [](const CellLoad* aLoad) {
        return aLoad == nullptr || !aLoad->isKnown ||
               aLoad->largestWorkers.empty();
      })) {
    return {};
  }
  if (auto reason = FindUnservableStep(aLayout, aLoads, aJob)) {
    return { AdmissionVerdict::NoWorker,
             std::move(*reason),
             kNoWorkerRetryAfter };
  }
  if (IsBeyondPrediction(aLoads, aJob)) {
    return {};
  }
  const auto needs = NeedsOf(aJob);
  const auto waitMs = ShortestWaitMs(aLoads, aJob, needs);
  if (!waitMs) {
    return {};
  }
  const auto limitMs = static_cast<double>(needs.limit.count());
  const auto endMs = *waitMs + static_cast<double>(needs.criticalPath.count());
  if (endMs <= limitMs) {
    return {};
  }
  return { AdmissionVerdict::Overloaded,
           "the job would end too late to be of use",
           RetryAfter(aJob.id, *waitMs, endMs - limitMs),
           Millis{ std::llround(endMs) },
           needs.limit };
}

auto
RecentSubmissions::Add(const cells::JobId& aJob) -> void
{
  if (!this->jobs.insert(aJob).second) {
    return;
  }
  this->order.push_back(aJob);
  if (this->order.size() > kMaxRecentSubmissions) {
    this->jobs.erase(this->order.front());
    this->order.pop_front();
  }
}

auto
RecentSubmissions::Contains(const cells::JobId& aJob) const -> bool
{
  return this->jobs.contains(aJob);
}

} // namespace gooseberry::fleet
