#ifndef GOOSEBERRY_HELDSTORE_H
#define GOOSEBERRY_HELDSTORE_H

#include <deque>
#include <limits>

#include "rowtable.h"

namespace gooseberry::fleet::test {

// A store with transactions that answers when the test says so.
class HeldStore : public cells::TableClient
{
public:
  auto Commit(const cells::TableTransaction& aCommit,
              Millis /*aTimeout*/,
              std::function<void(cells::TableCommitResult)> aDone)
    -> void override
  {
    ++this->commits;
    this->held.emplace_back([this, aCommit, aDone] {
      if (!this->available) {
        aDone({ cells::TableStatus::Refused });
        return;
      }
      if (this->carriesOutLater) {
        this->late.push_back(aCommit);
        aDone({ cells::TableStatus::Unknown });
        return;
      }
      const auto result = this->table.Commit(aCommit);
      aDone(this->losesAnswers
              ? cells::TableCommitResult{ cells::TableStatus::Unknown }
              : result);
    });
  }
  auto Read(const cells::RowRange& aRange,
            Millis /*aTimeout*/,
            std::function<void(cells::TableReadResult)> aDone) -> void override
  {
    ++this->reads;
    this->held.emplace_back([this, aRange, aDone] {
      auto more = false;
      aDone(this->available
              ? this->table.Read(
                  aRange, std::numeric_limits<std::size_t>::max(), more)
              : cells::TableReadResult{ cells::TableStatus::Refused });
    });
  }
  auto Feed(const std::string& aTable,
            std::uint64_t aAfter,
            Millis /*aMaxWait*/,
            std::function<void(cells::TableFeedResult)> aDone) -> void override
  {
    this->held.emplace_back([this, aTable, aAfter, aDone] {
      aDone(this->available
              ? *this->table.Changes(aTable, aAfter)
              : cells::TableFeedResult{ cells::TableStatus::Refused });
    });
  }

  auto Put(const cells::RowKey& aKey, std::string aValue) -> std::uint64_t
  {
    return this->table.Commit({ {}, { { aKey, std::move(aValue) } }, {} })
      .version;
  }
  auto Remove(const cells::RowKey& aKey) -> void
  {
    this->table.Commit({ {}, {}, { aKey } });
  }
  auto Find(const cells::RowKey& aKey) const -> std::string
  {
    auto more = false;
    const auto rows =
      this->table.Read(cells::SingleRowRange(aKey), 1, more).rows;
    return rows.empty() ? std::string{} : rows.front().value;
  }

  // Answers all calls, also those that the answers lead to.
  auto Answer() -> void
  {
    while (!this->held.empty()) {
      const auto call = std::move(this->held.front());
      this->held.pop_front();
      call();
    }
  }
  // Carries out the oldest call and answers it.
  auto AnswerOne() -> void
  {
    const auto call = std::move(this->held.front());
    this->held.pop_front();
    call();
  }

  // Carries out the transactions that were answered before.
  auto CarryOutLate() -> void
  {
    for (const auto& commit : std::exchange(this->late, {})) {
      this->table.Commit(commit);
    }
  }

  // Refuses all calls if not.
  bool available = true;
  // Carries transactions out, but does not tell.
  bool losesAnswers = false;
  // Answers transactions before it carries them out.
  bool carriesOutLater = false;
  int commits = 0;
  int reads = 0;

private:
  fakes::RowTable table;
  std::vector<cells::TableTransaction> late;
  std::deque<std::function<void()>> held;
};

} // namespace gooseberry::fleet::test

#endif
