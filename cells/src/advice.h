#ifndef GOOSEBERRY_ADVICE_H
#define GOOSEBERRY_ADVICE_H

// Requests to the adviser, the service that decides which workers may run a
// step of a job whose queue requires advice, and its responses.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jobname.h"

namespace gooseberry::cells {

struct AdviceRequest
{
  // Repeated in the response.
  std::uint64_t number = 0;
  StepName step;
  std::vector<WorkerId> workers;
  // How long the adviser takes by its own word, without those before it.
  Millis expected{ 0 };
  // How long to wait for the response once the adviser handles the request.
  Millis timeout{ 0 };

  auto operator==(const AdviceRequest&) const -> bool = default;
};

enum class AdviceStatus
{
  Answered,
  Overloaded, // overloaded; nothing was decided
  Rejected,   // the adviser refuses the request
  NoResponse, // lost, or there is no adviser
  AdviceStatus_NB
};

auto
ToText(AdviceStatus aStatus) -> const char*;

struct AdviceResponse
{
  std::uint64_t number = 0;
  AdviceStatus status = AdviceStatus::NoResponse;
  // The workers that may run the step, each with its ticket.
  std::vector<std::pair<WorkerId, std::string>> allowed;
  // How long the tickets are valid, from the response on.
  Millis validFor{ 0 };
  std::string reason;
};

// Returns at once. The response is delivered later on the implementation's
// event loop, exactly once for each request.
class AdviceClient
{
public:
  virtual ~AdviceClient() = default;
  virtual auto Send(const AdviceRequest& aRequest,
                    std::function<void(AdviceResponse)> aDone) -> void = 0;
};

} // namespace gooseberry::cells

#endif
