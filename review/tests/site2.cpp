#include "site2.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "httptableclient.h"
#include "modelsite.h"
#include "ownerrow.h"
#include "recorder.h"
#include "siterows.h"

namespace gooseberry::review {

namespace {

constexpr const char* kDaemon = "target/daemon/gooseberryd";
constexpr Millis kTick{ 5 };
constexpr Millis kCallTimeout{ 3000 };
constexpr Millis kHeartbeat{ 1500 };
constexpr int kOk = 200;
constexpr int kMostTries = 40;
constexpr int kZones = 3;

auto
Loopback(int aPort) -> std::string
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// A port that is free at present.
auto
FreePort() -> int
{
  const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto length = socklen_t{ sizeof address };
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (handle < 0 || ::bind(handle, raw, length) != 0 ||
      ::getsockname(handle, raw, &length) != 0) {
    throw std::runtime_error("no free port");
  }
  ::close(handle);
  return ntohs(address.sin_port);
}

auto
HowText(cells::RunOutcome aHow) -> const char*
{
  switch (aHow) {
    case cells::RunOutcome::Done:
      return "done";
    case cells::RunOutcome::Failed:
      return "failed";
    case cells::RunOutcome::Stopped:
      return "stopped";
    case cells::RunOutcome::LeaseExpired:
      return "lapsed";
    default:
      return "broken or alone";
  }
}

} // namespace

auto
WithTrouble() -> bool
{
  const auto* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string{ value } != "0";
}

auto
Sleep(std::int64_t aMillis) -> void
{
  std::this_thread::sleep_for(Millis{ aMillis });
}

Site::Site(SiteOptions aOptions, const std::string& aDirectory)
  : options(std::move(aOptions))
  , directory(aDirectory)
  , began(std::chrono::steady_clock::now())
  , record(aDirectory + "/record.txt")
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "review2-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr || !this->record) {
    throw std::runtime_error("no folder to write to");
  }
  this->scratch = pattern;
  auto config = fakes::ConfigOfModelSite();
  auto& policy = config.queues[0].policy;
  policy.maxAttempts = this->options.maxAttempts;
  policy.slackFactor = this->options.slackFactor;
  policy.targetLatency = this->options.targetLatency;
  this->store = std::make_unique<standin::StoreServer>(
    this->loop, this->table, this->random, [this] {
      this->store->WakeFeeds();
    });
  auto reason = std::string{};
  if (!this->store->Listen(reason)) {
    throw std::runtime_error("the store can't listen: " + reason);
  }
  this->PutRow(
    { wire::kOperatorTable,
      "",
      wire::FormatOperatorKey({ wire::OperatorRowKind::Config, "" }) },
    wire::SerializeSiteConfig(config));
  for (auto worker = 0; worker < this->options.workers; ++worker) {
    auto machine = std::make_unique<Machine>();
    machine->server =
      std::make_unique<standin::WorkerServer>(this->loop, this->random);
    if (!machine->server->Listen(reason)) {
      throw std::runtime_error("a worker can't listen: " + reason);
    }
    this->machines.push_back(std::move(machine));
    auto& added = *this->machines.back();
    added.address = Loopback(added.server->Port());
    added.entry = fakes::EntryOfMachine(worker, added.life, kZones);
    added.entry.labels[0] = this->options.kindOf(worker);
    added.server->SetWorker(this->NewProcess(worker));
    this->ListWorker(worker, true);
  }
  this->Tick();
  this->thread = std::thread{ [this] { this->loop.Run(); } };
  for (auto number = 0; number < this->options.instances; ++number) {
    this->AddInstance(number);
    this->StartInstance(number);
  }
}

Site::~Site()
{
  for (auto number = 0; number < static_cast<int>(this->instances.size());
       ++number) {
    this->KillInstance(number);
  }
  this->loop.Stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  auto ignored = std::error_code{};
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->scratch, ignored);
  }
}

auto
Site::NowMs() const -> std::int64_t
{
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            this->began)
    .count();
}

auto
Site::Note(const std::string& aText) -> void
{
  const auto lock = std::lock_guard{ this->recordLock };
  this->record << this->NowMs() << " ms  " << aText << std::endl;
}

auto
Site::OnLoop(const std::function<void()>& aWork) -> void
{
  auto done = std::promise<void>{};
  this->loop.Post([&] {
    aWork();
    done.set_value();
  });
  done.get_future().wait();
}

auto
Site::After(Millis aDelay, std::function<void()> aWork) -> void
{
  const auto place = this->timers.emplace(this->timers.end());
  *place = this->loop.After(aDelay, [this, place, work = std::move(aWork)] {
    work();
    this->timers.erase(place);
  });
}

auto
Site::AddInstance(int aNumber) -> void
{
  auto instance = Instance{};
  instance.name = "front-" + std::to_string(aNumber);
  instance.settings = this->scratch + "/" + instance.name + ".yaml";
  instance.log = this->scratch + "/" + instance.name + ".log";
  instance.callers = FreePort();
  instance.ready = FreePort();
  auto file = std::ofstream{ instance.settings };
  file << "instance: \"" << instance.name << "\"\n"
       << "domain: \"zone-" << aNumber % kZones << "\"\n"
       << "address: \"127.0.0.1\"\n"
       << "first_peer_port: " << FreePort() << '\n'
       << "last_peer_port: " << FreePort() << '\n'
       << "callers: \"" << Loopback(instance.callers) << "\"\n"
       << "ready: \"" << Loopback(instance.ready) << "\"\n"
       << "metrics: \"" << Loopback(FreePort()) << "\"\n"
       << "log_lines_per_second: 500\n"
       << "processor_share: 0.25\n"
       << "memory_mb: 260\n"
       << "max_descriptors: 4100\n"
       << "store:\n"
       << "  address: \"" << Loopback(this->store->Port()) << "\"\n"
       << "  writes_per_second: 600\n"
       << "  reads_per_second: 2000\n"
       << "bounds:\n"
       << "  lease_max: 6000ms\n"
       << "  stop: 400ms\n"
       << "  keep_ended: 120s\n"
       << "  grace: 6s\n"
       << "  remote_factor: 3\n";
  this->instances.push_back(instance);
  this->clients.push_back(std::make_shared<HttpClient>(
    this->loop,
    boost::asio::ip::tcp::endpoint{
      boost::asio::ip::address_v4::loopback(),
      static_cast<std::uint16_t>(instance.callers) },
    HttpClientOptions{}));
}

auto
Site::StartInstance(int aInstance) -> void
{
  auto& instance = this->instances.at(static_cast<std::size_t>(aInstance));
  const auto child = ::fork();
  if (child < 0) {
    throw std::runtime_error("no process can be started");
  }
  if (child == 0) {
    // It ends with this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto log =
      ::open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The sockets of the stand-ins are not the instance's.
    constexpr int kMostDescriptors = 4096;
    for (auto number = STDERR_FILENO + 1; number < kMostDescriptors; ++number) {
      ::close(number);
    }
    ::execl(kDaemon, kDaemon, "--config", instance.settings.c_str(), nullptr);
    ::_exit(127);
  }
  instance.process = child;
  this->Note("instance " + instance.name + " starts");
}

auto
Site::KillInstance(int aInstance) -> void
{
  auto& instance = this->instances.at(static_cast<std::size_t>(aInstance));
  if (instance.process > 0) {
    ::kill(instance.process, SIGKILL);
    ::waitpid(instance.process, nullptr, 0);
    instance.process = -1;
    instance.killed = true;
    this->Note("instance " + instance.name + " killed");
  }
}

auto
Site::Ask(const std::string& aMethod,
          const std::string& aSubpath,
          const std::string& aBody,
          int aFirst) -> Reply
{
  const auto count = static_cast<int>(this->instances.size());
  for (auto offset = 0; offset < count; ++offset) {
    const auto number = static_cast<std::size_t>((aFirst + offset) % count);
    if (this->instances[number].process <= 0) {
      continue;
    }
    auto reply = std::make_shared<std::promise<Reply>>();
    auto answered = reply->get_future();
    this->loop.Post([&, reply] {
      this->clients[number]->Call(
        { aMethod,
          fakes::kModelPrefix + aSubpath,
          { { "Host", fakes::kModelHost },
            { "Content-Type", "application/json" },
            { "Deadline-Ms", std::to_string(kCallTimeout.count()) } },
          aBody },
        kCallTimeout,
        [reply](const HttpReply& aReply) {
          reply->set_value(aReply.outcome == HttpOutcome::Answered
                             ? Reply{ aReply.status, aReply.body }
                             : Reply{});
        });
    });
    auto result = answered.get();
    if (aMethod != "GET" || result.status != kOk) {
      auto text = std::ostringstream{};
      text << aMethod << ' ' << aSubpath << " at "
           << this->instances[number].name << ": " << result.status << ' '
           << result.body;
      this->Note(text.str());
    }
    if (result.status != 0) {
      return result;
    }
  }
  return {};
}

auto
Site::AskUntouched() -> Reply
{
  for (auto number = std::size_t{ 0 }; number < this->instances.size();
       ++number) {
    if (!this->instances[number].killed) {
      auto reply = this->Ask("GET", "", "", static_cast<int>(number));
      auto text = std::ostringstream{};
      text << "GET count at " << this->instances[number].name << ": "
           << reply.status << ' ' << reply.body;
      this->Note(text.str());
      return reply;
    }
  }
  return {};
}

auto
Site::Submit(const std::string& aJob, const std::string& aBody) -> bool
{
  for (auto attempt = 0; attempt < kMostTries; ++attempt) {
    if (this->Ask("POST", aJob, aBody, attempt).status == kOk) {
      auto text = std::ostringstream{};
      text << "accepted: " << aJob << ' ' << aBody;
      this->Note(text.str());
      return true;
    }
    constexpr std::int64_t kAgainMs = 250;
    Sleep(kAgainMs);
  }
  return false;
}

auto
Site::StateOf(const std::string& aJob) -> std::string
{
  const auto reply = this->Ask("GET", aJob, "", 0);
  const auto json = nlohmann::json::parse(reply.body, nullptr, false);
  return reply.status == kOk && json.is_object()
           ? json.value("state", std::string{})
         : reply.status == 0 ? std::string{}
                             : std::to_string(reply.status);
}

auto
Site::AwaitService() -> bool
{
  const auto* const job = "00000000000000ff";
  if (
    !this->Submit(
      job,
      R"({"spec":"probe","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]})")) {
    return false;
  }
  for (auto attempt = 0; attempt < kMostTries; ++attempt) {
    if (this->StateOf(job) == "completed") {
      return true;
    }
    constexpr std::int64_t kAgainMs = 250;
    Sleep(kAgainMs);
  }
  return false;
}

auto
Site::Owner() -> int
{
  auto name = std::string{};
  this->OnLoop([&] {
    auto more = false;
    const auto owner = cells::CellRows{ "c0" }.Owner();
    const auto rows =
      this->table.Read({ owner.table, owner.partition, "", "" }, 1, more).rows;
    auto reason = std::string{};
    if (!rows.empty()) {
      if (const auto row = cells::DecodeOwnerRow(rows.front().value, reason)) {
        name = row->owner.text;
      }
    }
  });
  for (auto number = 0; number < static_cast<int>(this->instances.size());
       ++number) {
    if (this->instances[static_cast<std::size_t>(number)].name == name) {
      return number;
    }
  }
  return -1;
}

auto
Site::NewProcess(int aWorker) -> std::unique_ptr<fakes::JobWorker>
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  machine.entry.capacity = this->options.capacity;
  machine.entry.address = machine.address;
  machine.entry.startUnixMs = this->loop.UnixMillis();
  ++machine.life;
  return std::make_unique<fakes::JobWorker>(
    machine.entry,
    fakes::JobWorkerOptions{},
    this->loop.Now(),
    this->options.plan,
    [this, labels = machine.entry.labels](const fakes::JobEvent& aEvent) {
      this->OnEvent(aEvent, labels);
    });
}

auto
Site::OnEvent(const fakes::JobEvent& aEvent,
              const std::vector<std::string>& aLabels) -> void
{
  {
    const auto lock = std::lock_guard{ this->eventsLock };
    this->events.push_back({ aEvent, aLabels });
  }
  const auto worker = "worker " + aEvent.worker.text;
  const auto run = ToText(aEvent.task) + " run " + std::to_string(aEvent.run);
  auto text = std::string{};
  if (aEvent.kind == fakes::JobEventKind::Start) {
    text = worker + " (kind " + aLabels[0] + ") starts " + run;
  } else if (aEvent.kind == fakes::JobEventKind::End) {
    text = worker + " ends " + run + ": " + HowText(aEvent.how);
  } else if (aEvent.kind == fakes::JobEventKind::Noted) {
    text = worker + ": the end of " + run + " is taken note of";
  } else if (aEvent.kind == fakes::JobEventKind::Gone) {
    text = worker + " crashes";
  }
  if (!text.empty()) {
    this->Note(text);
  }
}

auto
Site::ListWorker(int aWorker, bool aListed) -> void
{
  auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
  const auto key =
    cells::RowKey{ wire::kWorkerTable, "", machine.entry.id.text };
  auto* const worker = machine.server->Worker();
  if (!aListed || worker == nullptr) {
    this->PutRow(key, std::nullopt);
    return;
  }
  this->PutRow(key,
               wire::SerializeWorkerEntry(worker->Entry(this->loop.Now())));
  // A worker writes its entry again and again while it lives.
  this->After(kHeartbeat, [this, aWorker, life = machine.life] {
    const auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
    if (later.life == life && later.server->Worker() != nullptr) {
      this->ListWorker(aWorker, true);
    }
  });
}

auto
Site::PutRow(const cells::RowKey& aKey, std::optional<std::string> aValue)
  -> void
{
  auto commit = cells::TableTransaction{};
  if (aValue) {
    commit.puts.push_back({ aKey, *aValue });
  } else {
    commit.removals.push_back(aKey);
  }
  this->table.Commit(commit);
  this->store->WakeFeeds();
}

auto
Site::Tick() -> void
{
  for (const auto& machine : this->machines) {
    machine->server->Advance();
  }
  this->store->WakeFeeds();
  this->After(kTick, [this] { this->Tick(); });
}

auto
Site::SetStoreDown(bool aDown) -> void
{
  this->OnLoop([&] {
    auto treatment = fakes::StoreTreatment{};
    if (aDown) {
      treatment.mode = fakes::StoreTreatment::Mode::Refuses;
    }
    this->store->Treat(treatment);
  });
  this->Note(aDown ? "the store is down" : "the store is back");
}

auto
Site::CrashWorker(int aWorker) -> void
{
  this->OnLoop([&] {
    auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
    machine.server->EndProcess();
    // Its entry goes after three intervals of silence.
    this->After(
      kHeartbeat * 3,
      [this, id = machine.entry.id, life = machine.life, aWorker] {
        const auto& later =
          *this->machines.at(static_cast<std::size_t>(aWorker));
        if (later.life == life || later.entry.id != id) {
          this->PutRow({ wire::kWorkerTable, "", id.text }, std::nullopt);
        }
      });
  });
}

auto
Site::ReplaceWorker(int aWorker, int aMachine) -> void
{
  this->OnLoop([&] {
    auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
    const auto labels = machine.entry.labels;
    machine.entry = fakes::EntryOfMachine(aMachine, machine.life, kZones);
    machine.entry.labels = labels;
    auto reason = std::string{};
    if (!machine.server->StartProcess(this->NewProcess(aWorker), reason)) {
      this->Note("the worker can't listen again: " + reason);
    }
    this->Note("worker " + machine.entry.id.text + " starts on machine " +
               machine.entry.machine.text + ", at " + machine.address);
    this->ListWorker(aWorker, true);
  });
}

auto
Site::RestartWorker(int aWorker, const std::string& aKind, Millis aListedAfter)
  -> void
{
  this->OnLoop([&] {
    auto& machine = *this->machines.at(static_cast<std::size_t>(aWorker));
    machine.entry.labels[0] = aKind;
    auto reason = std::string{};
    if (!machine.server->StartProcess(this->NewProcess(aWorker), reason)) {
      this->Note("the worker can't listen again: " + reason);
    }
    this->Note("worker " + machine.entry.id.text +
               " starts again under its id, as kind " + aKind);
    this->After(aListedAfter, [this, aWorker, life = machine.life] {
      const auto& later = *this->machines.at(static_cast<std::size_t>(aWorker));
      if (later.life == life && later.server->Worker() != nullptr) {
        this->Note("worker " + later.entry.id.text + " writes its entry");
        this->ListWorker(aWorker, true);
      }
    });
  });
}

auto
Site::Events() -> std::vector<RunEvent>
{
  const auto lock = std::lock_guard{ this->eventsLock };
  return this->events;
}

auto
Site::Running() -> std::size_t
{
  auto running = std::size_t{ 0 };
  this->OnLoop([&] {
    for (const auto& machine : this->machines) {
      if (auto* const worker = machine->server->Worker()) {
        running += worker->Running();
      }
    }
  });
  return running;
}

auto
Site::WorkerOf(const std::string& aJob) -> int
{
  const auto all = this->Events();
  auto found = std::map<std::string, WorkerId>{};
  for (const auto& [event, labels] : all) {
    if (event.task.job.Text() != aJob) {
      continue;
    }
    const auto run = ToText(event.task) + "#" + std::to_string(event.run);
    if (event.kind == fakes::JobEventKind::Start) {
      found[run] = event.worker;
    } else if (event.kind == fakes::JobEventKind::End) {
      found.erase(run);
    }
  }
  auto worker = -1;
  this->OnLoop([&] {
    for (auto number = std::size_t{ 0 }; number < this->machines.size();
         ++number) {
      const auto& machine = *this->machines[number];
      for (const auto& [run, id] : found) {
        if (machine.server->Worker() != nullptr && machine.entry.id == id &&
            machine.server->Worker()->Running() > 0) {
          worker = static_cast<int>(number);
        }
      }
    }
  });
  return worker;
}

} // namespace gooseberry::review
