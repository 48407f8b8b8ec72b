// gooseberry-soak: real instances under jobs and faults drawn from a seed,
// judged by what workers, callers and operators saw. Afterwards, left in peace,
// they must finish all accepted work.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <getopt.h>

#include "accountday.h"
#include "drawnfaults.h"
#include "hostileday.h"
#include "poolload.h"
#include "realfleet.h"
#include "repeatedfaults.h"

namespace {

using namespace gooseberry;
using namespace gooseberry::soak;
using fakes::JobDensity;

constexpr int kExitUsage = 2;

// Instances find each other, plan the cells and take them over.
constexpr Millis kSettle{ 9000 };
// Days with a plan of their own begin so long after all cells have an owner.
constexpr Millis kOwnersSettle{ 1000 };
constexpr Millis kLook{ 250 };

constexpr const char* kUsageText =
  R"(Usage: gooseberry-soak [OPTION]...
Plays days of jobs and faults on real processes, one day for each seed.

  -s, --seed N            the first seed (1)
  -n, --seeds N           how many (1)
  -f, --fault-seconds N   how long faults strike (30)
  -b, --bounds on|off     judge the bounds on time as well (on)
  -j, --judge all|once    by all promises, or only that nothing runs twice (all)
  -S, --site NAME         small, rse-tray or cargavoz-quito (small): instances,
                          workers and settings
  -D, --day NAME          drawn, accounts or hostile (drawn): drawn faults, client
                          accounts, or drawn faults and clients that misuse the
                          ports of the instances
  -r, --repeat NAMES      instead of the drawn faults, these again and again;
                          all of them, in a mix, with "all"
  -e, --every MS          the time between two of these (700)
  -p, --program FILE      the instances' program (that of this build)
  -P, --patience SECONDS  how long the work may take to finish after the faults (90)
  -l, --load SECONDS      no faults: the load of a large site for this long, and
                          what each instance spends on it
  -w, --workers N         how many workers, with --load (360)
  -x, --times X           so many times that load in jobs that end (1)
  -d, --directory DIR     logs and settings of the instances (soak-logs)
  -h, --help              print this text and end

Exit status: 0 all promises kept, 1 some broken, 2 wrong command line.
)";

enum class DayKind
{
  Drawn,
  Accounts,
  Hostile
};

struct SoakOptions
{
  DayKind day = DayKind::Drawn;
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  Millis faults{ 30000 };
  bool bounds = true;
  bool onlyOnce = false;
  RealFleetOptions site;
  JobDensity jobs;
  std::vector<RepeatedFault> repeated;
  Millis every{ 700 };
  // Leases of lost workers, orders that are carried out late and the longest
  // task end within this, many times over.
  Millis patience{ 90000 };
  std::string program = GOOSEBERRY_DAEMON_PATH;
  Millis load{ 0 };
  int workers = 360;
  double times = 1.0;
  std::string directory = "soak-logs";
};

struct Site
{
  const char* name;
  int instances;
  int domains;
  int workers;
  int rackWorkers;
  Resources capacity;
  double processorShare;
  Millis leaseMax;
  Millis stop;
  Millis longestGap;
  int lastingJobs;
};

constexpr std::array<Site, 3> kSites{ {
  { "small",
    3,
    3,
    12,
    0,
    { 16000, 64000, 0 },
    0.5,
    Millis{ 6000 },
    Millis{ 400 },
    Millis{ 700 },
    4 },
  { "rse-tray",
    6,
    3,
    48,
    8,
    { 64000, 250000, 0 },
    0.25,
    Millis{ 6000 },
    Millis{ 400 },
    Millis{ 150 },
    8 },
  { "cargavoz-quito",
    8,
    4,
    48,
    6,
    { 16000, 62500, 0 },
    0.1,
    Millis{ 10000 },
    Millis{ 200 },
    Millis{ 150 },
    8 },
} };

// False if there is no site of this name.
auto
ReadSite(const std::string& aName, SoakOptions& aOptions) -> bool
{
  const auto* const site =
    std::find_if(kSites.begin(), kSites.end(), [&](const Site& aSite) {
      return aName == aSite.name;
    });
  if (site == kSites.end()) {
    std::cerr << "gooseberry-soak: there is no site '" << aName
              << "'; known are small, rse-tray and cargavoz-quito\n";
    return false;
  }
  aOptions.site.instances = site->instances;
  aOptions.site.domains = site->domains;
  aOptions.site.workers = site->workers;
  aOptions.site.rackWorkers = site->rackWorkers;
  aOptions.site.capacity = site->capacity;
  aOptions.site.processorShare = site->processorShare;
  aOptions.site.leaseMax = site->leaseMax;
  aOptions.site.stop = site->stop;
  aOptions.jobs.longestGap = site->longestGap;
  aOptions.jobs.lastingJobs = site->lastingJobs;
  return true;
}

// False if there is no day of this name.
auto
ReadDay(const std::string& aName, SoakOptions& aOptions) -> bool
{
  constexpr std::array<std::pair<const char*, DayKind>, 3> kDays{ {
    { "drawn", DayKind::Drawn },
    { "accounts", DayKind::Accounts },
    { "hostile", DayKind::Hostile },
  } };
  for (const auto& [name, day] : kDays) {
    if (aName == name) {
      aOptions.day = day;
      return true;
    }
  }
  std::cerr << "gooseberry-soak: there is no day '" << aName
            << "'; known are drawn, accounts and hostile\n";
  return false;
}

// False if one of the names is not known.
auto
ReadRepeated(const std::string& aNames, SoakOptions& aOptions) -> bool
{
  auto reason = std::string{};
  const auto faults = ParseRepeatedFaults(aNames, reason);
  if (!faults) {
    std::cerr << "gooseberry-soak: " << reason << '\n';
    return false;
  }
  aOptions.repeated = *faults;
  return true;
}

// Nothing with a text for the user if the command line is wrong or settles all.
auto
ReadOptions(int aCount, char** aArguments, int& aStatus)
  -> std::optional<SoakOptions>
{
  constexpr std::array<option, 17> kOptions{
    { { "seed", required_argument, nullptr, 's' },
      { "seeds", required_argument, nullptr, 'n' },
      { "fault-seconds", required_argument, nullptr, 'f' },
      { "bounds", required_argument, nullptr, 'b' },
      { "judge", required_argument, nullptr, 'j' },
      { "site", required_argument, nullptr, 'S' },
      { "day", required_argument, nullptr, 'D' },
      { "repeat", required_argument, nullptr, 'r' },
      { "every", required_argument, nullptr, 'e' },
      { "program", required_argument, nullptr, 'p' },
      { "patience", required_argument, nullptr, 'P' },
      { "load", required_argument, nullptr, 'l' },
      { "workers", required_argument, nullptr, 'w' },
      { "times", required_argument, nullptr, 'x' },
      { "directory", required_argument, nullptr, 'd' },
      { "help", no_argument, nullptr, 'h' },
      { nullptr, 0, nullptr, 0 } }
  };
  auto options = SoakOptions{};
  aStatus = kExitUsage;
  try {
    for (;;) {
      switch (getopt_long(aCount,
                          aArguments,
                          "s:n:f:b:j:S:D:r:e:p:P:l:w:x:d:h",
                          kOptions.data(),
                          nullptr)) {
        case -1:
          return options;
        case 's':
          options.seed = std::stoull(optarg);
          break;
        case 'n':
          options.seeds = std::stoull(optarg);
          break;
        case 'f':
          options.faults = std::chrono::seconds{ std::stoi(optarg) };
          break;
        case 'b':
          options.bounds = std::string{ optarg } != "off";
          break;
        case 'j':
          options.onlyOnce = std::string{ optarg } == "once";
          if (!options.onlyOnce && std::string{ optarg } != "all") {
            std::cerr << "gooseberry-soak: --judge is all or once, not '"
                      << optarg << "'\n";
            return std::nullopt;
          }
          break;
        case 'S':
          if (!ReadSite(optarg, options)) {
            return std::nullopt;
          }
          break;
        case 'D':
          if (!ReadDay(optarg, options)) {
            return std::nullopt;
          }
          break;
        case 'r':
          if (!ReadRepeated(optarg, options)) {
            return std::nullopt;
          }
          break;
        case 'e':
          options.every = Millis{ std::max(1, std::stoi(optarg)) };
          break;
        case 'P':
          options.patience = std::chrono::seconds{ std::stoi(optarg) };
          break;
        case 'p':
          options.program = optarg;
          break;
        case 'l':
          options.load = std::chrono::seconds{ std::stoi(optarg) };
          break;
        case 'w':
          options.workers = std::stoi(optarg);
          break;
        case 'x':
          options.times = std::stod(optarg);
          break;
        case 'd':
          options.directory = optarg;
          break;
        case 'h':
          std::cout << kUsageText;
          aStatus = EXIT_SUCCESS;
          return std::nullopt;
        default:
          std::cerr << "Try 'gooseberry-soak --help'.\n";
          return std::nullopt;
      }
    }
  } catch (const std::exception&) {
    std::cerr << "gooseberry-soak: '" << optarg << "' is no number\n";
    return std::nullopt;
  }
}

// A planned stop or two, besides the faults that fleets in virtual time know.
auto
DrawRestarts(RealFleet& aFleet, Millis aTime) -> std::vector<std::string>
{
  auto told = std::vector<std::string>{};
  auto draw = [&aFleet](std::int64_t aFrom, std::int64_t aTo) {
    return std::uniform_int_distribution{ aFrom, aTo }(aFleet.Random());
  };
  const auto count = draw(0, 2);
  for (auto number = std::int64_t{ 0 }; number < count; ++number) {
    const auto at = Millis{ draw(0, aTime.count()) };
    const auto instance = static_cast<int>(draw(0, aFleet.Instances() - 1));
    told.push_back(std::to_string(at.count()) +
                   " ms: an instance is asked to end");
    aFleet.After(at, [&aFleet, instance] { aFleet.Restart(instance); });
  }
  return told;
}

class Day
{
public:
  Day(const SoakOptions& aOptions, std::uint64_t aSeed)
    : options(aOptions)
    , seed(aSeed)
    , fleet(this->loop, FleetOptionsOf(aOptions, aSeed))
  {
    if (aOptions.day == DayKind::Accounts) {
      this->plan = std::make_unique<AccountDay>(this->fleet);
    } else if (aOptions.day == DayKind::Hostile) {
      this->plan = std::make_unique<HostileDay>(this->fleet);
    }
  }

  auto Play() -> void
  {
    if (this->plan) {
      this->AwaitOwners();
    } else {
      this->fleet.After(kSettle, [this] { this->Begin(); });
    }
    this->loop.Run();
  }

  // Prints what was broken; how many promises were.
  auto Tell(std::uint64_t aSeed) -> std::size_t
  {
    auto& judge = this->fleet.Judge();
    judge.Finish();
    const auto summary = this->plan ? this->plan->Finish() : std::string{};
    auto violations = judge.Violations();
    for (const auto& text : this->fleet.BrokenRules()) {
      violations.push_back(text);
    }
    std::cout << "seed " << aSeed << ": " << judge.Starts() << " starts, "
              << judge.CompletedJobs() << " jobs done, " << violations.size()
              << " broken\n";
    if (!summary.empty()) {
      std::cout << "  " << summary << '\n';
    }
    for (const auto& fault : this->faults) {
      std::cout << "  " << fault << '\n';
    }
    for (const auto& violation : violations) {
      std::cout << "  BROKEN " << violation << '\n';
    }
    for (const auto& line : judge.Timelines()) {
      std::cout << "  " << line << '\n';
    }
    std::cout << std::flush;
    return this->options.onlyOnce ? judge.Doubled() : violations.size();
  }

private:
  auto AwaitOwners() -> void
  {
    const auto ready = this->fleet.AllCellsOwned();
    this->fleet.After(ready ? kOwnersSettle : kLook, [this, ready] {
      if (ready) {
        this->Begin();
      } else {
        this->AwaitOwners();
      }
    });
  }

  auto Begin() -> void
  {
    fakes::DrawJobs(this->fleet,
                    this->options.faults,
                    this->options.day == DayKind::Accounts
                      ? AccountDayJobs()
                      : this->options.jobs);
    if (this->plan) {
      this->faults = this->plan->Begin(this->options.faults);
    }
    if (this->options.repeated.empty()) {
      this->DrawOnce();
    } else {
      RepeatFaults(this->fleet,
                   this->options.repeated,
                   this->seed,
                   this->options.every,
                   this->options.faults);
    }
    this->fleet.After(this->options.faults, [this] {
      this->deadline = this->fleet.Now() + this->options.patience;
      if (this->plan) {
        this->plan->OnFaultsOver();
      }
    });
    this->Look();
  }

  auto DrawOnce() -> void
  {
    // The day with accounts has faults of its own: the keys that an instance
    // has to know depend on when it could reach the store.
    if (this->options.day == DayKind::Accounts) {
      return;
    }
    for (auto& text : fakes::DrawFaults(this->fleet, this->options.faults)) {
      this->faults.push_back(std::move(text));
    }
    for (auto& text : DrawRestarts(this->fleet, this->options.faults)) {
      this->faults.push_back(std::move(text));
    }
  }

  static auto FleetOptionsOf(const SoakOptions& aOptions, std::uint64_t aSeed)
    -> RealFleetOptions
  {
    auto options = aOptions.site;
    options.seed = aSeed;
    options.daemon = aOptions.program;
    options.directory = aOptions.directory + "/" + std::to_string(aSeed);
    if (aOptions.day == DayKind::Accounts) {
      SetAccountOptions(options);
    } else if (aOptions.day == DayKind::Hostile) {
      SetHostileOptions(options);
    }
    if (!aOptions.bounds) {
      constexpr Millis kNone = std::chrono::hours{ 1 };
      options.bounds = { kNone, kNone, kNone };
    }
    return options;
  }

  // After the faults, ends when all is done for some looks in a row, or the
  // patience is over.
  auto Look() -> void
  {
    constexpr int kQuietLooks = 8;
    this->fleet.CheckProcesses();
    if (this->plan) {
      this->plan->Check();
    }
    if (this->deadline != Time{}) {
      const auto complete = this->fleet.Judge().Missing().empty() &&
                            (!this->plan || this->plan->IsComplete());
      this->quiet = complete ? this->quiet + 1 : 0;
      if (this->quiet >= kQuietLooks || this->fleet.Now() > this->deadline) {
        this->loop.Stop();
        return;
      }
    }
    this->fleet.After(kLook, [this] { this->Look(); });
  }

  const SoakOptions& options;
  const std::uint64_t seed;
  EventLoop loop;
  RealFleet fleet;
  std::unique_ptr<DayPlan> plan;
  std::vector<std::string> faults;
  Time deadline{};
  int quiet = 0;
};

// Plays the load of a large site without faults, and prints what each instance
// spent while the short jobs came.
auto
MeasureLoad(const SoakOptions& aOptions) -> void
{
  constexpr double kMillisPerCore = 1000.0;
  auto fleetOptions = RealFleetOptions{};
  fleetOptions.seed = aOptions.seed;
  fleetOptions.daemon = aOptions.program;
  fleetOptions.directory = aOptions.directory + "/load";
  fleetOptions.workers = aOptions.workers;
  fleetOptions.capacity = fakes::kPoolWorkerCapacity;
  fleetOptions.maxDescriptors = 8192;
  fleetOptions.cellWorkers = aOptions.workers;
  auto loop = EventLoop{};
  auto fleet = RealFleet{ loop, fleetOptions };
  auto before = std::vector<double>{};
  auto startsBefore = std::size_t{ 0 };
  fleet.After(kSettle, [&] {
    auto load = fakes::PoolLoad{};
    load.cores = aOptions.workers *
                 static_cast<double>(fleetOptions.capacity.cpuMillis) /
                 kMillisPerCore;
    load.time = aOptions.load;
    load.load *= aOptions.times;
    load.bestEffort *= aOptions.times;
    fakes::SubmitPoolLoad(fleet, load);
    fleet.After(fakes::kPoolOthersBegin, [&] {
      before = fleet.ProcessorSeconds();
      startsBefore = fleet.Judge().Starts();
      fleet.After(aOptions.load, [&loop] { loop.Stop(); });
    });
  });
  loop.Run();
  const auto after = fleet.ProcessorSeconds();
  const auto seconds = static_cast<double>(aOptions.load.count()) / 1000.0;
  const auto starts =
    static_cast<double>(fleet.Judge().Starts() - startsBefore);
  std::cout << starts / seconds << " starts a second on " << aOptions.workers
            << " workers\n";
  for (auto number = std::size_t{ 0 }; number < after.size(); ++number) {
    std::cout << "entry-" << number << ": "
              << (after[number] - before[number]) / seconds << " cores\n";
  }
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  auto status = 0;
  const auto options = ReadOptions(aCount, aArguments, status);
  if (!options) {
    return status;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (options->load > Millis{ 0 }) {
    MeasureLoad(*options);
    return EXIT_SUCCESS;
  }
  auto broken = std::uint64_t{ 0 };
  for (auto seed = options->seed; seed < options->seed + options->seeds;
       ++seed) {
    try {
      auto day = Day{ *options, seed };
      day.Play();
      broken += day.Tell(seed) > 0 ? 1 : 0;
    } catch (const std::runtime_error& fault) {
      std::cerr << "gooseberry-soak: " << fault.what() << '\n';
      return EXIT_FAILURE;
    }
  }
  std::cout << options->seeds << " seeds, " << broken << " broken\n";
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
