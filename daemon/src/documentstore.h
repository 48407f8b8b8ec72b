#ifndef GOOSEBERRY_DOCUMENTSTORE_H
#define GOOSEBERRY_DOCUMENTSTORE_H

// The operators' document in the table service: reading a consistent version,
// and edits of one section that never lose another team's edit.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "document.h"
#include "tableservice.h"

namespace gooseberry {

// A version of the document with the texts that it was built from.
struct LoadedDocument
{
  std::shared_ptr<const Document> document;
  Sections sections;
};

enum class LoadStatus
{
  Current, // the known version is the newest
  Newer,
  Failed,
};

struct LoadResult
{
  LoadStatus status = LoadStatus::Failed;
  LoadedDocument loaded;
  std::string reason;
};

enum class EditStatus
{
  Accepted,
  Invalid,
  Conflict,
  Unavailable, // surely not accepted
  Unknown,     // the store did not say whether it was accepted
};

struct EditResult
{
  EditStatus status = EditStatus::Unavailable;
  // Accepted: the document's new number. Conflict: the section's version.
  std::uint64_t number = 0;
  std::vector<YamlError> errors;
};

struct Edit
{
  std::string section;
  // Version that the edit started from; 0 for a section that is new.
  std::uint64_t base = 0;
  std::string text;
  // Names this edit, so that it is recognized after a lost reply.
  std::string identity;
};

// One line of the history.
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

  // Reads what is newer than aKnown.
  auto Load(const LoadedDocument& aKnown) -> LoadResult;
  auto Apply(const Edit& aEdit) -> EditResult;
  // The newest changes first.
  auto History(std::size_t aMost) -> std::optional<std::vector<ChangeRecord>>;

private:
  struct Head
  {
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0;
    std::uint64_t number = 0;
  };

  auto ReadHead() -> Head;
  auto ReadSections(std::uint64_t aFrom, std::uint64_t aTo, Sections& aSections)
    -> StoreStatus;
  auto Accepted(const Edit& aEdit) -> std::optional<std::uint64_t>;

  TableService& table;
};

} // namespace gooseberry

#endif
