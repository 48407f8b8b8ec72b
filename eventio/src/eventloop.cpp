#include "eventloop.h"

#include <ctime>

#include <boost/asio/post.hpp>

namespace gooseberry {

Timer::Timer(boost::asio::io_context& aContext)
  : timer(aContext)
{
}

EventLoop::EventLoop()
  : context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO)
{
}

auto
EventLoop::Now() const -> Time
{
  // Counts the time of a suspended machine as well: what other machines do
  // goes on meanwhile.
  auto now = timespec{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Time{ std::chrono::seconds{ now.tv_sec } +
               std::chrono::duration_cast<Micros>(
                 std::chrono::nanoseconds{ now.tv_nsec }) };
}

auto
EventLoop::Run() -> void
{
  this->context.run();
}

auto
EventLoop::Stop() -> void
{
  this->context.stop();
}

auto
EventLoop::Post(Work aWork) -> void
{
  boost::asio::post(this->context, std::move(aWork));
}

auto
EventLoop::After(Micros aDelay, Work aWork) -> TimerHandle
{
  auto handle = std::make_shared<Timer>(this->context);
  handle->timer.expires_after(aDelay);
  // A handle that was let go cancels, also when the time is already over and
  // the call waits for its turn.
  handle->timer.async_wait(
    [work = std::move(aWork), held = std::weak_ptr<Timer>(handle)](
      const boost::system::error_code& aError) {
      const auto alive = held.lock();
      if (!aError && alive) {
        work();
      }
    });
  return handle;
}

auto
EventLoop::Context() -> boost::asio::io_context&
{
  return this->context;
}

} // namespace gooseberry
