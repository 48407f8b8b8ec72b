#ifndef GOOSEBERRY_MEMBERS_H
#define GOOSEBERRY_MEMBERS_H

// The instances that are alive, by the rows that each writes of itself, and
// which of them may own a cell. Decides only; ages are measured on the own
// steady clock.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tableport.h"

namespace gooseberry::cells {

struct MemberRow
{
  std::string instance;
  std::string address;
  // Share of a processor that it has.
  double processorShare = 1.0;
  // Grows with each writing.
  std::uint64_t beat = 0;
  // It is stopping and takes nothing on.
  bool leaving = false;

  auto operator==(const MemberRow&) const -> bool = default;
};

auto
EncodeMember(const MemberRow& aRow) -> std::string;

auto
DecodeMember(const std::string& aBytes, std::string& aReason)
  -> std::optional<MemberRow>;

class Members
{
public:
  // A reading of all members' rows; each with its version in the store.
  auto OnRead(Time aNow,
              const std::vector<std::pair<MemberRow, std::uint64_t>>& aRows)
    -> void;
  // Those whose row has changed lately, in the readings that there were.
  auto Alive() const -> std::vector<MemberRow>;
  // The instance's rank as an owner of the cell, 0 for the first; nothing if it
  // should not own it. Shares of processors count; the smallest own nothing.
  auto RankOf(const std::string& aInstance, const std::string& aCell) const
    -> std::optional<std::size_t>;

private:
  struct Seen
  {
    MemberRow row;
    std::uint64_t version = 0;
    Time changedAt{};
  };

  std::map<std::string, Seen> seen;
  Time readAt{};
};

} // namespace gooseberry::cells

#endif
