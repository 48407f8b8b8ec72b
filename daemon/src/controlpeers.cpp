// Part of ControlPlane that sends hints of new documents and inbox rows to
// other instances, and receives theirs.

#include <algorithm>

#include "control.h"

namespace gooseberry {

namespace {

// Number of instances to which each instance forwards a new document number.
// With 4, a number that spreads among 400 instances misses about one in fifty;
// those find it a little later by polling.
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
      const auto owned = this->held.find(shard);
      if (owned != this->held.end()) {
        owned->second.nextInbox = {};
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

// Gossip: forwards the number of the new document to a few random members.
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
