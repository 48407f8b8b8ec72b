#ifndef GOOSEBERRY_HTTPSERVER_H
#define GOOSEBERRY_HTTPSERVER_H

// HTTP/1.1 server on the event loop. Each connection is a session. The server
// holds a reference to it until the connection is closed; pending asynchronous
// operations and an unanswered request hold further references.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "connectionlimits.h"
#include "eventloop.h"
#include "httpmessage.h"

namespace gooseberry {

struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 262144;
  // Time limit for a request header, from its first byte on.
  Millis headerTimeout{ 3000 };
  // Time limit, separately, for an idle connection between requests, for
  // receiving a whole request body and for sending a whole response.
  Millis idleTimeout{ 15000 };
  // A further connection takes the place of one that makes no progress; if
  // there is none, it is closed as soon as it is accepted.
  std::size_t maxConnections = 2000;
  // Number of bytes that all connections together may hold. Beyond it, requests
  // are refused with 503 before they run, and responses that are not read end.
  std::size_t maxBufferedBytes = std::size_t{ 64 } << 20U;

  auto operator==(const HttpServerLimits&) const -> bool = default;
};

// One request and its response. The handler calls Respond() at once or at any
// later time, on the thread of the loop. The last reference must be released on
// that thread too: if there was no response, this sends status 500.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual auto Request() const -> const HttpRequest& = 0;
  // Time at which the first byte of the request was received. For a request
  // that was already buffered, the time after the previous response was sent.
  virtual auto ArrivedAt() const -> Time = 0;
  // Sends the response; later calls are ignored.
  virtual auto Respond(int aStatus, std::string aBody, HttpFields aFields)
    -> void = 0;
  // True if the connection is closed or the request has been answered;
  // Respond() then has no effect.
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
  // Closes the connections that wait for the first byte of a request.
  auto CloseIdle() -> void;
  // Closes all connections; pending requests get no response.
  auto CloseAll() -> void;
  auto StopListening() -> void;
  // Number of requests that were received and not answered yet.
  auto PendingRequests() const -> std::size_t;
  auto ConnectionCount() const -> std::size_t;
  // Number of bytes that all connections hold together.
  auto HeldBytes() const -> std::size_t;
  auto Counts() const -> const ConnectionCounts&;
  // The port that the server listens on; if Listen() was called with port 0,
  // the port that the kernel chose.
  auto Port() const -> std::uint16_t;

private:
  class Session;
  class Exchange;

  auto Accept() -> void;
  // Closes one connection so that there is a place for a new one. Returns false
  // if all are in use.
  auto FreeConnection() -> bool;
  // Refuses or closes connections until the rest keep to the limit of bytes.
  auto FreeMemory() -> void;

  EventLoop& loop;
  HttpServerLimits limits;
  const Handler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  TimerHandle acceptRetryTimer;
  std::set<std::shared_ptr<Session>> sessions;
  ConnectionLimiter limiter;
  ConnectionCounts counts;
  std::size_t pendingRequests = 0;
  bool draining = false;
};

} // namespace gooseberry

#endif
