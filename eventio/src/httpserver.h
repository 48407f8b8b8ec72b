#ifndef GOOSEBERRY_HTTPSERVER_H
#define GOOSEBERRY_HTTPSERVER_H

// An HTTP/1.1 server on the event loop. Each connection is a session that keeps
// itself alive while something of it is under way.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "eventloop.h"
#include "httpmessage.h"

namespace gooseberry {

struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 262144;
  // A request's header, from its first byte on.
  Millis headerTimeout{ 3000 };
  // An idle connection, and a body on its way.
  Millis idleTimeout{ 15000 };
  std::size_t maxConnections = 2000;

  auto operator==(const HttpServerLimits&) const -> bool = default;
};

// One request and the way to answer it, from the loop, at any later time. A
// request whose last holder lets it go unanswered gets 500.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual auto Request() const -> const HttpRequest& = 0;
  // When its first byte had arrived.
  virtual auto ArrivedAt() const -> Time = 0;
  // Only the first answer counts.
  virtual auto Answer(int aStatus, std::string aBody, HttpFields aFields)
    -> void = 0;
  // The caller has closed its connection.
  virtual auto CallerGone() const -> bool = 0;
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  ~HttpServer();

  // False with the reason if the address can't be bound.
  auto Listen(const boost::asio::ip::tcp::endpoint& aEndpoint,
              std::string& aReason) -> bool;
  auto SetLimits(const HttpServerLimits& aLimits) -> void;
  // From now on each answer announces the end of its connection. New
  // connections are still accepted and served; idle ones stay, since a request
  // may be on its way.
  auto Drain() -> void;
  auto CloseIdle() -> void;
  auto StopListening() -> void;
  // Requests that were read and not answered yet.
  auto Unanswered() const -> std::size_t;
  auto Connections() const -> std::size_t;
  // The port that was bound.
  auto Port() const -> std::uint16_t;

private:
  class Session;
  class Exchange;

  auto Accept() -> void;

  EventLoop& loop;
  HttpServerLimits limits;
  const Handler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  TimerHandle acceptPause;
  std::set<std::shared_ptr<Session>> sessions;
  std::size_t unanswered = 0;
  bool draining = false;
};

} // namespace gooseberry

#endif
