// Entry point of gooseberryctl: parses the command line and runs one command.

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <getopt.h>

#include "benches.h"
#include "commands.h"
#include "configcheck.h"
#include "trace.h"

namespace {

using namespace gooseberry;

enum OptionId
{
  kBaseOption = 256,
  kSubmissionOption,
  kCountOption,
  kPhaseOption,
  kWaitOption,
  kAuthorityOption,
  kIdOption,
  kAgainstOption
};

constexpr std::array<option, 14> kOptions{
  { { "server", required_argument, nullptr, 's' },
    { "token-file", required_argument, nullptr, 't' },
    { "ca", required_argument, nullptr, kAuthorityOption },
    { "output", required_argument, nullptr, 'o' },
    { "wait", required_argument, nullptr, kWaitOption },
    { "base", required_argument, nullptr, kBaseOption },
    { "submission", required_argument, nullptr, kSubmissionOption },
    { "count", required_argument, nullptr, kCountOption },
    { "phase", required_argument, nullptr, kPhaseOption },
    { "id", required_argument, nullptr, kIdOption },
    { "against", required_argument, nullptr, kAgainstOption },
    { "help", no_argument, nullptr, 'h' },
    { "version", no_argument, nullptr, 'V' },
    { nullptr, 0, nullptr, 0 } }
};

auto
PrintHelp() -> void
{
  std::cout << R"(Usage: gooseberryctl [OPTION]... COMMAND [ARGUMENT]...

Commands:
)";
  for (const auto& command : Commands()) {
    const auto usage = std::string{ command.name } + " " + command.arguments;
    std::printf("  %-24s %s\n", usage.c_str(), command.help);
  }
  std::cout
    << R"(  bench NAME [OPTION]...   run a benchmark; 'bench help' lists them
  trace LOGFILE... --id ID merge the log lines of all instances about a job, a
                           task or a worker into one timeline
  check FILE [--against FILE]
                           check a fleet's configuration before it is written,
                           and compare it with the version in force

Options:
  -s, --server HOST:PORT  administration port (default 127.0.0.1:8081)
  -t, --token-file FILE   file that contains the bearer token
      --ca FILE           CA certificate of the server (PEM); enables TLS
  -o, --output FORMAT     table (default) or json
      --wait SECONDS      time to wait for the effect (default 15)
      --base VERSION      apply: the version that the edit is based on
      --submission NAME   submit: the same name submits the same tasks once
      --count N           submit: number of tasks (default 1)
      --phase PHASE       tasks: list only those in this phase
      --id ID             trace: the job, task or worker
      --against FILE      check: the version in force
  -h, --help              print this text and exit
  -V, --version           print the version and exit

Exit status: 0 the effect is in force, 1 failure, 2 invalid command line,
3 rejected, 4 accepted but not in force everywhere within --wait.
)";
}

struct CommandLine
{
  ApiOptions api;
  bool json = false;
  long wait = 15;
  std::string base;
  std::string submission;
  std::string phase;
  std::string id;
  std::string against;
  int count = 1;
};

auto
UsageError(const std::string& aText) -> std::optional<ExitCode>
{
  std::cerr << "gooseberryctl: " << aText << "\nTry 'gooseberryctl --help'.\n";
  return ExitCode::Usage;
}

auto
ParsePositiveNumber(const char* aText) -> std::optional<long>
{
  char* end = nullptr;
  const auto value = std::strtol(aText, &end, 10);
  if (*aText == '\0' || *end != '\0' || value < 1) {
    return std::nullopt;
  }
  return value;
}

// Applies one option to aLine. Returns an exit code if the program must end
// now: after --help or --version, or if the option is invalid.
auto
ReadOption(int aOptionId, CommandLine& aLine) -> std::optional<ExitCode>
{
  switch (aOptionId) {
    case 's':
      aLine.api.server = optarg;
      return std::nullopt;
    case 't': {
      auto file = std::ifstream{ optarg };
      if (!(file >> aLine.api.token)) {
        return UsageError(std::string{ "cannot read a token from " } + optarg);
      }
      return std::nullopt;
    }
    case kAuthorityOption:
      aLine.api.caCertificatePath = optarg;
      return std::nullopt;
    case 'o':
      aLine.json = std::string{ optarg } == "json";
      if (!aLine.json && std::string{ optarg } != "table") {
        return UsageError("--output must be table or json");
      }
      return std::nullopt;
    case kWaitOption:
    case kCountOption: {
      const auto value = ParsePositiveNumber(optarg);
      if (!value) {
        return UsageError(std::string{ "not a positive number: " } + optarg);
      }
      if (aOptionId == kWaitOption) {
        aLine.wait = *value;
      } else {
        aLine.count = static_cast<int>(*value);
      }
      return std::nullopt;
    }
    case kBaseOption:
      aLine.base = optarg;
      return std::nullopt;
    case kSubmissionOption:
      aLine.submission = optarg;
      return std::nullopt;
    case kPhaseOption:
      aLine.phase = optarg;
      return std::nullopt;
    case kIdOption:
      aLine.id = optarg;
      return std::nullopt;
    case kAgainstOption:
      aLine.against = optarg;
      return std::nullopt;
    case 'h':
      PrintHelp();
      return ExitCode::Ok;
    case 'V':
      std::cout << "gooseberryctl " GOOSEBERRY_VERSION "\n";
      return ExitCode::Ok;
    default:
      return UsageError("unknown option");
  }
}

auto
RunCommand(CommandLine& aLine, const std::vector<std::string>& aCommandWords)
  -> ExitCode
{
  for (const auto& command : Commands()) {
    if (aCommandWords[0] != command.name) {
      continue;
    }
    auto arguments =
      std::vector<std::string>(aCommandWords.begin() + 1, aCommandWords.end());
    if (arguments.size() < command.minArguments ||
        arguments.size() > command.maxArguments) {
      return *UsageError(std::string{ "usage: " } + command.name + " " +
                         command.arguments);
    }
    auto context = CommandContext{ ApiClient{ aLine.api },
                                   aLine.json,
                                   std::chrono::seconds{ aLine.wait },
                                   std::move(arguments),
                                   aLine.base,
                                   aLine.submission,
                                   aLine.phase,
                                   aLine.count };
    return command.run(context);
  }
  return *UsageError("unknown command '" + aCommandWords[0] + "'");
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount > 1 && std::string{ aArguments[1] } == "bench") {
    return RunBench(
      std::vector<std::string>(aArguments + 2, aArguments + aCount));
  }
  auto line = CommandLine{};
  for (;;) {
    const auto optionId =
      getopt_long(aCount, aArguments, "s:t:o:hV", kOptions.data(), nullptr);
    if (optionId == -1) {
      break;
    }
    if (const auto code = ReadOption(optionId, line)) {
      return static_cast<int>(*code);
    }
  }
  const auto words =
    std::vector<std::string>(aArguments + optind, aArguments + aCount);
  if (words.empty()) {
    return static_cast<int>(*UsageError("missing command"));
  }
  if (words[0] == "trace") {
    return static_cast<int>(
      RunTrace({ words.begin() + 1, words.end() }, line.id));
  }
  if (words[0] == "check") {
    return static_cast<int>(
      words.size() == 2 ? RunConfigCheck(words[1], line.against)
                        : *UsageError("usage: check FILE [--against FILE]"));
  }
  return static_cast<int>(RunCommand(line, words));
}
