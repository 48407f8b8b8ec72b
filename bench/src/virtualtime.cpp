#include "virtualtime.h"

#include <utility>

namespace gooseberry {

namespace {

constexpr std::int64_t kPerMille = 1000;
constexpr Micros kDispatch{ 50 };
// Control ticks this often in virtual time, to spare processor time.
constexpr Millis kVirtualTick{ 50 };

} // namespace

auto
EventQueue::Later::operator()(const Event& aLeft, const Event& aRight) const
  -> bool
{
  return std::make_pair(aLeft.when, aLeft.order) >
         std::make_pair(aRight.when, aRight.order);
}

auto
EventQueue::Now() const -> Time
{
  return this->now;
}

auto
EventQueue::At(Time aWhen, std::function<void()> aWork) -> void
{
  this->events.push(
    { std::max(aWhen, this->now), this->nextOrder++, std::move(aWork) });
}

auto
EventQueue::After(Micros aDelay, std::function<void()> aWork) -> void
{
  this->At(this->now + aDelay, std::move(aWork));
}

auto
EventQueue::RunUntil(Time aEnd) -> void
{
  while (!this->events.empty() && this->events.top().when <= aEnd) {
    auto work = this->events.top().work;
    this->now = this->events.top().when;
    this->events.pop();
    work();
  }
  this->now = aEnd;
}

DriftingClock::DriftingClock(const EventQueue& aQueue, std::int64_t aPerMille)
  : queue(aQueue)
  , perMille(aPerMille)
{
}

auto
DriftingClock::Now() const -> Time
{
  const auto world = this->queue.Now().time_since_epoch().count();
  return Time{ Micros{ world + world * this->perMille / kPerMille } };
}

auto
DriftingClock::WorldMillis(std::int64_t aReading) const -> std::int64_t
{
  return aReading * kPerMille / (kPerMille + this->perMille);
}

VirtualExecutor::VirtualExecutor(EventQueue& aQueue, Micros aCallLatency)
  : queue(aQueue)
  , callLatency(aCallLatency)
{
}

auto
VirtualExecutor::Start(Millis /*aInterval*/, Work aTick) -> void
{
  this->Tick(kVirtualTick, aTick);
}

auto
VirtualExecutor::Tick(Millis aInterval, const Work& aTick) -> void
{
  this->queue.After(aInterval, [this, aInterval, aTick] {
    this->Gate([this, aInterval, aTick] {
      aTick();
      this->Tick(aInterval, aTick);
    });
  });
}

auto
VirtualExecutor::Stop() -> void
{
  this->Kill();
}

auto
VirtualExecutor::Post(Work aWork) -> void
{
  this->queue.After(Micros{ 0 },
                    [this, work = std::move(aWork)] { this->Gate(work); });
}

// Also the time between a decision and its message leaving can hold a pause.
auto
VirtualExecutor::RunBlocking(BlockingCall aCall) -> void
{
  this->queue.After(kDispatch, [this, call = std::move(aCall)] {
    this->Gate([this, call] {
      const auto completion = call();
      this->queue.After(this->callLatency,
                        [this, completion] { this->Gate(completion); });
    });
  });
}

auto
VirtualExecutor::PostAndWait(const Work& aWork) -> void
{
  aWork();
}

auto
VirtualExecutor::Pause() -> void
{
  this->paused = true;
}

auto
VirtualExecutor::Resume() -> void
{
  this->paused = false;
  for (auto& work : std::exchange(this->heldBack, {})) {
    this->Post(std::move(work));
  }
}

auto
VirtualExecutor::Kill() -> void
{
  this->dead = true;
  this->heldBack.clear();
}

auto
VirtualExecutor::Alive() const -> bool
{
  return !this->dead;
}

auto
VirtualExecutor::Gate(Work aWork) -> void
{
  if (this->dead) {
    return;
  }
  if (this->paused) {
    this->heldBack.push_back(std::move(aWork));
    return;
  }
  aWork();
}

} // namespace gooseberry
