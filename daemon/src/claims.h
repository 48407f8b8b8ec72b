#ifndef GOOSEBERRY_CLAIMS_H
#define GOOSEBERRY_CLAIMS_H

// Claims of idempotency keys in the table service. Of all requests with the
// same key, through any instance, at most one may be sent.

#include <string>

#include "tableservice.h"

namespace gooseberry {

enum class ClaimStatus
{
  Acquired,    // claimed for this request, which may be sent
  HeldByOther, // another request with this key may have run
  Unavailable, // the state of the claim is unknown; the request must not be
               // sent
};

class IdempotencyClaims
{
public:
  explicit IdempotencyClaims(TableService& aTable);

  // Claims the key for the request. aRequestId must be unique to the request:
  // it shows whether a commit whose reply was lost has succeeded.
  auto TryClaim(const ServiceId& aService,
                const std::string& aKey,
                const std::string& aRequestId) -> ClaimStatus;
  // Releases the claim of a request that certainly did not run, so that the key
  // can be claimed again.
  auto ReleaseClaim(const ServiceId& aService,
                    const std::string& aKey,
                    const std::string& aRequestId) -> void;

private:
  TableService& table;
};

} // namespace gooseberry

#endif
