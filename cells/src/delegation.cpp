#include "delegation.h"

#include <charconv>

#include "msgpacktext.h"

namespace gooseberry::cells {

namespace {

const std::string kLoadKey = "load";
const std::string kLearnedKey = "learned";
const std::string kDelegationPrefix = "out/";
const std::string kReportPrefix = "in/";

using TaskTuple = std::tuple<std::uint32_t,
                             std::uint32_t,
                             std::uint32_t,
                             std::string,
                             std::int64_t,
                             std::uint32_t>;
using DelegationTuple = std::tuple<std::uint64_t,
                                   std::string,
                                   std::uint32_t,
                                   std::uint32_t,
                                   bool,
                                   std::vector<TaskTuple>>;

using RunTuple =
  std::tuple<std::uint32_t, std::string, std::int64_t, std::string>;
using ReportTaskTuple = std::tuple<std::uint32_t,
                                   int,
                                   std::uint32_t,
                                   std::uint32_t,
                                   std::string,
                                   std::vector<RunTuple>,
                                   std::uint32_t>;
using ReportTuple =
  std::tuple<std::uint64_t, std::string, bool, std::vector<ReportTaskTuple>>;

template<class Tuple>
auto
Pack(const Tuple& aTuple) -> std::string
{
  auto buffer = msgpack::sbuffer{};
  msgpack::pack(buffer, aTuple);
  return { buffer.data(), buffer.size() };
}

template<class Tuple>
auto
Unpack(const std::string& aBytes, std::string& aReason) -> std::optional<Tuple>
{
  try {
    const auto handle = UnpackBounded(aBytes);
    return handle.get().as<Tuple>();
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace

auto
EncodeDelegation(const Delegation& aDelegation) -> std::string
{
  auto tasks = std::vector<TaskTuple>{};
  for (const auto& task : aDelegation.tasks) {
    tasks.emplace_back(task.index,
                       task.failures,
                       task.lastRunNumber,
                       task.checkpoint,
                       task.waited.count(),
                       task.losses);
  }
  return Pack(DelegationTuple{ aDelegation.number,
                               EncodeJobRow(aDelegation.job),
                               aDelegation.occurrence,
                               aDelegation.step,
                               aDelegation.recalled,
                               std::move(tasks) });
}

auto
DecodeDelegation(const std::string& aBytes, std::string& aReason)
  -> std::optional<Delegation>
{
  const auto tuple = Unpack<DelegationTuple>(aBytes, aReason);
  if (!tuple) {
    return std::nullopt;
  }
  auto delegation = Delegation{};
  auto tasks = std::vector<TaskTuple>{};
  auto job = std::string{};
  std::tie(delegation.number,
           job,
           delegation.occurrence,
           delegation.step,
           delegation.recalled,
           tasks) = *tuple;
  auto row = DecodeJobRow(job, aReason);
  if (!row) {
    return std::nullopt;
  }
  delegation.job = std::move(*row);
  const auto& steps = delegation.job.spec.steps;
  if (delegation.step >= steps.size()) {
    aReason = "step " + std::to_string(delegation.step) + " of " +
              std::to_string(steps.size());
    return std::nullopt;
  }
  for (auto& [index, failures, lastRunNumber, checkpoint, waitedMs, losses] :
       tasks) {
    if (index >= steps[delegation.step].taskCount) {
      aReason = "task " + std::to_string(index) + " of " +
                std::to_string(steps[delegation.step].taskCount);
      return std::nullopt;
    }
    if (waitedMs < 0 || waitedMs > kMaxDelegatedWait.count()) {
      aReason = "wait of " + std::to_string(waitedMs) + " ms of a task";
      return std::nullopt;
    }
    delegation.tasks.push_back({ index,
                                 failures,
                                 lastRunNumber,
                                 std::move(checkpoint),
                                 Millis{ waitedMs },
                                 losses });
  }
  return delegation;
}

auto
EncodeDelegationReport(const DelegationReport& aReport) -> std::string
{
  auto tasks = std::vector<ReportTaskTuple>{};
  for (const auto& task : aReport.tasks) {
    auto runs = std::vector<RunTuple>{};
    for (const auto& run : task.runs) {
      runs.emplace_back(
        run.number, run.worker.text, run.workerStartUnixMs, run.machine.text);
    }
    tasks.emplace_back(task.index,
                       static_cast<int>(task.state),
                       task.failures,
                       task.lastRunNumber,
                       task.checkpoint,
                       std::move(runs),
                       task.losses);
  }
  return Pack(ReportTuple{
    aReport.number, aReport.job.Text(), aReport.started, std::move(tasks) });
}

auto
DecodeDelegationReport(const std::string& aBytes, std::string& aReason)
  -> std::optional<DelegationReport>
{
  auto tuple = Unpack<ReportTuple>(aBytes, aReason);
  if (!tuple) {
    return std::nullopt;
  }
  auto& [number, jobText, started, tasks] = *tuple;
  const auto job = JobId::Parse(jobText);
  if (!job) {
    aReason = "bad job id '" + jobText + "'";
    return std::nullopt;
  }
  auto report = DelegationReport{ number, *job, started, {} };
  for (auto& [index, state, failures, lastRunNumber, checkpoint, runs, losses] :
       tasks) {
    if (state < 0 ||
        state >= static_cast<int>(DelegatedTaskState::DelegatedTaskState_NB)) {
      aReason = "state " + std::to_string(state) + " of a task is not known";
      return std::nullopt;
    }
    auto& task = report.tasks.emplace_back();
    task.index = index;
    task.state = static_cast<DelegatedTaskState>(state);
    task.failures = failures;
    task.lastRunNumber = lastRunNumber;
    task.checkpoint = std::move(checkpoint);
    task.losses = losses;
    for (auto& [run, worker, startUnixMs, machine] : runs) {
      task.runs.push_back(
        { run, { std::move(worker) }, startUnixMs, { std::move(machine) } });
    }
  }
  return report;
}

auto
ToText(const DelegationKey& aKey) -> std::string
{
  if (aKey.kind == DelegationKey::Kind::Load) {
    return kLoadKey;
  }
  if (aKey.kind == DelegationKey::Kind::Learned) {
    return kLearnedKey;
  }
  const auto& prefix = aKey.kind == DelegationKey::Kind::Delegation
                         ? kDelegationPrefix
                         : kReportPrefix;
  return prefix + aKey.peer + "/" + std::to_string(aKey.number);
}

auto
ParseDelegationKey(const std::string& aText) -> std::optional<DelegationKey>
{
  if (aText == kLoadKey) {
    return DelegationKey{};
  }
  if (aText == kLearnedKey) {
    return DelegationKey{ DelegationKey::Kind::Learned };
  }
  auto key = DelegationKey{};
  auto prefix = std::size_t{ 0 };
  if (aText.starts_with(kDelegationPrefix)) {
    key.kind = DelegationKey::Kind::Delegation;
    prefix = kDelegationPrefix.size();
  } else if (aText.starts_with(kReportPrefix)) {
    key.kind = DelegationKey::Kind::Report;
    prefix = kReportPrefix.size();
  } else {
    return std::nullopt;
  }
  const auto slash = aText.rfind('/');
  if (slash <= prefix) {
    return std::nullopt;
  }
  key.peer = aText.substr(prefix, slash - prefix);
  const auto* const end = aText.data() + aText.size();
  const auto [rest, error] =
    std::from_chars(aText.data() + slash + 1, end, key.number);
  return error == std::errc{} && rest == end ? std::optional{ key }
                                             : std::nullopt;
}

} // namespace gooseberry::cells
