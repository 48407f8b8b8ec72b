#ifndef GOOSEBERRY_ADMISSION_H
#define GOOSEBERRY_ADMISSION_H

// Queue of requests that wait at an instance for a slot at a backend server.
// Ordered by rank, then by fair queueing between callers, then by arrival.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "types.h"

namespace gooseberry {

struct Waiter
{
  // Identifies the request; grows in order of arrival.
  std::uint64_t ticket = 0;
  // Rank of the caller's class; lower ranks are served first.
  int rank = 0;
  std::string caller;
  // From then on too little time is left for a response.
  Time latest;
};

class WaitingLine
{
public:
  explicit WaitingLine(std::size_t aCapacity);

  // Applies to requests that are added later.
  auto SetMost(std::size_t aCapacity) -> void;
  auto Size() const -> std::size_t;
  // Adds a request. If the queue is full, the last request is removed in favour
  // of one that sorts before it; aDisplaced is the ticket of the removed
  // request, if any. False if the queue is full and the new request would be
  // the last.
  auto Join(const Waiter& aRequest, std::optional<std::uint64_t>& aDisplaced)
    -> bool;
  // Removes a request that is not served; ignored if it is not in the queue.
  auto Leave(std::uint64_t aTicket) -> void;
  // The ticket to be served next; skips requests whose latest send time has
  // passed.
  auto First(Time aNow) const -> std::optional<std::uint64_t>;
  // Removes a request that got a slot and advances the round of fair queueing.
  auto Serve(std::uint64_t aTicket) -> void;

private:
  // Position in the queue: rank, then round, then arrival.
  struct Place
  {
    int rank = 0;
    std::uint64_t turn = 0;
    std::uint64_t ticket = 0;

    auto operator<=>(const Place&) const = default;
  };

  struct Entry
  {
    Waiter waiter;
    Place place;
  };

  auto TurnOf(const Waiter& aRequest) -> std::uint64_t;

  std::size_t most;
  std::set<Place> order;
  std::map<std::uint64_t, Entry> entries;
  // The last round in which each caller has a request.
  std::map<std::string, std::uint64_t> lastTurn;
  std::uint64_t currentTurn = 0;
};

} // namespace gooseberry

#endif
