#ifndef GOOSEBERRY_CELLLOAD_H
#define GOOSEBERRY_CELLLOAD_H

// Work and room of a cell as its owner publishes them, and the choice of a cell
// for a new job by them. Pure decisions, no I/O.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "layout.h"

namespace gooseberry::cells {

// Remaining work of jobs of one priority and size whose results will be of use,
// waiting or running.
struct PendingWork
{
  int priority = 0;
  // Binary logarithm of the total work of each job.
  int sizeClass = 0;
  // In core-milliseconds.
  std::int64_t work = 0;

  auto operator==(const PendingWork&) const -> bool = default;
};

// Best-effort jobs, or all others, as far as admission depends on them.
struct GroupLoad
{
  // For some time now, jobs have lost their use for lack of capacity.
  bool overloaded = false;
  // Processors that work for these jobs, in thousandths of a core.
  std::int64_t cpuMillis = 0;
  std::vector<PendingWork> pending;

  auto operator==(const GroupLoad&) const -> bool = default;
};

// Class of a job with this total work, in core-milliseconds.
auto
SizeClassOf(double aTotalWork) -> int;

// Amounts are in thousandths of a core and cover the workers that accept tasks,
// in all services.
struct CellLoad
{
  std::uint64_t fencingToken = 0;
  // The instance that owns the cell.
  std::string owner;
  // When this was measured, on the store's steady clock in milliseconds; 0:
  // unknown.
  std::int64_t storeClockMs = 0;
  // The owner knows what runs on the cell's workers. A new owner has to ask
  // them first; until then the amounts below tell nothing.
  bool isKnown = true;
  // Jobs by queue of which no task was started yet, and whether the owner knew
  // all jobs that had been accepted some seconds before.
  std::map<std::string, std::size_t> pending;
  bool countsAllJobs = true;
  // Capacity by service, and labels, of the workers that accept tasks.
  std::map<std::string, std::int64_t> capacity;
  std::vector<std::string> labels;
  // Not reserved.
  std::int64_t room = 0;
  // Reserved by long-running tasks, or needed by those that wait.
  std::int64_t longRunning = 0;
  // Reserved by other tasks, or needed by those that wait and can still be on
  // time, averaged over kLoadAverageTime: such tasks are short, so that a
  // single value says little about the time until the next one is read.
  std::int64_t reservedDemand = 0;
  // What best-effort tasks may use in all, and what they use or wait for, as
  // far as it can still be on time; both averaged.
  std::int64_t idle = 0;
  std::int64_t bestEffortDemand = 0;
  // As last sampled: needed by reserving tasks that wait and can still be on
  // time, what best-effort tasks may still use (0 if some of those wait), and
  // the room of the worker with the most.
  std::int64_t waiting = 0;
  std::int64_t bestEffortRoom = 0;
  std::int64_t largestRoom = 0;
  // The room of the worker with the most once its tasks that are not
  // long-running have ended.
  std::int64_t largestLongRunningRoom = 0;
  // Of all workers that are listed, also those that accept no tasks at present:
  // the maximum of each resource by service, and labels except racks.
  std::map<std::string, Resources> largestWorkers;
  std::vector<std::string> listedLabels;
  GroupLoad reservedJobs;
  GroupLoad bestEffortJobs;

  auto operator==(const CellLoad&) const -> bool = default;
};

auto
EncodeCellLoad(const CellLoad& aLoad) -> std::string;

auto
DecodeCellLoad(const std::string& aBytes, std::string& aReason)
  -> std::optional<CellLoad>;

// Chooses the cell for a new job: the one with the racks it requires, else one
// near its data, else one drawn by the hash of the job's id. The chance of a
// cell is in proportion to its free room for the job's kind of task, so that
// instances with equally old loads spread their jobs as the room is spread.
// aLoads holds the known loads by cell. Returns nothing if the job requires
// racks of several cells or if there is no cell.
auto
ChooseCell(const Layout& aLayout,
           const std::map<std::string, CellLoad>& aLoads,
           const JobRow& aJob) -> std::optional<std::string>;

} // namespace gooseberry::cells

#endif
