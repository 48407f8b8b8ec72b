// Stand-in of a worker: runs tasks as timers under a lease that it enforces.

#include <atomic>
#include <thread>

#include <unistd.h>

#include "httpplatform.h"
#include "standin.h"
#include "workermodel.h"

namespace gooseberry::standin {

namespace {

constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kRegisterMs = 500;

auto
ModelOptions(const Options& aOptions) -> WorkerModelOptions
{
  auto options = WorkerModelOptions{};
  options.incarnation =
    std::to_string(::getpid()) + "-" + std::to_string(MonotonicMillis());
  options.capacity = { Integer(aOptions, "cpu", 16000),
                       Integer(aOptions, "memory", 60000),
                       Integer(aOptions, "accelerators", 0) };
  options.harmPercent = static_cast<int>(Integer(aOptions, "harm-percent", 0));
  options.usePercent = static_cast<int>(Integer(aOptions, "use-percent", 80));
  options.failAll = Integer(aOptions, "fail-all", 0) != 0;
  return options;
}

// The model behind a mutex, with its events recorded.
class Worker
{
public:
  explicit Worker(const Options& aOptions)
    : id(Text(aOptions, "id", "worker"))
    , recorder(Text(aOptions, "record", ""))
    , model(ModelOptions(aOptions),
            MonotonicMillis(),
            [this](const WorkerEvent& aEvent) { this->Record(aEvent); })
  {
  }

  auto Sync(const SyncRequest& aRequest) -> WorkerReport
  {
    const auto lock = std::lock_guard{ this->mutex };
    return this->model.Sync(MonotonicMillis(), aRequest);
  }

  auto Tick() -> void
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->model.Step(MonotonicMillis());
  }

  auto SetMode(const nlohmann::json& aMode) -> void
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->model.SetFailAll(aMode.value("fail_all", false));
  }

  const std::string id;

private:
  auto Record(const WorkerEvent& aEvent) -> void
  {
    this->recorder.Write({ { "t", aEvent.millis },
                           { "event", aEvent.what },
                           { "worker", this->id },
                           { "task", aEvent.task },
                           { "attempt", aEvent.attempt },
                           { "checkpoint", aEvent.checkpoint } });
  }

  Recorder recorder;
  std::mutex mutex;
  WorkerModel model;
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
  auto bytes = std::atomic<std::int64_t>{ 0 };
  auto server = ConnectionServer{};
  server.Post(
    "/sync",
    [&](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto request =
        nlohmann::json::parse(aRequest.body).get<SyncRequest>();
      const auto answer = nlohmann::json(worker.Sync(request)).dump();
      bytes += static_cast<std::int64_t>(aRequest.body.size() + answer.size());
      aResponse.set_content(answer, "application/json");
    });
  server.Get(
    "/figures", [&](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(nlohmann::json{ { "bytes", bytes.load() } }.dump(),
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
