// Requests on real processes through the fault proxy.

#include <csignal>

#include <criterion/criterion.h>

#include <httplib.h>

#include "scenario.h"

using namespace gooseberry::test;

namespace {

constexpr int kUnavailable = 503;

auto
ExpectRequestsKept(Fleet& aFleet, const std::vector<CallerView>& aViews) -> void
{
  const auto violations = JudgeRequests(aFleet.Record(), aViews);
  cr_expect(violations.empty(), "%s", Joined(violations).c_str());
  cr_expect_gt(aViews.size(), 50);
}

auto
Answered(const std::vector<CallerView>& aViews) -> std::size_t
{
  auto count = std::size_t{ 0 };
  for (const auto& view : aViews) {
    count += view.whole ? 1 : 0;
  }
  return count;
}

} // namespace

Test(request, cuts_delays_and_resets_never_show_as_whole_or_run_twice)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, true);
  auto load = Load{ { Entries(fleet), 8, 40, 30, 1, 11 } };
  Pause(1000);
  fleet.backends.at("backend-0").Fault({ { "cut_after", 150 } });
  fleet.backends.at("backend-1").Fault({ { "delay_ms", 40 } });
  for (auto round = 0; round < 10; ++round) {
    fleet.backends.at("backend-2").Fault({ { "reset_open", true } });
    Pause(200);
  }
  Call("POST",
       fleet.backends.at("backend-3").port,
       "/mode",
       R"({"cut_every": 3})");
  Pause(1500);
  const auto views = load.Finish();
  ExpectRequestsKept(fleet, views);
  cr_expect_gt(Answered(views), views.size() / 2);
}

Test(request, one_silent_connection_is_found_before_the_deadline)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 1, true);
  auto load = Load{ { Entries(fleet), 6, 0, 0, 1, 12 } };
  Pause(1500);
  for (auto& [id, backend] : fleet.backends) {
    backend.Fault({ { "silence_open", true } });
  }
  Pause(2500);
  const auto views = load.Finish();
  ExpectRequestsKept(fleet, views);
  // Every one is repeatable, so the race against the silence answers all.
  cr_expect_eq(Answered(views), views.size());
  const auto metrics =
    Call("GET", fleet.AnyInstance().adminPort, "/metrics").body;
  cr_expect_neq(metrics.find("reason=\"silent_connection\""),
                std::string::npos);
}

Test(request, a_leaving_backend_gets_no_new_work)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  auto load = Load{ { Entries(fleet), 8, 40, 20, 1, 13 } };
  Pause(1000);
  Call("POST",
       fleet.backends.at("backend-0").port,
       "/mode",
       R"({"leaving": true})");
  const auto leftAt = NowMillis();
  Pause(6000);
  const auto views = load.Finish();
  const auto late =
    JudgeNoRequests(fleet.Record(), "backend-0", leftAt + 3000, NowMillis());
  cr_expect(late.empty(), "%zu requests after 3 s", late.size());
  cr_expect_eq(Answered(views), views.size());
  ExpectRequestsKept(fleet, views);
}

Test(request, a_planned_stop_cuts_nothing)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 3, false);
  auto load = Load{ { Entries(fleet), 12, 40, 20, 0, 14 } };
  Pause(1000);
  load.TakeOut(0);
  cr_expect_eq(fleet.StopInstance("entry-0"), 0);
  load.TakeOut(1);
  cr_expect_eq(fleet.StopInstance("entry-1"), 0);
  const auto views = load.Finish();
  cr_expect_eq(Answered(views),
               views.size(),
               "%zu of %zu answered",
               Answered(views),
               views.size());
  ExpectRequestsKept(fleet, views);
}

Test(request, a_claimed_key_runs_once_through_any_entry)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  auto extra = BackendOptions{};
  extra.id = "biller";
  extra.service = "billed";
  fleet.AddBackend(extra);
  const auto up = Eventually(std::chrono::seconds{ 10 }, [&] {
    return Call("GET", fleet.instances.at("entry-1").adminPort, "/v1/services")
             .body.find("biller") != std::string::npos;
  });
  cr_assert(up);
  auto statuses = std::vector<int>{};
  for (const auto port : Entries(fleet)) {
    auto client = httplib::Client{ "127.0.0.1", port };
    const auto headers = httplib::Headers{ { "Gooseberry-Service", "billed" },
                                           { "Idempotency-Key", "k-1" },
                                           { "X-Request-Id", "bill-1" } };
    const auto result = client.Post("/charge", headers, "x", "text/plain");
    statuses.push_back(result ? result->status : 0);
  }
  cr_expect_eq(statuses[0], 200);
  cr_expect_eq(statuses[1], 409);
  // During an outage the answer is "not run", at once.
  fleet.PlatformFault({ { "down", true } });
  auto client = httplib::Client{ "127.0.0.1", Entries(fleet)[0] };
  const auto result = client.Post("/charge",
                                  { { "Gooseberry-Service", "billed" },
                                    { "Idempotency-Key", "k-2" },
                                    { "X-Request-Id", "bill-2" } },
                                  "x",
                                  "text/plain");
  cr_assert(result);
  cr_expect_eq(result->status, kUnavailable);
  cr_expect_str_eq(result->get_header_value("Gooseberry-Verdict").c_str(),
                   "not-run");
  auto runs = 0;
  for (const auto& event : fleet.Record()) {
    runs += event.at("event") == "request" &&
                event.at("request").get<std::string>().starts_with("bill-")
              ? 1
              : 0;
  }
  cr_expect_eq(runs, 1);
}

Test(request, requests_go_on_while_the_store_is_down)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  fleet.PlatformFault({ { "down", true } });
  auto load = Load{ { Entries(fleet), 4, 30, 20, 1, 15 } };
  Pause(8000);
  const auto views = load.Finish();
  cr_expect_eq(Answered(views), views.size());
  ExpectRequestsKept(fleet, views);
}

Test(request, hundreds_of_idle_callers_do_not_starve_others)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 1, false);
  auto idle = std::vector<std::unique_ptr<httplib::Client>>{};
  for (auto index = 0; index < 300; ++index) {
    idle.push_back(
      std::make_unique<httplib::Client>("127.0.0.1", Entries(fleet)[0]));
    idle.back()->set_keep_alive(true);
    const auto result = idle.back()->Get(
      "/x", { { "Gooseberry-Service", "kiosk" }, { "X-Request-Id", "i" } });
    cr_assert(result);
  }
  auto late = httplib::Client{ "127.0.0.1", Entries(fleet)[0] };
  const auto result = late.Get(
    "/x", { { "Gooseberry-Service", "kiosk" }, { "X-Request-Id", "l" } });
  cr_assert(result);
  cr_expect_eq(result->status, 200);
}
