#include "yamlreader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

#include <yaml-cpp/eventhandler.h>

namespace gooseberry {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxDisplayedValueLength = 80;

// Thrown by the event handler to abort the parser at the first violation of a
// limit.
struct LimitExceeded
{
  int line;
  std::string rule;
};

// Checks the parser's events against the limits without building the tree.
class LimitChecker : public YAML::EventHandler
{
public:
  explicit LimitChecker(const YamlLimits& aLimits)
    : limits(aLimits)
  {
  }

  auto OnDocumentStart(const YAML::Mark& /*aMark*/) -> void override {}
  auto OnDocumentEnd() -> void override {}
  auto OnNull(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/)
    -> void override
  {
    this->CountNode(aMark);
  }
  auto OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/)
    -> void override
  {
    throw LimitExceeded{ aMark.line + 1, "aliases are not allowed" };
  }
  auto OnScalar(const YAML::Mark& aMark,
                const std::string& /*aTag*/,
                YAML::anchor_t /*aAnchor*/,
                const std::string& /*aValue*/) -> void override
  {
    this->CountNode(aMark);
  }
  auto OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) -> void override
  {
    this->EnterCollection(aMark);
  }
  auto OnSequenceEnd() -> void override { --this->depth; }
  auto OnMapStart(const YAML::Mark& aMark,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) -> void override
  {
    this->EnterCollection(aMark);
  }
  auto OnMapEnd() -> void override { --this->depth; }

private:
  auto CountNode(const YAML::Mark& aMark) -> void
  {
    if (++this->nodeCount > this->limits.maxNodes) {
      throw LimitExceeded{ aMark.line + 1, "too many values" };
    }
  }

  auto EnterCollection(const YAML::Mark& aMark) -> void
  {
    this->CountNode(aMark);
    if (++this->depth > this->limits.maxDepth) {
      throw LimitExceeded{ aMark.line + 1, "nested too deeply" };
    }
  }

  YamlLimits limits;
  std::size_t nodeCount = 0;
  std::size_t depth = 0;
};

// The value of a scalar for an error message, truncated; empty for other nodes.
auto
DisplayedValue(const YAML::Node& aNode) -> std::string
{
  if (!aNode.IsDefined() || !aNode.IsScalar()) {
    return {};
  }
  return aNode.Scalar().substr(0, kMaxDisplayedValueLength);
}

auto
IsValidName(const std::string& aText) -> bool
{
  const auto allowed = [](unsigned char aChar) {
    return std::islower(aChar) != 0 || std::isdigit(aChar) != 0 || aChar == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength && aText[0] != '-' &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

template<class Value>
auto
ParseNumber(const std::string& aText) -> std::optional<Value>
{
  Value value{};
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

auto
ParseDuration(const std::string& aText) -> std::optional<Millis>
{
  struct Unit
  {
    const char* suffix;
    std::int64_t millis;
  };
  constexpr std::array<Unit, 4> kUnits{
    { { "ms", 1 }, { "s", 1000 }, { "m", 60000 }, { "h", 3600000 } }
  };
  const auto split = aText.find_first_not_of("0123456789");
  if (split == std::string::npos) {
    return std::nullopt;
  }
  const auto amount = ParseNumber<std::int32_t>(aText.substr(0, split));
  for (const auto& unit : kUnits) {
    if (amount && aText.substr(split) == unit.suffix) {
      return Millis{ *amount * unit.millis };
    }
  }
  return std::nullopt;
}

template<class Value>
auto
RangeText(Value aMin, Value aMax) -> std::string
{
  auto text = std::ostringstream{};
  text << "must be from " << aMin << " to " << aMax;
  return text.str();
}

} // namespace

auto
YamlError::ToString() const -> std::string
{
  auto text = this->source;
  if (this->line > 0) {
    text += ":" + std::to_string(this->line);
  }
  if (!this->key.empty()) {
    text += ": " + this->key;
  }
  if (!this->value.empty()) {
    text += ": '" + this->value + "'";
  }
  return text + ": " + this->rule;
}

auto
ParseYaml(const std::string& aSource,
          const std::string& aText,
          const YamlLimits& aLimits,
          std::vector<YamlError>& aErrors) -> std::optional<YAML::Node>
{
  if (aText.size() > aLimits.maxBytes) {
    aErrors.push_back(
      { aSource,
        0,
        "",
        std::to_string(aText.size()) + " bytes",
        "at most " + std::to_string(aLimits.maxBytes) + " bytes are allowed" });
    return std::nullopt;
  }
  try {
    auto stream = std::istringstream{ aText };
    auto parser = YAML::Parser{ stream };
    auto checker = LimitChecker{ aLimits };
    while (parser.HandleNextDocument(checker)) {
    }
    auto node = YAML::Load(aText);
    if (node.IsMap()) {
      return node;
    }
    aErrors.push_back({ aSource, 0, "", "", "must be a mapping of keys" });
  } catch (const LimitExceeded& excess) {
    aErrors.push_back({ aSource, excess.line, "", "", excess.rule });
  } catch (const YAML::Exception& error) {
    aErrors.push_back({ aSource, error.mark.line + 1, "", "", error.msg });
  }
  return std::nullopt;
}

YamlMap::YamlMap(std::string aSource,
                 const YAML::Node& aNode,
                 std::vector<YamlError>& aErrors)
  : source(std::move(aSource))
  , node(aNode)
  , errors(&aErrors)
{
  auto seen = std::set<std::string>{};
  for (const auto& entry : this->node) {
    if (!entry.first.IsScalar()) {
      this->ReportErrorAt(entry.first, "", "keys must be plain words");
    } else if (!seen.insert(entry.first.Scalar()).second) {
      this->ReportErrorAt(entry.first, entry.first.Scalar(), "stands twice");
    }
  }
}

auto
YamlMap::Integer(const char* aKey,
                 std::int64_t aDefault,
                 std::int64_t aMin,
                 std::int64_t aMax) -> std::int64_t
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    return aDefault;
  }
  const auto value = found.IsScalar()
                       ? ParseNumber<std::int64_t>(found.Scalar())
                       : std::optional<std::int64_t>{};
  if (!value || *value < aMin || *value > aMax) {
    this->ReportErrorAt(
      found, aKey, "an integer that " + RangeText(aMin, aMax));
    return aDefault;
  }
  return *value;
}

auto
YamlMap::Number(const char* aKey, double aDefault, double aMin, double aMax)
  -> double
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    return aDefault;
  }
  const auto value = found.IsScalar() ? ParseNumber<double>(found.Scalar())
                                      : std::optional<double>{};
  if (!value || !(*value >= aMin && *value <= aMax)) {
    this->ReportErrorAt(found, aKey, "a number that " + RangeText(aMin, aMax));
    return aDefault;
  }
  return *value;
}

auto
YamlMap::Boolean(const char* aKey, bool aDefault) -> bool
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    return aDefault;
  }
  const auto text = found.IsScalar() ? found.Scalar() : std::string{};
  if (text != "true" && text != "false") {
    this->ReportErrorAt(found, aKey, "must be true or false");
    return aDefault;
  }
  return text == "true";
}

auto
YamlMap::String(const char* aKey, const std::string& aDefault) -> std::string
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    return aDefault;
  }
  if (!found.IsScalar()) {
    this->ReportErrorAt(found, aKey, "must be one text");
    return aDefault;
  }
  return found.Scalar();
}

auto
YamlMap::Name(const char* aKey) -> std::string
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    this->ReportError(aKey, "is required");
    return {};
  }
  if (!found.IsScalar() || !IsValidName(found.Scalar())) {
    this->ReportErrorAt(
      found, aKey, "must be 1 to 63 of a-z, 0-9 and '-', not first a '-'");
    return {};
  }
  return found.Scalar();
}

auto
YamlMap::Duration(const char* aKey, Millis aDefault, Millis aMin, Millis aMax)
  -> Millis
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    return aDefault;
  }
  const auto value =
    found.IsScalar() ? ParseDuration(found.Scalar()) : std::optional<Millis>{};
  if (!value || *value < aMin || *value > aMax) {
    this->ReportErrorAt(found,
                        aKey,
                        "a duration such as 250ms, 5s, 10m or 2h that " +
                          RangeText(aMin.count(), aMax.count()) + " ms");
    return aDefault;
  }
  return *value;
}

auto
YamlMap::Strings(const char* aKey) -> std::vector<std::string>
{
  const auto found = this->Find(aKey);
  auto values = std::vector<std::string>{};
  if (!found.IsDefined()) {
    return values;
  }
  if (!found.IsSequence()) {
    this->ReportErrorAt(found, aKey, "must be a list");
    return values;
  }
  for (const auto& item : found) {
    if (item.IsScalar()) {
      values.push_back(item.Scalar());
    } else {
      this->ReportErrorAt(item, aKey, "must be a list of plain texts");
    }
  }
  return values;
}

auto
YamlMap::Maps(const char* aKey) -> std::vector<YamlMap>
{
  const auto found = this->Find(aKey);
  auto maps = std::vector<YamlMap>{};
  if (!found.IsDefined()) {
    return maps;
  }
  if (!found.IsSequence()) {
    this->ReportErrorAt(found, aKey, "must be a list");
    return maps;
  }
  for (const auto& item : found) {
    if (item.IsMap()) {
      maps.emplace_back(this->source, item, *this->errors);
    } else {
      this->ReportErrorAt(item, aKey, "must be a list of mappings");
    }
  }
  return maps;
}

auto
YamlMap::Map(const char* aKey) -> std::optional<YamlMap>
{
  const auto found = this->Find(aKey);
  if (!found.IsDefined()) {
    return std::nullopt;
  }
  if (!found.IsMap()) {
    this->ReportErrorAt(found, aKey, "must be a mapping of keys");
    return std::nullopt;
  }
  return YamlMap{ this->source, found, *this->errors };
}

auto
YamlMap::Has(const char* aKey) const -> bool
{
  const auto& constNode = this->node;
  return constNode[aKey].IsDefined();
}

auto
YamlMap::ReportError(const char* aKey, const std::string& aRule) -> void
{
  const auto& constNode = this->node;
  const auto found = constNode[aKey];
  this->ReportErrorAt(found.IsDefined() ? found : this->node, aKey, aRule);
}

auto
YamlMap::ReportUnknownKeys() -> void
{
  for (const auto& entry : this->node) {
    if (entry.first.IsScalar() &&
        !this->requestedKeys.contains(entry.first.Scalar())) {
      this->ReportErrorAt(
        entry.first, entry.first.Scalar(), "is not a known key");
    }
  }
}

auto
YamlMap::Line() const -> int
{
  return this->node.Mark().line + 1;
}

auto
YamlMap::Find(const char* aKey) -> YAML::Node
{
  this->requestedKeys.insert(aKey);
  // Only the constant operator[] leaves the node unchanged if the key is
  // absent.
  const auto& constNode = this->node;
  return constNode[aKey];
}

auto
YamlMap::ReportErrorAt(const YAML::Node& aNode,
                       const std::string& aKey,
                       const std::string& aRule) -> void
{
  const auto value = aNode.IsMap() ? std::string{} : DisplayedValue(aNode);
  this->errors->push_back(
    { this->source, aNode.Mark().line + 1, aKey, value, aRule });
}

} // namespace gooseberry
