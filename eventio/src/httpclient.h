#ifndef GOOSEBERRY_HTTPCLIENT_H
#define GOOSEBERRY_HTTPCLIENT_H

// HTTP/1.1 calls to one address over connections that are kept open. Belongs to
// the event loop. Nothing is ever sent twice: whether to repeat a call is the
// caller's decision, by what the reply says of its fate.

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
  // Unacknowledged bytes end a connection after this long.
  Millis silentPeer{ 3000 };
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

  // aDone is called once, never from within this call.
  auto Call(HttpRequest aRequest, Micros aTimeout, Done aDone) -> void;
  // Ends all connections; calls under way end as Lost or NotSent.
  auto Close() -> void;

  // Connections opened so far.
  auto Opened() const -> std::uint64_t;

private:
  class Connection;
  struct PendingCall;

  auto Dispatch() -> void;
  auto Release(const std::shared_ptr<Connection>& aConnection, bool aReusable)
    -> void;
  // Open connections may have gone silent as the one that got no answer did.
  auto RetireIdle() -> void;
  auto OnExpired(const std::shared_ptr<PendingCall>& aCall) -> void;

  EventLoop& loop;
  const boost::asio::ip::tcp::endpoint endpoint;
  const HttpClientOptions options;
  std::deque<std::shared_ptr<PendingCall>> line;
  std::set<std::shared_ptr<Connection>> connections;
  std::vector<std::shared_ptr<Connection>> idle;
  std::uint64_t opened = 0;
};

} // namespace gooseberry

#endif
