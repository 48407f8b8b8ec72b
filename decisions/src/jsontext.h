#ifndef GOOSEBERRY_JSONTEXT_H
#define GOOSEBERRY_JSONTEXT_H

// Parsing of JSON texts by any writer.

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberry {

// No message or stored value is nested more deeply. Values that are would take
// long to parse, and much of the stack to compare or print.
inline constexpr std::size_t kMaxJsonDepth = 32;

// Whether the text is nested more deeply than kMaxJsonDepth.
auto
IsNestedTooDeeply(const std::string& aText) -> bool;

// Throws nlohmann::json::exception if the text is not JSON or nested too
// deeply.
auto
ParseJson(const std::string& aText) -> nlohmann::json;

// A discarded value if the text is not JSON or nested too deeply.
auto
TryParseJson(const std::string& aText) -> nlohmann::json;

// The number of this name; nullopt if the value is no object, or has no such
// number that is whole and not negative.
auto
UnsignedIn(const nlohmann::json& aJson, const char* aName)
  -> std::optional<std::uint64_t>;

// The text of this name; empty if the value is no object, or has no such text.
auto
TextIn(const nlohmann::json& aJson, const char* aName) -> std::string;

// Throws nlohmann::json::exception, with the number and where it stands, if the
// value holds a number in floating point beyond 2^53. The parser reads whole
// numbers that fit no 64 bits as such, and converts them to integers unchecked.
auto
RequireNumbersInRange(const nlohmann::json& aJson) -> void;

// Decodes a value; nullopt with the parser's message in aReason if the text is
// not JSON or not such a value.
template<class Value>
auto
DecodeJson(const std::string& aText, std::string& aReason)
  -> std::optional<Value>
{
  try {
    const auto json = ParseJson(aText);
    RequireNumbersInRange(json);
    return json.get<Value>();
  } catch (const nlohmann::json::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace gooseberry

#endif
