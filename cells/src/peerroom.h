#ifndef GOOSEBERRY_PEERROOM_H
#define GOOSEBERRY_PEERROOM_H

// The room of another cell for tasks that are delegated to it.

#include <cstdint>
#include <vector>

#include "cellload.h"

namespace gooseberry::cells {

// What is known of the room of another cell.
struct PeerRoom
{
  CellLoad load;
  Time measuredAt{};
  // Tasks that were delegated to it of late, in thousandths of a core.
  struct Sent
  {
    Time at{};
    bool bestEffort = false;
    bool overdue = false;
    std::int64_t cpuMillis = 0;
  };
  std::vector<Sent> sent;
  // It has returned tasks, and gets none until then.
  Time avoidReservedUntil{};
  Time avoidBestEffortUntil{};
  Time avoidOverdueUntil{};
};

} // namespace gooseberry::cells

#endif
