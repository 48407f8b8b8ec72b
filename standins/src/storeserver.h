#ifndef GOOSEBERRY_STORESERVER_H
#define GOOSEBERRY_STORESERVER_H

// The users' platform's store as one instance reaches it: a port of its own, so
// that the store can treat each instance differently. All ports share a table.

#include <list>
#include <memory>
#include <random>

#include "faultyfleet.h"
#include "httpserver.h"
#include "rowtable.h"

namespace gooseberry::standin {

class StoreServer
{
public:
  StoreServer(EventLoop& aLoop,
              fakes::RowTable& aTable,
              std::mt19937_64& aRandom,
              std::function<void()> aOnChange);

  // False with the reason if no port can be bound.
  auto Listen(std::string& aReason) -> bool;
  auto Port() const -> std::uint16_t;
  auto Treat(fakes::StoreTreatment aTreatment) -> void;
  // Closes all connections; calls that are pending get no answer.
  auto ResetConnections() -> void;
  // Answers the feeds that have something to tell, or waited long enough.
  auto WakeFeeds() -> void;

private:
  struct Feed
  {
    std::shared_ptr<HttpExchange> exchange;
    std::string table;
    std::uint64_t after = 0;
    Time until{};
  };

  auto Handle(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Commit(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Read(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Follow(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Apply(const std::string& aBody) -> std::pair<int, std::string>;
  // Keeps it unanswered until its caller has given up.
  auto Hold(const std::shared_ptr<HttpExchange>& aExchange) -> void;
  auto Later(Micros aDelay, std::function<void()> aWork) -> void;

  EventLoop& loop;
  fakes::RowTable& table;
  std::mt19937_64& random;
  const std::function<void()> onChange;
  std::shared_ptr<HttpServer> server;
  fakes::StoreTreatment treatment;
  std::list<Feed> feeds;
  std::list<std::shared_ptr<HttpExchange>> held;
  std::list<TimerHandle> timers;
};

} // namespace gooseberry::standin

#endif
