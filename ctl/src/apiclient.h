#ifndef GOOSEBERRY_APICLIENT_H
#define GOOSEBERRY_APICLIENT_H

// Calls to the administration API of one instance.

#include <memory>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace gooseberry {

struct ApiOptions
{
  std::string server = "127.0.0.1:8081";
  std::string token;
  // PEM file of the authority that signed the server's certificate; empty
  // means no TLS.
  std::string authority;

  auto operator==(const ApiOptions&) const -> bool = default;
};

struct ApiReply
{
  // 0 if there was no answer.
  int status = 0;
  nlohmann::json body;
  std::string reason;

  auto Good() const -> bool;
};

class ApiClient
{
public:
  explicit ApiClient(ApiOptions aOptions);

  auto Call(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody = "") -> ApiReply;
  // The same call to another instance, with the same token.
  auto At(const std::string& aServer) const -> ApiClient;

private:
  ApiOptions options;
};

} // namespace gooseberry

#endif
