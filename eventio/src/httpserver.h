#ifndef GOOSEBERRY_HTTPSERVER_H
#define GOOSEBERRY_HTTPSERVER_H

// HTTP/1.1 server on the event loop. Each connection is a session, which
// pending asynchronous operations and its unanswered request keep alive.

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
  // Time limit for a request header, from its first byte on.
  Millis headerTimeout{ 3000 };
  // Time limit for an idle connection between requests, for receiving a request
  // body and for sending a response.
  Millis idleTimeout{ 15000 };
  std::size_t maxConnections = 2000;

  auto operator==(const HttpServerLimits&) const -> bool = default;
};

// One request and its response. The response may be given at any later time, on
// the thread of the loop. If the last reference is released without a response,
// the caller gets status 500.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual auto Request() const -> const HttpRequest& = 0;
  // Time at which the first byte of the request was received.
  virtual auto ArrivedAt() const -> Time = 0;
  // Sends the response; later calls are ignored.
  virtual auto Respond(int aStatus, std::string aBody, HttpFields aFields)
    -> void = 0;
  // True if the connection is closed or the request has been answered.
  virtual auto IsClosed() const -> bool = 0;
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;
  ~HttpServer();

  // Returns false, with the reason in aReason, if the server can't listen on
  // the address.
  auto Listen(const boost::asio::ip::tcp::endpoint& aEndpoint,
              std::string& aReason) -> bool;
  auto SetLimits(const HttpServerLimits& aLimits) -> void;
  // From now on each response closes its connection ("Connection: close"). New
  // connections are still accepted and served. Idle connections stay open,
  // since a request may be in transit.
  auto Drain() -> void;
  auto CloseIdle() -> void;
  auto StopListening() -> void;
  // Number of requests that were received and not answered yet.
  auto PendingRequests() const -> std::size_t;
  auto ConnectionCount() const -> std::size_t;
  // The port that the server listens on, also if port 0 was requested.
  auto Port() const -> std::uint16_t;

private:
  class Session;
  class Exchange;

  auto Accept() -> void;

  EventLoop& loop;
  HttpServerLimits limits;
  const Handler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  TimerHandle acceptRetryTimer;
  std::set<std::shared_ptr<Session>> sessions;
  std::size_t pendingRequests = 0;
  bool draining = false;
};

} // namespace gooseberry

#endif
