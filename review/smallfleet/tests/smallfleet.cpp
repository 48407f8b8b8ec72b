#include "smallfleet.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "httptableclient.h"
#include "modelsite.h"
#include "ownerrow.h"
#include "recorder.h"
#include "siterows.h"

extern char** environ;

namespace gooseberry::review {

namespace {

constexpr const char* kDaemon = "target/daemon/gooseberryd";
constexpr const char* kTemplate = "deploy/settings.yaml";
constexpr Millis kTick{ 5 };
// What clients state as their time budget.
constexpr Millis kDeadline{ 3000 };
// Workers write their entries this often.
constexpr Millis kReport{ 1500 };

auto
Loopback(int aPort) -> std::string
{
  return "127.0.0.1:" + std::to_string(aPort);
}

auto
IsFree(int aPort) -> bool
{
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  const auto bound = ::bind(socket,
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0;
  ::close(socket);
  return bound;
}

// A port below those that the kernel gives to outgoing connections; each script
// has a part of the range.
auto
FreePort() -> int
{
  constexpr int kFirst = 12000;
  constexpr int kCount = 20000;
  constexpr int kPart = 100;
  static auto next = static_cast<int>(::getpid()) * kPart % kCount;
  for (auto tries = 0; tries < kCount; ++tries) {
    const auto port = kFirst + next;
    next = (next + 1) % kCount;
    if (IsFree(port)) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

auto
Replace(std::string& aText, const std::string& aWhat, const std::string& aBy)
  -> void
{
  for (auto at = aText.find(aWhat); at != std::string::npos;
       at = aText.find(aWhat, at + aBy.size())) {
    aText.replace(at, aWhat.size(), aBy);
  }
}

} // namespace

SmallFleet::SmallFleet(SmallFleetOptions aOptions, const std::string& aRecord)
  : options(aOptions)
  , startedAt(this->loop.Now())
  , record(aRecord)
  , random(1)
{
  auto pattern = std::string{ "/tmp/smallfleet-XXXXXX" };
  if (!this->record || ::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no record or no temporary folder");
  }
  this->directory = pattern;
  this->config = fakes::ConfigOfModelSite();
  auto& policy = this->config.queues.at(0).policy;
  policy.maxAttempts = this->options.maxAttempts;
  policy.slackFactor = this->options.slackFactor;
  policy.targetLatency = this->options.targetLatency;
  this->StartAdviser();
  this->WriteConfig();
  for (auto worker = 0; worker < this->options.workers; ++worker) {
    auto machine = std::make_unique<Machine>();
    machine->server =
      std::make_unique<standin::WorkerServer>(this->loop, this->random);
    auto reason = std::string{};
    if (!machine->server->Listen(reason)) {
      throw std::runtime_error("a worker can't listen: " + reason);
    }
    machine->entry = fakes::EntryOfMachine(worker, 1, this->options.zones);
    machine->entry.capacity = this->options.capacity;
    machine->entry.address = Loopback(machine->server->Port());
    this->machines.push_back(std::move(machine));
    this->machines.back()->server->SetWorker(this->NewProcess(worker));
    this->ListWorker(worker, true);
  }
  for (auto number = 0; number < this->options.instances; ++number) {
    auto instance = std::make_unique<Instance>();
    instance->name = "entry-" + std::to_string(number);
    instance->settingsFile = this->directory + "/" + instance->name + ".yaml";
    instance->logFile = this->directory + "/" + instance->name + ".log";
    instance->callersPort = FreePort();
    instance->store = std::make_unique<standin::StoreServer>(
      this->loop, this->table, this->random, [this] {
        for (const auto& other : this->instances) {
          other->store->WakeFeeds();
        }
      });
    auto reason = std::string{};
    if (!instance->store->Listen(reason)) {
      throw std::runtime_error("the store can't listen: " + reason);
    }
    if (this->options.linkMegabits > 0.0) {
      instance->link = std::make_unique<SlowLink>(
        this->loop, instance->store->Port(), this->options.linkMegabits);
    }
    this->WriteSettings(*instance, number);
    this->instances.push_back(std::move(instance));
    this->Start(number);
  }
  this->Tick();
}

SmallFleet::~SmallFleet()
{
  for (auto number = 0; number < this->options.instances; ++number) {
    this->Kill(number);
  }
  auto error = std::error_code{};
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->directory, error);
  } else {
    std::cout << "logs: " << this->directory << '\n';
  }
}

auto
SmallFleet::WriteSettings(const Instance& aInstance, int aNumber) const -> void
{
  const auto values = std::map<std::string, std::string>{
    { "node", aInstance.name },
    { "zone", "zone-" + std::to_string(aNumber % this->options.zones) },
    { "ip", "127.0.0.1" },
    { "internalPorts.0", std::to_string(FreePort()) },
    { "internalPorts.1", std::to_string(FreePort()) },
    { "listen.front", Loopback(aInstance.callersPort) },
    { "listen.ready", Loopback(FreePort()) },
    { "limits.cpuShare", "0.25" },
    { "limits.memoryMb", "260" },
    { "limits.maxFds", "4100" },
    { "cloud.address", Loopback(FreePort()) },
    { "advice",
      this->adviser ? Loopback(this->adviser->Port()) : std::string{} },
    { "platform.address",
      Loopback(aInstance.link ? aInstance.link->Port()
                              : aInstance.store->Port()) },
    { "platform.writesPerS", "600" },
    { "platform.readsPerS", "2000" },
    { "bounds.holdMaxMs", std::to_string(this->options.holdMax.count()) },
    { "bounds.stopMs", std::to_string(this->options.stop.count()) },
    { "bounds.status_s", "120" },
    { "bounds.graceS", "6" },
    { "bounds.remoteFactor", "3" },
    { "bounds.configApplyMs", "2000" },
  };
  auto file = std::ifstream{ kTemplate };
  auto text = std::string{};
  auto line = std::string{};
  auto left = false;
  while (std::getline(file, line)) {
    // Sections stand for bounds that this deployment does not have.
    if (line.starts_with("{{#")) {
      left = true;
    } else if (line.starts_with("{{/")) {
      left = false;
    } else if (!left) {
      text += line + '\n';
    }
  }
  for (const auto& [name, value] : values) {
    Replace(text, "{{" + name + "}}", value);
  }
  // The metrics of all instances would share the template's port here.
  Replace(text, "127.0.0.1:9464", Loopback(FreePort()));
  std::ofstream{ aInstance.settingsFile } << text;
}

auto
SmallFleet::SetPlan(Plan aPlan) -> void
{
  this->plan = std::move(aPlan);
}

auto
SmallFleet::RunFor(Millis aTime) -> void
{
  this->RunUntil(aTime, [] { return false; });
}

auto
SmallFleet::RunUntil(Millis aAtMost, const std::function<bool()>& aHolds)
  -> bool
{
  const auto until = this->loop.Now() + aAtMost;
  while (!aHolds()) {
    if (this->loop.Now() >= until) {
      return false;
    }
    this->loop.Context().run_for(kTick);
  }
  return true;
}

auto
SmallFleet::Seconds() const -> double
{
  return this->SecondsOf(this->loop.Now());
}

auto
SmallFleet::SecondsOf(Time aTime) const -> double
{
  return std::chrono::duration<double>(aTime - this->startedAt).count();
}

auto
SmallFleet::UnixMillis() const -> std::int64_t
{
  return this->loop.UnixMillis();
}

auto
SmallFleet::Record(const std::string& aText) -> void
{
  auto time = std::array<char, 16>{};
  std::snprintf(time.data(), time.size(), "%8.3f", this->Seconds());
  this->record << time.data() << " s  " << aText << std::endl;
}

auto
SmallFleet::RecordRequests(bool aOn) -> void
{
  this->recordsRequests = aOn;
}

auto
SmallFleet::RecordEventsOf(const cells::JobId& aJob) -> void
{
  this->recordedJob = aJob;
}

auto
SmallFleet::WaitUntilReady() -> bool
{
  constexpr Millis kMost{ 30000 };
  constexpr Millis kSettle{ 3000 };
  if (!this->RunUntil(kMost, [this] { return this->Owner() >= 0; })) {
    return false;
  }
  this->RunFor(kSettle);
  return true;
}

auto
SmallFleet::Send(int aInstance,
                 const std::string& aMethod,
                 const std::string& aJob,
                 const std::string& aBody,
                 std::function<void(const ClientAnswer&)> aDone) -> void
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  auto request =
    HttpRequest{ aMethod,
                 fakes::kModelPrefix + aJob,
                 { { "Host", fakes::kModelHost },
                   { "Content-Type", "application/json" },
                   { "Deadline-Ms", std::to_string(kDeadline.count()) } },
                 aBody };
  if (this->recordsRequests) {
    this->Record("a client sends " + instance.name + " " + aMethod + " " +
                 aJob + " " + aBody);
  }
  instance.callers->Call(
    std::move(request),
    kDeadline,
    [this, aMethod, aJob, done = std::move(aDone)](const HttpReply& aReply) {
      auto answer = ClientAnswer{};
      if (aReply.outcome == HttpOutcome::Answered) {
        answer = { aReply.status, aReply.body };
      }
      if (this->recordsRequests) {
        this->Record("the client of " + aMethod + " " + aJob + " gets " +
                     (answer.status == 0 ? std::string{ "no answer" }
                                         : std::to_string(answer.status)) +
                     " " + answer.body);
      }
      done(answer);
    });
}

auto
SmallFleet::Ask(int aInstance,
                const std::string& aMethod,
                const std::string& aJob,
                const std::string& aBody) -> ClientAnswer
{
  const auto answer = std::make_shared<std::optional<ClientAnswer>>();
  this->Send(
    aInstance, aMethod, aJob, aBody, [answer](const ClientAnswer& aAnswer) {
      *answer = aAnswer;
    });
  constexpr Millis kMargin{ 500 };
  this->RunUntil(kDeadline + kMargin, [answer] { return answer->has_value(); });
  return answer->value_or(ClientAnswer{});
}

auto
SmallFleet::StateAt(int aInstance, const std::string& aJob) -> std::string
{
  const auto answer = this->Ask(aInstance, "GET", aJob, "");
  constexpr int kOk = 200;
  if (answer.status != kOk) {
    return {};
  }
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  return json.is_object() ? json.value("state", std::string{}) : std::string{};
}

auto
SmallFleet::Owner() -> int
{
  for (const auto& row : this->table.AllRows()) {
    auto reason = std::string{};
    const auto owner = row.key == cells::CellRows{ row.key.partition }.Owner()
                         ? cells::DecodeOwnerRow(row.value, reason)
                         : std::nullopt;
    for (auto number = 0; owner && number < this->options.instances; ++number) {
      if (this->instances.at(static_cast<std::size_t>(number))->name ==
          owner->owner.text) {
        return number;
      }
    }
  }
  return -1;
}

auto
SmallFleet::Start(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process > 0) {
    return;
  }
  auto actions = posix_spawn_file_actions_t{};
  ::posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  ::posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     instance.logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kMode);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  auto words =
    std::vector<std::string>{ kDaemon, "--config", instance.settingsFile };
  auto arguments = std::vector<char*>{};
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const auto fault = ::posix_spawn(
    &instance.process, kDaemon, &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (fault != 0) {
    instance.process = -1;
    throw std::runtime_error(std::string{ "cannot start " } + kDaemon);
  }
  instance.callers = std::make_shared<HttpClient>(
    this->loop,
    boost::asio::ip::tcp::endpoint{
      boost::asio::ip::address_v4::loopback(),
      static_cast<std::uint16_t>(instance.callersPort) },
    HttpClientOptions{});
  this->Record(instance.name + " starts");
}

auto
SmallFleet::Signal(int aInstance, int aSignal) -> void
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process > 0) {
    this->Record(instance.name + " gets signal " + std::to_string(aSignal));
    ::kill(instance.process, aSignal);
  }
}

auto
SmallFleet::Kill(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process > 0) {
    this->Signal(aInstance, SIGKILL);
    ::waitpid(instance.process, nullptr, 0);
    instance.process = -1;
  }
}

auto
SmallFleet::Runs(int aInstance) const -> bool
{
  return this->instances.at(static_cast<std::size_t>(aInstance))->process > 0;
}

auto
SmallFleet::Treat(int aInstance, fakes::StoreTreatment aTreatment) -> void
{
  this->instances.at(static_cast<std::size_t>(aInstance))
    ->store->Treat(aTreatment);
}

auto
SmallFleet::NewProcess(int aWorker) -> std::unique_ptr<fakes::JobWorker>
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  machine.entry.startUnixMs = this->loop.UnixMillis();
  auto workerOptions = fakes::JobWorkerOptions{};
  workerOptions.leaseMax = this->options.holdMax;
  return std::make_unique<fakes::JobWorker>(
    machine.entry,
    workerOptions,
    this->loop.Now(),
    [this](const cells::TaskName& aTask, std::uint32_t aRun) {
      return this->plan ? this->plan(aTask, aRun) : fakes::WorkPlan{};
    },
    [this](const fakes::JobEvent& aEvent) { this->OnEvent(aEvent); });
}

auto
SmallFleet::CrashWorker(int aWorker, Millis aDown) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  if (machine.server->Worker() == nullptr) {
    return;
  }
  this->Record("worker " + machine.entry.id.text + " crashes");
  machine.server->EndProcess();
  this->After(aDown, [this, aWorker] {
    auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
    auto reason = std::string{};
    if (!later.server->StartProcess(this->NewProcess(aWorker), reason)) {
      throw std::runtime_error("a worker can't listen again: " + reason);
    }
    this->Record("worker " + later.entry.id.text + " starts again");
    this->ListWorker(aWorker, true);
  });
}

auto
SmallFleet::WorkerOf(const cells::TaskName& aTask) -> int
{
  for (auto worker = 0; worker < this->options.workers; ++worker) {
    auto* const process = this->Worker(worker).Worker();
    if (process != nullptr && process->Runs(aTask)) {
      return worker;
    }
  }
  return -1;
}

auto
SmallFleet::Worker(int aWorker) -> standin::WorkerServer&
{
  return *this->machines.at(static_cast<std::size_t>(aWorker))->server;
}

auto
SmallFleet::Events() const -> const std::vector<fakes::JobEvent>&
{
  return this->events;
}

auto
SmallFleet::WriteConfig() -> void
{
  constexpr std::size_t kShown = 1200;
  auto bytes = wire::SerializeSiteConfig(this->config);
  if (this->options.advice) {
    auto json = nlohmann::json::parse(bytes);
    json.at("routes").at(
      0)["advice"] = { { "decideMs", this->options.advice->decide.count() },
                       { "eachMs", this->options.advice->each.count() },
                       { "validMs", this->options.advice->valid.count() } };
    bytes = json.dump();
  }
  this->Record("the operator writes version " +
               std::to_string(this->config.version) +
               " of the configuration, " + std::to_string(bytes.size()) +
               " bytes: " + bytes.substr(0, kShown));
  this->PutRow(
    { wire::kOperatorTable,
      "",
      wire::FormatOperatorKey({ wire::OperatorRowKind::Config, "" }) },
    bytes);
}

auto
SmallFleet::StartAdviser() -> void
{
  if (!this->options.advice) {
    return;
  }
  this->config.queues.at(0).policy.requiresAdvice = true;
  this->adviser = std::make_shared<HttpServer>(
    this->loop,
    HttpServerLimits{},
    [this](const std::shared_ptr<HttpExchange>& aExchange) {
      this->Advise(aExchange);
    });
  auto reason = std::string{};
  if (!this->adviser->Listen({ boost::asio::ip::address_v4::loopback(), 0 },
                             reason)) {
    throw std::runtime_error("the adviser can't listen: " + reason);
  }
}

auto
SmallFleet::Advise(const std::shared_ptr<HttpExchange>& aExchange) -> void
{
  constexpr int kOk = 200;
  const auto& advice = *this->options.advice;
  const auto json = nlohmann::json::parse(aExchange->Request().body);
  const auto& named = json.at("workers");
  auto good = nlohmann::json::array();
  for (const auto& worker : named) {
    good.push_back({ worker, "ticket-" + worker.get<std::string>() });
  }
  const auto now = this->loop.Now();
  const auto takes = advice.decide + advice.each * named.size();
  this->adviserFree = std::max(this->adviserFree, now) + takes;
  this->Record("the adviser is asked about " + std::to_string(named.size()) +
               " workers for " + json.at("step").get<std::string>() +
               ", which takes " + std::to_string(takes.count()) + " ms");
  this->After(
    ToMillis(this->adviserFree - now),
    [this, aExchange, good, valid = advice.valid] {
      this->Record(aExchange->IsClosed() ? "the adviser's answer finds nobody"
                                         : "the adviser answers");
      aExchange->Respond(
        kOk,
        nlohmann::json{ { "good", good }, { "validMs", valid.count() } }.dump(),
        {});
    });
}

auto
SmallFleet::GrowConfig(int aRoutes) -> void
{
  for (auto number = 0; number < aRoutes; ++number) {
    auto queue = this->config.queues.front();
    const auto name = std::to_string(this->config.queues.size());
    queue.id = { "r-more" + name };
    queue.host = "more" + name + ".example";
    queue.pathPrefix = "/more" + name + "/";
    this->config.queues.push_back(queue);
  }
  ++this->config.version;
  this->WriteConfig();
}

auto
SmallFleet::PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
  -> void
{
  auto commit = cells::TableTransaction{};
  if (aValue) {
    commit.puts.push_back({ aKey, *aValue });
  } else {
    commit.removals.push_back(aKey);
  }
  this->table.Commit(commit);
  for (const auto& instance : this->instances) {
    instance->store->WakeFeeds();
  }
}

auto
SmallFleet::ListWorker(int aWorker, bool aListed) -> void
{
  const auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  const auto key =
    cells::RowKey{ wire::kWorkerTable, "", machine.entry.id.text };
  auto* const process = machine.server->Worker();
  if (aListed && process != nullptr) {
    this->PutRow(key,
                 wire::SerializeWorkerEntry(process->Entry(this->loop.Now())));
    // Workers write again and again.
    this->After(kReport, [this, aWorker, process] {
      auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
      if (later.server->Worker() == process) {
        this->ListWorker(aWorker, true);
      }
    });
  } else {
    this->PutRow(key, std::nullopt);
  }
}

auto
SmallFleet::OnEvent(const fakes::JobEvent& aEvent) -> void
{
  constexpr std::array<const char*, 6> kWords{
    "starts",
    "ends",
    "is told that its end is recorded",
    "unlisted end noted",
    "crashes under",
    "is gone"
  };
  this->events.push_back(aEvent);
  if (this->recordedJob && aEvent.task.job != *this->recordedJob) {
    return;
  }
  const auto isEnd = aEvent.kind == fakes::JobEventKind::End;
  this->Record(
    "worker " + aEvent.worker.text + " " +
    kWords.at(static_cast<std::size_t>(aEvent.kind)) + " " +
    (aEvent.kind == fakes::JobEventKind::Gone
       ? std::string{}
       : ToText(aEvent.task) + " run " + std::to_string(aEvent.run)) +
    (isEnd ? std::string{ ": " } + cells::ToText(aEvent.how) : std::string{}));
}

auto
SmallFleet::After(Millis aDelay, std::function<void()> aWork) -> void
{
  const auto place = this->timers.emplace(this->timers.end());
  *place = this->loop.After(aDelay, [this, place, work = std::move(aWork)] {
    work();
    this->timers.erase(place);
  });
}

auto
SmallFleet::Tick() -> void
{
  for (const auto& machine : this->machines) {
    machine->server->Advance();
  }
  for (const auto& instance : this->instances) {
    instance->store->WakeFeeds();
  }
  this->After(kTick, [this] { this->Tick(); });
}

auto
IsWithoutTrouble() -> bool
{
  const auto* const text = std::getenv("TROUBLE");
  return text != nullptr && std::string{ text } == "0";
}

auto
RunScript(const std::function<int()>& aScript) -> int
{
  constexpr int kCannotRun = 2;
  try {
    return aScript();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCannotRun;
  }
}

auto
Conclude(SmallFleet& aFleet, bool aBroken, const std::string& aText) -> int
{
  const auto verdict =
    std::string{ aBroken ? "rule broken: " : "rule held: " } + aText;
  aFleet.Record(verdict);
  std::cout << verdict << '\n';
  return aBroken ? 1 : 0;
}

} // namespace gooseberry::review
