#include "claims.h"

namespace gooseberry {

namespace {

// Limit on commits per claim. A commit whose reply was lost is resolved by
// reading the row; if that fails, the commit is tried again.
constexpr int kMaxCommitAttempts = 3;

auto
ClaimRowKey(const ServiceId& aService, const std::string& aKey) -> std::string
{
  return "claim/" + aService.text + "/" + aKey;
}

} // namespace

IdempotencyClaims::IdempotencyClaims(TableService& aTable)
  : table(aTable)
{
}

auto
IdempotencyClaims::TryClaim(const ServiceId& aService,
                            const std::string& aKey,
                            const std::string& aRequestId) -> ClaimStatus
{
  const auto rowKey = ClaimRowKey(aService, aKey);
  for (auto attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    const auto commit =
      this->table.Commit({ { { rowKey, 0 } }, { { rowKey, aRequestId } } });
    if (commit.status == StoreStatus::Ok) {
      return ClaimStatus::Acquired;
    }
    if (commit.status == StoreStatus::Unavailable) {
      return ClaimStatus::Unavailable;
    }
    const auto read = this->table.Read(rowKey);
    if (read.status == StoreStatus::Ok && read.row.version != 0) {
      return read.row.value == aRequestId ? ClaimStatus::Acquired
                                          : ClaimStatus::HeldByOther;
    }
  }
  return ClaimStatus::Unavailable;
}

auto
IdempotencyClaims::ReleaseClaim(const ServiceId& aService,
                                const std::string& aKey,
                                const std::string& aRequestId) -> void
{
  const auto rowKey = ClaimRowKey(aService, aKey);
  const auto read = this->table.Read(rowKey);
  if (read.status == StoreStatus::Ok && read.row.version != 0 &&
      read.row.value == aRequestId) {
    this->table.Commit(
      { { { rowKey, read.row.version } }, { { rowKey, std::nullopt } } });
  }
}

} // namespace gooseberry
