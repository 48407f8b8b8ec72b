// Keys of callers, and which account may access which job.

#include <criterion/criterion.h>

#include "callerentry.h"

using namespace gooseberry;
using namespace gooseberry::fleet;
using namespace gooseberry::fleet::test;

namespace {

// Decides on a request to the queue that needs a key.
auto
Decide(bool aStrict, std::string_view aKey, Millis aAge) -> AuthDecision
{
  auto bounds = BoundSettings{};
  bounds.configApply = Millis{ 2000 };
  bounds.revoke = Millis{ 5000 };
  bounds.strictRevoke = aStrict;
  const auto config =
    std::make_shared<const cells::SiteConfig>(ConfigWith(1, kTwoAccounts));
  return CallerAuth{ bounds }.Decide(
    config, config->queues.front(), aKey, aAge);
}

} // namespace

Test(caller_auth, known_keys_give_the_account)
{
  const auto first = Decide(false, "key-a2", Millis{ 0 });
  cr_expect_eq(first.outcome, AuthOutcome::Allowed);
  cr_expect_eq(first.account.text, "ann");
  cr_expect_eq(Decide(false, "key-b", Millis{ 0 }).account.text, "bob");
  for (const auto* const key :
       { "", "key-", "key-a", "key-a11", "zzz", "\x01" }) {
    cr_expect(Decide(false, key, Millis{ 2000 }).outcome ==
              AuthOutcome::UnknownKey);
  }
}

// Guards against: while the store is unavailable, a caller with a new key is
// told that its key does not exist, or one with a valid key is not served.
Test(caller_auth, old_knowledge_refuses_no_key_for_good)
{
  cr_expect(Decide(false, "new", Millis{ 2001 }).outcome ==
            AuthOutcome::StaleKey);
  cr_expect(Decide(false, "", Millis{ 2001 }).outcome == AuthOutcome::StaleKey);
  cr_expect(Decide(false, "key-b", Millis{ 3'600'000 }).outcome ==
            AuthOutcome::Allowed);
}

// Guards against: an instance that can't read the configuration accepts a
// removed key although the deployment forbids it.
Test(caller_auth, strict_revocation_refuses_keys_that_cannot_be_confirmed)
{
  cr_expect(Decide(true, "key-b", Millis{ 5000 }).outcome ==
            AuthOutcome::Allowed);
  cr_expect(Decide(true, "key-b", Millis{ 5001 }).outcome ==
            AuthOutcome::StaleKey);
}

// Guards against: the index still holds the keys of an earlier version.
Test(caller_auth, keys_follow_the_configuration)
{
  auto auth = CallerAuth{ BoundSettings{} };
  const auto outcome = [&](const auto& aConfig, const char* aKey) {
    return auth.Decide(aConfig, aConfig->queues.front(), aKey, Millis{ 0 })
      .outcome;
  };
  for (const auto& [key, other] :
       { std::pair{ "one", "two" }, std::pair{ "two", "one" } }) {
    const auto config = std::make_shared<const cells::SiteConfig>(
      ConfigWith(1, { { "ann", { key } } }));
    cr_expect_eq(outcome(config, key), AuthOutcome::Allowed);
    cr_expect_eq(outcome(config, other), AuthOutcome::UnknownKey);
  }
}

Test(caller_api, requests_without_a_valid_key_do_not_run)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  entry.store.commits = 0;
  for (const auto* const key : { "", "key-c" }) {
    for (const auto* const method : { "POST", "GET", "DELETE" }) {
      cr_expect_eq(entry.Request(method, kJob, key), 401);
    }
    cr_expect_eq(entry.Request("GET", "/q/", key), 401);
  }
  cr_expect_eq(entry.store.commits, 0);
  const auto metrics = entry.metrics.Serialize();
  cr_expect_neq(metrics.find("reason=\"unknown_key\""), std::string::npos);
}

Test(caller_api, deployments_without_accounts_need_no_key)
{
  auto entry = Entry{ ConfigWith(1, {}) };
  cr_expect_eq(entry.Request("POST", kJob, ""), 200);
  cr_expect_eq(entry.Request("GET", kJob, "whatever"), 200);
  cr_expect_eq(entry.Request("DELETE", kJob, ""), 200);
}

Test(caller_api, jobs_of_public_queues_belong_to_no_account)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(entry.Request("POST", "/open/00000000000000bb", "key-c"), 200);
  const auto id = *cells::JobId::Parse("00000000000000bb");
  auto reason = std::string{};
  const auto row = cells::DecodeJobRow(
    entry.store.Find(cells::CellRows::Submission(id)), reason);
  cr_assert(row.has_value());
  cr_expect(row->account.Empty());
  // No caller without the account's key reaches its job through such a queue.
  cr_expect_eq(entry.Request("POST", kJob, "key-a1"), 200);
  cr_expect_eq(entry.Request("DELETE", "/open/00000000000000aa", ""), 403);
  cr_expect_eq(entry.Request("GET", "/open/00000000000000aa", ""), 403);
}

// Guards against: an account sees, cancels or takes over the job of another
// one, at the instance that accepted it or at any other; or the check costs
// calls to the store that earlier versions did not make.
Test(caller_api, jobs_are_accessible_to_their_account_alone)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  cr_expect_eq(entry.Request("POST", kJob, "key-a1"), 200);
  const auto id = *cells::JobId::Parse("00000000000000aa");
  auto reason = std::string{};
  const auto stored = entry.store.Find(cells::CellRows::Submission(id));
  cr_expect_eq(cells::DecodeJobRow(stored, reason)->account.text, "ann");
  auto other = Entry{ ConfigWith(1, kTwoAccounts) };
  other.store.Put(cells::CellRows::Submission(id), stored);
  for (auto* const instance : { &entry, &other }) {
    cr_expect_eq(instance->Request("GET", kJob, "key-b"), 403);
    cr_expect_eq(instance->Request("DELETE", kJob, "key-b"), 403);
    cr_expect_eq(instance->Request("POST", kJob, "key-b"), 403);
    // A second key of the same account, and a repeated submission.
    cr_expect_eq(instance->Request("GET", kJob, "key-a2"), 200);
    cr_expect_eq(instance->Request("POST", kJob, "key-a2"), 200);
    cr_expect_eq(instance->store.Find(cells::CellRows::Cancellation(id)), "");
    instance->store.reads = 0;
    instance->store.commits = 0;
    cr_expect_eq(instance->Request("DELETE", kJob, "key-a1"), 200);
    // The job is cached by now: a cancellation is one write.
    cr_expect_eq(instance->store.reads, 0);
    cr_expect_eq(instance->store.commits, 1);
    cr_expect_eq(instance->store.Find(cells::CellRows::Cancellation(id)), "c0");
  }
}

// Guards against: jobs that were accepted before the deployment had accounts
// are out of their callers' reach afterwards.
Test(caller_api, jobs_of_earlier_versions_stay_accessible)
{
  auto entry = Entry{ ConfigWith(1, {}) };
  cr_expect_eq(entry.Request("POST", kJob, ""), 200);
  entry.SetConfig(ConfigWith(2, kTwoAccounts));
  entry.Advance(Millis{ 1000 });
  cr_expect_eq(entry.Request("GET", kJob, ""), 401);
  cr_expect_eq(entry.Request("GET", kJob, "key-b"), 200);
}

// A key is removed while the store answers no submission: the retry of the
// caller is refused, although the first attempt may have stored the row.
Test(caller_api, key_removed_between_two_attempts)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  entry.store.losesAnswers = true;
  cr_expect_eq(entry.Request("POST", kJob, "key-b"), 0);
  entry.store.losesAnswers = false;
  entry.SetConfig(ConfigWith(2, { { "ann", { "key-a1" } } }));
  entry.Advance(Millis{ 1000 });
  cr_expect_eq(entry.Request("POST", kJob, "key-b"), 401);
  // An account that the id does not belong to learns nothing by trying it.
  cr_expect_eq(entry.Request("POST", kJob, "key-a1"), 403);
}

// Guards against: while the store is unavailable, a key or queue that was added
// meanwhile is refused for good.
Test(caller_api, unavailable_store_leaves_unknown_keys_undecided)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  entry.store.available = false;
  entry.Advance(Millis{ 1000 });
  cr_expect_eq(entry.Request("GET", kJob, "key-c"), 401);
  cr_expect_eq(entry.Request("GET", "/new/00000000000000aa", "key-a1"), 404);
  entry.Advance(Millis{ 1500 });
  cr_expect_eq(entry.Request("GET", kJob, "key-c"), 503);
  cr_expect_eq(entry.Request("GET", "/new/00000000000000aa", "key-a1"), 503);
  const auto metrics = entry.metrics.Serialize();
  cr_expect_neq(metrics.find("reason=\"stale_key\""), std::string::npos);
  entry.SetConfig(ConfigWith(2, { { "cas", { "key-c" } } }));
  entry.store.available = true;
  entry.Advance(Millis{ 500 });
  cr_expect_eq(entry.Request("POST", kJob, "key-c"), 200);
  cr_expect_eq(entry.Request("GET", kJob, "key-a1"), 401);
}

// Guards against: cancellations that fail because of the store look like
// failed queries in the metrics.
Test(caller_api, failed_cancellations_are_counted_as_such)
{
  auto entry = Entry{ ConfigWith(1, {}) };
  entry.store.available = false;
  entry.Request("DELETE", kJob, "");
  entry.Advance(Millis{ 3000 });
  const auto metrics = entry.metrics.Serialize();
  cr_expect_neq(
    metrics.find("reason=\"store_silent\",status=\"503\",verb=\"cancel\""),
    std::string::npos);
  cr_expect_eq(metrics.find("verb=\"state\""), std::string::npos);
}

// Guards against: a mistyped configuration changes who is served.
Test(caller_api, unreadable_configuration_leaves_the_keys_in_force)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  entry.SetConfig(ConfigWith(2, { { "ann", {} } }));
  entry.Advance(Millis{ 1000 });
  cr_expect_neq(entry.log.text.find("config_unreadable"), std::string::npos);
  cr_expect_eq(entry.Request("POST", kJob, "key-b"), 200);
  cr_expect_eq(entry.Request("POST", kJob, "key-c"), 401);
}

// Guards against: keys get into the log, or the counts of accounts fill it.
Test(caller_api, requests_are_logged_by_account_and_without_keys)
{
  auto entry = Entry{ ConfigWith(1, kTwoAccounts) };
  entry.Request("POST", kJob, "key-a1");
  entry.Request("GET", kJob, "key-a1");
  entry.Request("GET", kJob, "key-b");
  entry.Request("GET", kJob, "key-c");
  entry.Advance(Millis{ 10100 });
  const auto& text = entry.log.text;
  cr_expect_neq(
    text.find("account_requests account=ann requests=2 foreign=0\n"),
    std::string::npos);
  cr_expect_neq(
    text.find("account_requests account=bob requests=1 foreign=1\n"),
    std::string::npos);
  cr_expect_neq(text.find("keys_refused unknown=1 stale=0\n"),
                std::string::npos);
  cr_expect_eq(text.find("key-"), std::string::npos);
  const auto size = text.size();
  entry.Advance(Millis{ 30000 });
  cr_expect_eq(text.size(), size);
}
