#ifndef GOOSEBERRY_ENUMTEXT_H
#define GOOSEBERRY_ENUMTEXT_H

// Conversion of names to enumerators. Each enumeration has one table of names,
// in the order of its enumerators.

#include <array>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberry {

// The enumerator with the given name; throws nlohmann::json::exception if there
// is none.
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
  constexpr int kUnknownNameErrorId = 501;
  const nlohmann::json* const noContext = nullptr;
  throw nlohmann::json::other_error::create(
    kUnknownNameErrorId, "unknown name '" + aText + "'", noContext);
}

} // namespace gooseberry

#endif
