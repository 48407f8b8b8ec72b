#include "configcheck.h"

#include <array>
#include <iostream>
#include <iterator>
#include <sstream>

#include "readfile.h"
#include "siteconfignames.h"
#include "siterows.h"

namespace gooseberry {

namespace {

namespace member = wire::member;
using cells::Account;
using cells::CallerLimits;
using cells::Queue;
using cells::Service;
using cells::SiteConfig;
using Findings = std::vector<ConfigFinding>;

// The smallest request that instances accept in practice: a request line and
// the fields Host, Content-Type, Content-Length and Credential, and a job of
// one step.
constexpr std::size_t kMinUsefulHeaderBytes = 512;
constexpr std::size_t kMinUsefulBodyBytes = 64;

constexpr std::int64_t kMillisPerCore = 1000;

auto
QueuePlace(const Queue& aQueue, const char* aField) -> std::string
{
  return "queue " + aQueue.id.text + ": " + aField;
}

auto
CheckQueue(const SiteConfig& aConfig, const Queue& aQueue, Findings& aFindings)
  -> void
{
  const auto report =
    [&](FindingKind aKind, const char* aField, std::string aText) {
      aFindings.push_back(
        { aKind, QueuePlace(aQueue, aField), std::move(aText) });
    };
  const auto service = aConfig.services.find(aQueue.policy.service);
  if (service == aConfig.services.end()) {
    report(FindingKind::Error,
           member::kService,
           "'" + aQueue.policy.service.text + "' does not exist");
  } else if (service->second.standby) {
    report(FindingKind::Unreachable,
           member::kService,
           "'" + service->first.text +
             "' is on standby: it has no workers, so jobs only wait");
  }
  if (aQueue.policy.maxAttempts == 0) {
    report(
      FindingKind::Conflict, member::kMaxAttempts, "0: no task may ever start");
  }
  if (aQueue.host.empty() || aQueue.host.find(':') != std::string::npos) {
    report(FindingKind::Unreachable,
           member::kHost,
           "'" + aQueue.host +
             "' never matches: the host of a request is compared without port");
  }
  if (!aQueue.pathPrefix.starts_with('/') ||
      aQueue.pathPrefix.find('?') != std::string::npos) {
    report(FindingKind::Unreachable,
           member::kPrefix,
           "'" + aQueue.pathPrefix +
             "' never matches: a path begins with '/' and has no query");
  }
}

// Instances use the first of several queues with the same host and prefix.
auto
CheckDuplicateQueues(const SiteConfig& aConfig, Findings& aFindings) -> void
{
  auto names = std::set<cells::QueueId>{};
  auto paths = std::map<std::pair<std::string, std::string>, const Queue*>{};
  for (const auto& queue : aConfig.queues) {
    if (!names.insert(queue.id).second) {
      aFindings.push_back({ FindingKind::Error,
                            QueuePlace(queue, member::kName),
                            "another queue has the same name" });
    }
    const auto [first, added] =
      paths.try_emplace({ queue.host, queue.pathPrefix }, &queue);
    if (!added) {
      aFindings.push_back(
        { FindingKind::Unreachable,
          QueuePlace(queue, member::kPrefix),
          "queue " + first->second->id.text +
            " has the same host and prefix and comes first" });
    }
  }
}

auto
CheckServices(const SiteConfig& aConfig, Findings& aFindings) -> void
{
  for (const auto& [id, service] : aConfig.services) {
    const auto used = std::any_of(aConfig.queues.begin(),
                                  aConfig.queues.end(),
                                  [&name = id](const Queue& aQueue) {
                                    return aQueue.policy.service == name;
                                  });
    if (!used && !service.standby) {
      aFindings.push_back({ FindingKind::Unreachable,
                            "service " + id.text,
                            "no queue sends jobs to it" });
    }
    if (service.maxConnections == 0) {
      aFindings.push_back({ FindingKind::Conflict,
                            "service " + id.text + ": " + member::kMaxConns,
                            "0: no worker can be called" });
    }
  }
}

auto
CheckAccounts(const SiteConfig& aConfig, Findings& aFindings) -> void
{
  auto owners = std::map<std::string, AccountId>{};
  const auto keyed =
    std::any_of(aConfig.queues.begin(),
                aConfig.queues.end(),
                [](const Queue& aQueue) { return !aQueue.isPublic; });
  for (const auto& [id, account] : aConfig.accounts) {
    const auto place = "account " + id.text;
    for (const auto& key : account.keys) {
      const auto [owner, added] = owners.try_emplace(key, id);
      if (!added) {
        aFindings.push_back(
          { FindingKind::Error,
            place + ": " + member::kApiKeys,
            "a key also belongs to account " + owner->second.text });
      }
    }
    if (!keyed) {
      aFindings.push_back({ FindingKind::Unreachable,
                            place,
                            "all queues are public, so no key is read" });
    }
    if (account.limit.cpuMillis > 0 &&
        account.limit.cpuMillis < kMillisPerCore) {
      aFindings.push_back({ FindingKind::Conflict,
                            place + ": " + member::kMaxCountCpu,
                            std::to_string(account.limit.cpuMillis) +
                              " thousandths of a core: tasks of one core or "
                              "more never start" });
    }
  }
}

auto
CheckLimits(const CallerLimits& aLimits, Findings& aFindings) -> void
{
  const auto report = [&](const char* aField, const std::string& aText) {
    aFindings.push_back({ FindingKind::Conflict,
                          std::string{ member::kLimits } + ": " + aField,
                          aText });
  };
  if (aLimits.maxHeaderBytes < kMinUsefulHeaderBytes) {
    report(member::kMaxHeaderBytes,
           std::to_string(aLimits.maxHeaderBytes) +
             ": ordinary requests do not fit, expected " +
             std::to_string(kMinUsefulHeaderBytes) + " or more");
  }
  if (aLimits.maxBodyBytes < kMinUsefulBodyBytes) {
    report(member::kMaxBodyBytes,
           std::to_string(aLimits.maxBodyBytes) + ": no job fits, expected " +
             std::to_string(kMinUsefulBodyBytes) + " or more");
  }
  if (aLimits.headerTimeout.count() == 0) {
    report(member::kHeaderTimeoutMs, "0: every request times out");
  }
  if (aLimits.idleTimeout < aLimits.headerTimeout) {
    report(member::kIdleTimeoutMs,
           std::to_string(aLimits.idleTimeout.count()) + " ms is less than " +
             member::kHeaderTimeoutMs + ", " +
             std::to_string(aLimits.headerTimeout.count()) +
             " ms: a body gets less time than its header");
  }
}

// A field of an entry, as it is shown where it differs.
template<class Entry>
struct Field
{
  const char* name;
  std::string (*text)(const Entry&);
};

auto
MillisText(Millis aTime) -> std::string
{
  return std::to_string(aTime.count()) + " ms";
}

auto
NumberText(double aNumber) -> std::string
{
  auto text = std::ostringstream{};
  text << aNumber;
  return text.str();
}

constexpr std::array<Field<Queue>, 10> kQueueFields{ {
  { member::kHost, [](const Queue& aQueue) { return aQueue.host; } },
  { member::kPrefix, [](const Queue& aQueue) { return aQueue.pathPrefix; } },
  { member::kService,
    [](const Queue& aQueue) { return aQueue.policy.service.text; } },
  { member::kPriority,
    [](const Queue& aQueue) {
      return std::to_string(aQueue.policy.priority);
    } },
  { member::kMaxAttempts,
    [](const Queue& aQueue) {
      return std::to_string(aQueue.policy.maxAttempts);
    } },
  { member::kSlackFactor,
    [](const Queue& aQueue) { return NumberText(aQueue.policy.slackFactor); } },
  { member::kTargetLatencyMs,
    [](const Queue& aQueue) {
      return MillisText(aQueue.policy.targetLatency);
    } },
  { member::kTimeoutMs,
    [](const Queue& aQueue) { return MillisText(aQueue.timeout); } },
  { member::kAdvice,
    [](const Queue& aQueue) {
      const auto& times = aQueue.policy.adviceTimes;
      return aQueue.policy.requiresAdvice
               ? MillisText(times.decide) + " and " + MillisText(times.each) +
                   " for each worker, valid for " + MillisText(times.valid)
               : std::string{ "no" };
    } },
  { member::kPublic,
    [](const Queue& aQueue) {
      return std::string{ aQueue.isPublic ? "yes" : "no" };
    } },
} };

constexpr std::array<Field<Service>, 4> kServiceFields{ {
  { member::kHealthPath,
    [](const Service& aService) { return aService.healthPath; } },
  { member::kEnforcesCapacity,
    [](const Service& aService) {
      return std::string{ aService.enforcesCapacity ? "yes" : "no" };
    } },
  { member::kMaxConns,
    [](const Service& aService) {
      return std::to_string(aService.maxConnections);
    } },
  { member::kStandby,
    [](const Service& aService) {
      return std::string{ aService.standby ? "yes" : "no" };
    } },
} };

constexpr std::array<Field<Account>, 4> kAccountFields{ {
  { member::kWeight,
    [](const Account& aAccount) { return NumberText(aAccount.weight); } },
  { member::kMaxCountCpu,
    [](const Account& aAccount) {
      return std::to_string(aAccount.limit.cpuMillis);
    } },
  { member::kMaxCountMemMb,
    [](const Account& aAccount) {
      return std::to_string(aAccount.limit.memoryMb);
    } },
  { member::kMaxCountGpu,
    [](const Account& aAccount) {
      return std::to_string(aAccount.limit.accelerators);
    } },
} };

constexpr std::array<Field<CallerLimits>, 4> kLimitFields{ {
  { member::kMaxHeaderBytes,
    [](const CallerLimits& aLimits) {
      return std::to_string(aLimits.maxHeaderBytes);
    } },
  { member::kMaxBodyBytes,
    [](const CallerLimits& aLimits) {
      return std::to_string(aLimits.maxBodyBytes);
    } },
  { member::kHeaderTimeoutMs,
    [](const CallerLimits& aLimits) {
      return MillisText(aLimits.headerTimeout);
    } },
  { member::kIdleTimeoutMs,
    [](const CallerLimits& aLimits) {
      return MillisText(aLimits.idleTimeout);
    } },
} };

template<class Entry, std::size_t Count>
auto
AddFieldDifferences(const std::string& aPlace,
                    const std::array<Field<Entry>, Count>& aFields,
                    const Entry& aOld,
                    const Entry& aNew,
                    std::vector<std::string>& aLines) -> void
{
  for (const auto& field : aFields) {
    const auto before = field.text(aOld);
    const auto after = field.text(aNew);
    if (before != after) {
      auto line = "~ " + aPlace + ": ";
      line.append(field.name).append(" ").append(before);
      line.append(" -> ").append(after);
      aLines.push_back(std::move(line));
    }
  }
}

template<class Entry, std::size_t Count>
auto
AddEntryDifferences(const std::string& aKind,
                    const std::array<Field<Entry>, Count>& aFields,
                    const std::map<std::string, const Entry*>& aOld,
                    const std::map<std::string, const Entry*>& aNew,
                    std::vector<std::string>& aLines) -> void
{
  const auto place = [&aKind](const std::string& aName) {
    return std::string{ aKind }.append(" ").append(aName);
  };
  for (const auto& [name, entry] : aOld) {
    if (!aNew.contains(name)) {
      aLines.push_back("- " + place(name));
    }
  }
  for (const auto& [name, entry] : aNew) {
    if (const auto before = aOld.find(name); before == aOld.end()) {
      aLines.push_back("+ " + place(name));
    } else {
      AddFieldDifferences(
        place(name), aFields, *before->second, *entry, aLines);
    }
  }
}

auto
AddKeyDifferences(const SiteConfig& aInForce,
                  const SiteConfig& aNext,
                  std::vector<std::string>& aLines) -> void
{
  for (const auto& [id, account] : aNext.accounts) {
    const auto before = aInForce.accounts.find(id);
    if (before == aInForce.accounts.end()) {
      continue;
    }
    const auto& oldKeys = before->second.keys;
    const auto kept = std::count_if(
      account.keys.begin(), account.keys.end(), [&](const std::string& aKey) {
        return oldKeys.contains(aKey);
      });
    const auto added = static_cast<std::ptrdiff_t>(account.keys.size()) - kept;
    const auto removed = static_cast<std::ptrdiff_t>(oldKeys.size()) - kept;
    if (added > 0 || removed > 0) {
      aLines.push_back("~ account " + id.text + ": " + std::to_string(added) +
                       " keys added, " + std::to_string(removed) + " removed");
    }
  }
}

auto
QueuesByName(const SiteConfig& aConfig) -> std::map<std::string, const Queue*>
{
  auto queues = std::map<std::string, const Queue*>{};
  for (const auto& queue : aConfig.queues) {
    queues.emplace(queue.id.text, &queue);
  }
  return queues;
}

template<class Key, class Entry>
auto
EntriesByName(const std::map<Key, Entry>& aEntries)
  -> std::map<std::string, const Entry*>
{
  auto byName = std::map<std::string, const Entry*>{};
  for (const auto& [id, entry] : aEntries) {
    byName.emplace(id.text, &entry);
  }
  return byName;
}

auto
LoadSiteConfig(const std::string& aFile) -> std::optional<SiteConfig>
{
  const auto text = ReadFile(aFile);
  if (!text) {
    std::cerr << "gooseberryctl: cannot read " << aFile << '\n';
    return std::nullopt;
  }
  auto reason = std::string{};
  auto config = wire::ParseSiteConfig(*text, reason);
  if (!config) {
    std::cout << ToText(FindingKind::Error) << "  " << aFile << ": " << reason
              << '\n';
  }
  return config;
}

} // namespace

auto
ToText(FindingKind aKind) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<std::size_t>(FindingKind::FindingKind_NB)>
    kNames{ "error", "unreachable", "conflict" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

auto
CheckSiteConfig(const SiteConfig& aConfig) -> std::vector<ConfigFinding>
{
  auto findings = Findings{};
  for (const auto& queue : aConfig.queues) {
    CheckQueue(aConfig, queue, findings);
  }
  CheckDuplicateQueues(aConfig, findings);
  CheckServices(aConfig, findings);
  CheckAccounts(aConfig, findings);
  CheckLimits(aConfig.limits, findings);
  return findings;
}

auto
CheckSuccession(const SiteConfig& aInForce, const SiteConfig& aNext)
  -> std::vector<ConfigFinding>
{
  if (aNext.version > aInForce.version) {
    return {};
  }
  return { { FindingKind::Error,
             member::kVersion,
             std::to_string(aNext.version) +
               " is not higher than the version in force, " +
               std::to_string(aInForce.version) +
               ": instances would ignore it" } };
}

auto
CompareSiteConfigs(const SiteConfig& aInForce, const SiteConfig& aNext)
  -> std::vector<std::string>
{
  auto lines = std::vector<std::string>{};
  AddEntryDifferences(
    "queue", kQueueFields, QueuesByName(aInForce), QueuesByName(aNext), lines);
  AddEntryDifferences("service",
                      kServiceFields,
                      EntriesByName(aInForce.services),
                      EntriesByName(aNext.services),
                      lines);
  AddEntryDifferences("account",
                      kAccountFields,
                      EntriesByName(aInForce.accounts),
                      EntriesByName(aNext.accounts),
                      lines);
  AddKeyDifferences(aInForce, aNext, lines);
  AddFieldDifferences(
    member::kLimits, kLimitFields, aInForce.limits, aNext.limits, lines);
  return lines;
}

auto
RunConfigCheck(const std::string& aFile, const std::string& aAgainst)
  -> ExitCode
{
  const auto config = LoadSiteConfig(aFile);
  if (!config) {
    return ExitCode::Rejected;
  }
  auto findings = CheckSiteConfig(*config);
  if (!aAgainst.empty()) {
    const auto inForce = LoadSiteConfig(aAgainst);
    if (!inForce) {
      return ExitCode::Failure;
    }
    const auto succession = CheckSuccession(*inForce, *config);
    findings.insert(findings.end(), succession.begin(), succession.end());
    for (const auto& line : CompareSiteConfigs(*inForce, *config)) {
      std::cout << line << '\n';
    }
  }
  for (const auto& finding : findings) {
    std::cout << ToText(finding.kind) << "  " << finding.place << ": "
              << finding.text << '\n';
  }
  return findings.empty() ? ExitCode::Ok : ExitCode::Rejected;
}

} // namespace gooseberry
