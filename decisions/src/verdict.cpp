#include "verdict.h"

#include <array>
#include <cstddef>

namespace gooseberry {

namespace {

constexpr std::array<const char*, static_cast<int>(Verdict::Verdict_NB)>
  kVerdictNames{ "not-run", "may-have-run", "ran" };

constexpr std::array<const char*, static_cast<int>(Refusal::Refusal_NB)>
  kRefusalNames{ "unknown_service",   "queue_full",     "deadline_passed",
                 "no_backend",        "draining",       "claim_taken",
                 "claim_unavailable", "claim_missing",  "bad_request",
                 "not_ready",         "backend_failed", "backend_timeout",
                 "caller_gone",       "body_memory" };

constexpr std::array<const char*, static_cast<int>(RetryReason::RetryReason_NB)>
  kRetryReasonNames{ "connect_failed", "answer_cut",        "answer_late",
                     "unavailable",    "silent_connection", "budget_spent" };

constexpr std::array<Verdict, static_cast<int>(AttemptEnd::AttemptEnd_NB)>
  kVerdicts{ Verdict::Ran,
             Verdict::NotRun,
             Verdict::MayHaveRun,
             Verdict::MayHaveRun,
             Verdict::MayHaveRun };

} // namespace

auto
ToText(Verdict aVerdict) -> const char*
{
  return kVerdictNames[static_cast<std::size_t>(aVerdict)];
}

auto
ToText(Refusal aRefusal) -> const char*
{
  return kRefusalNames[static_cast<std::size_t>(aRefusal)];
}

auto
ToText(RetryReason aReason) -> const char*
{
  return kRetryReasonNames[static_cast<std::size_t>(aReason)];
}

auto
VerdictOf(AttemptEnd aEnd) -> Verdict
{
  return kVerdicts[static_cast<std::size_t>(aEnd)];
}

} // namespace gooseberry
