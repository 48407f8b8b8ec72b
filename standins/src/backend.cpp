// Stand-in of a backend server: slots, a connection cap, and faults.

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

#include "httpplatform.h"
#include "standin.h"

namespace gooseberry::standin {

namespace {

constexpr int kUnavailable = 503;
constexpr std::int64_t kRegisterMs = 500;

class Slots
{
public:
  explicit Slots(std::int64_t aCount)
    : freeSlots(aCount)
  {
  }

  auto Take() -> void
  {
    auto lock = std::unique_lock{ this->mutex };
    this->freed.wait(lock, [this] { return this->freeSlots > 0; });
    --this->freeSlots;
  }

  auto Give() -> void
  {
    const auto lock = std::lock_guard{ this->mutex };
    ++this->freeSlots;
    this->freed.notify_one();
  }

private:
  std::mutex mutex;
  std::condition_variable freed;
  std::int64_t freeSlots;
};

class Backend
{
public:
  explicit Backend(const Options& aOptions)
    : id(Text(aOptions, "id", "backend"))
    , slots(Integer(aOptions, "slots", 8))
    , recorder(Text(aOptions, "record", ""))
    , workMs(Integer(aOptions, "work-ms", 2))
    , randomMs(Integer(aOptions, "random-ms", 0))
    , random(StableHash(this->id))
    , bodyBytes(Integer(aOptions, "body-bytes", 200))
  {
  }

  // The answer repeats the request's identity, so that callers can tell it.
  auto Handle(const httplib::Request& aRequest, httplib::Response& aResponse)
    -> void
  {
    const auto request = aRequest.get_header_value("X-Request-Id");
    this->recorder.Write({ { "event", "request" },
                           { "backend", this->id },
                           { "request", request },
                           { "method", aRequest.method } });
    if (this->refusing) {
      aResponse.status = kUnavailable;
      aResponse.set_header("Retry-After", "1");
      aResponse.set_header("Connection", "close");
      return;
    }
    this->slots.Take();
    const auto work =
      aRequest.has_param("ms")
        ? Micros{ Millis{ std::stoll(aRequest.get_param_value("ms")) } }
        : this->DrawWork();
    std::this_thread::sleep_for(work);
    this->slots.Give();
    auto body = request + "\n" + aRequest.body;
    body.resize(body.size() + static_cast<std::size_t>(this->bodyBytes), 'x');
    aResponse.set_header("X-Backend", this->id);
    this->Answer(aRequest, aResponse, body);
  }

  auto SetMode(const nlohmann::json& aMode) -> void
  {
    this->workMs = aMode.value("work_ms", this->workMs.load());
    this->randomMs = aMode.value("random_ms", this->randomMs.load());
    this->leaving = aMode.value("leaving", this->leaving.load());
    this->refusing = aMode.value("refusing", this->refusing.load());
    this->cutEvery = aMode.value("cut_every", this->cutEvery.load());
  }

  const std::string id;
  std::atomic<bool> leaving = false;

private:
  // The fixed part of the work and an exponentially distributed one.
  auto DrawWork() -> Micros
  {
    const auto mean = static_cast<double>(this->randomMs);
    auto work = Micros{ Millis{ this->workMs } };
    if (mean > 0.0) {
      const auto lock = std::lock_guard{ this->randomMutex };
      auto draw = std::exponential_distribution<double>{ 1.0 / mean };
      work += std::chrono::duration_cast<Micros>(
        std::chrono::duration<double, std::milli>(draw(this->random)));
    }
    return work;
  }

  auto Answer(const httplib::Request& aRequest,
              httplib::Response& aResponse,
              const std::string& aBody) -> void
  {
    const auto every = this->cutEvery.load();
    const auto cut = every > 0 && ++this->answers % every == 0;
    const auto chunked = aRequest.has_param("chunked");
    if (!cut && !chunked) {
      aResponse.set_content(aBody, "text/plain");
      return;
    }
    const auto send = [aBody, cut](httplib::DataSink& aSink) {
      aSink.write(aBody.data(), cut ? aBody.size() / 2 : aBody.size());
      return !cut;
    };
    if (chunked) {
      aResponse.set_chunked_content_provider(
        "text/plain", [send](std::size_t, httplib::DataSink& aSink) {
          const auto whole = send(aSink);
          if (whole) {
            aSink.done();
          }
          return whole;
        });
      return;
    }
    aResponse.set_content_provider(
      aBody.size(),
      "text/plain",
      [send](std::size_t, std::size_t, httplib::DataSink& aSink) {
        return send(aSink);
      });
  }

  Slots slots;
  Recorder recorder;
  std::atomic<std::int64_t> workMs;
  std::atomic<std::int64_t> randomMs;
  std::mutex randomMutex;
  std::mt19937_64 random;
  std::int64_t bodyBytes;
  std::atomic<bool> refusing = false;
  std::atomic<std::int64_t> cutEvery = 0;
  std::atomic<std::int64_t> answers = 0;
};

auto
KeepRegistered(const Options& aOptions, const Backend& aBackend, int aPort)
  -> void
{
  const auto platform = ParseHostPort(Text(aOptions, "platform", ""));
  if (!platform) {
    return;
  }
  auto client = httplib::Client{ platform->host, platform->port };
  const auto shown =
    Text(aOptions, "address", "127.0.0.1:" + std::to_string(aPort));
  for (;;) {
    const auto body =
      nlohmann::json{ { "kind", "backend" },
                      { "id", aBackend.id },
                      { "service", Text(aOptions, "service", "service") },
                      { "address", shown },
                      { "domain", Text(aOptions, "domain", "default") },
                      { "leaving", aBackend.leaving.load() } };
    client.Post("/instances/register", body.dump(), "application/json");
    std::this_thread::sleep_for(std::chrono::milliseconds{ kRegisterMs });
  }
}

} // namespace

auto
RunBackend(const Options& aOptions) -> int
{
  auto backend = Backend{ aOptions };
  auto server = ConnectionServer{};
  server.Post("/mode",
              [&](const httplib::Request& aRequest, httplib::Response&) {
                backend.SetMode(nlohmann::json::parse(aRequest.body));
              });
  const auto handle = [&](const httplib::Request& aRequest,
                          httplib::Response& aResponse) {
    backend.Handle(aRequest, aResponse);
  };
  server.Get("/.*", handle);
  server.Post("/.*", handle);
  server.Put("/.*", handle);
  server.Delete("/.*", handle);
  const auto port = static_cast<int>(Integer(aOptions, "port", 0));
  std::thread([&] { KeepRegistered(aOptions, backend, port); }).detach();
  return Serve(server, port);
}

} // namespace gooseberry::standin
