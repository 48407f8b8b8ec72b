#include "recordbatch.h"

namespace gooseberry::cells {

auto
EntriesOf(const RecordBatch& aBatch) -> std::size_t
{
  return aBatch.records.size() + aBatch.continuations.size() +
         aBatch.removals.size() + aBatch.continuationRemovals.size() +
         aBatch.delegationPuts.size() + aBatch.delegationRemovals.size();
}

auto
BytesOf(const RecordBatch& aBatch) -> std::size_t
{
  auto bytes = std::size_t{ 0 };
  const auto add = [&](const auto& aRows) {
    for (const auto& [key, value] : aRows) {
      bytes += value.size();
    }
  };
  add(aBatch.records);
  add(aBatch.continuations);
  add(aBatch.delegationPuts);
  return bytes;
}

} // namespace gooseberry::cells
