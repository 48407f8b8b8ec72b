#ifndef GOOSEBERRY_METRICS_H
#define GOOSEBERRY_METRICS_H

// Prometheus metrics of one instance. The metrics of the request path are
// looked up once per service, so that a request only updates them.

#include <array>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "bytebudget.h"
#include "connectionend.h"
#include "peerlink.h"
#include "shard.h"
#include "tableservice.h"
#include "verdict.h"

namespace gooseberry {

// Metrics of one service. The registry owns them; the pointers stay valid as
// long as the Metrics object.
struct ServiceMetrics
{
  prometheus::Counter* requests = nullptr;
  prometheus::Histogram* requestSeconds = nullptr;
  prometheus::Gauge* waitingRequests = nullptr;
  std::array<prometheus::Counter*, static_cast<int>(Refusal::Refusal_NB)>
    refusals{};
  std::array<prometheus::Counter*,
             static_cast<int>(RetryReason::RetryReason_NB)>
    retries{};

  auto Count(Refusal aRefusal) const -> void;
  auto Count(RetryReason aReason) const -> void;
};

// Calls to the platform's services, by purpose.
enum class StoreCall
{
  Membership,
  Document,
  Instances,
  Takeover,
  Load,
  Append,
  Inbox,
  Snapshot,
  Claim,
  StoreCall_NB
};

class Metrics
{
public:
  Metrics();

  auto ForService(const ServiceId& aService) -> ServiceMetrics;
  auto CountStoreCall(StoreCall aCall, bool aSucceeded) -> void;
  auto CountWorkerSync(bool aSucceeded) -> void;
  auto CountAdminRefusal(const char* aReason) -> void;
  // Counts a connection that a port closed because of a limit. aPort is the
  // name of the port in the settings.
  auto CountConnectionEnd(const char* aPort, ConnectionEnd aEnd) -> void;
  // The bytes that are held are shown from now on.
  auto ShowBodyBudget(std::shared_ptr<const ByteBudget> aBudget) -> void;
  // Adds the increase of each event count of a shard; aBefore are the counts at
  // the previous call.
  auto AddShardEventCounts(const ShardEventCounts& aBefore,
                           const ShardEventCounts& aAfter) -> void;
  auto CountPeerEvent(PeerEvent aEvent) -> void;
  auto SetOwnedShards(std::size_t aCount) -> void;
  auto SetTaskCount(TaskPhase aPhase, std::size_t aCount) -> void;
  auto SetDocumentNumber(std::uint64_t aNumber) -> void;
  auto SetLiveMembers(std::size_t aCount) -> void;
  // All metrics in the Prometheus text format.
  auto ToPrometheusText() -> std::string;

private:
  std::shared_ptr<prometheus::Registry> registry;
  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Histogram>& requestSeconds;
  prometheus::Family<prometheus::Gauge>& waitingRequests;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Counter>& retries;
  prometheus::Family<prometheus::Counter>& storeCalls;
  prometheus::Family<prometheus::Counter>& workerSyncs;
  prometheus::Family<prometheus::Counter>& adminRefusals;
  prometheus::Family<prometheus::Counter>& connectionEnds;
  prometheus::Family<prometheus::Counter>& peerEvents;
  prometheus::Family<prometheus::Counter>& shardEvents;
  prometheus::Family<prometheus::Gauge>& stateGauges;
  prometheus::Family<prometheus::Gauge>& tasks;
  prometheus::Gauge& cpuSeconds;
  prometheus::Gauge& residentBytes;
  prometheus::Gauge& bodyBytes;
  std::shared_ptr<const ByteBudget> bodyBudget;
};

} // namespace gooseberry

#endif
