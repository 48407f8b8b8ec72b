#ifndef GOOSEBERRY_HOSTPORT_H
#define GOOSEBERRY_HOSTPORT_H

// Conversion between IPv4 endpoints and the text form ADDRESS:PORT that
// settings and messages use.

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace gooseberry {

// Parses ADDRESS:PORT; nullopt unless the text is an IPv4 address and a port
// from 0 to 65535.
auto
ParseEndpoint(const std::string& aText)
  -> std::optional<boost::asio::ip::tcp::endpoint>;

auto
ToText(const boost::asio::ip::tcp::endpoint& aEndpoint) -> std::string;

} // namespace gooseberry

#endif
