#include "document.h"

#include <algorithm>
#include <set>

namespace gooseberry {

namespace {

constexpr std::int64_t kMaxCpuMillis = 1024000;
constexpr std::int64_t kMaxMemoryMb = std::int64_t{ 16 } << 20U;
constexpr std::int64_t kMaxAccelerators = 64;
constexpr int kMaxReplicas = 10000;
constexpr Millis kMaxRunTime{ 604800000 };
constexpr Millis kMaxDeadline{ 600000 };
constexpr Millis kMaxOutageAllowance{ 3600000 };

template<class Spec, class Key>
auto
FindById(const std::vector<Spec>& aSpecs, const Key& aId) -> const Spec*
{
  const auto found =
    std::find_if(aSpecs.begin(), aSpecs.end(), [&](const Spec& aSpec) {
      return aSpec.id == aId;
    });
  return found == aSpecs.end() ? nullptr : &*found;
}

auto
ReadResources(YamlMap& aMap) -> Resources
{
  auto size = Resources{};
  size.cpuMillis = aMap.Integer("cpu_millis", 0, 0, kMaxCpuMillis);
  size.memoryMb = aMap.Integer("memory_mb", 0, 0, kMaxMemoryMb);
  size.accelerators = aMap.Integer("accelerators", 0, 0, kMaxAccelerators);
  return size;
}

// Collects the declarations of all sections and checks references between them.
class DocumentBuilder
{
public:
  DocumentBuilder(Document& aDocument, std::vector<YamlError>& aErrors)
    : document(aDocument)
    , errors(aErrors)
  {
  }

  auto AddDomains(const std::string& aSection, YamlMap& aMap) -> void
  {
    for (auto& entry : aMap.Maps("domains")) {
      auto spec = DomainSpec{ DomainId{ entry.Name("name") }, false };
      const auto state = entry.String("state", "in");
      if (state != "in" && state != "out") {
        entry.ReportError("state", "must be in or out");
      }
      spec.outOfService = state == "out";
      entry.ReportUnknownKeys();
      this->AddUnique(entry, this->document.domains, spec);
    }
    if (aSection != kSiteSection && aMap.Has("domains")) {
      aMap.ReportError("domains",
                       "only the section 'site' declares failure domains");
    }
  }

  auto AddServices(const TeamId& aTeam, YamlMap& aMap) -> void
  {
    for (auto& entry : aMap.Maps("services")) {
      auto spec = ServiceSpec{};
      spec.id.text = entry.Name("name");
      spec.team = aTeam;
      spec.domains = this->ReadDomains(entry);
      spec.deadline =
        entry.Duration("deadline", spec.deadline, Millis{ 1 }, kMaxDeadline);
      spec.slotsPerBackend =
        static_cast<int>(entry.Integer("slots", 8, 1, 1024));
      spec.connectionsPerBackend =
        static_cast<int>(entry.Integer("connections", 60, 1, 10000));
      spec.maxQueue =
        static_cast<int>(entry.Integer("max_queue", 256, 0, 100000));
      spec.requiresClaims = entry.Boolean("claims", false);
      spec.retriesEnabled = entry.Boolean("retries", true);
      spec.nonRepeatablePrefixes = entry.Strings("not_repeatable");
      this->ReadCallerClasses(entry, spec);
      this->ReadLatencyObjective(entry, spec);
      entry.ReportUnknownKeys();
      this->AddUnique(entry, this->document.services, spec);
    }
  }

  auto AddClasses(const TeamId& aTeam,
                  const char* aKey,
                  TaskKind aKind,
                  YamlMap& aMap) -> void
  {
    for (auto& entry : aMap.Maps(aKey)) {
      auto spec = TaskClassSpec{};
      spec.id.text = entry.Name("name");
      spec.team = aTeam;
      spec.kind = aKind;
      spec.size = ReadResources(entry);
      if (spec.size == Resources{}) {
        entry.ReportError("cpu_millis", "a task needs some resource");
      }
      spec.priority = static_cast<int>(entry.Integer("priority", 0, 0, 100));
      spec.urgent = entry.Boolean("urgent", false);
      spec.supportsCheckpoints = entry.Boolean("checkpoints", false);
      spec.atMostOnce = entry.Boolean("at_most_once", false);
      spec.domains = this->ReadDomains(entry);
      if (aKind == TaskKind::Batch) {
        spec.runTime =
          entry.Duration("run_time", spec.runTime, Millis{ 1 }, kMaxRunTime);
      } else {
        spec.replicas =
          static_cast<int>(entry.Integer("replicas", 1, 0, kMaxReplicas));
      }
      entry.ReportUnknownKeys();
      this->AddUnique(entry, this->document.taskClasses, spec);
    }
  }

  // Call after all sections were read, since any of them may name a failure
  // domain before it is declared.
  auto CheckDomainNames() -> void
  {
    for (const auto& reference : this->domainReferences) {
      if (this->document.FindDomain(reference.domain) == nullptr) {
        this->errors.push_back({ reference.source,
                                 reference.line,
                                 "domains",
                                 reference.domain.text,
                                 "is not a failure domain of section 'site'" });
      }
    }
  }

  std::string source;

private:
  struct DomainReference
  {
    std::string source;
    int line;
    DomainId domain;
  };

  template<class Spec>
  auto AddUnique(YamlMap& aEntry, std::vector<Spec>& aSpecs, const Spec& aSpec)
    -> void
  {
    if (aSpec.id.Empty()) {
      return;
    }
    if (FindById(aSpecs, aSpec.id) != nullptr) {
      aEntry.ReportError("name", "is declared twice");
      return;
    }
    aSpecs.push_back(aSpec);
  }

  auto ReadDomains(YamlMap& aEntry) -> std::vector<DomainId>
  {
    auto domains = std::vector<DomainId>{};
    for (const auto& name : aEntry.Strings("domains")) {
      domains.push_back(DomainId{ name });
      this->domainReferences.push_back(
        { this->source, aEntry.Line(), domains.back() });
    }
    return domains;
  }

  static auto ReadCallerClasses(YamlMap& aEntry, ServiceSpec& aSpec) -> void
  {
    for (auto& caller : aEntry.Maps("callers")) {
      auto spec = CallerClass{};
      spec.name = caller.Name("name");
      spec.rank = static_cast<int>(caller.Integer("rank", 0, 0, 9));
      caller.ReportUnknownKeys();
      aSpec.callerClasses.push_back(spec);
    }
  }

  static auto ReadLatencyObjective(YamlMap& aEntry, ServiceSpec& aSpec) -> void
  {
    auto objective = aEntry.Map("promise");
    if (!objective) {
      return;
    }
    aSpec.latencyObjective = objective->Duration(
      "answer_within", Millis{ 0 }, Millis{ 1 }, kMaxDeadline);
    aSpec.latencyObjectiveQuantile =
      objective->Number("quantile", 0.99, 0.5, 0.9999);
    objective->ReportUnknownKeys();
  }

  Document& document;
  std::vector<YamlError>& errors;
  std::vector<DomainReference> domainReferences;
};

auto
ReadSection(DocumentBuilder& aBuilder,
            Document& aDocument,
            const std::string& aName,
            YamlMap& aMap) -> void
{
  auto team = TeamSpec{ TeamId{ aName }, std::nullopt };
  if (auto quota = aMap.Map("quota")) {
    team.quota = ReadResources(*quota);
    quota->ReportUnknownKeys();
  }
  aDocument.teams.push_back(team);
  if (aName == kSiteSection) {
    aDocument.storeOutageAllowance =
      aMap.Duration("outage_allowance",
                    aDocument.storeOutageAllowance,
                    Millis{ 0 },
                    kMaxOutageAllowance);
  }
  aBuilder.AddDomains(aName, aMap);
  aBuilder.AddServices(team.id, aMap);
  aBuilder.AddClasses(team.id, "batch", TaskKind::Batch, aMap);
  aBuilder.AddClasses(team.id, "watchers", TaskKind::Watcher, aMap);
  aBuilder.AddClasses(team.id, "replicas", TaskKind::Service, aMap);
  aMap.ReportUnknownKeys();
}

// Replaces one failure domain's state within the text, which keeps the
// operators' comments and layout.
auto
ReplaceDomainState(const std::string& aText,
                   const YAML::Node& aDomain,
                   const std::string& aState) -> std::string
{
  auto text = aText;
  const auto state = aDomain["state"];
  if (state.IsDefined()) {
    const auto start = static_cast<std::size_t>(state.Mark().pos);
    const auto quoted = text[start] == '"' || text[start] == '\'';
    return text.replace(
      start, state.Scalar().size() + (quoted ? 2 : 0), aState);
  }
  const auto name = aDomain["name"];
  const auto start = static_cast<std::size_t>(name.Mark().pos);
  const auto quoted = text[start] == '"' || text[start] == '\'';
  const auto end = start + name.Scalar().size() + (quoted ? 2 : 0);
  if (aDomain.Style() == YAML::EmitterStyle::Flow) {
    return text.insert(end, ", state: " + aState);
  }
  const auto indent = std::string(
    static_cast<std::size_t>(aDomain.begin()->first.Mark().column), ' ');
  return text.insert(end, "\n" + indent + "state: " + aState);
}

} // namespace

auto
TaskClassSpec::AllowsDomain(const DomainId& aDomain) const -> bool
{
  return this->domains.empty() ||
         std::find(this->domains.begin(), this->domains.end(), aDomain) !=
           this->domains.end();
}

auto
Document::FindDomain(const DomainId& aId) const -> const DomainSpec*
{
  return FindById(this->domains, aId);
}

auto
Document::FindClass(const ClassId& aId) const -> const TaskClassSpec*
{
  return FindById(this->taskClasses, aId);
}

auto
Document::FindTeam(const TeamId& aId) const -> const TeamSpec*
{
  return FindById(this->teams, aId);
}

auto
Document::IsInService(const DomainId& aId) const -> bool
{
  const auto* domain = this->FindDomain(aId);
  return domain != nullptr && !domain->outOfService;
}

auto
BuildDocument(std::uint64_t aNumber,
              const Sections& aSections,
              std::vector<YamlError>& aErrors) -> std::optional<Document>
{
  auto document = Document{};
  document.number = aNumber;
  auto builder = DocumentBuilder{ document, aErrors };
  for (const auto& [name, section] : aSections) {
    const auto source = "section '" + name + "'";
    const auto node = ParseYaml(source, section.text, {}, aErrors);
    if (!node) {
      continue;
    }
    builder.source = source;
    auto map = YamlMap{ source, *node, aErrors };
    ReadSection(builder, document, name, map);
  }
  builder.CheckDomainNames();
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  return document;
}

auto
WithDomainState(const std::string& aSiteText,
                const DomainId& aDomain,
                bool aOutOfService,
                std::string& aReason) -> std::optional<std::string>
{
  auto errors = std::vector<YamlError>{};
  auto node = ParseYaml("section 'site'", aSiteText, {}, errors);
  if (!node) {
    aReason = errors.empty() ? "no site section" : errors.front().ToString();
    return std::nullopt;
  }
  const auto domains = (*node)["domains"];
  if (!domains || !domains.IsSequence()) {
    aReason = "the section declares no failure domains";
    return std::nullopt;
  }
  for (const auto& domain : domains) {
    // A missing key is an invalid node, which may only be tested.
    if (domain.IsMap() && domain["name"] && domain["name"].IsScalar() &&
        domain["name"].Scalar() == aDomain.text) {
      return ReplaceDomainState(
        aSiteText, domain, aOutOfService ? "out" : "in");
    }
  }
  aReason = "failure domain '" + aDomain.text + "' is not declared";
  return std::nullopt;
}

} // namespace gooseberry
