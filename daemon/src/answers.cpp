#include "answers.h"

#include <array>

#include "headers.h"

namespace gooseberry {

auto
ForwardResponse(const httplib::Request& aRequest,
                httplib::Response& aResponse,
                const std::shared_ptr<Exchange>& aWinner) -> void
{
  aResponse.status = aWinner->Status();
  aResponse.headers = ForwardResponseHeaders(aWinner->Headers());
  aResponse.set_header(kVerdictHeader, ToText(Verdict::Ran));
  const auto& headers = aWinner->Headers();
  const auto headerValue = [&](const char* aName) {
    const auto header = headers.find(aName);
    return header == headers.end() ? std::string{} : header->second;
  };
  const auto contentType = headerValue("Content-Type");
  const auto contentLength = headerValue("Content-Length");
  const auto hasNoBody = aRequest.method == "HEAD" || aResponse.status == 204 ||
                         aResponse.status == 304;
  if (hasNoBody) {
    if (!contentLength.empty()) {
      aResponse.set_header("Content-Length", contentLength);
    }
    return;
  }
  if (aWinner->Body().State() == PipeState::Complete) {
    aResponse.body = aWinner->Body().TakeBuffered();
    // The exchange holds the memory of the body until the response is sent.
    aResponse.content_provider_resource_releaser_ = [aWinner](bool) {};
    if (!contentType.empty()) {
      aResponse.set_header("Content-Type", contentType);
    }
    return;
  }
  const auto onEnd = [aWinner](bool aSucceeded) {
    if (!aSucceeded) {
      aWinner->Cancel();
    }
  };
  if (contentLength.empty()) {
    aResponse.set_chunked_content_provider(
      contentType.c_str(),
      [aWinner](std::size_t, httplib::DataSink& aSink) {
        auto part = std::array<char, kPipeReadBytes>{};
        const auto size = aWinner->Body().Read(part.data(), part.size());
        if (size > 0) {
          return aSink.write(part.data(), size);
        }
        if (aWinner->Body().State() != PipeState::Complete) {
          return false;
        }
        aSink.done();
        return true;
      },
      onEnd);
    return;
  }
  aResponse.set_content_provider(
    std::strtoull(contentLength.c_str(), nullptr, 10),
    contentType.c_str(),
    [aWinner](std::size_t, std::size_t, httplib::DataSink& aSink) {
      auto part = std::array<char, kPipeReadBytes>{};
      const auto size = aWinner->Body().Read(part.data(), part.size());
      return size > 0 && aSink.write(part.data(), size);
    },
    onEnd);
}

auto
WriteFailure(httplib::Response& aResponse, const FailureResponse& aFailure)
  -> void
{
  aResponse.status = aFailure.status;
  aResponse.set_header(kVerdictHeader, ToText(aFailure.verdict));
  aResponse.set_header(kReasonHeader, ToText(aFailure.refusal));
  if (aFailure.retryAfter > Millis{ 0 }) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aFailure.retryAfter);
    aResponse.set_header("Retry-After", std::to_string(seconds.count()));
  }
  aResponse.set_content(aFailure.message + "\n", "text/plain");
}

} // namespace gooseberry
