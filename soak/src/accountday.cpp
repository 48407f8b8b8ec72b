#include "accountday.h"

#include <algorithm>
#include <array>

namespace gooseberry::soak {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;

// What the users' platform promises: a configuration is in force at each
// instance, and a removed key is refused even by those that can't reach the
// store (with strict_revoke), so long after the change was written.
constexpr Millis kConfigApply{ 4000 };
constexpr Millis kRevoke{ 5000 };

// Sends many times its rate: more than its limit, or without a limit more than
// all workers can run.
const AccountId kBusy{ "busy" };
// Its limit is lowered.
const AccountId kCapped{ "capped" };
// Its keys are removed one after the other, except for the last one.
const AccountId kChanging{ "changing" };
const AccountId kSteady{ "steady" };
constexpr const char* kUnknownKey = "key-unknown";

// How often and after what time an instance is asked again that has decided
// nothing.
constexpr int kMostTries = 40;
constexpr Millis kAgain{ 500 };

// Of the 144 cores of nine workers.
constexpr int kWorkers = 9;
constexpr Resources kBusyLimit{ 80000, 0, 0 };
constexpr Resources kCappedLimit{ 60000, 0, 0 };
// Tasks of up to 4 cores fit into the share of each of three cells.
constexpr std::array<Resources, 2> kLoweredLimits{ { { 30000, 0, 0 },
                                                     { 15000, 0, 0 } } };

auto
JobOf(std::uint32_t aTasks, std::int64_t aCpuMillis, Millis aDuration)
  -> Submission
{
  auto step = cells::StepSpec{};
  step.taskCount = aTasks;
  step.taskResources = { aCpuMillis, 1000, 0 };
  step.estimate = aDuration;
  auto submission = Submission{};
  submission.spec.payload = "work";
  submission.spec.steps.push_back(step);
  submission.plan.duration = aDuration;
  return submission;
}

} // namespace

auto
SetAccountOptions(RealFleetOptions& aOptions) -> void
{
  constexpr double kWeight = 2.0;
  auto busy = cells::Account{ kBusy, { "key-busy" }, kWeight, kBusyLimit };
  auto capped =
    cells::Account{ kCapped, { "key-capped" }, kWeight, kCappedLimit };
  auto changing = cells::Account{
    kChanging, { "key-changing-0", "key-changing-1", "key-changing-2" }, kWeight
  };
  auto steady = cells::Account{ kSteady, { "key-steady" }, kWeight };
  aOptions.accounts = { busy, capped, changing, steady };
  // Few enough to be full while the busy account sends.
  aOptions.workers = kWorkers;
  // By the seed: three cells and a limit of the busy account, or neither.
  constexpr int kCells = 3;
  if (aOptions.seed % 2 == 1) {
    aOptions.cellWorkers = aOptions.workers / kCells;
  } else {
    aOptions.accounts.front().limit = {};
  }
  aOptions.strictRevoke = aOptions.seed % 4 >= 2;
}

auto
AccountDayJobs() -> fakes::JobDensity
{
  auto jobs = fakes::JobDensity{};
  // The accounts' own jobs are added to them.
  jobs.longestGap = Millis{ 1200 };
  jobs.lastingJobs = 2;
  jobs.needsRacks = false;
  return jobs;
}

AccountDay::AccountDay(RealFleet& aFleet)
  : fleet(aFleet)
  , probedKeys{ kUnknownKey }
{
  // Known to all instances from their start.
  this->RecordKeys(Time{});
  this->fleet.ObserveAnswers(
    [this](const CallerAnswer& aAnswer) { this->OnAnswer(aAnswer); });
}

auto
AccountDay::Draw(std::int64_t aFrom, std::int64_t aTo) -> std::int64_t
{
  return std::uniform_int_distribution{ aFrom, aTo }(this->fleet.Random());
}

auto
AccountDay::Begin(Millis aTime) -> std::vector<std::string>
{
  auto told = this->BeginRound(Millis{ 0 }, 0);
  for (auto& text : this->BeginRound(aTime / 2, 1)) {
    told.push_back(std::move(text));
  }
  // The work that waits then needs some of the remaining time.
  this->KeepSubmitting(this->fleet.Now() + aTime * 2 / 3);
  this->KeepProbing();
  return told;
}

auto
AccountDay::BeginRound(Millis aStart, int aRound) -> std::vector<std::string>
{
  constexpr std::int64_t kWithin = 1500;
  constexpr std::int64_t kLongestDown = 3000;
  constexpr std::int64_t kLongestSilence = 5000;
  auto told = std::vector<std::string>{};
  const auto plan = [&](const std::string& aText, std::function<void()> aWork) {
    const auto at = aStart + Millis{ this->Draw(0, kWithin) };
    told.push_back(std::to_string(at.count()) + " ms: " + aText);
    this->fleet.After(at, std::move(aWork));
  };
  const auto key = "key-changing-" + std::to_string(aRound);
  plan("a key is removed", [this, key] { this->RemoveKey(key); });
  const auto name = "added-" + std::to_string(aRound);
  plan("an account is added", [this, name] { this->AddAccount(name); });
  const auto limit = kLoweredLimits.at(static_cast<std::size_t>(aRound));
  plan("a limit is lowered", [this, limit] { this->SetLimit(limit); });
  if (aRound == 1) {
    const auto cell = "c" + std::to_string(this->Draw(0, 2));
    const auto down = Millis{ this->Draw(20, kLongestDown) };
    plan("the owner of " + cell + " (or of c0) is killed",
         [this, cell, down] { this->KillOwner(cell, down); });
  } else if (this->Draw(0, 1) == 0) {
    const auto time = Millis{ this->Draw(500, kLongestSilence) };
    plan("the store does not respond",
         [this, time] { this->SilenceStore(time); });
  }
  return told;
}

auto
AccountDay::Change(const std::function<void(cells::SiteConfig&)>& aChange)
  -> void
{
  this->fleet.ChangeConfig(aChange);
  this->RecordKeys(this->fleet.Now());
  ++this->configChanges;
}

auto
AccountDay::RecordKeys(Time aNow) -> void
{
  const auto& config = this->fleet.Config();
  for (auto& [key, changes] : this->keys) {
    if (config.FindAccount(key) == nullptr && !changes.back().account.Empty()) {
      changes.push_back({ aNow, {} });
    }
  }
  for (const auto& [id, account] : config.accounts) {
    for (const auto& key : account.keys) {
      auto& changes = this->keys[key];
      if (changes.empty() || changes.back().account != id) {
        changes.push_back({ aNow, id });
      }
    }
  }
}

auto
AccountDay::RemoveKey(const std::string& aKey) -> void
{
  this->Change([&](cells::SiteConfig& aConfig) {
    aConfig.accounts.at(kChanging).keys.erase(aKey);
  });
  this->probedKeys.push_back(aKey);
}

auto
AccountDay::AddAccount(const std::string& aName) -> void
{
  const auto key = "key-" + aName;
  this->Change([&](cells::SiteConfig& aConfig) {
    aConfig.accounts[{ aName }] = cells::Account{ { aName }, { key } };
  });
  this->probedKeys.push_back(key);
}

auto
AccountDay::SetLimit(Resources aLimit) -> void
{
  this->Change([&](cells::SiteConfig& aConfig) {
    aConfig.accounts.at(kCapped).limit = aLimit;
  });
}

auto
AccountDay::SilenceStore(Millis aTime) -> void
{
  auto treatment = fakes::StoreTreatment{};
  treatment.mode = fakes::StoreTreatment::Mode::Silent;
  for (auto instance = 0; instance < this->fleet.Instances(); ++instance) {
    this->fleet.Treat(instance, treatment);
    this->fleet.After(aTime,
                      [this, instance] { this->fleet.Treat(instance, {}); });
  }
}

auto
AccountDay::KillOwner(const std::string& aCell, Millis aDown) -> void
{
  auto owner = this->fleet.OwnerOf(aCell);
  owner = owner >= 0 ? owner : std::max(0, this->fleet.Owner());
  this->fleet.Kill(owner);
  this->fleet.After(aDown, [this, owner] { this->fleet.Start(owner); });
}

// The busy account sends several times what it may run; the one whose keys are
// removed sends with the oldest of them, in force or not.
auto
AccountDay::KeepSubmitting(Time aUntil) -> void
{
  if (this->fleet.Now() >= aUntil) {
    return;
  }
  constexpr Millis kLimitedInterval{ 100 };
  constexpr Millis kUnlimitedInterval{ 50 };
  constexpr std::int64_t kOneIn = 4;
  auto submission = JobOf(static_cast<std::uint32_t>(this->Draw(2, 6)),
                          this->Draw(10, 35) * 100,
                          Millis{ this->Draw(300, 2000) });
  submission.account = kBusy;
  submission.key = "key-busy";
  this->fleet.SubmitAs(std::move(submission));
  if (this->Draw(1, kOneIn) == 1) {
    auto other = JobOf(2, this->Draw(5, 20) * 100, Millis{ 500 });
    other.account = kChanging;
    other.key = "key-changing-" + std::to_string(this->Draw(0, 1));
    this->fleet.SubmitAs(std::move(other));
    auto capped = JobOf(3, this->Draw(20, 40) * 100, Millis{ 1000 });
    capped.account = kCapped;
    capped.key = "key-capped";
    this->fleet.SubmitAs(std::move(capped));
  }
  const auto isLimited =
    this->fleet.Config().accounts.at(kBusy).limit != Resources{};
  this->fleet.After(isLimited ? kLimitedInterval : kUnlimitedInterval,
                    [this, aUntil] { this->KeepSubmitting(aUntil); });
}

auto
AccountDay::KeepProbing() -> void
{
  constexpr Millis kInterval{ 150 };
  if (this->faultsOver) {
    return;
  }
  const auto instance =
    static_cast<int>(this->Draw(0, this->fleet.Instances() - 1));
  const auto last = static_cast<std::int64_t>(this->probedKeys.size()) - 1;
  this->Probe(
    instance,
    this->probedKeys.at(static_cast<std::size_t>(this->Draw(0, last))));
  // Another account's job, and one that a caller without a key asks for.
  if (const auto job = this->fleet.SomeJob()) {
    const auto cancels =
      this->Draw(0, 3) == 0 && this->fleet.AccountOf(*job) != kSteady;
    this->fleet.AskAs("key-steady", cancels ? "DELETE" : "GET", *job);
    this->fleet.AskAs("", "GET", *job);
  }
  this->fleet.After(kInterval, [this] { this->KeepProbing(); });
}

auto
AccountDay::AccountWith(const std::string& aKey) const -> AccountId
{
  const auto found = this->keys.find(aKey);
  return found == this->keys.end() ? AccountId{}
                                   : found->second.front().account;
}

auto
AccountDay::Probe(int aInstance, const std::string& aKey) -> void
{
  auto job = JobOf(1, 500, Millis{ 100 });
  job.key = aKey;
  job.account = this->AccountWith(aKey);
  this->fleet.SubmitAt(
    aInstance, std::move(job), [](const CallerAnswer& /*aAnswer*/) {});
}

auto
AccountDay::ProbeUntilAnswered(int aInstance,
                               const std::string& aKey,
                               int aTries) -> void
{
  auto job = JobOf(1, 500, Millis{ 100 });
  job.key = aKey;
  job.account = this->AccountWith(aKey);
  this->fleet.SubmitAt(
    aInstance,
    std::move(job),
    [this, aInstance, aKey, aTries](const CallerAnswer& aAnswer) {
      if (aAnswer.status == kOk || aAnswer.status == kUnauthorized) {
        --this->openProbes;
      } else if (aTries + 1 < kMostTries) {
        this->fleet.After(kAgain, [this, aInstance, aKey, aTries] {
          this->ProbeUntilAnswered(aInstance, aKey, aTries + 1);
        });
      } else {
        --this->openProbes;
        this->fleet.Break("entry-" + std::to_string(aInstance) +
                          " decides nothing about " + aKey + ", last status " +
                          std::to_string(aAnswer.status));
      }
    });
}

auto
AccountDay::WasValid(const std::string& aKey, Time aFrom) const -> bool
{
  const auto found = this->keys.find(aKey);
  if (found == this->keys.end()) {
    return false;
  }
  // From the newest change to the one that was in force then.
  for (auto change = found->second.rbegin(); change != found->second.rend();
       ++change) {
    if (!change->account.Empty()) {
      return true;
    }
    if (change->at < aFrom) {
      return false;
    }
  }
  return false;
}

auto
AccountDay::WasAlwaysValid(const std::string& aKey, Time aFrom) const -> bool
{
  const auto found = this->keys.find(aKey);
  if (found == this->keys.end()) {
    return false;
  }
  const auto& newest = found->second.back();
  return !newest.account.Empty() && newest.at < aFrom;
}

auto
AccountDay::OnAnswer(const CallerAnswer& aAnswer) -> void
{
  this->CheckKey(aAnswer);
  this->CheckAccess(aAnswer);
}

auto
AccountDay::CheckKey(const CallerAnswer& aAnswer) -> void
{
  const auto text = aAnswer.method + " with key '" + aAnswer.key +
                    "' at entry-" + std::to_string(aAnswer.instance) +
                    ", sent at " + std::to_string(SteadyMillis(aAnswer.sentAt));
  if (aAnswer.status == kUnauthorized) {
    ++this->refusedKeys;
    // An instance that can't read the configuration answers 503 instead.
    if (this->WasAlwaysValid(aAnswer.key, aAnswer.sentAt - kConfigApply)) {
      this->fleet.Break("a key in force is refused: " + text);
    }
    return;
  }
  if (aAnswer.status != kOk) {
    return;
  }
  this->acceptedAdded += aAnswer.key.starts_with("key-added") ? 1 : 0;
  if (!this->WasValid(aAnswer.key, Time{})) {
    this->fleet.Break("a key that never existed is accepted: " + text);
  } else if (this->fleet.ReachesStoreSince(aAnswer.instance,
                                           aAnswer.sentAt - kConfigApply)) {
    if (!this->WasValid(aAnswer.key, aAnswer.sentAt - kConfigApply)) {
      this->fleet.Break("a removed key is accepted: " + text);
    }
  } else if (this->fleet.RevokesStrictly() &&
             !this->WasValid(aAnswer.key, aAnswer.sentAt - kRevoke)) {
    this->fleet.Break("a removed key is accepted without the store: " + text);
  }
}

auto
AccountDay::CheckAccess(const CallerAnswer& aAnswer) -> void
{
  const auto owner = this->fleet.AccountOf(aAnswer.job);
  const auto caller = this->AccountWith(aAnswer.key);
  const auto text = aAnswer.method + " for " + aAnswer.job.Text() + " of '" +
                    owner.text + "' by '" + caller.text + "'";
  if (owner != caller && aAnswer.method != "POST" && aAnswer.status == kOk) {
    this->fleet.Break("another account's job is visible: " + text);
  }
  if (aAnswer.status == kForbidden) {
    ++this->refusedAccess;
    if (owner == caller) {
      this->fleet.Break("an account's own job is refused: " + text);
    }
  }
}

auto
AccountDay::IsBeyondShare(const AccountId& aAccount) const -> bool
{
  const auto& accounts = this->fleet.Config().accounts;
  auto weights = 0.0;
  for (const auto& [id, account] : accounts) {
    weights += account.weight;
  }
  const auto use = this->fleet.Judge().UseOf(aAccount).use.cpuMillis;
  return static_cast<double>(use) >
         static_cast<double>(this->fleet.CpuMillis()) *
           accounts.at(aAccount).weight / weights;
}

// An account has nothing running although its work is ready, for as long as a
// new owner may take to begin, while others that use more than their shares
// start tasks all the time.
auto
AccountDay::CheckWaits() -> void
{
  constexpr Millis kLongest{ 10000 };
  constexpr std::size_t kMostStarts = 40;
  auto& judge = this->fleet.Judge();
  auto ready = std::set<AccountId>{};
  for (const auto& item : judge.WaitingTasks()) {
    // Others may lack room on a worker that suits them.
    if (!item.step->bestEffort && item.step->maxPerWorker == 0) {
      ready.insert(this->fleet.AccountOf(item.task.job));
    }
  }
  const auto& accounts = this->fleet.Config().accounts;
  std::erase_if(this->waits, [&](const auto& aItem) {
    return !ready.contains(aItem.first) ||
           judge.UseOf(aItem.first).use.cpuMillis > 0;
  });
  for (const auto& id : ready) {
    if (!accounts.contains(id) || judge.UseOf(id).use.cpuMillis > 0) {
      continue;
    }
    auto& wait =
      this->waits.try_emplace(id, Wait{ this->fleet.Now(), {}, false })
        .first->second;
    for (const auto& [other, account] : accounts) {
      if (other == id || !this->IsBeyondShare(other)) {
        wait.startsBeyond.erase(other);
        continue;
      }
      const auto starts = judge.UseOf(other).starts;
      const auto first = wait.startsBeyond.try_emplace(other, starts).first;
      if (this->fleet.Now() > wait.since + kLongest &&
          starts > first->second + kMostStarts && !wait.reported) {
        wait.reported = true;
        this->fleet.Break("account " + id.text + " has nothing running since " +
                          std::to_string(SteadyMillis(wait.since)) +
                          ", while " + other.text +
                          " starts tasks beyond its share");
      }
    }
  }
}

auto
AccountDay::Check() -> void
{
  this->CheckWaits();
}

auto
AccountDay::OnFaultsOver() -> void
{
  // By then, each instance has read the last version of the configuration, also
  // one that was killed and has to start.
  constexpr Millis kSettled{ 4500 };
  this->faultsOver = true;
  this->openProbes =
    static_cast<int>(this->probedKeys.size()) * this->fleet.Instances();
  this->fleet.After(kSettled, [this] {
    // The lowered limit has been judged until here.
    this->SetLimit(kCappedLimit);
    for (const auto& key : this->probedKeys) {
      for (auto instance = 0; instance < this->fleet.Instances(); ++instance) {
        this->ProbeUntilAnswered(instance, key, 0);
      }
    }
  });
}

auto
AccountDay::IsComplete() const -> bool
{
  return this->openProbes == 0;
}

auto
AccountDay::Finish() -> std::string
{
  if (this->refusedKeys == 0 || this->refusedAccess == 0 ||
      this->acceptedAdded == 0) {
    this->fleet.Break("the day has not tried all answers about keys");
  }
  return std::to_string(this->configChanges) + " configurations, " +
         std::to_string(this->refusedKeys) + " answers 401, " +
         std::to_string(this->refusedAccess) + " answers 403, " +
         std::to_string(this->acceptedAdded) + " 200 with added keys, " +
         "highest use of a limit " +
         std::to_string(this->fleet.Judge().PeakUse());
}

} // namespace gooseberry::soak
