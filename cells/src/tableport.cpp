#include "tableport.h"

#include <array>

namespace gooseberry::cells {

auto
ToText(TableEnd aEnd) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(TableEnd::TableEnd_NB)>
    kNames{ "done", "conflict", "refused", "history_gone", "unknown" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

auto
RangeOf(const RowKey& aKey) -> RowsRange
{
  // The exclamation mark comes before all that keys consist of.
  return { aKey.table, aKey.part, aKey.key, aKey.key + "!" };
}

} // namespace gooseberry::cells
