#ifndef GOOSEBERRY_WITHDRAWALSWEEPER_H
#define GOOSEBERRY_WITHDRAWALSWEEPER_H

// Removes withdrawals once no submission of the same id can be on its way any
// more, so that cancellations of ids that were never submitted leave nothing
// behind. The rows tell when they were written on the store's steady clock, so
// that any instance can go on. Runs on the event loop.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "loop.h"
#include "recorder.h"
#include "tableport.h"

namespace gooseberry::fleet {

// The stored form of a withdrawal. aStoreClockMs: the store's steady clock when
// it was written; 0: unknown.
auto
EncodeWithdrawal(std::int64_t aStoreClockMs) -> std::string;

// How long a withdrawal is kept. aKeepEnded: how long ended jobs are.
auto
WithdrawalAge(Millis aKeepEnded) -> Millis;

class WithdrawalSweeper : public std::enable_shared_from_this<WithdrawalSweeper>
{
public:
  // aIsResponsible tells whether this instance sweeps at present. Several that
  // do are in each other's way only by their calls.
  WithdrawalSweeper(Loop& aLoop,
                    cells::TableClient& aTables,
                    Millis aAge,
                    std::function<bool()> aIsResponsible);

  auto Start() -> void;

private:
  auto ScheduleNext() -> void;
  auto ReadPart() -> void;
  auto OnPartRead(const cells::TableReadResult& aOutcome) -> void;
  // Writes the next transaction, or goes on to the next part.
  auto CommitNext() -> void;

  Loop& loop;
  cells::TableClient& tables;
  const Millis age;
  const std::function<bool()> isResponsible;
  // The part that is read next.
  std::size_t part = 0;
  // Transactions for the part that was read.
  std::vector<cells::TableTransaction> commits;
  TimerHandle timer;
};

} // namespace gooseberry::fleet

#endif
