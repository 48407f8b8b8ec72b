#include "apiclient.h"

#include "httpplatform.h"
#include "jsontext.h"

namespace gooseberry {

namespace {

constexpr int kFirstError = 400;
constexpr std::chrono::seconds kTimeout{ 15 };

auto
MakeClient(const ApiOptions& aOptions, const HostPort& aAddress)
  -> std::unique_ptr<httplib::ClientImpl>
{
  if (aOptions.caCertificatePath.empty()) {
    return std::make_unique<httplib::ClientImpl>(aAddress.host, aAddress.port);
  }
  auto client =
    std::make_unique<httplib::SSLClient>(aAddress.host, aAddress.port);
  client->set_ca_cert_path(aOptions.caCertificatePath.c_str());
  client->enable_server_certificate_verification(true);
  return client;
}

} // namespace

auto
ApiReply::IsSuccess() const -> bool
{
  return this->status > 0 && this->status < kFirstError;
}

ApiClient::ApiClient(ApiOptions aOptions)
  : options(std::move(aOptions))
{
}

auto
ApiClient::Call(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody) -> ApiReply
{
  const auto address = ParseHostPort(this->options.server);
  if (!address) {
    return { 0, {}, "'" + this->options.server + "' is not host:port" };
  }
  const auto client = MakeClient(this->options, *address);
  client->set_connection_timeout(kTimeout);
  client->set_read_timeout(kTimeout);
  auto request = httplib::Request{};
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  if (!this->options.token.empty()) {
    request.headers.emplace("Authorization", "Bearer " + this->options.token);
  }
  const auto result = client->send(request);
  if (!result) {
    return { 0,
             {},
             this->options.server + ": no answer (" +
               httplib::to_string(result.error()) + ")" };
  }
  auto reply = ApiReply{ result->status, TryParseJson(result->body), {} };
  if (!reply.IsSuccess()) {
    const auto isErrorObject = reply.body.is_object();
    reply.reason = isErrorObject ? TextIn(reply.body, "error") : result->body;
    if (isErrorObject && !reply.body["details"].is_null()) {
      reply.reason += ": " + reply.body["details"].dump();
    }
  }
  return reply;
}

auto
ApiClient::ForServer(const std::string& aServer) const -> ApiClient
{
  auto otherOptions = this->options;
  otherOptions.server = aServer;
  return ApiClient{ otherOptions };
}

} // namespace gooseberry
