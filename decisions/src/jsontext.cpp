#include "jsontext.h"

#include <cmath>

namespace gooseberry {

auto
IsNestedTooDeeply(const std::string& aText) -> bool
{
  auto depth = std::size_t{ 0 };
  auto inText = false;
  for (auto at = std::size_t{ 0 }; at < aText.size(); ++at) {
    switch (aText[at]) {
      case '\\':
        // The next character is part of a text, whatever it is.
        at += inText ? 1 : 0;
        break;
      case '"':
        inText = !inText;
        break;
      case '[':
      case '{':
        depth += inText ? 0 : 1;
        if (depth > kMaxJsonDepth) {
          return true;
        }
        break;
      case ']':
      case '}':
        depth -= inText || depth == 0 ? 0 : 1;
        break;
      default:
        break;
    }
  }
  return false;
}

auto
ParseJson(const std::string& aText) -> nlohmann::json
{
  if (IsNestedTooDeeply(aText)) {
    constexpr int kErrorId = 502;
    const nlohmann::json* const noValue = nullptr;
    throw nlohmann::json::other_error::create(
      kErrorId,
      "nested more than " + std::to_string(kMaxJsonDepth) + " deep",
      noValue);
  }
  return nlohmann::json::parse(aText);
}

auto
TryParseJson(const std::string& aText) -> nlohmann::json
{
  return IsNestedTooDeeply(aText)
           ? nlohmann::json(nlohmann::json::value_t::discarded)
           : nlohmann::json::parse(aText, nullptr, false);
}

namespace {

auto
IsOutOfRange(const nlohmann::json& aJson) -> bool
{
  constexpr double kLargestExact = 9007199254740992.0; // 2^53
  return aJson.is_number_float() &&
         !(std::abs(aJson.get<double>()) <= kLargestExact);
}

// Where the first number out of range stands, as in "/cells/0", and its value.
// The path is only put together once such a number was found.
auto
FindOutOfRange(const nlohmann::json& aJson)
  -> std::optional<std::pair<std::string, double>>
{
  if (IsOutOfRange(aJson)) {
    return std::pair{ std::string{}, aJson.get<double>() };
  }
  if (!aJson.is_structured()) {
    return std::nullopt;
  }
  auto index = std::size_t{ 0 };
  for (auto item = aJson.begin(); item != aJson.end(); ++item, ++index) {
    if (!item->is_structured() && !item->is_number_float()) {
      continue;
    }
    if (auto found = FindOutOfRange(*item)) {
      found->first.insert(
        0, "/" + (aJson.is_object() ? item.key() : std::to_string(index)));
      return found;
    }
  }
  return std::nullopt;
}

} // namespace

auto
RequireNumbersInRange(const nlohmann::json& aJson) -> void
{
  if (const auto found = FindOutOfRange(aJson)) {
    constexpr int kErrorId = 406;
    const nlohmann::json* const noValue = nullptr;
    throw nlohmann::json::out_of_range::create(
      kErrorId,
      (found->first.empty() ? "the value" : found->first) + " is " +
        nlohmann::json(found->second).dump() +
        ", expected a number from -2^53 to 2^53",
      noValue);
  }
}

auto
UnsignedIn(const nlohmann::json& aJson, const char* aName)
  -> std::optional<std::uint64_t>
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_number_unsigned()
           ? std::optional{ found->get<std::uint64_t>() }
           : std::nullopt;
}

auto
TextIn(const nlohmann::json& aJson, const char* aName) -> std::string
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string{};
}

} // namespace gooseberry
