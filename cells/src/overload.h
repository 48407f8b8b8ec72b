#ifndef GOOSEBERRY_OVERLOAD_H
#define GOOSEBERRY_OVERLOAD_H

// What is delayed while capacity is insufficient. Pure decisions, no I/O.

#include <compare>
#include <optional>
#include <set>

#include "jobname.h"
#include "outcomes.h"

namespace gooseberry::cells {

// Classes of waiting work; an earlier one goes first at any priority.
enum class StartClass
{
  Overdue, // a long-running task that has waited too long
  Turn,    // of a job that the order would delay without end
  Useful,  // the result is of use if the work ends soon
  NoUse,   // the time in which the result is of use is over
  StartClass_NB
};

// Place of the client account that work belongs to, among work of equal
// priority. The default is that of work without an account.
struct AccountRank
{
  // The job arrived beyond the rate that the account is entitled to.
  bool beyondRate = false;
  // Use of the account divided by its weight.
  double relativeUse = 0.0;

  auto operator==(const AccountRank&) const -> bool = default;
};

// Place of a step in the order of starts; the smallest goes first.
struct StartRank
{
  StartClass startClass = StartClass::Useful;
  // 0 is the highest priority.
  int priority = 0;
  ExpectedOutcome outcome = ExpectedOutcome::OnTime;
  AccountRank account;
  // Remaining work per value; 0 while no work of the kind is late.
  double costPerValue = 0.0;
  Time objective{};

  auto operator==(const StartRank&) const -> bool = default;
  // Jobs beyond their account's rate go behind all others of their priority.
  // Among jobs of equal prospects, the account that uses least goes first;
  // then, while work is late, what is worth most for its work, since then not
  // all can be on time and estimates do not tell exactly which.
  auto operator<=>(const StartRank& aOther) const -> std::partial_ordering;
};

// Gives jobs that the order of starts would delay without end a turn each, in
// the order of their ids: the job with the turn goes first. Turns begin at most
// once in an interval, so that they take a small part of the capacity.
class StarvationTurns
{
public:
  // aStarved: the jobs that nothing is running of and that have waited for
  // longer than their results are of use. Returns the one that has the turn.
  auto Next(Time aNow, const std::set<JobId>& aStarved) -> std::optional<JobId>;

private:
  std::optional<JobId> last;
  Time beganAt{};
};

// Whether a group of jobs is overloaded: for some time now, jobs have lost
// their use for lack of capacity. It takes longer to begin than to end, so that
// a burst that passes is no overload.
class OverloadState
{
public:
  // aLacksCapacity: at present, some job will be of no use for lack of
  // capacity.
  auto Update(Time aNow, bool aLacksCapacity) -> void;
  auto IsOverloaded(Time aNow) const -> bool;

private:
  std::optional<Time> since;
  Time lastLack{};
};

} // namespace gooseberry::cells

#endif
