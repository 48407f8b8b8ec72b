#include "requestbench.h"

#include <cstdio>
#include <iostream>
#include <thread>

#include "benchoptions.h"
#include "readfile.h"
#include "requestload.h"
#include "yamlreader.h"

namespace gooseberry {

namespace {

constexpr double kMostPerSecond = 100000.0;
constexpr std::int64_t kMostCallers = 10000;
constexpr std::int64_t kMostBodyBytes = 1 << 20;
constexpr Millis kMostDuration{ 3600000 };

// Something that the bench does to a stand-in while a load runs.
struct Event
{
  Millis at{ 0 };
  HostPort target;
  std::string path;
  std::string body;
};

struct Experiment
{
  LoadShape shape;
  // One run per rate, in requests per second.
  std::vector<double> rates;
  std::vector<Event> events;
};

struct RunResult
{
  double perSecond = 0.0;
  LoadFigures figures;
};

auto
ReadTargets(YamlMap& aRoot, std::vector<HostPort>& aTargets) -> void
{
  for (const auto& text : aRoot.Strings("targets")) {
    const auto target = ParseHostPort(text);
    if (!target) {
      aRoot.ReportError("targets", "must be a list of host:port");
      return;
    }
    aTargets.push_back(*target);
  }
  if (aTargets.empty()) {
    aRoot.ReportError("targets", "names no host:port");
  }
}

auto
ReadRates(YamlMap& aRoot, std::vector<double>& aRates) -> void
{
  for (const auto& text : aRoot.Strings("rates")) {
    char* end = nullptr;
    const auto rate = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !(rate > 0.0 && rate <= kMostPerSecond)) {
      aRoot.ReportError("rates",
                        "must be requests per second, over 0 to 100000");
      return;
    }
    aRates.push_back(rate);
  }
  if (aRates.empty()) {
    aRoot.ReportError("rates", "names no rate");
  }
}

auto
ReadEvents(YamlMap& aRoot, std::vector<Event>& aEvents) -> void
{
  for (auto& map : aRoot.Maps("events")) {
    auto event = Event{};
    event.at = map.Duration("at", Millis{ 0 }, Millis{ 0 }, kMostDuration);
    const auto target = ParseHostPort(map.String("target", ""));
    if (!target) {
      map.ReportError("target", "must be host:port");
    }
    event.target = target.value_or(HostPort{});
    event.path = map.String("path", "/fault");
    event.body = map.String("body", "{}");
    map.ReportUnknownKeys();
    aEvents.push_back(std::move(event));
  }
}

auto
ParseExperiment(const std::string& aSource,
                const std::string& aText,
                std::vector<YamlError>& aErrors) -> Experiment
{
  auto experiment = Experiment{};
  const auto node = ParseYaml(aSource, aText, {}, aErrors);
  if (!node) {
    return experiment;
  }
  auto root = YamlMap{ aSource, *node, aErrors };
  auto& shape = experiment.shape;
  ReadTargets(root, shape.targets);
  ReadRates(root, experiment.rates);
  ReadEvents(root, experiment.events);
  shape.service = root.String("service", "");
  shape.path = root.String("path", shape.path);
  shape.duration =
    root.Duration("duration", shape.duration, Millis{ 100 }, kMostDuration);
  shape.callers =
    static_cast<int>(root.Integer("callers", shape.callers, 1, kMostCallers));
  shape.markedPercent =
    static_cast<int>(root.Integer("marked_percent", 0, 0, 100));
  shape.bodyBytes =
    static_cast<std::size_t>(root.Integer("body_bytes", 0, 0, kMostBodyBytes));
  shape.deadline =
    root.Duration("deadline", Millis{ 0 }, Millis{ 0 }, kMostDuration);
  shape.seed =
    static_cast<std::uint64_t>(root.Integer("seed", 1, 0, 1LL << 40));
  root.ReportUnknownKeys();
  return experiment;
}

// Sends the events at their times, on a thread of its own.
auto
Play(const std::vector<Event>& aEvents) -> std::jthread
{
  return std::jthread([&aEvents](const std::stop_token& aStop) {
    const auto start = std::chrono::steady_clock::now();
    for (const auto& event : aEvents) {
      std::this_thread::sleep_until(start + event.at);
      if (aStop.stop_requested()) {
        return;
      }
      auto client = httplib::Client{ event.target.host, event.target.port };
      if (!client.Post(event.path, event.body, "application/json")) {
        std::cerr << "gooseberryctl: bench: nothing answers at "
                  << event.target.host << ":" << event.target.port << "\n";
      }
    }
  });
}

auto
ToJson(const RunResult& aRun) -> nlohmann::json
{
  const auto& figures = aRun.figures;
  auto json = nlohmann::json{ { "per_second", aRun.perSecond },
                              { "goodput", figures.Goodput() },
                              { "p50_us", figures.Quantile(0.5).count() },
                              { "p90_us", figures.Quantile(0.9).count() },
                              { "p99_us", figures.Quantile(0.99).count() },
                              { "p999_us", figures.Quantile(0.999).count() } };
  for (auto index = 0; index < static_cast<int>(LoadAnswer::LoadAnswer_NB);
       ++index) {
    const auto answer = static_cast<LoadAnswer>(index);
    json[ToText(answer)] = figures.Count(answer);
  }
  return json;
}

auto
PrintTable(const std::vector<RunResult>& aRuns) -> void
{
  std::printf("%9s %9s %9s %9s %9s %9s %9s %9s %9s\n",
              "per s",
              "goodput",
              "p50 ms",
              "p90 ms",
              "p99 ms",
              "p99.9 ms",
              "not run",
              "may have",
              "no answer");
  const auto millis = [](Micros aValue) {
    return std::chrono::duration<double, std::milli>(aValue).count();
  };
  for (const auto& run : aRuns) {
    const auto& figures = run.figures;
    std::printf("%9.0f %9.1f %9.2f %9.2f %9.2f %9.2f %9zu %9zu %9zu\n",
                run.perSecond,
                figures.Goodput(),
                millis(figures.Quantile(0.5)),
                millis(figures.Quantile(0.9)),
                millis(figures.Quantile(0.99)),
                millis(figures.Quantile(0.999)),
                figures.Count(LoadAnswer::NotRun),
                figures.Count(LoadAnswer::MayHaveRun),
                figures.Count(LoadAnswer::NoAnswer));
  }
}

} // namespace

auto
RunRequestBench(const std::vector<std::string>& aWords) -> int
{
  auto options = BenchOptions{};
  if (!options.Read(aWords, { "experiment", "output" })) {
    return kBenchUsage;
  }
  const auto path = options.Text("experiment", "");
  const auto output = options.Text("output", "table");
  const auto text = ReadFile(path);
  if (!text || (output != "table" && output != "json")) {
    std::cerr << "gooseberryctl: bench: "
              << (text ? "--output must be table or json"
                       : "cannot read the experiment '" + path + "'")
              << "\n";
    return kBenchUsage;
  }
  auto errors = std::vector<YamlError>{};
  auto experiment = ParseExperiment(path, *text, errors);
  for (const auto& error : errors) {
    std::cerr << error.ToString() << "\n";
  }
  if (!errors.empty()) {
    return kBenchUsage;
  }
  auto runs = std::vector<RunResult>{};
  for (const auto rate : experiment.rates) {
    experiment.shape.perSecond = rate;
    const auto events = Play(experiment.events);
    runs.push_back({ rate, RunLoad(experiment.shape) });
  }
  if (output == "table") {
    PrintTable(runs);
  } else {
    auto json = nlohmann::json::array();
    for (const auto& run : runs) {
      json.push_back(ToJson(run));
    }
    std::cout << json.dump(2) << "\n";
  }
  auto unanswered = std::size_t{ 0 };
  for (const auto& run : runs) {
    unanswered += run.figures.Count(LoadAnswer::NoAnswer);
  }
  return unanswered == 0 ? 0 : 1;
}

} // namespace gooseberry
