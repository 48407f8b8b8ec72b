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
Answer(const AdviceQuestion& aRequest,
       const std::vector<std::string>& aAllowed,
       Millis aValidFor = Millis{ 3000 }) -> AdviceAnswer
{
  auto response = AdviceAnswer{ aRequest.number, AdviceEnd::Answered };
  for (const auto& worker : aAllowed) {
    response.allowed.emplace_back(WorkerId{ worker }, "ticket-" + worker);
  }
  response.validFor = aValidFor;
  return response;
}

auto
Life(const char* aWorker, std::int64_t aStartUnixMs = 1) -> WorkerLife
{
  return { { aWorker }, aStartUnixMs };
}

// Submits a job whose queue requires advice.
auto
SubmitAdvised(CellHarness& aHarness, JobSpec aSpec) -> JobId
{
  auto config = std::make_shared<SiteConfig>();
  config->version = 2;
  config->services.emplace(ServiceId{ kPool }, Service{ { kPool } });
  auto queue = Queue{ { "queue" } };
  queue.policy.service = { kPool };
  queue.policy.maxAttempts = 2;
  queue.policy.advised = true;
  config->queues.push_back(queue);
  const auto job = aHarness.Submit(std::move(aSpec));
  aHarness.cell.OnConfig(config);
  return job;
}

} // namespace

Test(adviser, ticket_is_not_used_shortly_before_it_expires)
{
  auto adviser = Adviser{};
  const auto request = adviser.Ask(At(0), kStep, { Life("a"), Life("b") });
  cr_expect_eq(request.workers.size(), 2);
  adviser.OnAnswer(At(400), Answer(request, { "a" }));
  cr_assert_not_null(adviser.TicketFor(At(2400), kStep, Life("a")));
  cr_expect_str_eq(adviser.TicketFor(At(2400), kStep, Life("a"))->c_str(),
                   "ticket-a");
  // Valid for 3 s, counted from the request.
  cr_expect_null(adviser.TicketFor(At(2600), kStep, Life("a")));
  cr_expect_null(adviser.TicketFor(At(500), kStep, Life("b")));
  cr_expect_null(adviser.TicketFor(At(500), kStep, Life("a", 2)));
  cr_expect_null(adviser.TicketFor(At(500), { kStep.job, 0, 2 }, Life("a")));
}

Test(adviser, requests_skip_refused_workers_and_valid_tickets)
{
  auto adviser = Adviser{};
  cr_expect(adviser.MayAsk(At(0), kStep, Life("b")));
  const auto request = adviser.Ask(At(0), kStep, { Life("a"), Life("b") });
  adviser.OnAnswer(At(100), Answer(request, { "a" }));
  cr_expect_not(adviser.MayAsk(At(100), kStep, Life("a")));
  cr_expect(adviser.MayAsk(At(2900), kStep, Life("a")));
  // A refusal holds for one incarnation of the worker.
  cr_expect_not(adviser.MayAsk(At(60000), kStep, Life("b")));
  cr_expect(adviser.MayAsk(At(100), kStep, Life("b", 2)));
  adviser.Drop(kStep.job);
  cr_expect(adviser.MayAsk(At(100), kStep, Life("b")));
}

Test(adviser, request_is_retried_after_a_delay)
{
  auto adviser = Adviser{};
  const auto request = adviser.Ask(At(0), kStep, { Life("a") });
  auto retryAt = Time::max();
  cr_expect_not(adviser.CanAsk(At(10), kStep, retryAt));
  cr_expect(adviser.OnAnswer(At(50), { request.number, AdviceEnd::Busy }) ==
            kStep);
  cr_expect_not(adviser.CanAsk(At(60), kStep, retryAt));
  cr_expect(retryAt == At(50) + kAdviceRetry);
  cr_expect(adviser.CanAsk(At(50) + kAdviceRetry, kStep, retryAt));
  // Nothing was learnt about the worker.
  cr_expect(adviser.MayAsk(At(300), kStep, Life("a")));
  cr_expect_not(
    adviser.OnAnswer(At(400), { request.number, AdviceEnd::Answered })
      .has_value());
}

// One worker in ten may run a step. Requests must name more workers, or too
// many of them are needed.
Test(adviser, request_names_more_workers_if_few_are_allowed)
{
  auto adviser = Adviser{};
  const auto initial = adviser.WorkersFor(10);
  for (auto index = 0; index < 20; ++index) {
    const auto step = StepName{ kStep.job, 0, static_cast<unsigned>(index) };
    auto incarnations = std::vector<WorkerLife>{};
    for (auto worker = 0; worker < 10; ++worker) {
      incarnations.push_back({ { "w" + std::to_string(worker) }, 1 });
    }
    const auto request = adviser.Ask(At(index), step, incarnations);
    adviser.OnAnswer(At(index), Answer(request, { "w3" }));
  }
  cr_expect_geq(adviser.WorkersFor(10), 3 * initial);
  cr_expect_leq(adviser.WorkersFor(1000), 100);
}

Test(advice, tasks_start_only_on_allowed_workers)
{
  auto harness = CellHarness{};
  for (const auto* const worker : { "w1", "w2", "w3" }) {
    harness.AddWorker(worker);
  }
  SubmitAdvised(harness, Steps({ 4 }));
  cr_expect_eq(harness.StartAll().size(), 0);
  const auto requests = harness.cell.TakeQuestions();
  cr_assert_eq(requests.size(), 1);
  cr_expect_eq(requests[0].workers.size(), 3);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w2" }));
  const auto starts = harness.StartAll();
  cr_expect_eq(starts.size(), 4);
  for (const auto& start : starts) {
    cr_expect_str_eq(start.worker.text.c_str(), "w2");
    cr_expect_str_eq(start.ticket.c_str(), "ticket-w2");
  }
  cr_expect_eq(harness.cell.TakeQuestions().size(), 0);
}

Test(advice, gang_starts_only_on_allowed_workers)
{
  auto harness = CellHarness{};
  for (const auto* const worker : { "w1", "w2", "w3" }) {
    harness.AddWorker(worker);
  }
  auto spec = Steps({ 3 });
  spec.steps[0].gang = true;
  SubmitAdvised(harness, spec);
  cr_expect_eq(harness.StartAll().size(), 0);
  const auto requests = harness.cell.TakeQuestions();
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
  SubmitAdvised(harness, Steps({ 1 }));
  harness.StartAll();
  auto requests = harness.cell.TakeQuestions();
  cr_assert_eq(requests.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w1" }));
  harness.Tick();
  harness.Record();
  const auto starts = harness.Calls(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness.Answer(starts[0], CallEnd::NoTicket);
  harness.Advance(Millis{ 400 });
  harness.Tick();
  requests = harness.cell.TakeQuestions();
  cr_assert_eq(requests.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w1" }));
  cr_expect_eq(harness.StartAll().size(), 1);
}
