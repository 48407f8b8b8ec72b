// Measures what control costs one instance: processor time, memory and bytes
// towards the store and the workers, at several numbers of workers and tasks.

#include <cstdio>
#include <cstdlib>
#include <thread>

#include "fleet.h"

namespace {

using namespace gooseberry::test;

constexpr std::chrono::seconds kSettle{ 12 };
constexpr std::chrono::seconds kMeasure{ 15 };
constexpr int kTasksPerWorker = 14;

constexpr const char* kSite = "domains: [{name: north}]\n";
constexpr const char* kTeam = R"(batch:
  - {name: steady, cpu_millis: 100, memory_mb: 100, run_time: 1h}
)";

auto
Metric(const std::string& aText, const std::string& aName) -> double
{
  const auto at = aText.find("\n" + aName);
  return at == std::string::npos
           ? 0.0
           : std::atof(aText.c_str() + aText.find(' ', at + aName.size()));
}

struct Reading
{
  double cpuSeconds = 0.0;
  double residentBytes = 0.0;
  double storeBytes = 0.0;
  double workerBytes = 0.0;
  double writes = 0.0;
  double reads = 0.0;
};

auto
Read(Fleet& aFleet) -> Reading
{
  auto reading = Reading{};
  const auto metrics =
    Call("GET", aFleet.AnyInstance().adminPort, "/metrics").body;
  reading.cpuSeconds = Metric(metrics, "gooseberry_process_cpu_seconds");
  reading.residentBytes = Metric(metrics, "gooseberry_process_resident_bytes");
  const auto store = Call("GET", aFleet.platform.port, "/figures").Json();
  reading.storeBytes = store.at("bytes");
  reading.writes = store.at("writes").at("total");
  reading.reads = store.at("reads").at("total");
  for (const auto& [id, worker] : aFleet.workers) {
    reading.workerBytes +=
      Call("GET", worker.port, "/figures").Json().at("bytes").get<double>();
  }
  return reading;
}

auto
MeasureOne(int aWorkers) -> void
{
  auto fleet = Fleet{};
  fleet.StartPlatform();
  for (auto index = 0; index < aWorkers; ++index) {
    auto options = WorkerOptions{};
    options.id = "worker-" + std::to_string(index);
    fleet.AddWorker(options);
  }
  fleet.AddInstance({ "entry-0", "north", false });
  fleet.PutSection("site", kSite);
  fleet.PutSection("team", kTeam);
  fleet.Submit("steady", aWorkers * kTasksPerWorker, "one");
  std::this_thread::sleep_for(kSettle);
  const auto before = Read(fleet);
  std::this_thread::sleep_for(kMeasure);
  const auto after = Read(fleet);
  const auto seconds = static_cast<double>(kMeasure.count());
  std::printf("%7d %6d %8.2f %8.1f %10.1f %11.1f %9.1f %8.1f\n",
              aWorkers,
              aWorkers * kTasksPerWorker,
              100.0 * (after.cpuSeconds - before.cpuSeconds) / seconds,
              after.residentBytes / 1e6,
              (after.storeBytes - before.storeBytes) / seconds / 1e3,
              (after.workerBytes - before.workerBytes) / seconds / 1e3,
              (after.writes - before.writes) / seconds,
              (after.reads - before.reads) / seconds);
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  std::printf("%7s %6s %8s %8s %10s %11s %9s %8s\n",
              "workers",
              "tasks",
              "cpu %",
              "MB",
              "store kB/s",
              "worker kB/s",
              "writes/s",
              "reads/s");
  for (auto index = 1; index < aCount; ++index) {
    MeasureOne(std::atoi(aArguments[index]));
  }
  return 0;
}
