// How racks are dealt to cells, who owns them, and where new jobs go.

#include <algorithm>

#include <criterion/criterion.h>

#include "layout.h"
#include "members.h"
#include "tunables_cells.h"

using namespace gooseberry;
using namespace gooseberry::cells;

namespace {

// Racks of some workers each, in turn in three domains.
auto
Site(int aRacks, int aWorkers) -> WorkerTable
{
  auto table = WorkerTable{};
  for (auto rack = 0; rack < aRacks; ++rack) {
    for (auto worker = 0; worker < aWorkers; ++worker) {
      auto entry = WorkerEntry{};
      entry.id = { "w" + std::to_string(rack) + "-" + std::to_string(worker) };
      entry.domain = { "zone-" + std::to_string(rack % 3) };
      entry.labels = { "a", "rack-" + std::to_string(rack) };
      table.emplace(entry.id, entry);
    }
  }
  return table;
}

auto
NewJob(const std::string& aId) -> JobRow
{
  auto row = JobRow{ *JobId::Parse(aId) };
  row.policy.service = { "pool" };
  row.spec.steps = { StepSpec{ 1 } };
  return row;
}

auto
Load(std::int64_t aRoom, std::int64_t aBacklog) -> CellLoad
{
  auto load = CellLoad{};
  load.capacity["pool"] = 1000;
  load.labels = { "a" };
  load.room = aRoom;
  load.backlog = aBacklog;
  return load;
}

auto
Member(const std::string& aName, double aShare) -> MemberRow
{
  return { aName, "10.0.0.1", aShare };
}

} // namespace

Test(layout, a_small_site_is_one_cell)
{
  const auto layout = PlanLayout({}, Site(6, 8), kCellWorkers);
  cr_expect_eq(layout.cells.size(), 1);
  cr_expect_eq(layout.racks.size(), 6);
}

// Pattern: a failure domain is emptied. Each cell keeps room, since none has
// all of its racks there.
Test(layout, cells_are_equal_and_mix_failure_domains)
{
  const auto site = Site(18, 20);
  const auto layout = PlanLayout({}, site, 60);
  cr_assert_eq(layout.cells.size(), 6);
  auto workers = std::map<std::string, int>{};
  auto domains = std::map<std::string, std::set<std::string>>{};
  for (const auto& [id, worker] : site) {
    const auto cell = layout.CellOf(worker);
    cr_assert(cell.has_value());
    ++workers[*cell];
    domains[*cell].insert(worker.domain.text);
  }
  for (const auto& [cell, count] : workers) {
    cr_expect_eq(count, 60);
    cr_expect_eq(domains[cell].size(), 3, "%s", cell.c_str());
  }
}

Test(layout, what_is_dealt_stays_and_new_racks_find_a_cell)
{
  const auto before = PlanLayout({}, Site(6, 20), 60);
  cr_assert_eq(before.cells.size(), 2);
  const auto after = PlanLayout(before, Site(12, 20), 60);
  for (const auto& [rack, cell] : before.racks) {
    cr_expect_eq(after.racks.at(rack), cell);
  }
  cr_expect_eq(after.racks.size(), 12);
  cr_expect_eq(after.cells.size(), 3);
  auto reason = std::string{};
  cr_expect(DecodeLayout(EncodeLayout(after), reason) == after);
  cr_expect_not(DecodeLayout("[", reason).has_value());
}

// Pattern: many jobs at once while one cell is full.
Test(layout, new_jobs_avoid_a_crowded_cell)
{
  const auto layout = Layout{ { "c0", "c1" }, {} };
  const auto loads =
    std::map<std::string, CellLoad>{ { "c0", Load(0, 500000) },
                                     { "c1", Load(900, 1000) } };
  auto crowded = 0;
  for (auto number = 0; number < 64; ++number) {
    auto text = std::to_string(number);
    text.insert(0, JobId::kDigits - text.size(), '0');
    auto job = NewJob(text);
    crowded += ChooseCell(layout, loads, job) == "c0" ? 1 : 0;
    // What lasts looks at the room.
    job.spec.steps[0].lasting = true;
    crowded += ChooseCell(layout, loads, job) == "c0" ? 1 : 0;
  }
  // Only where both draws are the crowded one.
  cr_expect_lt(crowded, 48);
}

Test(layout, jobs_go_where_their_data_and_their_labels_are)
{
  auto layout = Layout{ { "c0", "c1" }, { { "rack-7", "c1" } } };
  auto loads = std::map<std::string, CellLoad>{ { "c0", Load(900, 0) },
                                                { "c1", Load(0, 9000) } };
  auto job = NewJob("00000000000000ab");
  job.spec.steps[0].dataRack = "rack-7";
  cr_expect_eq(*ChooseCell(layout, loads, job), "c1");
  job.spec.steps[0].dataRack.clear();
  job.spec.steps[0].neededLabel = "big";
  loads["c1"].labels = { "big" };
  cr_expect_eq(*ChooseCell(layout, loads, job), "c1");
  cr_expect_not(ChooseCell({}, {}, job).has_value());
}

// Pattern: a job needs a rack, which is a label of each worker there, while the
// other cell has more room. It went to the roomy cell and waited for ever.
Test(layout, jobs_go_where_the_rack_is_that_they_need)
{
  const auto layout =
    Layout{ { "c0", "c1" }, { { "rack-0", "c0" }, { "rack-7", "c1" } } };
  const auto loads = std::map<std::string, CellLoad>{ { "c0", Load(900, 0) },
                                                      { "c1", Load(0, 9000) } };
  for (auto number = 10; number < 30; ++number) {
    auto job = NewJob("00000000000000" + std::to_string(number));
    job.spec.steps.emplace_back();
    job.spec.steps[1].neededLabel = "rack-7";
    cr_expect_eq(*ChooseCell(layout, loads, job), "c1");
    // Racks of two cells: no cell can run it.
    job.spec.steps[0].neededLabel = "rack-0";
    cr_expect_not(ChooseCell(layout, loads, job).has_value());
    cr_expect_eq(NeededCells(layout, job.spec).size(), 2);
  }
}

Test(members,
     one_that_falls_silent_is_gone_and_a_silent_store_is_not_held_against_any)
{
  auto members = Members{};
  auto now = Time{ std::chrono::seconds{ 100 } };
  auto version = std::uint64_t{ 1 };
  const auto read = [&](bool aBoth) {
    now += kMemberBeat;
    ++version;
    members.OnRead(now,
                   { { Member("a", 1.0), version },
                     { Member("b", 1.0), aBoth ? version : 1 } });
  };
  read(true);
  cr_expect_eq(members.Alive().size(), 2);
  for (auto beat = 0; beat < 2; ++beat) {
    read(false);
  }
  cr_expect_eq(members.Alive().size(), 2);
  for (auto beat = 0; beat < 3; ++beat) {
    read(false);
  }
  cr_expect_eq(members.Alive().size(), 1);
  // Nothing could be read for a minute; then "a" is seen as it was.
  now += std::chrono::minutes{ 1 };
  members.OnRead(now, { { Member("a", 1.0), version } });
  cr_expect_eq(members.Alive().size(), 1);
}

// The two-year size in small: ownership follows processor shares, and the
// loss of an instance moves its cells only.
Test(members, owners_are_drawn_by_share_and_stay)
{
  auto rows = std::vector<std::pair<MemberRow, std::uint64_t>>{};
  for (auto number = 0; number < 40; ++number) {
    rows.emplace_back(
      Member("m" + std::to_string(number), number % 4 == 0 ? 0.5 : 0.1), 1);
  }
  auto members = Members{};
  const auto now = Time{ std::chrono::seconds{ 10 } };
  members.OnRead(now, rows);
  const auto owners = [&] {
    auto found = std::map<std::string, std::string>{};
    for (auto cell = 0; cell < 50; ++cell) {
      const auto name = "c" + std::to_string(cell);
      for (const auto& [row, version] : rows) {
        if (members.RankOf(row.instance, name) == std::size_t{ 0 }) {
          found[name] = row.instance;
        }
      }
    }
    return found;
  };
  const auto before = owners();
  cr_assert_eq(before.size(), 50);
  const auto lost = before.at("c0");
  for (const auto& [cell, owner] : before) {
    cr_expect_eq(std::stoi(owner.substr(1)) % 4, 0);
  }
  std::erase_if(rows,
                [&](const auto& aRow) { return aRow.first.instance == lost; });
  members.OnRead(now, rows);
  for (const auto& [cell, owner] : owners()) {
    cr_expect(before.at(cell) == lost || before.at(cell) == owner);
  }
}

Test(members, only_some_watch_a_cell)
{
  auto rows = std::vector<std::pair<MemberRow, std::uint64_t>>{};
  for (auto number = 0; number < 20; ++number) {
    rows.emplace_back(Member("m" + std::to_string(number), 1.0), 1);
  }
  auto members = Members{};
  members.OnRead(Time{ std::chrono::seconds{ 10 } }, rows);
  const auto watching =
    std::count_if(rows.begin(), rows.end(), [&](const auto& aRow) {
      return members.RankOf(aRow.first.instance, "c0").has_value();
    });
  cr_expect_eq(watching, kCandidates);
}
