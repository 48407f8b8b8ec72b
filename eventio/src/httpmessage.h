#ifndef GOOSEBERRY_HTTPMESSAGE_H
#define GOOSEBERRY_HTTPMESSAGE_H

// HTTP/1.1 messages of the event-driven client and server.

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "types.h"

namespace gooseberry {

using HttpFields = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest
{
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
};

// Outcome of a call over a connection.
enum class HttpOutcome
{
  Answered, // the complete response was received
  NotSent,  // no byte of the request was sent: it was not executed
  Unknown,  // the request may have been executed, or may be later
  HttpOutcome_NB
};

auto
ToText(HttpOutcome aEnd) -> const char*;

struct HttpReply
{
  HttpOutcome outcome = HttpOutcome::NotSent;
  int status = 0;
  HttpFields fields;
  std::string body;
  // Why there is no response; empty if there is one.
  std::string reason;
  // The number of the connection that brought it, of those that the client has
  // opened; 0 without a response.
  std::uint64_t connection = 0;

  auto Ok() const -> bool;
};

// The status of the response, or the reason why there is none, for logs.
auto
DescribeReply(const HttpReply& aReply) -> std::string;

// Returns the value of the first field with this name, compared without regard
// to case; empty if there is none.
auto
FindField(const HttpFields& aFields, std::string_view aName) -> std::string;

} // namespace gooseberry

#endif
