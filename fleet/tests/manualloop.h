#ifndef GOOSEBERRY_MANUALLOOP_H
#define GOOSEBERRY_MANUALLOOP_H

// An event loop without threads for tests.

#include <map>
#include <memory>

#include "loop.h"

namespace gooseberry::fleet::test {

// Time stands still until the test moves it.
class ManualLoop : public Loop
{
public:
  auto Now() const -> Time override { return this->now; }
  auto UnixMillis() const -> std::int64_t override { return 0; }
  auto Post(Work aWork) -> void override { this->After({}, std::move(aWork)); }
  auto After(Micros aDelay, Work aWork) -> TimerHandle override
  {
    const auto work = std::make_shared<Work>(std::move(aWork));
    this->calls.emplace(this->now + aDelay, work);
    return work;
  }

  auto Advance(Millis aTime) -> void
  {
    this->now += aTime;
    while (!this->calls.empty() && this->calls.begin()->first <= this->now) {
      const auto call = this->calls.begin()->second.lock();
      this->calls.erase(this->calls.begin());
      if (call) {
        (*call)();
      }
    }
  }

private:
  Time now{ Millis{ 1000 } };
  std::multimap<Time, std::weak_ptr<Work>> calls;
};

} // namespace gooseberry::fleet::test

#endif
