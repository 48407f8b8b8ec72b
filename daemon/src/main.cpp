// Command line of gooseberryd.

#include <array>
#include <atomic>
#include <csignal>
#include <iostream>

#include <getopt.h>

#include "fleetinstance.h"
#include "fleetsettings.h"
#include "instance.h"
#include "log.h"
#include "readfile.h"
#include "settings.h"

// Read by jemalloc at the start. Each arena keeps partly used pages of its own,
// and by default there are four for each processor: with 128 of them, memory
// grew by 12 MB more under 500 connections than with 28.
extern "C"
{
  extern const char* malloc_conf;
  const char* malloc_conf = "narenas:16";
}

namespace {

using namespace gooseberry;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

std::atomic<bool> stopRequested = false;
std::atomic<bool> reloadRequested = false;

auto
OnSignal(int aSignal) -> void
{
  (aSignal == SIGHUP ? reloadRequested : stopRequested) = true;
}

constexpr const char* kUsageText =
  R"(Usage: gooseberryd [OPTION]...
Runs one instance of gooseberrytray. Without a settings file it runs alone on
loopback and keeps nothing, for trying out.

  -c, --config FILE      settings file (YAML)
      --check-config     check the settings and end
      --print-defaults   print a settings file with all defaults and end
  -h, --help             print this text and end
  -V, --version          print the version and end

Environment: GOOSEBERRY_INSTANCE, GOOSEBERRY_DOMAIN, GOOSEBERRY_CALLERS,
GOOSEBERRY_ADMIN and GOOSEBERRY_PLATFORM replace the settings
of these names.

Signals: SIGTERM and SIGINT stop gracefully, SIGHUP reads the tokens again.

Exit status: 0 ended as asked, 1 failure, 2 wrong command line, 3 wrong
settings.
)";

struct CommandLine
{
  std::string settingsPath;
  bool checkOnly = false;
};

// Returns the exit status if the process is to end after the command line was
// parsed (--help, --version, --print-defaults, wrong usage), else nothing.
auto
ParseCommandLine(int aCount, char** aArguments, CommandLine& aLine)
  -> std::optional<int>
{
  constexpr std::array<option, 6> kOptions{
    { { "config", required_argument, nullptr, 'c' },
      { "check-config", no_argument, nullptr, 'k' },
      { "print-defaults", no_argument, nullptr, 'p' },
      { "help", no_argument, nullptr, 'h' },
      { "version", no_argument, nullptr, 'V' },
      { nullptr, 0, nullptr, 0 } }
  };
  for (;;) {
    const auto letter =
      getopt_long(aCount, aArguments, "c:hV", kOptions.data(), nullptr);
    switch (letter) {
      case -1:
        if (optind < aCount) {
          std::cerr << "gooseberryd: unexpected argument '"
                    << aArguments[optind] << "'\n";
          return kExitUsage;
        }
        return std::nullopt;
      case 'c':
        aLine.settingsPath = optarg;
        break;
      case 'k':
        aLine.checkOnly = true;
        break;
      case 'p':
        std::cout << DefaultSettingsText();
        return kExitOk;
      case 'h':
        std::cout << kUsageText;
        return kExitOk;
      case 'V':
        std::cout << "gooseberryd " GOOSEBERRY_VERSION "\n";
        return kExitOk;
      default:
        std::cerr << "Try 'gooseberryd --help'.\n";
        return kExitUsage;
    }
  }
}

// Reads the settings file, if a path is given, and applies the environment.
// Returns nothing and fills aErrors on any error.
auto
LoadSettings(const std::string& aPath, std::vector<YamlError>& aErrors)
  -> std::optional<Settings>
{
  auto settings = std::optional<Settings>{ Settings{} };
  if (!aPath.empty()) {
    const auto text = ReadFile(aPath);
    if (!text) {
      aErrors.push_back({ aPath, 0, "", "", "cannot be read" });
      return std::nullopt;
    }
    settings = ParseSettings(aPath, *text, aErrors);
  }
  if (settings) {
    ApplyEnvironment(*settings, aErrors);
  }
  return aErrors.empty() ? settings : std::nullopt;
}

// Runs an instance that schedules jobs on a fleet, from settings that name a
// store. Returns the exit status.
auto
RunFleetInstance(const CommandLine& aLine, const std::string& aText) -> int
{
  auto errors = std::vector<YamlError>{};
  const auto settings =
    fleet::ParseFleetSettings(aLine.settingsPath, aText, errors);
  if (!settings) {
    for (const auto& error : errors) {
      std::cerr << "gooseberryd: " << error.ToString() << '\n';
    }
    return kExitSettings;
  }
  if (aLine.checkOnly) {
    std::cout << "settings are good\n";
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto instance = fleet::FleetInstance{ *settings };
  auto reason = std::string{};
  if (!instance.Start(reason)) {
    std::cerr << "gooseberryd: " << reason << '\n';
    return kExitFailure;
  }
  instance.Run();
  return kExitOk;
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  auto line = CommandLine{};
  if (const auto status = ParseCommandLine(aCount, aArguments, line)) {
    return *status;
  }
  if (const auto text = ReadFile(line.settingsPath);
      text && fleet::LooksLikeFleetSettings(*text)) {
    return RunFleetInstance(line, *text);
  }
  auto errors = std::vector<YamlError>{};
  const auto settings = LoadSettings(line.settingsPath, errors);
  if (!settings) {
    for (const auto& error : errors) {
      std::cerr << "gooseberryd: " << error.ToString() << '\n';
    }
    return kExitSettings;
  }
  if (line.checkOnly) {
    std::cout << "settings are good\n";
    return kExitOk;
  }
  InitLog(settings->logLevel);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  auto instance = Instance{ *settings };
  auto reason = std::string{};
  if (!instance.Start(reason)) {
    std::cerr << "gooseberryd: " << reason << '\n';
    return kExitFailure;
  }
  instance.RunUntil(stopRequested, reloadRequested);
  return kExitOk;
}
