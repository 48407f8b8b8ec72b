#include "sectiontokens.h"

#include <openssl/crypto.h>

#include "readfile.h"

namespace gooseberry {

namespace {

constexpr std::size_t kMinTokenBytes = 16;

// The time that it takes depends only on the length of the stored token.
auto
ConstantTimeEqual(const std::string& aStored, const std::string& aGiven) -> bool
{
  auto padded = aGiven;
  padded.resize(aStored.size(), '\0');
  const auto same =
    CRYPTO_memcmp(aStored.data(), padded.data(), aStored.size()) == 0;
  return same && aStored.size() == aGiven.size();
}

} // namespace

SectionTokens::SectionTokens(std::string aPath)
  : path(std::move(aPath))
{
}

auto
SectionTokens::Reload(std::vector<YamlError>& aErrors) -> bool
{
  if (this->path.empty()) {
    return true;
  }
  const auto text = ReadFile(this->path);
  if (!text) {
    aErrors.push_back({ this->path, 0, "", "", "cannot be read" });
    return false;
  }
  const auto node = ParseYaml(this->path, *text, {}, aErrors);
  if (!node) {
    return false;
  }
  auto newTokens = std::map<std::string, std::string>{};
  for (const auto& entry : *node) {
    const auto isValid = entry.first.IsScalar() && entry.second.IsScalar() &&
                         entry.second.Scalar().size() >= kMinTokenBytes;
    if (!isValid) {
      // The error leaves out the value: it may be a token.
      aErrors.push_back(
        { this->path,
          entry.first.Mark().line + 1,
          entry.first.IsScalar() ? entry.first.Scalar() : "",
          "",
          "must be a section with a token of 16 bytes or more" });
      return false;
    }
    newTokens[entry.first.Scalar()] = entry.second.Scalar();
  }
  const auto lock = std::lock_guard{ this->mutex };
  this->tokensBySection = std::move(newTokens);
  return true;
}

auto
SectionTokens::IsConfigured() const -> bool
{
  return !this->path.empty();
}

auto
SectionTokens::FindSection(const std::string& aToken) const
  -> std::optional<std::string>
{
  auto found = std::optional<std::string>{};
  const auto lock = std::lock_guard{ this->mutex };
  for (const auto& [section, token] : this->tokensBySection) {
    if (ConstantTimeEqual(token, aToken)) {
      found = section;
    }
  }
  return found;
}

} // namespace gooseberry
