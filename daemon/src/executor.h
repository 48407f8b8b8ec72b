#ifndef GOOSEBERRY_EXECUTOR_H
#define GOOSEBERRY_EXECUTOR_H

// Where control code runs: one loop that owns the control state, and calls
// that block, whose completions come back to the loop. Threads carry it in the
// daemon; a bench may carry it in virtual time.

#include <functional>
#include <optional>

#include "types.h"

namespace gooseberry {

class Executor
{
public:
  using Work = std::function<void()>;
  // Runs off the loop and returns what the loop has to do with the result.
  using BlockingCall = std::function<Work()>;

  virtual ~Executor() = default;

  // Calls aTick every aInterval on the loop until Stop().
  virtual auto Start(Millis aInterval, Work aTick) -> void = 0;
  // Returns when no call is under way any more.
  virtual auto Stop() -> void = 0;
  // Runs on the loop.
  virtual auto Post(Work aWork) -> void = 0;
  // Runs off the loop; its completion runs on it.
  virtual auto Run(BlockingCall aCall) -> void = 0;
  // Runs on the loop and waits; not to be called from the loop itself.
  virtual auto RunAndWait(const Work& aWork) -> void = 0;

  // Runs aWork off the loop, then aDone with its result on it.
  template<class Blocking, class Done>
  auto Call(Blocking aWork, Done aDone) -> void
  {
    this->Run([work = std::move(aWork), done = std::move(aDone)]() -> Work {
      auto result = work();
      return [done, result = std::move(result)] { done(result); };
    });
  }

  // Runs on the loop and hands the result to the waiting caller.
  template<class Question>
  auto Ask(Question aQuestion) -> decltype(aQuestion())
  {
    auto answer = std::optional<decltype(aQuestion())>{};
    this->RunAndWait([&] { answer.emplace(aQuestion()); });
    return std::move(*answer);
  }
};

} // namespace gooseberry

#endif
