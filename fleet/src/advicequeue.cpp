#include "advicequeue.h"

#include <algorithm>

namespace gooseberry::fleet {

AdviceQueue::AdviceQueue(Loop& aLoop, cells::AdviceClient& aClient)
  : client(aClient)
  , state(std::make_shared<State>(aLoop))
{
}

auto
AdviceQueue::Send(const cells::AdviceRequest& aRequest,
                  std::function<void(cells::AdviceResponse)> aDone) -> void
{
  const auto now = this->state->loop.Now();
  const auto begin = std::max(now, this->state->busyUntil);
  auto request = aRequest;
  request.timeout += ToMillis(begin - now);
  this->state->busyUntil = begin + aRequest.expected;
  ++this->state->inFlight;
  this->client.Send(
    request,
    [state = this->state,
     expected = aRequest.expected,
     failsAt = now + request.timeout,
     done = std::move(aDone)](const cells::AdviceResponse& aResponse) {
      --state->inFlight;
      if (aResponse.status != cells::AdviceStatus::NoResponse) {
        if (state->inFlight == 0) {
          state->busyUntil = {};
        }
      } else if (state->loop.Now() < failsAt) {
        // The connection failed: the adviser does not handle the request.
        state->busyUntil -= expected;
      }
      done(aResponse);
    });
}

} // namespace gooseberry::fleet
