#include "workerserver.h"

#include "jsonencoding.h"

namespace gooseberry::standin {

namespace {

using cells::CallKind;
using cells::CallOutcome;
using cells::RunOutcome;
using cells::WorkerAnswer;
using cells::WorkerCall;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::size_t kMostHeld = 100;

struct CallName
{
  const char* path;
  CallKind kind;
};

constexpr std::array<CallName, 4> kCalls{ {
  { "/gooseberrytray/run-start", CallKind::Start },
  { "/gooseberrytray/run-stop", CallKind::Stop },
  { "/gooseberrytray/hold", CallKind::Renew },
  { "/gooseberrytray/pace", CallKind::Pace },
} };

// Nothing if a member is missing or of another type.
auto
ReadCall(CallKind aKind, const std::string& aBody) -> std::optional<WorkerCall>
{
  try {
    const auto json = nlohmann::json::parse(aBody);
    auto call = WorkerCall{ 0, aKind };
    call.fencingToken = json.value("fence", std::uint64_t{ 0 });
    call.leaseEndMs = json.value("deadlineMs", std::int64_t{ 0 });
    if (aKind == CallKind::Renew) {
      call.lastRecordedEnd = json.at("ackCursor").get<std::uint64_t>();
      call.maxWait = Millis{ json.value("waitMs", Millis::rep{ 0 }) };
      return call;
    }
    const auto task = cells::ParseTaskName(json.at("task").get<std::string>());
    if (!task) {
      return std::nullopt;
    }
    call.task = *task;
    call.runNumber = json.at("runNumber").get<std::uint32_t>();
    call.checkpoint = json.value("checkpoint", std::string{});
    if (aKind == CallKind::Start) {
      call.payload = json.at("spec").get<std::string>();
      json.at("deadlineMs").get<std::int64_t>();
    } else if (aKind == CallKind::Pace) {
      call.pacePercent = json.at("percent").get<int>();
    }
    return call;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

auto
HowOf(RunOutcome aHow) -> const char*
{
  switch (aHow) {
    case RunOutcome::Done:
      return "done";
    case RunOutcome::Failed:
      return "failed";
    case RunOutcome::Stopped:
      return "stopped";
    case RunOutcome::LeaseExpired:
      return "lapsed";
    case RunOutcome::GangEnded:
      return "broken";
    default:
      return "alone";
  }
}

struct Refusal
{
  CallOutcome end;
  int status;
  const char* reason;
};

constexpr std::array<Refusal, 7> kRefusals{ {
  { CallOutcome::Fenced, kConflict, "fence" },
  { CallOutcome::Superseded, kConflict, "old" },
  { CallOutcome::LeaseExpired, kConflict, "late" },
  { CallOutcome::NoRoom, kConflict, "room" },
  { CallOutcome::InvalidTicket, kConflict, "ticket" },
  { CallOutcome::WorkerRestarted, kMisdirected, "" },
  { CallOutcome::Unhealthy, kUnavailable, "" },
} };

auto
Tell(HttpExchange& aExchange, const WorkerAnswer& aAnswer, CallKind aKind)
  -> void
{
  auto body = nlohmann::json{ { "clockMs", aAnswer.clockMs.value_or(0) } };
  for (const auto& refusal : kRefusals) {
    if (aAnswer.outcome == refusal.end) {
      if (*refusal.reason != '\0') {
        body["reason"] = refusal.reason;
      }
      aExchange.Respond(refusal.status, body.dump(), {});
      return;
    }
  }
  if (aAnswer.outcome != CallOutcome::Done) {
    aExchange.Respond(kBadRequest, body.dump(), {});
    return;
  }
  if (aKind == CallKind::Renew) {
    body["born"] = aAnswer.workerStartUnixMs;
    auto& running = body["running"] = nlohmann::json::array();
    for (const auto& run : aAnswer.running) {
      running.push_back({ ToText(run.task),
                          run.runNumber,
                          run.checkpoint,
                          run.percent,
                          run.tailMsOrCpuMillis });
    }
    auto& finished = body["finished"] = nlohmann::json::array();
    for (const auto& end : aAnswer.ended) {
      finished.push_back({ end.number,
                           ToText(end.task),
                           end.runNumber,
                           HowOf(end.outcome),
                           end.checkpoint });
    }
  }
  aExchange.Respond(kOk, body.dump(), {});
}

} // namespace

WorkerServer::WorkerServer(EventLoop& aLoop, std::mt19937_64& aRandom)
  : loop(aLoop)
  , random(aRandom)
  , server(std::make_shared<HttpServer>(
      aLoop,
      HttpServerLimits{},
      [this](const std::shared_ptr<HttpExchange>& aExchange) {
        this->Handle(aExchange);
      }))
{
}

auto
WorkerServer::Listen(std::string& aReason) -> bool
{
  return this->server->Listen({ boost::asio::ip::address_v4::loopback(), 0 },
                              aReason);
}

auto
WorkerServer::Port() const -> std::uint16_t
{
  return this->server->Port();
}

auto
WorkerServer::SetWorker(std::unique_ptr<fakes::JobWorker> aWorker) -> void
{
  this->worker = std::move(aWorker);
}

auto
WorkerServer::Die() -> void
{
  if (this->worker) {
    this->worker->Die(this->loop.Now());
    this->worker.reset();
  }
  for (const auto& call : std::exchange(this->waiting, {})) {
    this->Hold(call.exchange);
  }
}

auto
WorkerServer::EndProcess() -> void
{
  this->port = this->server->Port();
  if (this->worker) {
    this->worker->Die(this->loop.Now());
    this->worker.reset();
  }
  this->server->StopListening();
  this->server->CloseAll();
  this->waiting.clear();
  this->held.clear();
  this->timers.clear();
}

auto
WorkerServer::StartProcess(std::unique_ptr<fakes::JobWorker> aWorker,
                           std::string& aReason) -> bool
{
  this->worker = std::move(aWorker);
  return this->server->Listen(
    { boost::asio::ip::address_v4::loopback(), this->port }, aReason);
}

auto
WorkerServer::ResetConnections() -> void
{
  this->server->CloseAll();
}

auto
WorkerServer::Worker() -> fakes::JobWorker*
{
  return this->worker.get();
}

auto
WorkerServer::SetCut(bool aCut) -> void
{
  this->cut = aCut;
}

auto
WorkerServer::SetLate(double aPart, Millis aLate) -> void
{
  this->latePart = aPart;
  this->late = aLate;
}

auto
WorkerServer::SetLosing(double aPart) -> void
{
  this->losingPart = aPart;
}

auto
WorkerServer::Hold(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  this->held.push_back(aExchange);
  if (this->held.size() > kMostHeld) {
    this->held.pop_front();
  }
}

auto
WorkerServer::Handle(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  if (this->cut || !this->worker) {
    this->Hold(aExchange);
    return;
  }
  const auto& request = aExchange->Request();
  // A call that names no life is for the present one.
  const auto named = FindField(request.fields, "Expected-Instance");
  const auto life = named.empty() ? this->worker->Entry(this->loop.Now()).id
                                  : WorkerId{ named };
  for (const auto& name : kCalls) {
    if (request.target != name.path) {
      continue;
    }
    auto call = ReadCall(name.kind, request.body);
    if (!call) {
      aExchange->Respond(kBadRequest, "", {});
      return;
    }
    call->worker = life;
    this->Carry(*call, aExchange);
    return;
  }
  aExchange->Respond(kNotFound, "", {});
}

auto
WorkerServer::Carry(const WorkerCall& aCall,
                    const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  auto chance = std::uniform_real_distribution{ 0.0, 1.0 };
  if (aCall.kind != CallKind::Renew && chance(this->random) < this->latePart) {
    this->Hold(aExchange);
    auto delay =
      std::uniform_int_distribution<std::int64_t>{ 0, this->late.count() };
    const auto place = this->timers.emplace(this->timers.end());
    const auto id = this->worker->Entry(this->loop.Now()).id;
    *place =
      this->loop.After(Millis{ delay(this->random) }, [this, aCall, id, place] {
        const auto now = this->loop.Now();
        if (this->worker && this->worker->Entry(now).id == id) {
          this->worker->Handle(now, aCall, false);
        }
        this->timers.erase(place);
      });
    return;
  }
  const auto now = this->loop.Now();
  const auto loses = chance(this->random) < this->losingPart;
  const auto answer =
    this->worker->Handle(now, aCall, aCall.maxWait.count() > 0 && !loses);
  if (loses) {
    this->Hold(aExchange);
  } else if (answer) {
    Tell(*aExchange, *answer, aCall.kind);
  } else {
    this->waiting.push_back({ aExchange, aCall, now + aCall.maxWait });
  }
}

auto
WorkerServer::Advance() -> void
{
  if (!this->worker) {
    return;
  }
  const auto now = this->loop.Now();
  this->worker->Advance(now);
  for (auto call = this->waiting.begin(); call != this->waiting.end();) {
    const auto answer =
      this->worker->Handle(now, call->call, now < call->until);
    if (!answer) {
      ++call;
      continue;
    }
    if (this->cut) {
      this->Hold(call->exchange);
    } else {
      Tell(*call->exchange, *answer, call->call.kind);
    }
    call = this->waiting.erase(call);
  }
}

} // namespace gooseberry::standin
