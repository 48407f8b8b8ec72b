#ifndef GOOSEBERRY_OBSERVER_H
#define GOOSEBERRY_OBSERVER_H

// Judges the promises from the stand-ins' record alone.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberry::test {

// What a caller saw of one request.
struct CallerView
{
  std::string request;
  bool marked = false;  // not repeatable
  bool whole = false;   // a whole answer to this very request
  bool foreign = false; // an answer that was not its own, or was cut unnoticed
  std::string verdict;
};

// One broken promise, in words.
using Violations = std::vector<std::string>;

using Record = std::vector<nlohmann::json>;

// The promises about tasks; see JudgeTaskEvents().
auto
JudgeTasks(const Record& aRecord,
           const std::vector<std::string>& aAtMostOnce = {}) -> Violations;

// No task starts on these workers within the time.
auto
JudgeNoStarts(const Record& aRecord,
              const std::set<std::string>& aWorkers,
              std::int64_t aFrom,
              std::int64_t aTo) -> Violations;

// No request reaches the backend server within the time.
auto
JudgeNoRequests(const Record& aRecord,
                const std::string& aBackend,
                std::int64_t aFrom,
                std::int64_t aTo) -> Violations;

// Whole answers, marked requests at most once, "not run" never false.
auto
JudgeRequests(const Record& aRecord, const std::vector<CallerView>& aViews)
  -> Violations;

// Number of task events of one kind.
auto
CountEvents(const Record& aRecord, const std::string& aEvent) -> int;

} // namespace gooseberry::test

#endif
