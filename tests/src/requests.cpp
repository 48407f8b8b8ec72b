// Measures the request path on real processes: what an entry adds, tail latency
// by routing policy, goodput under overload, and growth with callers.

#include <array>

#include <csignal>
#include <cstdio>
#include <cstring>
#include <thread>

#include "fleet.h"
#include "requestload.h"

namespace {

using namespace gooseberry;
using namespace gooseberry::test;

constexpr int kBackends = 12;
constexpr int kSlots = 8;
constexpr int kWorkMs = 20;
constexpr int kRandomMs = 20;
// Requests per second that all slots together can serve.
constexpr double kCapacity =
  1000.0 * kBackends * kSlots / (kWorkMs + kRandomMs);
constexpr Millis kRun{ 8000 };
constexpr int kCallers = 400;
constexpr std::chrono::seconds kSettle{ 7 };

constexpr std::array<const char*, 4> kPolicies{ "least_cost",
                                                "two_choices",
                                                "round_robin",
                                                "random" };
constexpr std::array<const char*, 3> kDomains{ "north", "south", "west" };

constexpr const char* kSite =
  "domains: [{name: north}, {name: south}, {name: west}]\n";
constexpr const char* kTeam = R"(services:
  - {name: kiosk, deadline: 2s}
)";

auto
ToMs(Micros aValue) -> double
{
  return std::chrono::duration<double, std::milli>(aValue).count();
}

auto
PrintHead() -> void
{
  std::printf("%-34s %7s %8s %8s %8s %8s %8s %8s %8s\n",
              "case",
              "per s",
              "goodput",
              "p50 ms",
              "p99 ms",
              "p99.9 ms",
              "not run",
              "may have",
              "none");
}

auto
Print(const std::string& aName,
      const LoadShape& aShape,
      const LoadFigures& aRun) -> void
{
  std::printf("%-34s %7.0f %8.1f %8.2f %8.2f %8.2f %8zu %8zu %8zu\n",
              aName.c_str(),
              aShape.perSecond,
              aRun.Goodput(),
              ToMs(aRun.Quantile(0.5)),
              ToMs(aRun.Quantile(0.99)),
              ToMs(aRun.Quantile(0.999)),
              aRun.Count(LoadAnswer::NotRun),
              aRun.Count(LoadAnswer::MayHaveRun),
              aRun.Count(LoadAnswer::NoAnswer));
  std::fflush(stdout);
}

// Backend servers in three failure domains, without instances.
auto
StartBackends(Fleet& aFleet, int aCount, int aWorkMs, int aRandomMs) -> void
{
  aFleet.StartPlatform();
  aFleet.StopRecording();
  for (auto index = 0; index < aCount; ++index) {
    auto options = BackendOptions{};
    options.id = "backend-" + std::to_string(index);
    options.domain =
      kDomains[static_cast<std::size_t>(index) % kDomains.size()];
    options.workMs = aWorkMs;
    options.randomMs = aRandomMs;
    aFleet.AddBackend(options);
  }
}

auto
StartInstances(Fleet& aFleet, int aCount, const char* aPolicy) -> void
{
  for (auto index = 0; index < aCount; ++index) {
    auto options = InstanceOptions{};
    options.id = std::string{ aPolicy } + "-" + std::to_string(index);
    options.domain =
      kDomains[static_cast<std::size_t>(index) % kDomains.size()];
    options.settings = "routing: " + std::string{ aPolicy } + "\n";
    aFleet.AddInstance(options);
  }
  aFleet.PutSection("site", kSite);
  aFleet.PutSection("team", kTeam);
  std::this_thread::sleep_for(kSettle);
}

auto
StopInstances(Fleet& aFleet) -> void
{
  for (auto& [id, node] : aFleet.instances) {
    node.process->Signal(SIGTERM);
  }
  for (auto& [id, node] : aFleet.instances) {
    node.process->Wait();
  }
  aFleet.instances.clear();
}

auto
ShapeFor(const Fleet& aFleet, double aPerSecond) -> LoadShape
{
  auto shape = LoadShape{};
  for (const auto& [id, node] : aFleet.instances) {
    shape.targets.push_back({ "127.0.0.1", node.port });
  }
  shape.service = "kiosk";
  shape.perSecond = aPerSecond;
  shape.duration = kRun;
  shape.callers = kCallers;
  return shape;
}

// The same load straight to one backend server and through one entry.
auto
MeasureAdded(const std::string& /*aOnly*/) -> void
{
  auto fleet = Fleet{};
  StartBackends(fleet, 1, 5, 0);
  StartInstances(fleet, 1, "least_cost");
  PrintHead();
  for (auto round = 0; round < 2; ++round) {
    auto shape = ShapeFor(fleet, 800.0);
    const auto through = shape.targets;
    shape.callers = 32;
    shape.targets = { { "127.0.0.1", fleet.backends.begin()->second.port } };
    Print("direct", shape, RunLoad(shape));
    shape.targets = through;
    Print("through one entry", shape, RunLoad(shape));
  }
}

auto
MeasurePolicies(const std::string& aOnly) -> void
{
  constexpr int kInstances = 3;
  constexpr std::array<double, 4> kLoads{ 0.5, 0.8, 0.95, 1.2 };
  constexpr double kSlowLoad = 0.8;
  PrintHead();
  for (const auto* policy : kPolicies) {
    if (!aOnly.empty() && aOnly != policy) {
      continue;
    }
    auto fleet = Fleet{};
    StartBackends(fleet, kBackends, kWorkMs, kRandomMs);
    StartInstances(fleet, kInstances, policy);
    for (const auto load : kLoads) {
      const auto shape = ShapeFor(fleet, load * kCapacity);
      const auto name = std::string{ policy } + " load " +
                        std::to_string(static_cast<int>(100 * load)) + "%";
      Print(name, shape, RunLoad(shape));
    }
    auto& slow = fleet.backends.at("backend-3");
    Call("POST", slow.port, "/mode", R"({"work_ms": 100, "random_ms": 100})");
    const auto shape = ShapeFor(fleet, kSlowLoad * kCapacity);
    Print(std::string{ policy } + " load 80%, one five times slower",
          shape,
          RunLoad(shape));
    Call("POST", slow.port, "/mode", R"({"work_ms": 20, "random_ms": 20})");
    auto watch = std::jthread([&] {
      std::this_thread::sleep_for(kRun / 4);
      fleet.SetDomain("south", "out");
      std::this_thread::sleep_for(kRun / 4);
      fleet.SetDomain("south", "in");
    });
    const auto half = ShapeFor(fleet, kCapacity / 2);
    Print(std::string{ policy } + " load 50%, a domain out and back",
          half,
          RunLoad(half));
    watch.join();
    StopInstances(fleet);
  }
}

auto
MeasureOverload(const std::string& /*aOnly*/) -> void
{
  auto fleet = Fleet{};
  StartBackends(fleet, kBackends / 2, kWorkMs, kRandomMs);
  StartInstances(fleet, 3, "least_cost");
  PrintHead();
  for (const auto load : { 0.8, 1.0, 1.2, 2.0, 4.0 }) {
    auto shape = ShapeFor(fleet, load * kCapacity / 2);
    shape.deadline = Millis{ 500 };
    shape.callers = kCallers * 2;
    Print("load " + std::to_string(static_cast<int>(100 * load)) +
            "%, deadline 500 ms",
          shape,
          RunLoad(shape));
  }
}

auto
MeasureCallers(const std::string& /*aOnly*/) -> void
{
  auto fleet = Fleet{};
  StartBackends(fleet, kBackends, 2, 0);
  StartInstances(fleet, 1, "least_cost");
  PrintHead();
  for (const auto callers : { 10, 100, 1000 }) {
    auto shape = ShapeFor(fleet, 1000.0);
    shape.callers = callers;
    Print(std::to_string(callers) + " callers", shape, RunLoad(shape));
  }
  for (const auto rate : { 2000.0, 4000.0, 8000.0 }) {
    auto shape = ShapeFor(fleet, rate);
    shape.callers = 100;
    Print("100 callers", shape, RunLoad(shape));
  }
}

struct Part
{
  const char* name;
  // The second word of the command line, if any, narrows the part.
  void (*run)(const std::string&);
};

constexpr std::array<Part, 4> kParts{ { { "added", MeasureAdded },
                                        { "policies", MeasurePolicies },
                                        { "overload", MeasureOverload },
                                        { "callers", MeasureCallers } } };

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  for (const auto& part : kParts) {
    if (aCount < 2 || std::strcmp(aArguments[1], part.name) == 0) {
      part.run(aCount > 2 ? aArguments[2] : "");
    }
  }
  return 0;
}
