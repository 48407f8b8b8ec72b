#ifndef GOOSEBERRY_BACKENDPOOLS_H
#define GOOSEBERRY_BACKENDPOOLS_H

// Connection pools of all backend servers, keyed by address (host:port).

#include <memory>
#include <set>
#include <string>

#include <oneapi/tbb/concurrent_hash_map.h>

#include "backendpool.h"

namespace gooseberry {

class BackendPools
{
public:
  explicit BackendPools(const Clock& aClock)
    : clock(aClock)
  {
  }

  // The pool of the address, created on first use.
  auto PoolFor(const std::string& aAddress) -> std::shared_ptr<BackendPool>
  {
    auto entry = PoolMap::accessor{};
    if (this->poolsByAddress.insert(entry, aAddress)) {
      const auto address = ParseHostPort(aAddress).value_or(HostPort{});
      entry->second = std::make_shared<BackendPool>(address, this->clock);
    }
    return entry->second;
  }

  // Removes the pools of all addresses that are not in aAddresses, and closes
  // the connections of the others that were idle for too long.
  auto RetainOnly(const std::set<std::string>& aAddresses) -> void
  {
    auto unusedAddresses = std::vector<std::string>{};
    for (const auto& [address, pool] : this->poolsByAddress) {
      if (!aAddresses.contains(address)) {
        unusedAddresses.push_back(address);
      } else {
        pool->CloseIdle();
      }
    }
    for (const auto& address : unusedAddresses) {
      this->poolsByAddress.erase(address);
    }
  }

private:
  using PoolMap =
    oneapi::tbb::concurrent_hash_map<std::string, std::shared_ptr<BackendPool>>;

  const Clock& clock;
  PoolMap poolsByAddress;
};

} // namespace gooseberry

#endif
