// Steps whose workers are chosen by the adviser.

#include <criterion/criterion.h>

#include "adviser.h"
#include "cellharness.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;
using namespace gooseberry::cells::test;

namespace {

const auto kStep = StepName{ *JobId::Parse("5c0e7a21d94b36f8"), 0, 1 };

auto
At(int aMillis) -> Time
{
  return Time{ Micros{ 1'000'000'000 } } + Millis{ aMillis };
}

auto
Answer(const AdviceRequest& aRequest,
       const std::vector<std::string>& aAllowed,
       Millis aValidFor = Millis{ 3000 }) -> AdviceResponse
{
  auto response = AdviceResponse{ aRequest.number, AdviceStatus::Answered };
  for (const auto& worker : aAllowed) {
    response.allowed.emplace_back(WorkerId{ worker }, "ticket-" + worker);
  }
  response.validFor = aValidFor;
  return response;
}

auto
Incarnation(const char* aWorker, std::int64_t aStartUnixMs = 1)
  -> WorkerIncarnation
{
  return { { aWorker }, aStartUnixMs };
}

// Submits a job whose queue requires advice.
auto
SubmitAdvised(CellHarness& aHarness, JobSpec aSpec) -> JobId
{
  auto config = std::make_shared<SiteConfig>();
  config->version = 2;
  config->services.emplace(ServiceId{ kServiceName },
                           Service{ { kServiceName } });
  auto queue = Queue{ { "queue" } };
  queue.policy.service = { kServiceName };
  queue.policy.maxAttempts = 2;
  queue.policy.requiresAdvice = true;
  config->queues.push_back(queue);
  const auto job = aHarness.Submit(std::move(aSpec));
  aHarness.cell.OnConfig(config);
  return job;
}

} // namespace

Test(adviser, ticket_is_not_used_shortly_before_it_expires)
{
  auto adviser = AdviceCache{};
  const auto request = adviser.MakeRequest(
    At(0), kStep, { Incarnation("a"), Incarnation("b") }, {}, false);
  cr_expect_eq(request.workers.size(), 2);
  adviser.OnResponse(At(400), Answer(request, { "a" }));
  cr_assert_not_null(adviser.FindTicket(At(2400), kStep, Incarnation("a")));
  cr_expect_str_eq(
    adviser.FindTicket(At(2400), kStep, Incarnation("a"))->c_str(), "ticket-a");
  // Valid for 3 s, counted from the request.
  cr_expect_null(adviser.FindTicket(At(2600), kStep, Incarnation("a")));
  cr_expect_null(adviser.FindTicket(At(500), kStep, Incarnation("b")));
  cr_expect_null(adviser.FindTicket(At(500), kStep, Incarnation("a", 2)));
  cr_expect_null(
    adviser.FindTicket(At(500), { kStep.job, 0, 2 }, Incarnation("a")));
}

Test(adviser, requests_skip_refused_workers_and_valid_tickets)
{
  auto adviser = AdviceCache{};
  cr_expect(adviser.MayGainTicket(At(0), kStep, Incarnation("b")));
  const auto request = adviser.MakeRequest(
    At(0), kStep, { Incarnation("a"), Incarnation("b") }, {}, false);
  adviser.OnResponse(At(100), Answer(request, { "a" }));
  cr_expect_not(adviser.MayGainTicket(At(100), kStep, Incarnation("a")));
  cr_expect(adviser.MayGainTicket(At(2900), kStep, Incarnation("a")));
  // A refusal holds for one incarnation of the worker.
  cr_expect_not(adviser.MayGainTicket(At(60000), kStep, Incarnation("b")));
  cr_expect(adviser.MayGainTicket(At(100), kStep, Incarnation("b", 2)));
  adviser.ForgetJob(kStep.job);
  cr_expect(adviser.MayGainTicket(At(100), kStep, Incarnation("b")));
}

Test(adviser, request_is_retried_after_a_delay)
{
  auto adviser = AdviceCache{};
  const auto request =
    adviser.MakeRequest(At(0), kStep, { Incarnation("a") }, {}, false);
  auto retryAt = Time::max();
  cr_expect_not(adviser.CanSendRequest(At(10), kStep, retryAt));
  cr_expect(adviser.OnResponse(
              At(50), { request.number, AdviceStatus::Overloaded }) == kStep);
  cr_expect_not(adviser.CanSendRequest(At(60), kStep, retryAt));
  cr_expect(retryAt == At(50) + kAdviceRetryDelay);
  cr_expect(adviser.CanSendRequest(At(50) + kAdviceRetryDelay, kStep, retryAt));
  // Nothing was learnt about the worker.
  cr_expect(adviser.MayGainTicket(At(300), kStep, Incarnation("a")));
  cr_expect_not(
    adviser.OnResponse(At(400), { request.number, AdviceStatus::Answered })
      .has_value());
}

// One worker in ten may run a step. Requests must name more workers, or too
// many of them are needed.
Test(adviser, request_names_more_workers_if_few_are_allowed)
{
  auto adviser = AdviceCache{};
  const auto initial = adviser.RequestSize(10, {}, false);
  for (auto index = 0; index < 20; ++index) {
    const auto step = StepName{ kStep.job, 0, static_cast<unsigned>(index) };
    auto incarnations = std::vector<WorkerIncarnation>{};
    for (auto worker = 0; worker < 10; ++worker) {
      incarnations.push_back({ { "w" + std::to_string(worker) }, 1 });
    }
    const auto request =
      adviser.MakeRequest(At(index), step, incarnations, {}, false);
    adviser.OnResponse(At(index), Answer(request, { "w3" }));
  }
  cr_expect_geq(adviser.RequestSize(10, {}, false), 3 * initial);
  cr_expect_leq(adviser.RequestSize(1000, {}, false), 100);
}

Test(advice, tasks_start_only_on_allowed_workers)
{
  auto harness = CellHarness{};
  for (const auto* const worker : { "w1", "w2", "w3" }) {
    harness.AddWorker(worker);
  }
  SubmitAdvised(harness, JobWithSteps({ 4 }));
  cr_expect_eq(harness.StartAll().size(), 0);
  const auto requests = harness.cell.TakeAdviceRequests();
  cr_assert_eq(requests.size(), 1);
  cr_expect_eq(requests[0].workers.size(), 3);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w2" }));
  const auto starts = harness.StartAll();
  cr_expect_eq(starts.size(), 4);
  for (const auto& start : starts) {
    cr_expect_str_eq(start.worker.text.c_str(), "w2");
    cr_expect_str_eq(start.ticket.c_str(), "ticket-w2");
  }
  cr_expect_eq(harness.cell.TakeAdviceRequests().size(), 0);
}

Test(advice, gang_starts_only_on_allowed_workers)
{
  auto harness = CellHarness{};
  for (const auto* const worker : { "w1", "w2", "w3" }) {
    harness.AddWorker(worker);
  }
  auto spec = JobWithSteps({ 3 });
  spec.steps[0].gang = true;
  SubmitAdvised(harness, spec);
  cr_expect_eq(harness.StartAll().size(), 0);
  const auto requests = harness.cell.TakeAdviceRequests();
  cr_assert_eq(requests.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w1", "w3" }));
  harness.Advance(Millis{ 200 });
  const auto starts = harness.StartAll();
  cr_expect_eq(starts.size(), 3);
  for (const auto& start : starts) {
    cr_expect(start.ticket == "ticket-" + start.worker.text);
  }
}

// A worker rejects a ticket that should still be valid.
Test(advice, rejected_ticket_is_requested_again)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  SubmitAdvised(harness, JobWithSteps({ 1 }));
  harness.StartAll();
  auto requests = harness.cell.TakeAdviceRequests();
  cr_assert_eq(requests.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w1" }));
  harness.Tick();
  harness.RecordAll();
  const auto starts = harness.TakeCallsOfKind(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness.Answer(starts[0], CallOutcome::InvalidTicket);
  harness.Advance(Millis{ 400 });
  harness.Tick();
  requests = harness.cell.TakeAdviceRequests();
  cr_assert_eq(requests.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w1" }));
  cr_expect_eq(harness.StartAll().size(), 1);
}
