// Part of AdminPort that reads and edits the operators' document.

#include "adminport.h"
#include "httpstatus.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr std::size_t kMaxHistoryChanges = 100;
constexpr int kDomainEditAttempts = 10;

auto
ErrorsToJson(const std::vector<YamlError>& aErrors) -> nlohmann::json
{
  auto list = nlohmann::json::array();
  for (const auto& error : aErrors) {
    list.push_back(error.ToString());
  }
  return list;
}

} // namespace

auto
AdminPort::GetDocument(const RequestContext& aContext) -> void
{
  const auto current = this->controlPlane.CurrentDocument();
  auto sections = nlohmann::json::array();
  for (const auto& [name, section] : current->sections) {
    sections.push_back(section);
  }
  const auto number = current->document ? current->document->number : 0;
  Reply(aContext, { { "number", number }, { "sections", sections } });
}

auto
AdminPort::GetHistory(const RequestContext& aContext) -> void
{
  const auto history = this->documentStore.ReadHistory(kMaxHistoryChanges);
  if (!history) {
    this->Refuse(aContext, kUnavailable, "store_unavailable", nullptr);
    return;
  }
  Reply(aContext, { { "changes", *history } });
}

auto
AdminPort::PutSection(const RequestContext& aContext) -> void
{
  const auto section = aContext.request.matches[1].str();
  if (!this->AuthorizeSection(aContext, section)) {
    return;
  }
  const auto base = aContext.request.get_param_value("base");
  char* end = nullptr;
  const auto version = std::strtoull(base.c_str(), &end, 10);
  if (base.empty() || *end != '\0') {
    this->Refuse(aContext,
                 kBadRequest,
                 "bad_base",
                 "base must be the version that the edit started from");
    return;
  }
  this->ReplyToEdit(
    aContext,
    this->documentStore.ApplyEdit(
      { section, version, aContext.body, this->NewEditIdentity() }));
}

auto
AdminPort::ReplyToEdit(const RequestContext& aContext,
                       const EditResult& aResult) -> void
{
  switch (aResult.status) {
    case EditStatus::Accepted:
      LogInfo("document_accepted",
              { { "number", std::to_string(aResult.number) } });
      this->controlPlane.OnDocumentHint(aResult.number);
      Reply(aContext, { { "number", aResult.number } });
      return;
    case EditStatus::Invalid:
      this->Refuse(aContext,
                   kUnprocessableContent,
                   "invalid",
                   ErrorsToJson(aResult.errors));
      return;
    case EditStatus::Conflict:
      this->Refuse(aContext,
                   kConflict,
                   "section_changed",
                   { { "current_version", aResult.number } });
      return;
    case EditStatus::Unavailable:
      this->Refuse(aContext, kUnavailable, "store_unavailable", "not accepted");
      return;
    case EditStatus::Unknown:
      this->Refuse(
        aContext, kGatewayTimeout, "outcome_unknown", "read the section again");
      return;
  }
}

auto
AdminPort::NewEditIdentity() -> std::string
{
  return this->controlPlane.OwnId().text + "/edit/" +
         std::to_string(this->nextEditNumber.fetch_add(1));
}

auto
AdminPort::ValidateSection(const RequestContext& aContext) -> void
{
  const auto section = aContext.request.matches[1].str();
  auto sections = this->controlPlane.CurrentDocument()->sections;
  sections[section] = Section{ section, 0, aContext.body };
  auto errors = std::vector<YamlError>{};
  BuildDocument(0, sections, errors);
  if (!errors.empty()) {
    this->Refuse(
      aContext, kUnprocessableContent, "invalid", ErrorsToJson(errors));
    return;
  }
  Reply(aContext, { { "valid", true } });
}

// If another edit changes the site section in the meantime, the change is made
// again on the new text: the state of one failure domain does not depend on the
// rest of the section.
auto
AdminPort::SetDomain(const RequestContext& aContext) -> void
{
  if (!this->AuthorizeSection(aContext, kSiteSection)) {
    return;
  }
  const auto domain = DomainId{ aContext.request.matches[1].str() };
  const auto out = aContext.request.matches[2].str() == "out";
  const auto identity = this->NewEditIdentity();
  auto result = EditResult{ EditStatus::Conflict, 0, {} };
  for (auto attempt = 0;
       attempt < kDomainEditAttempts && result.status == EditStatus::Conflict;
       ++attempt) {
    const auto newest = this->documentStore.LoadNewer({});
    if (newest.status != DocumentLoadStatus::Newer) {
      this->Refuse(aContext, kUnavailable, "store_unavailable", newest.reason);
      return;
    }
    const auto site = newest.loaded.sections.find(kSiteSection);
    auto reason = std::string{ "there is no section 'site'" };
    const auto text =
      site == newest.loaded.sections.end()
        ? std::nullopt
        : WithDomainState(site->second.text, domain, out, reason);
    if (!text) {
      this->Refuse(aContext, kNotFound, "unknown_domain", reason);
      return;
    }
    result = this->documentStore.ApplyEdit(
      { kSiteSection, site->second.version, *text, identity });
  }
  this->ReplyToEdit(aContext, result);
}

} // namespace gooseberry
