#include "tableport.h"

#include <array>

namespace gooseberry::cells {

auto
ToText(TableStatus aStatus) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<int>(TableStatus::TableStatus_NB)>
    kNames{
      "done", "conflict", "refused", "rejected", "history_gone", "unknown"
    };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

auto
SingleRowRange(const RowKey& aKey) -> RowRange
{
  // In key order, the exclamation mark comes before all characters that keys
  // use.
  return { aKey.table, aKey.partition, aKey.key, aKey.key + "!" };
}

} // namespace gooseberry::cells
