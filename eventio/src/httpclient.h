#ifndef GOOSEBERRY_HTTPCLIENT_H
#define GOOSEBERRY_HTTPCLIENT_H

// HTTP/1.1 client for one address with a pool of persistent connections.
// Belongs to the event loop. The client never retries: the code that made the
// call decides whether to repeat it, by the outcome in the reply.

#include <deque>
#include <functional>
#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>

#include "eventloop.h"
#include "httpmessage.h"

namespace gooseberry {

struct HttpClientOptions
{
  std::size_t maxConnections = 8;
  Millis connectTimeout{ 1000 };
  // TCP_USER_TIMEOUT: a connection with sent data that stays unacknowledged for
  // this long is closed.
  Millis tcpUserTimeout{ 3000 };
  // Probes the peer's host while a response is awaited, for calls that take
  // long: a connection whose host is gone is closed after some seconds.
  bool keepAlive = false;
  // The timeout of a call bounds each wait: in the queue while no other call
  // receives anything, for the first bytes of the response, then for the next
  // ones. Otherwise it bounds the whole call, and a response that is too large
  // for it is given up while it arrives.
  bool timeoutBoundsSilence = false;
  // Most bytes that one turn of the event loop reads from a connection, which
  // keeps a buffer of this size.
  std::size_t readBytes = 4096;
};

class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  using Done = std::function<void(HttpReply)>;

  HttpClient(EventLoop& aLoop,
             boost::asio::ip::tcp::endpoint aEndpoint,
             HttpClientOptions aOptions);
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;
  ~HttpClient();

  // Runs aDone exactly once, and never before this function returns. Calls that
  // find no free connection are queued; aTimeout includes the time in the
  // queue unless it bounds silence.
  auto Call(HttpRequest aRequest, Micros aTimeout, Done aDone) -> void;
  // The same, but only on the connection with this number, which leads to one
  // process for its whole life. If it is not idle the request is not sent.
  auto CallOnConnection(std::uint64_t aConnection,
                        HttpRequest aRequest,
                        Micros aTimeout,
                        Done aDone) -> void;
  // Closes all connections. Pending calls fail: Unknown if their request was
  // already being sent, else NotSent.
  auto Close() -> void;

  // Number of connections that this client has started to open so far.
  auto OpenedConnections() const -> std::uint64_t;

private:
  class Connection;
  struct PendingCall;

  auto NewCall(HttpRequest aRequest, Micros aTimeout, Done aDone)
    -> std::shared_ptr<PendingCall>;
  auto Dispatch() -> void;
  auto Release(const std::shared_ptr<Connection>& aConnection, bool aReusable)
    -> void;
  // Closes the idle connections after a call timed out: they may be just as
  // unresponsive as the connection of that call.
  auto CloseIdleConnections() -> void;
  auto StartTimer(const std::shared_ptr<PendingCall>& aCall, Micros aDelay)
    -> void;
  auto OnCallTimeout(const std::shared_ptr<PendingCall>& aCall) -> void;

  EventLoop& loop;
  const boost::asio::ip::tcp::endpoint endpoint;
  const HttpClientOptions options;
  std::deque<std::shared_ptr<PendingCall>> pendingCalls;
  std::set<std::shared_ptr<Connection>> connections;
  std::vector<std::shared_ptr<Connection>> idleConnections;
  // When bytes of any response arrived last.
  Time receivedAt{};
  std::uint64_t openedConnections = 0;
};

} // namespace gooseberry

#endif
