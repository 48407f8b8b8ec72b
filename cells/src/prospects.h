#ifndef GOOSEBERRY_PROSPECTS_H
#define GOOSEBERRY_PROSPECTS_H

// Which jobs can still end in time when there is more work than room. Serving
// all of them by deadline alone makes all of them late; so as many as possible
// are kept in time, and the others come after these.

#include <vector>

#include "types.h"

namespace gooseberry::cells {

enum class Prospect
{
  InTime,
  Late,     // ends too late, but still of use
  Hopeless, // nobody waits for its end any more
  Prospect_NB
};

// A job as far as the selection looks at it.
struct Candidate
{
  // By when it should end, and by when its end is still of use.
  Time objective{};
  Time lateObjective{};
  // Work left and in all, in core-milliseconds.
  double workLeft = 0.0;
  double work = 0.0;
  // The longest chain of work that is left.
  Millis chainLeft{ 0 };

  auto operator==(const Candidate&) const -> bool = default;
};

// The prospect of each candidate, if aCores work on all of them.
auto
ProspectsOf(Time aNow, double aCores, const std::vector<Candidate>& aCandidates)
  -> std::vector<Prospect>;

} // namespace gooseberry::cells

#endif
