// How long responses of the adviser are waited for while it is busy.

#include <utility>

#include <criterion/criterion.h>

#include "advicequeue.h"
#include "manualloop.h"

using namespace gooseberry;
using namespace gooseberry::fleet;
using namespace gooseberry::fleet::test;

namespace {

// Answers when the test says so.
class HeldAdviser : public cells::AdviceClient
{
public:
  auto Send(const cells::AdviceRequest& aRequest,
            std::function<void(cells::AdviceResponse)> aDone) -> void override
  {
    this->timeouts.push_back(aRequest.timeout);
    this->held.push_back(std::move(aDone));
  }

  std::vector<Millis> timeouts;
  std::vector<std::function<void(cells::AdviceResponse)>> held;
};

auto
RequestOf(Millis aExpected) -> cells::AdviceRequest
{
  auto request = cells::AdviceRequest{};
  request.expected = aExpected;
  request.timeout = aExpected + Millis{ 2000 };
  return request;
}

} // namespace

// Guards against: a request of one cell is given up while the adviser handles
// those of other cells of this instance.
Test(advice_queue, requests_wait_for_those_before_them)
{
  auto loop = ManualLoop{};
  auto adviser = HeldAdviser{};
  auto queue = AdviceQueue{ loop, adviser };
  const auto ignore = [](const cells::AdviceResponse& /*aResponse*/) {};
  queue.Send(RequestOf(Millis{ 3000 }), ignore);
  loop.Advance(Millis{ 1000 });
  queue.Send(RequestOf(Millis{ 500 }), ignore);
  queue.Send(RequestOf(Millis{ 400 }), ignore);
  const auto expected =
    std::vector{ Millis{ 5000 }, Millis{ 4500 }, Millis{ 4900 } };
  cr_expect(adviser.timeouts == expected);
  for (const auto& done : std::exchange(adviser.held, {})) {
    done({ 0, cells::AdviceStatus::Answered });
  }
  // All are answered: nothing is ahead of the next one.
  queue.Send(RequestOf(Millis{ 100 }), ignore);
  cr_expect(adviser.timeouts.back() == Millis{ 2100 });
  // One that was given up may still be under way.
  loop.Advance(Millis{ 2100 });
  adviser.held.front()({ 0, cells::AdviceStatus::NoResponse });
  queue.Send(RequestOf(Millis{ 100 }), ignore);
  cr_expect(adviser.timeouts.back() == Millis{ 2100 });
}

// Guards against: while the adviser can't be reached, each attempt lengthens
// the time-out of the next one.
Test(advice_queue, failed_connections_leave_nothing_to_wait_for)
{
  auto loop = ManualLoop{};
  auto adviser = HeldAdviser{};
  auto queue = AdviceQueue{ loop, adviser };
  const auto ignore = [](const cells::AdviceResponse& /*aResponse*/) {};
  for (auto attempt = 0; attempt < 20; ++attempt) {
    queue.Send(RequestOf(Millis{ 1000 }), ignore);
    cr_expect(adviser.timeouts.back() == Millis{ 3000 });
    loop.Advance(Millis{ 10 });
    adviser.held.back()({ 0, cells::AdviceStatus::NoResponse });
  }
}
