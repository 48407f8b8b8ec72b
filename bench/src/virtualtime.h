#ifndef GOOSEBERRY_VIRTUALTIME_H
#define GOOSEBERRY_VIRTUALTIME_H

// Virtual time: a queue of events, clocks that run at their own rate, and an
// executor whose process can pause, go on, or die.

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "executor.h"
#include "types.h"

namespace gooseberry {

class EventQueue
{
public:
  auto Now() const -> Time;
  auto At(Time aWhen, std::function<void()> aWork) -> void;
  auto After(Micros aDelay, std::function<void()> aWork) -> void;
  // Runs all events up to and including aEnd.
  auto RunUntil(Time aEnd) -> void;

private:
  struct Event
  {
    Time when;
    std::uint64_t order;
    std::function<void()> work;
  };

  struct Later
  {
    auto operator()(const Event& aLeft, const Event& aRight) const -> bool;
  };

  std::priority_queue<Event, std::vector<Event>, Later> events;
  Time now{ Micros{ 1000000 } };
  std::uint64_t nextOrder = 0;
};

// A clock that runs faster or slower than the world by parts of 1,000.
class DriftingClock : public Clock
{
public:
  DriftingClock(const EventQueue& aQueue, std::int64_t aPerMille);
  auto Now() const -> Time override;
  // The world's time of a reading in milliseconds, rounded down.
  auto WorldMillis(std::int64_t aReading) const -> std::int64_t;

private:
  const EventQueue& queue;
  const std::int64_t perMille;
};

class VirtualExecutor : public Executor
{
public:
  VirtualExecutor(EventQueue& aQueue, Micros aCallLatency);

  auto Start(Millis aInterval, Work aTick) -> void override;
  auto Stop() -> void override;
  auto Post(Work aWork) -> void override;
  auto RunBlocking(BlockingCall aCall) -> void override;
  auto PostAndWait(const Work& aWork) -> void override;

  // A paused process does nothing; on Resume() it does all that piled up.
  auto Pause() -> void;
  auto Resume() -> void;
  auto Kill() -> void;
  auto Alive() const -> bool;

private:
  auto Gate(Work aWork) -> void;
  auto Tick(Millis aInterval, const Work& aTick) -> void;

  EventQueue& queue;
  const Micros callLatency;
  std::vector<Work> heldBack;
  bool paused = false;
  bool dead = false;
};

} // namespace gooseberry

#endif
