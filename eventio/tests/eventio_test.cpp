// Tests the event-driven HTTP client and server against each other over
// loopback, and the client against peers that violate the protocol.

#include <array>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "hostport.h"
#include "httpclient.h"
#include "httpserver.h"

using namespace gooseberry;
using boost::asio::ip::tcp;

namespace {

constexpr int kOk = 200;

auto
LoopbackEndpoint(std::uint16_t aPort) -> tcp::endpoint
{
  return *ParseEndpoint("127.0.0.1:" + std::to_string(aPort));
}

// A server and a client that share one event loop.
struct ClientServerPair
{
  explicit ClientServerPair(HttpServer::Handler aHandler,
                            HttpServerLimits aLimits = {})
    : server(std::make_shared<HttpServer>(this->loop, aLimits, aHandler))
  {
    auto reason = std::string{};
    cr_assert(
      this->server->Listen(LoopbackEndpoint(0), reason), "%s", reason.c_str());
    this->client =
      std::make_shared<HttpClient>(this->loop,
                                   LoopbackEndpoint(this->server->Port()),
                                   HttpClientOptions{ 2 });
  }

  auto Call(HttpRequest aRequest, Millis aTimeout = Millis{ 2000 }) -> HttpReply
  {
    auto reply = std::optional<HttpReply>{};
    this->client->Call(std::move(aRequest), aTimeout, [&](HttpReply aReply) {
      reply = std::move(aReply);
      this->loop.Stop();
    });
    this->Run();
    cr_assert(reply.has_value());
    return *reply;
  }

  auto Run() -> void
  {
    this->loop.Context().restart();
    this->loop.Run();
  }

  EventLoop loop;
  std::shared_ptr<HttpServer> server;
  std::shared_ptr<HttpClient> client;
};

// Accepts one TCP connection on its own thread and runs a function on it.
class RawPeer
{
public:
  explicit RawPeer(std::function<void(tcp::socket&)> aServe)
    : acceptor(this->context, LoopbackEndpoint(0))
    , thread([this, serve = std::move(aServe)] {
      auto socket = tcp::socket{ this->context };
      this->acceptor.accept(socket);
      serve(socket);
    })
  {
  }
  RawPeer(const RawPeer&) = delete;
  auto operator=(const RawPeer&) -> RawPeer& = delete;
  ~RawPeer() { this->thread.join(); }

  auto Port() const -> std::uint16_t
  {
    return this->acceptor.local_endpoint().port();
  }

private:
  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::thread thread;
};

auto
ReadHeader(tcp::socket& aSocket) -> void
{
  auto buffer = boost::asio::streambuf{};
  boost::asio::read_until(aSocket, buffer, "\r\n\r\n");
}

auto
CallOnce(EventLoop& aLoop, std::uint16_t aPort, Millis aTimeout) -> HttpReply
{
  auto client = std::make_shared<HttpClient>(
    aLoop, LoopbackEndpoint(aPort), HttpClientOptions{ 1 });
  auto reply = HttpReply{};
  client->Call({ "GET", "/", {}, "" }, aTimeout, [&](HttpReply aReply) {
    reply = std::move(aReply);
    aLoop.Stop();
  });
  aLoop.Run();
  return reply;
}

} // namespace

Test(endpoints, malformed_endpoints_are_rejected)
{
  cr_expect(ParseEndpoint("10.1.0.13:8161").has_value());
  for (const auto* const malformed : { "",
                                       ":80",
                                       "10.1.0.13",
                                       "10.1.0.13:",
                                       "10.1.0.13:x",
                                       "host:80",
                                       "10.1.0.13:80x",
                                       "10.1.0.13:70000" }) {
    cr_expect_not(ParseEndpoint(malformed).has_value(), "%s", malformed);
  }
}

Test(http, request_and_response_round_trip)
{
  auto pair =
    ClientServerPair{ [](const std::shared_ptr<HttpExchange>& aExchange) {
      const auto& request = aExchange->Request();
      aExchange->Respond(kOk,
                         request.method + " " + request.target + " " +
                           request.body + " " +
                           FindField(request.fields, "x-name"),
                         { { "X-Back", "yes" } });
    } };
  const auto reply =
    pair.Call({ "POST", "/a?b=1", { { "X-Name", "n" } }, "body" });
  cr_expect_eq(reply.status, kOk);
  cr_expect_str_eq(reply.body.c_str(), "POST /a?b=1 body n");
  cr_expect(FindField(reply.fields, "x-back") == "yes");
}

Test(http, connection_is_reused_across_requests)
{
  auto pair =
    ClientServerPair{ [](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->Respond(kOk, "{}", {});
    } };
  for (auto call = 0; call < 5; ++call) {
    cr_expect_eq(pair.Call({ "GET", "/", {}, "" }).status, kOk);
  }
  cr_expect_eq(pair.client->OpenedConnections(), 1);
}

Test(http, call_without_response_in_time_has_unknown_outcome)
{
  auto unansweredExchanges = std::vector<std::shared_ptr<HttpExchange>>{};
  auto pair = ClientServerPair{ [&](std::shared_ptr<HttpExchange> aExchange) {
    if (aExchange->Request().target == "/unanswered") {
      unansweredExchanges.push_back(std::move(aExchange));
    } else {
      aExchange->Respond(kOk, "", {});
    }
  } };
  // Opens the connection, so that the next call is sent at once.
  cr_assert_eq(pair.Call({ "GET", "/", {}, "" }).status, kOk);
  const auto reply = pair.Call({ "GET", "/unanswered", {}, "" }, Millis{ 50 });
  cr_expect_eq(reply.outcome, HttpOutcome::Unknown);
  // When this is answered, the server has read what was sent before.
  cr_expect_eq(pair.Call({ "GET", "/", {}, "" }).status, kOk);
  cr_expect_eq(unansweredExchanges.size(), 1);
  // An exchange uses the loop, which ends with the pair.
  unansweredExchanges.clear();
}

Test(http, call_on_a_connection_opens_none)
{
  auto served = 0;
  auto pair = ClientServerPair{ [&](std::shared_ptr<HttpExchange> aExchange) {
    ++served;
    aExchange->Respond(kOk, "", {});
  } };
  const auto callOn = [&](std::uint64_t aConnection) {
    auto reply = HttpReply{};
    pair.client->CallOnConnection(aConnection,
                                  { "GET", "/", {}, "" },
                                  Millis{ 2000 },
                                  [&](HttpReply aReply) {
                                    reply = std::move(aReply);
                                    pair.loop.Stop();
                                  });
    pair.Run();
    return reply;
  };
  cr_expect_eq(callOn(1).outcome, HttpOutcome::NotSent);
  cr_expect_eq(pair.client->OpenedConnections(), 0);
  const auto first = pair.Call({ "GET", "/", {}, "" });
  cr_expect_eq(first.status, kOk);
  const auto second = callOn(first.connection);
  cr_expect_eq(second.status, kOk);
  cr_expect_eq(second.connection, first.connection);
  cr_expect_eq(callOn(first.connection + 1).outcome, HttpOutcome::NotSent);
  cr_expect_eq(pair.client->OpenedConnections(), 1);
  cr_expect_eq(served, 2);
}

Test(http, close_all_ends_idle_and_pending_connections)
{
  auto unanswered = std::shared_ptr<HttpExchange>{};
  HttpServer* server = nullptr;
  auto pair = ClientServerPair{ [&](std::shared_ptr<HttpExchange> aExchange) {
    if (aExchange->Request().target == "/unanswered") {
      unanswered = std::move(aExchange);
      server->CloseAll();
    } else {
      aExchange->Respond(kOk, "", {});
    }
  } };
  server = pair.server.get();
  cr_assert_eq(pair.Call({ "GET", "/", {}, "" }).status, kOk);
  cr_expect_eq(pair.Call({ "GET", "/unanswered", {}, "" }).outcome,
               HttpOutcome::Unknown);
  cr_expect_eq(pair.server->ConnectionCount(), 0);
  unanswered.reset();
}

Test(http, refused_connection_reports_not_sent)
{
  auto loop = EventLoop{};
  auto port = std::uint16_t{ 0 };
  {
    auto context = boost::asio::io_context{};
    port =
      tcp::acceptor{ context, LoopbackEndpoint(0) }.local_endpoint().port();
  }
  cr_expect_eq(CallOnce(loop, port, Millis{ 1000 }).outcome,
               HttpOutcome::NotSent);
}

Test(http, connection_closed_before_response_has_unknown_outcome)
{
  auto loop = EventLoop{};
  auto peer = RawPeer{ [](tcp::socket& aSocket) {
    ReadHeader(aSocket);
    aSocket.close();
  } };
  cr_expect_eq(CallOnce(loop, peer.Port(), Millis{ 1000 }).outcome,
               HttpOutcome::Unknown);
}

Test(http, truncated_response_has_unknown_outcome)
{
  auto loop = EventLoop{};
  auto peer = RawPeer{ [](tcp::socket& aSocket) {
    ReadHeader(aSocket);
    boost::asio::write(
      aSocket,
      boost::asio::buffer(
        std::string{ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" }));
    aSocket.close();
  } };
  cr_expect_eq(CallOnce(loop, peer.Port(), Millis{ 1000 }).outcome,
               HttpOutcome::Unknown);
}

Test(http, malformed_response_has_unknown_outcome)
{
  auto loop = EventLoop{};
  auto peer = RawPeer{ [](tcp::socket& aSocket) {
    ReadHeader(aSocket);
    boost::asio::write(aSocket,
                       boost::asio::buffer(std::string{ "hello\r\n\r\n" }));
    aSocket.close();
  } };
  cr_expect_eq(CallOnce(loop, peer.Port(), Millis{ 1000 }).outcome,
               HttpOutcome::Unknown);
}

Test(http, size_limits_are_enforced)
{
  auto limits = HttpServerLimits{};
  limits.maxBodyBytes = 100;
  limits.maxHeaderBytes = 512;
  auto handled = 0;
  auto pair =
    ClientServerPair{ [&](const std::shared_ptr<HttpExchange>& aExchange) {
                       ++handled;
                       aExchange->Respond(kOk, "", {});
                     },
                      limits };
  constexpr int kTooLarge = 413;
  constexpr int kHeaderTooLarge = 431;
  cr_expect_eq(pair.Call({ "POST", "/", {}, std::string(200, 'x') }).status,
               kTooLarge);
  cr_expect_eq(
    pair.Call({ "GET", "/", { { "X-Long", std::string(1000, 'x') } }, "" })
      .status,
    kHeaderTooLarge);
  cr_expect_eq(handled, 0);
  cr_expect_eq(pair.Call({ "GET", "/", {}, "" }).status, kOk);
}

// Guards against: the process ends because a limit that was lowered is below
// what a connection has buffered of its next request.
Test(http, limit_may_be_lowered_below_what_is_buffered)
{
  auto pending = std::shared_ptr<HttpExchange>{};
  auto loop = EventLoop{};
  auto server = std::make_shared<HttpServer>(
    loop, HttpServerLimits{}, [&](std::shared_ptr<HttpExchange> aExchange) {
      pending = std::move(aExchange);
      loop.Stop();
    });
  auto reason = std::string{};
  cr_assert(server->Listen(LoopbackEndpoint(0), reason), "%s", reason.c_str());
  auto socket = tcp::socket{ loop.Context() };
  socket.connect(LoopbackEndpoint(server->Port()));
  const auto first =
    "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(3600, 'x') +
    "\r\n\r\n";
  // The extension of the chunk does not end.
  const auto second = std::string{ "POST / HTTP/1.1\r\nHost: a\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n1;" } +
                      std::string(4000, 'x');
  boost::asio::write(socket, boost::asio::buffer(first + second));
  loop.Run();
  cr_assert_not_null(pending.get());
  auto lowered = HttpServerLimits{};
  lowered.maxHeaderBytes = 512;
  server->SetLimits(lowered);
  pending->Respond(kOk, "", {});
  pending.reset();
  auto response = std::string{};
  boost::asio::async_read(socket,
                          boost::asio::dynamic_buffer(response),
                          [&](const boost::system::error_code& /*aError*/,
                              std::size_t /*aBytes*/) { loop.Stop(); });
  loop.Context().restart();
  loop.Run();
  cr_expect(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
  cr_expect_neq(response.find("HTTP/1.1 431 "), std::string::npos);
  cr_expect_eq(server->Counts().badRequests, 1);
}

Test(http, draining_server_answers_with_connection_close)
{
  auto pair =
    ClientServerPair{ [](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->Respond(kOk, "", {});
    } };
  pair.Call({ "GET", "/", {}, "" });
  pair.server->Drain();
  const auto reply = pair.Call({ "GET", "/", {}, "" });
  cr_expect_eq(reply.status, kOk);
  cr_expect(FindField(reply.fields, "Connection") == "close");
  cr_expect_eq(pair.server->PendingRequests(), 0);
}

// Guards against: a connection uses its server, which is gone, after it has
// written its last response.
Test(http, server_may_go_while_it_writes_a_last_response)
{
  auto loop = EventLoop{};
  auto server = std::shared_ptr<HttpServer>{};
  server = std::make_shared<HttpServer>(
    loop,
    HttpServerLimits{},
    [&](const std::shared_ptr<HttpExchange>& aExchange) {
      server->Drain();
      // Before the completion of the write.
      loop.Post([&] { server.reset(); });
      aExchange->Respond(kOk, "last", {});
    });
  auto reason = std::string{};
  cr_assert(server->Listen(LoopbackEndpoint(0), reason), "%s", reason.c_str());
  const auto reply = CallOnce(loop, server->Port(), Millis{ 2000 });
  cr_expect_eq(reply.status, kOk);
  cr_expect_null(server.get());
  // The end of the connection.
  auto stopTimer = loop.After(Millis{ 50 }, [&] { loop.Stop(); });
  loop.Context().restart();
  loop.Run();
}

Test(http, unanswered_exchange_gets_status_500)
{
  auto pair =
    ClientServerPair{ [](const std::shared_ptr<HttpExchange>& /*aExchange*/) {
    } };
  constexpr int kInternalError = 500;
  cr_expect_eq(pair.Call({ "GET", "/", {}, "" }).status, kInternalError);
}

namespace {

constexpr Millis kPause{ 100 };
// Far from the pause, and less than all pauses together take.
constexpr Millis kTimeout{ 1500 };
constexpr std::size_t kParts = 25;
constexpr std::size_t kPartBytes = 1000;

// Responds to one request with kParts parts, a pause before each; with fewer,
// the rest never comes.
auto
RespondSlowly(tcp::socket& aSocket, std::size_t aParts) -> void
{
  ReadHeader(aSocket);
  auto ignored = boost::system::error_code{};
  boost::asio::write(aSocket,
                     boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                         std::to_string(kParts * kPartBytes) +
                                         "\r\n\r\n"),
                     ignored);
  for (auto part = std::size_t{ 0 }; part < aParts; ++part) {
    std::this_thread::sleep_for(kPause);
    boost::asio::write(
      aSocket, boost::asio::buffer(std::string(kPartBytes, 'a')), ignored);
  }
}

// Replies to as many calls at once over one connection.
auto
CallSlowPeer(EventLoop& aLoop,
             std::uint16_t aPort,
             bool aTimeoutBoundsSilence,
             std::size_t aCalls) -> std::vector<HttpReply>
{
  auto options = HttpClientOptions{ 1 };
  options.timeoutBoundsSilence = aTimeoutBoundsSilence;
  auto client =
    std::make_shared<HttpClient>(aLoop, LoopbackEndpoint(aPort), options);
  auto replies = std::vector<HttpReply>{};
  for (auto call = std::size_t{ 0 }; call < aCalls; ++call) {
    client->Call({ "GET", "/", {}, "" }, kTimeout, [&](HttpReply aReply) {
      replies.push_back(std::move(aReply));
      if (replies.size() == aCalls) {
        aLoop.Stop();
      }
    });
  }
  aLoop.Run();
  return replies;
}

} // namespace

// Guards against: a response that a slow link needs longer for than the timeout
// is given up while it arrives, and the same call is made again for ever; also
// for a call that waits behind it for the connection.
Test(http, timeout_may_bound_silence_instead_of_the_whole_response)
{
  for (const auto calls : { std::size_t{ 1 }, std::size_t{ 2 } }) {
    auto loop = EventLoop{};
    auto peer = RawPeer{ [&](tcp::socket& aSocket) {
      for (auto call = std::size_t{ 0 }; call < calls; ++call) {
        RespondSlowly(aSocket, kParts);
      }
    } };
    const auto replies = CallSlowPeer(loop, peer.Port(), true, calls);
    cr_assert_eq(replies.size(), calls);
    for (const auto& reply : replies) {
      cr_expect(reply.outcome == HttpOutcome::Answered);
      cr_expect_eq(reply.body.size(), kParts * kPartBytes);
    }
  }
  auto loop = EventLoop{};
  auto peer =
    RawPeer{ [](tcp::socket& aSocket) { RespondSlowly(aSocket, kParts); } };
  const auto replies = CallSlowPeer(loop, peer.Port(), false, 1);
  cr_expect(replies.front().outcome == HttpOutcome::Unknown);
}

// Guards against: a response whose rest never comes is waited for for ever.
Test(http, silence_in_a_response_ends_the_call)
{
  for (const auto parts : { std::size_t{ 0 }, std::size_t{ 7 } }) {
    auto loop = EventLoop{};
    auto peer = RawPeer{ [parts](tcp::socket& aSocket) {
      RespondSlowly(aSocket, parts);
      // Until the client closes the connection.
      auto ignored = boost::system::error_code{};
      auto rest = std::array<char, 1>{};
      boost::asio::read(aSocket, boost::asio::buffer(rest), ignored);
    } };
    const auto begin = loop.Now();
    const auto replies = CallSlowPeer(loop, peer.Port(), true, 1);
    cr_expect(replies.front().outcome == HttpOutcome::Unknown);
    const auto took = ToMillis(loop.Now() - begin);
    const auto expected = kPause * parts + kTimeout;
    constexpr Millis kTolerance{ 2000 };
    cr_expect_geq(took.count(), expected.count() - 10);
    cr_expect_leq(took.count(), (expected + kTolerance).count());
  }
}

// A page of the store's feed, read by an owner whose other work fills each turn
// of the loop: the page has to arrive before its call times out. The server
// shares the loop, so no turn is spent waiting for another thread.
Test(http, large_response_takes_few_turns_of_a_busy_loop)
{
  constexpr std::size_t kBytes = std::size_t{ 256 } * 1024;
  auto pair =
    ClientServerPair{ [](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->Respond(kOk, std::string(kBytes, 'a'), {});
    } };
  auto turns = 0;
  const std::function<void()> work = [&] {
    ++turns;
    std::this_thread::sleep_for(std::chrono::milliseconds{ 1 });
    pair.loop.Post(work);
  };
  pair.loop.Post(work);
  const auto reply = pair.Call({ "GET", "/", {}, "" }, Millis{ 5000 });
  cr_expect_eq(reply.body.size(), kBytes);
  cr_expect_lt(turns, 100);
}

// The release expires before the timer, however late the loop is. With the
// longer delay both have expired when the loop starts, so the completion of the
// timer is already queued when the timer is released.
Test(loop, released_timer_does_not_fire)
{
  for (const auto delay : { Millis{ 0 }, Millis{ 10 } }) {
    auto loop = EventLoop{};
    auto fired = 0;
    auto timer = TimerHandle{};
    auto releaseTimer = loop.After(Millis{ 1 }, [&] { timer.reset(); });
    timer = loop.After(Millis{ 5 }, [&] { ++fired; });
    auto stopTimer = loop.After(Millis{ 20 }, [&] { loop.Stop(); });
    std::this_thread::sleep_for(delay);
    loop.Run();
    cr_expect_eq(fired, 0);
    cr_expect_null(timer.get());
  }
}
