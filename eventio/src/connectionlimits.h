#ifndef GOOSEBERRY_CONNECTIONLIMITS_H
#define GOOSEBERRY_CONNECTIONLIMITS_H

// Decides which connections of a server end when all of them together use up
// its connections or its memory. Free of I/O.

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

#include "types.h"

namespace gooseberry {

// The number of bytes that all connections of a server may hold together: an
// eighth of the memory, but never less than a few requests of the largest size.
auto
BufferedBytesFor(std::int64_t aMemoryMb, std::size_t aMaxRequestBytes)
  -> std::size_t;

enum class ConnectionPhase
{
  New,        // has not sent a complete request yet
  Idle,       // answered at least once, and waits for the next request
  Receiving,  // the same, within a request
  Processing, // a handler has the request
  Sending,    // a response is being written
  Ending,     // no longer in use; only its end is awaited
  ConnectionPhase_NB
};

// Counts of connections that were ended or not accepted.
struct ConnectionCounts
{
  // Refused with 503, or closed while they did not read a response, because all
  // connections together held too many bytes.
  std::uint64_t shedForMemory = 0;
  // Closed for a new connection, since there were too many.
  std::uint64_t shedForConnection = 0;
  // Not accepted, since there were too many and none could be closed.
  std::uint64_t notAccepted = 0;
  // A request larger than the limits, or malformed.
  std::uint64_t badRequests = 0;
  // Closed because a header, a body or a response took too long.
  std::uint64_t timedOut = 0;

  auto operator==(const ConnectionCounts&) const -> bool = default;
};

// A connection whose phase and buffers a ConnectionLimiter knows.
class LimitedConnection
{
public:
  virtual ~LimitedConnection() = default;

private:
  friend class ConnectionLimiter;

  struct Entry
  {
    LimitedConnection* connection = nullptr;
    ConnectionPhase phase = ConnectionPhase::New;
    // When the phase began; for New, when the connection was accepted.
    Time since{};
    std::size_t heldBytes = 0;
  };

  std::list<Entry>::iterator entry{};
};

class ConnectionLimiter
{
public:
  auto Add(LimitedConnection& aConnection, Time aNow) -> void;
  auto Remove(const LimitedConnection& aConnection) -> void;
  // A connection stays New until it reaches Processing or a later phase.
  auto SetPhase(LimitedConnection& aConnection,
                ConnectionPhase aPhase,
                Time aNow) -> void;
  auto SetHeldBytes(LimitedConnection& aConnection, std::size_t aBytes) -> void;
  auto HeldBytes() const -> std::size_t;

  // The connection to refuse or close in order to free memory: the one with the
  // largest product of held bytes and time without progress. Requests that a
  // handler has are left alone, since they may have run. Null if there is none.
  auto ChooseForMemory(Time aNow) const -> LimitedConnection*;
  // The connection to close for a new one: the oldest that has not sent any
  // complete request, else the one that has been idle longest, else the one
  // that has spent the longest on a request, else one that has not read its
  // response for a second. Null if there is none.
  auto ChooseForConnection(Time aNow) const -> LimitedConnection*;

private:
  using Entry = LimitedConnection::Entry;

  auto ListOf(ConnectionPhase aPhase) -> std::list<Entry>&;
  auto ListOf(ConnectionPhase aPhase) const -> const std::list<Entry>&;

  // By phase; in each, the one that entered it first is in front.
  std::array<std::list<Entry>,
             static_cast<std::size_t>(ConnectionPhase::ConnectionPhase_NB)>
    entries;
  std::size_t heldBytes = 0;
};

} // namespace gooseberry

#endif
