#include "connectionlimits.h"

#include <algorithm>
#include <chrono>

namespace gooseberry {

namespace {

constexpr std::size_t kBytesPerMb = std::size_t{ 1 } << 20U;
// The remaining memory is for the process's own state, for what the parser and
// the handlers add to a request, and for the allocator.
constexpr std::size_t kMemoryFraction = 8;
constexpr std::size_t kMinLargestRequests = 4;
// A client that reads its responses takes a small one at once.
constexpr std::chrono::seconds kUnreadResponseTime{ 1 };

} // namespace

auto
BufferedBytesFor(std::int64_t aMemoryMb, std::size_t aMaxRequestBytes)
  -> std::size_t
{
  return std::max(static_cast<std::size_t>(aMemoryMb) * kBytesPerMb /
                    kMemoryFraction,
                  aMaxRequestBytes * kMinLargestRequests);
}

auto
ConnectionLimiter::Add(LimitedConnection& aConnection, Time aNow) -> void
{
  auto& list = this->ListOf(ConnectionPhase::New);
  aConnection.entry =
    list.insert(list.end(), { &aConnection, ConnectionPhase::New, aNow, 0 });
}

auto
ConnectionLimiter::Remove(const LimitedConnection& aConnection) -> void
{
  this->heldBytes -= aConnection.entry->heldBytes;
  this->ListOf(aConnection.entry->phase).erase(aConnection.entry);
}

auto
ConnectionLimiter::SetPhase(LimitedConnection& aConnection,
                            ConnectionPhase aPhase,
                            Time aNow) -> void
{
  auto& entry = *aConnection.entry;
  if (entry.phase == aPhase || (entry.phase == ConnectionPhase::New &&
                                (aPhase == ConnectionPhase::Idle ||
                                 aPhase == ConnectionPhase::Receiving))) {
    return;
  }
  auto& target = this->ListOf(aPhase);
  target.splice(target.end(), this->ListOf(entry.phase), aConnection.entry);
  entry.phase = aPhase;
  entry.since = aNow;
}

auto
ConnectionLimiter::SetHeldBytes(LimitedConnection& aConnection,
                                std::size_t aBytes) -> void
{
  auto& held = aConnection.entry->heldBytes;
  this->heldBytes = this->heldBytes - held + aBytes;
  held = aBytes;
}

auto
ConnectionLimiter::HeldBytes() const -> std::size_t
{
  return this->heldBytes;
}

auto
ConnectionLimiter::ChooseForMemory(Time aNow) const -> LimitedConnection*
{
  const Entry* worst = nullptr;
  auto worstScore = 0.0;
  for (const auto phase : { ConnectionPhase::New,
                            ConnectionPhase::Receiving,
                            ConnectionPhase::Sending }) {
    for (const auto& entry : this->ListOf(phase)) {
      // The added microsecond lets the sizes decide between connections that
      // made progress just now.
      const auto age =
        static_cast<double>((aNow - entry.since + Micros{ 1 }).count());
      const auto score = static_cast<double>(entry.heldBytes) * age;
      if (score > worstScore) {
        worst = &entry;
        worstScore = score;
      }
    }
  }
  return worst == nullptr ? nullptr : worst->connection;
}

auto
ConnectionLimiter::ChooseForConnection(Time aNow) const -> LimitedConnection*
{
  for (const auto phase : { ConnectionPhase::New,
                            ConnectionPhase::Idle,
                            ConnectionPhase::Receiving }) {
    if (const auto& list = this->ListOf(phase); !list.empty()) {
      return list.front().connection;
    }
  }
  const auto& sending = this->ListOf(ConnectionPhase::Sending);
  const auto unread =
    !sending.empty() && aNow - sending.front().since >= kUnreadResponseTime;
  return unread ? sending.front().connection : nullptr;
}

auto
ConnectionLimiter::ListOf(ConnectionPhase aPhase) -> std::list<Entry>&
{
  return this->entries[static_cast<std::size_t>(aPhase)];
}

auto
ConnectionLimiter::ListOf(ConnectionPhase aPhase) const
  -> const std::list<Entry>&
{
  return this->entries[static_cast<std::size_t>(aPhase)];
}

} // namespace gooseberry
