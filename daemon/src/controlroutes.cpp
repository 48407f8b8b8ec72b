// Part of ControlPlane that follows the document and the platform's list of
// workers and backend servers, and publishes the routes.

#include <algorithm>

#include "controlplane.h"
#include "httpplatform.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr Millis kInstanceListInterval{ 1000 };

} // namespace

// A reply confirms that the document was the newest when the read was sent, not
// when the reply arrived.
auto
ControlPlane::PollDocument() -> void
{
  const auto now = this->clock.Now();
  if (this->documentReadInFlight || now < this->nextDocumentRead) {
    return;
  }
  this->documentReadInFlight = true;
  this->nextDocumentRead =
    now + (this->hintSender == nullptr ? kDocumentPollInterval
                                       : kDocumentPollIntervalWithPeers);
  this->executor.CallBlocking(
    [this, known = this->loadedDocument] {
      return this->documentStore.LoadNewer(known);
    },
    [this, now](const DocumentLoadResult& aResult) {
      this->documentReadInFlight = false;
      this->metrics.CountStoreCall(
        StoreCall::Document, aResult.status != DocumentLoadStatus::Failed);
      if (aResult.status == DocumentLoadStatus::Failed) {
        return;
      }
      if (aResult.status == DocumentLoadStatus::Newer) {
        this->loadedDocument = aResult.loaded;
        this->publishedDocument.Set(
          std::make_shared<LoadedDocument>(this->loadedDocument));
        this->metrics.SetDocumentNumber(this->loadedDocument.document->number);
        this->nextRenewal = std::min(this->nextRenewal, this->clock.Now());
        LogInfo("document_in_force",
                { { "number",
                    std::to_string(this->loadedDocument.document->number) } });
        this->PublishRoutes();
        this->GossipDocumentNumber();
      }
      this->documentConfirmedAt = now;
      this->hasDocument = true;
    });
}

auto
ControlPlane::PollInstances() -> void
{
  const auto now = this->clock.Now();
  if (this->instanceListInFlight || now < this->nextInstanceList) {
    return;
  }
  this->instanceListInFlight = true;
  this->nextInstanceList = now + kInstanceListInterval;
  this->executor.CallBlocking(
    [this] { return this->platform.instances.List(); },
    [this](const InstanceListResult& aListing) {
      this->instanceListInFlight = false;
      this->metrics.CountStoreCall(StoreCall::Instances,
                                   aListing.status == StoreStatus::Ok);
      if (aListing.status != StoreStatus::Ok) {
        return;
      }
      const auto changed = aListing.backends != this->instanceList.backends;
      this->instanceList = aListing;
      this->fleetCapacities.clear();
      this->shardCapacity.clear();
      for (const auto& worker : this->instanceList.workers) {
        if (this->shardCount > 0 && !worker.leaving) {
          this->shardCapacity[ShardOf(worker.id.text, this->shardCount)]
                             [worker.domain] += worker.capacity;
        }
        auto& capacities = this->fleetCapacities[worker.domain];
        if (std::find(capacities.begin(), capacities.end(), worker.capacity) ==
            capacities.end()) {
          capacities.push_back(worker.capacity);
        }
      }
      for (auto& [number, owned] : this->ownedShards) {
        this->UpdateShardWorkers(owned, number);
      }
      if (changed) {
        this->PublishRoutes();
      }
    });
}

// Gives a shard the workers whose ids hash to it.
auto
ControlPlane::UpdateShardWorkers(OwnedShard& aOwned, ShardNumber aShard) -> void
{
  auto ownWorkers = std::vector<WorkerInfo>{};
  for (const auto& worker : this->instanceList.workers) {
    if (ShardOf(worker.id.text, this->shardCount) == aShard) {
      ownWorkers.push_back(worker);
    }
  }
  aOwned.shard->OnWorkerList(
    ownWorkers, this->fleetCapacities, this->shardCapacity);
}

// A backend server keeps its Backend object, and so its counters, as long as
// its id and address stay the same. Backend servers in a failure domain that is
// out of service get no requests.
auto
ControlPlane::PublishRoutes() -> void
{
  if (!this->loadedDocument.document) {
    return;
  }
  const auto now = this->clock.Now();
  const auto& document = *this->loadedDocument.document;
  auto table = std::make_shared<RouteTable>();
  table->documentNumber = document.number;
  auto backendsInUse = std::map<std::string, std::shared_ptr<Backend>>{};
  for (const auto& spec : document.services) {
    auto route = std::make_shared<Route>();
    route->spec = spec;
    route->maxInFlightPerBackend =
      MaxInFlightPerBackend({ spec.slotsPerBackend,
                              spec.connectionsPerBackend,
                              this->liveMemberCount });
    for (const auto& info : this->instanceList.backends) {
      const auto allowed =
        spec.domains.empty() ||
        std::find(spec.domains.begin(), spec.domains.end(), info.domain) !=
          spec.domains.end();
      if (info.service != spec.id || !allowed ||
          !document.IsInService(info.domain) || !ParseHostPort(info.address)) {
        continue;
      }
      const auto key = info.id + "@" + info.address;
      auto& backend = backendsInUse[key];
      const auto previous = this->backendsByKey.find(key);
      if (!backend && previous != this->backendsByKey.end()) {
        backend = previous->second;
      }
      if (!backend) {
        backend =
          std::make_shared<Backend>(info.id, info.address, info.domain, now);
      }
      backend->SetListedLeaving(info.leaving);
      route->backends.push_back(backend);
    }
    table->routes[spec.id] = std::move(route);
  }
  this->backendsByKey = std::move(backendsInUse);
  this->publishedRoutes.Set(std::move(table));
}

} // namespace gooseberry
