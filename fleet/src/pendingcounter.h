#ifndef GOOSEBERRY_PENDINGCOUNTER_H
#define GOOSEBERRY_PENDINGCOUNTER_H

// Counts the jobs of cells that have not begun, from the rows in the store, for
// cells whose owner does not tell. Runs on the event loop.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisionlog.h"
#include "loop.h"
#include "recorder.h"
#include "tableport.h"

namespace gooseberry::fleet {

class PendingCounter : public std::enable_shared_from_this<PendingCounter>
{
public:
  // By cell and queue; each cell that was asked for has an entry.
  using Counts = std::map<std::string, std::map<std::string, std::size_t>>;
  // Null if the jobs can't be counted now.
  using OnCounted = std::function<void(const Counts*)>;

  PendingCounter(Loop& aLoop,
                 cells::TableClient& aTables,
                 cells::DecisionLog& aLog);

  // Reads the rows, or joins a count of these cells that is under way or not
  // older than kMinCountInterval. aReadsPerSecond: calls to the store that this
  // instance may make; jobs are not counted if that is too few.
  auto Count(const std::set<std::string>& aCells,
             double aReadsPerSecond,
             OnCounted aDone) -> void;

private:
  // The rows of one count.
  struct Reading
  {
    Time sentAt{};
    std::set<std::string> cells;
    std::vector<cells::StoredRow> submissions;
    std::vector<cells::StoredRow> records;
    std::vector<cells::StoredRow> cancellations;
    // Ranges that are to be read, and the rows that each adds to.
    std::deque<
      std::pair<cells::RowRange, std::vector<cells::StoredRow> Reading::*>>
      ranges;
    std::size_t calls = 0;
    std::size_t pendingReads = 0;
    bool failed = false;
    // What follows once all are read.
    void (PendingCounter::*next)(const std::shared_ptr<Reading>&) = nullptr;
    // Jobs without a task that has begun, which may have been cancelled.
    std::vector<cells::JobRow> waiting;
  };

  // Sends the next reads, few at a time: callers' requests use the same
  // connections.
  auto ReadMore(const std::shared_ptr<Reading>& aReading) -> void;
  // Finds the jobs that wait, and reads their cancellations.
  auto OnJobsRead(const std::shared_ptr<Reading>& aReading) -> void;
  auto OnCancellationsRead(const std::shared_ptr<Reading>& aReading) -> void;
  auto Finish(const std::shared_ptr<Reading>& aReading) -> void;

  Loop& loop;
  cells::TableClient& tables;
  cells::DecisionLog& log;
  // The count under way.
  std::shared_ptr<Reading> current;
  std::vector<OnCounted> callbacks;
  Time countedAt{};
  Counts counts;
  // No count begins before this time.
  Time nextCountAt{};
};

} // namespace gooseberry::fleet

#endif
