#ifndef GOOSEBERRY_TABLEFOLLOWER_H
#define GOOSEBERRY_TABLEFOLLOWER_H

// Keeps up with one part of a table: reads it whole, then follows its changes,
// and reads it whole again where the history has a gap.

#include <functional>
#include <memory>
#include <string>

#include "decisionlog.h"
#include "loop.h"
#include "tableport.h"

namespace gooseberry::fleet {

struct FollowerOptions
{
  std::string table;
  std::vector<std::string> parts;
  // How long the store may wait for a change. Bounds how long a connection that
  // went silent is believed.
  Millis patience{ 1000 };
  // Rest between two answers, so that changes share a call.
  Millis rest{ 0 };
};

class TableFollower : public std::enable_shared_from_this<TableFollower>
{
public:
  // aWhole: the rows are all there are, else those that changed.
  using OnRows =
    std::function<void(const std::vector<cells::StoredRow>&, bool aWhole)>;

  TableFollower(Loop& aLoop,
                cells::TablePort& aTables,
                FollowerOptions aOptions,
                cells::DecisionLog& aLog,
                OnRows aOnRows);

  auto Start() -> void;
  // Follows from a version on, the rows of which are known.
  auto StartAfter(std::uint64_t aVersion) -> void;
  auto Stop() -> void;
  // When the store was asked for what is known now; the state is no older.
  auto FreshAt() const -> Time;

private:
  auto ReadAll() -> void;
  auto ReadPart(std::size_t aPart, cells::RowsOutcome aSoFar, Time aAsked)
    -> void;
  auto OnWhole(const cells::RowsOutcome& aOutcome, Time aAsked) -> void;
  auto Follow() -> void;
  auto Later(Millis aDelay, bool aWhole) -> void;
  auto NoteEnd(cells::TableEnd aEnd, const std::string& aReason) -> void;

  Loop& loop;
  cells::TablePort& tables;
  const FollowerOptions options;
  cells::DecisionLog& log;
  const OnRows onRows;
  std::uint64_t version = 0;
  Time freshAt{};
  TimerHandle timer;
  // Since when the store has not answered.
  std::optional<Time> lostAt;
  bool stopped = false;
};

} // namespace gooseberry::fleet

#endif
