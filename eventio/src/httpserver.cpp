#include "httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace gooseberry {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kHttpVersion = 11;
// Listen backlog; large enough for many callers that connect at the same
// moment.
constexpr int kListenBacklog = 1024;
// Delay before the next accept after a failed one, such as when the process has
// run out of file descriptors.
constexpr Millis kAcceptRetryDelay{ 100 };
// How long a closing connection still reads and discards input. Closing a
// socket with unread input makes the kernel reset the connection, and the peer
// may lose the last response.
constexpr Millis kLingerDuration{ 500 };
constexpr std::size_t kLingerBufferBytes = 2048;
// Room in a connection's buffer beyond the header limit, so that the parser
// recognizes a header of exactly that size.
constexpr std::size_t kBufferSlackBytes = 512;
// A larger read buffer is released while a connection is idle.
constexpr std::size_t kKeptBufferBytes = 1024;
constexpr std::size_t kMinReadBytes = 512;
constexpr std::size_t kMaxReadBytes = 65536;
// Memory of a header field in addition to its text, in the parser or in an
// HttpRequest.
constexpr std::size_t kFieldOverheadBytes = 64;
constexpr int kUnavailable = 503;

auto
StatusOf(const error_code& aError) -> http::status
{
  // The buffer's limit is reached by trailers or chunk extensions.
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  if (aError == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

auto
IsMalformed(const error_code& aError) -> bool
{
  return aError.category() ==
           http::make_error_code(http::error::end_of_stream).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

} // namespace

class HttpServer::Session
  : public std::enable_shared_from_this<HttpServer::Session>
  , public LimitedConnection
{
public:
  Session(tcp::socket aSocket, std::weak_ptr<HttpServer> aServer)
    : socket(std::move(aSocket))
    , server(std::move(aServer))
  {
  }

  auto Start() -> void
  {
    auto ignored = error_code{};
    this->socket.set_option(tcp::no_delay{ true }, ignored);
    this->WaitForRequest();
  }

  auto CloseIfIdle() -> void
  {
    if (this->idle && this->buffer.size() == 0) {
      this->Close();
    }
  }

  auto Abort() -> void { this->Close(); }

  // Ends the connection to free its memory: a request that is being received is
  // answered with 503 and has not run.
  auto Shed() -> void
  {
    const auto owner = this->server.lock();
    if (!owner || this->closed) {
      return;
    }
    if (!this->parser) {
      this->Close();
      return;
    }
    // The bytes are free as soon as the pending read has been cancelled.
    owner->limiter.SetHeldBytes(*this, 0);
    this->SetPhase(ConnectionPhase::Ending);
    this->shed = true;
    if (this->reading) {
      auto ignored = error_code{};
      this->socket.cancel(ignored);
    }
  }

  auto Send(int aStatus, std::string aBody, const HttpFields& aFields) -> void
  {
    const auto owner = this->server.lock();
    if (!owner || this->closed) {
      return;
    }
    owner->limiter.SetHeldBytes(*this, this->buffer.size() + aBody.size());
    if (!this->shed) {
      this->SetPhase(ConnectionPhase::Sending);
    }
    const auto last = owner->draining || !this->keepAlive;
    this->response = {};
    this->response.version(kHttpVersion);
    this->response.result(static_cast<unsigned>(aStatus));
    // Default content type; aFields may override it.
    if (!aBody.empty()) {
      this->response.set(http::field::content_type, "application/json");
    }
    for (const auto& [name, value] : aFields) {
      this->response.set(name, value);
    }
    this->response.keep_alive(!last);
    this->response.body() = std::move(aBody);
    this->response.prepare_payload();
    this->WriteResponse(last);
  }

  auto ArrivedAt() const -> Time { return this->arrivedAt; }
  auto IsClosed() const -> bool { return this->closed; }

private:
  auto WaitForRequest() -> void
  {
    const auto owner = this->server.lock();
    if (!owner || this->closed) {
      return;
    }
    this->idle = true;
    this->SetPhase(ConnectionPhase::Idle);
    if (this->buffer.size() == 0 &&
        this->buffer.capacity() > kKeptBufferBytes) {
      this->buffer.shrink_to_fit();
    }
    owner->limiter.SetHeldBytes(*this, 0);
    this->headerDone = false;
    this->buffer.max_size(owner->limits.maxHeaderBytes + kBufferSlackBytes);
    this->parser.emplace();
    this->parser->header_limit(
      static_cast<std::uint32_t>(owner->limits.maxHeaderBytes));
    this->parser->body_limit(owner->limits.maxBodyBytes);
    this->parser->eager(true);
    if (this->buffer.size() > 0) {
      this->OnFirstByte();
      return;
    }
    this->StartTimer(owner->limits.idleTimeout);
    this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const error_code& aError) {
        if (aError || self->closed) {
          self->Close();
          return;
        }
        self->OnFirstByte();
      });
  }

  auto OnFirstByte() -> void
  {
    const auto owner = this->server.lock();
    if (!owner) {
      this->Close();
      return;
    }
    this->idle = false;
    this->SetPhase(ConnectionPhase::Receiving);
    this->arrivedAt = owner->loop.Now();
    this->StartTimer(owner->limits.headerTimeout);
    if (this->buffer.size() > 0) {
      this->Parse();
    } else {
      this->Read();
    }
  }

  // Reads some bytes. The buffer holds a header, or one chunk's extensions or
  // the trailers; the parser moves bytes of the body out of it.
  auto Read() -> void
  {
    // Requests that were sent together may exceed a limit that was lowered
    // while the first of them was served.
    const auto room = this->buffer.max_size() -
                      std::min(this->buffer.max_size(), this->buffer.size());
    const auto size =
      std::min({ room,
                 kMaxReadBytes,
                 std::max(kMinReadBytes,
                          this->buffer.capacity() - this->buffer.size()) });
    if (size == 0) {
      this->HandleReadError(
        http::make_error_code(http::error::buffer_overflow));
      return;
    }
    this->reading = true;
    this->socket.async_read_some(
      this->buffer.prepare(size),
      [self = this->shared_from_this()](const error_code& aError,
                                        std::size_t aBytes) {
        self->reading = false;
        if (!self->HandleReadError(aError)) {
          self->buffer.commit(aBytes);
          self->Parse();
        }
      });
  }

  auto Parse() -> void
  {
    const auto owner = this->server.lock();
    if (!owner) {
      this->Close();
      return;
    }
    auto error = error_code{};
    this->buffer.consume(this->parser->put(this->buffer.data(), error));
    if (error == http::error::need_more) {
      error = {};
    }
    if (this->HandleReadError(error) || this->IsShedNow(*owner)) {
      return;
    }
    if (this->parser->is_done()) {
      this->OnRequest();
      return;
    }
    if (!this->headerDone && this->parser->is_header_done()) {
      this->headerDone = true;
      this->StartTimer(owner->limits.idleTimeout);
    }
    this->Read();
  }

  // Handles the result of a read. Malformed and oversized requests get an error
  // response; after any other error the connection is closed. Returns true if
  // the request can't be processed further.
  auto HandleReadError(const error_code& aError) -> bool
  {
    if (this->closed) {
      return true;
    }
    if (this->shed) {
      this->SendShedResponse();
      return true;
    }
    if (!aError) {
      return false;
    }
    if (!IsMalformed(aError)) {
      this->Close();
      return true;
    }
    if (const auto owner = this->server.lock()) {
      ++owner->counts.badRequests;
    }
    this->keepAlive = false;
    this->ReleaseRequest();
    const auto status = StatusOf(aError);
    this->Send(static_cast<int>(status),
               R"({"error":")" + aError.message() + R"("})",
               {});
    return true;
  }

  auto OnRequest() -> void;

  // Counts the bytes of the request so far, and ends connections if all of them
  // together hold too many. Returns true if this is one of them.
  auto IsShedNow(HttpServer& aOwner) -> bool
  {
    const auto& message = this->parser->get();
    if (this->fieldBytes == 0 && this->parser->is_header_done()) {
      for (const auto& field : message) {
        this->fieldBytes += field.name_string().size() + field.value().size() +
                            kFieldOverheadBytes;
      }
    }
    aOwner.limiter.SetHeldBytes(*this,
                                this->buffer.capacity() + this->fieldBytes +
                                  message.body().size());
    aOwner.FreeMemory();
    if (this->shed) {
      this->SendShedResponse();
    }
    return this->shed;
  }

  auto SendShedResponse() -> void
  {
    this->keepAlive = false;
    this->ReleaseRequest();
    this->Send(kUnavailable,
               R"({"error":"too many bytes are buffered, try again"})",
               { { "Retry-After", "1" } });
  }

  // Frees the memory of a request that will not run.
  auto ReleaseRequest() -> void
  {
    this->parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
  }

  auto SetPhase(ConnectionPhase aPhase) -> void
  {
    if (const auto owner = this->server.lock(); owner && !this->closed) {
      owner->limiter.SetPhase(*this, aPhase, owner->loop.Now());
    }
  }

  auto WriteResponse(bool aLast) -> void
  {
    const auto owner = this->server.lock();
    this->StartTimer(owner->limits.idleTimeout);
    http::async_write(this->socket,
                      this->response,
                      [self = this->shared_from_this(), aLast](
                        const error_code& aError, std::size_t /*aBytes*/) {
                        self->response = {};
                        if (aError) {
                          self->Close();
                        } else if (aLast) {
                          self->StartLingeringClose();
                        } else {
                          self->WaitForRequest();
                        }
                      });
  }

  auto StartLingeringClose() -> void
  {
    if (this->server.expired()) {
      this->Close();
      return;
    }
    this->SetPhase(ConnectionPhase::Ending);
    this->lingering = true;
    auto ignored = error_code{};
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->StartTimer(kLingerDuration);
    this->DiscardInput();
  }

  auto DiscardInput() -> void
  {
    this->discardBuffer.resize(kLingerBufferBytes);
    this->socket.async_read_some(
      asio::buffer(this->discardBuffer),
      [self = this->shared_from_this()](const error_code& aError,
                                        std::size_t /*aBytes*/) {
        if (aError || self->closed) {
          self->Close();
        } else {
          self->DiscardInput();
        }
      });
  }

  auto StartTimer(Millis aTimeout) -> void
  {
    const auto owner = this->server.lock();
    this->timer = owner->loop.After(aTimeout, [self = this->weak_from_this()] {
      if (const auto session = self.lock()) {
        session->OnTimeout();
      }
    });
  }

  auto OnTimeout() -> void
  {
    const auto owner = this->server.lock();
    if (owner && !this->idle && !this->lingering) {
      ++owner->counts.timedOut;
    }
    this->Close();
  }

  auto Close() -> void
  {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->timer.reset();
    auto ignored = error_code{};
    this->socket.close(ignored);
    if (const auto owner = this->server.lock()) {
      owner->limiter.Remove(*this);
      owner->sessions.erase(this->shared_from_this());
    }
  }

  tcp::socket socket;
  std::weak_ptr<HttpServer> server;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::string discardBuffer;
  TimerHandle timer;
  Time arrivedAt{};
  // Size of the fields of the request that is being received.
  std::size_t fieldBytes = 0;
  bool idle = false;
  // A read into the parser is pending.
  bool reading = false;
  // Chosen to end; a request that is being received gets 503.
  bool shed = false;
  bool lingering = false;
  bool headerDone = false;
  bool keepAlive = true;
  bool closed = false;
};

class HttpServer::Exchange : public HttpExchange
{
public:
  Exchange(HttpRequest aRequest,
           std::shared_ptr<Session> aSession,
           std::weak_ptr<HttpServer> aServer)
    : request(std::move(aRequest))
    , session(std::move(aSession))
    , server(std::move(aServer))
    , arrivedAt(this->session->ArrivedAt())
  {
  }

  Exchange(const Exchange&) = delete;
  auto operator=(const Exchange&) -> Exchange& = delete;

  ~Exchange() override
  {
    constexpr int kInternalError = 500;
    this->Send(kInternalError, R"({"error":"not answered"})", {});
  }

  auto Request() const -> const HttpRequest& override { return this->request; }
  auto ArrivedAt() const -> Time override { return this->arrivedAt; }

  auto Respond(int aStatus, std::string aBody, HttpFields aFields)
    -> void override
  {
    this->Send(aStatus, std::move(aBody), aFields);
  }

  auto IsClosed() const -> bool override
  {
    return !this->session || this->session->IsClosed();
  }

private:
  auto Send(int aStatus, std::string aBody, const HttpFields& aFields) -> void
  {
    const auto openSession = std::exchange(this->session, nullptr);
    if (!openSession) {
      return;
    }
    if (const auto owner = this->server.lock()) {
      --owner->pendingRequests;
    }
    openSession->Send(aStatus, std::move(aBody), aFields);
  }

  HttpRequest request;
  std::shared_ptr<Session> session;
  std::weak_ptr<HttpServer> server;
  Time arrivedAt;
};

auto
HttpServer::Session::OnRequest() -> void
{
  const auto owner = this->server.lock();
  if (!owner) {
    this->Close();
    return;
  }
  this->timer.reset();
  this->SetPhase(ConnectionPhase::Processing);
  this->fieldBytes = 0;
  auto& message = this->parser->get();
  this->keepAlive = message.keep_alive();
  auto request = HttpRequest{};
  request.method = std::string{ message.method_string() };
  request.target = std::string{ message.target() };
  for (const auto& field : message) {
    request.fields.emplace_back(std::string{ field.name_string() },
                                std::string{ field.value() });
  }
  request.body = std::move(message.body());
  this->parser.reset();
  ++owner->pendingRequests;
  owner->handler(std::make_shared<Exchange>(
    std::move(request), this->shared_from_this(), this->server));
}

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerLimits aLimits,
                       Handler aHandler)
  : loop(aLoop)
  , limits(aLimits)
  , handler(std::move(aHandler))
  , acceptor(aLoop.Context())
{
}

HttpServer::~HttpServer() = default;

auto
HttpServer::Listen(const tcp::endpoint& aEndpoint, std::string& aReason) -> bool
{
  auto error = error_code{};
  this->acceptor.open(tcp::v4(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address{ true }, error);
  }
  if (!error) {
    this->acceptor.bind(aEndpoint, error);
  }
  if (!error) {
    this->acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    aReason = error.message();
    return false;
  }
  this->Accept();
  return true;
}

auto
HttpServer::SetLimits(const HttpServerLimits& aLimits) -> void
{
  this->limits = aLimits;
}

auto
HttpServer::Drain() -> void
{
  this->draining = true;
}

auto
HttpServer::CloseIdle() -> void
{
  const auto openSessions = this->sessions;
  for (const auto& session : openSessions) {
    session->CloseIfIdle();
  }
}

auto
HttpServer::CloseAll() -> void
{
  const auto openSessions = this->sessions;
  for (const auto& session : openSessions) {
    session->Abort();
  }
}

auto
HttpServer::StopListening() -> void
{
  auto ignored = error_code{};
  this->acceptor.close(ignored);
}

auto
HttpServer::PendingRequests() const -> std::size_t
{
  return this->pendingRequests;
}

auto
HttpServer::ConnectionCount() const -> std::size_t
{
  return this->sessions.size();
}

auto
HttpServer::Port() const -> std::uint16_t
{
  auto ignored = error_code{};
  return this->acceptor.local_endpoint(ignored).port();
}

auto
HttpServer::HeldBytes() const -> std::size_t
{
  return this->limiter.HeldBytes();
}

auto
HttpServer::Counts() const -> const ConnectionCounts&
{
  return this->counts;
}

auto
HttpServer::FreeConnection() -> bool
{
  auto* const chosen = this->limiter.ChooseForConnection(this->loop.Now());
  if (chosen == nullptr) {
    return false;
  }
  ++this->counts.shedForConnection;
  static_cast<Session*>(chosen)->Abort();
  return true;
}

auto
HttpServer::FreeMemory() -> void
{
  while (this->limiter.HeldBytes() > this->limits.maxBufferedBytes) {
    auto* const chosen = this->limiter.ChooseForMemory(this->loop.Now());
    if (chosen == nullptr) {
      return;
    }
    ++this->counts.shedForMemory;
    static_cast<Session*>(chosen)->Shed();
  }
}

auto
HttpServer::Accept() -> void
{
  this->acceptor.async_accept([self = this->weak_from_this()](
                                const error_code& aError, tcp::socket aSocket) {
    const auto server = self.lock();
    if (!server || !server->acceptor.is_open()) {
      return;
    }
    if (aError) {
      server->acceptRetryTimer = server->loop.After(kAcceptRetryDelay, [self] {
        if (const auto retryingServer = self.lock()) {
          retryingServer->Accept();
        }
      });
      return;
    }
    if (server->sessions.size() < server->limits.maxConnections ||
        server->FreeConnection()) {
      auto session = std::make_shared<Session>(std::move(aSocket), self);
      server->sessions.insert(session);
      server->limiter.Add(*session, server->loop.Now());
      session->Start();
    } else {
      ++server->counts.notAccepted;
    }
    server->Accept();
  });
}

} // namespace gooseberry
