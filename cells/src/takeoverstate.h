#ifndef GOOSEBERRY_TAKEOVERSTATE_H
#define GOOSEBERRY_TAKEOVERSTATE_H

// What a new owner reads from the store when it takes a cell over.

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "delegation.h"
#include "job.h"
#include "learnedstate.h"

namespace gooseberry::cells {

// A row of the table of delegations, with the other cell that it concerns.
using PeerDelegation = std::pair<std::string, Delegation>;
using PeerReport = std::pair<std::string, DelegationReport>;

// State that a new owner read from the store when it took the cell over.
struct CellTakeover
{
  std::uint64_t fencingToken = 0;
  Time now{};
  std::int64_t nowUnixMs = 0;
  std::vector<std::pair<JobRow, std::optional<JobRecord>>> jobs;
  std::vector<JobId> cancelled;
  // Records of jobs whose submission is gone, and rows of records that have
  // fewer by now.
  std::vector<JobId> orphanRecords;
  std::vector<RecordContinuation> orphanContinuations;
  // The longest lease that earlier owners may have granted and that may still
  // hold, and by when the leases of the workers that did not answer the
  // previous owner have certainly expired.
  Millis previousLease{ 0 };
  std::map<WorkerId, Time> leaseEnds;
  // The store confirmed no earlier owner after this local time; empty for the
  // time of the takeover.
  std::optional<Time> previousConfirmedBy;
  // The last owner had released the cell before.
  bool previousReleased = false;
  // When the transaction was sent with which the store confirmed this owner;
  // empty for the time of the takeover.
  std::optional<Time> confirmedAt;
  // State that the previous owner learned from reports, and the time since it
  // was written.
  std::optional<LearnedState> learnedState;
  Millis learnedStateAge{ 0 };
  // Delegations of this cell to others, with the host, and the hosts' reports.
  std::vector<PeerDelegation> delegated;
  std::vector<PeerReport> reports;
  // Delegations of other cells to this one, with the home cell, and this cell's
  // reports. The reports must have been read before the delegations: otherwise
  // one that was just closed could look like a new one.
  std::vector<PeerDelegation> hosted;
  std::vector<PeerReport> ownReports;
};

} // namespace gooseberry::cells

#endif
