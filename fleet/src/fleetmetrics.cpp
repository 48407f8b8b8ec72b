#include "fleetmetrics.h"

#include <prometheus/text_serializer.h>

namespace gooseberry::fleet {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

// Bucket bounds in seconds, from an answer within the same rack to a job that
// takes minutes.
const Histogram::BucketBoundaries kDurationBuckets{ 0.002, 0.005, 0.01, 0.02,
                                                    0.05,  0.1,   0.2,  0.5,
                                                    1.0,   2.0,   5.0,  10.0,
                                                    30.0,  100.0 };

auto
ToSeconds(Micros aTime) -> double
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

FleetMetrics::FleetMetrics()
  : registry(std::make_shared<prometheus::Registry>())
  , storeCalls(BuildCounter()
                 .Name("gooseberry_store_calls_total")
                 .Help("Calls to the platform's store, by kind and outcome")
                 .Register(*this->registry))
  , storeSeconds(BuildHistogram()
                   .Name("gooseberry_store_call_seconds")
                   .Help("Time from a call to the store to its answer")
                   .Register(*this->registry))
  , workerCalls(BuildCounter()
                  .Name("gooseberry_worker_calls_total")
                  .Help("Calls to workers, by kind and outcome")
                  .Register(*this->registry))
  , workerSeconds(BuildHistogram()
                    .Name("gooseberry_worker_call_seconds")
                    .Help("Time from a call to a worker to its answer")
                    .Register(*this->registry))
  , answers(BuildCounter()
              .Name("gooseberry_answers_total")
              .Help("Answers to callers, by what they asked and why")
              .Register(*this->registry))
  , answerSeconds(BuildHistogram()
                    .Name("gooseberry_answer_seconds")
                    .Help("Time from a request's first byte to its answer")
                    .Register(*this->registry))
  , events(BuildCounter()
             .Name("gooseberry_cell_events_total")
             .Help("Starts, ends, stops, losses and their like in owned cells")
             .Register(*this->registry))
  , secondRunCosts(BuildCounter()
                     .Name("gooseberry_second_run_core_seconds_total")
                     .Help("Work that second runs of late tasks have cost")
                     .Register(*this->registry))
  , spans(BuildHistogram()
            .Name("gooseberry_job_seconds")
            .Help("Waits of jobs and tasks in owned cells, by kind")
            .Register(*this->registry))
  , ownership(BuildCounter()
                .Name("gooseberry_ownership_changes_total")
                .Help("Cells taken, lost and released by this instance")
                .Register(*this->registry))
  , sweptJobs(BuildCounter()
                .Name("gooseberry_jobs_swept_total")
                .Help("Ended jobs whose rows were removed from the store")
                .Register(*this->registry))
  , advice(BuildCounter()
             .Name("gooseberry_advice_total")
             .Help("Questions to the adviser of workers, by their end")
             .Register(*this->registry))
  , shareTransactions(BuildCounter()
                        .Name("gooseberry_share_transactions_total")
                        .Help("Transactions on cells' shares of the limits of "
                              "accounts, by outcome")
                        .Register(*this->registry))
  , gauges(BuildGauge()
             .Name("gooseberry_state")
             .Help("What this instance holds at present, by name")
             .Register(*this->registry))
{
}

auto
FleetMetrics::CountStoreCall(const char* aKind,
                             cells::TableStatus aEnd,
                             Micros aDuration) -> void
{
  this->storeCalls.Add({ { "kind", aKind }, { "end", ToText(aEnd) } })
    .Increment();
  this->storeSeconds.Add({ { "kind", aKind } }, kDurationBuckets)
    .Observe(ToSeconds(aDuration));
}

auto
FleetMetrics::CountWorkerCall(cells::CallKind aKind,
                              cells::CallOutcome aEnd,
                              Micros aDuration) -> void
{
  this->workerCalls.Add({ { "kind", ToText(aKind) }, { "end", ToText(aEnd) } })
    .Increment();
  this->workerSeconds.Add({ { "kind", ToText(aKind) } }, kDurationBuckets)
    .Observe(ToSeconds(aDuration));
}

auto
FleetMetrics::CountAnswer(const char* aVerb,
                          int aStatus,
                          const char* aReason,
                          Micros aDuration) -> void
{
  this->answers
    .Add({ { "verb", aVerb },
           { "status", std::to_string(aStatus) },
           { "reason", aReason } })
    .Increment();
  this->answerSeconds.Add({ { "verb", aVerb } }, kDurationBuckets)
    .Observe(ToSeconds(aDuration));
}

auto
FleetMetrics::AddCellCounts(const cells::CellEventCounts& aBefore,
                            const cells::CellEventCounts& aAfter) -> void
{
  for (auto event = std::size_t{ 0 }; event < aAfter.size(); ++event) {
    if (aAfter[event] > aBefore[event]) {
      this->events
        .Add({ { "event", ToText(static_cast<cells::CellEvent>(event)) } })
        .Increment(static_cast<double>(aAfter[event] - aBefore[event]));
    }
  }
}

auto
FleetMetrics::AddSecondRunCosts(const cells::SecondRunCosts& aBefore,
                                const cells::SecondRunCosts& aAfter) -> void
{
  constexpr double kMillisPerSecond = 1000.0;
  const auto add = [this](const char* aKind, std::int64_t aMillis) {
    if (aMillis > 0) {
      this->secondRunCosts.Add({ { "kind", aKind } })
        .Increment(static_cast<double>(aMillis) / kMillisPerSecond);
    }
  };
  add("discarded", aAfter.discarded - aBefore.discarded);
  add("displaced", aAfter.displaced - aBefore.displaced);
}

auto
FleetMetrics::AddSpans(const std::vector<cells::LatencySample>& aSpans) -> void
{
  for (const auto& span : aSpans) {
    this->spans.Add({ { "kind", ToText(span.kind) } }, kDurationBuckets)
      .Observe(ToSeconds(span.duration));
  }
}

auto
FleetMetrics::CountOwnership(const char* aChange) -> void
{
  this->ownership.Add({ { "change", aChange } }).Increment();
}

auto
FleetMetrics::CountSweptJob() -> void
{
  this->sweptJobs.Add({}).Increment();
}

auto
FleetMetrics::CountAdvice(cells::AdviceStatus aEnd) -> void
{
  this->advice.Add({ { "end", ToText(aEnd) } }).Increment();
}

auto
FleetMetrics::CountShareTransaction(cells::TableStatus aEnd) -> void
{
  this->shareTransactions.Add({ { "end", ToText(aEnd) } }).Increment();
}

auto
FleetMetrics::SetGauge(const char* aName, double aValue) -> void
{
  this->gauges.Add({ { "name", aName } }).Set(aValue);
}

auto
FleetMetrics::Serialize() -> std::string
{
  return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

MeteredTables::MeteredTables(cells::TableClient& aTables,
                             const Clock& aClock,
                             FleetMetrics& aMetrics)
  : tables(aTables)
  , clock(aClock)
  , metrics(aMetrics)
{
}

// Wraps aDone so that the answer is counted, with its duration, before it is
// passed on.
template<class Outcome>
auto
MeteredTables::MeasureCall(const char* aKind,
                           std::function<void(Outcome)> aDone)
  -> std::function<void(Outcome)>
{
  return [this, aKind, sentAt = this->clock.Now(), done = std::move(aDone)](
           Outcome aOutcome) {
    this->metrics.CountStoreCall(
      aKind, aOutcome.status, this->clock.Now() - sentAt);
    done(std::move(aOutcome));
  };
}

auto
MeteredTables::Commit(const cells::TableTransaction& aCommit,
                      Millis aTimeout,
                      std::function<void(cells::TableCommitResult)> aDone)
  -> void
{
  this->tables.Commit(
    aCommit, aTimeout, this->MeasureCall("commit", std::move(aDone)));
}

auto
MeteredTables::Read(const cells::RowRange& aRange,
                    Millis aTimeout,
                    std::function<void(cells::TableReadResult)> aDone) -> void
{
  this->tables.Read(
    aRange, aTimeout, this->MeasureCall("read", std::move(aDone)));
}

auto
MeteredTables::Feed(const std::string& aTable,
                    std::uint64_t aAfter,
                    Millis aMaxWait,
                    std::function<void(cells::TableFeedResult)> aDone) -> void
{
  this->tables.Feed(
    aTable, aAfter, aMaxWait, this->MeasureCall("feed", std::move(aDone)));
}

MeteredWorkers::MeteredWorkers(cells::WorkerPort& aWorkers,
                               const Clock& aClock,
                               FleetMetrics& aMetrics)
  : workers(aWorkers)
  , clock(aClock)
  , metrics(aMetrics)
{
}

auto
MeteredWorkers::RetainOnly(const std::set<std::string>& aAddresses) -> void
{
  this->workers.RetainOnly(aAddresses);
}

auto
MeteredWorkers::Call(const cells::WorkerCall& aCall,
                     std::function<void(cells::WorkerAnswer)> aDone) -> void
{
  this->workers.Call(aCall,
                     [this,
                      kind = aCall.kind,
                      sentAt = this->clock.Now(),
                      done = std::move(aDone)](cells::WorkerAnswer aAnswer) {
                       this->metrics.CountWorkerCall(
                         kind, aAnswer.outcome, this->clock.Now() - sentAt);
                       done(std::move(aAnswer));
                     });
}

} // namespace gooseberry::fleet
