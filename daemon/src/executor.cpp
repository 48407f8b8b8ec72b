#include "executor.h"

#include <chrono>

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 5 };

} // namespace

Executor::Executor(int aBlockingThreads)
  : threads(oneapi::tbb::global_control::max_allowed_parallelism,
            static_cast<std::size_t>(aBlockingThreads) + 1)
  , arena(aBlockingThreads, 0)
{
}

Executor::~Executor()
{
  this->Stop();
}

auto
Executor::Start(Millis aInterval, std::function<void()> aTick) -> void
{
  this->loop = std::thread([this, aInterval, tick = std::move(aTick)] {
    this->Loop(aInterval, tick);
  });
}

auto
Executor::Stop() -> void
{
  if (!this->loop.joinable()) {
    return;
  }
  while (this->calls > 0) {
    std::this_thread::sleep_for(kPollInterval);
  }
  this->Post([this] { this->stopping = true; });
  this->loop.join();
}

auto
Executor::Post(std::function<void()> aWork) -> void
{
  this->queue.push(std::move(aWork));
}

auto
Executor::Loop(Millis aInterval, const std::function<void()>& aTick) -> void
{
  std::jthread ticker([this, aInterval, &aTick](const std::stop_token& aStop) {
    auto pending = std::make_shared<std::atomic<bool>>(false);
    while (!aStop.stop_requested()) {
      if (!pending->exchange(true)) {
        this->Post([pending, &aTick] {
          *pending = false;
          aTick();
        });
      }
      std::this_thread::sleep_for(aInterval);
    }
  });
  while (!this->stopping) {
    auto work = std::function<void()>{};
    this->queue.pop(work);
    work();
  }
}

} // namespace gooseberry
