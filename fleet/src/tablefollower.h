#ifndef GOOSEBERRY_TABLEFOLLOWER_H
#define GOOSEBERRY_TABLEFOLLOWER_H

// Follows some parts of a table: reads a snapshot, then the feed of changes,
// and another snapshot when the feed no longer reaches back far enough.

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
  // How long the store may hold a feed call open while it waits for a change.
  // Bounds the time until a dead connection is noticed.
  Millis maxFeedWait{ 1000 };
  // Pause between an answer and the next feed call, so that several changes
  // arrive in one call.
  Millis feedPause{ 0 };
};

class TableFollower : public std::enable_shared_from_this<TableFollower>
{
public:
  // aIsSnapshot: these are all rows of the parts; otherwise those that changed,
  // removed ones with version 0.
  using OnRows =
    std::function<void(const std::vector<cells::StoredRow>&, bool aIsSnapshot)>;

  TableFollower(Loop& aLoop,
                cells::TableClient& aTables,
                FollowerOptions aOptions,
                cells::DecisionLog& aLog,
                OnRows aOnRows);

  auto Start() -> void;
  // Follows the changes after aVersion without a snapshot; the caller has read
  // the rows at that version itself, by calls of which the first was sent at
  // aReadAt.
  auto StartAfter(std::uint64_t aVersion, Time aReadAt) -> void;
  auto Stop() -> void;
  // Replaces FollowerOptions::feedPause.
  auto SetFeedPause(Millis aPause) -> void;
  // When the last feed call that brought all changes, or the first call of the
  // last snapshot, was sent; the rows passed to OnRows are at least as recent.
  auto CurrentAsOf() const -> Time;

private:
  // The parts of the table, collected until all are read.
  struct Snapshot
  {
    std::vector<cells::StoredRow> rows;
    // The lowest version at which a part was read.
    std::uint64_t version = 0;
    Time sentAt{};
    std::size_t pendingReads = 0;
    bool failed = false;
  };

  auto ReadSnapshot() -> void;
  auto OnPartRead(Snapshot& aSnapshot, const cells::TableReadResult& aOutcome)
    -> void;
  auto ReadFeed() -> void;
  // aSnapshot: read a snapshot next, else the feed.
  auto ScheduleNext(Millis aDelay, bool aSnapshot) -> void;
  auto LogAvailability(cells::TableStatus aEnd, const std::string& aReason)
    -> void;

  Loop& loop;
  cells::TableClient& tables;
  FollowerOptions options;
  cells::DecisionLog& log;
  const OnRows onRows;
  std::uint64_t version = 0;
  Time currentAsOf{};
  TimerHandle timer;
  // Time of the first failed call since the last successful one.
  std::optional<Time> unavailableSince;
  bool stopped = false;
};

} // namespace gooseberry::fleet

#endif
