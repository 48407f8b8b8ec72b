#ifndef GOOSEBERRY_JSONTEXT_H
#define GOOSEBERRY_JSONTEXT_H

// Values that are stored as JSON.

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberry {

// Nothing with the reason if the text is no such value.
template<class Value>
auto
DecodeJson(const std::string& aText, std::string& aReason)
  -> std::optional<Value>
{
  try {
    return nlohmann::json::parse(aText).get<Value>();
  } catch (const nlohmann::json::exception& fault) {
    aReason = fault.what();
    return std::nullopt;
  }
}

} // namespace gooseberry

#endif
