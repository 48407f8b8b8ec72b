#ifndef GOOSEBERRY_HOSTPORT_H
#define GOOSEBERRY_HOSTPORT_H

// An IPv4 address and a port, as settings and messages name them.

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace gooseberry {

// Reads ADDRESS:PORT; nothing if it is neither.
auto
ParseEndpoint(const std::string& aText)
  -> std::optional<boost::asio::ip::tcp::endpoint>;

auto
ToText(const boost::asio::ip::tcp::endpoint& aEndpoint) -> std::string;

} // namespace gooseberry

#endif
