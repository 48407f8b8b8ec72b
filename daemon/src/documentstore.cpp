#include "documentstore.h"

#include <cstdio>
#include <set>

#include "jsontext.h"
#include "wallclock.h"

namespace gooseberry {

namespace {

constexpr const char* kHeadKey = "doc/head";
constexpr const char* kSectionPrefix = "doc/section/";
constexpr const char* kChangePrefix = "doc/change/";
// Up to this many changes, only the changed sections are read; with more, all
// sections are scanned.
constexpr std::uint64_t kMaxChangesReadSingly = 32;
constexpr int kMaxAttempts = 32;
constexpr int kMaxConsistentReadAttempts = 5;

// The value of a section's row.
struct SectionRow
{
  std::uint64_t number = 0;
  std::string text;
  std::string identity;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SectionRow, number, text, identity)

auto
ChangeKey(std::uint64_t aNumber) -> std::string
{
  constexpr std::size_t kDigits = 16;
  const auto digits = std::to_string(aNumber);
  return kChangePrefix + std::string(kDigits - digits.size(), '0') + digits;
}

auto
ParseSectionRow(const Row& aRow) -> std::optional<SectionRow>
{
  const auto json = TryParseJson(aRow.value);
  try {
    RequireNumbersInRange(json);
    return json.get<SectionRow>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

// The names of the sections that these changes are of; nullopt if a row can't
// be read.
auto
ChangedSections(const std::vector<Row>& aChanges)
  -> std::optional<std::set<std::string>>
{
  auto names = std::set<std::string>{};
  for (const auto& row : aChanges) {
    auto reason = std::string{};
    const auto change = DecodeJson<ChangeRecord>(row.value, reason);
    if (!change) {
      return std::nullopt;
    }
    names.insert(change->section);
  }
  return names;
}

} // namespace

DocumentStore::DocumentStore(TableService& aTable)
  : table(aTable)
{
}

auto
DocumentStore::ReadHead() -> DocumentHead
{
  const auto read = this->table.Read(kHeadKey);
  auto head = DocumentHead{ read.status, read.row.version, 0 };
  if (read.status == StoreStatus::Ok && read.row.version != 0) {
    const auto json = TryParseJson(read.row.value);
    head.number = json.is_number_unsigned() ? json.get<std::uint64_t>() : 0;
    head.status = head.number == 0 ? StoreStatus::Unknown : head.status;
  }
  return head;
}

// Reads the sections that changed after the document number aFrom, up to aTo;
// all of them if aFrom is 0, or if the rows do not tell which ones changed.
auto
DocumentStore::ReadSections(std::uint64_t aFrom,
                            std::uint64_t aTo,
                            Sections& aSections) -> StoreStatus
{
  auto changed = std::optional<std::set<std::string>>{};
  if (aFrom != 0 && aTo - aFrom <= kMaxChangesReadSingly) {
    const auto changes = this->table.Scan(
      kChangePrefix, ChangeKey(aFrom), static_cast<std::size_t>(aTo - aFrom));
    if (changes.status != StoreStatus::Ok) {
      return changes.status;
    }
    changed = ChangedSections(changes.rows);
  }
  auto rows = std::vector<Row>{};
  if (changed) {
    for (const auto& name : *changed) {
      auto read = this->table.Read(kSectionPrefix + name);
      if (read.status != StoreStatus::Ok) {
        return read.status;
      }
      rows.push_back(std::move(read.row));
    }
  } else {
    auto scan = ScanAll(this->table, kSectionPrefix);
    if (scan.status != StoreStatus::Ok) {
      return scan.status;
    }
    rows = std::move(scan.rows);
  }
  for (const auto& row : rows) {
    const auto stored = ParseSectionRow(row);
    if (!stored) {
      return StoreStatus::Unknown;
    }
    const auto name = row.key.substr(std::string{ kSectionPrefix }.size());
    aSections[name] = Section{ name, stored->number, stored->text };
  }
  return StoreStatus::Ok;
}

// The head is read again after the sections. They belong to one version only if
// the head has not changed in between; otherwise they are read once more.
auto
DocumentStore::LoadNewer(const LoadedDocument& aKnown) -> DocumentLoadResult
{
  const auto known = aKnown.document ? aKnown.document->number : 0;
  auto head = this->ReadHead();
  for (auto attempt = 0; attempt < kMaxConsistentReadAttempts; ++attempt) {
    if (head.status != StoreStatus::Ok) {
      return { DocumentLoadStatus::Failed, {}, ToText(head.status) };
    }
    if (aKnown.document != nullptr && head.number <= known) {
      return { DocumentLoadStatus::Current, {}, {} };
    }
    auto sections = aKnown.sections;
    const auto status = this->ReadSections(known, head.number, sections);
    if (status != StoreStatus::Ok) {
      return { DocumentLoadStatus::Failed, {}, ToText(status) };
    }
    const auto after = this->ReadHead();
    if (after.status != StoreStatus::Ok || after.version != head.version) {
      head = after;
      continue;
    }
    auto errors = std::vector<YamlError>{};
    auto document = BuildDocument(head.number, sections, errors);
    if (!document) {
      return { DocumentLoadStatus::Failed, {}, errors.front().ToString() };
    }
    return { DocumentLoadStatus::Newer,
             { std::make_shared<const Document>(std::move(*document)),
               std::move(sections) },
             {} };
  }
  return { DocumentLoadStatus::Failed, {}, "the document changes too quickly" };
}

// A concurrent edit of another section only changes the head, and the commit is
// tried again on the new head. A concurrent edit of the same section is a
// conflict.
auto
DocumentStore::ApplyEdit(const SectionEdit& aEdit) -> EditResult
{
  auto outcomeUnknown = false;
  for (auto attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto head = this->ReadHead();
    auto sections = Sections{};
    const auto status = head.status == StoreStatus::Ok
                          ? this->ReadSections(0, head.number, sections)
                          : head.status;
    if (status != StoreStatus::Ok) {
      const auto editStatus =
        outcomeUnknown ? EditStatus::Unknown : EditStatus::Unavailable;
      return { editStatus, 0, {} };
    }
    const auto current = sections[aEdit.section].version;
    if (outcomeUnknown) {
      const auto number = this->FindAcceptedNumber(aEdit);
      if (number) {
        return { EditStatus::Accepted, *number, {} };
      }
    }
    if (current != aEdit.baseVersion) {
      return { EditStatus::Conflict, current, {} };
    }
    const auto next = head.number + 1;
    sections[aEdit.section] = Section{ aEdit.section, next, aEdit.text };
    auto errors = std::vector<YamlError>{};
    if (!BuildDocument(next, sections, errors)) {
      return { EditStatus::Invalid, 0, std::move(errors) };
    }
    const auto row = SectionRow{ next, aEdit.text, aEdit.identity };
    const auto change =
      ChangeRecord{ next, aEdit.section, UnixMillis(), aEdit.identity };
    const auto commit = this->table.Commit(
      { { { kHeadKey, head.version } },
        { { kHeadKey, nlohmann::json(next).dump() },
          { kSectionPrefix + aEdit.section, nlohmann::json(row).dump() },
          { ChangeKey(next), nlohmann::json(change).dump() } } });
    if (commit.status == StoreStatus::Ok) {
      return { EditStatus::Accepted, next, {} };
    }
    outcomeUnknown = outcomeUnknown || commit.status == StoreStatus::Unknown;
  }
  return { outcomeUnknown ? EditStatus::Unknown : EditStatus::Unavailable,
           0,
           {} };
}

auto
DocumentStore::FindAcceptedNumber(const SectionEdit& aEdit)
  -> std::optional<std::uint64_t>
{
  const auto history = this->ReadHistory(kMaxChangesReadSingly);
  if (!history) {
    return std::nullopt;
  }
  for (const auto& change : *history) {
    if (change.identity == aEdit.identity) {
      return change.number;
    }
  }
  return std::nullopt;
}

auto
DocumentStore::ReadHistory(std::size_t aMaxChanges)
  -> std::optional<std::vector<ChangeRecord>>
{
  const auto head = this->ReadHead();
  if (head.status != StoreStatus::Ok) {
    return std::nullopt;
  }
  const auto from = head.number > aMaxChanges ? head.number - aMaxChanges : 0;
  const auto scan =
    this->table.Scan(kChangePrefix, ChangeKey(from), aMaxChanges);
  if (scan.status != StoreStatus::Ok) {
    return std::nullopt;
  }
  auto history = std::vector<ChangeRecord>{};
  for (const auto& row : scan.rows) {
    auto reason = std::string{};
    if (auto change = DecodeJson<ChangeRecord>(row.value, reason)) {
      history.insert(history.begin(), std::move(*change));
    }
  }
  return history;
}

} // namespace gooseberry
