// What an instance makes of the loads that owners of cells write.

#include <criterion/criterion.h>

#include "fleetview.h"
#include "heldreads.h"
#include "manualloop.h"

using namespace gooseberry;
using namespace gooseberry::fleet;
using namespace gooseberry::fleet::test;

namespace {

struct Viewer
{
  ManualLoop loop;
  HeldReads store;
  cells::NullDecisionLog log;
  std::shared_ptr<FleetView> view =
    std::make_shared<FleetView>(FleetSettings{}, loop, store, log);

  Viewer()
  {
    this->store.clockMs = kStoreMs;
    this->view->Start([] { return std::map<std::string, cells::CellLoad>{}; },
                      [] {});
    this->store.Answer();
  }

  // Reads the load of a cell, measured so long before.
  auto ReadLoad(Millis aAge, std::uint64_t aToken = 1) -> void
  {
    auto load = cells::CellLoad{ aToken };
    load.storeClockMs = kStoreMs - aAge.count();
    this->store.Put({ "fleet", "", "load/c0" }, cells::EncodeCellLoad(load));
    this->view->ReadNow([] {});
    this->store.Answer();
  }

  static constexpr std::int64_t kStoreMs = 1'000'000;
};

} // namespace

Test(fleet_view, tells_how_old_a_load_is)
{
  auto viewer = Viewer{};
  const auto readAt = viewer.loop.Now();
  viewer.ReadLoad(Millis{ 800 });
  const auto since = [&](Millis aAge) {
    return viewer.view->LoadSince("c0", readAt - aAge) != nullptr;
  };
  cr_expect(since(Millis{ 800 }));
  cr_expect_not(since(Millis{ 799 }));
}

// Guards against: jobs are spread by the room that a cell had before its owner
// was lost.
Test(fleet_view, a_load_that_is_old_counts_as_unknown)
{
  auto viewer = Viewer{};
  viewer.ReadLoad(Millis{ 2900 });
  cr_expect(viewer.view->Loads().at("c0").isKnown);
  viewer.ReadLoad(Millis{ 3100 });
  cr_expect_not(viewer.view->Loads().at("c0").isKnown);
}

// Guards against: an owner that was replaced, and does not know it yet, writes
// over the load of its successor.
Test(fleet_view, the_load_of_an_earlier_owner_is_ignored)
{
  auto viewer = Viewer{};
  viewer.ReadLoad(Millis{ 100 }, 7);
  viewer.ReadLoad(Millis{ 0 }, 6);
  cr_expect_eq(viewer.view->Loads().at("c0").fencingToken, 7);
  viewer.ReadLoad(Millis{ 0 }, 8);
  cr_expect_eq(viewer.view->Loads().at("c0").fencingToken, 8);
}
