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
  if (this->current || now < this->nextCountAt) {
    aDone(nullptr);
    return;
  }
  const auto parts = CellRows::SubmissionParts();
  const auto reading = std::make_shared<Reading>();
  reading->sentAt = now;
  reading->cells = aCells;
  reading->pendingReads = parts.size() + aCells.size();
  // At most as many again for cancellations.
  const auto calls = static_cast<double>(2 * parts.size() + aCells.size());
  this->nextCountAt =
    now + std::max<Micros>(
            kMinCountInterval,
            std::chrono::duration_cast<Micros>(std::chrono::duration<double>(
              calls / (aReadsPerSecond * kCountReadsFraction))));
  this->current = reading;
  this->callbacks.push_back(std::move(aDone));
  for (const auto& part : parts) {
    this->Read(reading,
               { CellRows::kSubmissionTable, part, "", "" },
               reading->submissions,
               &PendingCounter::OnJobsRead);
  }
  for (const auto& cell : aCells) {
    this->Read(reading,
               CellRows{ cell }.RecordRange(),
               reading->records[cell],
               &PendingCounter::OnJobsRead);
  }
}

auto
PendingCounter::Read(
  const std::shared_ptr<Reading>& aReading,
  const cells::RowRange& aRange,
  std::vector<cells::StoredRow>& aTarget,
  void (PendingCounter::*aNext)(const std::shared_ptr<Reading>&)) -> void
{
  ++aReading->calls;
  this->tables.Read(
    aRange,
    kStoreTimeout,
    [weak = this->weak_from_this(), aReading, target = &aTarget, aNext](
      const cells::TableReadResult& aOutcome) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      aReading->failed =
        aReading->failed || aOutcome.status != cells::TableStatus::Done;
      target->insert(target->end(), aOutcome.rows.begin(), aOutcome.rows.end());
      if (--aReading->pendingReads == 0) {
        (*self.*aNext)(aReading);
      }
    });
}

auto
PendingCounter::OnJobsRead(const std::shared_ptr<Reading>& aReading) -> void
{
  auto reason = std::string{};
  auto records = std::map<std::string, cells::JobRecord>{};
  for (const auto& [cell, rows] : aReading->records) {
    for (const auto& row : rows) {
      if (!cells::JobId::Parse(row.key.key)) {
        continue;
      }
      if (auto record = cells::DecodeJobRecord(row.value, reason)) {
        records.emplace(row.key.key, std::move(*record));
      }
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
  if (aReading->failed || cancellationParts.empty()) {
    this->Finish(aReading);
    return;
  }
  aReading->pendingReads = cancellationParts.size();
  for (const auto& part : cancellationParts) {
    this->Read(aReading,
               { CellRows::kCancellationTable, part, "", "" },
               aReading->cancellations,
               &PendingCounter::OnCancellationsRead);
  }
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
