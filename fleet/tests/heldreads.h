#ifndef GOOSEBERRY_HELDREADS_H
#define GOOSEBERRY_HELDREADS_H

#include <map>
#include <string>
#include <vector>

#include "tableport.h"

namespace gooseberry::fleet::test {

// A store that answers reads when the test says so.
class HeldReads : public cells::TableClient
{
public:
  auto Commit(const cells::TableTransaction& /*aCommit*/,
              Millis /*aTimeout*/,
              std::function<void(cells::TableCommitResult)> /*aDone*/)
    -> void override
  {
  }
  auto Read(const cells::RowRange& aRange,
            Millis /*aTimeout*/,
            std::function<void(cells::TableReadResult)> aDone) -> void override
  {
    ++this->reads;
    this->held.emplace_back(aRange, std::move(aDone));
  }
  auto Feed(const std::string& /*aTable*/,
            std::uint64_t /*aAfter*/,
            Millis /*aMaxWait*/,
            std::function<void(cells::TableFeedResult)> /*aDone*/)
    -> void override
  {
  }

  auto Put(const cells::RowKey& aKey, std::string aValue) -> void
  {
    this->rows[aKey] = std::move(aValue);
  }

  // Answers all reads, also those that the answers lead to.
  auto Answer(cells::TableStatus aStatus = cells::TableStatus::Done) -> void
  {
    while (!this->held.empty()) {
      const auto [range, done] = std::move(this->held.back());
      this->held.pop_back();
      auto result = cells::TableReadResult{ aStatus };
      result.storeClockMs = this->clockMs;
      for (const auto& [key, value] : this->rows) {
        if (aStatus == cells::TableStatus::Done && key.table == range.table &&
            key.partition == range.partition) {
          result.rows.push_back({ key, value, 1 });
        }
      }
      done(result);
    }
  }

  auto HeldCount() const -> std::size_t { return this->held.size(); }

  int reads = 0;
  // What the store's clock shows in its answers.
  std::int64_t clockMs = 0;

private:
  std::map<cells::RowKey, std::string> rows;
  std::vector<
    std::pair<cells::RowRange, std::function<void(cells::TableReadResult)>>>
    held;
};

} // namespace gooseberry::fleet::test

#endif
