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

} // namespace gooseberry::cells
