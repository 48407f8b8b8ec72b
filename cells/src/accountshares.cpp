#include "accountshares.h"

#include <algorithm>
#include <cmath>

#include "accountsharevalues.h"

namespace gooseberry::cells {

namespace {

constexpr const char* kPoolKey = "pool";
constexpr const char* kCellPrefix = "cell/";
// The pool is not used while the row of some cell does not cover its runs, but
// for this time at most: an owner that can reach the store writes the row
// within three checks. After it, the cell's even part of each limit is left.
constexpr Millis kMaxCoverWait{ 10000 };
// A check reduces the peak of an account's demand by this part: use that varies
// with tasks of one or two seconds moves no amounts, and a cell returns most of
// what it does not need any more within five seconds.
constexpr Amount kPeakDecay = 4;
auto
AtOrZero(const std::map<AccountId, Resources>& aMap, const AccountId& aAccount)
  -> Resources
{
  const auto found = aMap.find(aAccount);
  return found == aMap.end() ? Resources{} : found->second;
}

auto
ElementwiseMin(const Resources& aLeft, const Resources& aRight) -> Resources
{
  return { std::min(aLeft.cpuMillis, aRight.cpuMillis),
           std::min(aLeft.memoryMb, aRight.memoryMb),
           std::min(aLeft.accelerators, aRight.accelerators) };
}

} // namespace

struct AccountShares::Balance
{
  // A check moves amounts only if they are at least this part of what each
  // cell would have.
  static constexpr Amount kStepFraction = 16;

  Amount limit = 0;
  Amount cellCount = 1;
  Amount use = 0;
  // What the cell needs at present, and what it has needed recently.
  Amount need = 0;
  Amount want = 0;
  // Of the pool, what the cell may take; less than `free` while other cells
  // have a claim to it.
  Amount available = 0;
  // What other cells need beyond their shares, and how much of it they are
  // entitled to.
  Amount othersWant = 0;
  Amount deficit = 0;
  // What the cell keeps when others are entitled to more, and what all others
  // have above that.
  Amount keep = 0;
  Amount othersExcess = 0;
  // The cell itself is entitled to what it needs, before others.
  bool hasTurn = false;
  // Another cell is, and has been for so many checks.
  bool peerHasTurn = false;
  std::uint32_t turnChecks = 0;
  // The configuration no longer contains the account: the cell keeps nothing
  // for later tasks.
  bool isRemoved = false;

  Amount free = 0;
  Amount share = 0;
  Amount cap = 0;
};

AccountShares::AccountShares(std::string aCell,
                             std::uint64_t aFencingToken,
                             Millis aConfigApply)
  : cell(std::move(aCell))
  , fencingToken(aFencingToken)
  , configApply(aConfigApply)
{
}

auto
AccountShares::RowKeyOf(const std::string& aKey) const -> RowKey
{
  return { kTable, kPartition, aKey };
}

auto
AccountShares::OnCells(const std::vector<std::string>& aCells) -> void
{
  this->cells = aCells;
}

auto
AccountShares::OnConfig(const SiteConfig& aConfig) -> void
{
  if (aConfig.version < this->configVersion) {
    return;
  }
  this->configVersion = aConfig.version;
  this->configured.clear();
  // An account that the configuration no longer contains keeps its limit.
  for (const auto& [id, account] : aConfig.accounts) {
    this->configured.insert(id);
    if (account.limit == Resources{} && !this->limits.contains(id)) {
      continue;
    }
    this->limits[id] = account.limit;
  }
}

auto
AccountShares::OnRow(const StoredRow& aRow) -> std::optional<std::string>
{
  auto reason = std::string{};
  const auto prefix = std::string{ kCellPrefix };
  const auto isPool = aRow.key.key == kPoolKey;
  if (aRow.key.partition != kPartition || aRow.version == 0 ||
      (!isPool && !aRow.key.key.starts_with(prefix))) {
    return std::nullopt;
  }
  if (isPool) {
    if (aRow.version <= this->pool.version) {
      return std::nullopt;
    }
    auto row = DecodeSharePool(aRow.value, reason);
    this->poolUnreadable = !row;
    if (!row) {
      return reason;
    }
    this->pool = { std::move(*row), aRow.version };
    return std::nullopt;
  }
  const auto name = aRow.key.key.substr(prefix.size());
  auto& stored = name == this->cell ? this->own : this->peers[name];
  if (aRow.version <= stored.version) {
    return std::nullopt;
  }
  auto row = DecodeCellShares(aRow.value, reason);
  if (name != this->cell) {
    if (row) {
      stored = { std::move(*row), aRow.version };
      this->unreadablePeers.erase(name);
    } else {
      this->unreadablePeers.insert(name);
    }
    return row ? std::nullopt : std::optional{ reason };
  }
  if (row && row->fencingToken > this->fencingToken) {
    // What the cell may use stays as it is: nobody else has it.
    this->deposed = true;
    return std::nullopt;
  }
  // An unreadable row is replaced by one that covers what the cell uses.
  stored = { row.value_or(CellShares{}), aRow.version };
  if (!this->unresolved.inFlight) {
    this->unresolved = {};
  }
  return row ? std::nullopt : std::optional{ reason };
}

auto
AccountShares::OnAllRowsRead() -> void
{
  this->rowsRead = true;
}

auto
AccountShares::IsNeeded() const -> bool
{
  return this->cells.size() > 1 && !this->limits.empty();
}

auto
AccountShares::IsClaimed() const -> bool
{
  return this->own.version != 0 &&
         this->own.row.fencingToken == this->fencingToken;
}

auto
AccountShares::IsDeposed() const -> bool
{
  return this->deposed;
}

auto
AccountShares::IsTooLarge() const -> bool
{
  return this->tooLarge;
}

auto
AccountShares::TransferCount() const -> std::uint64_t
{
  return this->transfers;
}

auto
AccountShares::Usable() const -> std::map<AccountId, Resources>
{
  auto usable = std::map<AccountId, Resources>{};
  if (this->cells.size() < 2) {
    return usable;
  }
  auto nextPool = this->pool.row;
  this->ApplyConfig(nextPool);
  for (const auto& [id, entry] : nextPool.accounts) {
    auto& amount = usable[id];
    if (!this->IsClaimed()) {
      continue;
    }
    amount = ShareAt(this->own.row, id).share;
    if (const auto cap = this->caps.find(id); cap != this->caps.end()) {
      amount = ElementwiseMin(amount, cap->second);
    }
    if (this->unresolved.inFlight || this->unresolved.inDoubt) {
      amount = ElementwiseMin(amount, AtOrZero(this->unresolved.least, id));
    }
    for (const auto member : kMembers) {
      // Until the cells have returned enough, their uses may exceed the limit
      // together, whatever each of them uses.
      if (entry.free.*member < 0) {
        amount.*member = 0;
      }
    }
  }
  // An account whose entry was removed gets one before anything of it starts.
  for (const auto& [id, limit] : this->limits) {
    usable.try_emplace(id);
  }
  return usable;
}

auto
AccountShares::ApplyConfig(SharePool& aPool) const -> void
{
  if (this->configVersion < aPool.configVersion) {
    return;
  }
  for (const auto& [id, limit] : this->limits) {
    if (!this->configured.contains(id) && !this->needed.contains(id) &&
        !aPool.accounts.contains(id)) {
      continue;
    }
    const auto [found, added] = aPool.accounts.try_emplace(id);
    auto& entry = found->second;
    if (!added && entry.limit == limit) {
      continue;
    }
    for (const auto member : kMembers) {
      if (entry.limit.*member == 0 && limit.*member != 0) {
        entry.limitedSince = this->configVersion;
      }
      entry.free.*member += limit.*member - entry.limit.*member;
    }
    entry.limit = limit;
    aPool.configVersion = this->configVersion;
  }
}

auto
AccountShares::CountUncovered(const PoolEntry& aEntry) const -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    this->cells.begin(), this->cells.end(), [&](const std::string& aCell) {
      const auto found = this->peers.find(aCell);
      return aCell != this->cell &&
             (found == this->peers.end() ||
              found->second.row.coveredVersion < aEntry.limitedSince);
    }));
}

auto
AccountShares::UpdatePeaks(const std::map<AccountId, AccountDemand>& aDemand)
  -> void
{
  for (auto& [id, peak] : this->peaks) {
    for (const auto member : kMembers) {
      peak.*member -= (peak.*member + kPeakDecay - 1) / kPeakDecay;
    }
  }
  for (const auto& [id, demand] : aDemand) {
    auto& peak = this->peaks[id];
    auto total = demand.use;
    total += demand.waiting;
    peak = ElementwiseMax(peak, total);
  }
  std::erase_if(this->peaks,
                [](const auto& aItem) { return aItem.second == Resources{}; });
}

auto
AccountShares::BalanceAccount(Time aNow,
                              const AccountId& aAccount,
                              const AccountDemand& aDemand,
                              PoolEntry& aEntry,
                              CellShare& aShare) -> void
{
  this->UpdateOwnTurn(aAccount, aDemand, aEntry.limit, aShare);
  const auto* const turn = this->PeerWithTurn(aAccount, aShare.turn);
  const auto turnChecks = this->CountTurnChecks(aAccount, turn);
  auto isAvailable = true;
  const auto uncovered = static_cast<Amount>(this->CountUncovered(aEntry));
  const auto cellCount = static_cast<Amount>(this->cells.size());
  auto& cap = this->caps[aAccount];
  for (const auto member : kMembers) {
    if (aEntry.limit.*member == 0) {
      // Without a limit, the cell keeps nothing of an earlier one.
      aEntry.free.*member += aShare.share.*member;
      aShare.share.*member = 0;
      aShare.wanted.*member = 0;
      continue;
    }
    auto balance = Balance{};
    balance.limit = aEntry.limit.*member;
    balance.cellCount = cellCount;
    balance.use = aDemand.use.*member;
    balance.need =
      std::max(balance.use,
               std::min(balance.limit, balance.use + aDemand.waiting.*member));
    balance.want = std::max(
      balance.use,
      std::min(balance.limit, AtOrZero(this->peaks, aAccount).*member));
    balance.free = aEntry.free.*member;
    balance.share = aShare.share.*member;
    const auto fair = (balance.limit + cellCount - 1) / cellCount;
    if (uncovered == 0) {
      balance.available = balance.free;
    } else if (aNow >= *this->uncoveredSince + kMaxCoverWait) {
      balance.available =
        std::max(balance.free - uncovered * fair, Amount{ 0 });
    }
    balance.keep = turn == nullptr ? fair : 0;
    balance.hasTurn = WaitsForTurn(aShare.turn) && turn == nullptr;
    balance.peerHasTurn = turn != nullptr;
    balance.isRemoved = this->IsRemoved(aAccount);
    balance.turnChecks = turnChecks;
    for (const auto& [name, stored] : this->peers) {
      const auto peer = ShareAt(stored.row, aAccount);
      const auto wanted = peer.wanted.*member;
      const auto share = peer.share.*member;
      balance.othersWant += wanted;
      if (turn != nullptr && *turn == name) {
        // The previous version writes all that the cell needs, not only what
        // its next task does.
        const auto most = peer.turn < kFirstTurn
                            ? std::min(balance.limit, fair << peer.turn)
                            : balance.limit;
        balance.deficit += std::min(wanted, most);
      } else {
        balance.deficit +=
          turn != nullptr
            ? 0
            : std::min(wanted, std::max(fair - share, Amount{ 0 }));
        balance.othersExcess += std::max(share - balance.keep, Amount{ 0 });
      }
    }
    isAvailable = isAvailable && balance.deficit <= balance.available;
    BalanceResource(balance);
    aEntry.free.*member = balance.free;
    aShare.share.*member = balance.share;
    cap.*member = balance.cap;
    // Changes of less than a fourth are not worth a transaction.
    auto wanted = std::max(balance.want - balance.share, Amount{ 0 });
    if (WaitsForTurn(aShare.turn)) {
      // In its turn, a cell gets what its next task needs, or up to an even
      // part: other cells need not stop all their starts.
      const auto next =
        std::min(balance.limit, balance.use + aDemand.next.*member);
      wanted =
        std::max(std::max(next, std::min(balance.want, fair)) - balance.share,
                 Amount{ 0 });
    }
    const auto written = aShare.wanted.*member;
    if ((wanted == 0) != (written == 0) ||
        std::abs(wanted - written) > written / 4) {
      aShare.wanted.*member = wanted;
    }
  }
  if (turn != nullptr) {
    this->OnTurn(aAccount, *turn, isAvailable);
  }
}

auto
AccountShares::BalanceResource(Balance& aBalance) -> void
{
  auto& balance = aBalance;
  const auto move = [&](Amount aAmount) {
    balance.share += aAmount;
    balance.free -= aAmount;
  };
  const auto fair = (balance.limit + balance.cellCount - 1) / balance.cellCount;
  // Runs that exist are covered, even if the pool becomes negative.
  move(std::max(balance.use - balance.share, Amount{ 0 }));
  if (balance.free < 0) {
    move(-std::min(balance.share - balance.use, -balance.free));
    balance.cap = balance.share;
    return;
  }
  const auto available = std::min(balance.available, balance.free);
  const auto deficit = balance.deficit - available;
  const auto excess = balance.share - balance.keep;
  if (deficit > 0 && excess > 0 && !balance.hasTurn) {
    // Each cell returns in proportion to what it has above its part. Starts
    // stop at the cap, and the next checks return what has ended.
    const auto part = static_cast<double>(deficit) *
                      static_cast<double>(excess) /
                      static_cast<double>(excess + balance.othersExcess);
    // What others would return may be in long runs: each check asks for twice
    // as much of those that can.
    const auto grown = std::ldexp(
      part, static_cast<int>(std::min(balance.turnChecks, kMaxTurnShift)));
    const auto give =
      std::min({ static_cast<Amount>(std::ceil(grown)), deficit, excess });
    balance.cap = balance.share - give;
    move(-std::min(give, balance.share - balance.use));
    return;
  }
  const auto step =
    balance.isRemoved
      ? Amount{ 1 }
      : std::max(balance.limit / (Balance::kStepFraction * balance.cellCount),
                 Amount{ 1 });
  const auto crowded = balance.othersWant > available;
  // Beyond an even part, only what is needed at present is kept from others.
  const auto demand =
    crowded ? std::max(balance.need, std::min(balance.want, fair))
            : balance.want + (balance.isRemoved ? 0 : balance.want / 4);
  auto goal = std::min(demand, balance.limit);
  // Without demand, a cell has half of an even part, so that a first job does
  // not wait for a check, while the pool has enough for all.
  const auto base =
    balance.isRemoved ? 0 : balance.limit / (2 * balance.cellCount);
  if (!crowded && available >= balance.limit / 4) {
    goal = std::max(goal, base);
  }
  if (goal > balance.share) {
    // What a cell returned for the turn of another one, it does not take back.
    const auto isEntitled =
      balance.hasTurn || (!balance.peerHasTurn && balance.share < fair);
    const auto reserved = isEntitled ? 0 : balance.deficit;
    const auto take = std::min(goal - balance.share,
                               std::max(available - reserved, Amount{ 0 }));
    if (balance.need > balance.share || take >= step) {
      move(take);
    }
  } else {
    const auto kept = crowded ? goal : std::max(goal, base);
    if (balance.share - kept >= (crowded ? Amount{ 1 } : step)) {
      move(-(balance.share - kept));
    }
  }
  balance.cap = balance.share;
}

auto
AccountShares::NextTransaction(
  Time aNow,
  const std::map<AccountId, AccountDemand>& aDemand)
  -> std::optional<TableTransaction>
{
  if (!this->IsNeeded() || !this->rowsRead || this->deposed ||
      this->poolUnreadable || this->unresolved.inFlight) {
    return std::nullopt;
  }
  auto nextPool = this->pool.row;
  auto nextOwn = this->own.row;
  nextOwn.fencingToken = this->fencingToken;
  this->needed.clear();
  for (const auto& [id, demand] : aDemand) {
    if (demand.use != Resources{} || demand.waiting != Resources{}) {
      this->needed.insert(id);
    }
  }
  // Under the condition that no row has changed, the sum is exact: a row that
  // this owner does not know has no share, or the pool would have changed.
  const auto restored = this->AmountsToRestore();
  for (const auto& [id, amount] : restored) {
    nextPool.accounts.at(id).free += amount;
  }
  this->ApplyConfig(nextPool);
  this->UpdatePeaks(aDemand);
  auto covered = nextOwn.coveredVersion;
  auto isUncovered = false;
  for (const auto& [id, entry] : nextPool.accounts) {
    isUncovered = isUncovered || this->CountUncovered(entry) > 0;
    covered = std::max(covered, entry.limitedSince);
  }
  if (!isUncovered) {
    this->uncoveredSince.reset();
  } else if (!this->uncoveredSince) {
    this->uncoveredSince = aNow;
  }
  nextOwn.coveredVersion = covered;
  for (auto& [id, entry] : nextPool.accounts) {
    const auto found = aDemand.find(id);
    auto& share = nextOwn.accounts[id];
    this->BalanceAccount(aNow,
                         id,
                         found == aDemand.end() ? AccountDemand{}
                                                : found->second,
                         entry,
                         share);
    if (share == CellShare{}) {
      nextOwn.accounts.erase(id);
    }
  }
  this->RemoveEntries(aNow, nextPool, nextOwn);
  const auto poolChanged = nextPool != this->pool.row;
  if (nextOwn == this->own.row && !poolChanged && !this->unresolved.inDoubt) {
    return std::nullopt;
  }
  const auto ownKey = this->RowKeyOf(kCellPrefix + this->cell);
  auto transaction = TableTransaction{};
  transaction.conditions.push_back({ ownKey, this->own.version });
  transaction.puts.push_back({ ownKey, EncodeCellShares(nextOwn) });
  if (poolChanged) {
    const auto poolKey = this->RowKeyOf(kPoolKey);
    transaction.conditions.push_back({ poolKey, this->pool.version });
    transaction.puts.push_back({ poolKey, EncodeSharePool(nextPool) });
  }
  if (!restored.empty()) {
    for (const auto& [name, stored] : this->peers) {
      transaction.conditions.push_back(
        { this->RowKeyOf(kCellPrefix + name), stored.version });
    }
    if (!poolChanged) {
      transaction.conditions.push_back(
        { this->RowKeyOf(kPoolKey), this->pool.version });
    }
  }
  this->tooLarge = std::any_of(
    transaction.puts.begin(), transaction.puts.end(), [](const RowPut& aPut) {
      return aPut.value.size() > kMaxRowBytes;
    });
  if (this->tooLarge) {
    return std::nullopt;
  }
  // Until the outcome is known, the cell may use only what it has both before
  // and after this transaction, and all earlier ones in doubt.
  auto least = std::map<AccountId, Resources>{};
  for (const auto& [id, entry] : nextPool.accounts) {
    auto& amount = least[id];
    amount = ElementwiseMin(ShareAt(this->own.row, id).share,
                            ShareAt(nextOwn, id).share);
    if (this->unresolved.inDoubt) {
      amount = ElementwiseMin(amount, AtOrZero(this->unresolved.least, id));
    }
  }
  this->unresolved.least = std::move(least);
  this->unresolved.inFlight = true;
  this->unresolved.own = std::move(nextOwn);
  this->unresolved.pool =
    poolChanged ? std::optional{ std::move(nextPool) } : std::nullopt;
  return transaction;
}

auto
AccountShares::OnOutcome(const TableCommitResult& aOutcome) -> void
{
  this->unresolved.inFlight = false;
  switch (aOutcome.status) {
    case TableStatus::Done:
      if (this->unresolved.pool) {
        this->pool = { std::move(*this->unresolved.pool), aOutcome.version };
        ++this->transfers;
      }
      this->own = { std::move(this->unresolved.own), aOutcome.version };
      this->unresolved = {};
      return;
    case TableStatus::Unknown:
      this->unresolved.inDoubt = true;
      return;
    case TableStatus::Conflict:
      for (const auto& row : aOutcome.current) {
        this->OnRow(row);
      }
      break;
    default:
      break;
  }
  // This one was not carried out; an earlier one may be.
  if (!this->unresolved.inDoubt) {
    this->unresolved = {};
  }
}

} // namespace gooseberry::cells
