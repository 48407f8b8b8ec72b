#ifndef GOOSEBERRY_DOCUMENTSTORE_H
#define GOOSEBERRY_DOCUMENTSTORE_H

// The operators' document in the table service. Reads a consistent version, and
// edits one section at a time without losing concurrent edits of other teams.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "document.h"
#include "tableservice.h"

namespace gooseberry {

// A version of the document with the section texts that it was built from.
struct LoadedDocument
{
  std::shared_ptr<const Document> document;
  Sections sections;
};

enum class DocumentLoadStatus
{
  Current, // the version that the caller knows is the newest
  Newer,
  Failed, // the reason says why
};

struct DocumentLoadResult
{
  DocumentLoadStatus status = DocumentLoadStatus::Failed;
  LoadedDocument loaded;
  std::string reason;
};

enum class EditStatus
{
  Accepted,
  Invalid,
  Conflict,    // the section is no longer at the edit's base version
  Unavailable, // certainly not accepted
  Unknown,     // the store did not say whether it was accepted
};

struct EditResult
{
  EditStatus status = EditStatus::Unavailable;
  // Accepted: the document's new number. Conflict: the section's current
  // version. Otherwise 0.
  std::uint64_t number = 0;
  // Invalid: what is wrong with the text.
  std::vector<YamlError> errors;
};

struct SectionEdit
{
  std::string section;
  // Version of the section that the edit started from; 0 for a new section.
  std::uint64_t baseVersion = 0;
  std::string text;
  // Unique id of this edit, by which it is found again after a lost reply.
  std::string identity;
};

// One accepted edit in the document's history.
struct ChangeRecord
{
  std::uint64_t number = 0;
  std::string section;
  std::int64_t unixMillis = 0;
  std::string identity;

  auto operator==(const ChangeRecord&) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeRecord,
                                   number,
                                   section,
                                   unixMillis,
                                   identity)

class DocumentStore
{
public:
  explicit DocumentStore(TableService& aTable);

  // Reads the sections that changed since aKnown; all of them if aKnown is
  // empty.
  auto LoadNewer(const LoadedDocument& aKnown) -> DocumentLoadResult;
  // Validates the edit against the whole document and commits it.
  auto ApplyEdit(const SectionEdit& aEdit) -> EditResult;
  // At most aMaxChanges changes, the newest first. nullopt on a store error.
  auto ReadHistory(std::size_t aMaxChanges)
    -> std::optional<std::vector<ChangeRecord>>;

private:
  // The row that holds the document's number. Every edit changes it.
  struct DocumentHead
  {
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0;
    std::uint64_t number = 0;
  };

  auto ReadHead() -> DocumentHead;
  auto ReadSections(std::uint64_t aFrom, std::uint64_t aTo, Sections& aSections)
    -> StoreStatus;
  // The document's number that the edit got, if the recent history has it.
  auto FindAcceptedNumber(const SectionEdit& aEdit)
    -> std::optional<std::uint64_t>;

  TableService& table;
};

} // namespace gooseberry

#endif
