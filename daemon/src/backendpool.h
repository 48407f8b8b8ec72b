#ifndef GOOSEBERRY_BACKENDPOOL_H
#define GOOSEBERRY_BACKENDPOOL_H

// Pool of connections to one backend server. A connection that was idle for too
// long is closed instead of reused, because its peer may no longer respond.

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include <httplib.h>

#include "httpplatform.h"
#include "types.h"

namespace gooseberry {

struct BackendConnection
{
  std::unique_ptr<httplib::Client> client;
  // When the last complete response arrived on it; empty for a new connection.
  std::optional<Time> lastResponseAt;
  Time openedAt{};
};

// Which connections an attempt may use.
enum class ConnectionChoice
{
  Any,          // new, or any idle connection of the pool
  RecentlyUsed, // new, or one that received a complete response within 1 s
  New           // new only
};

class BackendPool
{
public:
  BackendPool(HostPort aAddress, const Clock& aClock);

  // An idle connection that aConnectionChoice permits, else a new one, which
  // connects when the first request is sent.
  auto Borrow(ConnectionChoice aConnectionChoice)
    -> std::unique_ptr<BackendConnection>;
  // Returns a connection to the pool after a complete response.
  auto Return(std::unique_ptr<BackendConnection> aConnection) -> void;
  // To be called when a connection whose last response arrived at
  // aLastResponseAt failed: closes the idle connections without a later
  // response, which may have failed with it.
  auto CloseNotUsedAfter(Time aLastResponseAt) -> void;
  // Closes the connections that were idle for too long.
  auto CloseIdle() -> void;

private:
  const HostPort address;
  const Clock& clock;
  std::mutex mutex;
  std::vector<std::unique_ptr<BackendConnection>> idleConnections;
};

} // namespace gooseberry

#endif
