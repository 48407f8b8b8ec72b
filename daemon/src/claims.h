#ifndef GOOSEBERRY_CLAIMS_H
#define GOOSEBERRY_CLAIMS_H

// Claims of idempotency keys in the table service: of all attempts with one
// key, through whichever entry, one may be sent.

#include <string>

#include "tableservice.h"

namespace gooseberry {

enum class ClaimStatus
{
  Taken,       // this request may be sent
  Held,        // another request with this key may have run
  Unavailable, // not known; nothing may be sent
};

class Claims
{
public:
  explicit Claims(TableService& aTable);

  // aIdentity names this request alone.
  auto Take(const ServiceId& aService,
            const std::string& aKey,
            const std::string& aIdentity) -> ClaimStatus;
  // The claimed request surely did not run: the key may be claimed again.
  auto GiveBack(const ServiceId& aService,
                const std::string& aKey,
                const std::string& aIdentity) -> void;

private:
  TableService& table;
};

} // namespace gooseberry

#endif
