#ifndef GOOSEBERRY_ACCOUNTSHARES_H
#define GOOSEBERRY_ACCOUNTSHARES_H

// The shares that the cells of a fleet have of each account's limit. One row
// holds the pool of what no cell has, and one row for each cell its shares. A
// transaction moves amounts between the pool and the row of the cell whose
// owner sends it, if both rows are unchanged, so that for each account pool and
// shares add up to the limit. Pure decisions, no I/O; the caller sends the
// transactions. A fleet of one cell has no such rows.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "site.h"
#include "tableport.h"

namespace gooseberry::cells {

// What an account has and needs in one cell.
struct AccountDemand
{
  // Of all runs that may exist.
  Resources use;
  // Of the tasks that wait because of the account's share.
  Resources waiting;
  // What the first of them needs to start; nothing if something else may start
  // before it.
  Resources next;
  // Runs that were planned so far.
  std::uint64_t plannedRuns = 0;

  auto operator==(const AccountDemand&) const -> bool = default;
};

struct PoolEntry
{
  Resources limit;
  // The limit less the shares of all cells; negative after the limit was
  // lowered, until the cells have returned enough.
  Resources free;
  // The configuration that limited an account without a limit. A cell whose row
  // is older may have runs of the account that its share does not cover.
  std::uint64_t limitedSince = 0;

  auto operator==(const PoolEntry&) const -> bool = default;
};

struct SharePool
{
  // The newest configuration whose limits differed from those before.
  std::uint64_t configVersion = 0;
  std::map<AccountId, PoolEntry> accounts;

  auto operator==(const SharePool&) const -> bool = default;
};

struct CellShare
{
  Resources share;
  // What the cell needs beyond its share.
  Resources wanted;
  // Cells that wait for a turn have a number, and the least goes first; 0: does
  // not wait. Numbers below 10 were written by a version that counted checks.
  std::uint64_t turn = 0;

  auto operator==(const CellShare&) const -> bool = default;
};

struct CellShares
{
  // Of the owner that wrote the row.
  std::uint64_t fencingToken = 0;
  // The shares cover all runs of accounts that were limited up to this
  // configuration.
  std::uint64_t coveredVersion = 0;
  std::map<AccountId, CellShare> accounts;

  auto operator==(const CellShares&) const -> bool = default;
};

// Limits are at most 10^15. Sums of amounts over hundreds of cells can't
// overflow.
inline constexpr std::int64_t kMaxShareAmount = 10'000'000'000'000'000;

auto
EncodeSharePool(const SharePool& aPool) -> std::string;
auto
EncodeCellShares(const CellShares& aShares) -> std::string;
// Return nothing and set aReason if the bytes are not a valid row.
auto
DecodeSharePool(const std::string& aBytes, std::string& aReason)
  -> std::optional<SharePool>;
auto
DecodeCellShares(const std::string& aBytes, std::string& aReason)
  -> std::optional<CellShares>;

// One cell's view of the shares, from the takeover by its owner on.
class AccountShares
{
public:
  // All rows are in one partition of this table, so that a transaction can
  // move amounts between them.
  static constexpr const char* kTable = "shares";
  static constexpr const char* kPartition = "accounts";
  // The longest time that users' platforms state.
  static constexpr Millis kMaxConfigApply{ 4000 };

  // Within aConfigApply, a configuration is in force everywhere.
  AccountShares(std::string aCell,
                std::uint64_t aFencingToken,
                Millis aConfigApply = kMaxConfigApply);

  // All cells of the layout.
  auto OnCells(const std::vector<std::string>& aCells) -> void;
  auto OnConfig(const SiteConfig& aConfig) -> void;
  // A row of the table, as read or as changed. Returns why it can't be read;
  // what was known of it stays.
  auto OnRow(const StoredRow& aRow) -> std::optional<std::string>;
  // All rows that the table holds were passed to OnRow at least once.
  auto OnAllRowsRead() -> void;

  // Whether there are rows to read and to write: the fleet has several cells,
  // and some account has or had a limit.
  auto IsNeeded() const -> bool;
  // What the cell may use of each account with a limit; nothing of it before
  // the owner has written the cell's row. Empty if the fleet has one cell.
  auto Usable() const -> std::map<AccountId, Resources>;
  // The next transaction, if anything has to be written. The caller passes the
  // outcome to OnOutcome, and what Usable returns from now on to the cell
  // before it starts anything: amounts to be returned are not usable any more.
  auto NextTransaction(Time aNow,
                       const std::map<AccountId, AccountDemand>& aDemand)
    -> std::optional<TableTransaction>;
  auto OnOutcome(const TableCommitResult& aOutcome) -> void;

  // The owner has written the cell's row.
  auto IsClaimed() const -> bool;
  // Another owner has written the cell's row.
  auto IsDeposed() const -> bool;
  // A row would exceed what the store accepts, so that nothing is written.
  auto IsTooLarge() const -> bool;
  // Amounts taken from the pool and returned to it so far.
  auto TransferCount() const -> std::uint64_t;

private:
  template<class Row>
  struct Stored
  {
    Row row;
    std::uint64_t version = 0;
  };

  // Transactions that were sent and may be carried out.
  struct Unresolved
  {
    CellShares own;
    std::optional<SharePool> pool;
    bool inFlight = false;
    // An earlier one has an unknown outcome.
    bool inDoubt = false;
    // Least share by account of all rows that may be stored.
    std::map<AccountId, Resources> least;
  };

  // One resource of one account, while a transaction is decided.
  struct Balance;

  auto RowKeyOf(const std::string& aKey) const -> RowKey;
  auto ApplyConfig(SharePool& aPool) const -> void;
  // Cells whose row does not yet cover their runs of the account.
  auto CountUncovered(const PoolEntry& aEntry) const -> std::size_t;
  auto UpdatePeaks(const std::map<AccountId, AccountDemand>& aDemand) -> void;
  auto BalanceAccount(Time aNow,
                      const AccountId& aAccount,
                      const AccountDemand& aDemand,
                      PoolEntry& aEntry,
                      CellShare& aShare) -> void;
  static auto BalanceResource(Balance& aBalance) -> void;
  // Sets or resets the cell's place in the order of turns.
  auto UpdateOwnTurn(const AccountId& aAccount,
                     const AccountDemand& aDemand,
                     const Resources& aLimit,
                     CellShare& aShare) -> void;
  // The other cell that has the turn; nothing if there is none.
  auto PeerWithTurn(const AccountId& aAccount, std::uint64_t aOwnTurn) const
    -> const std::string*;
  // For how many checks the peer has had this turn.
  auto CountTurnChecks(const AccountId& aAccount, const std::string* aPeer)
    -> std::uint32_t;
  // Passes the peer over if it leaves what it needs in the pool.
  auto OnTurn(const AccountId& aAccount,
              const std::string& aPeer,
              bool aIsAvailable) -> void;
  // The configuration no longer contains the account.
  auto IsRemoved(const AccountId& aAccount) const -> bool;
  // Removes the entries of such accounts that no cell has used for some time.
  auto RemoveEntries(Time aNow, SharePool& aPool, CellShares& aOwn) -> void;
  // What is missing from the sum of pool and shares, by account, as far as all
  // rows are known; negative if there is too much.
  auto MissingAmounts() const -> std::map<AccountId, Resources>;
  // Those amounts, if they have been missing for so many checks that no change
  // on its way explains them.
  auto AmountsToRestore() -> std::map<AccountId, Resources>;
  auto IsInLayout(const std::string& aCell) const -> bool;

  const std::string cell;
  const std::uint64_t fencingToken;
  const Millis configApply;
  std::vector<std::string> cells;
  std::set<AccountId> configured;
  // Accounts of which this cell has runs or waiting tasks.
  std::set<AccountId> needed;
  // Since when no cell has had a share of an account that was removed from the
  // configuration.
  std::map<AccountId, Time> unusedSince;
  // Limits in force or last known, of the accounts that have or had one.
  std::map<AccountId, Resources> limits;
  std::uint64_t configVersion = 0;
  bool rowsRead = false;
  bool deposed = false;
  bool tooLarge = false;
  bool poolUnreadable = false;
  // Rows of other cells whose newest version can't be read.
  std::set<std::string> unreadablePeers;
  // For how many checks pool and shares have not added up.
  std::uint32_t mismatchChecks = 0;
  std::uint64_t transfers = 0;
  Stored<SharePool> pool;
  Stored<CellShares> own;
  std::map<std::string, Stored<CellShares>> peers;
  Unresolved unresolved;
  // Less than the share while the cell returns some of it.
  std::map<AccountId, Resources> caps;
  // Recent peak of use and waiting tasks.
  std::map<AccountId, Resources> peaks;
  // For how many checks tasks of the account have waited without any start.
  struct Wait
  {
    std::uint64_t plannedRuns = 0;
    std::uint32_t checks = 0;
  };
  std::map<AccountId, Wait> waits;
  // Turns of other cells, as this one has seen them.
  struct Turn
  {
    std::string cell;
    std::uint64_t number = 0;
    std::uint32_t checks = 0;
    // Checks in which the pool held what the cell needs.
    std::uint32_t availableChecks = 0;
    // Numbers of cells that did not use their turns.
    std::map<std::string, std::uint64_t> passedOver;
  };
  std::map<AccountId, Turn> turns;
  // Since when some cell's row does not cover its runs.
  std::optional<Time> uncoveredSince;
};

} // namespace gooseberry::cells

#endif
