#include "hostport.h"

#include <charconv>

#include <boost/asio/ip/address_v4.hpp>

namespace gooseberry {

auto
ParseEndpoint(const std::string& aText)
  -> std::optional<boost::asio::ip::tcp::endpoint>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  auto error = boost::system::error_code{};
  const auto address =
    boost::asio::ip::make_address_v4(aText.substr(0, colon), error);
  auto port = std::uint16_t{ 0 };
  const auto* const begin = aText.data() + colon + 1;
  const auto* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(begin, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end || begin == end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint{ address, port };
}

auto
ToText(const boost::asio::ip::tcp::endpoint& aEndpoint) -> std::string
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

} // namespace gooseberry
