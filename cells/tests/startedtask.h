#ifndef GOOSEBERRY_STARTEDTASK_H
#define GOOSEBERRY_STARTEDTASK_H

// A cell with two workers and one task, which was started on one of them; and
// what happens if that worker sends no reports any more.

#include <optional>

#include "cellharness.h"

namespace gooseberry::cells::test {

struct StartedTask
{
  CellHarness harness;
  WorkerCall start;

  explicit StartedTask(CellOptions aOptions = {})
    : harness(aOptions)
  {
    this->harness.AddWorker("w1");
    this->harness.AddWorker("w2");
    this->harness.Submit(JobWithSteps({ 1 }));
    const auto starts = this->harness.StartAll();
    cr_assert_eq(starts.size(), 1);
    this->start = starts[0];
  }

  // The worker's reports come from a process that was started later.
  auto Restart() -> void
  {
    this->harness.workerStarts[this->start.worker] = kLater;
  }

  // The entry of the worker in the store tells of the later process.
  auto ListLaterProcess() -> void
  {
    this->harness.table.at(this->start.worker).startUnixMs = kLater;
    this->harness.cell.OnWorkers(this->harness.now, this->harness.table);
    this->harness.Tick();
  }

  // Lets a second pass, in which both workers answer all renewals; the one with
  // the task lists these runs.
  auto AnswerFor(std::vector<RunReport> aRunning) -> void
  {
    AnswerFor(this->harness, this->start.worker, aRunning);
  }

  // Lets time pass until the worker with the task is asked for a report; the
  // other one answers with an empty one.
  auto NextRenewal() -> WorkerCall
  {
    for (auto round = 0; round < 100; ++round) {
      this->harness.Advance(Millis{ 100 });
      this->harness.Tick();
      for (const auto& call : this->harness.TakeCallsOfKind(CallKind::Renew)) {
        if (call.worker == this->start.worker) {
          return call;
        }
        this->harness.Report(call, {}, {});
      }
    }
    cr_assert_fail("no renewal");
    return {};
  }

  static auto AnswerFor(CellHarness& aHarness,
                        const WorkerId& aWorker,
                        const std::vector<RunReport>& aRunning) -> void
  {
    for (auto round = 0; round < 10; ++round) {
      for (const auto& call : aHarness.TakeCallsOfKind(CallKind::Renew)) {
        aHarness.Report(call,
                        call.worker == aWorker ? aRunning
                                               : std::vector<RunReport>{},
                        {});
      }
      for (const auto& call : aHarness.TakeCallsOfKind(CallKind::Stop)) {
        aHarness.Answer(call, CallOutcome::Done);
      }
      aHarness.Advance(Millis{ 100 });
      aHarness.Tick();
    }
  }

  static constexpr std::int64_t kLater = 2000;
};

// A worker of two that answers all calls in one way and never with a report;
// the other one is well. The store records at once.
struct UnreportingWorker
{
  UnreportingWorker(CellHarness& aHarness,
                    WorkerId aWorker,
                    CallOutcome aOutcome,
                    Millis aClockOffset)
    : harness(aHarness)
    , worker(std::move(aWorker))
    , outcome(aOutcome)
  {
    this->harness.clockOffset[this->worker] = aClockOffset;
  }

  auto Slot() const -> const WorkerSlot&
  {
    return this->harness.cell.Workers().at(this->worker);
  }

  // Lets time pass until a task is started on the other worker, but not longer
  // than this; returns the order.
  auto NextStart(Millis aTime) -> std::optional<WorkerCall>
  {
    constexpr Millis kStep{ 5 };
    const auto until = this->harness.now + aTime;
    while (this->harness.now < until) {
      this->harness.Advance(kStep);
      this->harness.Tick();
      if (const auto batch = this->harness.cell.NextBatch(this->harness.now)) {
        this->harness.cell.OnBatchRecorded(this->harness.now, batch->number);
        this->harness.CollectCalls();
      }
      auto start = std::optional<WorkerCall>{};
      for (const auto& call : std::exchange(this->harness.calls, {})) {
        if (call.worker == this->worker) {
          ++this->calls[call.kind];
          this->harness.Answer(call, this->outcome);
        } else if (call.kind == CallKind::Renew) {
          this->harness.Report(call, this->running, {});
        } else {
          this->harness.Answer(call, CallOutcome::Done);
          start = call.kind == CallKind::Start ? std::optional{ call } : start;
        }
      }
      if (start) {
        this->running.push_back(RunReportOf(*start));
        return start;
      }
    }
    return std::nullopt;
  }

  CellHarness& harness;
  WorkerId worker;
  CallOutcome outcome;
  // Runs on the other worker.
  std::vector<RunReport> running;
  // Calls to the worker, by kind.
  std::map<CallKind, int> calls;
};

} // namespace gooseberry::cells::test

#endif
