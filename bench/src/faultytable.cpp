#include "faultytable.h"

namespace gooseberry {

namespace {

constexpr int kPerMille = 1000;
constexpr Millis kMostDelay{ 12000 };

} // namespace

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
FaultyTable::Draw(int aPerMille) -> bool
{
  return aPerMille > 0 &&
         static_cast<int>(this->random() % kPerMille) < aPerMille;
}

auto
FaultyTable::Read(const std::string& aKey) -> ReadResult
{
  ++this->reads;
  if (this->down || this->Draw(this->rates.storeRefused)) {
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
  if (this->down || this->Draw(this->rates.storeRefused)) {
    return {};
  }
  return this->table.Scan(aPrefix, aAfter, aLimit);
}

// A write may be refused, take effect without a reply, or take effect late.
auto
FaultyTable::Commit(const Transaction& aTransaction) -> CommitResult
{
  ++this->writes;
  if (this->down || this->Draw(this->rates.storeRefused)) {
    return { StoreStatus::Unavailable, 0 };
  }
  if (this->Draw(this->rates.storeWriteDelayed)) {
    const auto delay = Millis{ static_cast<std::int64_t>(
      this->random() % static_cast<std::uint64_t>(kMostDelay.count())) };
    this->queue.After(
      delay, [this, aTransaction] { this->table.Commit(aTransaction); });
    return { StoreStatus::Unknown, 0 };
  }
  const auto result = this->table.Commit(aTransaction);
  if (this->Draw(this->rates.storeReplyLost)) {
    return { StoreStatus::Unknown, 0 };
  }
  return result;
}

} // namespace gooseberry
