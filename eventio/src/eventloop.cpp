#include "eventloop.h"

#include <ctime>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wallclock.h"

namespace gooseberry {

// BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO disables the locks of socket I/O, so
// sockets and timers must be used only on the thread of the loop. The scheduler
// keeps its locks, so Post() and Stop() may be called from any thread.
EventLoop::EventLoop()
  : context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO)
{
}

auto
EventLoop::Now() const -> Time
{
  // CLOCK_BOOTTIME includes the time that this machine is suspended. Other
  // machines keep running meanwhile, so leases and timeouts that are measured
  // with this clock must go on expiring.
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
  // Releasing the last handle cancels the call of aWork, even if the timer has
  // already expired and its completion is queued.
  timer->async_wait([work = std::move(aWork),
                     weakTimer = std::weak_ptr<boost::asio::steady_timer>(
                       timer)](const boost::system::error_code& aError) {
    const auto heldTimer = weakTimer.lock();
    if (!aError && heldTimer) {
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
