#include "backendpool.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gooseberry {

namespace {

constexpr Millis kMaxIdleTime{ 10000 };
// A request that must not run twice only reuses a connection whose last
// response arrived within this time.
constexpr Millis kMaxIdleTimeNonIdempotent{ 1000 };
constexpr Millis kMaxConnectionAge{ 300000 };
constexpr Millis kConnectTimeout{ 1000 };

// Enables TCP keep-alive, so that the kernel detects a dead peer even while
// nothing is sent.
auto
SetSocketOptions(int aSocket) -> void
{
  constexpr int kEnable = 1;
  constexpr int kIdleSeconds = 2;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 3;
  constexpr unsigned kUserTimeoutMs = 5000;
  ::setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &kEnable, sizeof kEnable);
  ::setsockopt(
    aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof kIdleSeconds);
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_KEEPINTVL,
               &kIntervalSeconds,
               sizeof kIntervalSeconds);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUserTimeoutMs,
               sizeof kUserTimeoutMs);
}

} // namespace

BackendPool::BackendPool(HostPort aAddress, const Clock& aClock)
  : address(std::move(aAddress))
  , clock(aClock)
{
}

auto
BackendPool::Borrow(ConnectionChoice aConnectionChoice)
  -> std::unique_ptr<BackendConnection>
{
  const auto now = this->clock.Now();
  const auto maxIdle = aConnectionChoice == ConnectionChoice::Any
                         ? kMaxIdleTime
                         : kMaxIdleTimeNonIdempotent;
  if (aConnectionChoice != ConnectionChoice::New) {
    const auto lock = std::lock_guard{ this->mutex };
    while (!this->idleConnections.empty()) {
      auto connection = std::move(this->idleConnections.back());
      this->idleConnections.pop_back();
      const auto reusable = now - *connection->lastResponseAt <= maxIdle &&
                            now - connection->openedAt <= kMaxConnectionAge;
      if (reusable) {
        return connection;
      }
    }
  }
  auto newConnection = std::make_unique<BackendConnection>();
  newConnection->client =
    std::make_unique<httplib::Client>(this->address.host, this->address.port);
  newConnection->client->set_keep_alive(true);
  newConnection->client->set_tcp_nodelay(true);
  newConnection->client->set_decompress(false);
  newConnection->client->set_connection_timeout(kConnectTimeout);
  newConnection->client->set_socket_options(SetSocketOptions);
  newConnection->openedAt = now;
  return newConnection;
}

auto
BackendPool::Return(std::unique_ptr<BackendConnection> aConnection) -> void
{
  aConnection->lastResponseAt = this->clock.Now();
  const auto lock = std::lock_guard{ this->mutex };
  this->idleConnections.push_back(std::move(aConnection));
}

auto
BackendPool::CloseNotUsedAfter(Time aLastResponseAt) -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  std::erase_if(this->idleConnections, [&](const auto& aConnection) {
    return *aConnection->lastResponseAt <= aLastResponseAt;
  });
}

auto
BackendPool::CloseIdle() -> void
{
  const auto now = this->clock.Now();
  const auto lock = std::lock_guard{ this->mutex };
  std::erase_if(this->idleConnections, [&](const auto& aConnection) {
    return now - *aConnection->lastResponseAt > kMaxIdleTime;
  });
}

} // namespace gooseberry
