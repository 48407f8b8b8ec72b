#ifndef GOOSEBERRY_SECTIONTOKENS_H
#define GOOSEBERRY_SECTIONTOKENS_H

// Bearer tokens of the section owners, read from a YAML file that maps each
// section to its token. The file may be replaced while the instance runs.

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "yamlreader.h"

namespace gooseberry {

class SectionTokens
{
public:
  // An empty path: no tokens are configured.
  explicit SectionTokens(std::string aPath);

  // Reads the file again. On an error, returns false with the reasons in
  // aErrors and keeps the old tokens.
  auto Reload(std::vector<YamlError>& aErrors) -> bool;
  auto IsConfigured() const -> bool;
  // The section that the token belongs to, if any. It is compared to every
  // stored token, each in constant time, so that the time does not tell which
  // one it matches.
  auto FindSection(const std::string& aToken) const
    -> std::optional<std::string>;

private:
  const std::string path;
  mutable std::mutex mutex;
  std::map<std::string, std::string> tokensBySection;
};

} // namespace gooseberry

#endif
