#include "metrics.h"

#include <fstream>
#include <iterator>

#include <sys/resource.h>
#include <unistd.h>

#include <prometheus/text_serializer.h>

namespace gooseberry {

namespace {

constexpr std::array<const char*, static_cast<int>(StoreCall::StoreCall_NB)>
  kStoreCallNames{ "membership", "document", "instances", "takeover", "load",
                   "append",     "inbox",    "snapshot",  "claim" };

constexpr double kMicrosPerSecond = 1e6;

// Upper bounds of the histogram buckets, in seconds.
auto
LatencyBuckets() -> prometheus::Histogram::BucketBoundaries
{
  return { 0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015,
           0.02,   0.03,  0.05,  0.075, 0.1,   0.15,   0.2,  0.3,
           0.5,    0.75,  1.0,   2.0,   5.0,   10.0,   30.0 };
}

// User and system CPU time of this process, in seconds.
auto
CpuSeconds() -> double
{
  auto usage = rusage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / kMicrosPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Resident set size of this process, in bytes.
auto
ResidentBytes() -> double
{
  auto file = std::ifstream{ "/proc/self/statm" };
  auto total = 0L;
  auto resident = 0L;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

template<class Builder>
auto
MakeFamily(Builder aBuilder,
           const std::shared_ptr<prometheus::Registry>& aRegistry,
           const char* aName,
           const char* aHelp) -> decltype(aBuilder.Register(*aRegistry))
{
  return aBuilder.Name(aName).Help(aHelp).Register(*aRegistry);
}

} // namespace

auto
ServiceMetrics::Count(Refusal aRefusal) const -> void
{
  this->refusals[static_cast<std::size_t>(aRefusal)]->Increment();
}

auto
ServiceMetrics::Count(RetryReason aReason) const -> void
{
  this->retries[static_cast<std::size_t>(aReason)]->Increment();
}

Metrics::Metrics()
  : registry(std::make_shared<prometheus::Registry>())
  , requests(MakeFamily(prometheus::BuildCounter(),
                        registry,
                        "gooseberry_requests_total",
                        "Requests of callers"))
  , requestSeconds(
      MakeFamily(prometheus::BuildHistogram(),
                 registry,
                 "gooseberry_request_seconds",
                 "Time from a request's arrival to the end of its answer"))
  , waitingRequests(
      MakeFamily(prometheus::BuildGauge(),
                 registry,
                 "gooseberry_waiting_requests",
                 "Requests that wait for a place at a backend server"))
  , refusals(MakeFamily(prometheus::BuildCounter(),
                        registry,
                        "gooseberry_refusals_total",
                        "Requests refused or given up, by reason"))
  , retries(MakeFamily(prometheus::BuildCounter(),
                       registry,
                       "gooseberry_retries_total",
                       "Attempts that led to a retry, by reason"))
  , storeCalls(MakeFamily(prometheus::BuildCounter(),
                          registry,
                          "gooseberry_store_calls_total",
                          "Calls to the platform's services"))
  , workerSyncs(MakeFamily(prometheus::BuildCounter(),
                           registry,
                           "gooseberry_worker_syncs_total",
                           "Exchanges with workers"))
  , adminRefusals(MakeFamily(prometheus::BuildCounter(),
                             registry,
                             "gooseberry_admin_refusals_total",
                             "Refused calls of the administration API"))
  , connectionEnds(MakeFamily(prometheus::BuildCounter(),
                              registry,
                              "gooseberry_connections_closed_total",
                              "Connections closed because of a limit"))
  , peerEvents(MakeFamily(prometheus::BuildCounter(),
                          registry,
                          "gooseberry_peer_hints_total",
                          "Hints exchanged with other instances"))
  , shardEvents(MakeFamily(prometheus::BuildCounter(),
                           registry,
                           "gooseberry_shard_events_total",
                           "Events of the shards of this instance"))
  , stateGauges(MakeFamily(prometheus::BuildGauge(),
                           registry,
                           "gooseberry_state",
                           "Shards owned, document in force, members seen"))
  , tasks(MakeFamily(prometheus::BuildGauge(),
                     registry,
                     "gooseberry_tasks",
                     "Tasks of the shards of this instance, by phase"))
  , cpuSeconds(MakeFamily(prometheus::BuildGauge(),
                          registry,
                          "gooseberry_process_cpu_seconds",
                          "Processor time of this process")
                 .Add({}))
  , residentBytes(MakeFamily(prometheus::BuildGauge(),
                             registry,
                             "gooseberry_process_resident_bytes",
                             "Resident memory of this process")
                    .Add({}))
  , bodyBytes(MakeFamily(prometheus::BuildGauge(),
                         registry,
                         "gooseberry_body_bytes_held",
                         "Memory of the bodies of callers' requests and "
                         "responses")
                .Add({}))
{
  for (const auto* port : { "callers", "admin" }) {
    for (const auto* reason : kConnectionEndNames) {
      this->connectionEnds.Add({ { "port", port }, { "reason", reason } });
    }
  }
}

auto
Metrics::ForService(const ServiceId& aService) -> ServiceMetrics
{
  auto metrics = ServiceMetrics{};
  const auto& name = aService.text;
  metrics.requests = &this->requests.Add({ { "service", name } });
  metrics.requestSeconds =
    &this->requestSeconds.Add({ { "service", name } }, LatencyBuckets());
  metrics.waitingRequests = &this->waitingRequests.Add({ { "service", name } });
  for (auto index = std::size_t{ 0 }; index < metrics.refusals.size();
       ++index) {
    const auto* reason = ToText(static_cast<Refusal>(index));
    metrics.refusals[index] =
      &this->refusals.Add({ { "service", name }, { "reason", reason } });
  }
  for (auto index = std::size_t{ 0 }; index < metrics.retries.size(); ++index) {
    const auto* reason = ToText(static_cast<RetryReason>(index));
    metrics.retries[index] =
      &this->retries.Add({ { "service", name }, { "reason", reason } });
  }
  return metrics;
}

auto
Metrics::CountStoreCall(StoreCall aCall, bool aSucceeded) -> void
{
  this->storeCalls
    .Add({ { "call", kStoreCallNames[static_cast<std::size_t>(aCall)] },
           { "result", aSucceeded ? "ok" : "failed" } })
    .Increment();
}

auto
Metrics::CountWorkerSync(bool aSucceeded) -> void
{
  this->workerSyncs.Add({ { "result", aSucceeded ? "ok" : "failed" } })
    .Increment();
}

auto
Metrics::CountPeerEvent(PeerEvent aEvent) -> void
{
  this->peerEvents.Add({ { "event", ToText(aEvent) } }).Increment();
}

auto
Metrics::CountAdminRefusal(const char* aReason) -> void
{
  this->adminRefusals.Add({ { "reason", aReason } }).Increment();
}

auto
Metrics::CountConnectionEnd(const char* aPort, ConnectionEnd aEnd) -> void
{
  this->connectionEnds.Add({ { "port", aPort }, { "reason", ToText(aEnd) } })
    .Increment();
}

auto
Metrics::ShowBodyBudget(std::shared_ptr<const ByteBudget> aBudget) -> void
{
  this->bodyBudget = std::move(aBudget);
}

auto
Metrics::AddShardEventCounts(const ShardEventCounts& aBefore,
                             const ShardEventCounts& aAfter) -> void
{
  for (auto index = std::size_t{ 0 }; index < aAfter.size(); ++index) {
    const auto increase = aAfter[index] - aBefore[index];
    if (increase > 0) {
      this->shardEvents
        .Add({ { "event", ToText(static_cast<ShardEvent>(index)) } })
        .Increment(static_cast<double>(increase));
    }
  }
}

auto
Metrics::SetOwnedShards(std::size_t aCount) -> void
{
  this->stateGauges.Add({ { "what", "shards_owned" } })
    .Set(static_cast<double>(aCount));
}

auto
Metrics::SetTaskCount(TaskPhase aPhase, std::size_t aCount) -> void
{
  this->tasks.Add({ { "phase", ToText(aPhase) } })
    .Set(static_cast<double>(aCount));
}

auto
Metrics::SetDocumentNumber(std::uint64_t aNumber) -> void
{
  this->stateGauges.Add({ { "what", "document_in_force" } })
    .Set(static_cast<double>(aNumber));
}

auto
Metrics::SetLiveMembers(std::size_t aCount) -> void
{
  this->stateGauges.Add({ { "what", "live_members" } })
    .Set(static_cast<double>(aCount));
}

auto
Metrics::ToPrometheusText() -> std::string
{
  this->cpuSeconds.Set(CpuSeconds());
  this->residentBytes.Set(ResidentBytes());
  if (this->bodyBudget) {
    this->bodyBytes.Set(static_cast<double>(this->bodyBudget->HeldBytes()));
  }
  return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

} // namespace gooseberry
