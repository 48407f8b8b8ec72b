#ifndef GOOSEBERRY_EXECUTOR_H
#define GOOSEBERRY_EXECUTOR_H

// Runs the control plane: one loop that owns its state, and blocking calls off
// the loop, whose completions run on the loop. The daemon implements it with
// threads; the benches implement it in virtual time.

#include <functional>
#include <optional>

#include "types.h"

namespace gooseberry {

class Executor
{
public:
  using Work = std::function<void()>;
  // Runs off the loop and returns its completion, which runs on the loop.
  using BlockingCall = std::function<Work()>;

  virtual ~Executor() = default;

  // Calls aTick every aInterval on the loop until Stop().
  virtual auto Start(Millis aInterval, Work aTick) -> void = 0;
  // Returns when no blocking call is under way any more.
  virtual auto Stop() -> void = 0;
  // Queues aWork to run on the loop; returns at once.
  virtual auto Post(Work aWork) -> void = 0;
  // Queues aCall to run off the loop; its completion runs on the loop.
  virtual auto RunBlocking(BlockingCall aCall) -> void = 0;
  // Runs aWork on the loop and returns when it is done. Must not be called from
  // the loop: it would wait for itself.
  virtual auto PostAndWait(const Work& aWork) -> void = 0;

  // Runs aWork off the loop, then aDone with its result on the loop.
  template<class Blocking, class Done>
  auto CallBlocking(Blocking aWork, Done aDone) -> void
  {
    this->RunBlocking(
      [work = std::move(aWork), done = std::move(aDone)]() -> Work {
        auto result = work();
        return [done, result = std::move(result)] { done(result); };
      });
  }

  // Runs aQuery on the loop and returns its result. Must not be called from the
  // loop.
  template<class Query>
  auto QueryLoop(Query aQuery) -> decltype(aQuery())
  {
    auto result = std::optional<decltype(aQuery())>{};
    this->PostAndWait([&] { result.emplace(aQuery()); });
    return std::move(*result);
  }
};

} // namespace gooseberry

#endif
