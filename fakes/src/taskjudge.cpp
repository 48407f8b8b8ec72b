#include "taskjudge.h"

#include <algorithm>
#include <map>
#include <set>

namespace gooseberry {

namespace {

// What is known of one task while its events are read in order of time.
struct TaskTrack
{
  std::set<std::pair<std::string, std::uint64_t>> running;
  std::uint64_t lastAttempt = 0;
  std::uint64_t progress = 0;
  int finishes = 0;
  bool acknowledged = false;
  bool atMostOnce = false;
};

auto
Text(const TaskEvent& aEvent) -> std::string
{
  return " (" + aEvent.task + " attempt " + std::to_string(aEvent.attempt) +
         " on " + aEvent.worker + " at " + std::to_string(aEvent.millis) + ")";
}

auto
OnStart(const TaskEvent& aEvent, TaskTrack& aTrack, TaskVerdicts& aVerdicts)
  -> void
{
  ++aVerdicts.starts;
  if (!aTrack.running.empty()) {
    aVerdicts.violations.push_back("runs twice at once, also on " +
                                   aTrack.running.begin()->first +
                                   Text(aEvent));
  }
  if (aTrack.acknowledged || (aTrack.atMostOnce && aTrack.finishes > 0)) {
    aVerdicts.violations.push_back("starts after its finish" + Text(aEvent));
  }
  if (aEvent.attempt <= aTrack.lastAttempt) {
    aVerdicts.violations.push_back("repeats an attempt" + Text(aEvent));
  }
  if (aTrack.progress > aEvent.checkpoint) {
    aVerdicts.lostMillis += aTrack.progress - aEvent.checkpoint;
  }
  aTrack.lastAttempt = std::max(aTrack.lastAttempt, aEvent.attempt);
  aTrack.running.emplace(aEvent.worker, aEvent.attempt);
}

auto
OnEnd(const TaskEvent& aEvent, TaskTrack& aTrack, TaskVerdicts& aVerdicts)
  -> void
{
  aTrack.running.erase({ aEvent.worker, aEvent.attempt });
  aTrack.progress = aEvent.checkpoint;
  if (aEvent.what != "finished") {
    return;
  }
  ++aVerdicts.finishes;
  ++aTrack.finishes;
}

auto
Apply(const TaskEvent& aEvent, TaskTrack& aTrack, TaskVerdicts& aVerdicts)
  -> void
{
  if (aEvent.what == "start") {
    OnStart(aEvent, aTrack, aVerdicts);
  } else if (aEvent.what == "acknowledged") {
    aTrack.acknowledged = true;
  } else if (aEvent.what == "overcommit") {
    aVerdicts.violations.push_back("more than the worker holds" + Text(aEvent));
  } else {
    OnEnd(aEvent, aTrack, aVerdicts);
  }
}

} // namespace

auto
JudgeTaskEvents(std::vector<TaskEvent> aEvents,
                const std::vector<std::string>& aAtMostOnce) -> TaskVerdicts
{
  std::stable_sort(aEvents.begin(),
                   aEvents.end(),
                   [](const TaskEvent& aLeft, const TaskEvent& aRight) {
                     return aLeft.millis < aRight.millis;
                   });
  auto verdicts = TaskVerdicts{};
  auto tracks = std::map<std::string, TaskTrack>{};
  for (auto& event : aEvents) {
    tracks[event.task].atMostOnce = std::any_of(
      aAtMostOnce.begin(), aAtMostOnce.end(), [&](const std::string& aPrefix) {
        return event.task.starts_with(aPrefix);
      });
  }
  // Of what happens within one millisecond, the ends of what ran before come
  // first.
  for (auto first = aEvents.begin(); first != aEvents.end();) {
    auto last = first;
    while (last != aEvents.end() && last->millis == first->millis) {
      ++last;
    }
    const auto middle =
      std::stable_partition(first, last, [&](const TaskEvent& aEvent) {
        return aEvent.what != "start" && tracks[aEvent.task].running.contains(
                                           { aEvent.worker, aEvent.attempt });
      });
    std::for_each(first, middle, [&](const TaskEvent& aEvent) {
      Apply(aEvent, tracks[aEvent.task], verdicts);
    });
    std::for_each(middle, last, [&](const TaskEvent& aEvent) {
      Apply(aEvent, tracks[aEvent.task], verdicts);
    });
    first = last;
  }
  return verdicts;
}

} // namespace gooseberry
