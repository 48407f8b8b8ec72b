#include "threadedexecutor.h"

#include <chrono>
#include <future>
#include <memory>

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 5 };

} // namespace

ThreadedExecutor::ThreadedExecutor(int aBlockingThreads)
  : blocking(static_cast<std::size_t>(aBlockingThreads))
{
}

ThreadedExecutor::~ThreadedExecutor()
{
  this->Stop();
}

auto
ThreadedExecutor::Start(Millis aInterval, Work aTick) -> void
{
  this->loop = std::thread([this, aInterval, tick = std::move(aTick)] {
    this->Loop(aInterval, tick);
  });
}

auto
ThreadedExecutor::Stop() -> void
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
ThreadedExecutor::Post(Work aWork) -> void
{
  this->queue.push(std::move(aWork));
}

auto
ThreadedExecutor::Run(BlockingCall aCall) -> void
{
  ++this->calls;
  this->blocking.enqueue([this, call = std::move(aCall)] {
    this->Post(call());
    --this->calls;
  });
}

auto
ThreadedExecutor::RunAndWait(const Work& aWork) -> void
{
  auto done = std::promise<void>{};
  this->Post([&] {
    aWork();
    done.set_value();
  });
  done.get_future().wait();
}

auto
ThreadedExecutor::Loop(Millis aInterval, const Work& aTick) -> void
{
  std::jthread ticker([this, aInterval, &aTick](const std::stop_token& aStop) {
    auto tickQueued = std::make_shared<std::atomic<bool>>(false);
    while (!aStop.stop_requested()) {
      if (!tickQueued->exchange(true)) {
        this->Post([tickQueued, &aTick] {
          *tickQueued = false;
          aTick();
        });
      }
      std::this_thread::sleep_for(aInterval);
    }
  });
  while (!this->stopping) {
    auto work = Work{};
    this->queue.pop(work);
    work();
  }
}

} // namespace gooseberry
