#include "fleetworld.h"

#include <cstdio>
#include <deque>

#include "callermessages.h"
#include "httptableclient.h"
#include "modelsite.h"
#include "siterows.h"

namespace gooseberry {

namespace {

using cells::RowKey;
using cells::TableStatus;

constexpr Millis kWorldTick{ 10 };
constexpr Millis kStoreTakes{ 8 };
constexpr Millis kHop{ 1 };
constexpr Millis kStateInterval{ 400 };
constexpr Millis kListedFor{ 1500 };
// A caller without an answer tries again after this.
constexpr Millis kAgain{ 600 };
// From the end of a process until it runs again.
constexpr Millis kRestartTakes{ 800 };
constexpr std::size_t kPage = 500;

} // namespace

TraceLog::TraceLog(const EventQueue& aQueue,
                   const std::string& aTrace,
                   std::string aInstance)
  : queue(aQueue)
  , trace(aTrace)
  , instance(std::move(aInstance))
{
}

auto
TraceLog::IsSampled(const cells::JobId& /*aJob*/) const -> bool
{
  return !this->trace.empty();
}

auto
TraceLog::Write(const char* aEvent,
                std::initializer_list<cells::DecisionField> aFields) -> void
{
  if (this->trace.empty()) {
    return;
  }
  auto line = std::to_string(SteadyMillis(this->queue.Now())) + " " +
              this->instance + " " + aEvent;
  for (const auto& field : aFields) {
    line += std::string{ " " } + field.key + "=" + field.value;
  }
  if (line.find(this->trace) != std::string::npos) {
    std::printf("%s\n", line.c_str());
  }
}

struct FleetWorld::Instance
{
  fleet::FleetSettings settings;
  StoreTreatment treatment;
  std::unique_ptr<TraceLog> log;
  std::unique_ptr<VirtualLoop> loop;
  std::unique_ptr<InstanceTables> tables;
  std::unique_ptr<InstanceWorkers> workers;
  std::unique_ptr<InstanceAdvice> advice;
  fleet::FleetMetrics metrics;
  std::unique_ptr<fleet::SiteWatcher> site;
  std::shared_ptr<fleet::FleetView> view;
  std::shared_ptr<fleet::CellManager> board;
  std::unique_ptr<fleet::CallerApi> entry;
  // Everything of dead processes, for calls that are still on their way.
  std::vector<std::shared_ptr<void>> graveyard;
  int life = 0;
};

// The store as one instance reaches it.
class FleetWorld::InstanceTables : public cells::TableClient
{
public:
  InstanceTables(FleetWorld& aWorld, Instance& aInstance)
    : world(aWorld)
    , instance(aInstance)
    , loop(*aInstance.loop)
  {
  }

  auto Commit(const cells::TableTransaction& aCommit,
              Millis aTimeout,
              std::function<void(cells::TableCommitResult)> aDone)
    -> void override
  {
    this->Call<cells::TableCommitResult>(
      aTimeout,
      std::move(aDone),
      [this, aCommit] {
        if (!this->world.IsTaken(aCommit)) {
          ++this->world.rejectedCommits;
          auto rejected = cells::TableCommitResult{ TableStatus::Rejected };
          rejected.reason = "beyond the limits of the store";
          return rejected;
        }
        auto outcome = this->world.table.Commit(aCommit);
        for (const auto& put : aCommit.puts) {
          const auto key = cells::ParseDelegationKey(put.key.key);
          this->world.delegationsWritten +=
            key && key->kind == cells::DelegationKey::Kind::Delegation ? 1 : 0;
        }
        outcome.storeClockMs = SteadyMillis(this->world.queue.Now());
        this->world.WakeFeeds();
        return outcome;
      },
      true);
  }

  auto Read(const cells::RowRange& aRange,
            Millis aTimeout,
            std::function<void(cells::TableReadResult)> aDone) -> void override
  {
    this->Call<cells::TableReadResult>(
      aTimeout,
      std::move(aDone),
      [this, aRange] {
        auto more = true;
        auto range = aRange;
        auto all = cells::TableReadResult{};
        while (more) {
          auto page = this->world.table.Read(range, kPage, more);
          if (all.version == 0) {
            all.version = page.version;
          }
          all.status = page.status;
          std::move(
            page.rows.begin(), page.rows.end(), std::back_inserter(all.rows));
          if (more) {
            range.from = all.rows.back().key.key + "!";
          }
        }
        all.storeClockMs = SteadyMillis(this->world.queue.Now());
        return all;
      },
      false,
      aRange.isLarge);
  }

  auto Feed(const std::string& aTable,
            std::uint64_t aAfter,
            Millis aPatience,
            std::function<void(cells::TableFeedResult)> aDone) -> void override
  {
    ++this->world.storeCalls;
    if (this->instance.treatment.mode != StoreTreatment::Mode::Serves) {
      this->Fail<cells::TableFeedResult>(aPatience, aDone);
      return;
    }
    this->feeds.push_back({ aTable,
                            aAfter,
                            this->world.queue.Now() + aPatience,
                            std::move(aDone) });
  }

  // Answers the feeds that have something to tell, or waited long enough.
  auto Wake() -> void
  {
    const auto now = this->world.queue.Now();
    for (auto feed = this->feeds.begin(); feed != this->feeds.end();) {
      const auto changes = this->world.table.Changes(feed->table, feed->after);
      if (changes && changes->rows.empty() && now < feed->until) {
        ++feed;
        continue;
      }
      auto outcome =
        changes
          ? *changes
          : cells::TableFeedResult{ TableStatus::FeedTruncated, {}, 0, "gone" };
      this->Deliver<cells::TableFeedResult>(kHop, feed->done, outcome);
      feed = this->feeds.erase(feed);
    }
  }

private:
  struct PendingFeed
  {
    std::string table;
    std::uint64_t after = 0;
    Time until{};
    std::function<void(cells::TableFeedResult)> done;
  };

  template<class Outcome>
  auto Deliver(Millis aDelay,
               const std::function<void(Outcome)>& aDone,
               Outcome aOutcome) -> void
  {
    this->world.queue.After(aDelay, [this, aDone, aOutcome] {
      this->loop.Post([aDone, aOutcome] { aDone(aOutcome); });
    });
  }

  template<class Outcome>
  auto Fail(Millis aTimeout, const std::function<void(Outcome)>& aDone) -> void
  {
    const auto silent =
      this->instance.treatment.mode == StoreTreatment::Mode::Silent;
    auto outcome = Outcome{};
    outcome.status = silent ? TableStatus::Unknown : TableStatus::Refused;
    outcome.reason = silent ? "silent" : "refused";
    this->Deliver<Outcome>(silent ? aTimeout : kHop, aDone, outcome);
  }

  // Carries a call out as the store treats this instance at present.
  template<class Outcome, class Effect>
  auto Call(Millis aTimeout,
            std::function<void(Outcome)> aDone,
            Effect aEffect,
            bool aWrite,
            bool aLarge = false) -> void
  {
    ++this->world.storeCalls;
    const auto& treatment = this->instance.treatment;
    if (treatment.mode != StoreTreatment::Mode::Serves) {
      this->Fail<Outcome>(aTimeout, aDone);
      return;
    }
    auto chance = std::uniform_real_distribution{ 0.0, 1.0 };
    if (aWrite && chance(this->world.random) < treatment.lost) {
      const auto late = treatment.late.count() == 0
                          ? kStoreTakes
                          : Millis{ std::uniform_int_distribution<std::int64_t>{
                              0, treatment.late.count() }(this->world.random) };
      this->world.queue.After(late, [aEffect] { aEffect(); });
      auto outcome = Outcome{};
      outcome.status = TableStatus::Unknown;
      outcome.reason = "lost";
      this->Deliver<Outcome>(aTimeout, aDone, outcome);
      return;
    }
    const auto takes = std::chrono::duration_cast<Millis>(
      std::chrono::duration<double, std::milli>(kStoreTakes) * treatment.slow);
    if (takes > aTimeout) {
      this->world.queue.After(takes, [aEffect] { aEffect(); });
      auto outcome = Outcome{};
      outcome.status = TableStatus::Unknown;
      outcome.reason = "slow";
      this->Deliver<Outcome>(aTimeout, aDone, outcome);
      return;
    }
    this->world.queue.After(takes, [this, aEffect, aDone, aLarge] {
      const auto outcome = aEffect();
      const auto arrives = aLarge ? this->TransferTime(outcome) : Millis{ 0 };
      this->Deliver<Outcome>(kHop + arrives, aDone, outcome);
    });
  }

  // Until the answer has passed the instance's link, behind those before it.
  template<class Outcome>
  auto TransferTime(const Outcome& aOutcome) -> Millis
  {
    constexpr std::size_t kMillisPerSecond = 1000;
    const auto width = this->world.options.linkBytesPerSecond;
    if constexpr (std::is_same_v<Outcome, cells::TableReadResult>) {
      if (width > 0) {
        // Values are sent in base64, with some bytes of names and numbers.
        constexpr std::size_t kBytesBeside = 120;
        auto bytes = std::size_t{ 0 };
        for (const auto& row : aOutcome.rows) {
          bytes += row.value.size() * 4 / 3 + kBytesBeside;
        }
        const auto now = this->world.queue.Now();
        this->linkFreeAt =
          std::max(this->linkFreeAt, now) +
          Millis{ static_cast<Millis::rep>(bytes * kMillisPerSecond / width) };
        return ToMillis(this->linkFreeAt - now);
      }
    }
    return Millis{ 0 };
  }

  FleetWorld& world;
  Instance& instance;
  // Of the process that uses this; it outlives the process.
  VirtualLoop& loop;
  std::vector<PendingFeed> feeds;
  Time linkFreeAt{};
};

// Workers as one instance reaches them.
class FleetWorld::InstanceWorkers : public cells::WorkerPort
{
public:
  InstanceWorkers(FleetWorld& aWorld, Instance& aInstance)
    : world(aWorld)
    , instance(aInstance)
    , loop(*aInstance.loop)
  {
  }

  auto RetainOnly(const std::set<std::string>& aAddresses) -> void override
  {
    std::erase_if(this->called, [&](const std::string& aAddress) {
      return !aAddresses.contains(aAddress);
    });
    std::erase_if(this->connected, [&](const auto& aItem) {
      return !aAddresses.contains(aItem.first);
    });
  }

  auto Connections() const -> std::size_t { return this->called.size(); }

  auto Call(const cells::WorkerCall& aCall,
            std::function<void(cells::WorkerAnswer)> aDone) -> void override
  {
    this->called.insert(aCall.address);
    auto reply = [this, aCall, aDone](cells::WorkerAnswer aAnswer) {
      this->world.queue.After(this->AnswerTakes(aCall), [=, this] {
        this->loop.Post([this, aCall, aDone, aAnswer] {
          this->UpdateConnection(aCall, aAnswer);
          aDone(aAnswer);
        });
      });
    };
    const auto connection = this->connected.find(aCall.address);
    const auto process =
      connection == this->connected.end() ? 0 : connection->second;
    if (aCall.processStartUnixMs != 0 && aCall.processStartUnixMs != process) {
      reply({ aCall.number });
      return;
    }
    auto lost = cells::WorkerAnswer{ aCall.number };
    lost.outcome = cells::CallOutcome::Unanswered;
    lost.reason = "no answer";
    auto chance = std::uniform_real_distribution{ 0.0, 1.0 };
    const auto late = aCall.kind != cells::CallKind::Renew &&
                      chance(this->world.random) < this->world.lateOrders;
    auto delay = Millis{ kHop };
    if (late) {
      delay += Millis{ std::uniform_int_distribution<std::int64_t>{
        0, this->world.lateBy.count() }(this->world.random) };
      this->world.queue.After(aCall.timeout, [reply, lost] { reply(lost); });
    }
    this->world.queue.After(delay, [this, aCall, reply, lost, late] {
      auto* const box = this->Find(aCall.address);
      if (box == nullptr || !box->alive || box->cut ||
          this->world.cutLinks.contains({ &this->instance, box })) {
        if (!late) {
          this->world.queue.After(aCall.timeout,
                                  [reply, lost] { reply(lost); });
        }
        return;
      }
      const auto now = this->world.queue.Now();
      if (aCall.processStartUnixMs != 0 &&
          aCall.processStartUnixMs != box->entry.startUnixMs) {
        // The connection ended with the process that it led to.
        reply(lost);
        return;
      }
      if (aCall.kind == cells::CallKind::Start &&
          !this->world.TakesTicket(*box, aCall)) {
        auto refused = cells::WorkerAnswer{ aCall.number };
        refused.outcome = cells::CallOutcome::InvalidTicket;
        refused.clockMs = SteadyMillis(now);
        reply(refused);
        return;
      }
      auto lostChance = std::uniform_real_distribution{ 0.0, 1.0 };
      const auto answerLost =
        this->world.lostAnswers > 0.0 &&
        lostChance(this->world.random) < this->world.lostAnswers;
      const auto answer = box->worker->Handle(
        now, aCall, aCall.maxWait.count() > 0 && !answerLost);
      if (late) {
        return;
      }
      if (answerLost) {
        this->world.queue.After(aCall.timeout, [reply, lost] { reply(lost); });
        return;
      }
      if (answer) {
        reply(*answer);
      } else {
        box->waiting.push_back({ aCall, now + aCall.maxWait, reply });
      }
    });
  }

private:
  auto AnswerTakes(const cells::WorkerCall& aCall) -> Millis
  {
    const auto lateBy = this->world.options.reportsLateBy.count();
    if (aCall.kind != cells::CallKind::Renew || lateBy == 0) {
      return kHop;
    }
    return kHop + Millis{ std::uniform_int_distribution<std::int64_t>{
                    0, lateBy }(this->world.random) };
  }

  // An answer to a renewal tells which process the connection leads to; a call
  // without an answer closes it.
  auto UpdateConnection(const cells::WorkerCall& aCall,
                        const cells::WorkerAnswer& aAnswer) -> void
  {
    if (aAnswer.outcome == cells::CallOutcome::Unanswered) {
      this->connected.erase(aCall.address);
    } else if (aCall.kind == cells::CallKind::Renew &&
               aAnswer.outcome == cells::CallOutcome::Done) {
      this->connected[aCall.address] = aAnswer.workerStartUnixMs;
    }
  }

  auto Find(const std::string& aAddress) -> WorkerBox*
  {
    const auto found = this->world.addresses.find(aAddress);
    return found == this->world.addresses.end() ? nullptr : found->second;
  }

  FleetWorld& world;
  const Instance& instance;
  // Addresses of workers that were called.
  std::set<std::string> called;
  // When the process was started that the open connection to an address leads
  // to.
  std::map<std::string, std::int64_t> connected;
  // Of the process that uses this; it outlives the process.
  VirtualLoop& loop;
};

// The adviser as one instance reaches it: it decides one question after the
// other for each instance.
class FleetWorld::InstanceAdvice : public cells::AdviceClient
{
public:
  InstanceAdvice(FleetWorld& aWorld, Instance& aInstance)
    : world(aWorld)
    , loop(*aInstance.loop)
  {
  }

  auto Send(const cells::AdviceRequest& aQuestion,
            std::function<void(cells::AdviceResponse)> aDone) -> void override
  {
    const auto now = this->world.queue.Now();
    const auto& model = this->world.adviser;
    ++this->world.adviceRequests;
    auto answer = cells::AdviceResponse{ aQuestion.number };
    const auto reply = [this, done = std::move(aDone)](
                         Micros aDelay, const cells::AdviceResponse& aAnswer) {
      this->world.queue.After(ToMillis(aDelay), [this, aAnswer, done] {
        this->loop.Post([aAnswer, done] { done(aAnswer); });
      });
    };
    std::erase_if(this->ends, [now](Time aEnd) { return aEnd <= now; });
    if (this->ends.size() > model.maxWaiting) {
      ++this->world.overloadedRequests;
      answer.status = cells::AdviceStatus::Overloaded;
      reply(kHop, answer);
      return;
    }
    if (model.answers != cells::AdviceStatus::Answered) {
      answer.status = model.answers;
      reply(kHop, answer);
      return;
    }
    // A request that its caller has given up is decided all the same.
    const auto takes = std::chrono::duration_cast<Millis>(
      std::chrono::duration<double, std::milli>(
        model.times.TimeFor(aQuestion.workers.size())) *
      model.slowness);
    const auto end =
      std::max(this->ends.empty() ? now : this->ends.back(), now) + takes;
    this->ends.push_back(end);
    if (!this->world.adviserServes || end >= now + aQuestion.timeout) {
      reply(aQuestion.timeout, answer);
      return;
    }
    answer.status = cells::AdviceStatus::Answered;
    answer.validFor = model.times.valid;
    for (const auto& worker : aQuestion.workers) {
      if (this->world.MayRun(aQuestion.step, worker)) {
        answer.allowed.emplace_back(
          worker,
          this->world.NewTicket(aQuestion.step,
                                worker,
                                (model.issuesLate ? end : now) +
                                  model.times.valid));
      }
    }
    reply(end - now, answer);
  }

private:
  FleetWorld& world;
  // Of the process that uses this; it outlives the process.
  VirtualLoop& loop;
  // When the requests under way will have been decided.
  std::deque<Time> ends;
};

class FleetWorld::FakeExchange : public HttpExchange
{
public:
  FakeExchange(HttpRequest aRequest,
               Time aArrivedAt,
               std::function<void(int, const std::string&)> aDone)
    : request(std::move(aRequest))
    , arrivedAt(aArrivedAt)
    , done(std::move(aDone))
  {
  }

  auto Request() const -> const HttpRequest& override { return this->request; }
  auto ArrivedAt() const -> Time override { return this->arrivedAt; }
  auto Respond(int aStatus, std::string aBody, HttpFields /*aFields*/)
    -> void override
  {
    if (const auto callback = std::exchange(this->done, nullptr)) {
      callback(aStatus, aBody);
    }
  }
  auto IsClosed() const -> bool override { return false; }

private:
  HttpRequest request;
  Time arrivedAt;
  std::function<void(int, const std::string&)> done;
};

FleetWorld::FleetWorld(FleetWorldOptions aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , judge(fakes::JudgeBounds{})
{
  this->config = fakes::ConfigOfModelSite();
  for (auto number = 0; number < aOptions.accounts; ++number) {
    const auto name = "account-" + std::to_string(number);
    auto& account = this->config.accounts[{ name }];
    account = { { name }, { "key-" + name }, 1.0 };
    if (number + 1 < aOptions.accounts) {
      account.limit = aOptions.accountLimit;
    }
  }
  this->SetConfig(this->config);
  for (auto worker = 0; worker < aOptions.workers; ++worker) {
    this->workers.push_back(std::make_unique<WorkerBox>());
    this->NewWorker(worker);
  }
  for (auto number = 0; number < aOptions.instances; ++number) {
    auto instance = std::make_unique<Instance>();
    instance->settings.instance = "entry-" + std::to_string(number);
    instance->settings.overload.admission = this->options.admission;
    instance->settings.runTimes = { this->options.runTimes,
                                    this->options.runTimes };
    instance->settings.cellWorkers = this->options.cellWorkers;
    instance->settings.bounds.keepEnded = this->options.keepEnded;
    instance->settings.bounds.leaseMax = this->options.leaseMax;
    instance->log = std::make_unique<TraceLog>(
      this->queue, this->options.trace, instance->settings.instance);
    this->instances.push_back(std::move(instance));
    this->Start(number);
  }
  this->Tick();
  this->AskStates();
}

FleetWorld::~FleetWorld() = default;

auto
FleetWorld::Queue() -> EventQueue&
{
  return this->queue;
}

auto
FleetWorld::Judge() -> fakes::JobJudge&
{
  return this->judge;
}

auto
FleetWorld::Random() -> std::mt19937_64&
{
  return this->random;
}

auto
FleetWorld::Now() const -> Time
{
  return this->queue.Now();
}

auto
FleetWorld::After(Millis aDelay, std::function<void()> aWork) -> void
{
  this->queue.After(aDelay, std::move(aWork));
}

auto
FleetWorld::RunFor(Millis aTime) -> void
{
  this->queue.RunUntil(this->queue.Now() + aTime);
}

auto
FleetWorld::Instances() const -> int
{
  return this->options.instances;
}

auto
FleetWorld::Workers() const -> int
{
  return this->options.workers;
}

auto
FleetWorld::Start(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.loop && instance.loop->Alive()) {
    return;
  }
  ++instance.life;
  instance.loop = std::make_unique<VirtualLoop>(this->queue);
  instance.tables = std::make_unique<InstanceTables>(*this, instance);
  instance.workers = std::make_unique<InstanceWorkers>(*this, instance);
  instance.advice = std::make_unique<InstanceAdvice>(*this, instance);
  instance.site = std::make_unique<fleet::SiteWatcher>(
    *instance.loop, *instance.tables, *instance.log);
  instance.view = std::make_shared<fleet::FleetView>(
    instance.settings, *instance.loop, *instance.tables, *instance.log);
  instance.board = std::make_shared<fleet::CellManager>(
    instance.settings,
    fleet::CellControllerPorts{ *instance.loop,
                                *instance.tables,
                                *instance.workers,
                                *instance.advice,
                                *instance.site,
                                *instance.view,
                                *instance.log,
                                instance.metrics });
  instance.entry = std::make_unique<fleet::CallerApi>(instance.settings,
                                                      *instance.loop,
                                                      *instance.tables,
                                                      *instance.site,
                                                      *instance.board,
                                                      *instance.view,
                                                      *instance.log,
                                                      instance.metrics);
  instance.site->SetOnChange(
    [raw = &instance] { raw->board->OnSiteChanged(); });
  instance.site->Start();
  instance.view->Start(
    [raw = &instance] { return raw->board->OwnedCellLoads(); },
    [raw = &instance] { raw->board->OnViewChanged(); });
}

auto
FleetWorld::Kill(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (!instance.loop || !instance.loop->Alive()) {
    return;
  }
  instance.loop->Kill();
  ++instance.life;
  const auto bury = [&](auto& aPart) {
    instance.graveyard.push_back(
      std::shared_ptr<std::remove_reference_t<decltype(*aPart)>>(
        std::move(aPart)));
  };
  bury(instance.entry);
  bury(instance.board);
  bury(instance.view);
  bury(instance.site);
  bury(instance.advice);
  bury(instance.workers);
  bury(instance.tables);
  bury(instance.loop);
}

auto
FleetWorld::Pause(int aInstance, Millis aTime) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (!instance.loop) {
    return;
  }
  instance.loop->Pause();
  this->queue.After(aTime, [&instance, life = instance.life] {
    if (instance.life == life && instance.loop) {
      instance.loop->Resume();
    }
  });
}

auto
FleetWorld::Restart(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (!instance.loop || !instance.loop->Alive()) {
    return;
  }
  instance.loop->Post([this, &instance, aInstance, life = instance.life] {
    instance.board->Release([this, &instance, aInstance, life] {
      // The process ends after the release, not in the middle of it.
      this->queue.After(kHop, [this, &instance, aInstance, life] {
        if (instance.life == life) {
          this->Kill(aInstance);
          this->queue.After(kRestartTakes,
                            [this, aInstance] { this->Start(aInstance); });
        }
      });
    });
  });
}

auto
FleetWorld::Treat(int aInstance, StoreTreatment aTreatment) -> void
{
  this->instances.at(static_cast<std::size_t>(aInstance))->treatment =
    aTreatment;
}

auto
FleetWorld::CompactStore() -> void
{
  this->table.Compact();
}

auto
FleetWorld::Owner() const -> int
{
  for (auto number = 0; number < this->options.instances; ++number) {
    const auto& instance =
      *this->instances.at(static_cast<std::size_t>(number));
    if (instance.board && !instance.board->OwnedCells().empty()) {
      return number;
    }
  }
  return -1;
}

auto
FleetWorld::OwnedCells(int aInstance) const -> std::size_t
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  return instance.board ? instance.board->OwnedCells().size() : 0;
}

auto
FleetWorld::CellsThatKnow(const std::string& aServing,
                          const std::string& aFilling) const -> int
{
  auto count = 0;
  for (const auto& instance : this->instances) {
    if (!instance->board) {
      continue;
    }
    for (const auto* const cell : instance->board->OwnedCells()) {
      const auto pairs =
        cell->ExportSharedState(this->Now(), Millis{ 60000 }).pairs;
      count += std::any_of(pairs.begin(), pairs.end(), [&](const auto& aPair) {
        return aPair.criticalImage == aServing &&
               aPair.bestEffortImage == aFilling;
      });
    }
  }
  return count;
}

auto
FleetWorld::LongestLease() const -> Millis
{
  const auto owner = this->Owner();
  return owner < 0 ? Millis{ 0 }
                   : this->instances.at(static_cast<std::size_t>(owner))
                       ->board->OwnedCells()
                       .front()
                       ->LongestLease(this->Now());
}

auto
FleetWorld::CutLink(int aInstance, int aWorker, bool aCut) -> void
{
  const auto link =
    std::pair{ this->instances.at(static_cast<std::size_t>(aInstance)).get(),
               this->workers.at(static_cast<std::size_t>(aWorker)).get() };
  if (aCut) {
    this->cutLinks.insert(link);
  } else {
    this->cutLinks.erase(link);
  }
}

auto
FleetWorld::WorkerConnections(int aInstance) const -> std::size_t
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  return instance.workers ? instance.workers->Connections() : 0;
}

auto
FleetWorld::SomeInstance() -> Instance*
{
  auto alive = std::vector<Instance*>{};
  for (const auto& instance : this->instances) {
    if (instance->loop && instance->loop->Alive() && instance->site->Config()) {
      alive.push_back(instance.get());
    }
  }
  if (alive.empty()) {
    return nullptr;
  }
  return alive[this->random() % alive.size()];
}

auto
FleetWorld::Submit(cells::JobSpec aSpec, fakes::WorkPlan aPlan) -> cells::JobId
{
  const auto id = fakes::NumberedJob(++this->nextJob);
  this->jobs.emplace(id, std::pair{ std::move(aSpec), aPlan });
  this->SubmitAs(id);
  return id;
}

auto
FleetWorld::SubmitAs(const cells::JobId& aJob) -> void
{
  auto row = cells::JobRow{ aJob, { "r-1" }, this->config.queues[0].policy };
  row.spec = this->jobs.at(aJob).first;
  row.account = this->AccountOf(aJob);
  this->judge.OnSubmitted(row);
  this->TryToSubmit(aJob, 0);
}

auto
FleetWorld::SubmitAgain(const cells::JobId& aJob) -> void
{
  this->judge.OnForgotten(aJob);
  this->SubmitAs(aJob);
}

auto
FleetWorld::TryToSubmit(cells::JobId aJob, int aTries) -> void
{
  constexpr int kMostTries = 12;
  const auto again = [this, aJob, aTries](bool aUnknown) {
    if (aTries + 1 < kMostTries) {
      this->queue.After(
        kAgain, [this, aJob, aTries] { this->TryToSubmit(aJob, aTries + 1); });
    } else if (!aUnknown) {
      this->judge.OnRefused(aJob);
    }
  };
  auto* const instance = this->SomeInstance();
  if (instance == nullptr) {
    again(true);
    return;
  }
  const auto body = wire::SerializeJob(this->jobs.at(aJob).first);
  auto exchange = std::make_shared<FakeExchange>(
    HttpRequest{
      "POST", fakes::kModelPrefix + aJob.Text(), this->FieldsFor(aJob), body },
    this->queue.Now(),
    [this, aJob, again](int aStatus, const std::string& /*aBody*/) {
      constexpr int kOk = 200;
      constexpr int kGone = 410;
      constexpr int kUnavailable = 503;
      constexpr int kTooManyRequests = 429;
      if (aStatus == kOk) {
        this->judge.OnAccepted(this->queue.Now(), aJob);
      } else if (aStatus != kGone) {
        this->refusedSubmissions += aStatus == kTooManyRequests ? 1 : 0;
        again(aStatus != kUnavailable && aStatus != kTooManyRequests);
      }
    });
  instance->loop->Post(
    [instance, exchange] { instance->entry->Handle(exchange); });
}

auto
FleetWorld::Cancel(const cells::JobId& aJob) -> void
{
  this->judge.OnCancelAsked(aJob);
  this->TryToCancel(aJob, 0);
}

auto
FleetWorld::CancelUnknown(const cells::JobId& aJob) -> void
{
  this->judge.OnSubmitted({ aJob });
  this->Cancel(aJob);
}

auto
FleetWorld::TryToCancel(cells::JobId aJob, int aTries) -> void
{
  constexpr int kMostTries = 20;
  auto* const instance = this->SomeInstance();
  const auto again = [this, aJob, aTries] {
    if (aTries + 1 < kMostTries) {
      this->queue.After(
        kAgain, [this, aJob, aTries] { this->TryToCancel(aJob, aTries + 1); });
    }
  };
  if (instance == nullptr) {
    again();
    return;
  }
  auto exchange = std::make_shared<FakeExchange>(
    HttpRequest{
      "DELETE", fakes::kModelPrefix + aJob.Text(), this->FieldsFor(aJob), "" },
    this->queue.Now(),
    [this, aJob, again](int aStatus, const std::string& /*aBody*/) {
      constexpr int kOk = 200;
      constexpr int kGone = 410;
      if (aStatus == kOk || aStatus == kGone) {
        this->judge.OnCancelled(this->queue.Now(), aJob);
      } else {
        again();
      }
    });
  instance->loop->Post(
    [instance, exchange] { instance->entry->Handle(exchange); });
}

// A caller now and then asks for the state of a job.
auto
FleetWorld::AskStates() -> void
{
  auto* const instance = this->SomeInstance();
  if (instance != nullptr && !this->jobs.empty()) {
    auto job = this->jobs.begin();
    std::advance(
      job, static_cast<std::ptrdiff_t>(this->random() % this->jobs.size()));
    const auto id = job->first;
    auto exchange = std::make_shared<FakeExchange>(
      HttpRequest{
        "GET", fakes::kModelPrefix + id.Text(), this->FieldsFor(id), "" },
      this->queue.Now(),
      [this, id](int aStatus, const std::string& aBody) {
        constexpr int kOk = 200;
        if (aStatus == kOk &&
            aBody == wire::JobStateBody(cells::JobState::Completed)) {
          this->judge.OnShownCompleted(this->queue.Now(), id);
        }
      });
    instance->loop->Post(
      [instance, exchange] { instance->entry->Handle(exchange); });
  }
  this->queue.After(kStateInterval, [this] { this->AskStates(); });
}

auto
FleetWorld::SpoilSubmission(const cells::JobId& aJob) -> void
{
  this->PutRow(cells::CellRows::Submission(aJob), "no job");
}

auto
FleetWorld::SpoilRows(const std::string& aTable,
                      const std::string& aKeyPrefix,
                      const std::string& aValue) -> std::size_t
{
  auto keys = std::vector<RowKey>{};
  for (const auto& row : this->table.AllRows()) {
    if (row.key.table == aTable && row.key.key.starts_with(aKeyPrefix)) {
      keys.push_back(row.key);
    }
  }
  for (const auto& key : keys) {
    this->PutRow(key, aValue);
  }
  return keys.size();
}

auto
FleetWorld::RunsNewJobs() -> bool
{
  constexpr Millis kWork{ 100 };
  constexpr Millis kWait{ 12000 };
  const auto before = this->judge.Done();
  this->Submit({ "payload", { cells::StepSpec{ 3, { 500, 500, 0 }, kWork } } },
               { kWork });
  this->RunFor(kWait);
  return this->judge.Done() >= before + 3;
}

auto
FleetWorld::RowsOf(const std::string& aTable) const -> std::size_t
{
  const auto rows = this->table.AllRows();
  return static_cast<std::size_t>(
    std::count_if(rows.begin(), rows.end(), [&](const cells::StoredRow& aRow) {
      return aRow.key.table == aTable;
    }));
}

auto
FleetWorld::JobRows() -> std::size_t
{
  auto ranges = std::vector<cells::RowRange>{};
  for (const auto& part : cells::CellRows::SubmissionParts()) {
    ranges.push_back({ cells::CellRows::kSubmissionTable, part });
    ranges.push_back({ cells::CellRows::kCancellationTable, part });
  }
  if (const auto owner = this->Owner(); owner >= 0) {
    const auto& board =
      *this->instances.at(static_cast<std::size_t>(owner))->board;
    for (const auto& [cell, load] : board.OwnedCellLoads()) {
      ranges.push_back(cells::CellRows{ cell }.RecordRange());
    }
  }
  auto count = std::size_t{ 0 };
  for (const auto& range : ranges) {
    auto more = false;
    for (const auto& row : this->table.Read(range, kPage, more).rows) {
      count += cells::CellRows::IsLearnedStateRow(row.key) ? 0 : 1;
    }
  }
  return count;
}

auto
FleetWorld::AskState(const cells::JobId& aJob) -> int
{
  auto status = std::make_shared<int>(0);
  if (auto* const instance = this->SomeInstance(); instance != nullptr) {
    const auto exchange = std::make_shared<FakeExchange>(
      HttpRequest{
        "GET", fakes::kModelPrefix + aJob.Text(), this->FieldsFor(aJob), "" },
      this->queue.Now(),
      [status](int aStatus, const std::string& /*aBody*/) {
        *status = aStatus;
      });
    instance->loop->Post(
      [instance, exchange] { instance->entry->Handle(exchange); });
    constexpr Millis kAnswered{ 3000 };
    this->RunFor(kAnswered);
  }
  return *status;
}

auto
FleetWorld::AskPending(int aInstance, OnPending aDone) -> void
{
  if (!this->Runs(aInstance)) {
    return;
  }
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  const auto exchange = std::make_shared<FakeExchange>(
    HttpRequest{ "GET", fakes::kModelPrefix, this->FieldsFor({}), "" },
    this->queue.Now(),
    [done = std::move(aDone)](int aStatus, const std::string& aBody) {
      constexpr int kOk = 200;
      const auto digit = aBody.find_first_of("0123456789");
      done(aStatus == kOk && digit != std::string::npos
             ? std::optional{ std::stoul(aBody.substr(digit)) }
             : std::nullopt);
    });
  instance.loop->Post(
    [&instance, exchange] { instance.entry->Handle(exchange); });
}

auto
FleetWorld::Runs(int aInstance) const -> bool
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  return instance.loop && instance.loop->Alive();
}

auto
FleetWorld::PutWorkerRow(const std::string& aKey, const std::string& aValue)
  -> void
{
  this->PutRow({ wire::kWorkerTable, "", aKey }, aValue);
}

auto
FleetWorld::PutRow(const RowKey& aKey, std::optional<std::string> aValue)
  -> void
{
  auto commit = cells::TableTransaction{};
  if (aValue) {
    commit.puts.push_back({ aKey, *aValue });
  } else {
    commit.removals.push_back(aKey);
  }
  this->table.Commit(commit);
  this->WakeFeeds();
}

auto
FleetWorld::WakeFeeds() -> void
{
  for (const auto& instance : this->instances) {
    if (instance->tables) {
      instance->tables->Wake();
    }
  }
}

auto
FleetWorld::SetAdvised(bool aAdvised) -> void
{
  this->config.queues[0].policy.requiresAdvice = aAdvised;
  ++this->config.version;
  this->SetConfig(this->config);
}

auto
FleetWorld::SetAdviser(bool aServes) -> void
{
  this->adviserServes = aServes;
}

auto
FleetWorld::SetAdviserModel(const AdviserModel& aModel) -> void
{
  this->adviser = aModel;
  auto& policy = this->config.queues[0].policy;
  policy.adviceTimes = aModel.told ? aModel.times : cells::AdviceTimes{};
  this->SetAdvised(true);
}

auto
FleetWorld::AdviceRequests() const -> std::size_t
{
  return this->adviceRequests;
}

auto
FleetWorld::OverloadedRequests() const -> std::size_t
{
  return this->overloadedRequests;
}

auto
FleetWorld::MayRun(const cells::StepName& aStep, const WorkerId& aWorker) const
  -> bool
{
  constexpr std::uint64_t kParts = 5;
  return StableHash(ToText(aStep) + "@" + aWorker.text) % kParts <
         this->adviser.allowedOfFive;
}

auto
FleetWorld::NewTicket(const cells::StepName& aStep,
                      const WorkerId& aWorker,
                      Time aUntil) -> std::string
{
  auto text = "t" + std::to_string(++this->lastTicket);
  this->tickets.emplace(text, Ticket{ aStep, aWorker, aUntil });
  return text;
}

auto
FleetWorld::TakesTicket(const WorkerBox& aBox, const cells::WorkerCall& aCall)
  -> bool
{
  if (!this->config.queues[0].policy.requiresAdvice) {
    return true;
  }
  const auto ticket = this->tickets.find(aCall.ticket);
  const auto step = StepOf(aCall.task);
  const auto valid = ticket != this->tickets.end() &&
                     ticket->second.step == step &&
                     ticket->second.worker == aBox.entry.id &&
                     this->queue.Now() <= ticket->second.until;
  this->refusedTickets += valid ? 0 : 1;
  return valid;
}

auto
FleetWorld::RefusedTickets() const -> std::size_t
{
  return this->refusedTickets;
}

auto
FleetWorld::RefusedSubmissions() const -> std::size_t
{
  return this->refusedSubmissions;
}

auto
FleetWorld::Evacuate(const DomainId& aDomain, bool aOut) -> void
{
  const auto key = RowKey{
    wire::kOperatorTable,
    "",
    wire::FormatOperatorKey({ wire::OperatorRowKind::Evacuation, aDomain.text })
  };
  this->PutRow(key, aOut ? std::optional<std::string>{ "{}" } : std::nullopt);
  this->judge.OnEvacuation(this->queue.Now(), aDomain, aOut);
}

auto
FleetWorld::SetConfig(const cells::SiteConfig& aConfig) -> void
{
  this->config = aConfig;
  this->judge.OnConfig(this->queue.Now(), aConfig);
  this->PutRow(
    { wire::kOperatorTable,
      "",
      wire::FormatOperatorKey({ wire::OperatorRowKind::Config, "" }) },
    wire::SerializeSiteConfig(aConfig));
}

auto
FleetWorld::SetAccountLimit(Resources aLimit) -> void
{
  ++this->config.version;
  this->config.accounts.begin()->second.limit = aLimit;
  this->SetConfig(this->config);
}

auto
FleetWorld::AccountOf(const cells::JobId& aJob) const -> AccountId
{
  if (this->options.accounts == 0) {
    return {};
  }
  const auto last = static_cast<std::uint64_t>(this->options.accounts) - 1;
  const auto hash = aJob.Hash();
  auto number = hash % 2 == 0 ? 0 : hash / 2 % last;
  const auto job = this->jobs.find(aJob);
  if (job != this->jobs.end() && job->second.first.IsLongRunning()) {
    number = last;
  }
  return { "account-" + std::to_string(number) };
}

auto
FleetWorld::FieldsFor(const cells::JobId& aJob) const -> HttpFields
{
  auto fields = HttpFields{ { "Host", fakes::kModelHost } };
  if (this->options.accounts > 0) {
    fields.emplace_back("Credential", "key-" + this->AccountOf(aJob).text);
  }
  return fields;
}

auto
FleetWorld::IsTaken(const cells::TableTransaction& aCommit) const -> bool
{
  constexpr std::size_t kMostEntries = 100;
  constexpr std::size_t kRowBytes = 65536;
  constexpr std::size_t kKeyBytes = 200;
  // 1 MB, in which values take a third more.
  constexpr std::size_t kCallBytes = 740'000;
  auto bytes = std::size_t{ 0 };
  for (const auto& put : aCommit.puts) {
    bytes += put.value.size() + put.key.key.size();
    if (put.value.size() > kRowBytes || put.key.key.size() > kKeyBytes ||
        (this->refusedRecord &&
         put.key.table == cells::CellRows::kRecordTable &&
         put.key.key == this->refusedRecord->Text())) {
      return false;
    }
  }
  return bytes <= kCallBytes && aCommit.conditions.size() +
                                    aCommit.puts.size() +
                                    aCommit.removals.size() <=
                                  kMostEntries;
}

auto
FleetWorld::RejectRecordsOf(const cells::JobId& aJob) -> void
{
  this->refusedRecord = aJob;
}

auto
FleetWorld::RejectedCommits() const -> std::size_t
{
  return this->rejectedCommits;
}

auto
FleetWorld::Config() const -> const cells::SiteConfig&
{
  return this->config;
}

auto
FleetWorld::PlanOf(const cells::TaskName& aTask, std::uint32_t aRun)
  -> fakes::WorkPlan
{
  const auto found = this->jobs.find(aTask.job);
  if (found == this->jobs.end()) {
    return {};
  }
  return fakes::PlanOfRun(
    found->second.first, found->second.second, aTask, aRun);
}

auto
FleetWorld::NewWorker(int aWorker) -> void
{
  auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  ++box.life;
  box.entry = fakes::EntryOfMachine(aWorker, box.life, this->options.domains);
  if (box.earlierMachines > 0) {
    box.entry.machine.text += "-" + std::to_string(box.earlierMachines);
  }
  constexpr int kHostsOfNet = 250;
  box.entry.address = "10.0." + std::to_string(aWorker / kHostsOfNet) + "." +
                      std::to_string(aWorker % kHostsOfNet + 1) + ":80";
  box.entry.capacity = this->options.capacity;
  if (this->options.rackWorkers > 0) {
    const auto rack = aWorker / this->options.rackWorkers;
    box.entry.domain = { "zone-" +
                         std::to_string(rack % this->options.domains) };
    box.entry.labels = { "a", "r-" + std::to_string(rack) };
  }
  this->addresses[box.entry.address] = &box;
  this->StartWorkerProcess(box);
  this->ListWorker(aWorker, true);
}

auto
FleetWorld::StartWorkerProcess(WorkerBox& aBox) -> void
{
  constexpr std::int64_t kEpochMs = 1'700'000'000'000;
  aBox.entry.startUnixMs = kEpochMs + SteadyMillis(this->queue.Now());
  auto options = fakes::JobWorkerOptions{};
  options.leaseMax = this->options.leaseMax;
  options.firstClock = aBox.firstClock;
  // Up to 2% slow.
  constexpr std::int64_t kSlowest = 980;
  constexpr std::int64_t kRates = 21;
  options.clockRate =
    kSlowest + static_cast<std::int64_t>(this->random() % kRates);
  aBox.worker = std::make_unique<fakes::JobWorker>(
    aBox.entry,
    options,
    this->queue.Now(),
    [this](const cells::TaskName& aTask, std::uint32_t aRun) {
      return this->PlanOf(aTask, aRun);
    },
    [this](const fakes::JobEvent& aEvent) { this->judge.OnEvent(aEvent); });
  aBox.alive = true;
  aBox.waiting.clear();
  this->judge.OnWorker(aBox.entry);
}

auto
FleetWorld::RestartWorker(int aWorker, Millis aDown, Millis aListedAfter)
  -> void
{
  auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  if (!box.alive) {
    return;
  }
  box.alive = false;
  box.worker->Die(this->queue.Now());
  for (const auto& call : std::exchange(box.waiting, {})) {
    this->LoseAnswer(call);
  }
  const auto start = [this, aWorker, aListedAfter, life = box.life] {
    auto& later = *this->workers.at(static_cast<std::size_t>(aWorker));
    if (later.life != life) {
      return;
    }
    this->StartWorkerProcess(later);
    this->queue.After(aListedAfter, [this, aWorker, life] {
      const auto& listed = *this->workers.at(static_cast<std::size_t>(aWorker));
      if (listed.alive && listed.life == life) {
        this->ListWorker(aWorker, true);
      }
    });
  };
  if (aDown > Millis{ 0 }) {
    this->queue.After(aDown, start);
  } else {
    start();
  }
}

auto
FleetWorld::ListWorker(int aWorker, bool aListed) -> void
{
  const auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  const auto key = RowKey{ wire::kWorkerTable, "", box.entry.id.text };
  if (!aListed) {
    this->PutRow(key, std::nullopt);
    return;
  }
  this->PutRow(
    key, wire::SerializeWorkerEntry(box.worker->Entry(this->queue.Now())));
}

auto
FleetWorld::KillWorker(int aWorker, bool aComesBack, Millis aAfter) -> void
{
  auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  if (!box.alive) {
    return;
  }
  box.alive = false;
  box.worker->Die(this->queue.Now());
  for (const auto& call : std::exchange(box.waiting, {})) {
    this->LoseAnswer(call);
  }
  const auto id = box.entry.id.text;
  this->queue.After(kListedFor * 3, [this, id] {
    this->PutRow({ wire::kWorkerTable, "", id }, std::nullopt);
  });
  if (aComesBack) {
    this->queue.After(aAfter, [this, aWorker] { this->NewWorker(aWorker); });
  }
}

auto
FleetWorld::ReuseAddress(int aWorker, Millis aAfter, Millis aClock) -> void
{
  this->KillWorker(aWorker, false, Millis{ 0 });
  this->queue.After(
    aAfter, [this, aWorker, aClock] { this->NewMachine(aWorker, aClock); });
}

auto
FleetWorld::NewMachine(int aWorker, Millis aClock) -> void
{
  auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  if (box.alive) {
    return;
  }
  ++box.earlierMachines;
  box.firstClock = aClock;
  this->NewWorker(aWorker);
}

auto
FleetWorld::LoseAnswer(const WorkerBox::Waiting& aCall) -> void
{
  auto lost = cells::WorkerAnswer{ aCall.call.number };
  lost.outcome = cells::CallOutcome::Unanswered;
  lost.reason = "no answer";
  // The time-out counts from when the call was sent.
  const auto sentAt = aCall.until - aCall.call.maxWait;
  const auto left = sentAt + aCall.call.timeout - this->queue.Now();
  this->queue.After(std::max(Millis{ 0 }, ToMillis(left)),
                    [done = aCall.done, lost] { done(lost); });
}

auto
FleetWorld::CutWorker(int aWorker, bool aCut) -> void
{
  this->workers.at(static_cast<std::size_t>(aWorker))->cut = aCut;
}

auto
FleetWorld::FailWorker(int aWorker, bool aFails) -> void
{
  this->workers.at(static_cast<std::size_t>(aWorker))
    ->worker->SetFailing(aFails);
}

auto
FleetWorld::SlowWorker(int aWorker, double aTimes) -> void
{
  this->workers.at(static_cast<std::size_t>(aWorker))
    ->worker->SetSlowness(aTimes);
}

auto
FleetWorld::DrainWorker(int aWorker) -> void
{
  auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  if (!box.alive) {
    return;
  }
  box.worker->SetLeaving(true);
  this->ListWorker(aWorker, true);
  this->judge.OnLeaving(this->queue.Now(), box.entry.id);
  constexpr Millis kStays{ 6000 };
  this->queue.After(kStays, [this, aWorker, life = box.life] {
    auto& later = *this->workers.at(static_cast<std::size_t>(aWorker));
    if (later.alive && later.life == life) {
      this->ListWorker(aWorker, false);
      later.alive = false;
      later.worker->Die(this->queue.Now());
      for (const auto& call : std::exchange(later.waiting, {})) {
        this->LoseAnswer(call);
      }
      if (this->options.machinesReturn) {
        constexpr Millis kNext{ 4000 };
        this->queue.After(kNext, [this, aWorker] { this->NewWorker(aWorker); });
      }
    }
  });
}

auto
FleetWorld::LateOrders(double aPart, Millis aLate) -> void
{
  this->lateOrders = aPart;
  this->lateBy = aLate;
}

auto
FleetWorld::LoseWorkerAnswers(double aPart) -> void
{
  this->lostAnswers = aPart;
}

auto
FleetWorld::HideWorker(int aWorker, Millis aTime) -> void
{
  const auto& box = *this->workers.at(static_cast<std::size_t>(aWorker));
  this->PutRow({ wire::kWorkerTable, "", box.entry.id.text }, std::nullopt);
  this->queue.After(aTime, [this, aWorker, life = box.life] {
    const auto& later = *this->workers.at(static_cast<std::size_t>(aWorker));
    if (later.alive && later.life == life) {
      this->ListWorker(aWorker, true);
    }
  });
}

auto
FleetWorld::StaleOrders() const -> std::size_t
{
  auto orders = std::size_t{ 0 };
  for (const auto& box : this->workers) {
    orders += box->worker->StaleOrders();
  }
  return orders;
}

auto
FleetWorld::RepeatedStarts() const -> std::size_t
{
  auto starts = std::size_t{ 0 };
  for (const auto& box : this->workers) {
    starts += box->worker->RepeatedStarts();
  }
  return starts;
}

auto
FleetWorld::RunningTasks() const -> std::size_t
{
  auto running = std::size_t{ 0 };
  for (const auto& box : this->workers) {
    running += box->alive ? box->worker->Running() : 0;
  }
  return running;
}

auto
FleetWorld::FreeRooms() const -> std::vector<Resources>
{
  auto rooms = std::vector<Resources>{};
  for (const auto& box : this->workers) {
    if (box->alive && !box->entry.leaving) {
      rooms.push_back(box->worker->Room());
    }
  }
  return rooms;
}

auto
FleetWorld::StoreCalls() const -> std::size_t
{
  return this->storeCalls;
}

auto
FleetWorld::DelegationsWritten() const -> std::size_t
{
  return this->delegationsWritten;
}

auto
FleetWorld::Tick() -> void
{
  const auto now = this->queue.Now();
  for (auto number = 0; number < this->options.workers; ++number) {
    const auto& box = this->workers.at(static_cast<std::size_t>(number));
    if (!box->alive) {
      continue;
    }
    box->worker->Advance(now);
    if (box->worker->HasCrashed()) {
      constexpr std::int64_t kMinRestartMs = 2000;
      constexpr std::int64_t kMaxRestartMs = 5000;
      this->KillWorker(number,
                       true,
                       Millis{ std::uniform_int_distribution<std::int64_t>{
                         kMinRestartMs, kMaxRestartMs }(this->random) });
      continue;
    }
    auto waiting = std::exchange(box->waiting, {});
    for (auto& call : waiting) {
      const auto answer = box->worker->Handle(now, call.call, now < call.until);
      if (!answer) {
        box->waiting.push_back(std::move(call));
      } else if (!box->cut) {
        call.done(*answer);
      } else {
        this->LoseAnswer(call);
      }
    }
  }
  this->WakeFeeds();
  this->queue.After(kWorldTick, [this] { this->Tick(); });
}

} // namespace gooseberry
