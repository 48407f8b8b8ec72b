#ifndef GOOSEBERRY_EXECUTOR_H
#define GOOSEBERRY_EXECUTOR_H

// One loop thread that owns the control state, and an arena of oneTBB for
// calls that block. A call's completion runs on the loop thread.

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <thread>

#include <oneapi/tbb/concurrent_queue.h>
#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>

#include "types.h"

namespace gooseberry {

class Executor
{
public:
  explicit Executor(int aBlockingThreads);
  Executor(const Executor&) = delete;
  auto operator=(const Executor&) -> Executor& = delete;
  ~Executor();

  // Calls aTick every aInterval on the loop thread until Stop().
  auto Start(Millis aInterval, std::function<void()> aTick) -> void;
  // Waits until no blocking call is under way.
  auto Stop() -> void;

  // Runs on the loop thread.
  auto Post(std::function<void()> aWork) -> void;

  // Runs aWork in the arena, then aDone with its result on the loop thread.
  template<class Work, class Done>
  auto Call(Work aWork, Done aDone) -> void
  {
    ++this->calls;
    this->arena.enqueue(
      [this, work = std::move(aWork), done = std::move(aDone)] {
        auto result = work();
        this->Post([done, result = std::move(result)] { done(result); });
        --this->calls;
      });
  }

  // Runs on the loop thread and hands the result to the waiting caller.
  template<class Work>
  auto Ask(Work aWork) -> decltype(aWork())
  {
    using Result = decltype(aWork());
    auto task =
      std::make_shared<std::packaged_task<Result()>>(std::move(aWork));
    auto answer = task->get_future();
    this->Post([task] { (*task)(); });
    return answer.get();
  }

private:
  auto Loop(Millis aInterval, const std::function<void()>& aTick) -> void;

  // Blocking calls need more threads than there are processors.
  oneapi::tbb::global_control threads;
  oneapi::tbb::task_arena arena;
  oneapi::tbb::concurrent_bounded_queue<std::function<void()>> queue;
  std::atomic<int> calls = 0;
  std::atomic<bool> stopping = false;
  std::thread loop;
};

} // namespace gooseberry

#endif
