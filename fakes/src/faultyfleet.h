#ifndef GOOSEBERRY_FAULTYFLEET_H
#define GOOSEBERRY_FAULTYFLEET_H

// A fleet that can be given jobs and faults by command: in virtual time, or as
// real processes on loopback.

#include <functional>
#include <random>

#include "jobspec.h"
#include "jobworker.h"

namespace gooseberry::fakes {

// How the platform's store treats one instance.
struct StoreTreatment
{
  enum class Mode
  {
    Serves,
    Refuses,
    Silent
  };

  Mode mode = Mode::Serves;
  // Part of the writes whose answer is lost, after or before their effect.
  double lost = 0.0;
  // Lost writes take effect up to so much later.
  Millis late{ 0 };
  // Answers take so many times as long.
  double slow = 1.0;
};

class FaultyFleet
{
public:
  virtual ~FaultyFleet() = default;

  virtual auto Random() -> std::mt19937_64& = 0;
  virtual auto Now() const -> Time = 0;
  virtual auto After(Millis aDelay, std::function<void()> aWork) -> void = 0;

  // Callers. A caller tries again, at another instance, until it has an answer.
  virtual auto Submit(cells::JobSpec aSpec, WorkPlan aPlan) -> cells::JobId = 0;
  virtual auto Cancel(const cells::JobId& aJob) -> void = 0;

  // Operators.
  virtual auto Evacuate(const DomainId& aDomain, bool aOut) -> void = 0;

  // Instances.
  virtual auto Instances() const -> int = 0;
  virtual auto Kill(int aInstance) -> void = 0;
  virtual auto Start(int aInstance) -> void = 0;
  virtual auto Pause(int aInstance, Millis aTime) -> void = 0;
  // Asks the instance to shut down, and starts it again once it has.
  virtual auto Restart(int aInstance) -> void = 0;
  virtual auto Treat(int aInstance, StoreTreatment aTreatment) -> void = 0;
  virtual auto CompactStore() -> void = 0;
  // The instance that owns the cell, or one of them; -1 if none does.
  virtual auto Owner() const -> int = 0;

  // Workers.
  virtual auto Workers() const -> int = 0;
  virtual auto KillWorker(int aWorker, bool aComesBack, Millis aAfter)
    -> void = 0;
  // Ends the worker's process and starts another after aDown, under the same id
  // and at the same address, which writes its entry so much later.
  virtual auto RestartWorker(int aWorker, Millis aDown, Millis aListedAfter)
    -> void = 0;
  virtual auto CutWorker(int aWorker, bool aCut) -> void = 0;
  virtual auto FailWorker(int aWorker, bool aFails) -> void = 0;
  virtual auto SlowWorker(int aWorker, double aTimes) -> void = 0;
  virtual auto DrainWorker(int aWorker) -> void = 0;
  // Part of the orders that get no answer and are carried out up to so much
  // later.
  virtual auto LateOrders(double aPart, Millis aLate) -> void = 0;
  // Part of the calls that workers carry out without an answer.
  virtual auto LoseWorkerAnswers(double aPart) -> void = 0;
  // The worker's row is missing for this time, while the worker runs on.
  virtual auto HideWorker(int aWorker, Millis aTime) -> void = 0;
};

} // namespace gooseberry::fakes

#endif
