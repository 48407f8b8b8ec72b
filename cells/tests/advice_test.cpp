// Steps whose workers an adviser chooses.

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
Answer(const AdviceQuestion& aQuestion,
       const std::vector<std::string>& aAllowed,
       Millis aValidFor = Millis{ 3000 }) -> AdviceAnswer
{
  auto answer = AdviceAnswer{ aQuestion.number, AdviceEnd::Answered };
  for (const auto& worker : aAllowed) {
    answer.allowed.emplace_back(WorkerId{ worker }, "ticket-" + worker);
  }
  answer.validFor = aValidFor;
  return answer;
}

auto
Life(const char* aWorker, std::int64_t aBorn = 1) -> WorkerLife
{
  return { { aWorker }, aBorn };
}

// A harness whose next jobs are of a queue with an adviser.
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

Test(adviser, tickets_end_before_a_start_could_come_too_late)
{
  auto adviser = Adviser{};
  const auto question = adviser.Ask(At(0), kStep, { Life("a"), Life("b") });
  cr_expect_eq(question.workers.size(), 2);
  adviser.OnAnswer(At(400), Answer(question, { "a" }));
  cr_assert_not_null(adviser.TicketFor(At(2400), kStep, Life("a")));
  cr_expect_str_eq(adviser.TicketFor(At(2400), kStep, Life("a"))->c_str(),
                   "ticket-a");
  // Valid for 3 s, counted from the question.
  cr_expect_null(adviser.TicketFor(At(2600), kStep, Life("a")));
  cr_expect_null(adviser.TicketFor(At(500), kStep, Life("b")));
  cr_expect_null(adviser.TicketFor(At(500), kStep, Life("a", 2)));
  cr_expect_null(adviser.TicketFor(At(500), { kStep.job, 0, 2 }, Life("a")));
}

Test(adviser, asks_again_only_what_may_bring_a_ticket)
{
  auto adviser = Adviser{};
  cr_expect(adviser.MayAsk(At(0), kStep, Life("b")));
  const auto question = adviser.Ask(At(0), kStep, { Life("a"), Life("b") });
  adviser.OnAnswer(At(100), Answer(question, { "a" }));
  cr_expect_not(adviser.MayAsk(At(100), kStep, Life("a")));
  cr_expect(adviser.MayAsk(At(2900), kStep, Life("a")));
  // A refusal holds for the worker's life.
  cr_expect_not(adviser.MayAsk(At(60000), kStep, Life("b")));
  cr_expect(adviser.MayAsk(At(100), kStep, Life("b", 2)));
  adviser.Drop(kStep.job);
  cr_expect(adviser.MayAsk(At(100), kStep, Life("b")));
}

Test(adviser, waits_after_a_question_without_an_answer)
{
  auto adviser = Adviser{};
  const auto question = adviser.Ask(At(0), kStep, { Life("a") });
  auto again = Time::max();
  cr_expect_not(adviser.CanAsk(At(10), kStep, again));
  cr_expect(adviser.OnAnswer(At(50), { question.number, AdviceEnd::Busy }) ==
            kStep);
  cr_expect_not(adviser.CanAsk(At(60), kStep, again));
  cr_expect(again == At(50) + kAdviceRetry);
  cr_expect(adviser.CanAsk(At(50) + kAdviceRetry, kStep, again));
  // Nothing was learnt of the worker.
  cr_expect(adviser.MayAsk(At(300), kStep, Life("a")));
  cr_expect_not(
    adviser.OnAnswer(At(400), { question.number, AdviceEnd::Answered })
      .has_value());
}

// Pattern: one worker of ten may run a step. Few questions name many workers.
Test(adviser, names_more_workers_where_few_are_allowed)
{
  auto adviser = Adviser{};
  const auto before = adviser.WorkersFor(10);
  for (auto round = 0; round < 20; ++round) {
    const auto step = StepName{ kStep.job, 0, static_cast<unsigned>(round) };
    auto lives = std::vector<WorkerLife>{};
    for (auto worker = 0; worker < 10; ++worker) {
      lives.push_back({ { "w" + std::to_string(worker) }, 1 });
    }
    const auto question = adviser.Ask(At(round), step, lives);
    adviser.OnAnswer(At(round), Answer(question, { "w3" }));
  }
  cr_expect_geq(adviser.WorkersFor(10), 3 * before);
  cr_expect_leq(adviser.WorkersFor(1000), 100);
}

Test(advice, tasks_start_only_where_the_adviser_allows)
{
  auto harness = CellHarness{};
  for (const auto* const worker : { "w1", "w2", "w3" }) {
    harness.AddWorker(worker);
  }
  SubmitAdvised(harness, Steps({ 4 }));
  cr_expect_eq(harness.StartAll().size(), 0);
  const auto questions = harness.cell.TakeQuestions();
  cr_assert_eq(questions.size(), 1);
  cr_expect_eq(questions[0].workers.size(), 3);
  harness.cell.OnAdvice(harness.now, Answer(questions[0], { "w2" }));
  const auto starts = harness.StartAll();
  cr_expect_eq(starts.size(), 4);
  for (const auto& start : starts) {
    cr_expect_str_eq(start.worker.text.c_str(), "w2");
    cr_expect_str_eq(start.ticket.c_str(), "ticket-w2");
  }
  cr_expect_eq(harness.cell.TakeQuestions().size(), 0);
}

Test(advice, a_gang_starts_only_where_the_adviser_allows)
{
  auto harness = CellHarness{};
  for (const auto* const worker : { "w1", "w2", "w3" }) {
    harness.AddWorker(worker);
  }
  auto spec = Steps({ 3 });
  spec.steps[0].gang = true;
  SubmitAdvised(harness, spec);
  cr_expect_eq(harness.StartAll().size(), 0);
  const auto questions = harness.cell.TakeQuestions();
  cr_assert_eq(questions.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(questions[0], { "w1", "w3" }));
  harness.Advance(Millis{ 200 });
  const auto starts = harness.StartAll();
  cr_expect_eq(starts.size(), 3);
  for (const auto& start : starts) {
    cr_expect(start.ticket == "ticket-" + start.worker.text);
  }
}

// Pattern: a worker takes a ticket for over that should be good.
Test(advice, a_refused_ticket_is_asked_for_anew)
{
  auto harness = CellHarness{};
  harness.AddWorker("w1");
  SubmitAdvised(harness, Steps({ 1 }));
  harness.StartAll();
  auto questions = harness.cell.TakeQuestions();
  cr_assert_eq(questions.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(questions[0], { "w1" }));
  harness.Tick();
  harness.Record();
  const auto starts = harness.Calls(CallKind::Start);
  cr_assert_eq(starts.size(), 1);
  harness.Answer(starts[0], CallEnd::NoTicket);
  harness.Advance(Millis{ 400 });
  harness.Tick();
  questions = harness.cell.TakeQuestions();
  cr_assert_eq(questions.size(), 1);
  harness.cell.OnAdvice(harness.now, Answer(questions[0], { "w1" }));
  cr_expect_eq(harness.StartAll().size(), 1);
}
