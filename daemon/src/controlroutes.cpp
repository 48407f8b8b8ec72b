// Part of ControlPlane that follows the document and the platform's list of
// workers and backend servers, and publishes the routes.

#include <algorithm>

#include "control.h"
#include "httpplatform.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr Millis kInstancesInterval{ 1000 };

} // namespace

// A reply confirms that the document was the newest when the read was sent, not
// when the reply arrived.
auto
Control::PollDocument() -> void
{
  const auto now = this->clock.Now();
  if (this->pollingDocument || now < this->nextDocument) {
    return;
  }
  this->pollingDocument = true;
  this->nextDocument =
    now + (this->peers == nullptr ? kDocumentPollInterval
                                  : kLinkedDocumentPollInterval);
  this->executor.Call(
    [this, known = this->loaded] { return this->documents.Load(known); },
    [this, now](const LoadResult& aResult) {
      this->pollingDocument = false;
      this->metrics.CountStoreCall(StoreCall::Document,
                                   aResult.status != LoadStatus::Failed);
      if (aResult.status == LoadStatus::Failed) {
        return;
      }
      if (aResult.status == LoadStatus::Newer) {
        this->loaded = aResult.loaded;
        this->current.Set(std::make_shared<LoadedDocument>(this->loaded));
        this->metrics.SetDocument(this->loaded.document->number);
        this->nextRenewal = std::min(this->nextRenewal, this->clock.Now());
        LogInfo(
          "document_in_force",
          { { "number", std::to_string(this->loaded.document->number) } });
        this->PublishRoutes();
        this->SpreadDocument();
      }
      this->documentConfirmed = now;
      this->hasDocument = true;
    });
}

auto
Control::PollInstances() -> void
{
  const auto now = this->clock.Now();
  if (this->pollingInstances || now < this->nextInstances) {
    return;
  }
  this->pollingInstances = true;
  this->nextInstances = now + kInstancesInterval;
  this->executor.Call(
    [this] { return this->platform.instances.List(); },
    [this](const InstanceListing& aListing) {
      this->pollingInstances = false;
      this->metrics.CountStoreCall(StoreCall::Instances,
                                   aListing.status == StoreStatus::Ok);
      if (aListing.status != StoreStatus::Ok) {
        return;
      }
      const auto changed = aListing.backends != this->listing.backends;
      this->listing = aListing;
      this->fleet.clear();
      this->capacity.clear();
      for (const auto& worker : this->listing.workers) {
        if (this->shardCount > 0 && !worker.leaving) {
          this->capacity[ShardOf(worker.id.text, this->shardCount)]
                        [worker.domain] += worker.capacity;
        }
        auto& capacities = this->fleet[worker.domain];
        if (std::find(capacities.begin(), capacities.end(), worker.capacity) ==
            capacities.end()) {
          capacities.push_back(worker.capacity);
        }
      }
      for (auto& [number, owned] : this->held) {
        this->GiveWorkers(owned, number);
      }
      if (changed) {
        this->PublishRoutes();
      }
    });
}

// Gives a shard the workers whose ids hash to it.
auto
Control::GiveWorkers(Held& aOwned, ShardNumber aShard) -> void
{
  auto ownWorkers = std::vector<WorkerInfo>{};
  for (const auto& worker : this->listing.workers) {
    if (ShardOf(worker.id.text, this->shardCount) == aShard) {
      ownWorkers.push_back(worker);
    }
  }
  aOwned.shard->OnWorkers(ownWorkers, this->fleet, this->capacity);
}

// A backend server keeps its Backend object, and so its counters, as long as
// its id and address stay the same. Backend servers in a failure domain that is
// out of service get no requests.
auto
Control::PublishRoutes() -> void
{
  if (!this->loaded.document) {
    return;
  }
  const auto now = this->clock.Now();
  const auto& document = *this->loaded.document;
  auto table = std::make_shared<RouteTable>();
  table->documentNumber = document.number;
  auto backendsInUse = std::map<std::string, std::shared_ptr<Backend>>{};
  for (const auto& spec : document.services) {
    auto route = std::make_shared<Route>();
    route->spec = spec;
    route->placesPerBackend =
      PlacesPerBackend({ spec.slots, spec.connections, this->liveEntries });
    for (const auto& info : this->listing.backends) {
      const auto allowed =
        spec.domains.empty() ||
        std::find(spec.domains.begin(), spec.domains.end(), info.domain) !=
          spec.domains.end();
      if (info.service != spec.id || !allowed ||
          !document.IsOpen(info.domain) || !ParseHostPort(info.address)) {
        continue;
      }
      const auto key = info.id + "@" + info.address;
      auto& backend = backendsInUse[key];
      const auto previous = this->backends.find(key);
      if (!backend && previous != this->backends.end()) {
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
  this->backends = std::move(backendsInUse);
  this->routes.Set(std::move(table));
}

} // namespace gooseberry
