#ifndef GOOSEBERRY_ADMISSION_H
#define GOOSEBERRY_ADMISSION_H

// The line of requests that wait at an entry for a place at a backend server:
// served by rank, then fairly between callers, then in order of arrival.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "types.h"

namespace gooseberry {

struct Waiter
{
  std::uint64_t ticket = 0;
  int rank = 0;
  std::string caller;
  // Not worth serving any more from then on.
  Time latest;
};

class WaitingLine
{
public:
  explicit WaitingLine(std::size_t aMost);

  auto SetMost(std::size_t aMost) -> void;
  auto Size() const -> std::size_t;
  // False if the line is full and nobody of a later rank can make room.
  // aDisplaced then names the waiter that lost its place, if any.
  auto Join(const Waiter& aWaiter, std::optional<std::uint64_t>& aDisplaced)
    -> bool;
  auto Leave(std::uint64_t aTicket) -> void;
  // The ticket to be served next, passing over waiters that are too late.
  auto First(Time aNow) const -> std::optional<std::uint64_t>;
  // The ticket got its place; it leaves the line.
  auto Serve(std::uint64_t aTicket) -> void;

private:
  // Rank, then the caller's turn, then arrival.
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

  auto TurnOf(const Waiter& aWaiter) -> std::uint64_t;

  std::size_t most;
  std::set<Place> order;
  std::map<std::uint64_t, Entry> entries;
  // The turn up to which each caller with waiters has places.
  std::map<std::string, std::uint64_t> lastTurn;
  std::uint64_t currentTurn = 0;
};

} // namespace gooseberry

#endif
