#ifndef GOOSEBERRY_EVENTLOOP_H
#define GOOSEBERRY_EVENTLOOP_H

// Event loop on one thread: runs socket and timer callbacks. Objects documented
// as belonging to the loop may be accessed only from its thread.

#include <boost/asio/io_context.hpp>

#include "loop.h"

namespace gooseberry {

class EventLoop : public Loop
{
public:
  EventLoop();

  auto Now() const -> Time override;
  auto UnixMillis() const -> std::int64_t override;
  // May be called from any thread.
  auto Post(Work aWork) -> void override;
  auto After(Micros aDelay, Work aWork) -> TimerHandle override;

  // Returns after Stop(), or when no operation or timer is pending.
  auto Run() -> void;
  // May be called from any thread.
  auto Stop() -> void;
  auto Context() -> boost::asio::io_context&;

private:
  boost::asio::io_context context;
};

} // namespace gooseberry

#endif
