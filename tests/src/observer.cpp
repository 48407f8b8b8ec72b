#include "observer.h"

#include <map>

#include "taskjudge.h"

namespace gooseberry::test {

namespace {

auto
Text(const nlohmann::json& aEvent) -> std::string
{
  return " (" + aEvent.dump() + ")";
}

} // namespace

auto
JudgeTasks(const Record& aRecord, const std::vector<std::string>& aAtMostOnce)
  -> Violations
{
  auto events = std::vector<TaskEvent>{};
  for (const auto& event : aRecord) {
    if (event.contains("task")) {
      events.push_back({ event.at("t"),
                         event.at("event"),
                         event.at("worker"),
                         event.at("task"),
                         event.at("attempt"),
                         event.at("checkpoint") });
    }
  }
  return JudgeTaskEvents(std::move(events), aAtMostOnce).violations;
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
