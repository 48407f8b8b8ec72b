#include "advicequeue.h"

#include <algorithm>

namespace gooseberry::fleet {

AdviceQueue::AdviceQueue(Loop& aLoop, cells::AdviceClient& aClient)
  : loop(aLoop)
  , client(aClient)
{
}

auto
AdviceQueue::Send(const cells::AdviceRequest& aRequest,
                  std::function<void(cells::AdviceResponse)> aDone) -> void
{
  const auto now = this->loop.Now();
  const auto begin = std::max(now, this->state->busyUntil);
  auto request = aRequest;
  request.timeout += ToMillis(begin - now);
  this->state->busyUntil = begin + aRequest.expected;
  ++this->state->inFlight;
  this->client.Send(request,
                    [state = this->state, done = std::move(aDone)](
                      const cells::AdviceResponse& aResponse) {
                      if (--state->inFlight == 0 &&
                          aResponse.status != cells::AdviceStatus::NoResponse) {
                        state->busyUntil = {};
                      }
                      done(aResponse);
                    });
}

} // namespace gooseberry::fleet
