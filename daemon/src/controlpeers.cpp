// Part of Control that tells other instances where something is new, and is
// told.

#include <algorithm>

#include "control.h"

namespace gooseberry {

namespace {

// Instances to which each one passes a new document's number on: with four, a
// number that spreads among 400 misses about one in fifty, which reads it by
// itself a little later.
constexpr std::size_t kFanOut = 4;

} // namespace

auto
Control::OnHint(const Hint& aHint) -> void
{
  this->OnDocumentHint(aHint.document);
  if (aHint.inboxes.empty()) {
    return;
  }
  this->executor.Post([this, inboxes = aHint.inboxes] {
    for (const auto shard : inboxes) {
      const auto item = this->held.find(shard);
      if (item != this->held.end()) {
        item->second.nextInbox = {};
      }
    }
  });
}

auto
Control::NotifyInboxes(const std::set<ShardNumber>& aShards) -> void
{
  if (this->peers == nullptr) {
    return;
  }
  this->executor.Post([this, aShards] {
    for (const auto shard : aShards) {
      if (shard < this->owners.size() && this->owners[shard] == this->self) {
        this->OnHint({ 0, { shard } });
      } else if (shard < this->owners.size()) {
        this->Tell(this->owners[shard], { 0, { shard } });
      }
    }
  });
}

// Each instance that learns a new number passes it on to a few others.
auto
Control::SpreadDocument() -> void
{
  auto others = this->membership.Live(this->clock.Now());
  std::erase_if(others, [&](const MemberRow& aRow) {
    return aRow.id == this->self || aRow.peerAddress.empty();
  });
  std::shuffle(others.begin(), others.end(), this->random);
  others.resize(std::min(others.size(), kFanOut));
  for (const auto& other : others) {
    this->Tell(other.id, { this->loaded.document->number, {} });
  }
}

auto
Control::Tell(const InstanceId& aPeer, const Hint& aHint) -> void
{
  if (this->peers == nullptr) {
    return;
  }
  for (const auto& row : this->membership.Live(this->clock.Now())) {
    if (row.id == aPeer && !row.peerAddress.empty()) {
      this->peers->Send(row.peerAddress, aHint);
    }
  }
}

} // namespace gooseberry
