#ifndef GOOSEBERRY_VIRTUALLOOP_H
#define GOOSEBERRY_VIRTUALLOOP_H

// The loop of one simulated process: its work waits while the process is
// paused, and is dropped when it dies.

#include <memory>
#include <vector>

#include "loop.h"
#include "virtualtime.h"

namespace gooseberry {

class VirtualLoop : public Loop
{
public:
  explicit VirtualLoop(EventQueue& aQueue);

  auto Now() const -> Time override;
  auto UnixMillis() const -> std::int64_t override;
  auto Post(Work aWork) -> void override;
  auto After(Micros aDelay, Work aWork) -> TimerHandle override;

  auto Pause() -> void;
  auto Resume() -> void;
  auto Kill() -> void;
  auto Alive() const -> bool;
  // Sets the time of day off by so much.
  auto StepClock(std::int64_t aMillis) -> void;

private:
  struct State
  {
    bool paused = false;
    bool dead = false;
    std::vector<Work> held;
  };

  static auto Run(const std::shared_ptr<State>& aState, Work aWork) -> void;

  EventQueue& queue;
  std::shared_ptr<State> state = std::make_shared<State>();
  std::int64_t clockStep = 0;
};

} // namespace gooseberry

#endif
