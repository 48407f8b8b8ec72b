// Counts of waiting jobs that are taken from the rows in the store.

#include <criterion/criterion.h>

#include "heldreads.h"
#include "manualloop.h"
#include "pendingcounter.h"
#include "tunables_fleet.h"

using namespace gooseberry;
using namespace gooseberry::fleet;
using namespace gooseberry::fleet::test;

namespace {

using cells::CellRows;
using cells::JobState;

constexpr double kReadsPerSecond = 2000.0 / 6;

struct Site
{
  ManualLoop loop;
  HeldReads store;
  cells::NullDecisionLog log;
  std::shared_ptr<PendingCounter> counter =
    std::make_shared<PendingCounter>(this->loop, this->store, this->log);
  int answers = 0;
  std::optional<PendingCounter::Counts> counts;

  // A job of the cell; with a record in this state, if one is named.
  auto AddJob(std::uint64_t aNumber,
              const std::string& aCell,
              std::optional<JobState> aState,
              std::uint32_t aOccurrences = 0,
              std::int64_t aRecordOf = kAccepted) -> cells::JobId
  {
    auto text = std::to_string(aNumber);
    text.insert(0, cells::JobId::kDigits - text.size(), '0');
    auto row = cells::JobRow{ *cells::JobId::Parse(text), { "q" } };
    row.acceptedUnixMs = kAccepted;
    row.cell = aCell;
    row.spec = { "p", { cells::StepSpec{ 1 } } };
    row.spec.occurrences = aOccurrences;
    this->store.Put(CellRows::Submission(row.id), cells::EncodeJobRow(row));
    if (aState) {
      this->store.Put(
        CellRows{ aCell }.Record(row.id),
        cells::EncodeRecordRows({ *aState, aRecordOf, 0, {} }).front());
    }
    return row.id;
  }

  auto Count(const std::set<std::string>& aCells,
             double aReadsPerSecond = kReadsPerSecond) -> void
  {
    this->counter->Count(
      aCells, aReadsPerSecond, [this](const PendingCounter::Counts* aCounts) {
        ++this->answers;
        this->counts =
          aCounts == nullptr ? std::nullopt : std::optional{ *aCounts };
      });
  }

  static constexpr std::int64_t kAccepted = 1'700'000'000'000;
};

} // namespace

Test(pending_counter, counts_jobs_that_have_not_begun)
{
  auto site = Site{};
  site.AddJob(1, "c0", std::nullopt);
  site.AddJob(2, "c0", JobState::Queued);
  site.AddJob(3, "c0", JobState::Running);
  site.AddJob(4, "c0", JobState::Completed);
  // The record is that of an earlier job with the same id.
  site.AddJob(5, "c0", JobState::Completed, 0, Site::kAccepted - 1);
  // Timed jobs are not counted.
  site.AddJob(6, "c0", std::nullopt, 3);
  const auto cancelled = site.AddJob(7, "c0", std::nullopt);
  site.store.Put(CellRows::Cancellation(cancelled), "c0");
  site.AddJob(8, "c1", std::nullopt);
  site.AddJob(9, "c2", std::nullopt);
  site.Count({ "c0", "c1", "c3" });
  site.store.Answer();
  cr_assert(site.counts.has_value());
  const auto expected = PendingCounter::Counts{ { "c0", { { "q", 3 } } },
                                                { "c1", { { "q", 1 } } },
                                                { "c3", {} } };
  cr_expect(*site.counts == expected);
}

// Guards against: a count from a read that failed.
Test(pending_counter, tells_nothing_if_a_read_fails)
{
  auto site = Site{};
  site.AddJob(1, "c0", std::nullopt);
  site.Count({ "c0" });
  site.store.Answer(cells::TableStatus::Unknown);
  cr_expect_eq(site.answers, 1);
  cr_expect_not(site.counts.has_value());
}

// Guards against: each question reads all rows.
Test(pending_counter, questions_share_a_count)
{
  auto site = Site{};
  site.AddJob(1, "c0", std::nullopt);
  site.Count({ "c0" });
  site.Count({ "c0" });
  site.store.Answer();
  cr_expect_eq(site.answers, 2);
  const auto reads = site.store.reads;
  cr_expect_leq(reads, 18);
  site.loop.Advance(Millis{ 900 });
  site.Count({ "c0" });
  cr_expect_eq(site.answers, 3);
  cr_expect_eq(site.store.reads, reads);
  site.loop.Advance(Millis{ 200 });
  site.Count({ "c0" });
  site.store.Answer();
  cr_expect_eq(site.answers, 4);
  cr_expect_eq(site.store.reads, 2 * reads);
}

// Guards against: a count holds up callers' requests, which use the same
// connections to the store, or takes so long that it is of no use.
Test(pending_counter, reads_little_at_a_time_and_gives_up)
{
  auto site = Site{};
  site.AddJob(1, "c0", std::nullopt);
  site.Count({ "c0" });
  cr_expect_eq(site.store.HeldCount(), kMaxCountReads);
  site.loop.Advance(kMaxCountAge + Millis{ 1 });
  site.store.Answer();
  cr_expect_eq(site.answers, 1);
  cr_expect_not(site.counts.has_value());
  cr_expect_eq(site.store.reads, kMaxCountReads);
}

// Guards against: the instances of a large fleet use up the reads of the store
// that a takeover needs.
Test(pending_counter, leaves_the_store_to_others)
{
  for (const auto instances : { 6, 60, 370 }) {
    auto site = Site{};
    site.AddJob(1, "c0", std::nullopt);
    constexpr int kSeconds = 600;
    for (auto second = 0; second < kSeconds; ++second) {
      site.Count({ "c0" }, 2000.0 / instances);
      site.store.Answer();
      site.loop.Advance(Millis{ 1000 });
    }
    cr_expect_eq(site.answers, kSeconds);
    cr_expect_eq(site.store.reads > 0, instances == 6);
    const auto readsPerSecond =
      static_cast<double>(site.store.reads) * instances / kSeconds;
    cr_expect(readsPerSecond <= 2000.0 * kCountReadsFraction,
              "%d instances: %f reads a second",
              instances,
              readsPerSecond);
  }
}
