#include "headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <sstream>

namespace gooseberry {

namespace {

// Headers that are not forwarded, in lower case.
constexpr std::array<const char*, 15> kUnforwardedHeaders{
  // Hop-by-hop headers.
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  // Headers that cpp-httplib sets or handles itself.
  "content-length",
  "expect",
  // Pseudo-headers that cpp-httplib adds to each request it receives.
  "remote_addr",
  "remote_port",
  "local_addr",
  "local_port"
};

auto
ToLower(const std::string& aText) -> std::string
{
  auto text = aText;
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return text;
}

// Lower-case names of all headers that are not forwarded: kUnforwardedHeaders
// and those that the Connection header lists as hop-by-hop.
auto
UnforwardedNames(const httplib::Headers& aHeaders) -> std::set<std::string>
{
  auto names = std::set<std::string>(kUnforwardedHeaders.begin(),
                                     kUnforwardedHeaders.end());
  const auto [first, last] = aHeaders.equal_range("Connection");
  for (auto item = first; item != last; ++item) {
    auto connectionOptions = std::istringstream{ item->second };
    auto name = std::string{};
    while (std::getline(connectionOptions, name, ',')) {
      name.erase(0, name.find_first_not_of(' '));
      name.erase(name.find_last_not_of(' ') + 1);
      names.insert(ToLower(name));
    }
  }
  return names;
}

auto
CopyForwardedHeaders(const httplib::Headers& aHeaders) -> httplib::Headers
{
  const auto unforwarded = UnforwardedNames(aHeaders);
  auto forwarded = httplib::Headers{};
  for (const auto& [name, value] : aHeaders) {
    if (!unforwarded.contains(ToLower(name))) {
      forwarded.emplace(name, value);
    }
  }
  return forwarded;
}

} // namespace

auto
ForwardRequestHeaders(const httplib::Request& aRequest) -> httplib::Headers
{
  auto forwarded = CopyForwardedHeaders(aRequest.headers);
  forwarded.emplace("X-Forwarded-For", aRequest.remote_addr);
  return forwarded;
}

auto
ForwardResponseHeaders(const httplib::Headers& aHeaders) -> httplib::Headers
{
  auto forwarded = CopyForwardedHeaders(aHeaders);
  forwarded.erase("Content-Type");
  return forwarded;
}

} // namespace gooseberry
