// Part of ControlPlane that sends hints of new documents and inbox rows to
// other instances, and receives theirs.

#include <algorithm>

#include "controlplane.h"

namespace gooseberry {

namespace {

// Number of instances to which each instance forwards a new document number.
// With 4, a number that spreads among 400 instances misses about one in fifty;
// those find it a little later by polling.
constexpr std::size_t kGossipFanOut = 4;

} // namespace

auto
ControlPlane::OnPeerHint(const Hint& aHint) -> void
{
  this->OnDocumentHint(aHint.document);
  if (aHint.inboxes.empty()) {
    return;
  }
  this->executor.Post([this, inboxes = aHint.inboxes] {
    for (const auto shard : inboxes) {
      const auto owned = this->ownedShards.find(shard);
      if (owned != this->ownedShards.end()) {
        owned->second.nextInboxRead = {};
      }
    }
  });
}

auto
ControlPlane::NotifyInboxOwners(const std::set<ShardNumber>& aShards) -> void
{
  if (this->hintSender == nullptr) {
    return;
  }
  this->executor.Post([this, aShards] {
    for (const auto shard : aShards) {
      if (shard < this->shardOwners.size() &&
          this->shardOwners[shard] == this->ownId) {
        this->OnPeerHint({ 0, { shard } });
      } else if (shard < this->shardOwners.size()) {
        this->SendHint(this->shardOwners[shard], { 0, { shard } });
      }
    }
  });
}

// Gossip: forwards the number of the new document to a few random members.
auto
ControlPlane::GossipDocumentNumber() -> void
{
  auto others = this->membership.Live(this->clock.Now());
  std::erase_if(others, [&](const MemberRow& aRow) {
    return aRow.id == this->ownId || aRow.peerAddress.empty();
  });
  std::shuffle(others.begin(), others.end(), this->random);
  others.resize(std::min(others.size(), kGossipFanOut));
  for (const auto& other : others) {
    this->SendHint(other.id, { this->loadedDocument.document->number, {} });
  }
}

auto
ControlPlane::SendHint(const InstanceId& aPeer, const Hint& aHint) -> void
{
  if (this->hintSender == nullptr) {
    return;
  }
  for (const auto& row : this->membership.Live(this->clock.Now())) {
    if (row.id == aPeer && !row.peerAddress.empty()) {
      this->hintSender->Send(row.peerAddress, aHint);
    }
  }
}

} // namespace gooseberry
