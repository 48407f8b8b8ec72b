#include "storeserver.h"

#include <map>

#include "jsonencoding.h"

namespace gooseberry::standin {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;
constexpr std::size_t kPage = 500;
// Most entries of one transaction, and most bytes of a row's value.
constexpr std::size_t kMostEntries = 100;
constexpr std::size_t kRowBytes = 65536;
// What the platform's store takes for an answer.
constexpr Millis kTakes{ 8 };
// Callers have given a call up after this.
constexpr std::size_t kMostHeld = 400;

using Query = std::map<std::string, std::string>;

auto
QueryOf(const std::string& aTarget) -> Query
{
  auto query = Query{};
  auto at = aTarget.find('?');
  while (at != std::string::npos) {
    const auto next = aTarget.find('&', at + 1);
    const auto pair = aTarget.substr(at + 1, next - at - 1);
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    at = next;
  }
  return query;
}

auto
KeyOf(const nlohmann::json& aJson) -> cells::RowKey
{
  return { aJson.at("table").get<std::string>(),
           aJson.value("part", std::string{}),
           aJson.at("key").get<std::string>() };
}

auto
ToJson(const cells::StoredRow& aRow) -> nlohmann::json
{
  auto json = nlohmann::json{ { "table", aRow.key.table },
                              { "part", aRow.key.partition },
                              { "key", aRow.key.key },
                              { "ver", aRow.version } };
  if (aRow.version == 0) {
    json["deleted"] = true;
  } else {
    json["value"] = wire::ToBase64(aRow.value);
  }
  return json;
}

auto
ToJson(const std::vector<cells::StoredRow>& aRows) -> nlohmann::json
{
  auto rows = nlohmann::json::array();
  for (const auto& row : aRows) {
    rows.push_back(ToJson(row));
  }
  return rows;
}

// Nothing if the store would not take it: rows too large, too many of them, or
// of several parts.
auto
ReadCommit(const std::string& aBody) -> std::optional<cells::TableTransaction>
{
  auto commit = cells::TableTransaction{};
  auto parts = std::set<std::string>{};
  try {
    const auto json = nlohmann::json::parse(aBody);
    for (const auto& row :
         json.value("expectedRevision", nlohmann::json::array())) {
      commit.conditions.push_back(
        { KeyOf(row), row.at("ver").get<std::uint64_t>() });
      parts.insert(commit.conditions.back().key.partition);
    }
    for (const auto& row : json.value("setKeys", nlohmann::json::array())) {
      const auto value = wire::FromBase64(row.at("value").get<std::string>());
      if (!value || value->size() > kRowBytes) {
        return std::nullopt;
      }
      commit.puts.push_back({ KeyOf(row), *value });
      parts.insert(commit.puts.back().key.partition);
    }
    for (const auto& row : json.value("remove", nlohmann::json::array())) {
      commit.removals.push_back(KeyOf(row));
      parts.insert(commit.removals.back().partition);
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  const auto entries =
    commit.conditions.size() + commit.puts.size() + commit.removals.size();
  return parts.size() > 1 || entries > kMostEntries
           ? std::nullopt
           : std::optional{ std::move(commit) };
}

} // namespace

StoreServer::StoreServer(EventLoop& aLoop,
                         fakes::RowTable& aTable,
                         std::mt19937_64& aRandom,
                         std::function<void()> aOnChange)
  : loop(aLoop)
  , table(aTable)
  , random(aRandom)
  , onChange(std::move(aOnChange))
  , server(std::make_shared<HttpServer>(
      aLoop,
      HttpServerLimits{ 16384, 1 << 20 },
      [this](const std::shared_ptr<HttpExchange>& aExchange) {
        this->Handle(aExchange);
      }))
{
}

auto
StoreServer::Listen(std::string& aReason) -> bool
{
  return this->server->Listen({ boost::asio::ip::address_v4::loopback(), 0 },
                              aReason);
}

auto
StoreServer::Port() const -> std::uint16_t
{
  return this->server->Port();
}

auto
StoreServer::Treat(fakes::StoreTreatment aTreatment) -> void
{
  this->treatment = aTreatment;
}

auto
StoreServer::ResetConnections() -> void
{
  this->server->CloseAll();
}

auto
StoreServer::Later(Micros aDelay, std::function<void()> aWork) -> void
{
  const auto place = this->timers.emplace(this->timers.end());
  *place = this->loop.After(aDelay, [this, place, work = std::move(aWork)] {
    work();
    this->timers.erase(place);
  });
}

auto
StoreServer::Hold(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  this->held.push_back(aExchange);
  if (this->held.size() > kMostHeld) {
    this->held.pop_front();
  }
}

auto
StoreServer::Handle(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  using Mode = fakes::StoreTreatment::Mode;
  if (this->treatment.mode == Mode::Silent) {
    this->Hold(aExchange);
    return;
  }
  if (this->treatment.mode == Mode::Refuses) {
    aExchange->Respond(kUnavailable, "", {});
    return;
  }
  const auto& request = aExchange->Request();
  const auto path = request.target.substr(0, request.target.find('?'));
  if (request.method == "POST" && path == "/gooseberrytray/rows-tx") {
    this->Commit(aExchange);
  } else if (request.method == "GET" && path == "/gooseberrytray/rows-get") {
    this->Read(aExchange);
  } else if (request.method == "GET" && path == "/gooseberrytray/rows-feed") {
    this->Follow(aExchange);
  } else {
    aExchange->Respond(kNotFound, "", {});
  }
}

auto
StoreServer::Apply(const std::string& aBody) -> std::pair<int, std::string>
{
  const auto commit = ReadCommit(aBody);
  if (!commit) {
    return { kBadRequest, "" };
  }
  const auto outcome = this->table.Commit(*commit);
  this->onChange();
  auto json = nlohmann::json{ { "ver", outcome.version },
                              { "nowMs", SteadyMillis(this->loop.Now()) } };
  if (outcome.status == cells::TableStatus::Conflict) {
    json["rows"] = ToJson(outcome.current);
    return { kPreconditionFailed, json.dump() };
  }
  return { kOk, json.dump() };
}

auto
StoreServer::Commit(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  const auto takes = std::chrono::duration_cast<Micros>(
    std::chrono::duration<double, std::milli>(kTakes) * this->treatment.slow);
  auto chance = std::uniform_real_distribution{ 0.0, 1.0 };
  if (chance(this->random) < this->treatment.lost) {
    auto late = std::uniform_int_distribution<std::int64_t>{
      0, this->treatment.late.count()
    };
    this->Hold(aExchange);
    this->Later(takes + Millis{ late(this->random) },
                [this, aExchange] { this->Apply(aExchange->Request().body); });
    return;
  }
  this->Later(takes, [this, aExchange] {
    const auto [status, body] = this->Apply(aExchange->Request().body);
    aExchange->Respond(status, body, {});
  });
}

auto
StoreServer::Read(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  const auto query = QueryOf(aExchange->Request().target);
  const auto value = [&](const char* aName) {
    const auto found = query.find(aName);
    return found == query.end() ? std::string{} : found->second;
  };
  const auto range = cells::RowRange{
    value("table"), value("part"), value("from"), value("to")
  };
  const auto takes = std::chrono::duration_cast<Micros>(
    std::chrono::duration<double, std::milli>(kTakes) * this->treatment.slow);
  this->Later(takes, [this, aExchange, range] {
    auto more = false;
    const auto outcome = this->table.Read(range, kPage, more);
    aExchange->Respond(
      kOk,
      nlohmann::json{ { "rows", ToJson(outcome.rows) },
                      { "morePages", more },
                      { "ver", outcome.version },
                      { "nowMs", SteadyMillis(this->loop.Now()) } }
        .dump(),
      {});
  });
}

auto
StoreServer::Follow(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  const auto query = QueryOf(aExchange->Request().target);
  try {
    this->feeds.push_back(
      { aExchange,
        query.at("table"),
        std::stoull(query.at("after")),
        this->loop.Now() + Millis{ std::stoll(query.at("waitMs")) } });
  } catch (const std::exception&) {
    aExchange->Respond(kBadRequest, "", {});
    return;
  }
  this->WakeFeeds();
}

auto
StoreServer::WakeFeeds() -> void
{
  const auto now = this->loop.Now();
  for (auto feed = this->feeds.begin(); feed != this->feeds.end();) {
    const auto changes = this->table.Changes(feed->table, feed->after);
    if (changes && changes->rows.empty() && now < feed->until) {
      ++feed;
      continue;
    }
    if (changes) {
      feed->exchange->Respond(kOk,
                              nlohmann::json{ { "rows", ToJson(changes->rows) },
                                              { "ver", changes->version } }
                                .dump(),
                              {});
    } else {
      feed->exchange->Respond(kGone, "", {});
    }
    feed = this->feeds.erase(feed);
  }
}

} // namespace gooseberry::standin
