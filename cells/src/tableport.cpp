#include "tableport.h"

#include <array>

namespace gooseberry::cells {

auto
ToText(TableEnd aStatus) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(TableEnd::TableEnd_NB)>
    kNames{ "done", "conflict", "refused", "history_gone", "unknown" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

auto
RangeOf(const RowKey& aKey) -> RowsRange
{
  // In key order, the exclamation mark comes before all characters that keys
  // use.
  return { aKey.table, aKey.part, aKey.key, aKey.key + "!" };
}

} // namespace gooseberry::cells
