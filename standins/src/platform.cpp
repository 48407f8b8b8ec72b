// Stand-in of the platform: table service, object store and instance list.

#include <atomic>
#include <deque>
#include <thread>

#include "memoryplatform.h"
#include "standin.h"

namespace gooseberry::standin {

namespace {

constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kBadRequest = 400;

// Calls allowed per second; 0 means no limit.
class Budget
{
public:
  explicit Budget(std::int64_t aPerSecond)
    : perSecond(aPerSecond)
  {
  }

  auto Take() -> bool
  {
    const auto lock = std::lock_guard{ this->mutex };
    const auto second = MonotonicMillis() / 1000;
    if (second != this->current) {
      this->most = std::max(this->most, this->used);
      this->current = second;
      this->used = 0;
    }
    ++this->used;
    ++this->total;
    return this->perSecond == 0 || this->used <= this->perSecond;
  }

  auto Figures() -> nlohmann::json
  {
    const auto lock = std::lock_guard{ this->mutex };
    return { { "total", this->total },
             { "most_in_a_second", std::max(this->most, this->used) } };
  }

private:
  std::int64_t perSecond;
  std::mutex mutex;
  std::int64_t current = 0;
  std::int64_t used = 0;
  std::int64_t most = 0;
  std::int64_t total = 0;
};

class Platform
{
public:
  explicit Platform(const Options& aOptions)
    : writes(Integer(aOptions, "writes", 0))
    , reads(Integer(aOptions, "reads", 0))
    , lagMs(Integer(aOptions, "lag-ms", 500))
    , expireMs(Integer(aOptions, "expire-ms", 3000))
    , recorder(Text(aOptions, "record", ""))
  {
  }

  auto Register(httplib::Server& aServer) -> void
  {
    this->Table(aServer);
    this->Objects(aServer);
    this->Instances(aServer);
    this->Faults(aServer);
  }

private:
  using Body = const nlohmann::json&;
  using Answer = std::function<nlohmann::json(Body, httplib::Response&)>;

  auto Post(httplib::Server& aServer,
            const char* aPath,
            bool aWrite,
            const Answer& aAnswer) -> void
  {
    aServer.Post(aPath,
                 [this, aWrite, aAnswer](const httplib::Request& aRequest,
                                         httplib::Response& aResponse) {
                   this->Handle(aRequest, aResponse, aWrite, aAnswer);
                 });
  }

  auto Handle(const httplib::Request& aRequest,
              httplib::Response& aResponse,
              bool aWrite,
              const Answer& aAnswer) -> void
  {
    std::this_thread::sleep_for(std::chrono::milliseconds{ this->slowMs });
    auto& budget = aWrite ? this->writes : this->reads;
    if (this->down || !budget.Take()) {
      aResponse.status = kUnavailable;
      return;
    }
    const auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
    if (body.is_discarded()) {
      aResponse.status = kBadRequest;
      return;
    }
    const auto answer = aAnswer(body, aResponse);
    this->bytes += static_cast<std::int64_t>(aRequest.body.size()) +
                   static_cast<std::int64_t>(answer.dump().size());
    const auto every = this->loseReplyEvery.load();
    if (aWrite && every > 0 && ++this->replies % every == 0) {
      aResponse.status = kGatewayTimeout;
      return;
    }
    aResponse.set_content(answer.dump(), "application/json");
  }

  static auto StatusTo(StoreStatus aStatus, httplib::Response& aResponse)
    -> void
  {
    if (aStatus == StoreStatus::Conflict) {
      aResponse.status = kConflict;
    }
  }

  auto Table(httplib::Server& aServer) -> void
  {
    this->Post(aServer,
               "/table/read",
               false,
               [this](Body aBody, httplib::Response&) -> nlohmann::json {
                 return this->table.Read(aBody.at("key")).row;
               });
    this->Post(aServer,
               "/table/scan",
               false,
               [this](Body aBody, httplib::Response&) -> nlohmann::json {
                 return { { "rows",
                            this->table
                              .Scan(aBody.at("prefix"),
                                    aBody.at("after"),
                                    aBody.at("limit"))
                              .rows } };
               });
    this->Post(
      aServer,
      "/table/commit",
      true,
      [this](Body aBody, httplib::Response& aResponse) -> nlohmann::json {
        const auto result = this->table.Commit(aBody.get<Transaction>());
        StatusTo(result.status, aResponse);
        return { { "version", result.version } };
      });
  }

  auto Objects(httplib::Server& aServer) -> void
  {
    const auto text = [](const ObjectResult& aResult,
                         httplib::Response& aResponse) -> nlohmann::json {
      StatusTo(aResult.status, aResponse);
      return { { "generation", aResult.generation },
               { "bytes", aResult.bytes } };
    };
    this->Post(aServer,
               "/objects/get",
               false,
               [this, text](Body aBody, httplib::Response& aResponse) {
                 return text(this->objects.Get(aBody.at("name")), aResponse);
               });
    this->Post(aServer,
               "/objects/put",
               true,
               [this, text](Body aBody, httplib::Response& aResponse) {
                 return text(this->objects.Put(aBody.at("name"),
                                               aBody.at("generation"),
                                               aBody.at("bytes")),
                             aResponse);
               });
    this->Post(aServer,
               "/objects/delete",
               true,
               [this, text](Body aBody, httplib::Response& aResponse) {
                 return text(this->objects.Delete(aBody.at("name"),
                                                  aBody.at("generation")),
                             aResponse);
               });
  }

  auto Instances(httplib::Server& aServer) -> void
  {
    aServer.Post("/instances/register",
                 [this](const httplib::Request& aRequest, httplib::Response&) {
                   auto body = nlohmann::json::parse(aRequest.body);
                   body["seen"] = MonotonicMillis();
                   const auto lock = std::lock_guard{ this->mutex };
                   this->instances[body.at("id")] = body;
                 });
    this->Post(aServer,
               "/instances/list",
               false,
               [this](Body, httplib::Response&) { return this->Listing(); });
  }

  // The list as it was before the lag.
  auto Listing() -> nlohmann::json
  {
    const auto now = MonotonicMillis();
    const auto lock = std::lock_guard{ this->mutex };
    auto listing = nlohmann::json{ { "workers", nlohmann::json::array() },
                                   { "backends", nlohmann::json::array() } };
    for (const auto& [id, instance] : this->instances) {
      if (now - instance.at("seen").get<std::int64_t>() <= this->expireMs) {
        listing[instance.at("kind") == "worker" ? "workers" : "backends"]
          .push_back(instance);
      }
    }
    this->history.emplace_back(now, listing);
    while (this->history.size() > 1 &&
           this->history[1].first <= now - this->lagMs) {
      this->history.pop_front();
    }
    return this->history.front().second;
  }

  auto Faults(httplib::Server& aServer) -> void
  {
    aServer.Post(
      "/fault", [this](const httplib::Request& aRequest, httplib::Response&) {
        const auto body = nlohmann::json::parse(aRequest.body);
        this->down = body.value("down", this->down.load());
        this->slowMs = body.value("slow_ms", this->slowMs.load());
        this->lagMs = body.value("lag_ms", this->lagMs.load());
        this->loseReplyEvery =
          body.value("lose_reply_every", this->loseReplyEvery.load());
        this->recorder.Write(
          { { "event", "platform_fault" }, { "fault", body } });
      });
    aServer.Get("/figures",
                [this](const httplib::Request&, httplib::Response& aResponse) {
                  const auto figures =
                    nlohmann::json{ { "writes", this->writes.Figures() },
                                    { "reads", this->reads.Figures() },
                                    { "bytes", this->bytes.load() } };
                  aResponse.set_content(figures.dump(), "application/json");
                });
  }

  Budget writes;
  Budget reads;
  std::atomic<std::int64_t> lagMs;
  std::int64_t expireMs;
  Recorder recorder;
  MemoryTable table;
  MemoryObjectStore objects;
  std::atomic<bool> down = false;
  std::atomic<std::int64_t> slowMs = 0;
  std::atomic<std::int64_t> loseReplyEvery = 0;
  std::atomic<std::int64_t> replies = 0;
  std::atomic<std::int64_t> bytes = 0;
  std::mutex mutex;
  std::map<std::string, nlohmann::json> instances;
  std::deque<std::pair<std::int64_t, nlohmann::json>> history;
};

} // namespace

auto
RunPlatform(const Options& aOptions) -> int
{
  auto platform = Platform{ aOptions };
  auto server = ConnectionServer{};
  platform.Register(server);
  return Serve(server, static_cast<int>(Integer(aOptions, "port", 0)));
}

} // namespace gooseberry::standin
