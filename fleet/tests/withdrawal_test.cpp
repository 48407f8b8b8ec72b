// Cancellations of jobs that are not stored: the store may still carry out
// their submission.

#include <criterion/criterion.h>

#include "callerentry.h"

using namespace gooseberry;
using namespace gooseberry::fleet;
using namespace gooseberry::fleet::test;

namespace {

constexpr const char* kPublicJob = "/open/00000000000000aa";

auto
StoredJob(const Entry& aEntry) -> std::string
{
  return aEntry.store.Find(
    cells::CellRows::Submission(*cells::JobId::Parse("00000000000000aa")));
}

// Submits the job; the store carries the writes out only when the test says so.
auto
SubmitLate(Entry& aEntry, const char* aTarget, const char* aKey) -> int
{
  aEntry.store.carriesOutLater = true;
  const auto status = aEntry.Send("POST", aTarget, aKey);
  aEntry.store.Answer();
  aEntry.Advance(Millis{ 2000 });
  aEntry.store.carriesOutLater = false;
  return *status;
}

} // namespace

// Guards against: a job runs although its caller was told that it does not
// exist, since the store carried the submission out afterwards.
Test(withdrawal, a_late_submission_of_a_cancelled_job_is_not_stored)
{
  auto entry = Entry{ ConfigWith(1, {}) };
  cr_expect_eq(SubmitLate(entry, kJob, ""), 504);
  cr_expect_eq(entry.Request("DELETE", kJob, ""), 410);
  entry.store.CarryOutLate();
  cr_expect_eq(StoredJob(entry), "");
  cr_expect_eq(entry.Request("GET", kJob, ""), 410);
}

// Guards against: the cancellation answers before it is stored.
Test(withdrawal, nothing_is_promised_while_the_store_is_silent)
{
  auto entry = Entry{ ConfigWith(1, {}) };
  cr_expect_eq(SubmitLate(entry, kJob, ""), 504);
  entry.store.carriesOutLater = true;
  const auto unknown = entry.Send("DELETE", kJob, "");
  entry.store.Answer();
  entry.Advance(Millis{ 1000 });
  cr_expect_eq(*unknown, 0);
  entry.Advance(Millis{ 3000 });
  cr_expect_eq(*unknown, 503);
  entry.store.carriesOutLater = false;
  entry.store.CarryOutLate();
  cr_expect_neq(StoredJob(entry), "");
}

// Guards against: a job that is stored while its cancellation is decided is
// neither stored as cancelled nor refused.
Test(withdrawal, a_submission_that_comes_first_is_cancelled_as_usual)
{
  auto entry = Entry{ ConfigWith(1, {}) };
  cr_expect_eq(SubmitLate(entry, kJob, ""), 504);
  const auto status = entry.Send("DELETE", kJob, "");
  entry.store.AnswerOne();
  entry.store.CarryOutLate();
  entry.store.Answer();
  cr_expect_eq(*status, 200);
  cr_expect_eq(entry.store.Find(cells::CellRows::Cancellation(
                 *cells::JobId::Parse("00000000000000aa"))),
               "c0");
}

// Guards against: an account ends the job of another one that is not stored
// yet, or takes its id away.
Test(withdrawal, ends_no_submission_of_another_account)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(SubmitLate(entry, kJob, "key-a1"), 504);
  cr_expect_eq(entry.Request("DELETE", kJob, "key-b"), 410);
  cr_expect_eq(entry.Request("DELETE", kPublicJob, ""), 410);
  entry.store.CarryOutLate();
  cr_expect_neq(StoredJob(entry), "");
  cr_expect_eq(entry.Request("GET", kJob, "key-a1"), 200);

  auto other = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(other.Request("DELETE", kJob, "key-b"), 410);
  cr_expect_eq(other.Request("POST", kJob, "key-a1"), 200);
}

// Guards against: a job escapes its cancellation because another key of its
// account, or a job of no account, was used for one of the two requests.
Test(withdrawal, ends_each_submission_that_the_caller_may_access)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(SubmitLate(entry, kJob, "key-a1"), 504);
  cr_expect_eq(entry.Request("DELETE", kJob, "key-a2"), 410);
  entry.store.CarryOutLate();
  cr_expect_eq(StoredJob(entry), "");

  auto other = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(SubmitLate(other, kPublicJob, ""), 504);
  cr_expect_eq(other.Request("DELETE", kJob, "key-b"), 410);
  other.store.CarryOutLate();
  cr_expect_eq(StoredJob(other), "");
}

// Guards against: a repeated submission that arrives after the cancellation is
// accepted, or is told that it was.
Test(withdrawal, a_repeated_submission_is_refused)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(entry.Request("DELETE", kJob, "key-a1"), 410);
  cr_expect_eq(entry.Request("POST", kJob, "key-a1"), 410);
  cr_expect_eq(StoredJob(entry), "");
  cr_expect_eq(entry.Request("DELETE", kJob, "key-a1"), 410);
  // The id names a job of another account as well as before.
  cr_expect_eq(entry.Request("POST", kJob, "key-b"), 200);
  cr_expect_eq(entry.Request("POST", kJob, "key-a1"), 403);
}

// Guards against: names of accounts that are as long as they may be make keys
// that the store rejects, so that cancellations never end.
Test(withdrawal, rows_have_short_keys_whatever_the_account)
{
  const auto id = *cells::JobId::Parse("00000000000000aa");
  const auto first = cells::CellRows::Withdrawal(id, { std::string(200, 'x') });
  const auto second =
    cells::CellRows::Withdrawal(id, { std::string(199, 'x') + "y" });
  cr_expect_leq(first.key.size(), 200);
  cr_expect_neq(first.key, second.key);
  cr_expect_neq(first.key, cells::CellRows::Withdrawal(id, {}).key);
  // Both can be in one transaction.
  cr_expect_eq(first.partition, cells::CellRows::Submission(id).partition);
}

// Guards against: an instance that knows a job from earlier cancels whatever
// has its id now: another account's job, or the next one under this id.
Test(withdrawal, a_removed_job_is_not_cancelled_by_memory)
{
  const auto id = *cells::JobId::Parse("00000000000000aa");
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(entry.Request("POST", kJob, "key-a1"), 200);
  entry.store.Remove(cells::CellRows::Submission(id));
  cr_expect_eq(entry.Request("DELETE", kJob, "key-a1"), 410);
  cr_expect_eq(entry.store.Find(cells::CellRows::Cancellation(id)), "");

  auto other = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(other.Request("POST", kJob, "key-b"), 200);
  const auto row = other.store.Find(cells::CellRows::Submission(id));
  auto third = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(third.Request("POST", kJob, "key-a1"), 200);
  third.store.Remove(cells::CellRows::Submission(id));
  third.store.Put(cells::CellRows::Submission(id), row);
  cr_expect_eq(third.Request("DELETE", kJob, "key-a1"), 403);
  cr_expect_eq(third.store.Find(cells::CellRows::Cancellation(id)), "");
  cr_expect_eq(third.Request("DELETE", kJob, "key-b"), 200);
}

// Guards against: a cancellation is acknowledged although the job's row can't
// be read, and nothing is stored.
Test(withdrawal, an_unreadable_job_is_not_said_to_be_cancelled)
{
  const auto id = *cells::JobId::Parse("00000000000000aa");
  auto entry = Entry{ ConfigWith(1, {}) };
  entry.store.Put(cells::CellRows::Submission(id), "no job");
  const auto status = entry.Send("DELETE", kJob, "");
  entry.store.Answer();
  entry.Advance(Millis{ 3000 });
  cr_expect_eq(*status, 503);
  cr_expect_eq(entry.Request("GET", kJob, ""), 200);
}
