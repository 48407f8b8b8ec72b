#include "virtualloop.h"

#include <utility>

namespace gooseberry {

namespace {

// What it takes to get to the next piece of work.
constexpr Micros kDispatch{ 20 };
constexpr std::int64_t kEpochMs = 1'700'000'000'000;

} // namespace

VirtualLoop::VirtualLoop(EventQueue& aQueue)
  : queue(aQueue)
{
}

auto
VirtualLoop::Now() const -> Time
{
  return this->queue.Now();
}

auto
VirtualLoop::UnixMillis() const -> std::int64_t
{
  return kEpochMs + SteadyMillis(this->queue.Now()) + this->clockStep;
}

auto
VirtualLoop::Run(const std::shared_ptr<State>& aState, Work aWork) -> void
{
  if (aState->dead) {
    return;
  }
  if (aState->paused) {
    aState->held.push_back(std::move(aWork));
    return;
  }
  aWork();
}

auto
VirtualLoop::Post(Work aWork) -> void
{
  this->queue.After(kDispatch, [held = this->state, work = std::move(aWork)] {
    Run(held, work);
  });
}

auto
VirtualLoop::After(Micros aDelay, Work aWork) -> TimerHandle
{
  auto handle = std::make_shared<bool>(true);
  this->queue.After(aDelay,
                    [held = this->state,
                     alive = std::weak_ptr<bool>(handle),
                     work = std::move(aWork)] {
                      Run(held, [alive, work] {
                        if (!alive.expired()) {
                          work();
                        }
                      });
                    });
  return handle;
}

auto
VirtualLoop::Pause() -> void
{
  this->state->paused = true;
}

auto
VirtualLoop::Resume() -> void
{
  this->state->paused = false;
  for (auto& work : std::exchange(this->state->held, {})) {
    this->Post(std::move(work));
  }
}

auto
VirtualLoop::Kill() -> void
{
  this->state->dead = true;
  this->state->held.clear();
}

auto
VirtualLoop::Alive() const -> bool
{
  return !this->state->dead;
}

auto
VirtualLoop::StepClock(std::int64_t aMillis) -> void
{
  this->clockStep = aMillis;
}

} // namespace gooseberry
