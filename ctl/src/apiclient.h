#ifndef GOOSEBERRY_APICLIENT_H
#define GOOSEBERRY_APICLIENT_H

// Client for the administration API of one instance.

#include <memory>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace gooseberry {

struct ApiOptions
{
  std::string server = "127.0.0.1:8081";
  std::string token;
  // PEM file with the certificate of the CA that signed the server's
  // certificate; if empty, TLS is not used.
  std::string caCertificatePath;

  auto operator==(const ApiOptions&) const -> bool = default;
};

struct ApiReply
{
  // HTTP status; 0 if there was no response.
  int status = 0;
  nlohmann::json body;
  // Why the call failed; empty if it succeeded.
  std::string reason;

  auto IsSuccess() const -> bool;
};

class ApiClient
{
public:
  explicit ApiClient(ApiOptions aOptions);

  auto Call(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody = "") -> ApiReply;
  // Returns a client for another instance (host:port) with the same token and
  // CA certificate.
  auto ForServer(const std::string& aServer) const -> ApiClient;

private:
  ApiOptions options;
};

} // namespace gooseberry

#endif
