#ifndef GOOSEBERRY_FAULTYTABLE_H
#define GOOSEBERRY_FAULTYTABLE_H

// The table service in virtual time, with faults drawn from a seed.

#include <random>

#include "tableservice.h"
#include "virtualtime.h"

namespace gooseberry {

// Chances of faults per call, in parts of 1,000.
struct FaultRates
{
  int storeReplyLost = 0;
  int storeWriteDelayed = 0;
  int storeRefused = 0;
  int syncLost = 0;
  int syncReplyLost = 0;
  int syncDelayed = 0;
};

// Whether something happens that has so many chances in 1,000.
auto
DrawPerMille(std::mt19937_64& aRandom, int aPerMille) -> bool;

// How late a delayed message takes effect.
auto
DrawDelay(std::mt19937_64& aRandom) -> Millis;

// The table service with faults; each instance calls it through its own.
class FaultyTable : public TableService
{
public:
  FaultyTable(TableService& aTable,
              EventQueue& aQueue,
              std::mt19937_64& aRandom,
              const FaultRates& aRates);

  auto Read(const std::string& aKey) -> ReadResult override;
  auto Scan(const std::string& aPrefix,
            const std::string& aAfter,
            std::size_t aLimit) -> ScanResult override;
  auto Commit(const Transaction& aTransaction) -> CommitResult override;

  bool down = false;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;

private:
  TableService& table;
  EventQueue& queue;
  std::mt19937_64& random;
  const FaultRates& rates;
};

} // namespace gooseberry

#endif
