#ifndef GOOSEBERRY_CALLERENTRY_H
#define GOOSEBERRY_CALLERENTRY_H

// An instance's interface for callers, on a store and a loop that the test
// moves.

#include <criterion/criterion.h>

#include "callerapi.h"
#include "heldstore.h"
#include "httptableclient.h"
#include "manualloop.h"
#include "siterows.h"

namespace gooseberry::fleet::test {

inline auto
ConfigWith(std::uint64_t aVersion,
           const std::map<std::string, std::set<std::string>>& aKeys)
  -> cells::SiteConfig
{
  auto config = cells::SiteConfig{ aVersion };
  config.queues = { { { "q" }, "a.example", "/q/" },
                    { { "open" }, "a.example", "/open/" } };
  config.queues.front().policy.service = { "pool" };
  config.queues.back().policy.service = { "pool" };
  config.queues.back().isPublic = true;
  config.services.emplace(ServiceId{ "pool" }, cells::Service{ { "pool" } });
  for (const auto& [name, keys] : aKeys) {
    config.accounts[{ name }] = { { name }, keys };
  }
  return config;
}

inline const auto kTwoAccounts =
  std::map<std::string, std::set<std::string>>{ { "ann",
                                                  { "key-a1", "key-a2" } },
                                                { "bob", { "key-b" } } };

class NoWorkers : public cells::WorkerPort
{
public:
  auto Call(const cells::WorkerCall& /*aCall*/,
            std::function<void(cells::WorkerAnswer)> /*aDone*/) -> void override
  {
  }
  auto RetainOnly(const std::set<std::string>& /*aAddresses*/) -> void override
  {
  }
};

class NoAdvice : public cells::AdviceClient
{
public:
  auto Send(const cells::AdviceRequest& /*aRequest*/,
            std::function<void(cells::AdviceResponse)> /*aDone*/)
    -> void override
  {
  }
};

class Exchange : public HttpExchange
{
public:
  Exchange(HttpRequest aRequest, Time aArrivedAt, std::shared_ptr<int> aStatus)
    : request(std::move(aRequest))
    , arrivedAt(aArrivedAt)
    , status(std::move(aStatus))
  {
  }
  auto Request() const -> const HttpRequest& override { return this->request; }
  auto ArrivedAt() const -> Time override { return this->arrivedAt; }
  auto Respond(int aStatus, std::string /*aBody*/, HttpFields aFields)
    -> void override
  {
    *this->status = aStatus;
    cr_expect_eq(FindField(aFields, "Retry-After").empty(), aStatus != 503);
  }
  auto IsClosed() const -> bool override { return false; }

private:
  HttpRequest request;
  Time arrivedAt;
  const std::shared_ptr<int> status;
};

// Collects the lines as "event key=value...".
class LineLog : public cells::DecisionLog
{
public:
  auto IsSampled(const cells::JobId& /*aJob*/) const -> bool override
  {
    return true;
  }
  auto Write(const char* aEvent,
             std::initializer_list<cells::DecisionField> aFields)
    -> void override
  {
    this->text += aEvent;
    for (const auto& field : aFields) {
      this->text += std::string{ " " } + field.key + "=" + field.value;
    }
    this->text += "\n";
  }

  std::string text;
};

// An instance that owns no cell.
struct Entry
{
  FleetSettings settings;
  ManualLoop loop;
  HeldStore store;
  NoWorkers workers;
  NoAdvice advice;
  LineLog log;
  FleetMetrics metrics;
  SiteWatcher site{ this->loop, this->store, this->log };
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>(this->settings,
                                                                this->loop,
                                                                this->store,
                                                                this->log);
  std::shared_ptr<CellManager> manager =
    std::make_shared<CellManager>(this->settings,
                                  CellControllerPorts{ this->loop,
                                                       this->store,
                                                       this->workers,
                                                       this->advice,
                                                       this->site,
                                                       *this->view,
                                                       this->log,
                                                       this->metrics });
  CallerApi api{ this->settings, this->loop,  this->store, this->site,
                 *this->manager, *this->view, this->log,   this->metrics };

  explicit Entry(const cells::SiteConfig& aConfig)
  {
    this->store.Put({ "fleet", "", "layout" },
                    cells::EncodeLayout({ { "c0" }, {} }));
    this->SetConfig(aConfig);
    this->site.Start();
    this->view->Start([] { return std::map<std::string, cells::CellLoad>{}; },
                      [] {});
    this->store.Answer();
    cr_assert_not_null(this->site.Config().get());
    cr_assert(this->view->Layout().has_value());
  }

  auto SetConfig(const cells::SiteConfig& aConfig) -> void
  {
    this->store.Put({ wire::kOperatorTable, "", "config" },
                    wire::SerializeSiteConfig(aConfig));
  }

  // Lets the site watcher call the store as often as it does in this time.
  auto Advance(Millis aTime) -> void
  {
    constexpr auto kStep = Millis{ 100 };
    for (auto passed = Millis{ 0 }; passed < aTime; passed += kStep) {
      this->loop.Advance(kStep);
      this->store.Answer();
    }
  }

  // Passes a request to the instance. The status of the answer; 0 until there
  // is one, which may be after a later call.
  auto Send(const char* aMethod,
            const std::string& aTarget,
            const std::string& aKey) -> std::shared_ptr<int>
  {
    auto request = HttpRequest{ aMethod,
                                aTarget,
                                { { "Host", "a.example" } },
                                R"({"steps":[{"count":1,"cpu":100,"memMb":1,)"
                                R"("estimateMs":100}]})" };
    if (!aKey.empty()) {
      request.fields.emplace_back("Credential", aKey);
    }
    // An exchange without an answer outlives this call.
    auto status = std::make_shared<int>(0);
    this->api.Handle(
      std::make_shared<Exchange>(std::move(request), this->loop.Now(), status));
    return status;
  }

  // The same, and the store answers. The status; 0 if there is none.
  auto Request(const char* aMethod,
               const std::string& aTarget,
               const std::string& aKey) -> int
  {
    const auto status = this->Send(aMethod, aTarget, aKey);
    this->store.Answer();
    return *status;
  }
};

inline constexpr const char* kJob = "/q/00000000000000aa";

} // namespace gooseberry::fleet::test

#endif
