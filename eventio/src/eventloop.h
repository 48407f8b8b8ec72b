#ifndef GOOSEBERRY_EVENTLOOP_H
#define GOOSEBERRY_EVENTLOOP_H

// One thread that runs everything that waits for sockets or for time. What is
// said to belong to the loop may be touched by its thread alone.

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "types.h"

namespace gooseberry {

// A call that is due later; it is cancelled when the last holder lets it go.
class Timer
{
public:
  explicit Timer(boost::asio::io_context& aContext);

private:
  friend class EventLoop;

  boost::asio::steady_timer timer;
};

using TimerHandle = std::shared_ptr<Timer>;

class EventLoop : public Clock
{
public:
  using Work = std::function<void()>;

  EventLoop();

  auto Now() const -> Time override;
  // Returns after Stop(), or when nothing is left to wait for.
  auto Run() -> void;
  // Any thread.
  auto Stop() -> void;
  // Any thread: runs the work on the loop, soon.
  auto Post(Work aWork) -> void;
  auto After(Micros aDelay, Work aWork) -> TimerHandle;
  auto Context() -> boost::asio::io_context&;

private:
  boost::asio::io_context context;
};

} // namespace gooseberry

#endif
