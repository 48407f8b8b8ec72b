#include "httpclient.h"

#include <netinet/tcp.h>

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
ToMessage(const HttpRequest& aRequest, const std::string& aHost)
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
SetSocketOptions(tcp::socket& aSocket, Millis aUserTimeout) -> void
{
  auto ignored = error_code{};
  aSocket.set_option(tcp::no_delay{ true }, ignored);
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  aSocket.set_option(UserTimeout{ static_cast<int>(aUserTimeout.count()) },
                     ignored);
}

} // namespace

struct HttpClient::PendingCall
{
  HttpRequest request;
  Time deadline;
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
    reply.end = this->sent ? HttpEnd::Lost : HttpEnd::NotSent;
    reply.reason = std::move(aReason);
    this->Finish(std::move(reply));
  }
};

// One connection; it stays alive while an operation on it is pending.
class HttpClient::Connection
  : public std::enable_shared_from_this<HttpClient::Connection>
{
public:
  Connection(asio::io_context& aContext, std::weak_ptr<HttpClient> aOwner)
    : socket(aContext)
    , owner(std::move(aOwner))
  {
  }

  auto Open(const std::shared_ptr<PendingCall>& aCall) -> void
  {
    const auto client = this->owner.lock();
    aCall->connection = this->weak_from_this();
    this->call = aCall;
    this->connectTimer = client->loop.After(
      client->options.connectTimeout, [self = this->weak_from_this()] {
        if (const auto connection = self.lock()) {
          connection->Break("no connection in time");
        }
      });
    this->socket.async_connect(
      client->endpoint,
      [self = this->shared_from_this()](const error_code& aError) {
        self->OnConnected(aError);
      });
  }

  auto Serve(const std::shared_ptr<PendingCall>& aCall) -> void
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
          self->Break("ended by the peer");
        }
      });
  }

  auto Break(const std::string& aReason) -> void
  {
    if (this->broken) {
      return;
    }
    this->broken = true;
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

  auto Busy() const -> bool { return this->call != nullptr; }

private:
  auto OnConnected(const error_code& aError) -> void
  {
    this->connectTimer.reset();
    const auto client = this->owner.lock();
    if (this->broken) {
      return;
    }
    if (aError || !client) {
      this->Break("connect: " + aError.message());
      return;
    }
    SetSocketOptions(this->socket, client->options.silentPeer);
    this->host = ToText(client->endpoint);
    this->Send();
  }

  auto Send() -> void
  {
    this->call->sent = true;
    this->message = ToMessage(this->call->request, this->host);
    this->call->request = HttpRequest{};
    http::async_write(this->socket,
                      this->message,
                      [self = this->shared_from_this()](
                        const error_code& aError, std::size_t /*aBytes*/) {
                        if (self->broken) {
                          return;
                        }
                        if (aError) {
                          self->Break("write: " + aError.message());
                          return;
                        }
                        self->Receive();
                      });
  }

  auto Receive() -> void
  {
    this->parser.emplace();
    this->parser->body_limit(kMaxReplyBytes);
    http::async_read(this->socket,
                     this->buffer,
                     *this->parser,
                     [self = this->shared_from_this()](const error_code& aError,
                                                       std::size_t /*aBytes*/) {
                       if (self->broken) {
                         return;
                       }
                       if (aError) {
                         self->Break("read: " + aError.message());
                         return;
                       }
                       self->Deliver();
                     });
  }

  auto Deliver() -> void
  {
    auto& response = this->parser->get();
    auto reply = HttpReply{};
    reply.end = HttpEnd::Answered;
    reply.status = static_cast<int>(response.result_int());
    for (const auto& field : response) {
      reply.fields.emplace_back(std::string{ field.name_string() },
                                std::string{ field.value() });
    }
    reply.body = std::move(response.body());
    const auto reusable = response.keep_alive() && this->buffer.size() == 0;
    this->parser.reset();
    this->message = {};
    const auto completedCall = std::exchange(this->call, nullptr);
    if (!reusable) {
      this->broken = true;
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
  std::string host;
  std::shared_ptr<PendingCall> call;
  TimerHandle connectTimer;
  http::request<http::string_body> message;
  std::optional<http::response_parser<http::string_body>> parser;
  boost::beast::flat_buffer buffer;
  bool broken = false;
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
  auto call = std::make_shared<PendingCall>();
  call->request = std::move(aRequest);
  call->deadline = this->loop.Now() + aTimeout;
  call->done = std::move(aDone);
  call->timer = this->loop.After(aTimeout,
                                 [self = this->weak_from_this(),
                                  weakCall = std::weak_ptr<PendingCall>(call)] {
                                   const auto client = self.lock();
                                   const auto expiredCall = weakCall.lock();
                                   if (client && expiredCall) {
                                     client->OnExpired(expiredCall);
                                   }
                                 });
  this->line.push_back(std::move(call));
  this->Dispatch();
}

auto
HttpClient::Close() -> void
{
  const auto openConnections = this->connections;
  for (const auto& connection : openConnections) {
    connection->Break("closed");
  }
  for (const auto& call : std::exchange(this->line, {})) {
    call->Fail("closed");
  }
}

auto
HttpClient::Opened() const -> std::uint64_t
{
  return this->opened;
}

auto
HttpClient::Dispatch() -> void
{
  while (!this->line.empty()) {
    if (!this->idle.empty()) {
      const auto connection = this->idle.back();
      this->idle.pop_back();
      const auto call = this->line.front();
      this->line.pop_front();
      connection->Serve(call);
      continue;
    }
    if (this->connections.size() >= this->options.maxConnections) {
      return;
    }
    const auto call = this->line.front();
    this->line.pop_front();
    ++this->opened;
    auto connection = std::make_shared<Connection>(this->loop.Context(),
                                                   this->weak_from_this());
    this->connections.insert(connection);
    connection->Open(call);
  }
}

auto
HttpClient::Release(const std::shared_ptr<Connection>& aConnection,
                    bool aReusable) -> void
{
  if (aReusable) {
    this->idle.push_back(aConnection);
    aConnection->WatchIdle();
  } else {
    std::erase(this->idle, aConnection);
    this->connections.erase(aConnection);
  }
  this->loop.Post([self = this->weak_from_this()] {
    if (const auto client = self.lock()) {
      client->Dispatch();
    }
  });
}

auto
HttpClient::RetireIdle() -> void
{
  for (const auto& connection : std::exchange(this->idle, {})) {
    connection->Break("retired");
  }
}

auto
HttpClient::OnExpired(const std::shared_ptr<PendingCall>& aCall) -> void
{
  if (const auto connection = aCall->connection.lock()) {
    connection->Break("no answer in time");
    this->RetireIdle();
    return;
  }
  std::erase(this->line, aCall);
  aCall->Fail("no free connection in time");
}

} // namespace gooseberry
