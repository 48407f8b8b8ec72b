// Stored form of the rows of shares; see accountshares.h.

#include <algorithm>
#include <array>
#include <stdexcept>

#include "accountshares.h"
#include "jsontext.h"
#include "msgpacktext.h"

namespace gooseberry::cells {

namespace {

using Amount = std::int64_t;

auto
AmountsOf(const Resources& aFirst,
          const Resources& aSecond,
          std::uint64_t aLast) -> nlohmann::json
{
  return { aFirst.cpuMillis,
           aFirst.memoryMb,
           aFirst.accelerators,
           aSecond.cpuMillis,
           aSecond.memoryMb,
           aSecond.accelerators,
           aLast };
}

auto
Encode(const nlohmann::json& aJson) -> std::string
{
  auto bytes = std::string{};
  nlohmann::json::to_msgpack(aJson, bytes);
  return bytes;
}

// Calls aAdd with the name and the seven numbers of each account.
template<class Add>
auto
DecodeRow(const std::string& aBytes, std::string& aReason, Add aAdd)
  -> std::optional<nlohmann::json>
{
  try {
    UnpackBounded(aBytes);
    auto json = nlohmann::json::from_msgpack(aBytes);
    RequireNumbersInRange(json);
    for (const auto& [name, amounts] : json.at("a").items()) {
      auto numbers = std::array<Amount, 7>{};
      if (amounts.size() != numbers.size()) {
        throw std::out_of_range("an account has " +
                                std::to_string(amounts.size()) +
                                " numbers, expected 7");
      }
      for (auto index = std::size_t{ 0 }; index < numbers.size(); ++index) {
        numbers.at(index) = amounts.at(index).template get<Amount>();
        if (numbers.at(index) < -kMaxShareAmount ||
            numbers.at(index) > kMaxShareAmount) {
          throw std::out_of_range("an amount is out of range");
        }
      }
      aAdd(AccountId{ name },
           Resources{ numbers[0], numbers[1], numbers[2] },
           Resources{ numbers[3], numbers[4], numbers[5] },
           static_cast<std::uint64_t>(std::max(numbers[6], Amount{ 0 })));
    }
    return json;
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

auto
VersionIn(const nlohmann::json& aJson, const char* aName) -> std::uint64_t
{
  return UnsignedIn(aJson, aName).value_or(0);
}

} // namespace

auto
EncodeSharePool(const SharePool& aPool) -> std::string
{
  auto accounts = nlohmann::json::object();
  for (const auto& [id, entry] : aPool.accounts) {
    accounts[id.text] = AmountsOf(entry.limit, entry.free, entry.limitedSince);
  }
  return Encode({ { "v", aPool.configVersion }, { "a", std::move(accounts) } });
}

auto
EncodeCellShares(const CellShares& aShares) -> std::string
{
  auto accounts = nlohmann::json::object();
  for (const auto& [id, entry] : aShares.accounts) {
    accounts[id.text] = AmountsOf(entry.share, entry.wanted, entry.turn);
  }
  return Encode({ { "t", aShares.fencingToken },
                  { "v", aShares.coveredVersion },
                  { "a", std::move(accounts) } });
}

auto
DecodeSharePool(const std::string& aBytes, std::string& aReason)
  -> std::optional<SharePool>
{
  auto pool = SharePool{};
  const auto json = DecodeRow(
    aBytes,
    aReason,
    [&](
      AccountId aId, Resources aLimit, Resources aFree, std::uint64_t aSince) {
      pool.accounts.insert_or_assign(std::move(aId),
                                     PoolEntry{ aLimit, aFree, aSince });
    });
  if (!json) {
    return std::nullopt;
  }
  pool.configVersion = VersionIn(*json, "v");
  return pool;
}

auto
DecodeCellShares(const std::string& aBytes, std::string& aReason)
  -> std::optional<CellShares>
{
  auto shares = CellShares{};
  const auto json = DecodeRow(
    aBytes,
    aReason,
    [&](
      AccountId aId, Resources aShare, Resources aWanted, std::uint64_t aTurn) {
      shares.accounts.insert_or_assign(std::move(aId),
                                       CellShare{ aShare, aWanted, aTurn });
    });
  if (!json) {
    return std::nullopt;
  }
  shares.fencingToken = VersionIn(*json, "t");
  shares.coveredVersion = VersionIn(*json, "v");
  return shares;
}

} // namespace gooseberry::cells
