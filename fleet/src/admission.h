#ifndef GOOSEBERRY_ADMISSION_H
#define GOOSEBERRY_ADMISSION_H

// Decides whether a new job is accepted, by the loads that the owners of the
// cells publish. Pure decisions, no I/O. In doubt a job is accepted: where a
// load is unknown or old, an earlier version wrote it, or some cell may run the
// job in time.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cellload.h"

namespace gooseberry::fleet {

enum class AdmissionVerdict
{
  Accept,
  NoWorker,   // no worker can run one of the job's tasks
  Overloaded, // its result would come too late to be of use
  AdmissionVerdict_NB
};

struct AdmissionDecision
{
  AdmissionVerdict verdict = AdmissionVerdict::Accept;
  // Worded for the caller; empty if the job is accepted.
  std::string reason;
  // When the caller may try again.
  std::chrono::seconds retryAfter{ 0 };
  // Expected end of the job and the end of the time in which it is of use, both
  // from its acceptance; for the log.
  Millis expectedEnd{ 0 };
  Millis limit{ 0 };

  auto operator==(const AdmissionDecision&) const -> bool = default;
};

// aLoads: of each cell, null if it is unknown or old.
auto
DecideAdmission(const cells::Layout& aLayout,
                const std::vector<const cells::CellLoad*>& aLoads,
                const cells::JobRow& aJob) -> AdmissionDecision;

// The jobs whose rows this instance has sent to the store most recently. They
// may be stored whatever the store answered, or may become so.
class RecentSubmissions
{
public:
  auto Add(const cells::JobId& aJob) -> void;
  auto Contains(const cells::JobId& aJob) const -> bool;

private:
  std::set<cells::JobId> jobs;
  std::deque<cells::JobId> order;
};

} // namespace gooseberry::fleet

#endif
