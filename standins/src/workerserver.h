#ifndef GOOSEBERRY_WORKERSERVER_H
#define GOOSEBERRY_WORKERSERVER_H

// One machine's worker as the users' platform lets schedulers reach it. The
// machine keeps its address over the lives of its worker.

#include <list>
#include <memory>
#include <optional>
#include <random>

#include "httpserver.h"
#include "jobworker.h"

namespace gooseberry::standin {

class WorkerServer
{
public:
  WorkerServer(EventLoop& aLoop, std::mt19937_64& aRandom);

  // False with the reason if no port can be bound.
  auto Listen(std::string& aReason) -> bool;
  auto Port() const -> std::uint16_t;

  // Another life begins on the machine.
  auto SetWorker(std::unique_ptr<fakes::JobWorker> aWorker) -> void;
  // The machine loses power.
  auto Die() -> void;
  // The process ends: its connections are closed, and nobody listens until the
  // next one starts at the same address. That fails, with the reason, if the
  // port can't be bound again.
  auto EndProcess() -> void;
  auto StartProcess(std::unique_ptr<fakes::JobWorker> aWorker,
                    std::string& aReason) -> bool;
  // Closes all connections to the worker, which runs on.
  auto ResetConnections() -> void;
  // Null if nothing runs there.
  auto Worker() -> fakes::JobWorker*;
  // Calls get no answer and are not carried out.
  auto SetCut(bool aCut) -> void;
  // Part of the orders that get no answer and are carried out up to so much
  // later.
  auto SetLate(double aPart, Millis aLate) -> void;
  // Part of the calls that are carried out without an answer.
  auto SetLosing(double aPart) -> void;
  // Lets time pass, and answers the calls that waited for an end.
  auto Advance() -> void;

private:
  struct Waiting
  {
    std::shared_ptr<HttpExchange> exchange;
    cells::WorkerCall call;
    Time until{};
  };

  auto Handle(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Carry(const cells::WorkerCall& aCall,
             const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Hold(const std::shared_ptr<HttpExchange>& aExchange) -> void;

  EventLoop& loop;
  std::mt19937_64& random;
  std::shared_ptr<HttpServer> server;
  // Kept while nobody listens.
  std::uint16_t port = 0;
  std::unique_ptr<fakes::JobWorker> worker;
  bool cut = false;
  double latePart = 0.0;
  double losingPart = 0.0;
  Millis late{ 0 };
  std::list<Waiting> waiting;
  std::list<std::shared_ptr<HttpExchange>> held;
  std::list<TimerHandle> timers;
};

} // namespace gooseberry::standin

#endif
