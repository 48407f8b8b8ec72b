#ifndef GOOSEBERRY_EVENTLOOP_H
#define GOOSEBERRY_EVENTLOOP_H

// One thread that runs everything that waits for sockets or for time. What is
// said to belong to the loop may be touched by its thread alone.

#include <boost/asio/io_context.hpp>

#include "loop.h"

namespace gooseberry {

class EventLoop : public Loop
{
public:
  EventLoop();

  auto Now() const -> Time override;
  auto UnixMillis() const -> std::int64_t override;
  // Any thread.
  auto Post(Work aWork) -> void override;
  auto After(Micros aDelay, Work aWork) -> TimerHandle override;

  // Returns after Stop(), or when nothing is left to wait for.
  auto Run() -> void;
  // Any thread.
  auto Stop() -> void;
  auto Context() -> boost::asio::io_context&;

private:
  boost::asio::io_context context;
};

} // namespace gooseberry

#endif
