#include "benchoptions.h"

#include <algorithm>
#include <iostream>

namespace gooseberry {

auto
BenchOptions::Read(const std::vector<std::string>& aWords,
                   const std::vector<std::string>& aKnown) -> bool
{
  for (auto index = std::size_t{ 0 }; index < aWords.size(); index += 2) {
    const auto& word = aWords[index];
    const auto name = word.starts_with("--") ? word.substr(2) : std::string{};
    const auto known =
      std::find(aKnown.begin(), aKnown.end(), name) != aKnown.end();
    if (!known || index + 1 >= aWords.size()) {
      std::cerr << "gooseberryctl: bench: '" << word
                << "' is not an option with a value\n";
      return false;
    }
    this->values[name] = aWords[index + 1];
  }
  return true;
}

auto
BenchOptions::Number(const std::string& aName, std::uint64_t aDefault) const
  -> std::uint64_t
{
  const auto found = this->values.find(aName);
  if (found == this->values.end()) {
    return aDefault;
  }
  return std::strtoull(found->second.c_str(), nullptr, 10);
}

auto
BenchOptions::Text(const std::string& aName, const std::string& aDefault) const
  -> std::string
{
  const auto found = this->values.find(aName);
  return found == this->values.end() ? aDefault : found->second;
}

} // namespace gooseberry
