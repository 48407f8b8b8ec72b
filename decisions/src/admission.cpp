#include "admission.h"

#include <algorithm>

namespace gooseberry {

WaitingLine::WaitingLine(std::size_t aCapacity)
  : most(aCapacity)
{
}

auto
WaitingLine::SetMost(std::size_t aCapacity) -> void
{
  this->most = aCapacity;
}

auto
WaitingLine::Size() const -> std::size_t
{
  return this->entries.size();
}

auto
WaitingLine::Join(const Waiter& aRequest,
                  std::optional<std::uint64_t>& aDisplaced) -> bool
{
  aDisplaced.reset();
  const auto position =
    Place{ aRequest.rank, this->TurnOf(aRequest), aRequest.ticket };
  if (this->entries.size() >= this->most) {
    if (this->order.empty() || *this->order.rbegin() < position) {
      return false;
    }
    aDisplaced = this->order.rbegin()->ticket;
    this->Leave(*aDisplaced);
  }
  this->order.insert(position);
  this->entries.insert_or_assign(aRequest.ticket, Entry{ aRequest, position });
  this->lastTurn[aRequest.caller] = position.turn;
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
  for (const auto& position : this->order) {
    if (this->entries.at(position.ticket).waiter.latest > aNow) {
      return position.ticket;
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

// Fair queueing: each request of a caller is one round after the caller's
// previous one, so that a caller with many requests does not delay callers with
// few.
auto
WaitingLine::TurnOf(const Waiter& aRequest) -> std::uint64_t
{
  const auto last = this->lastTurn.find(aRequest.caller);
  const auto next = last == this->lastTurn.end() ? 0 : last->second + 1;
  return std::max(next, this->currentTurn);
}

} // namespace gooseberry
