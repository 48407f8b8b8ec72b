#ifndef GOOSEBERRY_DOCUMENT_H
#define GOOSEBERRY_DOCUMENT_H

// The operators' document: sections that different teams own, checked and
// merged into one immutable value that governs the whole fleet.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"
#include "yamlreader.h"

namespace gooseberry {

// The section that site operators own; only it may declare failure domains.
inline constexpr const char* kSiteSection = "site";

struct DomainSpec
{
  DomainId id;
  bool out = false;

  auto operator==(const DomainSpec&) const -> bool = default;
};

// A group of callers; a lower rank is served first under load.
struct CallerClass
{
  std::string name;
  int rank = 0;

  auto operator==(const CallerClass&) const -> bool = default;
};

struct ServiceSpec
{
  ServiceId id;
  TeamId team;
  std::vector<DomainId> domains;
  Millis deadline{ 5000 };
  int slots = 8;
  int connections = 60;
  int maxQueue = 256;
  bool claims = false;
  bool retries = true;
  std::vector<std::string> notRepeatable;
  std::vector<CallerClass> callers;
  Millis promisedAnswer{ 0 };
  double promisedQuantile = 0.99;

  auto operator==(const ServiceSpec&) const -> bool = default;
};

enum class TaskKind
{
  Batch,
  Watcher,
  Service,
  TaskKind_NB
};

// A class of tasks: batch work is submitted, watchers and services are kept
// running in the declared number.
struct ClassSpec
{
  ClassId id;
  TeamId team;
  TaskKind kind = TaskKind::Batch;
  Resources size;
  Millis runTime{ 1000 };
  int priority = 0;
  bool urgent = false;
  bool checkpoints = false;
  // Once it may have finished, it is never started again by itself.
  bool atMostOnce = false;
  int replicas = 0;
  std::vector<DomainId> domains;

  auto operator==(const ClassSpec&) const -> bool = default;
  auto Allows(const DomainId& aDomain) const -> bool;
};

struct TeamSpec
{
  TeamId id;
  std::optional<Resources> quota;

  auto operator==(const TeamSpec&) const -> bool = default;
};

struct Document
{
  // Grows by one with every accepted edit; 0 is the empty document.
  std::uint64_t number = 0;
  Millis outageAllowance{ 30000 };
  std::vector<DomainSpec> domains;
  std::vector<TeamSpec> teams;
  std::vector<ServiceSpec> services;
  std::vector<ClassSpec> classes;

  auto operator==(const Document&) const -> bool = default;
  auto FindDomain(const DomainId& aId) const -> const DomainSpec*;
  auto FindClass(const ClassId& aId) const -> const ClassSpec*;
  auto FindTeam(const TeamId& aId) const -> const TeamSpec*;
  // Whether work may start there: declared and not taken out.
  auto IsOpen(const DomainId& aId) const -> bool;
};

// Text of one section with the version that the store gave it.
struct Section
{
  std::string name;
  std::uint64_t version = 0;
  std::string text;

  auto operator==(const Section&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Section, name, version, text)

using Sections = std::map<std::string, Section>;

// Checks all sections together and merges them. On any fault nothing is
// returned and each fault is in aErrors.
auto
BuildDocument(std::uint64_t aNumber,
              const Sections& aSections,
              std::vector<YamlError>& aErrors) -> std::optional<Document>;

// The site section's text with one domain's state replaced; nullopt with the
// reason in aReason if the section does not declare the domain.
auto
WithDomainState(const std::string& aSiteText,
                const DomainId& aDomain,
                bool aOut,
                std::string& aReason) -> std::optional<std::string>;

} // namespace gooseberry

#endif
