#ifndef GOOSEBERRY_CONFIGCHECK_H
#define GOOSEBERRY_CONFIGCHECK_H

// Checks a site configuration before operators write it to the store: entries
// that are wrong, entries that no request or job can ever reach, and limits
// that contradict each other; and lists what differs from another version.

#include <string>
#include <vector>

#include "commands.h"
#include "site.h"

namespace gooseberry {

enum class FindingKind
{
  Error,       // instances reject the version, or jobs can't run as it says
  Unreachable, // nothing ever matches the entry
  Conflict,    // two settings contradict each other
  FindingKind_NB
};

auto
ToText(FindingKind aKind) -> const char*;

struct ConfigFinding
{
  FindingKind kind = FindingKind::Error;
  // Entry and field, such as "queue r-1: service".
  std::string place;
  std::string text;

  auto operator==(const ConfigFinding&) const -> bool = default;
};

auto
CheckSiteConfig(const cells::SiteConfig& aConfig) -> std::vector<ConfigFinding>;

// What a change to aNext would meet while aInForce is in force: instances
// ignore a version that is not higher.
auto
CheckSuccession(const cells::SiteConfig& aInForce,
                const cells::SiteConfig& aNext) -> std::vector<ConfigFinding>;

// One line for each entry or field that differs: "+" added, "-" removed, "~"
// changed. Keys of accounts are counted, not shown.
auto
CompareSiteConfigs(const cells::SiteConfig& aInForce,
                   const cells::SiteConfig& aNext) -> std::vector<std::string>;

// Implements: gooseberryctl check FILE [--against FILE]. Rejected if there is
// any finding.
auto
RunConfigCheck(const std::string& aFile, const std::string& aAgainst)
  -> ExitCode;

} // namespace gooseberry

#endif
