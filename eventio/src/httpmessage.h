#ifndef GOOSEBERRY_HTTPMESSAGE_H
#define GOOSEBERRY_HTTPMESSAGE_H

// HTTP/1.1 messages as the event-driven client and server exchange them.

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

// How a call over a connection ended.
enum class HttpEnd
{
  Answered, // the whole answer is here
  NotSent,  // no byte of the request left this process: it surely did not run
  Lost,     // it may have run, now or later
  HttpEnd_NB
};

auto
ToText(HttpEnd aEnd) -> const char*;

struct HttpReply
{
  HttpEnd end = HttpEnd::NotSent;
  int status = 0;
  HttpFields fields;
  std::string body;
  // Why there is no answer.
  std::string reason;

  auto Ok() const -> bool;
};

// What the reply was, or why there is none, for logs.
auto
ReasonOf(const HttpReply& aReply) -> std::string;

// The value of a field, by its name in any case; empty if it is absent.
auto
FindField(const HttpFields& aFields, std::string_view aName) -> std::string;

} // namespace gooseberry

#endif
