#include "observer.h"

#include <map>

namespace gooseberry::test {

namespace {

// What is known of one task while its events are read in order of time.
struct TaskTrack
{
  std::set<std::pair<std::string, std::uint64_t>> running;
  std::uint64_t lastAttempt = 0;
  std::uint64_t checkpoint = 0;
  int finishes = 0;
};

auto
Text(const nlohmann::json& aEvent) -> std::string
{
  return " (" + aEvent.dump() + ")";
}

auto
OnStart(const nlohmann::json& aEvent,
        const std::string& aTask,
        TaskTrack& aTrack,
        Violations& aViolations) -> void
{
  const auto attempt = aEvent.at("attempt").get<std::uint64_t>();
  if (!aTrack.running.empty()) {
    aViolations.push_back(aTask + " runs twice at once" + Text(aEvent));
  }
  if (aTrack.finishes > 0) {
    aViolations.push_back(aTask + " starts after its finish" + Text(aEvent));
  }
  if (attempt <= aTrack.lastAttempt) {
    aViolations.push_back(aTask + " repeats an attempt" + Text(aEvent));
  }
  aTrack.lastAttempt = std::max(aTrack.lastAttempt, attempt);
  aTrack.running.emplace(aEvent.at("worker"), attempt);
}

auto
OnEnd(const nlohmann::json& aEvent,
      const std::string& aTask,
      TaskTrack& aTrack,
      Violations& aViolations) -> void
{
  aTrack.running.erase({ aEvent.at("worker"), aEvent.at("attempt") });
  if (aEvent.at("event") == "finished" && ++aTrack.finishes > 1) {
    aViolations.push_back(aTask + " finishes twice" + Text(aEvent));
  }
}

} // namespace

auto
JudgeTasks(const Record& aRecord) -> Violations
{
  auto violations = Violations{};
  auto tracks = std::map<std::string, TaskTrack>{};
  for (const auto& event : aRecord) {
    if (!event.contains("task")) {
      continue;
    }
    const auto task = event.at("task").get<std::string>();
    const auto kind = event.at("event").get<std::string>();
    if (kind == "start") {
      OnStart(event, task, tracks[task], violations);
    } else if (kind != "overcommit") {
      OnEnd(event, task, tracks[task], violations);
    }
  }
  return violations;
}

auto
JudgeCapacity(const Record& aRecord) -> Violations
{
  auto violations = Violations{};
  for (const auto& event : aRecord) {
    if (event.at("event") == "overcommit") {
      violations.push_back("more work than the worker holds" + Text(event));
    }
  }
  return violations;
}

auto
JudgeNoStarts(const Record& aRecord,
              const std::set<std::string>& aWorkers,
              std::int64_t aFrom,
              std::int64_t aTo) -> Violations
{
  auto violations = Violations{};
  for (const auto& event : aRecord) {
    const auto time = event.at("t").get<std::int64_t>();
    if (event.at("event") == "start" && time >= aFrom && time < aTo &&
        aWorkers.contains(event.at("worker").get<std::string>())) {
      violations.push_back("a start in a closed failure domain" + Text(event));
    }
  }
  return violations;
}

auto
JudgeNoRequests(const Record& aRecord,
                const std::string& aBackend,
                std::int64_t aFrom,
                std::int64_t aTo) -> Violations
{
  auto violations = Violations{};
  for (const auto& event : aRecord) {
    const auto time = event.at("t").get<std::int64_t>();
    if (event.at("event") == "request" && event.at("backend") == aBackend &&
        time >= aFrom && time < aTo) {
      violations.push_back("a request to a leaving server" + Text(event));
    }
  }
  return violations;
}

auto
JudgeRequests(const Record& aRecord, const std::vector<CallerView>& aViews)
  -> Violations
{
  auto arrivals = std::map<std::string, int>{};
  for (const auto& event : aRecord) {
    if (event.at("event") == "request") {
      ++arrivals[event.at("request").get<std::string>()];
    }
  }
  auto violations = Violations{};
  for (const auto& view : aViews) {
    const auto ran = arrivals[view.request];
    if (view.foreign) {
      violations.push_back(view.request + " got a wrong or cut answer");
    }
    if (view.marked && ran > 1) {
      violations.push_back(view.request + " is marked and ran " +
                           std::to_string(ran) + " times");
    }
    if (view.verdict == "not-run" && ran > 0) {
      violations.push_back(view.request + " ran, but \"not run\" was said");
    }
    if (view.whole && ran == 0) {
      violations.push_back(view.request + " was answered but never ran");
    }
  }
  return violations;
}

auto
CountEvents(const Record& aRecord, const std::string& aEvent) -> int
{
  auto count = 0;
  for (const auto& event : aRecord) {
    count += event.at("event") == aEvent ? 1 : 0;
  }
  return count;
}

} // namespace gooseberry::test
