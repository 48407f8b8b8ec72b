#ifndef GOOSEBERRY_ANSWERS_H
#define GOOSEBERRY_ANSWERS_H

// What a caller is answered: a backend server's answer passed on, or why there
// is none.

#include <memory>
#include <string>

#include <httplib.h>

#include "exchange.h"
#include "verdict.h"

namespace gooseberry {

struct Failure
{
  int status = 0;
  Verdict verdict = Verdict::NotRun;
  Refusal refusal = Refusal::BadRequest;
  Millis retryAfter{ 0 };
  std::string text;
};

// Passes the answer on; what is not whole yet is streamed, and a cut answer
// ends the connection instead of looking whole.
auto
PassOn(const httplib::Request& aRequest,
       httplib::Response& aResponse,
       const std::shared_ptr<Exchange>& aWinner) -> void;

// Says in the status and in headers whether the request may have run, why it
// failed and when to come back.
auto
Fail(httplib::Response& aResponse, const Failure& aFailure) -> void;

} // namespace gooseberry

#endif
