#ifndef GOOSEBERRY_ANSWERS_H
#define GOOSEBERRY_ANSWERS_H

// Responses to callers: a backend server's response is forwarded, or a failure
// is reported with its reason.

#include <memory>
#include <string>

#include <httplib.h>

#include "exchange.h"
#include "verdict.h"

namespace gooseberry {

// Response to a caller whose request got no response from a backend server.
struct FailureResponse
{
  int status = 0;
  Verdict verdict = Verdict::NotRun;
  Refusal refusal = Refusal::BadRequest;
  // Sent as the Retry-After header if positive, rounded up to whole seconds.
  Millis retryAfter{ 0 };
  std::string message;
};

// Forwards the response. A response that is not yet complete is streamed; if it
// is cut short, the caller's connection is closed, so that the caller cannot
// take it for complete.
auto
ForwardResponse(const httplib::Request& aRequest,
                httplib::Response& aResponse,
                const std::shared_ptr<Exchange>& aWinner) -> void;

// Reports in the status and in headers whether the request may have run, why it
// failed and when to retry.
auto
WriteFailure(httplib::Response& aResponse, const FailureResponse& aFailure)
  -> void;

} // namespace gooseberry

#endif
