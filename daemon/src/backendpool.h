#ifndef GOOSEBERRY_BACKENDPOOL_H
#define GOOSEBERRY_BACKENDPOOL_H

// Connections to one backend server. A connection that stayed idle for long
// may have gone silent, so it is closed instead of being used again.

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
  // When it last carried a whole answer; nothing for a new connection.
  std::optional<Time> provedAt;
  Time openedAt{};
};

// Which connections a request may use.
enum class ConnectionChoice
{
  Any,    // new or idle
  Proved, // new, or one that carried a whole answer a moment ago
  New
};

class BackendPool
{
public:
  BackendPool(HostPort aAddress, const Clock& aClock);

  // An idle connection of the given kind, else a new one.
  auto Borrow(ConnectionChoice aChoice) -> std::unique_ptr<BackendConnection>;
  // Takes back a connection that carried a whole answer.
  auto Return(std::unique_ptr<BackendConnection> aConnection) -> void;
  // A connection went silent: those that proved themselves no later than it
  // did are closed too.
  auto Suspect(Time aProvedAt) -> void;
  // Closes what was idle for too long.
  auto CloseIdle() -> void;

private:
  const HostPort address;
  const Clock& clock;
  std::mutex mutex;
  std::vector<std::unique_ptr<BackendConnection>> idle;
};

} // namespace gooseberry

#endif
