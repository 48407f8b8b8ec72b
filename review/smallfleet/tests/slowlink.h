#ifndef GOOSEBERRY_SLOWLINK_H
#define GOOSEBERRY_SLOWLINK_H

// A proxy on loopback that lets through what comes back from a server at the
// speed of a machine's link, which all its connections share.

#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "eventloop.h"

namespace gooseberry::review {

class SlowLink
{
public:
  // Throws boost::system::system_error if no port can be bound.
  SlowLink(EventLoop& aLoop, std::uint16_t aServerPort, double aMegabits);
  SlowLink(const SlowLink&) = delete;
  auto operator=(const SlowLink&) -> SlowLink& = delete;
  ~SlowLink();
  auto Port() const -> std::uint16_t;

private:
  class Channel;

  auto Accept() -> void;
  // The time that so many bytes take, after all those before them.
  auto Reserve(std::size_t aBytes) -> Micros;

  EventLoop& loop;
  const boost::asio::ip::tcp::endpoint server;
  const double bytesPerMicro;
  boost::asio::ip::tcp::acceptor acceptor;
  // When the link has carried all that was given to it.
  Time free{};
};

} // namespace gooseberry::review

#endif
