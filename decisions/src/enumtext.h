#ifndef GOOSEBERRY_ENUMTEXT_H
#define GOOSEBERRY_ENUMTEXT_H

// Names of enumerators, kept in one table per enumeration.

#include <array>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberry {

// Finds the enumerator of a name; throws nlohmann::json::exception if none.
template<class Enum, std::size_t Count>
auto
EnumFromText(const std::array<const char*, Count>& aNames,
             const std::string& aText) -> Enum
{
  for (auto index = std::size_t{ 0 }; index < Count; ++index) {
    if (aText == aNames[index]) {
      return static_cast<Enum>(index);
    }
  }
  constexpr int kUnknownName = 501;
  const nlohmann::json* const noContext = nullptr;
  throw nlohmann::json::other_error::create(
    kUnknownName, "unknown name '" + aText + "'", noContext);
}

} // namespace gooseberry

#endif
