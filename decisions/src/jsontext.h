#ifndef GOOSEBERRY_JSONTEXT_H
#define GOOSEBERRY_JSONTEXT_H

// Decoding of values that are stored as JSON.

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberry {

// Decodes a value; nullopt with the parser's message in aReason if the text is
// not JSON or not such a value.
template<class Value>
auto
DecodeJson(const std::string& aText, std::string& aReason)
  -> std::optional<Value>
{
  try {
    return nlohmann::json::parse(aText).get<Value>();
  } catch (const nlohmann::json::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace gooseberry

#endif
