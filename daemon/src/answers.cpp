#include "answers.h"

#include "headers.h"

namespace gooseberry {

auto
PassOn(const httplib::Request& aRequest,
       httplib::Response& aResponse,
       const std::shared_ptr<Exchange>& aWinner) -> void
{
  aResponse.status = aWinner->Status();
  aResponse.headers = ForwardResponseHeaders(aWinner->Headers());
  aResponse.set_header(kVerdictHeader, ToText(Verdict::Ran));
  const auto& headers = aWinner->Headers();
  const auto value = [&](const char* aName) {
    const auto found = headers.find(aName);
    return found == headers.end() ? std::string{} : found->second;
  };
  const auto type = value("Content-Type");
  const auto length = value("Content-Length");
  const auto bodiless = aRequest.method == "HEAD" || aResponse.status == 204 ||
                        aResponse.status == 304;
  if (bodiless) {
    if (!length.empty()) {
      aResponse.set_header("Content-Length", length);
    }
    return;
  }
  if (aWinner->Body().End() == PipeEnd::Whole) {
    aResponse.body = aWinner->Body().Read();
    if (!type.empty()) {
      aResponse.set_header("Content-Type", type);
    }
    return;
  }
  const auto onEnd = [aWinner](bool aSucceeded) {
    if (!aSucceeded) {
      aWinner->Cancel();
    }
  };
  if (length.empty()) {
    aResponse.set_chunked_content_provider(
      type.c_str(),
      [aWinner](std::size_t, httplib::DataSink& aSink) {
        const auto bytes = aWinner->Body().Read();
        if (!bytes.empty()) {
          return aSink.write(bytes.data(), bytes.size());
        }
        if (aWinner->Body().End() != PipeEnd::Whole) {
          return false;
        }
        aSink.done();
        return true;
      },
      onEnd);
    return;
  }
  aResponse.set_content_provider(
    std::strtoull(length.c_str(), nullptr, 10),
    type.c_str(),
    [aWinner](std::size_t, std::size_t, httplib::DataSink& aSink) {
      const auto bytes = aWinner->Body().Read();
      return !bytes.empty() && aSink.write(bytes.data(), bytes.size());
    },
    onEnd);
}

auto
Fail(httplib::Response& aResponse, const Failure& aFailure) -> void
{
  aResponse.status = aFailure.status;
  aResponse.set_header(kVerdictHeader, ToText(aFailure.verdict));
  aResponse.set_header(kReasonHeader, ToText(aFailure.refusal));
  if (aFailure.retryAfter > Millis{ 0 }) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aFailure.retryAfter);
    aResponse.set_header("Retry-After", std::to_string(seconds.count()));
  }
  aResponse.set_content(aFailure.text + "\n", "text/plain");
}

} // namespace gooseberry
