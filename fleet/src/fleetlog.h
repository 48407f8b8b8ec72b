#ifndef GOOSEBERRY_FLEETLOG_H
#define GOOSEBERRY_FLEETLOG_H

// Decision lines on standard output: key=value, written by a thread of its own,
// so that a reader that has stopped never holds up a decision.

#include <atomic>
#include <string>
#include <thread>

#include <oneapi/tbb/concurrent_queue.h>

#include "decisionlog.h"

namespace gooseberry::fleet {

class FleetLog : public cells::DecisionLog
{
public:
  explicit FleetLog(std::string aInstance);
  FleetLog(const FleetLog&) = delete;
  auto operator=(const FleetLog&) -> FleetLog& = delete;
  // Writes what is queued, for a moment at most.
  ~FleetLog() override;

  auto Follows(const cells::JobId& aJob) const -> bool override;
  auto Write(const char* aEvent,
             std::initializer_list<cells::DecisionField> aFields)
    -> void override;
  // Lines that found no room.
  auto Dropped() const -> std::uint64_t;

private:
  auto Run() -> void;

  const std::string instance;
  tbb::concurrent_bounded_queue<std::string> lines;
  std::atomic<std::uint64_t> dropped = 0;
  std::thread writer;
};

} // namespace gooseberry::fleet

#endif
