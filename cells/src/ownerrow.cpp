#include "ownerrow.h"

#include <nlohmann/json.hpp>

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
EncodeOwner(const OwnerRow& aRow) -> std::string
{
  return nlohmann::json(aRow).dump();
}

auto
DecodeOwner(const std::string& aBytes, std::string& aReason)
  -> std::optional<OwnerRow>
{
  try {
    return nlohmann::json::parse(aBytes).get<OwnerRow>();
  } catch (const nlohmann::json::exception& fault) {
    aReason = fault.what();
    return std::nullopt;
  }
}

} // namespace gooseberry::cells
