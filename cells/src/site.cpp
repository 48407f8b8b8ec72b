#include "site.h"

#include <algorithm>

namespace gooseberry::cells {

auto
SiteConfig::FindQueue(const std::string& aHost, const std::string& aPath) const
  -> const Queue*
{
  const Queue* best = nullptr;
  for (const auto& queue : this->queues) {
    if (queue.host == aHost && aPath.starts_with(queue.pathPrefix) &&
        (best == nullptr ||
         queue.pathPrefix.size() > best->pathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

auto
SiteConfig::FindQueue(const QueueId& aId) const -> const Queue*
{
  const auto found =
    std::find_if(this->queues.begin(),
                 this->queues.end(),
                 [&](const Queue& aQueue) { return aQueue.id == aId; });
  return found == this->queues.end() ? nullptr : &*found;
}

auto
SiteConfig::FindAccount(const std::string& aKey) const -> const Account*
{
  const auto found = std::find_if(
    this->accounts.begin(), this->accounts.end(), [&](const auto& aItem) {
      return aItem.second.keys.contains(aKey);
    });
  return found == this->accounts.end() ? nullptr : &found->second;
}

auto
WorkerEntry::HasLabel(const std::string& aLabel) const -> bool
{
  return std::find(this->labels.begin(), this->labels.end(), aLabel) !=
         this->labels.end();
}

auto
WorkerEntry::Rack() const -> std::string
{
  return this->labels.size() > 1 ? this->labels[1] : std::string{};
}

} // namespace gooseberry::cells
