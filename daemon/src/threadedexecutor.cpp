#include "threadedexecutor.h"

#include <chrono>
#include <future>
#include <memory>

namespace gooseberry {

namespace {

constexpr std::chrono::milliseconds kCallsPollInterval{ 5 };

} // namespace

ThreadedExecutor::ThreadedExecutor(int aBlockingThreads)
  : blockingThreads(static_cast<std::size_t>(aBlockingThreads))
{
}

ThreadedExecutor::~ThreadedExecutor()
{
  this->Stop();
}

auto
ThreadedExecutor::Start(Millis aInterval, Work aTick) -> void
{
  this->loopThread = std::thread([this, aInterval, tick = std::move(aTick)] {
    this->RunLoop(aInterval, tick);
  });
}

auto
ThreadedExecutor::Stop() -> void
{
  if (!this->loopThread.joinable()) {
    return;
  }
  while (this->blockingCallsInFlight > 0) {
    std::this_thread::sleep_for(kCallsPollInterval);
  }
  this->Post([this] { this->stopping = true; });
  this->loopThread.join();
}

auto
ThreadedExecutor::Post(Work aWork) -> void
{
  this->workQueue.push(std::move(aWork));
}

auto
ThreadedExecutor::RunBlocking(BlockingCall aCall) -> void
{
  ++this->blockingCallsInFlight;
  this->blockingThreads.enqueue([this, call = std::move(aCall)] {
    this->Post(call());
    --this->blockingCallsInFlight;
  });
}

auto
ThreadedExecutor::PostAndWait(const Work& aWork) -> void
{
  auto done = std::promise<void>{};
  this->Post([&] {
    aWork();
    done.set_value();
  });
  done.get_future().wait();
}

auto
ThreadedExecutor::RunLoop(Millis aInterval, const Work& aTick) -> void
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
    this->workQueue.pop(work);
    work();
  }
}

} // namespace gooseberry
