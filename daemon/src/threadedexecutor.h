#ifndef GOOSEBERRY_THREADEDEXECUTOR_H
#define GOOSEBERRY_THREADEDEXECUTOR_H

// The daemon's executor: a loop thread with a oneTBB queue, and a pool of
// threads for blocking calls. A oneTBB arena is not used for those calls,
// because its threads spin for a while after each call, which costs more than
// the calls.

#include <atomic>
#include <thread>

#include <oneapi/tbb/concurrent_queue.h>

#include "connectionthreadpool.h"
#include "executor.h"

namespace gooseberry {

class ThreadedExecutor final : public Executor
{
public:
  explicit ThreadedExecutor(int aBlockingThreads);
  ThreadedExecutor(const ThreadedExecutor&) = delete;
  auto operator=(const ThreadedExecutor&) -> ThreadedExecutor& = delete;
  ~ThreadedExecutor() override;

  auto Start(Millis aInterval, Work aTick) -> void override;
  auto Stop() -> void override;
  auto Post(Work aWork) -> void override;
  auto RunBlocking(BlockingCall aCall) -> void override;
  auto PostAndWait(const Work& aWork) -> void override;

private:
  // Runs queued work until Stop(). A second thread queues aTick every
  // aInterval, but not while the last tick still waits in the queue.
  auto RunLoop(Millis aInterval, const Work& aTick) -> void;

  ConnectionThreadPool blockingThreads;
  oneapi::tbb::concurrent_bounded_queue<Work> workQueue;
  std::atomic<int> blockingCallsInFlight = 0;
  std::atomic<bool> stopping = false;
  std::thread loopThread;
};

} // namespace gooseberry

#endif
