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

// Guards against: tickets that are valid for less time than the adviser takes
// look expired when they arrive, and are requested again for ever.
Test(adviser, tickets_of_a_slow_adviser_are_used)
{
  const auto times = AdviceTimes{ Millis{ 500 }, Millis{ 25 }, Millis{ 1000 } };
  auto adviser = AdviceCache{};
  // Issued after 525 ms by the adviser's own times, or later.
  auto request =
    adviser.MakeRequest(At(0), kStep, { Incarnation("a") }, times, false);
  adviser.OnResponse(At(600), Answer(request, { "a" }, times.valid));
  cr_expect_not_null(adviser.FindTicket(At(1000), kStep, Incarnation("a")));
  cr_expect_null(adviser.FindTicket(At(1100), kStep, Incarnation("a")));
  // By these times it would have expired already.
  request =
    adviser.MakeRequest(At(2000), kStep, { Incarnation("a") }, times, false);
  adviser.OnResponse(At(4000), Answer(request, { "a" }, times.valid));
  cr_expect_not_null(adviser.FindTicket(At(4400), kStep, Incarnation("a")));
  cr_expect_null(adviser.FindTicket(At(4600), kStep, Incarnation("a")));
  cr_expect_not_null(
    adviser.FindTicketForStart(At(4900), kStep, Incarnation("a")));
  cr_expect_null(adviser.FindTicketForStart(At(5000), kStep, Incarnation("a")));
}

// Guards against: a ticket that is valid for less than a second is never used.
Test(adviser, short_tickets_are_used)
{
  auto adviser = AdviceCache{};
  const auto request =
    adviser.MakeRequest(At(0), kStep, { Incarnation("a") }, {}, false);
  adviser.OnResponse(At(10), Answer(request, { "a" }, Millis{ 200 }));
  cr_expect_not_null(adviser.FindTicket(At(90), kStep, Incarnation("a")));
  cr_expect_null(adviser.FindTicket(At(110), kStep, Incarnation("a")));
}

// Guards against: where tickets count from the request, those that have expired
// are used again and again.
Test(adviser, workers_teach_when_tickets_expire)
{
  const auto times = AdviceTimes{ Millis{ 200 }, Millis{ 25 }, Millis{ 2000 } };
  auto adviser = AdviceCache{};
  cr_expect_eq(adviser.RequestSize(100, times, false), 52);
  auto request =
    adviser.MakeRequest(At(0), kStep, { Incarnation("a") }, times, false);
  adviser.OnResponse(At(225), Answer(request, { "a" }, times.valid));
  cr_assert_not_null(
    adviser.FindTicketForStart(At(2100), kStep, Incarnation("a")));
  adviser.OnTicketRejected(At(2100), kStep, Incarnation("a"));
  // Half of the time is left when the response arrives: 0.5 s to place tasks,
  // and 0.5 s to start them.
  cr_expect_eq(adviser.RequestSize(100, times, false), 32);
  request =
    adviser.MakeRequest(At(3000), kStep, { Incarnation("a") }, times, false);
  adviser.OnResponse(At(3225), Answer(request, { "a" }, times.valid));
  cr_expect_not_null(
    adviser.FindTicketForStart(At(4900), kStep, Incarnation("a")));
  cr_expect_null(adviser.FindTicketForStart(At(5100), kStep, Incarnation("a")));
}

// Guards against: tickets that no worker takes cost a question and a start
// each, as fast as both can be sent.
Test(adviser, useless_tickets_delay_the_next_request)
{
  auto adviser = AdviceCache{};
  auto now = 0;
  auto requests = 0;
  for (; now < 20000; now += 20) {
    auto retryAt = Time::max();
    if (!adviser.CanSendRequest(At(now), kStep, retryAt)) {
      continue;
    }
    ++requests;
    const auto request =
      adviser.MakeRequest(At(now), kStep, { Incarnation("a") }, {}, false);
    adviser.OnResponse(At(now), Answer(request, { "a" }));
    adviser.OnTicketRejected(At(now), kStep, Incarnation("a"));
  }
  cr_expect_geq(requests, 8);
  cr_expect_leq(requests, 14);
}

// Guards against: a step waits for its adviser, and nothing tells why.
Test(adviser, stalls_are_reported_with_their_cause)
{
  const auto causeAfter = [](const AdviceResponse& aResponse, bool aRejects) {
    auto adviser = AdviceCache{};
    cr_expect_not(adviser.BeginStep(At(0), kStep).has_value());
    const auto request = adviser.MakeRequest(
      At(0), kStep, { Incarnation("a"), Incarnation("b") }, {}, false);
    auto response = aResponse;
    response.number = request.number;
    adviser.OnResponse(At(30), response);
    if (aRejects) {
      adviser.OnTicketRejected(At(40), kStep, Incarnation("a"));
    }
    cr_expect_not(adviser.BeginStep(At(4900), kStep).has_value());
    const auto stall = adviser.BeginStep(At(5100), kStep);
    cr_assert(stall.has_value());
    cr_expect(stall->waited == Millis{ 5100 });
    cr_expect_eq(stall->asked, 2);
    cr_expect(stall->took == Millis{ 30 });
    // Reported once each 10 s, and not while the step's tasks run.
    cr_expect_not(adviser.BeginStep(At(14000), kStep).has_value());
    cr_expect(adviser.BeginStep(At(15200), kStep).has_value());
    adviser.OnTicketAccepted(At(15300), kStep);
    cr_expect_not(adviser.BeginStep(At(60000), kStep).has_value());
    return std::string{ stall->cause };
  };
  const auto of = [](AdviceStatus aStatus) {
    return AdviceResponse{ 0, aStatus };
  };
  auto allowed = of(AdviceStatus::Answered);
  allowed.allowed = { { WorkerId{ "a" }, "ticket" } };
  allowed.validFor = Millis{ 3000 };
  auto valid = allowed;
  valid.validFor = Millis{ 60000 };
  cr_expect(causeAfter(of(AdviceStatus::NoResponse), false) == "unanswered");
  cr_expect(causeAfter(of(AdviceStatus::Overloaded), false) == "busy");
  cr_expect(causeAfter(of(AdviceStatus::Rejected), false) == "rejected");
  cr_expect(causeAfter(of(AdviceStatus::Answered), false) == "none_allowed");
  cr_expect(causeAfter(allowed, false) == "tickets_useless");
  cr_expect(causeAfter(allowed, true) == "tickets_useless");
  cr_expect(causeAfter(valid, false) == "no_room");
  // Steps share one line a second.
  auto adviser = AdviceCache{};
  const auto other = StepName{ kStep.job, 0, 2 };
  adviser.BeginStep(At(0), kStep);
  adviser.BeginStep(At(0), other);
  cr_expect(adviser.BeginStep(At(6000), kStep)->cause ==
            std::string{ "queued" });
  cr_expect_not(adviser.BeginStep(At(6100), other).has_value());
  cr_expect(adviser.BeginStep(At(7100), other).has_value());
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

// Guards against: other jobs keep away from a worker that rejected a ticket.
Test(advice, rejected_ticket_does_not_delay_other_jobs)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  SubmitAdvised(harness, JobWithSteps({ 1 }));
  harness.StartAll();
  const auto requests = harness.cell.TakeAdviceRequests();
  cr_assert_eq(requests.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(requests[0], { "w1" }));
  harness.Tick();
  harness.RecordAll();
  const auto starts = harness.TakeCallsOfKind(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness.Answer(starts[0], CallOutcome::InvalidTicket);
  auto row = JobRow{ *JobId::Parse("00000000000000bb"), { "no adviser" } };
  row.policy.service = { kServiceName };
  row.spec = JobWithSteps({ 1 });
  harness.cell.OnSubmission(harness.now, 0, row);
  const auto others = harness.StartAll();
  cr_assert_eq(others.size(), 1);
  cr_expect(others[0].task.job == row.id);
}

// Guards against: a request that the adviser rejects, because of a worker that
// it names, is sent again as it was.
Test(advice, rejected_requests_are_not_repeated)
{
  auto harness = CellHarness{};
  for (auto worker = 1; worker <= 6; ++worker) {
    harness.AddWorker("w" + std::to_string(worker));
  }
  SubmitAdvised(harness, JobWithSteps({ 3 }));
  harness.StartAll();
  auto named = std::set<std::vector<WorkerId>>{};
  auto rejected = 0;
  for (auto attempt = 0; attempt < 20; ++attempt) {
    harness.Advance(Millis{ 5100 });
    harness.Tick();
    const auto requests = harness.cell.TakeAdviceRequests();
    if (requests.empty()) {
      continue;
    }
    const auto& workers = requests[0].workers;
    named.insert(workers);
    const auto isBad =
      std::find(workers.begin(), workers.end(), WorkerId{ "w1" }) !=
        workers.end() ||
      workers.size() > 1;
    if (isBad) {
      ++rejected;
      harness.cell.OnAdvice(harness.now,
                            { requests[0].number, AdviceStatus::Rejected });
      continue;
    }
    harness.cell.OnAdvice(harness.now,
                          Answer(requests[0], { workers[0].text }));
    break;
  }
  cr_expect_geq(rejected, 1);
  cr_expect_eq(named.size(), static_cast<std::size_t>(rejected) + 1);
  cr_expect_gt(harness.StartAll().size(), 0);
}
