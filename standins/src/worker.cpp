// Stand-in of a worker: runs tasks as timers under a lease that it enforces.

#include <atomic>
#include <thread>

#include <unistd.h>

#include "httpplatform.h"
#include "standin.h"
#include "workerlink.h"

namespace gooseberry::standin {

namespace {

constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kRegisterMs = 500;
constexpr std::int64_t kCheckpointMs = 100;
constexpr double kFullSpeed = 100.0;

struct Running
{
  StartCommand command;
  AttemptState state = AttemptState::Running;
  double progress = 0.0;
  std::uint64_t checkpoint = 0;
  int percent = 100;
  std::string reason;
};

class Worker
{
public:
  explicit Worker(const Options& aOptions)
    : id(Text(aOptions, "id", "worker"))
    , incarnation(std::to_string(::getpid()) + "-" +
                  std::to_string(MonotonicMillis()))
    , recorder(Text(aOptions, "record", ""))
    , harm(static_cast<double>(Integer(aOptions, "harm-percent", 0)) /
           kFullSpeed)
    , usePercent(Integer(aOptions, "use-percent", 80))
  {
    this->capacity = { Integer(aOptions, "cpu", 16000),
                       Integer(aOptions, "memory", 60000),
                       Integer(aOptions, "accelerators", 0) };
    this->failAll = Integer(aOptions, "fail-all", 0) != 0;
  }

  auto Sync(const SyncRequest& aRequest) -> WorkerReport
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->Step();
    const auto newer =
      aRequest.epoch > this->epoch ||
      (aRequest.epoch == this->epoch && aRequest.sequence > this->sequence);
    auto report = WorkerReport{};
    report.epoch = aRequest.epoch;
    report.stamp = { this->incarnation, MonotonicMillis() };
    report.capacity = this->capacity;
    if (!newer) {
      return report;
    }
    report.accepted = true;
    this->epoch = aRequest.epoch;
    this->sequence = aRequest.sequence;
    this->Obey(aRequest);
    for (const auto& [key, task] : this->tasks) {
      report.attempts.push_back(this->Report(task));
    }
    return report;
  }

  // Advances all tasks to now; first of all it enforces the lease.
  auto Tick() -> void
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->Step();
  }

  auto SetMode(const nlohmann::json& aMode) -> void
  {
    this->failAll = aMode.value("fail_all", this->failAll.load());
  }

  const std::string id;

private:
  using Key = std::pair<TaskId, std::uint64_t>;

  auto Obey(const SyncRequest& aRequest) -> void
  {
    for (const auto& ref : aRequest.acknowledged) {
      const auto found = this->tasks.find({ ref.task, ref.attempt });
      if (found != this->tasks.end() &&
          found->second.state != AttemptState::Running) {
        this->tasks.erase(found);
      }
    }
    for (const auto& ref : aRequest.stops) {
      const auto found = this->tasks.find({ ref.task, ref.attempt });
      if (found != this->tasks.end() &&
          found->second.state == AttemptState::Running) {
        this->End(found->second, AttemptState::Stopped, MonotonicMillis());
      }
    }
    const auto age = aRequest.stamp ? MonotonicMillis() - aRequest.stamp->millis
                                    : aRequest.startWindowMillis + 1;
    const auto known =
      aRequest.stamp && aRequest.stamp->incarnation == this->incarnation;
    if (known) {
      this->leaseEnd =
        std::max(this->leaseEnd, aRequest.stamp->millis + aRequest.leaseMillis);
    }
    for (const auto& throttle : aRequest.throttles) {
      const auto found = this->tasks.find({ throttle.task, throttle.attempt });
      if (found != this->tasks.end()) {
        found->second.percent = throttle.percent;
      }
    }
    for (const auto& start : aRequest.starts) {
      this->Start(start, known && age <= aRequest.startWindowMillis);
    }
  }

  auto Start(const StartCommand& aStart, bool aFresh) -> void
  {
    const auto key = Key{ aStart.task, aStart.attempt };
    if (this->tasks.contains(key)) {
      return;
    }
    auto task = Running{};
    task.command = aStart;
    task.progress = static_cast<double>(aStart.checkpoint);
    task.checkpoint = aStart.checkpoint;
    auto used = aStart.size;
    for (const auto& [other, running] : this->tasks) {
      if (running.state == AttemptState::Running) {
        used += running.command.size;
      }
    }
    if (!aFresh || MonotonicMillis() >= this->leaseEnd) {
      task.state = AttemptState::Refused;
      task.reason = "the start is too old";
    } else if (!used.FitsIn(this->capacity)) {
      task.state = AttemptState::Refused;
      task.reason = "no room";
      this->Record("overcommit", task, MonotonicMillis());
    } else {
      this->Record("start", task, MonotonicMillis());
    }
    this->tasks[key] = task;
  }

  auto Step() -> void
  {
    const auto now = MonotonicMillis();
    const auto lapsed = now >= this->leaseEnd;
    const auto until = std::min(now, this->leaseEnd);
    const auto elapsed = std::max<std::int64_t>(0, until - this->lastStep);
    this->lastStep = now;
    auto batches = 0;
    for (const auto& [key, task] : this->tasks) {
      batches += task.state == AttemptState::Running && !task.command.service;
    }
    this->slowdown = 1.0 + this->harm * batches;
    for (auto& [key, task] : this->tasks) {
      if (task.state != AttemptState::Running) {
        continue;
      }
      this->Advance(task, elapsed, until);
      if (lapsed && task.state == AttemptState::Running) {
        this->End(task, AttemptState::Stopped, this->leaseEnd);
      }
    }
  }

  auto Advance(Running& aTask, std::int64_t aElapsed, std::int64_t aNow) -> void
  {
    if (this->failAll) {
      this->End(aTask, AttemptState::Failed, aNow);
      return;
    }
    aTask.progress +=
      static_cast<double>(aElapsed * aTask.percent) / kFullSpeed;
    const auto done = static_cast<std::uint64_t>(aTask.progress);
    aTask.checkpoint = std::max<std::uint64_t>(
      aTask.checkpoint, done / kCheckpointMs * kCheckpointMs);
    const auto ends = !aTask.command.service;
    if (ends && done >= static_cast<std::uint64_t>(aTask.command.runMillis)) {
      this->End(aTask, AttemptState::Finished, aNow);
    }
  }

  auto End(Running& aTask, AttemptState aState, std::int64_t aWhen) -> void
  {
    aTask.state = aState;
    this->Record(ToText(aState), aTask, aWhen);
  }

  auto Report(const Running& aTask) const -> AttemptReport
  {
    auto report = AttemptReport{};
    report.task = aTask.command.task;
    report.attempt = aTask.command.attempt;
    report.state = aTask.state;
    report.checkpoint = aTask.checkpoint;
    report.reason = aTask.reason;
    report.slowdown = this->slowdown;
    if (aTask.state == AttemptState::Running) {
      const auto& size = aTask.command.size;
      report.used = { size.cpuMillis * this->usePercent / 100,
                      size.memoryMb * this->usePercent / 100,
                      size.accelerators };
    }
    return report;
  }

  auto Record(const char* aEvent, const Running& aTask, std::int64_t aWhen)
    -> void
  {
    this->recorder.Write({ { "t", aWhen },
                           { "event", aEvent },
                           { "worker", this->id },
                           { "task", aTask.command.task },
                           { "attempt", aTask.command.attempt },
                           { "checkpoint", aTask.checkpoint } });
  }

  std::string incarnation;
  Recorder recorder;
  double harm;
  std::int64_t usePercent;
  Resources capacity;
  std::atomic<bool> failAll = false;
  std::mutex mutex;
  std::map<Key, Running> tasks;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::int64_t leaseEnd = 0;
  std::int64_t lastStep = MonotonicMillis();
  double slowdown = 1.0;
};

auto
KeepRegistered(const Options& aOptions, const std::string& aId, int aPort)
  -> void
{
  const auto platform =
    ParseHostPort(Text(aOptions, "platform", "127.0.0.1:1"));
  auto client = httplib::Client{ platform->host, platform->port };
  const auto body = nlohmann::json{
    { "kind", "worker" },
    { "id", aId },
    { "address",
      Text(aOptions, "address", "127.0.0.1:" + std::to_string(aPort)) },
    { "domain", Text(aOptions, "domain", "default") },
    { "rack", Text(aOptions, "rack", "rack-1") },
    { "capacity",
      Resources{ Integer(aOptions, "cpu", 16000),
                 Integer(aOptions, "memory", 60000),
                 Integer(aOptions, "accelerators", 0) } }
  };
  for (;;) {
    client.Post("/instances/register", body.dump(), "application/json");
    std::this_thread::sleep_for(std::chrono::milliseconds{ kRegisterMs });
  }
}

} // namespace

auto
RunWorker(const Options& aOptions) -> int
{
  auto worker = Worker{ aOptions };
  auto server = httplib::Server{};
  server.Post(
    "/sync",
    [&](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto request =
        nlohmann::json::parse(aRequest.body).get<SyncRequest>();
      aResponse.set_content(nlohmann::json(worker.Sync(request)).dump(),
                            "application/json");
    });
  server.Post("/mode",
              [&](const httplib::Request& aRequest, httplib::Response&) {
                worker.SetMode(nlohmann::json::parse(aRequest.body));
              });
  std::thread([&] {
    for (;;) {
      worker.Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds{ kStepMs });
    }
  }).detach();
  const auto port = static_cast<int>(Integer(aOptions, "port", 0));
  std::thread([&] { KeepRegistered(aOptions, worker.id, port); }).detach();
  return Serve(server, port);
}

} // namespace gooseberry::standin
