// TCP proxy that injects faults between two processes under test.

#include <atomic>
#include <cstring>
#include <memory>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpplatform.h"
#include "standin.h"

namespace gooseberry::standin {

namespace {

constexpr std::size_t kBufferBytes = 65536;

// Faults in force. Those marked per connection are fixed when it opens.
struct Faults
{
  std::atomic<std::int64_t> delayMs = 0;
  std::atomic<bool> refuse = false;
  std::atomic<bool> dropUp = false;
  std::atomic<bool> dropDown = false;
  // Answers are cut after so many bytes; 0 means never.
  std::atomic<std::int64_t> cutAfter = 0;
  // Connections opened before this count went silent for good.
  std::atomic<std::uint64_t> silentBelow = 0;
  std::atomic<std::uint64_t> resetBelow = 0;
  std::atomic<std::uint64_t> opened = 0;
};

struct Link
{
  Link(int aCaller, int aServer, std::uint64_t aNumber)
    : caller(aCaller)
    , server(aServer)
    , number(aNumber)
  {
  }
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;
  ~Link()
  {
    ::close(this->caller);
    ::close(this->server);
  }

  const int caller;
  const int server;
  const std::uint64_t number;
};

auto
SendAll(int aSocket, const char* aData, std::size_t aSize) -> bool
{
  while (aSize > 0) {
    const auto sent = ::send(aSocket, aData, aSize, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aData += sent;
    aSize -= static_cast<std::size_t>(sent);
  }
  return true;
}

auto
Reset(const Link& aLink) -> void
{
  const auto hard = linger{ 1, 0 };
  ::setsockopt(aLink.caller, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::setsockopt(aLink.server, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::shutdown(aLink.caller, SHUT_RDWR);
  ::shutdown(aLink.server, SHUT_RDWR);
}

// Forwards one direction until either end closes.
auto
Pump(const std::shared_ptr<Link>& aLink, bool aUp, Faults& aFaults) -> void
{
  const auto from = aUp ? aLink->caller : aLink->server;
  const auto into = aUp ? aLink->server : aLink->caller;
  auto buffer = std::vector<char>(kBufferBytes);
  auto passed = std::int64_t{ 0 };
  for (;;) {
    const auto got = ::recv(from, buffer.data(), buffer.size(), 0);
    if (aLink->number < aFaults.silentBelow) {
      // Neither data nor closing passes any more.
      std::this_thread::sleep_for(std::chrono::hours{ 1 });
      return;
    }
    if (aLink->number < aFaults.resetBelow) {
      Reset(*aLink);
      return;
    }
    if (got <= 0) {
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ aFaults.delayMs });
    if (aUp ? aFaults.dropUp : aFaults.dropDown) {
      continue;
    }
    auto size = static_cast<std::int64_t>(got);
    const auto cut = aUp ? 0 : aFaults.cutAfter.load();
    if (cut > 0 && passed + size > cut) {
      SendAll(
        into,
        buffer.data(),
        static_cast<std::size_t>(std::max<std::int64_t>(0, cut - passed)));
      break;
    }
    passed += size;
    if (!SendAll(into, buffer.data(), static_cast<std::size_t>(size))) {
      break;
    }
  }
  ::shutdown(into, aUp ? SHUT_WR : SHUT_RDWR);
}

auto
Dial(const HostPort& aTarget) -> int
{
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aTarget.port));
  ::inet_pton(AF_INET, aTarget.host.c_str(), &address.sin_addr);
  if (::connect(
        socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  const auto on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

auto
Listen(int aPort) -> int
{
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const auto on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0 ||
      ::listen(socket, SOMAXCONN) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

auto
AcceptAll(int aListener, const HostPort& aTarget, Faults& aFaults) -> void
{
  for (;;) {
    const auto caller = ::accept(aListener, nullptr, nullptr);
    if (caller < 0) {
      continue;
    }
    const auto server = aFaults.refuse ? -1 : Dial(aTarget);
    if (server < 0) {
      ::close(caller);
      continue;
    }
    const auto on = 1;
    ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto link = std::make_shared<Link>(caller, server, aFaults.opened++);
    std::thread([link, &aFaults] { Pump(link, true, aFaults); }).detach();
    std::thread([link, &aFaults] { Pump(link, false, aFaults); }).detach();
  }
}

auto
SetFaults(const nlohmann::json& aBody, Faults& aFaults) -> void
{
  aFaults.delayMs = aBody.value("delay_ms", aFaults.delayMs.load());
  aFaults.refuse = aBody.value("refuse", aFaults.refuse.load());
  aFaults.dropUp = aBody.value("drop_up", aFaults.dropUp.load());
  aFaults.dropDown = aBody.value("drop_down", aFaults.dropDown.load());
  aFaults.cutAfter = aBody.value("cut_after", aFaults.cutAfter.load());
  if (aBody.value("silence_open", false)) {
    aFaults.silentBelow = aFaults.opened.load();
  }
  if (aBody.value("reset_open", false)) {
    aFaults.resetBelow = aFaults.opened.load();
  }
}

} // namespace

auto
RunProxy(const Options& aOptions) -> int
{
  const auto target = ParseHostPort(Text(aOptions, "target", ""));
  const auto listener =
    Listen(static_cast<int>(Integer(aOptions, "listen", 0)));
  if (!target || listener < 0) {
    std::fputs("proxy needs --target host:port and a free --listen port\n",
               stderr);
    return 2;
  }
  auto faults = Faults{};
  std::thread([&] { AcceptAll(listener, *target, faults); }).detach();
  auto server = ConnectionServer{};
  server.Post("/fault",
              [&](const httplib::Request& aRequest, httplib::Response&) {
                SetFaults(nlohmann::json::parse(aRequest.body), faults);
              });
  server.Get("/figures",
             [&](const httplib::Request&, httplib::Response& aResponse) {
               aResponse.set_content(
                 nlohmann::json{ { "opened", faults.opened.load() } }.dump(),
                 "application/json");
             });
  return Serve(server, static_cast<int>(Integer(aOptions, "port", 0)));
}

} // namespace gooseberry::standin
