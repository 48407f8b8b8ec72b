#ifndef GOOSEBERRY_ADMISSIONQUEUE_H
#define GOOSEBERRY_ADMISSIONQUEUE_H

// Queue of requests that wait at an instance for a slot at a backend server.
// Ordered by rank, then by fair queueing between callers, then by arrival.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "types.h"

namespace gooseberry {

struct QueuedRequest
{
  // Identifies the request; grows in order of arrival.
  std::uint64_t ticket = 0;
  // Rank of the caller's class; lower ranks are served first.
  int rank = 0;
  std::string caller;
  // From then on too little time is left for a response.
  Time latestSendTime;
};

class AdmissionQueue
{
public:
  explicit AdmissionQueue(std::size_t aCapacity);

  // Applies to requests that are added later.
  auto SetCapacity(std::size_t aCapacity) -> void;
  auto Size() const -> std::size_t;
  // Adds a request. If the queue is full and the new request sorts before the
  // last one, the last one is removed and aDisplaced set to its ticket. Returns
  // false, without adding the request, if the queue is full and the new request
  // would be the last.
  auto Enqueue(const QueuedRequest& aRequest,
               std::optional<std::uint64_t>& aDisplaced) -> bool;
  // Removes a request that is not served; ignored if it is not in the queue.
  auto Remove(std::uint64_t aTicket) -> void;
  // The ticket to be served next; nullopt if there is none. Passes over
  // requests whose latest send time has come, without removing them.
  auto Next(Time aNow) const -> std::optional<std::uint64_t>;
  // Removes a request that got a slot. The current round of fair queueing
  // advances to the request's round if that is later. At most one waiting
  // request of each caller belongs to a round.
  auto Dequeue(std::uint64_t aTicket) -> void;

private:
  // Position in the queue: rank, then round, then arrival.
  struct Position
  {
    int rank = 0;
    std::uint64_t round = 0;
    std::uint64_t ticket = 0;

    auto operator<=>(const Position&) const = default;
  };

  struct Entry
  {
    QueuedRequest request;
    Position position;
  };

  auto NextRoundOf(const QueuedRequest& aRequest) -> std::uint64_t;

  std::size_t capacity;
  std::set<Position> order;
  std::map<std::uint64_t, Entry> entries;
  // The round of each caller's latest request; kept until the queue is empty.
  std::map<std::string, std::uint64_t> lastRounds;
  std::uint64_t currentRound = 0;
};

} // namespace gooseberry

#endif
