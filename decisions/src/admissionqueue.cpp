#include "admissionqueue.h"

#include <algorithm>

namespace gooseberry {

AdmissionQueue::AdmissionQueue(std::size_t aCapacity)
  : capacity(aCapacity)
{
}

auto
AdmissionQueue::SetCapacity(std::size_t aCapacity) -> void
{
  this->capacity = aCapacity;
}

auto
AdmissionQueue::Size() const -> std::size_t
{
  return this->entries.size();
}

auto
AdmissionQueue::Enqueue(const QueuedRequest& aRequest,
                        std::optional<std::uint64_t>& aDisplaced) -> bool
{
  aDisplaced.reset();
  const auto position =
    Position{ aRequest.rank, this->NextRoundOf(aRequest), aRequest.ticket };
  if (this->entries.size() >= this->capacity) {
    if (this->order.empty() || *this->order.rbegin() < position) {
      return false;
    }
    aDisplaced = this->order.rbegin()->ticket;
    this->Remove(*aDisplaced);
  }
  this->order.insert(position);
  this->entries.insert_or_assign(aRequest.ticket, Entry{ aRequest, position });
  this->lastRounds[aRequest.caller] = position.round;
  return true;
}

auto
AdmissionQueue::Remove(std::uint64_t aTicket) -> void
{
  const auto found = this->entries.find(aTicket);
  if (found == this->entries.end()) {
    return;
  }
  this->order.erase(found->second.position);
  this->entries.erase(found);
  // Entries of callers that have no more requests would otherwise accumulate.
  if (this->entries.empty()) {
    this->lastRounds.clear();
  }
}

auto
AdmissionQueue::Next(Time aNow) const -> std::optional<std::uint64_t>
{
  for (const auto& position : this->order) {
    if (this->entries.at(position.ticket).request.latestSendTime > aNow) {
      return position.ticket;
    }
  }
  return std::nullopt;
}

auto
AdmissionQueue::Dequeue(std::uint64_t aTicket) -> void
{
  const auto found = this->entries.find(aTicket);
  if (found == this->entries.end()) {
    return;
  }
  this->currentRound =
    std::max(this->currentRound, found->second.position.round);
  this->Remove(aTicket);
}

// Fair queueing: a request is one round after the caller's previous one, but
// not before the current round. So a caller with many requests does not delay
// callers with few.
auto
AdmissionQueue::NextRoundOf(const QueuedRequest& aRequest) -> std::uint64_t
{
  const auto last = this->lastRounds.find(aRequest.caller);
  const auto next = last == this->lastRounds.end() ? 0 : last->second + 1;
  return std::max(next, this->currentRound);
}

} // namespace gooseberry
