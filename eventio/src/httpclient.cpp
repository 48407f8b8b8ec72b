#include "httpclient.h"

#include <netinet/tcp.h>

#include <algorithm>

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "hostport.h"

namespace gooseberry {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Largest response body that is accepted: a page of the table service plus some
// headroom.
constexpr std::uint64_t kMaxReplyBytes = std::uint64_t{ 16 } << 20U;

auto
BuildRequest(const HttpRequest& aRequest, const std::string& aHost)
  -> http::request<http::string_body>
{
  auto message = http::request<http::string_body>{
    http::string_to_verb(aRequest.method), aRequest.target, 11
  };
  message.set(http::field::host, aHost);
  for (const auto& [name, value] : aRequest.fields) {
    message.set(name, value);
  }
  if (!aRequest.body.empty()) {
    message.body() = aRequest.body;
  }
  message.prepare_payload();
  return message;
}

auto
SetKeepAlive(tcp::socket& aSocket) -> void
{
  constexpr int kIdleSeconds = 3;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 3;
  using asio::detail::socket_option::integer;
  auto ignored = error_code{};
  aSocket.set_option(tcp::socket::keep_alive{ true }, ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>{ kIdleSeconds },
                     ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>{ kIntervalSeconds },
                     ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>{ kProbes }, ignored);
}

auto
SetSocketOptions(tcp::socket& aSocket, const HttpClientOptions& aOptions)
  -> void
{
  auto ignored = error_code{};
  aSocket.set_option(tcp::no_delay{ true }, ignored);
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  aSocket.set_option(
    UserTimeout{ static_cast<int>(aOptions.tcpUserTimeout.count()) }, ignored);
  if (aOptions.keepAlive) {
    SetKeepAlive(aSocket);
  }
}

} // namespace

struct HttpClient::PendingCall
{
  HttpRequest request;
  Micros timeout{ 0 };
  // When the call was made or sent, or bytes of its response arrived last.
  Time activeAt{};
  Done done;
  TimerHandle timer;
  std::weak_ptr<Connection> connection;
  bool sent = false;

  auto Finish(HttpReply aReply) -> void
  {
    this->timer.reset();
    if (const auto completion = std::exchange(this->done, nullptr)) {
      completion(std::move(aReply));
    }
  }

  auto Fail(std::string aReason) -> void
  {
    auto reply = HttpReply{};
    reply.outcome = this->sent ? HttpOutcome::Unknown : HttpOutcome::NotSent;
    reply.reason = std::move(aReason);
    this->Finish(std::move(reply));
  }
};

// One connection; it stays alive while an operation on it is pending.
class HttpClient::Connection
  : public std::enable_shared_from_this<HttpClient::Connection>
{
public:
  Connection(asio::io_context& aContext,
             std::weak_ptr<HttpClient> aOwner,
             std::uint64_t aNumber)
    : socket(aContext)
    , owner(std::move(aOwner))
    , number(aNumber)
  {
  }

  auto ConnectAndSend(const std::shared_ptr<PendingCall>& aCall) -> void
  {
    const auto client = this->owner.lock();
    aCall->connection = this->weak_from_this();
    aCall->activeAt = client->loop.Now();
    this->call = aCall;
    this->connectTimer = client->loop.After(
      client->options.connectTimeout, [self = this->weak_from_this()] {
        if (const auto connection = self.lock()) {
          connection->CloseAndFailCall("no connection in time");
        }
      });
    this->socket.async_connect(
      client->endpoint,
      [self = this->shared_from_this()](const error_code& aError) {
        self->OnConnected(aError);
      });
  }

  auto StartCall(const std::shared_ptr<PendingCall>& aCall) -> void
  {
    aCall->connection = this->weak_from_this();
    this->call = aCall;
    this->Send();
  }

  // An idle connection that becomes readable was closed by the peer, or got
  // data that no request asked for: closes it in both cases.
  auto WatchIdle() -> void
  {
    this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const error_code& aError) {
        if (!aError && !self->call) {
          self->CloseAndFailCall("ended by the peer");
        }
      });
  }

  auto CloseAndFailCall(const std::string& aReason) -> void
  {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->connectTimer.reset();
    auto ignored = error_code{};
    this->socket.close(ignored);
    const auto failedCall = std::exchange(this->call, nullptr);
    if (const auto client = this->owner.lock()) {
      client->Release(this->shared_from_this(), false);
    }
    if (failedCall) {
      failedCall->Fail(aReason);
    }
  }

  auto IsBusy() const -> bool { return this->call != nullptr; }
  auto Number() const -> std::uint64_t { return this->number; }

private:
  auto OnConnected(const error_code& aError) -> void
  {
    this->connectTimer.reset();
    const auto client = this->owner.lock();
    if (this->closed) {
      return;
    }
    if (aError || !client) {
      this->CloseAndFailCall("connect: " + aError.message());
      return;
    }
    SetSocketOptions(this->socket, client->options);
    this->host = ToText(client->endpoint);
    this->Send();
  }

  auto Send() -> void
  {
    this->call->sent = true;
    if (const auto client = this->owner.lock()) {
      this->call->activeAt = client->loop.Now();
    }
    this->message = BuildRequest(this->call->request, this->host);
    this->call->request = HttpRequest{};
    http::async_write(this->socket,
                      this->message,
                      [self = this->shared_from_this()](
                        const error_code& aError, std::size_t /*aBytes*/) {
                        if (self->closed) {
                          return;
                        }
                        if (aError) {
                          self->CloseAndFailCall("write: " + aError.message());
                          return;
                        }
                        self->Receive();
                      });
  }

  auto Receive() -> void
  {
    this->parser.emplace();
    this->parser->body_limit(kMaxReplyBytes);
    // An empty buffer would be filled 512 bytes at a time.
    if (const auto client = this->owner.lock()) {
      this->buffer.reserve(client->options.readBytes);
    }
    this->parser->eager(true);
    this->ReceiveSome();
  }

  auto ReceiveSome() -> void
  {
    http::async_read_some(
      this->socket,
      this->buffer,
      *this->parser,
      [self = this->shared_from_this()](const error_code& aError,
                                        std::size_t /*aBytes*/) {
        if (self->closed) {
          return;
        }
        if (aError) {
          self->CloseAndFailCall("read: " + aError.message());
          return;
        }
        if (self->parser->is_done()) {
          self->DeliverResponse();
          return;
        }
        if (const auto client = self->owner.lock()) {
          client->receivedAt = client->loop.Now();
          self->call->activeAt = client->receivedAt;
        }
        self->ReceiveSome();
      });
  }

  auto DeliverResponse() -> void
  {
    auto& response = this->parser->get();
    auto reply = HttpReply{};
    reply.outcome = HttpOutcome::Answered;
    reply.status = static_cast<int>(response.result_int());
    for (const auto& field : response) {
      reply.fields.emplace_back(std::string{ field.name_string() },
                                std::string{ field.value() });
    }
    reply.body = std::move(response.body());
    reply.connection = this->number;
    const auto reusable = response.keep_alive() && this->buffer.size() == 0;
    this->parser.reset();
    this->message = {};
    const auto completedCall = std::exchange(this->call, nullptr);
    if (!reusable) {
      this->closed = true;
      auto ignored = error_code{};
      this->socket.close(ignored);
    }
    if (const auto client = this->owner.lock()) {
      client->Release(this->shared_from_this(), reusable);
    }
    completedCall->Finish(std::move(reply));
  }

  tcp::socket socket;
  std::weak_ptr<HttpClient> owner;
  const std::uint64_t number;
  std::string host;
  std::shared_ptr<PendingCall> call;
  TimerHandle connectTimer;
  http::request<http::string_body> message;
  std::optional<http::response_parser<http::string_body>> parser;
  boost::beast::flat_buffer buffer;
  bool closed = false;
};

HttpClient::HttpClient(EventLoop& aLoop,
                       boost::asio::ip::tcp::endpoint aEndpoint,
                       HttpClientOptions aOptions)
  : loop(aLoop)
  , endpoint(std::move(aEndpoint))
  , options(aOptions)
{
}

HttpClient::~HttpClient() = default;

auto
HttpClient::Call(HttpRequest aRequest, Micros aTimeout, Done aDone) -> void
{
  this->pendingCalls.push_back(
    this->NewCall(std::move(aRequest), aTimeout, std::move(aDone)));
  this->Dispatch();
}

auto
HttpClient::NewCall(HttpRequest aRequest, Micros aTimeout, Done aDone)
  -> std::shared_ptr<PendingCall>
{
  auto call = std::make_shared<PendingCall>();
  call->request = std::move(aRequest);
  call->timeout = aTimeout;
  call->activeAt = this->loop.Now();
  call->done = std::move(aDone);
  this->StartTimer(call, aTimeout);
  return call;
}

auto
HttpClient::StartTimer(const std::shared_ptr<PendingCall>& aCall, Micros aDelay)
  -> void
{
  aCall->timer = this->loop.After(
    aDelay,
    [self = this->weak_from_this(), weak = std::weak_ptr<PendingCall>(aCall)] {
      const auto client = self.lock();
      const auto call = weak.lock();
      if (client && call) {
        client->OnCallTimeout(call);
      }
    });
}

auto
HttpClient::CallOnConnection(std::uint64_t aConnection,
                             HttpRequest aRequest,
                             Micros aTimeout,
                             Done aDone) -> void
{
  const auto idle = std::find_if(
    this->idleConnections.begin(),
    this->idleConnections.end(),
    [&](const auto& aItem) { return aItem->Number() == aConnection; });
  if (idle == this->idleConnections.end()) {
    this->loop.Post([done = std::move(aDone)] {
      auto reply = HttpReply{};
      reply.reason = "the connection is not idle";
      done(std::move(reply));
    });
    return;
  }
  const auto connection = *idle;
  this->idleConnections.erase(idle);
  connection->StartCall(
    this->NewCall(std::move(aRequest), aTimeout, std::move(aDone)));
}

auto
HttpClient::Close() -> void
{
  const auto openConnections = this->connections;
  for (const auto& connection : openConnections) {
    connection->CloseAndFailCall("closed");
  }
  for (const auto& call : std::exchange(this->pendingCalls, {})) {
    call->Fail("closed");
  }
}

auto
HttpClient::OpenedConnections() const -> std::uint64_t
{
  return this->openedConnections;
}

auto
HttpClient::Dispatch() -> void
{
  while (!this->pendingCalls.empty()) {
    if (!this->idleConnections.empty()) {
      const auto connection = this->idleConnections.back();
      this->idleConnections.pop_back();
      const auto call = this->pendingCalls.front();
      this->pendingCalls.pop_front();
      connection->StartCall(call);
      continue;
    }
    if (this->connections.size() >= this->options.maxConnections) {
      return;
    }
    const auto call = this->pendingCalls.front();
    this->pendingCalls.pop_front();
    ++this->openedConnections;
    auto connection = std::make_shared<Connection>(
      this->loop.Context(), this->weak_from_this(), this->openedConnections);
    this->connections.insert(connection);
    connection->ConnectAndSend(call);
  }
}

auto
HttpClient::Release(const std::shared_ptr<Connection>& aConnection,
                    bool aReusable) -> void
{
  if (aReusable) {
    this->idleConnections.push_back(aConnection);
    aConnection->WatchIdle();
  } else {
    std::erase(this->idleConnections, aConnection);
    this->connections.erase(aConnection);
  }
  this->loop.Post([self = this->weak_from_this()] {
    if (const auto client = self.lock()) {
      client->Dispatch();
    }
  });
}

auto
HttpClient::CloseIdleConnections() -> void
{
  for (const auto& connection : std::exchange(this->idleConnections, {})) {
    connection->CloseAndFailCall("retired");
  }
}

auto
HttpClient::OnCallTimeout(const std::shared_ptr<PendingCall>& aCall) -> void
{
  const auto connection = aCall->connection.lock();
  // A call in the queue waits for those that hold the connections.
  const auto silentSince =
    connection ? aCall->activeAt : std::max(aCall->activeAt, this->receivedAt);
  const auto wait = silentSince + aCall->timeout - this->loop.Now();
  if (this->options.timeoutBoundsSilence && wait > Micros{ 0 }) {
    this->StartTimer(aCall, wait);
    return;
  }
  if (connection) {
    connection->CloseAndFailCall("no answer in time");
    this->CloseIdleConnections();
    return;
  }
  std::erase(this->pendingCalls, aCall);
  aCall->Fail("no free connection in time");
}

} // namespace gooseberry
