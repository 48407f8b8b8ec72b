#include "httpmessage.h"

#include <array>

#include <boost/beast/core/string.hpp>

namespace gooseberry {

auto
ToText(HttpOutcome aEnd) -> const char*
{
  constexpr std::array<const char*,
                       static_cast<int>(HttpOutcome::HttpOutcome_NB)>
    kNames{ "answered", "not_sent", "lost" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

auto
HttpReply::Ok() const -> bool
{
  constexpr int kFirst = 200;
  constexpr int kLast = 299;
  return this->outcome == HttpOutcome::Answered && this->status >= kFirst &&
         this->status <= kLast;
}

auto
DescribeReply(const HttpReply& aReply) -> std::string
{
  return aReply.outcome == HttpOutcome::Answered
           ? "status " + std::to_string(aReply.status)
           : aReply.reason;
}

auto
FindField(const HttpFields& aFields, std::string_view aName) -> std::string
{
  for (const auto& [name, value] : aFields) {
    if (boost::beast::iequals(name, { aName.data(), aName.size() })) {
      return value;
    }
  }
  return {};
}

} // namespace gooseberry
