#include "eventloop.h"

#include <ctime>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wallclock.h"

namespace gooseberry {

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
EventLoop::UnixMillis() const -> std::int64_t
{
  return gooseberry::UnixMillis();
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
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(aDelay);
  // A handle that was let go cancels, also when the time is already over and
  // the call waits for its turn.
  timer->async_wait([work = std::move(aWork),
                     held = std::weak_ptr<boost::asio::steady_timer>(timer)](
                      const boost::system::error_code& aError) {
    const auto alive = held.lock();
    if (!aError && alive) {
      work();
    }
  });
  return timer;
}

auto
EventLoop::Context() -> boost::asio::io_context&
{
  return this->context;
}

} // namespace gooseberry
