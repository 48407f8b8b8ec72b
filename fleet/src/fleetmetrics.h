#ifndef GOOSEBERRY_FLEETMETRICS_H
#define GOOSEBERRY_FLEETMETRICS_H

// Counters and latency histograms of one instance, kept with prometheus-cpp,
// and ports that measure the calls made through them. Runs on the event loop.

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "cell.h"
#include "loop.h"
#include "tableport.h"
#include "workerport.h"

namespace gooseberry::fleet {

class FleetMetrics
{
public:
  FleetMetrics();

  // aKind: commit, read or feed.
  auto CountStoreCall(const char* aKind,
                      cells::TableStatus aEnd,
                      Micros aDuration) -> void;
  auto CountWorkerCall(cells::CallKind aKind,
                       cells::CallOutcome aEnd,
                       Micros aDuration) -> void;
  // aVerb: the kind of request. aReason: why it got this answer. aDuration:
  // from the request's first byte to the answer.
  auto CountAnswer(const char* aVerb,
                   int aStatus,
                   const char* aReason,
                   Micros aDuration) -> void;
  // Adds the difference between two readings of a cell's counts.
  auto AddCellCounts(const cells::CellEventCounts& aBefore,
                     const cells::CellEventCounts& aAfter) -> void;
  // Adds the difference between two readings of a cell's costs.
  auto AddSecondRunCosts(const cells::SecondRunCosts& aBefore,
                         const cells::SecondRunCosts& aAfter) -> void;
  auto AddSpans(const std::vector<cells::LatencySample>& aSpans) -> void;
  // aChange: taken, lost or released.
  auto CountOwnership(const char* aChange) -> void;
  // The rows of an ended job were removed.
  auto CountSweptJob() -> void;
  auto CountAdvice(cells::AdviceStatus aEnd) -> void;
  // A transaction that moves shares of accounts' limits has ended.
  auto CountShareTransaction(cells::TableStatus aEnd) -> void;
  auto SetGauge(const char* aName, double aValue) -> void;
  // All metrics in the text format of Prometheus.
  auto Serialize() -> std::string;

private:
  std::shared_ptr<prometheus::Registry> registry;
  prometheus::Family<prometheus::Counter>& storeCalls;
  prometheus::Family<prometheus::Histogram>& storeSeconds;
  prometheus::Family<prometheus::Counter>& workerCalls;
  prometheus::Family<prometheus::Histogram>& workerSeconds;
  prometheus::Family<prometheus::Counter>& answers;
  prometheus::Family<prometheus::Histogram>& answerSeconds;
  prometheus::Family<prometheus::Counter>& events;
  prometheus::Family<prometheus::Counter>& secondRunCosts;
  prometheus::Family<prometheus::Histogram>& spans;
  prometheus::Family<prometheus::Counter>& ownership;
  prometheus::Family<prometheus::Counter>& sweptJobs;
  prometheus::Family<prometheus::Counter>& advice;
  prometheus::Family<prometheus::Counter>& shareTransactions;
  prometheus::Family<prometheus::Gauge>& gauges;
};

// Forwards calls to the store; counts them and measures their duration.
class MeteredTables : public cells::TableClient
{
public:
  MeteredTables(cells::TableClient& aTables,
                const Clock& aClock,
                FleetMetrics& aMetrics);

  auto Commit(const cells::TableTransaction& aCommit,
              Millis aTimeout,
              std::function<void(cells::TableCommitResult)> aDone)
    -> void override;
  auto Read(const cells::RowRange& aRange,
            Millis aTimeout,
            std::function<void(cells::TableReadResult)> aDone) -> void override;
  auto Feed(const std::string& aTable,
            std::uint64_t aAfter,
            Millis aMaxWait,
            std::function<void(cells::TableFeedResult)> aDone) -> void override;

private:
  template<class Outcome>
  auto MeasureCall(const char* aKind, std::function<void(Outcome)> aDone)
    -> std::function<void(Outcome)>;

  cells::TableClient& tables;
  const Clock& clock;
  FleetMetrics& metrics;
};

// Forwards calls to workers; counts them and measures their duration.
class MeteredWorkers : public cells::WorkerPort
{
public:
  MeteredWorkers(cells::WorkerPort& aWorkers,
                 const Clock& aClock,
                 FleetMetrics& aMetrics);

  auto Call(const cells::WorkerCall& aCall,
            std::function<void(cells::WorkerAnswer)> aDone) -> void override;
  auto RetainOnly(const std::set<std::string>& aAddresses) -> void override;

private:
  cells::WorkerPort& workers;
  const Clock& clock;
  FleetMetrics& metrics;
};

} // namespace gooseberry::fleet

#endif
