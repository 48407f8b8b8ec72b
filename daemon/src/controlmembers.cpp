// Part of ControlPlane that renews this instance's membership lease and reads
// the other members' rows.

#include "controlplane.h"
#include "jsontext.h"
#include "log.h"

namespace gooseberry {

namespace {

constexpr Millis kRenewRetryDelay{ 300 };
constexpr Millis kMemberReadInterval{ 1000 };

} // namespace

auto
ControlPlane::RenewMembership() -> void
{
  const auto now = this->clock.Now();
  if (this->renewalInFlight || this->renewalsStopped ||
      now < this->nextRenewal) {
    return;
  }
  this->renewalInFlight = true;
  this->ownRow.counter += 1;
  this->ownRow.leaving = this->leaving;
  this->ownRow.document =
    this->loadedDocument.document ? this->loadedDocument.document->number : 0;
  const auto row = this->ownRow;
  const auto version = this->ownRowVersion;
  this->executor.CallBlocking(
    [this, row, version] {
      return this->platform.table.Commit(
        { { { MemberKey(row.id), version } },
          { { MemberKey(row.id), nlohmann::json(row).dump() } } });
    },
    [this, now, row](const CommitResult& aResult) {
      this->OnMembershipRenewed(now, row, aResult);
    });
}

// The lease runs from the time at which the renewal was sent.
auto
ControlPlane::OnMembershipRenewed(Time aSentAt,
                                  const MemberRow& aSent,
                                  const CommitResult& aResult) -> void
{
  this->metrics.CountStoreCall(StoreCall::Membership,
                               aResult.status == StoreStatus::Ok);
  const auto now = this->clock.Now();
  switch (aResult.status) {
    case StoreStatus::Ok:
      this->renewalInFlight = false;
      this->ownRowVersion = aResult.version;
      this->lease.OnRenewed(aSentAt, now);
      this->nextRenewal = aSentAt + kMemberRenewInterval;
      return;
    case StoreStatus::Unavailable:
      this->renewalInFlight = false;
      this->nextRenewal = now + kRenewRetryDelay;
      return;
    case StoreStatus::Conflict:
    case StoreStatus::Unknown:
    case StoreStatus::StoreStatus_NB:
      this->ReadBackMembership(aSentAt, aSent);
      return;
  }
}

// Called when the outcome of a renewal is not clear: it may have taken effect
// although its reply was lost, or another member may have removed the row after
// the lease had lapsed.
auto
ControlPlane::ReadBackMembership(Time aSentAt, const MemberRow& aSent) -> void
{
  this->executor.CallBlocking(
    [this, key = MemberKey(aSent.id)] {
      return this->platform.table.Read(key);
    },
    [this, aSentAt, aSent](const ReadResult& aResult) {
      this->renewalInFlight = false;
      this->nextRenewal = this->clock.Now() + kRenewRetryDelay;
      if (aResult.status != StoreStatus::Ok) {
        return;
      }
      const auto json = TryParseJson(aResult.row.value);
      const auto renewed = UnsignedIn(json, "counter") == aSent.counter;
      if (renewed) {
        this->ownRowVersion = aResult.row.version;
        this->lease.OnRenewed(aSentAt, this->clock.Now());
      } else if (aResult.row.version == 0 && this->ownRowVersion != 0) {
        this->OnMembershipLost();
      } else {
        this->ownRowVersion = aResult.row.version;
      }
    });
}

// Another member removed this instance's row as lapsed. The instance stops all
// work on its shards and joins again under a new name, so that no claim of its
// old name can be taken for one of the new name.
auto
ControlPlane::OnMembershipLost() -> void
{
  LogWarn("membership_lost", { { "instance", this->ownId.text } });
  this->lease.OnLost();
  for (auto& [number, owned] : this->ownedShards) {
    owned.shard->OnFenced();
    owned.removable = !owned.appendOrReleaseInFlight && !owned.snapshotInFlight;
  }
  this->ownRowVersion = 0;
  this->ownId.text = this->NewInstanceName();
  this->ownRow.id = this->ownId;
  this->ownRow.counter = 0;
  this->publishedOwnRow.Set(std::make_shared<MemberRow>(this->ownRow));
}

auto
ControlPlane::ReadMembers() -> void
{
  const auto now = this->clock.Now();
  if (this->memberReadInFlight || now < this->nextMemberRead) {
    return;
  }
  this->memberReadInFlight = true;
  this->nextMemberRead = now + kMemberReadInterval;
  this->executor.CallBlocking(
    [this] { return ScanAll(this->platform.table, "member/"); },
    [this](const ScanResult& aResult) {
      this->memberReadInFlight = false;
      this->metrics.CountStoreCall(StoreCall::Membership,
                                   aResult.status == StoreStatus::Ok);
      if (aResult.status != StoreStatus::Ok) {
        return;
      }
      auto rows = std::vector<MemberRow>{};
      for (const auto& row : aResult.rows) {
        const auto json = TryParseJson(row.value);
        try {
          RequireNumbersInRange(json);
          rows.push_back(json.get<MemberRow>());
        } catch (const nlohmann::json::exception&) {
          LogWarn("member_row_unreadable", { { "row", row.key } });
        }
      }
      this->membership.OnRows(this->clock.Now(), rows);
      const auto count = this->membership.Live(this->clock.Now()).size();
      const auto live = std::max(1, static_cast<int>(count));
      if (live != this->liveMemberCount) {
        this->liveMemberCount = live;
        LogInfo("members_changed", { { "live", std::to_string(live) } });
        this->PublishRoutes();
      }
    });
}

// Only the first live member, in order of name, removes the rows of members
// that lapsed long ago. A row is removed only if its counter has not changed
// since.
auto
ControlPlane::RemoveLapsedMembers() -> void
{
  const auto now = this->clock.Now();
  const auto live = this->membership.Live(now);
  if (live.empty() || live.front().id != this->ownId ||
      !this->lease.IsValid(now)) {
    return;
  }
  for (const auto& lapsed : this->membership.RemovableMembers(now)) {
    LogInfo("member_removed", { { "instance", lapsed.id.text } });
    this->executor.CallBlocking(
      [this, lapsed] {
        const auto read = this->platform.table.Read(MemberKey(lapsed.id));
        const auto json = TryParseJson(read.row.value);
        if (read.status != StoreStatus::Ok ||
            UnsignedIn(json, "counter") != lapsed.counter) {
          return false;
        }
        const auto commit =
          this->platform.table.Commit({ { { read.row.key, read.row.version } },
                                        { { read.row.key, std::nullopt } } });
        return commit.status == StoreStatus::Ok;
      },
      [](bool /*aRemoved*/) {});
  }
}

} // namespace gooseberry
