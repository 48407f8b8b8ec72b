#include "faultytable.h"

namespace gooseberry {

namespace {

constexpr int kPerMille = 1000;
constexpr Millis kMostDelay{ 12000 };

} // namespace

auto
DrawPerMille(std::mt19937_64& aRandom, int aPerMille) -> bool
{
  return aPerMille > 0 && static_cast<int>(aRandom() % kPerMille) < aPerMille;
}

auto
DrawDelay(std::mt19937_64& aRandom) -> Millis
{
  return Millis{ static_cast<std::int64_t>(
    aRandom() % static_cast<std::uint64_t>(kMostDelay.count())) };
}

FaultyTable::FaultyTable(TableService& aTable,
                         EventQueue& aQueue,
                         std::mt19937_64& aRandom,
                         const FaultRates& aRates)
  : table(aTable)
  , queue(aQueue)
  , random(aRandom)
  , rates(aRates)
{
}

auto
FaultyTable::Read(const std::string& aKey) -> ReadResult
{
  ++this->reads;
  if (this->down || DrawPerMille(this->random, this->rates.storeRefused)) {
    return {};
  }
  return this->table.Read(aKey);
}

auto
FaultyTable::Scan(const std::string& aPrefix,
                  const std::string& aAfter,
                  std::size_t aLimit) -> ScanResult
{
  ++this->reads;
  if (this->down || DrawPerMille(this->random, this->rates.storeRefused)) {
    return {};
  }
  return this->table.Scan(aPrefix, aAfter, aLimit);
}

// A write may be refused, take effect without a reply, or take effect late.
auto
FaultyTable::Commit(const Transaction& aTransaction) -> CommitResult
{
  ++this->writes;
  if (this->down || DrawPerMille(this->random, this->rates.storeRefused)) {
    return { StoreStatus::Unavailable, 0 };
  }
  if (DrawPerMille(this->random, this->rates.storeWriteDelayed)) {
    this->queue.After(DrawDelay(this->random), [this, aTransaction] {
      this->table.Commit(aTransaction);
    });
    return { StoreStatus::Unknown, 0 };
  }
  const auto result = this->table.Commit(aTransaction);
  if (DrawPerMille(this->random, this->rates.storeReplyLost)) {
    return { StoreStatus::Unknown, 0 };
  }
  return result;
}

} // namespace gooseberry
