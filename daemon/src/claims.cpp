#include "claims.h"

namespace gooseberry {

namespace {

// Attempts to learn the outcome of a write whose reply was lost.
constexpr int kAttempts = 3;

auto
ClaimKey(const ServiceId& aService, const std::string& aKey) -> std::string
{
  return "claim/" + aService.text + "/" + aKey;
}

} // namespace

Claims::Claims(TableService& aTable)
  : table(aTable)
{
}

auto
Claims::Take(const ServiceId& aService,
             const std::string& aKey,
             const std::string& aIdentity) -> ClaimStatus
{
  const auto key = ClaimKey(aService, aKey);
  for (auto attempt = 0; attempt < kAttempts; ++attempt) {
    const auto commit =
      this->table.Commit({ { { key, 0 } }, { { key, aIdentity } } });
    if (commit.status == StoreStatus::Ok) {
      return ClaimStatus::Taken;
    }
    if (commit.status == StoreStatus::Unavailable) {
      return ClaimStatus::Unavailable;
    }
    const auto read = this->table.Read(key);
    if (read.status == StoreStatus::Ok && read.row.version != 0) {
      return read.row.value == aIdentity ? ClaimStatus::Taken
                                         : ClaimStatus::Held;
    }
  }
  return ClaimStatus::Unavailable;
}

auto
Claims::GiveBack(const ServiceId& aService,
                 const std::string& aKey,
                 const std::string& aIdentity) -> void
{
  const auto key = ClaimKey(aService, aKey);
  const auto read = this->table.Read(key);
  if (read.status == StoreStatus::Ok && read.row.version != 0 &&
      read.row.value == aIdentity) {
    this->table.Commit(
      { { { key, read.row.version } }, { { key, std::nullopt } } });
  }
}

} // namespace gooseberry
