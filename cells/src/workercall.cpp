#include "workercall.h"

#include <array>

namespace gooseberry::cells {

auto
ToText(CallKind aKind) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(CallKind::CallKind_NB)>
    kNames{ "start", "stop", "renew", "pace" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

auto
ToText(CallOutcome aEnd) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<int>(CallOutcome::CallOutcome_NB)>
    kNames{ "done",      "fenced",    "superseded", "too_late",
            "no_room",   "no_ticket", "other_life", "unhealthy",
            "malformed", "not_sent",  "unanswered", "unreadable" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

auto
ToText(RunOutcome aEnd) -> const char*
{
  constexpr std::array<const char*, static_cast<int>(RunOutcome::RunOutcome_NB)>
    kNames{ "done", "failed", "stopped", "lapsed", "broken", "alone" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

auto
WorkerAnswer::IsComplete() const -> bool
{
  return this->unreadableEntries == 0 && this->ended.size() < kMaxListedEnds;
}

} // namespace gooseberry::cells
