#ifndef GOOSEBERRY_TOKENS_H
#define GOOSEBERRY_TOKENS_H

// Bearer tokens of the section owners, from a file that may be replaced while
// the instance runs.

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "yamlreader.h"

namespace gooseberry {

class Tokens
{
public:
  // An empty path means that there are none.
  explicit Tokens(std::string aPath);

  // Reads the file again; on any fault the old tokens stay.
  auto Reload(std::vector<YamlError>& aErrors) -> bool;
  auto Configured() const -> bool;
  // The section whose owner holds the token. Every stored token is compared,
  // each in constant time.
  auto OwnerOf(const std::string& aToken) const -> std::optional<std::string>;

private:
  const std::string path;
  mutable std::mutex mutex;
  std::map<std::string, std::string> bySection;
};

} // namespace gooseberry

#endif
