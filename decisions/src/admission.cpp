#include "admission.h"

#include <algorithm>

namespace gooseberry {

WaitingLine::WaitingLine(std::size_t aMost)
  : most(aMost)
{
}

auto
WaitingLine::SetMost(std::size_t aMost) -> void
{
  this->most = aMost;
}

auto
WaitingLine::Size() const -> std::size_t
{
  return this->entries.size();
}

auto
WaitingLine::Join(const Waiter& aWaiter,
                  std::optional<std::uint64_t>& aDisplaced) -> bool
{
  aDisplaced.reset();
  const auto place =
    Place{ aWaiter.rank, this->TurnOf(aWaiter), aWaiter.ticket };
  if (this->entries.size() >= this->most) {
    if (this->order.empty() || *this->order.rbegin() < place) {
      return false;
    }
    aDisplaced = this->order.rbegin()->ticket;
    this->Leave(*aDisplaced);
  }
  this->order.insert(place);
  this->entries.insert_or_assign(aWaiter.ticket, Entry{ aWaiter, place });
  this->lastTurn[aWaiter.caller] = place.turn;
  return true;
}

auto
WaitingLine::Leave(std::uint64_t aTicket) -> void
{
  const auto found = this->entries.find(aTicket);
  if (found == this->entries.end()) {
    return;
  }
  this->order.erase(found->second.place);
  this->entries.erase(found);
  if (this->entries.empty()) {
    this->lastTurn.clear();
  }
}

auto
WaitingLine::First(Time aNow) const -> std::optional<std::uint64_t>
{
  for (const auto& place : this->order) {
    if (this->entries.at(place.ticket).waiter.latest > aNow) {
      return place.ticket;
    }
  }
  return std::nullopt;
}

auto
WaitingLine::Serve(std::uint64_t aTicket) -> void
{
  const auto found = this->entries.find(aTicket);
  if (found == this->entries.end()) {
    return;
  }
  this->currentTurn = std::max(this->currentTurn, found->second.place.turn);
  this->Leave(aTicket);
}

// Each caller's next request stands one turn after its last one, so that a
// caller with many requests waits behind a caller with few.
auto
WaitingLine::TurnOf(const Waiter& aWaiter) -> std::uint64_t
{
  const auto last = this->lastTurn.find(aWaiter.caller);
  const auto own = last == this->lastTurn.end() ? 0 : last->second + 1;
  return std::max(own, this->currentTurn);
}

} // namespace gooseberry
