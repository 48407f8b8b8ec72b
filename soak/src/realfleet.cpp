#include "realfleet.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "callermessages.h"
#include "httptableclient.h"
#include "modelsite.h"
#include "ownerrow.h"
#include "recorder.h"
#include "siterows.h"

namespace gooseberry::soak {

namespace {

constexpr Millis kTick{ 10 };
constexpr Millis kStateInterval{ 400 };
constexpr Millis kCallTimeout{ 4000 };
// A caller without an answer tries again after this.
constexpr Millis kAgain{ 600 };
// Dead workers are listed for so long.
constexpr Millis kListedFor{ 4500 };
constexpr int kMostTries = 12;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;

auto
Loopback(int aPort) -> std::string
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace

RealFleet::RealFleet(EventLoop& aLoop, RealFleetOptions aOptions)
  : loop(aLoop)
  , options(std::move(aOptions))
  , random(this->options.seed)
  , chance(this->options.seed)
  , judge(this->options.bounds)
{
  std::filesystem::create_directories(this->options.directory);
  this->config = fakes::ConfigOfModelSite();
  for (const auto& account : this->options.accounts) {
    this->config.accounts.emplace(account.id, account);
  }
  this->judge.OnConfig(this->loop.Now(), this->config);
  this->PutRow(
    { wire::kOperatorTable,
      "",
      wire::FormatOperatorKey({ wire::OperatorRowKind::Config, "" }) },
    wire::SerializeSiteConfig(this->config));
  for (auto worker = 0; worker < this->options.workers; ++worker) {
    auto machine = std::make_unique<Machine>();
    machine->server =
      std::make_unique<standin::WorkerServer>(this->loop, this->chance);
    auto reason = std::string{};
    if (!machine->server->Listen(reason)) {
      throw std::runtime_error("a worker can't listen: " + reason);
    }
    this->machines.push_back(std::move(machine));
    this->NewWorker(worker);
  }
  for (auto number = 0; number < this->options.instances; ++number) {
    this->AddInstance(number);
  }
  this->Tick();
  this->AskStates();
}

RealFleet::~RealFleet() = default;

auto
RealFleet::AddInstance(int aNumber) -> void
{
  auto instance = std::make_unique<Instance>();
  instance->name = "entry-" + std::to_string(aNumber);
  instance->settingsFile =
    this->options.directory + "/" + instance->name + ".yaml";
  instance->logFile = this->options.directory + "/" + instance->name + ".log";
  instance->callersPort = test::FreePort();
  instance->store = std::make_unique<standin::StoreServer>(
    this->loop, this->table, this->chance, [this] { this->WakeFeeds(); });
  auto reason = std::string{};
  if (!instance->store->Listen(reason)) {
    throw std::runtime_error("the store can't listen: " + reason);
  }
  this->WriteSettings(*instance, aNumber);
  this->instances.push_back(std::move(instance));
  this->Start(aNumber);
}

auto
RealFleet::WriteSettings(const Instance& aInstance, int aNumber) const -> void
{
  auto file = std::ofstream{ aInstance.settingsFile };
  file << "instance: \"" << aInstance.name << "\"\n"
       << "domain: \"zone-" << aNumber % this->options.domains << "\"\n"
       << "address: \"127.0.0.1\"\n"
       << "first_peer_port: " << test::FreePort() << '\n'
       << "last_peer_port: " << test::FreePort() << '\n'
       << "callers: \"" << Loopback(aInstance.callersPort) << "\"\n"
       << "ready: \"" << Loopback(test::FreePort()) << "\"\n"
       << "metrics: \"" << Loopback(test::FreePort()) << "\"\n"
       << "processor_share: " << this->options.processorShare << '\n'
       << "cell_workers: " << this->options.cellWorkers << '\n'
       << "memory_mb: " << this->options.memoryMb << '\n'
       << "max_descriptors: " << this->options.maxDescriptors << '\n'
       << "store:\n"
       << "  address: \"" << Loopback(aInstance.store->Port()) << "\"\n"
       << "  writes_per_second: 600\n"
       << "  reads_per_second: 2000\n"
       << "bounds:\n"
       << "  lease_max: " << this->options.leaseMax.count() << "ms\n"
       << "  stop: " << this->options.stop.count() << "ms\n"
       << "  keep_ended: 20s\n"
       << "  grace: 6s\n"
       << "  remote_factor: 3\n"
       << "  strict_revoke: " << (this->options.strictRevoke ? "true" : "false")
       << '\n';
}

auto
RealFleet::Judge() -> fakes::JobJudge&
{
  return this->judge;
}

auto
RealFleet::Break(const std::string& aText) -> void
{
  this->brokenRules.push_back(std::to_string(SteadyMillis(this->loop.Now())) +
                              " " + aText);
}

auto
RealFleet::BrokenRules() const -> const std::vector<std::string>&
{
  return this->brokenRules;
}

auto
RealFleet::CheckProcesses() -> void
{
  for (auto number = 0; number < this->options.instances; ++number) {
    auto& instance = *this->instances.at(static_cast<std::size_t>(number));
    if (instance.process && !instance.mayEnd && !instance.process->Running()) {
      this->Break(instance.name + " ended with status " +
                  std::to_string(instance.process->Wait()));
      this->Start(number);
    }
  }
}

auto
RealFleet::PeakResidentMb(int aInstance) const -> int
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  return instance.process ? instance.process->PeakResidentMb() : 0;
}

auto
RealFleet::OpenDescriptors(int aInstance) const -> int
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  return instance.process ? instance.process->OpenDescriptors() : 0;
}

auto
RealFleet::CallersPort(int aInstance) const -> int
{
  return this->instances.at(static_cast<std::size_t>(aInstance))->callersPort;
}

auto
RealFleet::ProcessorSeconds() const -> std::vector<double>
{
  auto seconds = std::vector<double>{};
  for (const auto& instance : this->instances) {
    seconds.push_back(instance->process ? instance->process->ProcessorSeconds()
                                        : 0.0);
  }
  return seconds;
}

auto
RealFleet::Random() -> std::mt19937_64&
{
  return this->random;
}

auto
RealFleet::Now() const -> Time
{
  return this->loop.Now();
}

auto
RealFleet::After(Millis aDelay, std::function<void()> aWork) -> void
{
  const auto place = this->timers.emplace(this->timers.end());
  *place = this->loop.After(aDelay, [this, place, work = std::move(aWork)] {
    work();
    this->timers.erase(place);
  });
}

auto
RealFleet::Start(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process && instance.process->Running()) {
    return;
  }
  ++instance.life;
  instance.paused = false;
  instance.mayEnd = false;
  instance.reachesStoreSince = this->loop.Now();
  instance.process = std::make_unique<test::Process>(
    std::vector<std::string>{
      this->options.daemon, "--config", instance.settingsFile },
    std::vector<std::string>{},
    instance.logFile);
  instance.callers = std::make_shared<HttpClient>(
    this->loop,
    boost::asio::ip::tcp::endpoint{
      boost::asio::ip::address_v4::loopback(),
      static_cast<std::uint16_t>(instance.callersPort) },
    HttpClientOptions{});
}

auto
RealFleet::Kill(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process) {
    instance.process->Signal(SIGKILL);
    instance.process->Wait();
    instance.process.reset();
    instance.mayEnd = true;
    instance.reachesStoreSince.reset();
    ++instance.life;
  }
}

auto
RealFleet::Pause(int aInstance, Millis aTime) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (!instance.process) {
    return;
  }
  instance.process->Signal(SIGSTOP);
  instance.paused = true;
  instance.reachesStoreSince.reset();
  this->After(aTime, [this, &instance, life = instance.life] {
    if (instance.life == life && instance.process) {
      instance.process->Signal(SIGCONT);
      instance.paused = false;
      instance.reachesStoreSince = this->loop.Now();
    }
  });
}

auto
RealFleet::Restart(int aInstance) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (!instance.process || instance.paused) {
    return;
  }
  instance.process->Signal(SIGTERM);
  instance.mayEnd = true;
  instance.reachesStoreSince.reset();
  // One that is paused meanwhile ends later; it is not hurried.
  constexpr Millis kGrace{ 8000 };
  this->After(kGrace, [this, aInstance, life = instance.life] {
    auto& later = *this->instances.at(static_cast<std::size_t>(aInstance));
    if (later.life == life) {
      this->Kill(aInstance);
      this->Start(aInstance);
    }
  });
}

auto
RealFleet::Treat(int aInstance, fakes::StoreTreatment aTreatment) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  instance.store->Treat(aTreatment);
  instance.storeServes =
    aTreatment.mode == fakes::StoreTreatment::Mode::Serves &&
    aTreatment.lost == 0.0 && aTreatment.slow == 1.0;
  instance.reachesStoreSince = this->loop.Now();
}

auto
RealFleet::CompactStore() -> void
{
  this->table.Compact();
}

auto
RealFleet::ResetStoreConnections(int aInstance) -> void
{
  this->instances.at(static_cast<std::size_t>(aInstance))
    ->store->ResetConnections();
}

auto
RealFleet::ResetWorkerConnections(int aWorker) -> void
{
  this->machines.at(static_cast<std::size_t>(aWorker))
    ->server->ResetConnections();
}

auto
RealFleet::Throttle(int aInstance, double aShare, Millis aTime) -> void
{
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process && !instance.paused) {
    this->ThrottleUntil(
      aInstance, instance.life, aShare, this->loop.Now() + aTime);
  }
}

auto
RealFleet::ThrottleUntil(int aInstance, int aLife, double aShare, Time aUntil)
  -> void
{
  constexpr Millis kPeriod{ 100 };
  auto& instance = *this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.life != aLife || !instance.process) {
    return;
  }
  if (this->loop.Now() >= aUntil) {
    return;
  }
  const auto rest = std::chrono::duration_cast<Millis>(
    std::chrono::duration<double, std::milli>(kPeriod) * (1.0 - aShare));
  this->Pause(aInstance, rest);
  this->After(kPeriod, [this, aInstance, aLife, aShare, aUntil] {
    this->ThrottleUntil(aInstance, aLife, aShare, aUntil);
  });
}

auto
RealFleet::Owner() const -> int
{
  return this->OwnerOf("c0");
}

auto
RealFleet::AllCellsOwned() const -> bool
{
  const auto cells =
    std::max(1,
             (this->options.workers + this->options.cellWorkers / 2) /
               this->options.cellWorkers);
  for (auto cell = 0; cell < cells; ++cell) {
    if (this->OwnerOf("c" + std::to_string(cell)) < 0) {
      return false;
    }
  }
  return true;
}

auto
RealFleet::CpuMillis() const -> std::int64_t
{
  return this->options.capacity.cpuMillis * this->options.workers;
}

auto
RealFleet::RevokesStrictly() const -> bool
{
  return this->options.strictRevoke;
}

auto
RealFleet::ReachesStoreSince(int aInstance, Time aTime) const -> bool
{
  const auto& instance =
    *this->instances.at(static_cast<std::size_t>(aInstance));
  return instance.process && !instance.paused && !instance.mayEnd &&
         instance.storeServes && instance.reachesStoreSince &&
         *instance.reachesStoreSince <= aTime;
}

auto
RealFleet::OwnerOf(const std::string& aCell) const -> int
{
  auto more = false;
  const auto owner = cells::CellRows{ aCell }.Owner();
  const auto rows =
    this->table.Read({ owner.table, owner.partition, "", "" }, 1, more).rows;
  auto reason = std::string{};
  const auto row = rows.empty()
                     ? std::nullopt
                     : cells::DecodeOwnerRow(rows.front().value, reason);
  for (auto number = 0; row && number < this->options.instances; ++number) {
    if (this->instances.at(static_cast<std::size_t>(number))->name ==
        row->owner.text) {
      return number;
    }
  }
  return -1;
}

auto
RealFleet::Instances() const -> int
{
  return this->options.instances;
}

auto
RealFleet::Workers() const -> int
{
  return this->options.workers;
}

auto
RealFleet::PlanOf(const cells::TaskName& aTask, std::uint32_t aRun)
  -> fakes::WorkPlan
{
  const auto found = this->jobs.find(aTask.job);
  if (found == this->jobs.end()) {
    return {};
  }
  return fakes::PlanOfRun(found->second.spec, found->second.plan, aTask, aRun);
}

auto
RealFleet::NewWorker(int aWorker) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  ++machine.life;
  machine.entry =
    fakes::EntryOfMachine(aWorker, machine.life, this->options.domains);
  if (machine.earlierMachines > 0) {
    machine.entry.machine.text += "-" + std::to_string(machine.earlierMachines);
  }
  machine.entry.capacity = this->options.capacity;
  if (this->options.rackWorkers > 0) {
    const auto rack = aWorker / this->options.rackWorkers;
    machine.entry.domain = { "zone-" +
                             std::to_string(rack % this->options.domains) };
    machine.entry.labels = { "a", "r-" + std::to_string(rack) };
  }
  machine.entry.address = Loopback(machine.server->Port());
  machine.server->SetWorker(this->NewProcess(aWorker));
  this->ListWorker(aWorker, true);
}

auto
RealFleet::NewProcess(int aWorker) -> std::unique_ptr<fakes::JobWorker>
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  machine.entry.startUnixMs = this->loop.UnixMillis();
  auto options = fakes::JobWorkerOptions{};
  options.leaseMax = this->options.leaseMax;
  // Up to 2% slow.
  constexpr std::int64_t kSlowest = 980;
  options.clockRate = kSlowest + (aWorker + machine.life) % 21;
  this->judge.OnWorker(machine.entry);
  return std::make_unique<fakes::JobWorker>(
    machine.entry,
    options,
    this->loop.Now(),
    [this](const cells::TaskName& aTask, std::uint32_t aRun) {
      return this->PlanOf(aTask, aRun);
    },
    [this](const fakes::JobEvent& aEvent) { this->judge.OnEvent(aEvent); });
}

auto
RealFleet::RestartWorker(int aWorker, Millis aDown, Millis aListedAfter) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  if (machine.server->Worker() == nullptr) {
    return;
  }
  machine.server->EndProcess();
  this->After(aDown, [this, aWorker, aListedAfter] {
    this->StartProcess(aWorker, aListedAfter);
  });
}

auto
RealFleet::PowerCycleWorker(int aWorker, Millis aDown, Millis aListedAfter)
  -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  if (machine.server->Worker() == nullptr) {
    return;
  }
  machine.server->Die();
  this->After(aDown, [this, aWorker, aListedAfter, life = machine.life] {
    auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
    if (later.life == life && later.server->Worker() == nullptr) {
      later.server->EndProcess();
      this->StartProcess(aWorker, aListedAfter);
    }
  });
}

auto
RealFleet::ReuseAddress(int aWorker, Millis aDown) -> void
{
  this->KillWorker(aWorker, false, Millis{ 0 });
  this->After(aDown, [this, aWorker] {
    auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
    if (machine.server->Worker() == nullptr) {
      ++machine.earlierMachines;
      this->NewWorker(aWorker);
    }
  });
}

auto
RealFleet::StartProcess(int aWorker, Millis aListedAfter) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  auto reason = std::string{};
  if (!machine.server->StartProcess(this->NewProcess(aWorker), reason)) {
    throw std::runtime_error("a worker can't listen again: " + reason);
  }
  this->After(aListedAfter, [this, aWorker, life = machine.life] {
    const auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
    if (later.server->Worker() != nullptr && later.life == life) {
      this->ListWorker(aWorker, true);
    }
  });
}

auto
RealFleet::ListWorker(int aWorker, bool aListed) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  const auto key =
    cells::RowKey{ wire::kWorkerTable, "", machine.entry.id.text };
  if (auto* const worker = machine.server->Worker(); aListed && worker) {
    this->PutRow(key,
                 wire::SerializeWorkerEntry(worker->Entry(this->loop.Now())));
  } else {
    this->PutRow(key, std::nullopt);
  }
}

auto
RealFleet::KillWorker(int aWorker, bool aComesBack, Millis aAfter) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  if (machine.server->Worker() == nullptr) {
    return;
  }
  machine.server->Die();
  this->After(kListedFor, [this, id = machine.entry.id.text] {
    this->PutRow({ wire::kWorkerTable, "", id }, std::nullopt);
  });
  if (aComesBack) {
    this->After(aAfter, [this, aWorker] { this->NewWorker(aWorker); });
  }
}

auto
RealFleet::CutWorker(int aWorker, bool aCut) -> void
{
  this->machines.at(static_cast<std::size_t>(aWorker))->server->SetCut(aCut);
}

auto
RealFleet::FailWorker(int aWorker, bool aFails) -> void
{
  auto& server = *this->machines.at(static_cast<std::size_t>(aWorker))->server;
  if (auto* const worker = server.Worker()) {
    worker->SetFailing(aFails);
  }
}

auto
RealFleet::SlowWorker(int aWorker, double aTimes) -> void
{
  auto& server = *this->machines.at(static_cast<std::size_t>(aWorker))->server;
  if (auto* const worker = server.Worker()) {
    worker->SetSlowness(aTimes);
  }
}

auto
RealFleet::DrainWorker(int aWorker) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  auto* const worker = machine.server->Worker();
  if (worker == nullptr) {
    return;
  }
  worker->SetLeaving(true);
  this->ListWorker(aWorker, true);
  this->judge.OnLeaving(this->loop.Now(), machine.entry.id);
  constexpr Millis kStays{ 6000 };
  this->After(kStays, [this, aWorker, life = machine.life] {
    auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
    if (later.server->Worker() != nullptr && later.life == life) {
      this->ListWorker(aWorker, false);
      later.server->Die();
      constexpr Millis kNext{ 4000 };
      this->After(kNext, [this, aWorker] { this->NewWorker(aWorker); });
    }
  });
}

auto
RealFleet::LateOrders(double aPart, Millis aLate) -> void
{
  for (const auto& machine : this->machines) {
    machine->server->SetLate(aPart, aLate);
  }
}

auto
RealFleet::LoseWorkerAnswers(double aPart) -> void
{
  for (const auto& machine : this->machines) {
    machine->server->SetLosing(aPart);
  }
}

auto
RealFleet::HideWorker(int aWorker, Millis aTime) -> void
{
  const auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  this->PutRow({ wire::kWorkerTable, "", machine.entry.id.text }, std::nullopt);
  this->After(aTime, [this, aWorker, life = machine.life] {
    const auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
    if (later.server->Worker() != nullptr && later.life == life) {
      this->ListWorker(aWorker, true);
    }
  });
}

auto
RealFleet::Evacuate(const DomainId& aDomain, bool aOut) -> void
{
  const auto key = cells::RowKey{
    wire::kOperatorTable,
    "",
    wire::FormatOperatorKey({ wire::OperatorRowKind::Evacuation, aDomain.text })
  };
  this->PutRow(key, aOut ? std::optional<std::string>{ "{}" } : std::nullopt);
  this->judge.OnEvacuation(this->loop.Now(), aDomain, aOut);
}

auto
RealFleet::PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
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
RealFleet::WakeFeeds() -> void
{
  for (const auto& instance : this->instances) {
    instance->store->WakeFeeds();
  }
}

auto
RealFleet::SomeInstance() -> int
{
  auto alive = std::vector<int>{};
  for (auto number = 0; number < this->options.instances; ++number) {
    if (this->instances.at(static_cast<std::size_t>(number))->process) {
      alive.push_back(number);
    }
  }
  return alive.empty() ? -1 : alive[this->chance() % alive.size()];
}

auto
RealFleet::AskCaller(int aInstance,
                     const std::string& aKey,
                     const std::string& aMethod,
                     const cells::JobId& aJob,
                     const std::string& aBody,
                     OnAnswer aDone) -> void
{
  auto answer =
    CallerAnswer{ aMethod, aJob, aKey, aInstance, this->loop.Now() };
  if (aInstance < 0 ||
      !this->instances.at(static_cast<std::size_t>(aInstance))->process) {
    this->After(kTick, [done = std::move(aDone), answer] { done(answer); });
    return;
  }
  auto request = HttpRequest{ aMethod,
                              fakes::kModelPrefix + aJob.Text(),
                              { { "Host", fakes::kModelHost } },
                              aBody };
  if (aMethod != "GET") {
    request.fields.emplace_back("Deadline-Ms",
                                std::to_string(kCallTimeout.count()));
  }
  if (!aKey.empty()) {
    request.fields.emplace_back("Credential", aKey);
  }
  this->instances.at(static_cast<std::size_t>(aInstance))
    ->callers->Call(
      std::move(request),
      kCallTimeout,
      [this, answer, done = std::move(aDone)](const HttpReply& aReply) mutable {
        const auto answered = aReply.outcome == HttpOutcome::Answered;
        answer.status = answered ? aReply.status : 0;
        answer.mayHaveRun = aReply.outcome == HttpOutcome::Unknown ||
                            (answered && aReply.status != kUnavailable &&
                             aReply.status != kUnauthorized);
        if (answer.method == "GET" && aReply.Ok() &&
            aReply.body == wire::JobStateBody(cells::JobState::Completed)) {
          this->judge.OnShownCompleted(this->loop.Now(), answer.job);
        }
        if (this->observer) {
          this->observer(answer);
        }
        done(answer);
      });
}

auto
RealFleet::AskAs(const std::string& aKey,
                 const std::string& aMethod,
                 const cells::JobId& aJob) -> void
{
  this->AskCaller(this->SomeInstance(),
                  aKey,
                  aMethod,
                  aJob,
                  "",
                  [](const CallerAnswer& /*aAnswer*/) {});
}

auto
RealFleet::ObserveAnswers(OnAnswer aObserver) -> void
{
  this->observer = std::move(aObserver);
}

auto
RealFleet::AccountOf(const cells::JobId& aJob) const -> AccountId
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? AccountId{} : found->second.account;
}

auto
RealFleet::SomeJob() -> std::optional<cells::JobId>
{
  if (this->jobs.empty()) {
    return std::nullopt;
  }
  auto job = this->jobs.begin();
  std::advance(job,
               static_cast<std::ptrdiff_t>(this->chance() % this->jobs.size()));
  return job->first;
}

auto
RealFleet::ChangeConfig(const std::function<void(cells::SiteConfig&)>& aChange)
  -> void
{
  aChange(this->config);
  ++this->config.version;
  this->PutRow(
    { wire::kOperatorTable,
      "",
      wire::FormatOperatorKey({ wire::OperatorRowKind::Config, "" }) },
    wire::SerializeSiteConfig(this->config));
  this->judge.OnConfig(this->loop.Now(), this->config);
}

auto
RealFleet::Config() const -> const cells::SiteConfig&
{
  return this->config;
}

auto
RealFleet::Submit(cells::JobSpec aSpec, fakes::WorkPlan aPlan) -> cells::JobId
{
  // The accounts of the fleet's options share these jobs; the last key of each
  // stays.
  auto submission = Submission{ std::move(aSpec), aPlan, {}, "" };
  if (!this->options.accounts.empty()) {
    const auto& account =
      this->options.accounts[this->nextJob % this->options.accounts.size()];
    submission.account = account.id;
    submission.key = *account.keys.rbegin();
  }
  return this->SubmitAs(std::move(submission));
}

auto
RealFleet::AddJob(Submission aSubmission) -> cells::JobId
{
  const auto id = fakes::NumberedJob(++this->nextJob);
  auto row = cells::JobRow{ id, { "r-1" }, this->config.queues[0].policy };
  row.spec = aSubmission.spec;
  row.account = aSubmission.account;
  this->jobs.emplace(id, std::move(aSubmission));
  this->judge.OnSubmitted(row);
  return id;
}

auto
RealFleet::SubmitAs(Submission aSubmission) -> cells::JobId
{
  const auto id = this->AddJob(std::move(aSubmission));
  this->TryToSubmit(id, 0, true);
  return id;
}

auto
RealFleet::SubmitAt(int aInstance, Submission aSubmission, OnAnswer aDone)
  -> void
{
  const auto body = wire::SerializeJob(aSubmission.spec);
  const auto key = aSubmission.key;
  const auto id = this->AddJob(std::move(aSubmission));
  this->AskCaller(
    aInstance,
    key,
    "POST",
    id,
    body,
    [this, id, done = std::move(aDone)](const CallerAnswer& aAnswer) {
      if (aAnswer.status == kOk) {
        this->judge.OnAccepted(this->loop.Now(), id);
      } else if (!aAnswer.mayHaveRun) {
        this->judge.OnRefused(id);
      }
      done(aAnswer);
    });
}

auto
RealFleet::TryToSubmit(const cells::JobId& aJob, int aTries, bool aRejected)
  -> void
{
  const auto& submission = this->jobs.at(aJob);
  this->AskCaller(this->SomeInstance(),
                  submission.key,
                  "POST",
                  aJob,
                  wire::SerializeJob(submission.spec),
                  [this, aJob, aTries, aRejected](const CallerAnswer& aAnswer) {
                    const auto rejected = aRejected && !aAnswer.mayHaveRun;
                    if (aAnswer.status == kOk) {
                      this->judge.OnAccepted(this->loop.Now(), aJob);
                    } else if (aTries + 1 < kMostTries &&
                               aAnswer.status != kUnauthorized &&
                               aAnswer.status != kGone) {
                      this->After(kAgain, [this, aJob, aTries, rejected] {
                        this->TryToSubmit(aJob, aTries + 1, rejected);
                      });
                    } else if (rejected) {
                      this->judge.OnRefused(aJob);
                    }
                  });
}

auto
RealFleet::Cancel(const cells::JobId& aJob) -> void
{
  this->judge.OnCancelAsked(aJob);
  this->TryToCancel(aJob, 0);
}

auto
RealFleet::TryToCancel(const cells::JobId& aJob, int aTries) -> void
{
  this->AskCaller(this->SomeInstance(),
                  this->jobs.at(aJob).key,
                  "DELETE",
                  aJob,
                  "",
                  [this, aJob, aTries](const CallerAnswer& aAnswer) {
                    if (aAnswer.status == kOk || aAnswer.status == kGone) {
                      this->judge.OnCancelled(this->loop.Now(), aJob);
                    } else if (aTries + 1 < kMostTries) {
                      this->After(kAgain, [this, aJob, aTries] {
                        this->TryToCancel(aJob, aTries + 1);
                      });
                    }
                  });
}

// A caller now and then asks for the state of a job.
auto
RealFleet::AskStates() -> void
{
  if (const auto job = this->SomeJob()) {
    this->AskAs(this->jobs.at(*job).key, "GET", *job);
  }
  this->After(kStateInterval, [this] { this->AskStates(); });
}

auto
RealFleet::Tick() -> void
{
  for (const auto& machine : this->machines) {
    machine->server->Advance();
  }
  this->WakeFeeds();
  this->After(kTick, [this] { this->Tick(); });
}

} // namespace gooseberry::soak
