#include "pendingcounter.h"

#include <algorithm>

#include "tunables_fleet.h"

namespace gooseberry::fleet {

namespace {

using cells::CellRows;

// Whether the record tells that a task of the job was started. The record of an
// earlier job with the same id says nothing.
auto
HasBegun(const cells::JobRow& aJob, const cells::JobRecord& aRecord) -> bool
{
  return aRecord.state != cells::JobState::Queued &&
         (aRecord.acceptedUnixMs == 0 ||
          aRecord.acceptedUnixMs == aJob.acceptedUnixMs);
}

} // namespace

PendingCounter::PendingCounter(Loop& aLoop,
                               cells::TableClient& aTables,
                               cells::DecisionLog& aLog)
  : loop(aLoop)
  , tables(aTables)
  , log(aLog)
{
}

auto
PendingCounter::Count(const std::set<std::string>& aCells,
                      double aReadsPerSecond,
                      OnCounted aDone) -> void
{
  const auto now = this->loop.Now();
  const auto coversAll = [&aCells](const auto& aKnown) {
    return std::all_of(aCells.begin(), aCells.end(), [&](const auto& aCell) {
      return aKnown.contains(aCell);
    });
  };
  if (now < this->countedAt + kMinCountInterval && coversAll(this->counts)) {
    aDone(&this->counts);
    return;
  }
  if (this->current && coversAll(this->current->cells)) {
    this->callbacks.push_back(std::move(aDone));
    return;
  }
  const auto parts = CellRows::SubmissionParts();
  // At most as many again for cancellations.
  const auto calls = static_cast<double>(2 * parts.size() + aCells.size());
  const auto interval = std::chrono::duration<double>(
    calls / (aReadsPerSecond * kCountReadsFraction));
  if (this->current || now < this->nextCountAt || interval > kMaxCountAge) {
    aDone(nullptr);
    return;
  }
  this->nextCountAt =
    now + std::max<Micros>(kMinCountInterval,
                           std::chrono::duration_cast<Micros>(interval));
  const auto reading = std::make_shared<Reading>();
  reading->sentAt = now;
  reading->cells = aCells;
  for (const auto& part : parts) {
    reading->ranges.emplace_back(
      cells::RowRange{ CellRows::kSubmissionTable, part, "", "" },
      &Reading::submissions);
  }
  for (const auto& cell : aCells) {
    reading->ranges.emplace_back(CellRows{ cell }.RecordRange(),
                                 &Reading::records);
  }
  reading->next = &PendingCounter::OnJobsRead;
  this->current = reading;
  this->callbacks.push_back(std::move(aDone));
  this->ReadMore(reading);
}

auto
PendingCounter::ReadMore(const std::shared_ptr<Reading>& aReading) -> void
{
  if (aReading->failed || this->loop.Now() > aReading->sentAt + kMaxCountAge) {
    aReading->failed = true;
    aReading->ranges.clear();
  }
  if (aReading->ranges.empty() && aReading->pendingReads == 0) {
    (this->*aReading->next)(aReading);
    return;
  }
  while (!aReading->ranges.empty() && aReading->pendingReads < kMaxCountReads) {
    const auto [range, target] = aReading->ranges.front();
    aReading->ranges.pop_front();
    ++aReading->calls;
    ++aReading->pendingReads;
    this->tables.Read(
      range,
      kStoreTimeout,
      [weak = this->weak_from_this(), aReading, rows = target](
        const cells::TableReadResult& aOutcome) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        --aReading->pendingReads;
        if (aOutcome.status != cells::TableStatus::Done) {
          aReading->failed = true;
        }
        auto& all = (*aReading).*rows;
        all.insert(all.end(), aOutcome.rows.begin(), aOutcome.rows.end());
        self->ReadMore(aReading);
      });
  }
}

auto
PendingCounter::OnJobsRead(const std::shared_ptr<Reading>& aReading) -> void
{
  if (aReading->failed) {
    this->Finish(aReading);
    return;
  }
  auto reason = std::string{};
  auto records = std::map<std::string, cells::JobRecord>{};
  for (const auto& row : aReading->records) {
    if (!cells::JobId::Parse(row.key.key)) {
      continue;
    }
    if (auto record = cells::DecodeJobRecord(row.value, reason)) {
      records.emplace(row.key.key, std::move(*record));
    }
  }
  auto cancellationParts = std::set<std::string>{};
  for (const auto& row : aReading->submissions) {
    auto job = cells::DecodeJobRow(row.value, reason);
    if (!job || !aReading->cells.contains(job->cell) || job->spec.IsTimed()) {
      continue;
    }
    const auto record = records.find(row.key.key);
    if (record == records.end() || !HasBegun(*job, record->second)) {
      cancellationParts.insert(CellRows::Cancellation(job->id).partition);
      aReading->waiting.push_back(std::move(*job));
    }
  }
  for (const auto& part : cancellationParts) {
    aReading->ranges.emplace_back(
      cells::RowRange{ CellRows::kCancellationTable, part, "", "" },
      &Reading::cancellations);
  }
  aReading->next = &PendingCounter::OnCancellationsRead;
  this->ReadMore(aReading);
}

auto
PendingCounter::OnCancellationsRead(const std::shared_ptr<Reading>& aReading)
  -> void
{
  auto cancelled = std::set<std::string>{};
  for (const auto& row : aReading->cancellations) {
    cancelled.insert(row.key.key);
  }
  std::erase_if(aReading->waiting, [&](const cells::JobRow& aJob) {
    return cancelled.contains(aJob.id.Text());
  });
  this->Finish(aReading);
}

auto
PendingCounter::Finish(const std::shared_ptr<Reading>& aReading) -> void
{
  this->current.reset();
  if (!aReading->failed) {
    this->countedAt = aReading->sentAt;
    this->counts.clear();
    for (const auto& cell : aReading->cells) {
      this->counts[cell];
    }
    for (const auto& job : aReading->waiting) {
      ++this->counts[job.cell][job.queue.text];
    }
  }
  this->log.Write(
    "pending_counted",
    { { "cells", std::to_string(aReading->cells.size()) },
      { "jobs", std::to_string(aReading->waiting.size()) },
      { "rows", std::to_string(aReading->submissions.size()) },
      { "calls", std::to_string(aReading->calls) },
      { "end", aReading->failed ? "failed" : "done" },
      { "took_ms",
        std::to_string(
          ToMillis(this->loop.Now() - aReading->sentAt).count()) } });
  for (const auto& done : std::exchange(this->callbacks, {})) {
    done(aReading->failed ? nullptr : &this->counts);
  }
}

} // namespace gooseberry::fleet
