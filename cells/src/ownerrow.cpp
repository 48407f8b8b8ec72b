#include "ownerrow.h"

#include "jsontext.h"

namespace gooseberry::cells {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OwnerRow,
                                                owner,
                                                peerAddress,
                                                fencingToken,
                                                batch,
                                                beat,
                                                leaseMs,
                                                silent,
                                                released)

auto
EncodeOwnerRow(const OwnerRow& aRow) -> std::string
{
  return nlohmann::json(aRow).dump();
}

auto
DecodeOwnerRow(const std::string& aBytes, std::string& aReason)
  -> std::optional<OwnerRow>
{
  return DecodeJson<OwnerRow>(aBytes, aReason);
}

} // namespace gooseberry::cells
