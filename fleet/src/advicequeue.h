#ifndef GOOSEBERRY_ADVICEQUEUE_H
#define GOOSEBERRY_ADVICEQUEUE_H

// Requests to the adviser of all cells that this instance owns. The adviser
// handles one at a time for each instance, so that a request waits there for
// those sent before it: its timeout begins when they should be done. Runs on
// the event loop.

#include <memory>

#include "advice.h"
#include "loop.h"

namespace gooseberry::fleet {

class AdviceQueue : public cells::AdviceClient
{
public:
  AdviceQueue(Loop& aLoop, cells::AdviceClient& aClient);

  auto Send(const cells::AdviceRequest& aRequest,
            std::function<void(cells::AdviceResponse)> aDone) -> void override;

private:
  // Shared with the callbacks, which may outlive the queue.
  struct State
  {
    explicit State(Loop& aLoop)
      : loop(aLoop)
    {
    }

    Loop& loop;
    std::size_t inFlight = 0;
    // When the adviser should be done with all of them.
    Time busyUntil{};
  };

  cells::AdviceClient& client;
  const std::shared_ptr<State> state;
};

} // namespace gooseberry::fleet

#endif
