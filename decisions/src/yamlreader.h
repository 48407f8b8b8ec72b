#ifndef GOOSEBERRY_YAMLREADER_H
#define GOOSEBERRY_YAMLREADER_H

// Validating reader of YAML. Each error names the location, the value and the
// rule that it violates.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "types.h"

namespace gooseberry {

// One error in a YAML text. Lines count from 1; 0 stands for the text as a
// whole.
struct YamlError
{
  std::string source;
  int line = 0;
  std::string key;
  std::string value;
  std::string rule;

  auto operator==(const YamlError&) const -> bool = default;
  auto ToString() const -> std::string;
};

// Limits on texts: size in bytes, number of values, depth of nesting.
struct YamlLimits
{
  std::size_t maxBytes = std::size_t{ 1 } << 18U;
  std::size_t maxNodes = 100000;
  std::size_t maxDepth = 16;
};

// Checks a text against the limits, then parses it; the top level must be a
// mapping. Aliases are refused, because a small text with aliases can expand to
// an enormous tree. On an error returns nullopt and appends it to aErrors.
auto
ParseYaml(const std::string& aSource,
          const std::string& aText,
          const YamlLimits& aLimits,
          std::vector<YamlError>& aErrors) -> std::optional<YAML::Node>;

// Reads the keys of one mapping. An invalid value is reported once, and the
// default is returned for it. ReportUnknownKeys() reports the keys that were
// not read before.
class YamlMap
{
public:
  YamlMap(std::string aSource,
          const YAML::Node& aNode,
          std::vector<YamlError>& aErrors);

  auto Integer(const char* aKey,
               std::int64_t aDefault,
               std::int64_t aMin,
               std::int64_t aMax) -> std::int64_t;
  auto Number(const char* aKey, double aDefault, double aMin, double aMax)
    -> double;
  auto Boolean(const char* aKey, bool aDefault) -> bool;
  auto String(const char* aKey, const std::string& aDefault) -> std::string;
  // A required string that matches [a-z0-9][a-z0-9-]* with at most 63
  // characters; empty if it is missing or invalid.
  auto Name(const char* aKey) -> std::string;
  // An integer followed by ms, s, m or h, without a blank.
  auto Duration(const char* aKey, Millis aDefault, Millis aMin, Millis aMax)
    -> Millis;
  // A sequence of strings; empty if the key is absent.
  auto Strings(const char* aKey) -> std::vector<std::string>;
  // The mappings in a sequence; empty if the key is absent.
  auto Maps(const char* aKey) -> std::vector<YamlMap>;
  // A nested mapping; nullopt if the key is absent or no mapping.
  auto Map(const char* aKey) -> std::optional<YamlMap>;
  auto Has(const char* aKey) const -> bool;

  // Adds an error about the value of the key, or about the mapping if it lacks
  // the key.
  auto ReportError(const char* aKey, const std::string& aRule) -> void;
  auto ReportUnknownKeys() -> void;
  // Line of the mapping in the text, counted from 1.
  auto Line() const -> int;

private:
  auto Find(const char* aKey) -> YAML::Node;
  auto ReportErrorAt(const YAML::Node& aNode,
                     const std::string& aKey,
                     const std::string& aRule) -> void;

  std::string source;
  YAML::Node node;
  std::vector<YamlError>* errors;
  std::set<std::string> requestedKeys;
};

} // namespace gooseberry

#endif
