#ifndef GOOSEBERRY_BACKENDPOOLS_H
#define GOOSEBERRY_BACKENDPOOLS_H

// The connection pools of all backend servers, by address.

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

  auto Of(const std::string& aAddress) -> std::shared_ptr<BackendPool>
  {
    auto found = Table::accessor{};
    if (this->table.insert(found, aAddress)) {
      const auto address = ParseHostPort(aAddress).value_or(HostPort{});
      found->second = std::make_shared<BackendPool>(address, this->clock);
    }
    return found->second;
  }

  // Closes the connections to addresses that no route names any more.
  auto Keep(const std::set<std::string>& aAddresses) -> void
  {
    auto gone = std::vector<std::string>{};
    for (const auto& [address, pool] : this->table) {
      if (!aAddresses.contains(address)) {
        gone.push_back(address);
      } else {
        pool->CloseIdle();
      }
    }
    for (const auto& address : gone) {
      this->table.erase(address);
    }
  }

private:
  using Table =
    oneapi::tbb::concurrent_hash_map<std::string, std::shared_ptr<BackendPool>>;

  const Clock& clock;
  Table table;
};

} // namespace gooseberry

#endif
